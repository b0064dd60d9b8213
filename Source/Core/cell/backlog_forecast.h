// How soon a job could start at best, from the work that is ahead of it. Used
// to refuse a job that could not end in time to be of use, and by the dry run.
//
// The load: demand of several times a pool's capacity for longer than callers
// wait. A job that is accepted then runs when nobody needs its result, and
// takes room from others. The forecast is a lower bound: it assumes that the
// whole pool serves nothing but the work ahead, so a refusal is never wrong
// about the present backlog. Free of I/O and side effects.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/job_state.h"

namespace mustardslip {

// Work of steps that can still meet their objective, which go before others.
class BacklogForecast {
 public:
  // Adds CPU that the usable VMs of the service have, in thousandths of a core.
  void AddCapacity(const std::string& service, std::int64_t cpu_millis) {
    m_services[service].m_cpu_millis += cpu_millis;
  }

  // Adds the waiting work of a step, in thousandths of a core times
  // milliseconds. Call in scheduling order.
  void AddWork(const std::string& service, const ReadyOrder& order,
               std::int64_t work);

  // The shortest time in milliseconds until a step at this place has its turn;
  // nullopt if the service has no usable VM.
  std::optional<std::int64_t> MinWaitMs(const std::string& service,
                                        const ReadyOrder& order) const;

 private:
  struct Service {
    std::int64_t m_cpu_millis = 0;
    // In scheduling order, each with the work up to this one.
    std::vector<std::pair<ReadyOrder, std::int64_t>> m_work;
  };

  std::map<std::string, Service> m_services;
};

// The Retry-After in milliseconds for a job that could not end in time to be of
// use: after this time it could be accepted, if nothing else came. Nullopt for
// a job that may end in time, a scheduled one, or one with long-lived tasks.
// `job`: submitted now, not accepted yet.
std::optional<std::int64_t> RetryAfterIfHopeless(
    const BacklogForecast& forecast, const Job& job, std::int64_t now_unix_ms);

// The latest end at which the job's result is of use to its caller.
std::int64_t LastUsefulEndUnixMs(const Job& job, std::uint32_t occurrence);

}  // namespace mustardslip
