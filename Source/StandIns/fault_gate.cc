// Faults of stand-in calls.
#include "fault_gate.h"

#include <array>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "transport/http_error.h"
#include "transport/http_server.h"

namespace mustardslip {
namespace {

// `unreachable` is the worker's word for `down`: one process serves many VMs,
// so that a single VM cannot refuse connections.
constexpr std::array<std::pair<std::string_view, FaultMode>, 9> kModes = {
    {{"ok", FaultMode::kOk},
     {"down", FaultMode::kDown},
     {"unreachable", FaultMode::kDown},
     {"drop", FaultMode::kDrop},
     {"error", FaultMode::kError},
     {"hang", FaultMode::kHang},
     {"slow", FaultMode::kSlow},
     {"lose_answer", FaultMode::kLoseAnswer},
     {"twice", FaultMode::kTwice}}};

}  // namespace

Result<FaultSetting> ParseFaultSetting(const nlohmann::json& json) {
  try {
    FaultSetting setting;
    const auto name = json.at("mode").get<std::string>();
    bool known = false;
    for (const auto& [mode_name, mode] : kModes) {
      if (mode_name == name) {
        setting.m_mode = mode;
        known = true;
      }
    }
    if (!known) {
      return Fail(ErrorCode::kInvalidArgument, "invalid_faults", name);
    }
    setting.m_delay = Milliseconds(json.value("delay_ms", std::int64_t{0}));
    setting.m_probability = json.value("probability", 1.0);
    setting.m_seed = json.value("seed", std::uint64_t{1});
    setting.m_writes_only = json.value("writes_only", false);
    setting.m_count = json.value("count", std::int64_t{0});
    return setting;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_faults", error.what());
  }
}

void FaultGate::Set(const FaultSetting& setting) {
  const std::lock_guard lock(m_mutex);
  m_setting = setting;
  m_random.seed(setting.m_seed);
  ++m_setting_number;
  m_changed.notify_all();
}

void FaultGate::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

FaultSetting FaultGate::Take(bool is_write) {
  const std::lock_guard lock(m_mutex);
  FaultSetting setting = m_setting;
  const bool strikes = m_setting.m_mode != FaultMode::kOk &&
                       (is_write || !m_setting.m_writes_only) &&
                       std::uniform_real_distribution<double>()(m_random) <
                           m_setting.m_probability;
  if (!strikes) {
    return {};
  }
  ++m_strikes;
  if (m_setting.m_count > 0 && --m_setting.m_count == 0) {
    m_setting.m_mode = FaultMode::kOk;
  }
  return setting;
}

void FaultGate::Delay(Milliseconds delay) {
  std::unique_lock lock(m_mutex);
  m_clock.WaitUntil(lock, m_changed, m_clock.UnixMillis() + delay.count(),
                    [this] { return m_stopped; });
}

void FaultGate::Hang() {
  std::unique_lock lock(m_mutex);
  const std::int64_t number = m_setting_number;
  m_changed.wait(lock, [&] { return m_stopped || m_setting_number != number; });
}

HttpResponse FaultGate::Run(bool is_write,
                            const std::function<HttpResponse()>& apply) {
  HttpResponse no_answer{kStatusNoAnswer, {}, ""};
  const FaultSetting setting = Take(is_write);
  switch (setting.m_mode) {
    case FaultMode::kOk:
      return apply();
    case FaultMode::kDown:
      return ErrorResponse(Error(ErrorCode::kUnavailable, "fault_down"));
    case FaultMode::kDrop:
      return no_answer;
    case FaultMode::kError:
      return ErrorResponse(Error(ErrorCode::kInternal, "fault_error"));
    case FaultMode::kHang:
      Hang();
      return no_answer;
    case FaultMode::kSlow:
      Delay(setting.m_delay);
      return apply();
    case FaultMode::kLoseAnswer: {
      HttpResponse answer = apply();
      Delay(setting.m_delay);
      return setting.m_delay.count() > 0 ? answer : no_answer;
    }
    case FaultMode::kTwice:
      apply();
      return apply();
  }
  return no_answer;
}

}  // namespace mustardslip
