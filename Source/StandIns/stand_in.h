// What the stand-ins have in common, and the loop of their programs.
#pragma once

#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "common/clock.h"
#include "common/result.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace mustardslip {

// A part of the platform over HTTP. Thread-safe.
class StandIn {
 public:
  virtual ~StandIn() = default;

  virtual HttpResponse Handle(const HttpRequest& request) = 0;
  // Moves the stand-in's time forward.
  virtual void Advance(Milliseconds step) = 0;
  // Ends the calls that wait, so that a server can stop.
  virtual void Stop() = 0;
};

// A number in the query; `fallback` if it is absent or malformed.
inline std::int64_t QueryNumber(const HttpRequest& request,
                                const std::string& name,
                                std::int64_t fallback = 0) {
  const std::string text = request.Query(name);
  std::int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid =
      error == std::errc() && !text.empty() && end == text.data() + text.size();
  return valid ? value : fallback;
}

inline HttpResponse JsonResponse(const nlohmann::json& json) {
  return {200, {}, json.dump()};
}

HttpResponse UnknownPath(const HttpRequest& request);

// Serves on the address until SIGTERM or SIGINT; returns the exit code. Prints
// one line when it listens.
int RunStandIn(StandIn& stand_in, const HttpServerOptions& options);

// Applies the environment and the command line to the flags. Returns an exit
// code if the program must end.
class SettingsTable;
struct ParsedSettings {
  bool m_ends = false;
  int m_exit_code = 0;
};
ParsedSettings ParseStandInSettings(const SettingsTable& table, int argc,
                                    char** argv);

}  // namespace mustardslip
