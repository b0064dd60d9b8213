// The loop of the stand-in programs.
#include "stand_in.h"

#include <fmt/core.h>
#include <signal.h>

#include <cstdio>
#include <exception>

#include "common/settings.h"
#include "transport/http_error.h"

namespace mustardslip {

HttpResponse UnknownPath(const HttpRequest& request) {
  return ErrorResponse(Error(ErrorCode::kNotFound, "unknown_path",
                             request.m_method + " " + request.m_path));
}

int RunStandIn(StandIn& stand_in, const HttpServerOptions& options) {
  // Blocked before the server starts its threads, which inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    HttpServer server(options, [&](const HttpRequest& request) {
      return stand_in.Handle(request);
    });
    fmt::print("listening on {}:{}\n", options.m_address, options.m_port);
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    stand_in.Stop();
  } catch (const std::exception& error) {
    fmt::print(stderr, "cannot listen on {}:{}: {}\n", options.m_address,
               options.m_port, error.what());
    return 1;
  }
  return 0;
}

ParsedSettings ParseStandInSettings(const SettingsTable& table, int argc,
                                    char** argv) {
  const auto parsed = table.Parse(argc, argv);
  if (parsed && parsed->empty()) {
    return {};
  }
  if (!parsed && parsed.error().Reason() == "help_requested") {
    fmt::print("{}", parsed.error().Message());
    return {true, 0};
  }
  fmt::print(stderr, "{}\n",
             parsed ? "unexpected argument " + parsed->front()
                    : parsed.error().Message());
  return {true, kUsageExitCode};
}

}  // namespace mustardslip
