// One scheduling pass over the ready steps.
#include "cell/scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mustardslip {
namespace {

// A ticket is used only if it is valid for this long, which covers the write to
// the log and the way to the VM.
constexpr std::int64_t kTicketMarginMs = 150;
// A VM whose answer to a look is late by this much gets no start.
constexpr std::int64_t kUnansweredLookMs = 1'100;
// Before the first answers about a queue.
constexpr double kInitialGoodShare = 0.5;
constexpr double kGoodShareWeight = 0.1;
constexpr double kLeastGoodShare = 0.05;
// VMs asked for beyond the expected need, since verdicts vary.
constexpr double kAskSurplus = 1.3;
constexpr std::size_t kLeastVmsAsked = 4;
constexpr std::size_t kMostVmsAsked = 100;
// Pause before the same step asks again.
constexpr std::int64_t kAskAgainMs = 60;
// Gangs that hold free room back from what comes after them in the order. More
// would leave the fleet idle behind gangs that wait for each other.
constexpr int kLeastReservingGangs = 2;
constexpr int kVmsPerGang = 24;
// At most one in this many VMs of a pool is avoided.
constexpr std::size_t kLargestAvoidedPart = 4;
// For a gang.
constexpr std::size_t kUsualVmsAsked = 24;

std::int64_t FitCount(const Resources& task, const Resources& room) {
  std::int64_t fit = INT64_MAX;
  const auto limit = [&](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      fit = std::min(fit, have > 0 ? have / need : 0);
    }
  };
  limit(task.m_cpu_millis, room.m_cpu_millis);
  limit(task.m_memory_mb, room.m_memory_mb);
  limit(task.m_accelerators, room.m_accelerators);
  return fit;
}

// The cap with "no limit" made explicit.
Resources Unlimited(const Resources& cap) {
  const auto open = [](std::int64_t value) {
    return value > 0 ? value : INT64_MAX / 4;
  };
  return {open(cap.m_cpu_millis), open(cap.m_memory_mb),
          open(cap.m_accelerators)};
}

}  // namespace

bool IsUsable(const VmState& vm, std::int64_t now_ms) {
  const bool answers =
      vm.m_first_failed_call_ms == 0 &&
      (vm.m_look_due_ms == 0 || now_ms < vm.m_look_due_ms + kUnansweredLookMs);
  return vm.m_listed && vm.m_fenced && !vm.m_description.m_draining && answers;
}

// A VM in this pass, with the room that is left after the decisions so far.
struct Scheduler::Slot {
  VmState* m_vm = nullptr;
  Resources m_free;
};

// A ready step with its place in the order.
struct Scheduler::Candidate {
  StepRef m_ref;
  Job* m_job = nullptr;
  StepState* m_step = nullptr;
  const StepSpec* m_spec = nullptr;
  // Smaller goes first.
  std::tuple<bool, bool, std::int64_t, std::int64_t> m_order;
};

class Scheduler::Pass {
 public:
  Pass(const Scheduler& scheduler, CellState& state, const CellRules& rules,
       const CellTime& now, std::size_t free_asks)
      : m_scheduler(scheduler),
        m_state(state),
        m_rules(rules),
        m_now(now),
        m_free_asks(free_asks) {
    for (auto& [life, vm] : state.Vms()) {
      if (IsUsable(vm, now.m_steady_ms)) {
        m_slots[vm.m_description.m_service].push_back({&vm, vm.Free()});
      }
    }
    for (auto& [service, slots] : m_slots) {
      RemoveAvoided(slots);
    }
  }

  ScheduleResult Run(const ReadySteps& ready) {
    for (const Candidate& candidate : Order(ready)) {
      const auto slots =
          m_slots.find(candidate.m_job->m_spec.m_queue.m_service);
      if (slots == m_slots.end()) {
        continue;
      }
      if (candidate.m_spec->m_gang) {
        PlaceGang(candidate, slots->second);
      } else {
        PlaceTasks(candidate, slots->second);
      }
    }
    return std::move(m_result);
  }

 private:
  // Leaves out the VMs that are to be avoided, but never more than a part of
  // the pool: where many VMs seem bad, the jobs are the likelier cause.
  void RemoveAvoided(std::vector<Slot>& slots) const {
    const auto avoided = [this](const Slot& slot) {
      return slot.m_vm->Avoided(m_now.m_steady_ms);
    };
    if (std::none_of(slots.begin(), slots.end(), avoided)) {
      return;
    }
    const std::size_t most =
        std::max<std::size_t>(1, slots.size() / kLargestAvoidedPart);
    std::stable_sort(slots.begin(), slots.end(),
                     [&](const Slot& a, const Slot& b) {
                       return BadJobs(a, avoided) < BadJobs(b, avoided);
                     });
    std::size_t left_out = 0;
    while (slots.size() > 1 && left_out < most && avoided(slots.back())) {
      slots.pop_back();
      ++left_out;
    }
  }

  template <typename Avoided>
  static std::size_t BadJobs(const Slot& slot, const Avoided& avoided) {
    return avoided(slot) ? slot.m_vm->m_failed_jobs.size() + 1 : 0;
  }

  std::vector<Candidate> Order(const ReadySteps& ready) {
    std::vector<Candidate> order;
    order.reserve(ready.size());
    for (const StepRef& ref : ready) {
      Job* job = m_state.FindJob(ref.m_job);
      if (job == nullptr || job->Ended()) {
        continue;
      }
      Candidate candidate;
      candidate.m_ref = ref;
      candidate.m_job = job;
      candidate.m_step =
          &job->OccurrenceAt(ref.m_occurrence).m_steps[ref.m_step];
      candidate.m_spec = &job->m_spec.m_steps[ref.m_step];
      const std::int64_t latest_start =
          job->ObjectiveUnixMs(ref.m_occurrence) - job->ChainMs(ref.m_step);
      const bool late = latest_start < m_now.m_unix_ms;
      candidate.m_order = {job->m_excess, late, job->m_spec.m_queue.m_priority,
                           latest_start};
      order.push_back(std::move(candidate));
    }
    std::sort(
        order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
          return std::tie(a.m_order, a.m_ref) < std::tie(b.m_order, b.m_ref);
        });
    return order;
  }

  // How many more tasks the team may start.
  std::int64_t TeamRoom(const Candidate& candidate) {
    const std::string& team = candidate.m_job->m_spec.m_team;
    const auto limits = m_rules.m_teams.find(team);
    if (limits == m_rules.m_teams.end()) {
      return INT64_MAX;
    }
    const Resources room = Unlimited(limits->second.m_cap) -
                           m_state.TeamUsage(team) - m_team_planned[team];
    return FitCount(candidate.m_spec->m_resources, room);
  }

  // How many tasks of the step may still go to the VM, by its own rule.
  std::int64_t PerVmRoom(const Candidate& candidate, const Slot& slot) const {
    if (candidate.m_spec->m_max_per_vm == 0) {
      return INT64_MAX;
    }
    std::int64_t room = candidate.m_spec->m_max_per_vm;
    const auto planned =
        m_per_vm.find({candidate.m_ref, slot.m_vm->Life().m_id});
    room -= planned == m_per_vm.end() ? 0 : planned->second;
    for (const TaskState& task : candidate.m_step->m_tasks) {
      for (const OpenRun& run : task.m_open) {
        room -= run.m_vm.m_id == slot.m_vm->Life().m_id ? 1 : 0;
      }
    }
    return std::max<std::int64_t>(0, room);
  }

  std::int64_t Fit(const Candidate& candidate, const Slot& slot) const {
    return std::min(FitCount(candidate.m_spec->Charge(), slot.m_free),
                    PerVmRoom(candidate, slot));
  }

  const Advice* AdviceFor(const Candidate& candidate, const Slot& slot) const {
    const auto found = candidate.m_step->m_advice.find(slot.m_vm->Life().m_id);
    return found == candidate.m_step->m_advice.end() ? nullptr : &found->second;
  }

  bool HasTicket(const Candidate& candidate, const Slot& slot,
                 std::int64_t margin_ms = kTicketMarginMs) const {
    if (!candidate.m_job->m_spec.m_queue.m_needs_advice) {
      return true;
    }
    const Advice* advice = AdviceFor(candidate, slot);
    return advice != nullptr && advice->m_good &&
           advice->m_born == slot.m_vm->Life().m_born &&
           advice->m_valid_until_ms > m_now.m_steady_ms + margin_ms;
  }

  bool KnownBad(const Candidate& candidate, const Slot& slot) const {
    const Advice* advice = AdviceFor(candidate, slot);
    return advice != nullptr && !advice->m_good;
  }

  bool KnownGood(const Candidate& candidate, const Slot& slot) const {
    const Advice* advice = AdviceFor(candidate, slot);
    return advice != nullptr && advice->m_good;
  }

  void Take(const Candidate& candidate, Slot& slot, std::int64_t tasks) {
    slot.m_free = slot.m_free - candidate.m_spec->Charge() * tasks;
  }

  void Plan(const Candidate& candidate, Slot& slot, std::uint32_t index,
            std::uint32_t run) {
    Placement placement;
    placement.m_task = {candidate.m_ref.m_job, candidate.m_ref.m_occurrence,
                        candidate.m_ref.m_step, index};
    placement.m_run = run;
    placement.m_vm = slot.m_vm->Life();
    if (const Advice* advice = AdviceFor(candidate, slot)) {
      placement.m_ticket = advice->m_ticket;
    }
    m_result.m_placements.push_back(std::move(placement));
    Take(candidate, slot, 1);
    Resources& planned = m_team_planned[candidate.m_job->m_spec.m_team];
    planned = planned + candidate.m_spec->m_resources;
    if (candidate.m_spec->m_max_per_vm > 0) {
      ++m_per_vm[{candidate.m_ref, slot.m_vm->Life().m_id}];
    }
  }

  // Smaller is better: near the data, then not where it failed, then the VM
  // that is left with the least room.
  std::tuple<bool, bool, std::int64_t> Rank(const Candidate& candidate,
                                            const TaskState& task,
                                            const Slot& slot) const {
    const std::string& rack = candidate.m_spec->m_rack_affinity;
    return {!rack.empty() && !slot.m_vm->HasLabel(rack),
            task.m_last_failed_vm == slot.m_vm->Life().m_id,
            slot.m_free.m_cpu_millis};
  }

  Slot* BestSlot(const Candidate& candidate, const TaskState& task,
                 std::vector<Slot>& slots) {
    Slot* best = nullptr;
    for (Slot& slot : slots) {
      if (!HasTicket(candidate, slot) ||
          !slot.m_vm->MayRun(*candidate.m_spec) || Fit(candidate, slot) < 1) {
        continue;
      }
      if (best == nullptr ||
          Rank(candidate, task, slot) < Rank(candidate, task, *best)) {
        best = &slot;
      }
    }
    return best;
  }

  void PlaceTasks(const Candidate& candidate, std::vector<Slot>& slots) {
    std::int64_t team_room = TeamRoom(candidate);
    std::int64_t waiting = 0;
    for (std::uint32_t i = 0; i < candidate.m_step->m_tasks.size(); ++i) {
      const TaskState& task = candidate.m_step->m_tasks[i];
      if (task.m_done || !task.m_open.empty()) {
        continue;
      }
      if (team_room < 1) {
        break;
      }
      Slot* slot = waiting > 0 ? nullptr : BestSlot(candidate, task, slots);
      if (slot == nullptr) {
        ++waiting;
        --team_room;
        continue;
      }
      Plan(candidate, *slot, i, task.m_last_run + 1);
      --team_room;
    }
    if (waiting > 0 && candidate.m_job->m_spec.m_queue.m_needs_advice) {
      AskForTasks(candidate, slots, waiting);
    }
  }

  // Holds room back on VMs whose verdict is on its way, so that it is still
  // there when the ticket comes.
  void ReserveAsked(const Candidate& candidate, std::vector<Slot>& slots,
                    std::int64_t tasks) {
    for (const std::string& id : candidate.m_step->m_asked) {
      const auto slot = std::find_if(
          slots.begin(), slots.end(),
          [&](const Slot& one) { return one.m_vm->Life().m_id == id; });
      if (slot == slots.end() || tasks <= 0) {
        continue;
      }
      const std::int64_t fit =
          std::min({Fit(candidate, *slot), tasks, std::int64_t{1}});
      Take(candidate, *slot, fit);
      tasks -= fit;
    }
  }

  bool MayAsk(const Candidate& candidate) const {
    return m_result.m_asks.size() < m_free_asks &&
           candidate.m_step->m_asked.empty() &&
           candidate.m_step->m_next_ask_ms <= m_now.m_steady_ms;
  }

  void Ask(const Candidate& candidate, std::vector<std::string> vms) {
    const QueueRules& queue = candidate.m_job->m_spec.m_queue;
    AskAdvice ask;
    ask.m_step = candidate.m_ref;
    ask.m_expected_ms =
        queue.m_advice_base_ms +
        static_cast<std::int64_t>(queue.m_advice_per_vm_ms *
                                  static_cast<double>(vms.size()));
    candidate.m_step->m_asked = vms;
    candidate.m_step->m_next_ask_ms = m_now.m_steady_ms + kAskAgainMs;
    ask.m_vms = std::move(vms);
    m_result.m_asks.push_back(std::move(ask));
  }

  // Asks about VMs with room until the expected number of tasks has a place.
  void AskForTasks(const Candidate& candidate, std::vector<Slot>& slots,
                   std::int64_t waiting) {
    if (!candidate.m_step->m_asked.empty()) {
      ReserveAsked(candidate, slots, waiting);
      return;
    }
    if (!MayAsk(candidate)) {
      return;
    }
    const double share =
        m_scheduler.GoodShare(candidate.m_job->m_spec.m_queue.m_name);
    const double wanted = static_cast<double>(waiting) * kAskSurplus;
    double expected = 0;
    std::vector<std::string> vms;
    // A different start for each step, so that steps do not all ask about the
    // same VMs.
    const std::size_t offset =
        std::hash<std::string>{}(candidate.m_ref.m_job) % slots.size();
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < slots.size(); ++i) {
        const Slot& slot = slots[(i + offset) % slots.size()];
        const bool good = KnownGood(candidate, slot);
        // Known verdicts first: they cannot disappoint.
        if (good != (round == 0) || KnownBad(candidate, slot) ||
            HasTicket(candidate, slot) ||
            !slot.m_vm->MayRun(*candidate.m_spec)) {
          continue;
        }
        const std::int64_t fit = Fit(candidate, slot);
        if (fit < 1 || vms.size() >= kMostVmsAsked ||
            (expected >= wanted && vms.size() >= kLeastVmsAsked)) {
          continue;
        }
        expected +=
            static_cast<double>(std::min(fit, waiting)) * (good ? 1.0 : share);
        vms.push_back(slot.m_vm->Life().m_id);
      }
    }
    if (!vms.empty()) {
      Ask(candidate, std::move(vms));
      ReserveAsked(candidate, slots, waiting);
    }
  }

  // Room for the gang on VMs that `allowed` accepts, largest first.
  template <typename Allowed>
  std::vector<std::pair<Slot*, std::int64_t>> GangRoom(
      const Candidate& candidate, std::vector<Slot>& slots,
      const Allowed& allowed) {
    std::vector<std::pair<Slot*, std::int64_t>> room;
    for (Slot& slot : slots) {
      const std::int64_t fit = allowed(slot) ? Fit(candidate, slot) : 0;
      if (fit > 0) {
        room.emplace_back(&slot, fit);
      }
    }
    std::stable_sort(
        room.begin(), room.end(),
        [](const auto& a, const auto& b) { return a.second > b.second; });
    return room;
  }

  static std::int64_t Total(
      const std::vector<std::pair<Slot*, std::int64_t>>& room) {
    std::int64_t total = 0;
    for (const auto& [slot, fit] : room) {
      total += fit;
    }
    return total;
  }

  static std::string RackOf(const Slot& slot) {
    const std::vector<std::string>& labels = slot.m_vm->m_description.m_labels;
    return labels.empty() ? "" : labels.back();
  }

  // Where one rack can hold the whole gang, only that rack's room.
  void PreferOneRack(const Candidate& candidate, std::int64_t tasks,
                     std::vector<std::pair<Slot*, std::int64_t>>& room) {
    std::map<std::string, std::int64_t> by_rack;
    for (const auto& [slot, fit] : room) {
      by_rack[RackOf(*slot)] += fit;
    }
    std::string chosen;
    const std::string& wanted = candidate.m_spec->m_rack_affinity;
    for (const auto& [rack, total] : by_rack) {
      if (total >= tasks && (chosen.empty() || rack == wanted)) {
        chosen = rack;
      }
    }
    if (!chosen.empty()) {
      std::erase_if(
          room, [&](const auto& one) { return RackOf(*one.first) != chosen; });
    }
  }

  void PlaceGang(const Candidate& candidate, std::vector<Slot>& slots) {
    if (candidate.m_step->m_open > 0 || candidate.m_step->Done()) {
      return;
    }
    const auto tasks =
        static_cast<std::int64_t>(candidate.m_step->m_tasks.size());
    if (TeamRoom(candidate) < tasks) {
      return;
    }
    auto room = GangRoom(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->MayRun(*candidate.m_spec) && HasTicket(candidate, slot);
    });
    if (Total(room) >= tasks) {
      if (candidate.m_spec->m_same_rack ||
          !candidate.m_spec->m_rack_affinity.empty()) {
        PreferOneRack(candidate, tasks, room);
      }
      StartGang(candidate, room, tasks);
      return;
    }
    if (candidate.m_job->m_spec.m_queue.m_needs_advice) {
      AskForGang(candidate, slots, tasks);
    }
    ReserveForGang(candidate, slots, tasks);
  }

  void StartGang(const Candidate& candidate,
                 std::vector<std::pair<Slot*, std::int64_t>>& room,
                 std::int64_t tasks) {
    const std::uint32_t run = candidate.m_step->m_last_run + 1;
    std::uint32_t index = 0;
    for (const auto& [slot, fit] : room) {
      for (std::int64_t i = 0; i < fit && index < tasks; ++i) {
        Plan(candidate, *slot, index, run);
        ++index;
      }
    }
  }

  // Asks for tickets once the advised VMs have room for the gang, and about
  // more VMs while they do not.
  void AskForGang(const Candidate& candidate, std::vector<Slot>& slots,
                  std::int64_t tasks) {
    if (!MayAsk(candidate)) {
      return;
    }
    const auto advised = GangRoom(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->MayRun(*candidate.m_spec) && KnownGood(candidate, slot);
    });
    const std::int64_t missing = tasks - Total(advised);
    std::vector<std::string> vms;
    if (missing > 0) {
      AddUnknownVms(candidate, slots, missing, vms);
      if (vms.empty()) {
        return;
      }
    }
    AddExpiring(candidate, advised, tasks, vms);
    if (!vms.empty()) {
      Ask(candidate, std::move(vms));
    }
  }

  // Advised VMs whose tickets do not last as long as the next call, until the
  // gang has a place on those with tickets.
  void AddExpiring(const Candidate& candidate,
                   const std::vector<std::pair<Slot*, std::int64_t>>& advised,
                   std::int64_t tasks, std::vector<std::string>& vms) {
    const QueueRules& queue = candidate.m_job->m_spec.m_queue;
    const auto call_ms = static_cast<std::int64_t>(
        static_cast<double>(queue.m_advice_base_ms) +
        queue.m_advice_per_vm_ms * static_cast<double>(kUsualVmsAsked));
    const double wanted = static_cast<double>(tasks) * kAskSurplus;
    double expected = 0;
    for (const auto& [slot, fit] : advised) {
      if (expected >= wanted || vms.size() >= kMostVmsAsked) {
        return;
      }
      expected += static_cast<double>(fit);
      if (!HasTicket(candidate, *slot, call_ms)) {
        vms.push_back(slot->m_vm->Life().m_id);
      }
    }
  }

  // VMs without a verdict, those with the most room first. A call has a large
  // fixed part, so it names a fair number also where few would do.
  void AddUnknownVms(const Candidate& candidate, std::vector<Slot>& slots,
                     std::int64_t tasks, std::vector<std::string>& vms) {
    const double share =
        m_scheduler.GoodShare(candidate.m_job->m_spec.m_queue.m_name);
    const auto room = GangRoom(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->MayRun(*candidate.m_spec) &&
             AdviceFor(candidate, slot) == nullptr;
    });
    const double wanted = static_cast<double>(tasks) * kAskSurplus;
    double expected = 0;
    for (const auto& [slot, fit] : room) {
      const bool enough = expected >= wanted && vms.size() >= kUsualVmsAsked;
      if (enough || vms.size() >= kMostVmsAsked) {
        break;
      }
      expected += static_cast<double>(fit) * share;
      vms.push_back(slot->m_vm->Life().m_id);
    }
  }

  // Keeps what comes later in the order off the VMs on which the gang can start
  // soonest: those with the most room, as many as would hold it when they are
  // empty. Room that is merely left over never adds up to a gang, as smaller
  // tasks take it first.
  void ReserveForGang(const Candidate& candidate, std::vector<Slot>& slots,
                      std::int64_t tasks) {
    const int most = std::max(kLeastReservingGangs,
                              static_cast<int>(slots.size()) / kVmsPerGang);
    if (m_reserving_gangs >= most) {
      return;
    }
    const bool advised = candidate.m_job->m_spec.m_queue.m_needs_advice;
    std::vector<Slot*> usable;
    for (Slot& slot : slots) {
      if (slot.m_free.m_cpu_millis > 0 &&
          slot.m_vm->MayRun(*candidate.m_spec) &&
          (!advised || KnownGood(candidate, slot))) {
        usable.push_back(&slot);
      }
    }
    if (usable.empty()) {
      return;
    }
    ++m_reserving_gangs;
    std::stable_sort(usable.begin(), usable.end(),
                     [](const Slot* a, const Slot* b) {
                       return a->m_free.m_cpu_millis > b->m_free.m_cpu_millis;
                     });
    const Resources charge = candidate.m_spec->Charge();
    for (Slot* slot : usable) {
      if (tasks <= 0) {
        break;
      }
      tasks -= FitCount(charge, slot->m_vm->m_description.m_capacity);
      slot->m_free = {};
    }
  }

  const Scheduler& m_scheduler;
  CellState& m_state;
  const CellRules& m_rules;
  const CellTime m_now;
  const std::size_t m_free_asks;
  std::map<std::string, std::vector<Slot>> m_slots;
  std::map<std::string, Resources> m_team_planned;
  std::map<std::pair<StepRef, std::string>, std::int64_t> m_per_vm;
  int m_reserving_gangs = 0;
  ScheduleResult m_result;
};

ScheduleResult Scheduler::Decide(CellState& state, const ReadySteps& ready,
                                 const CellRules& rules, const CellTime& now,
                                 std::size_t free_asks) {
  return Pass(*this, state, rules, now, free_asks).Run(ready);
}

void Scheduler::OnAdvice(const std::string& queue, std::size_t asked,
                         std::size_t good) {
  if (asked == 0) {
    return;
  }
  double& share =
      m_good_share.try_emplace(queue, kInitialGoodShare).first->second;
  const double seen = static_cast<double>(good) / static_cast<double>(asked);
  share += (seen - share) * kGoodShareWeight;
}

double Scheduler::GoodShare(const std::string& queue) const {
  const auto found = m_good_share.find(queue);
  const double share =
      found == m_good_share.end() ? kInitialGoodShare : found->second;
  return std::max(share, kLeastGoodShare);
}

}  // namespace mustardslip
