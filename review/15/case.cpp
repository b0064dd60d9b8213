// A new configuration sends a queue to another service, and a worker of the old
// service leaves as planned: the only one there with a label that the tasks of
// an accepted job require. TROUBLE=0 changes nothing.
#include "../11/bed/case.hpp"

namespace bed {
namespace {

// Seven workers a service; the last one of the old service has kind b, and all
// of the new one.
constexpr int kWorkersPerService = 7;
constexpr int kSpecialWorker = kWorkersPerService - 1;
constexpr std::int64_t kWorkMs = 3'000;
constexpr std::int64_t kTaskCpu = 60'000;
constexpr int kTasks = 4;
constexpr std::int64_t kConfigureMs = 1'500;
constexpr std::int64_t kDrainAtMs = 5'000;
// A little over drain_ms, and the task that has begun can end.
constexpr std::int64_t kDrainMs = 3'500;

class MovedQueueCase : public Case {
 public:
  MovedQueueCase(const std::string& record, const std::string& folder)
      : Case(record, folder, Options()) {}

 private:
  static CaseOptions Options() {
    CaseOptions options;
    options.m_workers = 2 * kWorkersPerService;
    options.m_work_ms = kWorkMs;
    options.m_task_cpu = kTaskCpu;
    options.m_end_ms = 50'000;
    options.m_adjust = [](int number, WorkerOptions& worker) {
      const bool is_new = number >= kWorkersPerService;
      worker.m_service = is_new ? "svc-new" : "svc";
      worker.m_kind = number >= kSpecialWorker ? "b" : "a";
    };
    return options;
  }

  void BeginTraffic() override {
    Json step = StepJson(kTasks, kTaskCpu, 1'000, kWorkMs);
    step["requires"] = "b";
    HandIn(0, "batch", "large", Json::array({step}));
    if (!WithTrouble()) {
      return;
    }
    m_loop.After(kConfigureMs, [this] { Configure(2, "svc-new"); });
    m_loop.After(kDrainAtMs, [this] {
      m_record.Line("a worker of svc drains and leaves");
      m_workers[kSpecialWorker]->Drain(kDrainMs);
    });
    m_loop.After(kDrainAtMs + kDrainMs + 1'000, [this] { HandInLater(); });
  }

  // Shows that the queue's new workers take tasks like those that wait.
  void HandInLater() {
    Json step = StepJson(kTasks, kTaskCpu, 1'000, kWorkMs);
    step["requires"] = "b";
    HandIn(1, "batch", "large", Json::array({step}));
  }
};

}  // namespace
}  // namespace bed

int main(int, char** argv) { return bed::Main<bed::MovedQueueCase>(argv); }
