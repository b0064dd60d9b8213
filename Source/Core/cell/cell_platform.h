// Interfaces of the platform that a cell needs besides the store: control of
// VMs and the advice service. Implemented by platform adapters and test fakes.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "cell/cell_types.h"
#include "common/result.h"

namespace mustardslip {

// A poll of a VM: renews its lease, raises its fence, and reads its lists of
// runs.
struct PollRequest {
  VmIncarnation m_vm;
  std::string m_address;
  std::int64_t m_fence = 0;
  // The VM may discard run ends up to this sequence number. 0 discards none.
  std::uint64_t m_last_end = 0;
  // On the VM's clock; nullopt leaves the lease as it is.
  std::optional<std::int64_t> m_lease_until_vm_ms;
  // Maximum time that the VM waits for a run to end before it answers.
  std::int64_t m_wait_ms = 0;
};

using PollDone = std::function<void(Result<VmReport>)>;
using StartDone = std::function<void(StartAnswer)>;
// Passes the time of the answer on the VM's clock, in milliseconds.
using StopDone = std::function<void(Result<std::int64_t>)>;
using AdviceDone = std::function<void(AdviceAnswer)>;

// Errors of Hold and Stop: kStaleEpoch if the VM has seen a higher fence,
// kNotFound if another VM answered, kUnavailable with the reason
// kConnectionRefused if nobody listens, otherwise transport errors. A call
// names the VM by its id alone, so a later incarnation under the same id
// executes it too: the report of Hold carries the incarnation that answered.
// Implementations never resend a call.
template <typename V>
concept VmControl = requires(V vms, const PollRequest& hold,
                             const StartRun& start, const StopRun& stop,
                             std::int64_t fence) {
  vms.Hold(hold, PollDone());
  vms.Start(start, fence, StartDone());
  vms.Stop(stop, fence, StopDone());
};

template <typename A>
concept AdviceService = requires(A service, const AdviceRequest& ask) {
  service.Ask(ask, AdviceDone());
};

}  // namespace mustardslip
