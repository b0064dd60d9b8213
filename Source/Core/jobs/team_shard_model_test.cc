// Property test: runs team shard owners through random operations on a faulty
// store and VM groups that lose answers, crash and reorder events.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "jobs/simulated_groups.h"
#include "jobs/team_shard.h"
#include "jobs/test_fakes.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kShard = 5;
const Resources kTask{1000, 1000, 0};
const Resources kLimit{4000, 4000, 0};

using Shard = TeamShard<TestStore, SimulatedGroups, ManualClock>;

struct CallRecord {
  std::string m_request_id;
  std::optional<Outcome> m_outcome;
};

// The successive owners of one shard, their callers and the answers given.
class TeamShardSimulation {
 public:
  TeamShardSimulation() {
    m_store.SetFaults([this](bool is_write) { return NextFault(is_write); });
    Takeover(false);
    while (!m_owners.back()->Ready()) {
      RunOneRound();
    }
    // The service that receives the requests.
    JobSpec service;
    service.m_kind = JobKind::kService;
    service.m_name = "s";
    service.m_team = "a";
    service.m_slots = 4;
    service.m_resources = kTask;
    SubmitSpec(*m_owners.back(), service, Key(999));
    for (int i = 0; i < 5; i++) {
      RunOneRound();
    }
  }

  void Apply(std::uint32_t op) {
    const std::uint32_t arg = op / 25;
    switch (op % 25) {
      case 0:
      case 1:
        return SubmitJob(arg);
      case 2:
      case 3:
      case 4:
        return SubmitRequest(arg);
      case 5:
      case 6:
      case 7:
        if (!Owner(arg).Ready()) {
          Owner(arg).RecoverStep();
        }
        return Owner(arg).TickOnce();
      case 8:
      case 9:
      case 10:
        Owner(arg).LedgerStepOnce();
        return;
      case 11:
      case 12:
        Owner(arg).RecordStepOnce();
        return;
      case 13:
        return m_clock.Advance(Milliseconds(arg % 1000));
      case 14:
      case 15:
        return m_groups.Progress(arg);
      case 16:
      case 17:
      case 18:
      case 19:
        return m_groups.HandleCall(arg);
      case 20:
      case 21:
        return DeliverEvents(arg);
      case 22:
      case 23:
        return InjectDisruption(arg);
      default:
        return AddFault(arg);
    }
  }

  // Runs without further faults until all jobs and requests have ended.
  void RunToCompletion() {
    m_faults.clear();
    m_store.DeliverDelayedWrites();
    m_groups.ForgetOldEvents();
    Takeover(true);
    for (int i = 0; i < 400; i++) {
      RunOneRound();
      m_groups.RevealAll();
      for (std::uint32_t n = 0; n < 8; n++) {
        m_groups.Progress(n);
      }
    }
  }

  void Check() {
    RC_ASSERT(m_groups.Violation() == "");
    RC_ASSERT(m_violation == "");
  }

  void CheckEnd() {
    Check();
    for (const auto& [id, call] : m_calls) {
      RC_ASSERT(call.m_outcome.has_value());
      const int runs = m_groups.RequestRuns(id);
      RC_ASSERT(*call.m_outcome != Outcome::kNotRun || runs == 0);
    }
    for (const auto& [key, ids] : m_ids_of_key) {
      int runs = 0;
      for (const std::string& id : ids) {
        runs += m_groups.RequestRuns(id);
      }
      RC_ASSERT(runs <= 1);
    }
    for (const std::string& job : m_accepted) {
      const auto status = m_owners.back()->LookupJob({job, "a", 0});
      RC_ASSERT(status.has_value());
      CheckJob(*status);
    }
  }

 private:
  void CheckJob(const JobStatus& status) {
    const bool is_service = status.m_job == m_service_job;
    RC_ASSERT(is_service || status.m_ended_unix_ms != 0);
    if (status.m_outcome == Outcome::kNotRun) {
      RC_ASSERT(m_groups.TaskStarts(status.m_job) == 0);
    }
    if (status.m_outcome == Outcome::kDone) {
      RC_ASSERT(m_groups.TaskSuccesses(status.m_job) >= status.m_tasks);
    }
  }

  // Makes one of the next few store calls fail.
  void AddFault(std::uint32_t arg) {
    m_faults.insert(m_faults.begin(), static_cast<StoreFault>(arg % 5));
    m_faults.insert(m_faults.begin(), arg / 8 % 4, StoreFault::kNone);
  }

  StoreFault NextFault(bool is_write) {
    if (m_faults.empty()) {
      return StoreFault::kNone;
    }
    const StoreFault fault = m_faults.back();
    m_faults.pop_back();
    return is_write || fault == StoreFault::kDown ? fault : StoreFault::kNone;
  }

  // Returns mostly the newest owner, sometimes a superseded one.
  Shard& Owner(std::uint32_t arg) {
    const std::size_t back = arg % 3 == 2 ? arg / 4 % m_owners.size() : 0;
    return *m_owners[m_owners.size() - 1 - back];
  }

  std::string Key(std::uint32_t number) const {
    return std::to_string(m_first_unix_s) + ".k" + std::to_string(number);
  }

  void SubmitJob(std::uint32_t arg) {
    JobSpec spec;
    spec.m_kind = arg % 4 == 0 ? JobKind::kGang : JobKind::kBatch;
    spec.m_name = "j" + std::to_string(arg / 16 % 8);
    spec.m_team = "a";
    spec.m_tasks = 1 + static_cast<int>(arg / 4 % 2);
    spec.m_resources = kTask;
    spec.m_idempotent = arg / 8 % 2 == 0;
    // Reuses recent keys, sometimes with a different specification.
    SubmitSpec(Owner(arg), spec, Key(1000 + m_jobs / 2 + arg / 128 % 2));
    m_jobs++;
  }

  void SubmitSpec(Shard& owner, const JobSpec& spec, const std::string& key) {
    SubmitJobRequest request;
    request.m_spec = spec;
    request.m_idempotency_key = key;
    const bool is_service = spec.m_kind == JobKind::kService;
    owner.SubmitJob(request,
                    [this, is_service](const Result<JobStatus>& status) {
                      if (!status || status->m_outcome == Outcome::kNotRun ||
                          status->m_outcome == Outcome::kOutcomeUnknown) {
                        return;
                      }
                      m_accepted.insert(status->m_job);
                      if (is_service) {
                        m_service_job = status->m_job;
                      }
                    });
  }

  void SubmitRequest(std::uint32_t arg) {
    // Reuses recent keys, so that retries hit pending and completed requests.
    const auto calls = static_cast<std::uint32_t>(m_calls.size());
    const std::uint32_t number = calls / 8 + arg % 3;
    const std::string id = "r" + std::to_string(m_calls.size());
    m_calls[id] = {id, std::nullopt};
    m_ids_of_key[number].push_back(id);
    ServiceCall call{"a", "s", id, Key(number), false, 2000};
    Owner(arg / 3).ServiceRequest(
        call, "body" + std::to_string(number),
        [this, id](const ServiceCallReply& reply, const std::string&) {
          CallRecord& record = m_calls.at(id);
          if (record.m_outcome) {
            m_violation = "request answered twice: " + id;
          }
          record.m_outcome = reply.m_outcome;
          if (reply.m_outcome == Outcome::kNotRun &&
              m_groups.RequestRuns(id) != 0) {
            m_violation = "request ran but was answered as not run: " + id;
          }
        });
  }

  // Delivers any event, possibly out of order or again.
  void DeliverEvents(std::uint32_t arg) {
    const auto event = m_groups.PickEvent(arg);
    if (event && Owner(arg / 16).OnTaskEvents(event->m_events)) {
      m_groups.Acknowledge(*event);
    }
  }

  void InjectDisruption(std::uint32_t arg) {
    switch (arg % 8) {
      case 0:
        return Takeover(arg / 8 % 2 == 0);
      case 1:
        return m_groups.LoseAnswer(arg / 8);
      case 2:
        m_groups.CrashOwner(arg / 8);
        if (arg / 16 % 2 == 0) {
          Takeover(arg / 32 % 2 == 0);
        }
        return;
      case 3:
        return m_groups.LoseAttempt(arg / 8);
      case 4:
        return m_store.DeliverDelayedWrites();
      case 5:
        return m_groups.RevealAll();
      case 6:
        return m_groups.LoseAnswer(arg / 8);
      default:
        CancelJob(arg / 8);
    }
  }

  void CancelJob(std::uint32_t arg) {
    if (m_accepted.empty()) {
      return;
    }
    auto job = m_accepted.begin();
    std::advance(job, arg % m_accepted.size());
    if (*job != m_service_job) {
      m_owners.back()->CancelJob({*job, "a", 0});
    }
  }

  // Starts a new owner with the next epoch. The old one has crashed, or is
  // paused and resumes later.
  void Takeover(bool crash) {
    if (crash) {
      for (auto& [id, call] : m_calls) {
        if (!call.m_outcome) {
          // The connection broke, so the caller does not know the outcome.
          call.m_outcome = Outcome::kOutcomeUnknown;
        }
      }
      m_owners.clear();
    }
    TeamOwnerOptions options;
    options.m_requests.m_retry_budget.m_burst = 1000;
    m_owners.push_back(std::make_unique<Shard>(
        kShard, ++m_epoch, m_store, m_groups, options,
        [](const std::string&) { return std::optional<Resources>(kLimit); },
        m_clock));
    m_owners.back()->RecoverStep();
  }

  void RunOneRound() {
    Shard& owner = *m_owners.back();
    if (!owner.Ready()) {
      owner.RecoverStep();
    }
    owner.TickOnce();
    owner.LedgerStepOnce();
    owner.RecordStepOnce();
    m_groups.HandleAll();
    for (const auto& event : m_groups.AllEvents()) {
      if (owner.OnTaskEvents(event.m_events)) {
        m_groups.Acknowledge(event);
      }
    }
    m_groups.HandleAll();
    m_clock.Advance(Milliseconds(500));
  }

  ManualClock m_clock;
  const std::int64_t m_first_unix_s = m_clock.UnixMillis() / 1000;
  TestStore m_store;
  SimulatedGroups m_groups{kLimit};
  std::vector<StoreFault> m_faults;
  std::vector<std::unique_ptr<Shard>> m_owners;
  Epoch m_epoch = 0;
  std::map<std::string, CallRecord> m_calls;
  std::map<std::uint32_t, std::vector<std::string>> m_ids_of_key;
  std::set<std::string> m_accepted;
  std::string m_service_job;
  std::uint32_t m_jobs = 0;
  std::string m_violation;
};

// Guards P2, P4, P6 and P7 against any order of store faults, lost answers,
// late writes and events, crashes and paused owners, and against the loss of an
// accepted job.
RC_GTEST_PROP(TeamShardModel, HoldsInvariantsUnderFaults, ()) {
  const auto ops =
      *rc::gen::resize(500, rc::gen::arbitrary<std::vector<std::uint32_t>>());
  TeamShardSimulation simulation;
  for (const std::uint32_t op : ops) {
    simulation.Apply(op);
    simulation.Check();
  }
  simulation.RunToCompletion();
  simulation.CheckEnd();
}

}  // namespace
}  // namespace mustardslip
