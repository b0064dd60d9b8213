// The baseline: first come first served, first fit, no shares. Work waits in
// one queue, and nothing overtakes the first attempt or gang that fits nowhere.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "placement/placement_types.h"

namespace mustardslip::bench {

class FirstComeFirstServed {
 public:
  explicit FirstComeFirstServed(PlacementOptions options)
      : m_options(options) {}

  void SetVm(const VmDescription& description, VmCondition condition);
  void SetTeamShare(const std::string&, double) {}
  std::vector<Decision> Enqueue(const std::vector<AttemptSpec>& attempts,
                                bool gang, TimePoint now);
  std::vector<Decision> Decide(TimePoint now);
  void Ended(const AttemptId& attempt, TaskEndReason reason, TimePoint now);
  void StartFailed(const AttemptId& attempt, TimePoint now);
  bool Cancel(const AttemptId& attempt);
  void ReportUsage(const AttemptId&, const Resources&) {}
  Resources ChargedSize(const AttemptId& attempt) const;

  std::int64_t QueueLength() const { return m_waiting; }
  std::int64_t QueueLength(const std::string& team) const;
  std::int64_t RunningCount() const {
    return static_cast<std::int64_t>(m_running.size());
  }
  std::int64_t QuarantinedCount() const { return 0; }
  Resources TotalCapacity() const { return m_total; }
  Resources ChargedResources() const { return m_charged; }
  Resources TeamUsage(const std::string& team) const;

 private:
  struct Unit {
    std::vector<AttemptSpec> m_tasks;  // Cancelled ones are removed.
    bool m_gang = false;
  };

  struct Vm {
    VmDescription m_description;
    Resources m_free;
    bool m_ready = false;
  };

  struct Running {
    AttemptSpec m_spec;
    std::size_t m_vm = 0;
  };

  std::size_t FirstFit(const Resources& need) const;
  void Start(const AttemptSpec& spec, std::size_t vm);

  PlacementOptions m_options;
  std::vector<Vm> m_vms;
  std::deque<std::shared_ptr<Unit>> m_queue;
  absl::flat_hash_map<AttemptId, std::shared_ptr<Unit>> m_waiting_units;
  absl::flat_hash_map<AttemptId, Running> m_running;
  std::map<std::string, std::int64_t> m_team_waiting;
  std::map<std::string, Resources> m_team_use;
  std::int64_t m_waiting = 0;
  Resources m_total;
  Resources m_charged;
};

}  // namespace mustardslip::bench
