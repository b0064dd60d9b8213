// Choice of the VMs named in calls to the advice service.
#include "cell/advice_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "cell/speed_choice.h"

namespace mustardslip {
namespace {

// Factor on the expected need for VMs, since verdicts vary.
constexpr double kAdviceSurplus = 1.3;
// The same for gangs, whose VMs must all be free at the same time: other steps
// take some of the capacity during the call.
constexpr double kGangAdviceSurplus = 2.5;
constexpr std::size_t kMinVmsPerAdviceCall = 4;
constexpr std::size_t kMaxVmsPerAdviceCall = 100;
// Limits the work of choosing the VMs of one call.
constexpr std::size_t kMaxVmsConsidered = 128;
// The same for a gang for which room may be made, of which each VM may become
// part.
constexpr std::size_t kMaxVmsForPreemption = 512;
// The same limit if cold VMs, which are named last, are among them: all VMs of
// a zone may have restarted.
constexpr std::size_t kMaxVmsWithColdOnes = 4 * kMaxVmsConsidered;
// A call that takes longer than this would delay an urgent step behind it
// beyond what a caller who waits for it notices.
constexpr std::int64_t kLongAdviceCallMs = 100;
// Number of VMs that an advice call for a gang usually names.
constexpr std::size_t kTypicalVmsPerAdviceCall = 24;
// How many times over the recommended VMs should hold a gang once runs have
// been stopped for it. A wide choice makes room where the least work is
// stopped, and other gangs take some of it meanwhile.
constexpr double kChoiceSurplus = 4;
// The same once all their runs have ended. With more, the runs that cannot be
// stopped end before further verdicts would help.
constexpr std::int64_t kMaxChoiceSurplus = 12;

// A different start in the pool for each job, so that jobs do not all ask about
// the same VMs.
std::size_t FirstSlot(const StepPlacement& step, const PoolCapacity& pool) {
  const std::string& job = step.OwningJob().m_spec.m_id;
  return std::hash<std::string>{}(job) % pool.Slots().size();
}

// Recommended VMs whose tickets would expire during the next call, until the
// gang fits on the VMs considered.
std::vector<std::string> VmsWithExpiringTickets(
    const StepPlacement& step, const std::vector<SlotFit>& recommended,
    std::int64_t tasks, std::size_t max_vms) {
  const std::int64_t call_ms =
      AdviceCallMs(step.Queue(), kTypicalVmsPerAdviceCall);
  const double wanted = static_cast<double>(tasks) * kAdviceSurplus;
  double expected = 0;
  std::vector<std::string> vms;
  for (const auto& [slot, fit] : recommended) {
    if (expected >= wanted || vms.size() >= max_vms) {
      break;
    }
    expected += static_cast<double>(fit);
    if (!step.HasTicket(*slot, call_ms)) {
      vms.push_back(slot->VmId());
    }
  }
  return vms;
}

// The first of the VMs, none with a verdict, until `wanted` members are
// expected to fit on them and on those that hold `expected` already. The fixed
// cost of a call is high, so it names at least kTypicalVmsPerAdviceCall VMs if
// there are as many.
std::vector<std::string> TakeUntilEnough(const std::vector<SlotFit>& fits,
                                         double expected, double wanted,
                                         double good_share) {
  std::vector<std::string> vms;
  for (const auto& [slot, fit] : fits) {
    const bool enough =
        expected >= wanted && vms.size() >= kTypicalVmsPerAdviceCall;
    if (enough || vms.size() >= kMaxVmsPerAdviceCall) {
      break;
    }
    expected += static_cast<double>(fit) * good_share;
    vms.push_back(slot->VmId());
  }
  return vms;
}

// VMs without a verdict, those with the most capacity first.
std::vector<std::string> UnknownVms(const StepPlacement& step,
                                    PoolCapacity& pool, std::int64_t tasks,
                                    double good_share) {
  std::vector<SlotFit> fits;
  pool.VisitFitting(step.Spec().Charge(), 0, [&](Slot& slot) {
    const std::int64_t fit =
        step.HasRequiredLabel(slot) && step.AdviceFor(slot) == nullptr
            ? step.Fit(slot)
            : 0;
    if (fit > 0) {
      fits.push_back({&slot, fit});
    }
    return true;
  });
  const double wanted = static_cast<double>(tasks) * kGangAdviceSurplus;
  KeepFastest(static_cast<std::int64_t>(std::ceil(wanted / good_share)), fits);
  SortLargestFirst(fits);
  MoveSlowLast(fits);
  return TakeUntilEnough(fits, 0, wanted, good_share);
}

// VMs without a verdict that hold members of the gang once their runs have
// ended, those that hold most of them after stops first, until `wanted` members
// fit after stops on them and on those that hold `expected` already.
std::vector<std::string> UnknownVmsOnceEmptied(const StepPlacement& step,
                                               PoolCapacity& pool,
                                               double wanted, double expected,
                                               double good_share,
                                               const FitAfterStops& fit) {
  if (expected >= wanted) {
    return {};
  }
  std::vector<SlotFit> fits;
  const std::size_t count = pool.Slots().size();
  const std::size_t first = FirstSlot(step, pool);
  for (std::size_t i = 0; i < count && fits.size() < kMaxVmsForPreemption;
       ++i) {
    Slot& slot = pool.Slots()[(first + i) % count];
    if (step.HasRequiredLabel(slot) && step.AdviceFor(slot) == nullptr &&
        step.FitInTime(slot) > 0) {
      fits.push_back({&slot, fit(slot)});
    }
  }
  std::stable_sort(fits.begin(), fits.end(),
                   [](const SlotFit& a, const SlotFit& b) {
                     return std::pair(a.m_fit, a.m_slot->m_free.m_cpu_millis) >
                            std::pair(b.m_fit, b.m_slot->m_free.m_cpu_millis);
                   });
  MoveSlowLast(fits);
  return TakeUntilEnough(fits, expected, wanted, good_share);
}

}  // namespace

std::int64_t AdviceCallMs(const QueueRules& queue, std::size_t vms) {
  return queue.m_advice_base_ms +
         static_cast<std::int64_t>(queue.m_advice_per_vm_ms *
                                   static_cast<double>(vms));
}

bool IsLongAdviceCall(const QueueRules& queue) {
  return AdviceCallMs(queue, kTypicalVmsPerAdviceCall) >= kLongAdviceCallMs;
}

std::vector<SlotFit> RecommendedFits(const StepPlacement& step,
                                     PoolCapacity& pool) {
  std::vector<SlotFit> fits;
  step.VisitRecommended(pool, [&](Slot& slot) {
    const std::int64_t fit = step.HasRequiredLabel(slot) ? step.Fit(slot) : 0;
    if (fit > 0) {
      fits.push_back({&slot, fit});
    }
  });
  SortLargestFirst(fits);
  return fits;
}

void SortLargestFirst(std::vector<SlotFit>& fits) {
  std::stable_sort(fits.begin(), fits.end(),
                   [](const SlotFit& a, const SlotFit& b) {
                     return std::pair(a.m_slot->m_cold, b.m_fit) <
                            std::pair(b.m_slot->m_cold, a.m_fit);
                   });
}

std::int64_t TotalFit(const std::vector<SlotFit>& fits) {
  std::int64_t total = 0;
  for (const SlotFit& one : fits) {
    total += one.m_fit;
  }
  return total;
}

std::vector<std::string> ChooseVmsForTasks(const StepPlacement& step,
                                           PoolCapacity& pool,
                                           std::int64_t waiting,
                                           double good_share) {
  const double wanted = static_cast<double>(waiting) * kAdviceSurplus;
  double expected = 0;
  std::vector<std::string> vms;
  const auto enough = [&] {
    return vms.size() >= kMaxVmsPerAdviceCall ||
           (expected >= wanted && vms.size() >= kMinVmsPerAdviceCall);
  };
  const auto add = [&](const Slot& slot, std::int64_t fit, double share) {
    expected += static_cast<double>(std::min(fit, waiting)) * share;
    vms.push_back(slot.VmId());
  };
  // VMs already recommended come first: only their ticket is missing.
  std::vector<SlotFit> without_ticket;
  step.VisitRecommended(pool, [&](Slot& slot) {
    const std::int64_t fit = step.Fit(slot);
    if (fit > 0 && !step.HasTicket(slot) && step.HasRequiredLabel(slot)) {
      without_ticket.push_back({&slot, fit});
    }
  });
  SortByWantedSpeed(step.WantedSpeed(), without_ticket);
  for (const auto& [slot, fit] : without_ticket) {
    if (enough()) {
      break;
    }
    add(*slot, fit, 1.0);
  }
  std::vector<SlotFit> unknown;
  std::size_t cold = 0;
  pool.VisitFitting(step.Spec().Charge(), FirstSlot(step, pool),
                    [&](Slot& slot) {
                      const std::int64_t fit = step.Fit(slot);
                      if (fit > 0 && step.AdviceFor(slot) == nullptr &&
                          step.HasRequiredLabel(slot)) {
                        unknown.push_back({&slot, fit});
                        cold += slot.m_cold ? 1 : 0;
                      }
                      return unknown.size() - cold < kMaxVmsConsidered &&
                             unknown.size() < kMaxVmsWithColdOnes;
                    });
  // Best fit leaves the VMs with much free capacity to gangs and large tasks.
  std::stable_sort(
      unknown.begin(), unknown.end(), [](const SlotFit& a, const SlotFit& b) {
        return std::pair(a.m_slot->m_cold, a.m_slot->m_free.m_cpu_millis) <
               std::pair(b.m_slot->m_cold, b.m_slot->m_free.m_cpu_millis);
      });
  SortByWantedSpeed(step.WantedSpeed(), unknown);
  for (const auto& [slot, fit] : unknown) {
    if (enough()) {
      break;
    }
    add(*slot, fit, good_share);
  }
  return vms;
}

std::vector<std::string> ChooseVmsForGang(const StepPlacement& step,
                                          PoolCapacity& pool,
                                          std::int64_t tasks,
                                          double good_share) {
  std::vector<SlotFit> recommended = RecommendedFits(step, pool);
  const std::int64_t missing = tasks - TotalFit(recommended);
  std::vector<std::string> vms;
  if (missing > 0) {
    vms = UnknownVms(step, pool, missing, good_share);
    if (vms.empty()) {
      return vms;
    }
  }
  KeepFastest(static_cast<std::int64_t>(
                  std::ceil(static_cast<double>(tasks) * kAdviceSurplus)),
              recommended);
  std::vector<std::string> expiring = VmsWithExpiringTickets(
      step, recommended, tasks, kMaxVmsPerAdviceCall - vms.size());
  vms.insert(vms.end(), expiring.begin(), expiring.end());
  return vms;
}

std::vector<std::string> ChooseVmsForPreemption(const StepPlacement& step,
                                                PoolCapacity& pool,
                                                std::int64_t tasks,
                                                double good_share,
                                                const FitAfterStops& fit) {
  const auto held = [&](const auto& fit_on) {
    std::int64_t members = 0;
    step.VisitRecommended(pool, [&](const Slot& slot) {
      if (step.HasRequiredLabel(slot)) {
        members += std::min(fit_on(slot), tasks);
      }
    });
    return members;
  };
  const std::int64_t in_time =
      held([&](const Slot& slot) { return step.FitInTime(slot); });
  std::vector<std::string> vms;
  if (in_time < tasks * kMaxChoiceSurplus) {
    vms = UnknownVmsOnceEmptied(
        step, pool, static_cast<double>(tasks) * kChoiceSurplus,
        static_cast<double>(held(fit)), good_share, fit);
  }
  const std::vector<SlotFit> recommended = RecommendedFits(step, pool);
  if (TotalFit(recommended) >= tasks) {
    const std::vector<std::string> expiring = VmsWithExpiringTickets(
        step, recommended, tasks, kMaxVmsPerAdviceCall - vms.size());
    vms.insert(vms.end(), expiring.begin(), expiring.end());
  }
  return vms;
}

}  // namespace mustardslip
