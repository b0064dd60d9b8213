// Property test of PlacementCore: random sequences of events are checked
// against a model that records the state of each attempt.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "placement/placement_core.h"

namespace mustardslip {
namespace {

constexpr int kVmCount = 5;
constexpr int kTeamCount = 3;
constexpr std::int64_t kQueueBound = 12;
constexpr Resources kSize{4'000, 8'000, 2};

enum class State { kWaiting, kRunning, kEnded, kRefused, kCancelled };

struct KnownAttempt {
  AttemptSpec m_spec;
  State m_state = State::kWaiting;
  std::string m_vm;
  int m_gang = -1;
  bool m_preempted = false;
};

// A random event; m_first and m_second select the VM, team or attempt.
struct Event {
  int m_kind = 0;
  int m_first = 0;
  int m_second = 0;
};

rc::Gen<Event> AnyEvent() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, 10'000),
                     rc::gen::inRange(0, 10'000)),
      [](const std::tuple<int, int, int>& values) {
        return Event{std::get<0>(values), std::get<1>(values),
                     std::get<2>(values)};
      });
}

class Model {
 public:
  Model() : m_core(Options()) {
    for (int vm = 0; vm < kVmCount; ++vm) {
      SetVm(vm, VmCondition::kReady);
    }
  }

  void Handle(const Event& event) {
    switch (event.m_kind) {
      case 0:
      case 1:
      case 2:
      case 3:
        Enqueue(event, false);
        break;
      case 4:
        Enqueue(event, true);
        break;
      case 5:
      case 6:
      case 7:
        End(event, TaskEndReason::kSucceeded);
        break;
      case 8:
        End(event, TaskEndReason::kFailed);
        break;
      case 9:
        StartFailed(event);
        break;
      case 10:
        Cancel(event);
        break;
      case 11:
        SetVm(event.m_first % kVmCount,
              static_cast<VmCondition>(event.m_second % 5));
        break;
      case 12:
        SetVm(event.m_first % kVmCount, VmCondition::kReady);
        break;
      case 13:
        ReportUsage(event);
        break;
      case 14:
        m_now += Milliseconds(event.m_first * 5);
        break;
      default:
        m_now += Milliseconds(event.m_first % 1'000);
        Apply(m_core.Decide(m_now));
    }
    Check();
  }

  // Makes all VMs ready and ends all attempts. Nothing may stay waiting or
  // charged.
  void Drain() {
    for (int vm = 0; vm < kVmCount; ++vm) {
      SetVm(vm, VmCondition::kReady);
    }
    // Each round is longer than the reservation and claim timeouts. Repeated
    // rounds also outlast the quarantines.
    for (int round = 0; round < 200 && CountOf(State::kWaiting) > 0; ++round) {
      m_now += Milliseconds(700'000);
      Apply(m_core.Decide(m_now));
      EndAll();
      Check();
    }
    RC_ASSERT(CountOf(State::kWaiting) == 0);
    EndAll();
    RC_ASSERT(m_core.ChargedResources() == Resources{});
    RC_CLASSIFY(m_gang_starts > 0, "gangs started");
    RC_CLASSIFY(m_preemptions > 0, "work was preempted");
  }

 private:
  static PlacementOptions Options() {
    PlacementOptions options;
    options.m_max_queued_per_team = kQueueBound;
    options.m_gang_reservation_delay = Milliseconds(2'000);
    return options;
  }

  static std::string VmName(int vm) { return "vm" + std::to_string(vm); }

  void SetVm(int vm, VmCondition condition) {
    m_conditions[VmName(vm)] = condition;
    m_core.SetVm({VmName(vm), "zone", "rack" + std::to_string(vm / 2), kSize},
                 condition);
  }

  AttemptSpec MakeSpec(const Event& event, bool gang) {
    AttemptSpec spec;
    spec.m_attempt = "attempt" + std::to_string(m_next++);
    spec.m_job = "job" + std::to_string(event.m_second % 7);
    spec.m_team = "team" + std::to_string(event.m_first % kTeamCount);
    spec.m_kind = gang                      ? JobKind::kGang
                  : event.m_second % 4 == 0 ? JobKind::kService
                                            : JobKind::kBatch;
    spec.m_service = "service";
    spec.m_priority = static_cast<Priority>(event.m_first % 7 % 3);
    // Up to 5,000 millicores, so that the largest tasks fit on no VM.
    spec.m_resources = {500 + event.m_second % 10 * 500,
                        500 + event.m_first % 8 * 1'000, event.m_second % 3};
    spec.m_checkpointable = event.m_first % 2 == 0;
    if (event.m_second % 11 == 0) {
      spec.m_deadline_unix_ms =
          std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch())
              .count() +
          event.m_first;
    }
    if (event.m_first % 13 == 0) {
      spec.m_limits.m_racks = {"rack1"};
    }
    return spec;
  }

  void Enqueue(const Event& event, bool gang) {
    std::vector<AttemptSpec> specs;
    for (int i = 0; i <= event.m_second % 4; ++i) {
      specs.push_back(MakeSpec(event, gang));
    }
    for (const AttemptSpec& spec : specs) {
      KnownAttempt& known = m_known[spec.m_attempt];
      known.m_spec = spec;
      known.m_gang = gang ? m_next : -1;
    }
    Apply(m_core.Enqueue(specs, gang, m_now));
    // Enqueueing known attempts again has no effect. Refused attempts are not
    // known to the core, so they are left out.
    std::vector<AttemptSpec> accepted;
    for (const AttemptSpec& spec : specs) {
      if (m_known[spec.m_attempt].m_state == State::kWaiting) {
        accepted.push_back(spec);
      }
    }
    RC_ASSERT(m_core.Enqueue(accepted, gang, m_now).empty());
    if (!accepted.empty()) {
      RC_ASSERT(m_core.QueueLength(specs.front().m_team) <= kQueueBound);
    }
  }

  void Apply(const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      if (const auto* start = std::get_if<StartTask>(&decision)) {
        RC_ASSERT(m_known.at(start->m_attempt).m_gang == -1);
        Start(*start);
      } else if (const auto* gang = std::get_if<StartGang>(&decision)) {
        StartAll(*gang);
      } else if (const auto* preempt = std::get_if<PreemptTask>(&decision)) {
        KnownAttempt& known = m_known.at(preempt->m_attempt);
        RC_ASSERT(known.m_state == State::kRunning);
        RC_ASSERT(known.m_vm == preempt->m_vm);
        RC_ASSERT(known.m_spec.m_checkpointable && !known.m_preempted);
        known.m_preempted = true;
        ++m_preemptions;
      } else {
        KnownAttempt& known =
            m_known.at(std::get<RefuseAttempt>(decision).m_attempt);
        RC_ASSERT(known.m_state == State::kWaiting);
        known.m_state = State::kRefused;
      }
    }
  }

  void Start(const StartTask& start) {
    KnownAttempt& known = m_known.at(start.m_attempt);
    RC_ASSERT(known.m_state == State::kWaiting);
    RC_ASSERT(m_conditions.at(start.m_vm) == VmCondition::kReady);
    known.m_state = State::kRunning;
    known.m_vm = start.m_vm;
  }

  void StartAll(const StartGang& gang) {
    ++m_gang_starts;
    std::set<AttemptId> started;
    for (const StartTask& task : gang.m_tasks) {
      started.insert(task.m_attempt);
    }
    const int number = m_known.at(gang.m_tasks.front().m_attempt).m_gang;
    RC_ASSERT(number != -1);
    for (const auto& [id, known] : m_known) {
      if (known.m_gang == number) {
        RC_ASSERT(known.m_state != State::kRunning);
        RC_ASSERT((known.m_state == State::kWaiting) == started.contains(id));
      }
    }
    for (const StartTask& task : gang.m_tasks) {
      Start(task);
    }
  }

  // The n-th attempt in a state, or nullptr.
  const KnownAttempt* Pick(State state, int n) const {
    std::vector<const KnownAttempt*> found;
    for (const auto& [id, known] : m_known) {
      if (known.m_state == state) {
        found.push_back(&known);
      }
    }
    return found.empty() ? nullptr
                         : found[static_cast<std::size_t>(n) % found.size()];
  }

  void End(const Event& event, TaskEndReason reason) {
    const KnownAttempt* known = Pick(State::kRunning, event.m_first);
    if (known != nullptr) {
      EndOne(known->m_spec.m_attempt, reason);
    }
  }

  void EndOne(const AttemptId& id, TaskEndReason reason) {
    m_known.at(id).m_state = State::kEnded;
    m_core.Ended(id, reason, m_now);
  }

  void EndAll() {
    for (auto& [id, known] : m_known) {
      if (known.m_state == State::kRunning) {
        EndOne(id, TaskEndReason::kSucceeded);
      }
    }
  }

  void StartFailed(const Event& event) {
    const KnownAttempt* known = Pick(State::kRunning, event.m_first);
    if (known != nullptr) {
      KnownAttempt& changed = m_known.at(known->m_spec.m_attempt);
      changed.m_state = State::kWaiting;
      changed.m_preempted = false;
      m_core.StartFailed(changed.m_spec.m_attempt, m_now);
    }
  }

  void Cancel(const Event& event) {
    const KnownAttempt* waiting = Pick(State::kWaiting, event.m_first);
    if (waiting != nullptr) {
      const AttemptId id = waiting->m_spec.m_attempt;
      m_known.at(id).m_state = State::kCancelled;
      RC_ASSERT(m_core.Cancel(id));
      RC_ASSERT(!m_core.Cancel(id));
    }
    const KnownAttempt* running = Pick(State::kRunning, event.m_second);
    if (running != nullptr) {
      RC_ASSERT(!m_core.Cancel(running->m_spec.m_attempt));
    }
  }

  void ReportUsage(const Event& event) {
    const KnownAttempt* known = Pick(State::kRunning, event.m_first);
    if (known != nullptr) {
      const Resources& size = known->m_spec.m_resources;
      m_core.ReportUsage(known->m_spec.m_attempt,
                         {size.m_cpu_millis * (event.m_second % 20) / 10,
                          size.m_memory_mb * (event.m_second % 20) / 10, 0});
    }
  }

  int CountOf(State state) const {
    return static_cast<int>(std::count_if(
        m_known.begin(), m_known.end(),
        [&](const auto& entry) { return entry.second.m_state == state; }));
  }

  void Check() {
    m_core.CheckInvariants();
    RC_ASSERT(m_core.QueueLength() == CountOf(State::kWaiting));
    RC_ASSERT(m_core.RunningCount() == CountOf(State::kRunning));
    std::map<std::string, Resources> charged;
    for (const auto& [id, known] : m_known) {
      if (known.m_state == State::kRunning) {
        charged[known.m_vm] = charged[known.m_vm] + m_core.ChargedSize(id);
        RC_ASSERT(m_core.ChargedSize(id).m_accelerators ==
                  known.m_spec.m_resources.m_accelerators);
      }
    }
    for (const auto& [vm, sum] : charged) {
      RC_ASSERT(sum.FitsIn(kSize));
      RC_ASSERT(!m_core.AttemptsOn(vm).empty());
    }
  }

  PlacementCore m_core;
  std::map<AttemptId, KnownAttempt> m_known;
  std::map<std::string, VmCondition> m_conditions;
  TimePoint m_now = TimePoint{} + Milliseconds(1'000);
  int m_next = 0;
  int m_gang_starts = 0;
  int m_preemptions = 0;
};

// Guards against VMs charged above their size, double starts, partial gangs,
// unbounded queues, leaked charges and lost attempts in any order of events.
RC_GTEST_PROP(PlacementState, RandomEventsKeepTheInvariants, ()) {
  const auto events =
      *rc::gen::resize(400, rc::gen::container<std::vector<Event>>(AnyEvent()));
  Model model;
  for (const Event& event : events) {
    model.Handle(event);
  }
  model.Drain();
}

}  // namespace
}  // namespace mustardslip
