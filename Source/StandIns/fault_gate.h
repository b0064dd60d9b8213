// Applies the faults that a test has asked for to the calls of a stand-in.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

#include "common/result.h"
#include "stand_in_clock.h"
#include "transport/http_message.h"

namespace mustardslip {

enum class FaultMode {
  kOk,
  kDown,        // Answers 503; no effect.
  kDrop,        // Closes the connection; no effect.
  kError,       // Answers 500; no effect.
  kHang,        // No answer and no effect until the mode changes.
  kSlow,        // Takes effect and answers after the delay.
  kLoseAnswer,  // Takes effect, then closes the connection; with a delay, it
                // answers after the delay.
  kTwice,       // Takes effect twice and gives the second answer.
};

// How calls fail, as in the JSON of POST /control/faults.
struct FaultSetting {
  FaultMode m_mode = FaultMode::kOk;
  Milliseconds m_delay{0};
  // The share of calls that have the fault.
  double m_probability = 1.0;
  std::uint64_t m_seed = 1;
  bool m_writes_only = false;
  // Calls that have the fault before the mode returns to ok; 0: all.
  std::int64_t m_count = 0;
};

// Errors: kInvalidArgument with reason "invalid_faults".
Result<FaultSetting> ParseFaultSetting(const nlohmann::json& json);

// Thread-safe.
class FaultGate {
 public:
  explicit FaultGate(const StandInClock& clock) : m_clock(clock) {}

  void Set(const FaultSetting& setting);

  // Runs `apply` as the setting has it for this call. `apply` is the effect and
  // the answer of the call.
  HttpResponse Run(bool is_write, const std::function<HttpResponse()>& apply);

  // Calls that have had a fault.
  std::int64_t Strikes() const { return m_strikes; }

  // Ends the calls that hang or are delayed, now and in future.
  void Stop();

 private:
  // The setting for one call; mode ok where the fault does not strike.
  FaultSetting Take(bool is_write);
  void Delay(Milliseconds delay);
  void Hang();

  const StandInClock& m_clock;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  FaultSetting m_setting;             // Guarded by m_mutex.
  std::mt19937_64 m_random{1};        // Guarded by m_mutex.
  std::int64_t m_setting_number = 0;  // Guarded by m_mutex.
  bool m_stopped = false;             // Guarded by m_mutex.
  std::atomic<std::int64_t> m_strikes = 0;
};

}  // namespace mustardslip
