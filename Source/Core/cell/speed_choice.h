// How a scheduling pass uses the estimated speeds of the VMs: for independent
// tasks, gangs and advice requests. With equal speeds nothing changes.
#pragma once

#include <cstdint>
#include <vector>

#include "cell/advice_plan.h"
#include "cell/pool_capacity.h"
#include "cell/step_placement.h"

namespace mustardslip {

class VmSpeeds;

// Sets the speed of each VM of the pool; all are alike if `speeds` is null.
// Requires Finish().
void SetSpeeds(const VmSpeeds* speeds, PoolCapacity& pool);

// The fastest first. While the fast VMs are scarce, a step that is not urgent
// and whose objective leaves time for it prefers the slowest VMs that are fast
// enough, so that the others remain for steps without slack.
SpeedWish SpeedWishOf(const ReadyStep& step, const PoolCapacity& pool,
                      std::int64_t now_unix_ms);

// Smaller is better. Any VM is better than none.
int SpeedRank(const SpeedWish& wish, const Slot& slot);

// Keeps the order of VMs of like speed.
void SortByWantedSpeed(const SpeedWish& wish, std::vector<SlotFit>& fits);

// VMs that are slower than the mean go last: as they are used last, they would
// be the first ones by their free capacity. Keeps the order otherwise.
void MoveSlowLast(std::vector<SlotFit>& fits);

// Removes the slowest VMs while the others hold `tasks`, so that the slowest
// member of a gang is as fast as possible. Keeps the order of the rest, and all
// VMs if together they hold less.
void KeepFastest(std::int64_t tasks, std::vector<SlotFit>& fits);

}  // namespace mustardslip
