// Interface to the clock and timers of an event loop. Tests implement it with a
// manual clock.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>

#include "cell/cell_types.h"

namespace mustardslip {

template <typename L>
concept TimerLoop = requires(L loop, std::int64_t ms,
                             std::function<void()> task) {
  { loop.Now() } -> std::same_as<CellTime>;
  // Runs the task once, after `ms` milliseconds.
  loop.After(ms, task);
};

}  // namespace mustardslip
