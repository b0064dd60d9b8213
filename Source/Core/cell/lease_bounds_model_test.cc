// Model test of how long the runs of VMs that do not answer are waited for,
// over any changes of the owner.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

#include "cell/vm_lease_fixture.h"

namespace mustardslip {
namespace {

constexpr int kVms = 3;
// The longest bound that an owner records: 9 s in which an earlier owner may
// have renewed leases, 5 s for late calls, the longest lease on a slow clock,
// and the slack.
constexpr std::int64_t kLongestRecordMs = 9'000 + 5'000 + 10'200 + 300;
// A later owner adds the allowed difference of clocks.
constexpr std::int64_t kClockDifferenceMs = 5'000;
// Until the silence is noticed and recorded, and from the bound to the tick.
constexpr std::int64_t kNoticeMs = 300;
// Each event is followed by at least this much time, in which its owner notices
// a silence.
constexpr std::int64_t kStepMs = 200;

class WaitModel {
 public:
  WaitModel() {
    m_cell.m_simulate_leases = true;
    m_cell.m_late_call_ms = *rc::gen::element(0, 500, 4'500);
    for (int i = 0; i < kVms; ++i) {
      m_cell.AddVm(VmName(i), kVmCapacity, {}, m_cell.Now().m_unix_ms)
          .m_clock_offset_ms = RandomClock();
      NoteList(VmName(i));
    }
    m_cell.Run(*rc::gen::element(200, 8'000, 30'000));
    Submit();
    m_cell.Run(kStepMs);
  }

  void RunRandomEvent() {
    const std::string id = VmName(*rc::gen::inRange(0, kVms));
    SimulatedVm& vm = m_cell.Vm(id);
    switch (*rc::gen::inRange(0, 16)) {
      case 0:
        vm.m_reachable = !vm.m_reachable;
        m_silent_since.erase(id);
        break;
      case 1:
        vm.m_answers_polls = !vm.m_answers_polls;
        vm.m_answers_starts = vm.m_answers_polls;
        m_silent_since.erase(id);
        break;
      case 2:
        Restart(id);
        break;
      case 3:
        vm.m_has_entry = !vm.m_has_entry;
        break;
      case 4:
        m_cell.Unlist(id);
        m_silent_since.erase(id);
        break;
      case 5:
        m_cell.List(id);
        NoteList(id);
        break;
      case 6:
        vm.m_reachable_by_former = !vm.m_reachable_by_former;
        break;
      case 7:
      case 8:
        m_cell.m_log = m_cell.Core().State().Snapshot();
        m_cell.TakeOver();
        NoteListAtTakeOver();
        break;
      case 9:
        Submit();
        break;
      case 10:
        m_cell.Supersede();
        NoteListAtTakeOver();
        break;
      default:
        m_cell.TakeOver();
        NoteListAtTakeOver();
        break;
    }
    const std::int64_t ms =
        *rc::gen::element<std::int64_t>(200, 1'000, 3'000, 5'000);
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      m_cell.Run(kStepMs);
      Check();
    }
  }

 private:
  static std::string VmName(int number) {
    return "vm-" + std::to_string(number);
  }

  static std::int64_t RandomClock() {
    return *rc::gen::element<std::int64_t>(0, 8'000, kHourMs);
  }

  void Submit() {
    m_cell.Submit(m_cell.Job(++m_jobs, {CellHarness::Step(2 * kVms, 1'000)}));
  }

  void Restart(const std::string& id) {
    const SimulatedVm before = m_cell.Vm(id);
    SimulatedVm& vm = m_cell.Restart(id, m_cell.Now().m_unix_ms);
    vm.m_reachable = before.m_reachable;
    vm.m_answers_polls = before.m_answers_polls;
    vm.m_answers_starts = before.m_answers_starts;
    vm.m_has_entry = before.m_has_entry;
    vm.m_clock_offset_ms = RandomClock();
    m_silent_since.erase(id);
  }

  // An incarnation that becomes known is waited for anew.
  void NoteList(const std::string& id) {
    const std::int64_t born = m_cell.Vm(id).m_description.m_incarnation.m_born;
    if (m_known_born[id] != born) {
      m_silent_since.erase(id);
    }
    m_known_born[id] = born;
  }

  void NoteListAtTakeOver() {
    for (int i = 0; i < kVms; ++i) {
      if (m_cell.Vm(VmName(i)).m_has_entry) {
        NoteList(VmName(i));
      }
    }
  }

  void Check() {
    RC_ASSERT(m_cell.m_started_twice.empty());
    const std::int64_t now_ms = m_cell.Now().m_steady_ms;
    for (int i = 0; i < kVms; ++i) {
      const std::string id = VmName(i);
      const SimulatedVm& vm = m_cell.Vm(id);
      if (vm.m_reachable && vm.m_answers_polls) {
        m_silent_since.erase(id);
        continue;
      }
      const auto since = m_silent_since.emplace(id, now_ms).first;
      if (now_ms - since->second <=
          kLongestRecordMs + kClockDifferenceMs + kNoticeMs) {
        continue;
      }
      for (const VmState* life : m_cell.Core().State().IncarnationsOf(id)) {
        RC_ASSERT(life->m_open.empty());
      }
    }
  }

  CellHarness m_cell;
  int m_jobs = 0;
  // When the VM fell silent, or an incarnation of it became known since.
  std::map<std::string, std::int64_t> m_silent_since;
  // The newest incarnation that was listed to an owner.
  std::map<std::string, std::int64_t> m_known_born;
};

// Fails if changes of the owner make a task wait longer than the longest bound
// that an owner records and the difference of clocks, or run twice.
RC_GTEST_PROP(LeaseBoundsModelTest, NoTaskWaitsLongerThanTheBound, ()) {
  WaitModel model;
  const int events = *rc::gen::inRange(10, 60);
  for (int i = 0; i < events; ++i) {
    model.RunRandomEvent();
  }
}

}  // namespace
}  // namespace mustardslip
