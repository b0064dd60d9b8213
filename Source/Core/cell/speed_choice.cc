// Classes of VMs by speed, and the choice among them.
#include "cell/speed_choice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <optional>

#include "cell/vm_speed.h"

namespace mustardslip {
namespace {

// VMs of like speed are one class, so that best fit decides among them and the
// error of an estimate does not: it is about half of the width for an average
// VM with eight runs.
const double kClassWidth = std::log(1.25);
// Fast VMs are scarce with less than this share of their capacity free.
constexpr double kScarceShare = 0.2;
// A step has slack for a slow VM if it is this many times what its task takes
// longer there: declared times are rough.
constexpr double kSlackFactor = 2;
// A cold VM counts as slower than all others.
constexpr int kColdClass = -100;
// Steps of this priority always take the fastest.
constexpr std::int64_t kMostUrgentPriority = 0;

}  // namespace

void SetSpeeds(const VmSpeeds* speeds, PoolCapacity& pool) {
  if (speeds == nullptr || speeds->Empty()) {
    return;
  }
  std::int64_t fast_total = 0;
  std::int64_t fast_free = 0;
  bool slow_has_room = false;
  for (Slot& slot : pool.Slots()) {
    slot.m_speed = speeds->Of(slot.m_vm->Incarnation());
    slot.m_speed_class =
        slot.m_cold ? kColdClass
                    : static_cast<int>(
                          std::lround(std::log(slot.m_speed) / kClassWidth));
    if (slot.m_speed_class >= 0) {
      fast_total += slot.m_vm->m_description.m_capacity.m_cpu_millis;
      fast_free += std::max<std::int64_t>(0, slot.m_free.m_cpu_millis);
    } else {
      slow_has_room = slow_has_room || slot.m_free.m_cpu_millis > 0;
    }
  }
  pool.SetFastVmsAreScarce(slow_has_room &&
                           static_cast<double>(fast_free) <
                               kScarceShare * static_cast<double>(fast_total));
}

// The chain of steps that remains is part of the latest start, so that the
// longest ones have the least slack.
SpeedWish SpeedWishOf(const ReadyStep& step, const PoolCapacity& pool,
                      std::int64_t now_unix_ms) {
  SpeedWish wish;
  const std::optional<ReadyOrder>& order = step.m_state->m_ready_order;
  if (!pool.FastVmsAreScarce() || !order ||
      order->m_priority <= kMostUrgentPriority || step.Spec().m_long_lived) {
    return wish;
  }
  const auto slack =
      static_cast<double>(order->m_latest_start_unix_ms - now_unix_ms);
  const auto run_ms = static_cast<double>(step.Spec().m_estimate_ms);
  if (slack <= 0 || run_ms <= 0) {
    return wish;
  }
  wish.m_slow_first = true;
  wish.m_min_speed = run_ms / (run_ms + slack / kSlackFactor);
  return wish;
}

int SpeedRank(const SpeedWish& wish, const Slot& slot) {
  if (!wish.m_slow_first) {
    return -slot.m_speed_class;
  }
  // Those that are too slow go last, the fastest of them first.
  constexpr int kTooSlow = 1'000;
  return slot.m_speed >= wish.m_min_speed ? slot.m_speed_class
                                          : kTooSlow - slot.m_speed_class;
}

void SortByWantedSpeed(const SpeedWish& wish, std::vector<SlotFit>& fits) {
  std::stable_sort(
      fits.begin(), fits.end(), [&](const SlotFit& a, const SlotFit& b) {
        return SpeedRank(wish, *a.m_slot) < SpeedRank(wish, *b.m_slot);
      });
}

void MoveSlowLast(std::vector<SlotFit>& fits) {
  std::stable_partition(fits.begin(), fits.end(), [](const SlotFit& one) {
    return one.m_slot->m_speed_class >= 0;
  });
}

void KeepFastest(std::int64_t tasks, std::vector<SlotFit>& fits) {
  std::map<int, std::int64_t, std::greater<>> by_class;
  for (const auto& [slot, fit] : fits) {
    by_class[slot->m_speed_class] += fit;
  }
  int slowest = std::numeric_limits<int>::min();
  std::int64_t held = 0;
  for (const auto& [speed_class, fit] : by_class) {
    held += fit;
    if (held >= tasks) {
      slowest = speed_class;
      break;
    }
  }
  std::erase_if(fits, [&](const SlotFit& one) {
    return one.m_slot->m_speed_class < slowest;
  });
}

}  // namespace mustardslip
