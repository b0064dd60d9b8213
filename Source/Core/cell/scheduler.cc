// Implements a scheduling pass over the ready steps (Scheduler::Pass).
#include "cell/scheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace mustardslip {
namespace {

// A ticket is used only if it stays valid for this long, which covers the log
// write and the call to the VM.
constexpr std::int64_t kTicketMarginMs = 150;
// A VM whose answer to a poll is overdue by this much gets no starts.
constexpr std::int64_t kUnansweredPollMs = 1'100;
// Share of recommended VMs assumed before the first answers for a queue.
constexpr double kInitialGoodShare = 0.5;
// Weight of the newest answer in the moving average.
constexpr double kGoodShareWeight = 0.1;
constexpr double kMinGoodShare = 0.05;
// Factor on the expected need for VMs, since verdicts vary.
constexpr double kAdviceSurplus = 1.3;
constexpr std::size_t kMinVmsPerAdviceCall = 4;
constexpr std::size_t kMaxVmsPerAdviceCall = 100;
// Minimum interval between advice calls for the same step.
constexpr std::int64_t kAdviceIntervalMs = 60;
// Limit on gangs that reserve free capacity against later steps in the order:
// one per kVmsPerGang VMs, at least kMinReservingGangs. More would leave VMs
// idle behind gangs that wait for each other.
constexpr int kMinReservingGangs = 2;
constexpr int kVmsPerGang = 24;
// At most one in this many VMs of a pool is avoided.
constexpr std::size_t kMaxAvoidedDivisor = 4;
// Number of VMs that an advice call for a gang usually names.
constexpr std::size_t kTypicalVmsPerAdviceCall = 24;

std::int64_t FitCount(const Resources& task, const Resources& capacity) {
  std::int64_t fit = INT64_MAX;
  const auto limit = [&](std::int64_t need, std::int64_t have) {
    if (need > 0) {
      fit = std::min(fit, have > 0 ? have / need : 0);
    }
  };
  limit(task.m_cpu_millis, capacity.m_cpu_millis);
  limit(task.m_memory_mb, capacity.m_memory_mb);
  limit(task.m_accelerators, capacity.m_accelerators);
  return fit;
}

// Replaces 0 (no limit) in each dimension of the cap by a very large value.
Resources Unlimited(const Resources& cap) {
  const auto limit_or_max = [](std::int64_t value) {
    return value > 0 ? value : INT64_MAX / 4;
  };
  return {limit_or_max(cap.m_cpu_millis), limit_or_max(cap.m_memory_mb),
          limit_or_max(cap.m_accelerators)};
}

}  // namespace

bool IsUsable(const VmState& vm, std::int64_t now_ms) {
  const bool answers =
      vm.m_first_failed_call_ms == 0 &&
      (vm.m_poll_due_ms == 0 || now_ms < vm.m_poll_due_ms + kUnansweredPollMs);
  return vm.m_listed && vm.m_fenced && !vm.m_description.m_draining && answers;
}

// A usable VM and its capacity left after the decisions of this pass so far.
struct Scheduler::Slot {
  VmState* m_vm = nullptr;
  Resources m_free;
};

// A ready step with its sort key.
struct Scheduler::Candidate {
  StepRef m_ref;
  Job* m_job = nullptr;
  StepState* m_step = nullptr;
  const StepSpec* m_spec = nullptr;
  // Over the team's rate, late, priority, latest start; smaller goes first.
  std::tuple<bool, bool, std::int64_t, std::int64_t> m_order;
};

class Scheduler::Pass {
 public:
  Pass(const Scheduler& scheduler, CellState& state, const CellRules& rules,
       const CellTime& now, std::size_t free_advice_calls)
      : m_scheduler(scheduler),
        m_state(state),
        m_rules(rules),
        m_now(now),
        m_free_advice_calls(free_advice_calls) {
    for (auto& [life, vm] : state.Vms()) {
      if (IsUsable(vm, now.m_steady_ms)) {
        m_slots[vm.m_description.m_service].push_back({&vm, vm.Free()});
      }
    }
    for (auto& [service, slots] : m_slots) {
      RemoveAvoidedVms(slots);
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
  // Removes VMs to avoid, but never more than a fraction of the pool: when many
  // VMs seem bad, the jobs are the likelier cause.
  void RemoveAvoidedVms(std::vector<Slot>& slots) const {
    const auto avoided = [this](const Slot& slot) {
      return slot.m_vm->IsAvoided(m_now.m_steady_ms);
    };
    if (std::none_of(slots.begin(), slots.end(), avoided)) {
      return;
    }
    const std::size_t max_avoided =
        std::max<std::size_t>(1, slots.size() / kMaxAvoidedDivisor);
    std::stable_sort(
        slots.begin(), slots.end(), [&](const Slot& a, const Slot& b) {
          return AvoidanceRank(a, avoided) < AvoidanceRank(b, avoided);
        });
    std::size_t left_out = 0;
    while (slots.size() > 1 && left_out < max_avoided &&
           avoided(slots.back())) {
      slots.pop_back();
      ++left_out;
    }
  }

  template <typename Avoided>
  static std::size_t AvoidanceRank(const Slot& slot, const Avoided& avoided) {
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
      const std::int64_t latest_start = job->ObjectiveUnixMs(ref.m_occurrence) -
                                        job->CriticalPathFromMs(ref.m_step);
      const bool late = latest_start < m_now.m_unix_ms;
      candidate.m_order = {job->m_over_rate, late,
                           job->m_spec.m_queue.m_priority, latest_start};
      order.push_back(std::move(candidate));
    }
    std::sort(
        order.begin(), order.end(), [](const Candidate& a, const Candidate& b) {
          return std::tie(a.m_order, a.m_ref) < std::tie(b.m_order, b.m_ref);
        });
    return order;
  }

  // How many more tasks of this step the team's cap allows.
  std::int64_t TeamHeadroom(const Candidate& candidate) {
    const std::string& team = candidate.m_job->m_spec.m_team;
    const auto limits = m_rules.m_teams.find(team);
    if (limits == m_rules.m_teams.end()) {
      return INT64_MAX;
    }
    const Resources capacity = Unlimited(limits->second.m_cap) -
                               m_state.TeamUsage(team) - m_team_planned[team];
    return FitCount(candidate.m_spec->m_resources, capacity);
  }

  // How many more tasks the step's `m_max_per_vm` allows on the VM.
  std::int64_t PerVmHeadroom(const Candidate& candidate,
                             const Slot& slot) const {
    if (candidate.m_spec->m_max_per_vm == 0) {
      return INT64_MAX;
    }
    std::int64_t remaining = candidate.m_spec->m_max_per_vm;
    const auto planned =
        m_per_vm.find({candidate.m_ref, slot.m_vm->Incarnation().m_id});
    remaining -= planned == m_per_vm.end() ? 0 : planned->second;
    for (const TaskState& task : candidate.m_step->m_tasks) {
      for (const OpenRun& run : task.m_open) {
        remaining -= run.m_vm.m_id == slot.m_vm->Incarnation().m_id ? 1 : 0;
      }
    }
    return std::max<std::int64_t>(0, remaining);
  }

  std::int64_t Fit(const Candidate& candidate, const Slot& slot) const {
    return std::min(FitCount(candidate.m_spec->Charge(), slot.m_free),
                    PerVmHeadroom(candidate, slot));
  }

  const Advice* AdviceFor(const Candidate& candidate, const Slot& slot) const {
    const auto found =
        candidate.m_step->m_advice.find(slot.m_vm->Incarnation().m_id);
    return found == candidate.m_step->m_advice.end() ? nullptr : &found->second;
  }

  bool HasTicket(const Candidate& candidate, const Slot& slot,
                 std::int64_t margin_ms = kTicketMarginMs) const {
    if (!candidate.m_job->m_spec.m_queue.m_needs_advice) {
      return true;
    }
    const Advice* advice = AdviceFor(candidate, slot);
    return advice != nullptr && advice->m_good &&
           advice->m_born == slot.m_vm->Incarnation().m_born &&
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

  void Reserve(const Candidate& candidate, Slot& slot, std::int64_t tasks) {
    slot.m_free = slot.m_free - candidate.m_spec->Charge() * tasks;
  }

  void Plan(const Candidate& candidate, Slot& slot, std::uint32_t index,
            std::uint32_t run) {
    Placement placement;
    placement.m_task = {candidate.m_ref.m_job, candidate.m_ref.m_occurrence,
                        candidate.m_ref.m_step, index};
    placement.m_run = run;
    placement.m_vm = slot.m_vm->Incarnation();
    if (const Advice* advice = AdviceFor(candidate, slot)) {
      placement.m_ticket = advice->m_ticket;
    }
    m_result.m_placements.push_back(std::move(placement));
    Reserve(candidate, slot, 1);
    Resources& planned = m_team_planned[candidate.m_job->m_spec.m_team];
    planned = planned + candidate.m_spec->m_resources;
    if (candidate.m_spec->m_max_per_vm > 0) {
      ++m_per_vm[{candidate.m_ref, slot.m_vm->Incarnation().m_id}];
    }
  }

  // Smaller is better: in the preferred rack, then not the VM of the last
  // failure, then the least free CPU (best fit).
  std::tuple<bool, bool, std::int64_t> Rank(const Candidate& candidate,
                                            const TaskState& task,
                                            const Slot& slot) const {
    const std::string& rack = candidate.m_spec->m_rack_affinity;
    return {!rack.empty() && !slot.m_vm->HasLabel(rack),
            task.m_last_failed_vm == slot.m_vm->Incarnation().m_id,
            slot.m_free.m_cpu_millis};
  }

  Slot* BestSlot(const Candidate& candidate, const TaskState& task,
                 std::vector<Slot>& slots) {
    Slot* best = nullptr;
    for (Slot& slot : slots) {
      if (!HasTicket(candidate, slot) ||
          !slot.m_vm->HasRequiredLabel(*candidate.m_spec) ||
          Fit(candidate, slot) < 1) {
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
    std::int64_t team_headroom = TeamHeadroom(candidate);
    std::int64_t waiting = 0;
    for (std::uint32_t i = 0; i < candidate.m_step->m_tasks.size(); ++i) {
      const TaskState& task = candidate.m_step->m_tasks[i];
      if (task.m_done || !task.m_open.empty()) {
        continue;
      }
      if (team_headroom < 1) {
        break;
      }
      Slot* slot = waiting > 0 ? nullptr : BestSlot(candidate, task, slots);
      if (slot == nullptr) {
        ++waiting;
        --team_headroom;
        continue;
      }
      Plan(candidate, *slot, i, task.m_last_run + 1);
      --team_headroom;
    }
    if (waiting > 0 && candidate.m_job->m_spec.m_queue.m_needs_advice) {
      RequestAdviceForTasks(candidate, slots, waiting);
    }
  }

  // Reserves capacity on the VMs of a pending advice call, so that it is still
  // free when the tickets arrive.
  void ReserveForPendingAdvice(const Candidate& candidate,
                               std::vector<Slot>& slots, std::int64_t tasks) {
    for (const std::string& id : candidate.m_step->m_pending_advice_vms) {
      const auto slot = std::find_if(
          slots.begin(), slots.end(),
          [&](const Slot& one) { return one.m_vm->Incarnation().m_id == id; });
      if (slot == slots.end() || tasks <= 0) {
        continue;
      }
      const std::int64_t fit =
          std::min({Fit(candidate, *slot), tasks, std::int64_t{1}});
      Reserve(candidate, *slot, fit);
      tasks -= fit;
    }
  }

  bool MayRequestAdvice(const Candidate& candidate) const {
    return m_result.m_advice_requests.size() < m_free_advice_calls &&
           candidate.m_step->m_pending_advice_vms.empty() &&
           candidate.m_step->m_next_advice_call_ms <= m_now.m_steady_ms;
  }

  void RequestAdvice(const Candidate& candidate, std::vector<std::string> vms) {
    const QueueRules& queue = candidate.m_job->m_spec.m_queue;
    AdviceRequest request;
    request.m_step = candidate.m_ref;
    request.m_expected_ms =
        queue.m_advice_base_ms +
        static_cast<std::int64_t>(queue.m_advice_per_vm_ms *
                                  static_cast<double>(vms.size()));
    candidate.m_step->m_pending_advice_vms = vms;
    candidate.m_step->m_next_advice_call_ms =
        m_now.m_steady_ms + kAdviceIntervalMs;
    request.m_vms = std::move(vms);
    m_result.m_advice_requests.push_back(std::move(request));
  }

  // Requests advice on enough VMs with capacity to place the expected number of
  // tasks.
  void RequestAdviceForTasks(const Candidate& candidate,
                             std::vector<Slot>& slots, std::int64_t waiting) {
    if (!candidate.m_step->m_pending_advice_vms.empty()) {
      ReserveForPendingAdvice(candidate, slots, waiting);
      return;
    }
    if (!MayRequestAdvice(candidate)) {
      return;
    }
    const double share =
        m_scheduler.GoodShare(candidate.m_job->m_spec.m_queue.m_name);
    const double wanted = static_cast<double>(waiting) * kAdviceSurplus;
    double expected = 0;
    std::vector<std::string> vms;
    // A different offset for each job, so that jobs do not all request the same
    // VMs.
    const std::size_t offset =
        std::hash<std::string>{}(candidate.m_ref.m_job) % slots.size();
    for (int round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < slots.size(); ++i) {
        const Slot& slot = slots[(i + offset) % slots.size()];
        const bool good = KnownGood(candidate, slot);
        // VMs already recommended come first: only their ticket is missing.
        if (good != (round == 0) || KnownBad(candidate, slot) ||
            HasTicket(candidate, slot) ||
            !slot.m_vm->HasRequiredLabel(*candidate.m_spec)) {
          continue;
        }
        const std::int64_t fit = Fit(candidate, slot);
        if (fit < 1 || vms.size() >= kMaxVmsPerAdviceCall ||
            (expected >= wanted && vms.size() >= kMinVmsPerAdviceCall)) {
          continue;
        }
        expected +=
            static_cast<double>(std::min(fit, waiting)) * (good ? 1.0 : share);
        vms.push_back(slot.m_vm->Incarnation().m_id);
      }
    }
    if (!vms.empty()) {
      RequestAdvice(candidate, std::move(vms));
      ReserveForPendingAdvice(candidate, slots, waiting);
    }
  }

  // How many members fit on each VM that `allowed` accepts, largest first.
  template <typename Allowed>
  std::vector<std::pair<Slot*, std::int64_t>> GangCapacity(
      const Candidate& candidate, std::vector<Slot>& slots,
      const Allowed& allowed) {
    std::vector<std::pair<Slot*, std::int64_t>> capacity;
    for (Slot& slot : slots) {
      const std::int64_t fit = allowed(slot) ? Fit(candidate, slot) : 0;
      if (fit > 0) {
        capacity.emplace_back(&slot, fit);
      }
    }
    std::stable_sort(
        capacity.begin(), capacity.end(),
        [](const auto& a, const auto& b) { return a.second > b.second; });
    return capacity;
  }

  static std::int64_t Total(
      const std::vector<std::pair<Slot*, std::int64_t>>& capacity) {
    std::int64_t total = 0;
    for (const auto& [slot, fit] : capacity) {
      total += fit;
    }
    return total;
  }

  static std::string RackOf(const Slot& slot) {
    const std::vector<std::string>& labels = slot.m_vm->m_description.m_labels;
    return labels.empty() ? "" : labels.back();
  }

  // Keeps only the VMs of one rack if that rack fits the whole gang.
  void PreferOneRack(const Candidate& candidate, std::int64_t tasks,
                     std::vector<std::pair<Slot*, std::int64_t>>& capacity) {
    std::map<std::string, std::int64_t> by_rack;
    for (const auto& [slot, fit] : capacity) {
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
      std::erase_if(capacity, [&](const auto& one) {
        return RackOf(*one.first) != chosen;
      });
    }
  }

  void PlaceGang(const Candidate& candidate, std::vector<Slot>& slots) {
    if (candidate.m_step->m_open > 0 || candidate.m_step->Done()) {
      return;
    }
    const auto tasks =
        static_cast<std::int64_t>(candidate.m_step->m_tasks.size());
    if (TeamHeadroom(candidate) < tasks) {
      return;
    }
    auto capacity = GangCapacity(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->HasRequiredLabel(*candidate.m_spec) &&
             HasTicket(candidate, slot);
    });
    if (Total(capacity) >= tasks) {
      if (candidate.m_spec->m_same_rack ||
          !candidate.m_spec->m_rack_affinity.empty()) {
        PreferOneRack(candidate, tasks, capacity);
      }
      StartGang(candidate, capacity, tasks);
      return;
    }
    if (candidate.m_job->m_spec.m_queue.m_needs_advice) {
      RequestAdviceForGang(candidate, slots, tasks);
    }
    ReserveForGang(candidate, slots, tasks);
  }

  void StartGang(const Candidate& candidate,
                 std::vector<std::pair<Slot*, std::int64_t>>& capacity,
                 std::int64_t tasks) {
    const std::uint32_t run = candidate.m_step->m_last_run + 1;
    std::uint32_t index = 0;
    for (const auto& [slot, fit] : capacity) {
      for (std::int64_t i = 0; i < fit && index < tasks; ++i) {
        Plan(candidate, *slot, index, run);
        ++index;
      }
    }
  }

  // Requests tickets if the recommended VMs have capacity for the gang, and
  // advice on more VMs otherwise.
  void RequestAdviceForGang(const Candidate& candidate,
                            std::vector<Slot>& slots, std::int64_t tasks) {
    if (!MayRequestAdvice(candidate)) {
      return;
    }
    const auto advised = GangCapacity(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->HasRequiredLabel(*candidate.m_spec) &&
             KnownGood(candidate, slot);
    });
    const std::int64_t missing = tasks - Total(advised);
    std::vector<std::string> vms;
    if (missing > 0) {
      AddUnknownVms(candidate, slots, missing, vms);
      if (vms.empty()) {
        return;
      }
    }
    AddVmsWithExpiringTickets(candidate, advised, tasks, vms);
    if (!vms.empty()) {
      RequestAdvice(candidate, std::move(vms));
    }
  }

  // Adds recommended VMs whose tickets would expire during the next call, until
  // the gang fits on the VMs considered.
  void AddVmsWithExpiringTickets(
      const Candidate& candidate,
      const std::vector<std::pair<Slot*, std::int64_t>>& advised,
      std::int64_t tasks, std::vector<std::string>& vms) {
    const QueueRules& queue = candidate.m_job->m_spec.m_queue;
    const auto call_ms = static_cast<std::int64_t>(
        static_cast<double>(queue.m_advice_base_ms) +
        queue.m_advice_per_vm_ms *
            static_cast<double>(kTypicalVmsPerAdviceCall));
    const double wanted = static_cast<double>(tasks) * kAdviceSurplus;
    double expected = 0;
    for (const auto& [slot, fit] : advised) {
      if (expected >= wanted || vms.size() >= kMaxVmsPerAdviceCall) {
        return;
      }
      expected += static_cast<double>(fit);
      if (!HasTicket(candidate, *slot, call_ms)) {
        vms.push_back(slot->m_vm->Incarnation().m_id);
      }
    }
  }

  // Adds VMs without a verdict, those with the most capacity first. The fixed
  // cost of a call is high, so it names at least kTypicalVmsPerAdviceCall VMs
  // if there are as many.
  void AddUnknownVms(const Candidate& candidate, std::vector<Slot>& slots,
                     std::int64_t tasks, std::vector<std::string>& vms) {
    const double share =
        m_scheduler.GoodShare(candidate.m_job->m_spec.m_queue.m_name);
    const auto capacity = GangCapacity(candidate, slots, [&](const Slot& slot) {
      return slot.m_vm->HasRequiredLabel(*candidate.m_spec) &&
             AdviceFor(candidate, slot) == nullptr;
    });
    const double wanted = static_cast<double>(tasks) * kAdviceSurplus;
    double expected = 0;
    for (const auto& [slot, fit] : capacity) {
      const bool enough =
          expected >= wanted && vms.size() >= kTypicalVmsPerAdviceCall;
      if (enough || vms.size() >= kMaxVmsPerAdviceCall) {
        break;
      }
      expected += static_cast<double>(fit) * share;
      vms.push_back(slot->m_vm->Incarnation().m_id);
    }
  }

  // Reserves the VMs on which the gang can start soonest against later steps:
  // those with the most free capacity, as many as fit the gang when empty.
  // Without this a gang would starve, as smaller tasks take freed capacity
  // first.
  void ReserveForGang(const Candidate& candidate, std::vector<Slot>& slots,
                      std::int64_t tasks) {
    const int max_reserving = std::max(
        kMinReservingGangs, static_cast<int>(slots.size()) / kVmsPerGang);
    if (m_reserving_gangs >= max_reserving) {
      return;
    }
    const bool advised = candidate.m_job->m_spec.m_queue.m_needs_advice;
    std::vector<Slot*> usable;
    for (Slot& slot : slots) {
      if (slot.m_free.m_cpu_millis > 0 &&
          slot.m_vm->HasRequiredLabel(*candidate.m_spec) &&
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
  const std::size_t m_free_advice_calls;
  std::map<std::string, std::vector<Slot>> m_slots;
  std::map<std::string, Resources> m_team_planned;
  std::map<std::pair<StepRef, std::string>, std::int64_t> m_per_vm;
  int m_reserving_gangs = 0;
  ScheduleResult m_result;
};

ScheduleResult Scheduler::Decide(CellState& state, const ReadySteps& ready,
                                 const CellRules& rules, const CellTime& now,
                                 std::size_t free_advice_calls) {
  return Pass(*this, state, rules, now, free_advice_calls).Run(ready);
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
  return std::max(share, kMinGoodShare);
}

}  // namespace mustardslip
