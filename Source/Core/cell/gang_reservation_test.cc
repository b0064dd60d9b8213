// Tests of the room that waiting gangs keep from other steps: none for a gang
// that the usable VMs could not hold when empty, whatever the reason and
// whenever that becomes so. The comment of each test names the failure that it
// guards against.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "cell/cell_core_fixture.h"

namespace mustardslip {
namespace {

constexpr int kVms = 8;
constexpr const char* kTeam = "team";

StepSpec Gang(std::uint32_t count, Resources each) {
  StepSpec gang = CellHarness::Step(count, 0);
  gang.m_gang = true;
  gang.m_resources = each;
  gang.m_estimate_ms = 4'000;
  return gang;
}

class GangReservationTest : public CellCoreTest {
 protected:
  static constexpr int kFirstSoundJob = 100;
  static constexpr std::uint32_t kSoundTasks = 2;

  void SetCap(Resources cap) { m_cell.SetTeam(kTeam, {cap, 1, 0}); }

  // Submits a small job now and then until the gangs are late, and later than
  // they are of use, and ends its tasks. Requires that the fleet has room.
  void ExpectRoomForOthers(const std::string& team = "") {
    for (int i = 0; i < 40; ++i) {
      const int job = m_next_sound_job++;
      m_cell.Submit(m_cell.Job(job, {CellHarness::Step(kSoundTasks, 5'600)},
                               m_cell.Queue(), team));
      m_cell.Run(1'000);
      ASSERT_EQ(m_cell.RunningOf(job), kSoundTasks)
          << "the small job " << i << " has not started";
      m_cell.End(job, RunEnd::kDone);
    }
  }

  // The gang of job 1 starts.
  void ExpectGangStarts() {
    m_cell.Run(2'000);
    EXPECT_GT(m_cell.RunningOf(1), 0U);
  }

  int m_next_sound_job = kFirstSoundJob;
};

// Fails if a gang whose members fit on no VM, or not all of them on the fleet,
// reserves VMs: nothing else was started any more, and accepted jobs stood
// still beside an empty fleet (LOST, review/6).
TEST_F(GangReservationTest, GangThatTheFleetCannotHoldKeepsNoRoom) {
  StepSpec apart = Gang(kVms + 1, {1'000, 0, 0});
  apart.m_max_per_vm = 1;
  StepSpec labelled = Gang(8, {16'000, 0, 0});
  labelled.m_required_label = "fast";
  const std::vector<std::pair<std::string, StepSpec>> forms = {
      {"accelerators that no VM has", Gang(4, {18'000, 33'000, 1})},
      {"more memory than a VM has", Gang(4, {1'000, 200'000, 0})},
      {"more processors than a VM has", Gang(4, {65'000, 1'000, 0})},
      {"more members than the fleet holds", Gang(30, {18'000, 33'000, 0})},
      {"more members than the limit per VM allows", apart},
      {"more members than the labelled VMs hold", labelled}};
  for (const auto& [name, gang] : forms) {
    for (const int gangs : {1, 3}) {
      SCOPED_TRACE(name + ", gangs: " + std::to_string(gangs));
      m_cell = CellHarness();
      AddVms(kVms - 1);
      m_cell.AddVm("vm-fast", kVmCapacity, {"fast"});
      m_cell.Run(100);
      for (int job = 1; job <= gangs; ++job) {
        m_cell.Submit(m_cell.Job(job, {gang}));
      }
      ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers());
      EXPECT_EQ(m_cell.RunningOf(1), 0U);
    }
  }
}

// Fails if a gang goes on reserving that the fleet could hold when it was
// accepted and no longer can, or does not start once it can again.
TEST_F(GangReservationTest, GangThatNoLongerFitsKeepsNoRoom) {
  const Resources half{32'000, 64'000, 0};
  const auto change_half_of_fleet =
      [&](const std::function<void(VmDescription&)>& change) {
        for (int i = 0; i < kVms / 2; ++i) {
          SimulatedVm& vm = m_cell.Vm("vm-" + std::to_string(i));
          change(vm.m_description);
          m_cell.List(vm.m_description.m_incarnation.m_id);
        }
      };
  struct Form {
    std::string m_name;
    std::function<void()> m_shrink;
    std::function<void()> m_restore;
  };
  const std::vector<Form> forms = {
      {"VMs drain",
       [&] {
         change_half_of_fleet([](VmDescription& vm) { vm.m_draining = true; });
       },
       [&] {
         change_half_of_fleet([](VmDescription& vm) { vm.m_draining = false; });
       }},
      {"VMs shrink",
       [&] {
         change_half_of_fleet([&](VmDescription& vm) { vm.m_capacity = half; });
       },
       [&] {
         change_half_of_fleet(
             [&](VmDescription& vm) { vm.m_capacity = kVmCapacity; });
       }},
      {"VMs leave",
       [&] {
         for (int i = 0; i < kVms / 2; ++i) {
           m_cell.Unlist("vm-" + std::to_string(i));
         }
       },
       [&] { change_half_of_fleet([](VmDescription&) {}); }},
      {"the team's cap is lowered",
       [&] {
         SetCap({448'000, 0, 0});
       },
       [&] { SetCap({}); }}};
  for (const Form& form : forms) {
    SCOPED_TRACE(form.m_name);
    m_cell = CellHarness();
    SetCap({});
    AddVms(kVms);
    // One VM is busy, so that the gang waits.
    m_cell.Submit(m_cell.Job(2, {CellHarness::Step(1, 40'000)}));
    m_cell.Run(100);
    m_cell.Submit(
        m_cell.Job(1, {Gang(kVms, {60'000, 1'000, 0})}, m_cell.Queue(), kTeam));
    m_cell.Run(100);
    form.m_shrink();
    m_cell.Run(100);
    m_cell.End(2, RunEnd::kDone);
    ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers());
    EXPECT_EQ(m_cell.RunningOf(1), 0U);
    form.m_restore();
    ExpectGangStarts();
  }
}

// Fails if a gang reserves VMs on which services, which do not end by
// themselves, leave too little room for it.
TEST_F(GangReservationTest, GangThatServicesLeaveNoRoomForKeepsNone) {
  AddVms(kVms);
  StepSpec service = CellHarness::Step(kVms, 10'000);
  service.m_long_lived = true;
  service.m_max_per_vm = 1;
  m_cell.Submit(m_cell.Job(2, {service}));
  m_cell.Run(200);
  ASSERT_EQ(m_cell.RunningOf(2), static_cast<std::size_t>(kVms));
  m_cell.Submit(m_cell.Job(1, {Gang(kVms, {60'000, 1'000, 0})}));
  ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers());
  EXPECT_EQ(m_cell.RunningOf(1), 0U);
  m_cell.Cancel(2);
  ExpectGangStarts();
}

// Fails if a gang reserves the VMs that the advice service recommends although
// they cannot hold it and it will recommend no others, or does not ask about a
// VM that is added.
TEST_F(GangReservationTest, GangWithTooFewRecommendedVmsKeepsNoRoom) {
  QueueRules queue = m_cell.Queue("gangs");
  queue.m_needs_advice = true;
  m_cell.m_advice = [](const std::string& vm) {
    return vm == "vm-0" || vm == "vm-1" || vm == "vm-new";
  };
  AddVms(2);
  m_cell.Submit(m_cell.Job(1, {Gang(3, {60'000, 1'000, 0})}, queue));
  ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers());
  EXPECT_EQ(m_cell.RunningOf(1), 0U);
  m_cell.AddVm("vm-new", kVmCapacity);
  ExpectGangStarts();
}

// Fails if a late gang that the fleet cannot hold reserves its team's cap: the
// other jobs of the team did not start any more.
TEST_F(GangReservationTest, GangThatTheFleetCannotHoldKeepsNothingOfTheCap) {
  SetCap({256'000, 0, 0});
  AddVms(kVms);
  m_cell.Submit(
      m_cell.Job(2, {CellHarness::Step(1, 1'000)}, m_cell.Queue(), kTeam));
  m_cell.Submit(
      m_cell.Job(1, {Gang(4, {64'000, 0, 1})}, m_cell.Queue(), kTeam));
  ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers(kTeam));
  EXPECT_EQ(m_cell.RunningOf(2), 1U);
}

// Fails if late gangs that cannot start use up the share of the pool that is
// for late gangs, so that one that can never gets its turn.
TEST_F(GangReservationTest, GangsThatCannotStartLeaveTheirTurnToOthers) {
  AddVms(kVms);
  QueueRules late = m_cell.Queue();
  late.m_target_latency_ms = 2'500;
  late.m_stretch = 1;
  for (int job = 2; job < 5; ++job) {
    m_cell.Submit(m_cell.Job(job, {Gang(4, {40'000, 0, 1})}, late));
  }
  m_cell.Run(200);
  m_cell.Submit(m_cell.Job(1, {Gang(kVms, {60'000, 0, 0})}, late));
  // Work that is on time takes what becomes free.
  QueueRules on_time = m_cell.Queue();
  on_time.m_target_latency_ms = 1'000'000;
  int next = kFirstSoundJob;
  for (int i = 0; i < 3 * kVms; ++i) {
    m_cell.Submit(m_cell.Job(next++, {CellHarness::Step(1, 20'000)}, on_time));
  }
  m_cell.Run(200);
  for (int job = kFirstSoundJob; job < kFirstSoundJob + 120; ++job) {
    m_cell.End(job, RunEnd::kDone);
    m_cell.Submit(m_cell.Job(next++, {CellHarness::Step(1, 20'000)}, on_time));
    m_cell.Run(100);
  }
  EXPECT_EQ(m_cell.RunningOf(1), static_cast<std::size_t>(kVms));
}

// Fails if a gang reserves more of a VM than its members need there when the VM
// is empty: accelerators were busy, and all processors beside them stood idle.
TEST_F(GangReservationTest, GangReservesNoMoreThanItsMembersNeed) {
  m_cell.AddVm("vm-0", {64'000, 128'000, 1});
  m_cell.Run(100);
  StepSpec busy = CellHarness::Step(1, 1'000);
  busy.m_resources.m_accelerators = 1;
  m_cell.Submit(m_cell.Job(2, {busy}));
  m_cell.Run(100);
  m_cell.Submit(m_cell.Job(1, {Gang(1, {2'000, 1'000, 1})}));
  ASSERT_NO_FATAL_FAILURE(ExpectRoomForOthers());
  m_cell.End(2, RunEnd::kDone);
  ExpectGangStarts();
}

// Fails if a gang whose members charge nothing never starts: what fits on all
// VMs together overflowed while their number was even (LOST).
TEST_F(GangReservationTest, GangThatChargesNothingStarts) {
  for (const bool fills : {true, false}) {
    SCOPED_TRACE(fills);
    m_cell = CellHarness();
    AddVms(kVms);
    StepSpec gang = Gang(4, {fills ? 1'000 : 0, 0, 0});
    gang.m_uses_idle_cpu = fills;
    m_cell.Submit(m_cell.Job(1, {gang}));
    m_cell.Run(500);
    EXPECT_EQ(m_cell.RunningOf(1), 4U);
  }
}

// Fails if any drawn mix of gangs that the fleet cannot hold keeps a sound job
// from its tasks, gangs among them.
RC_GTEST_PROP(GangReservationModelTest, SoundJobsStartBesideGangsThatCannot,
              ()) {
  CellHarness cell;
  const int vms = *rc::gen::inRange(1, 9);
  for (int i = 0; i < vms; ++i) {
    cell.AddVm("vm-" + std::to_string(i), kVmCapacity);
  }
  cell.Run(100);
  const int hopeless = *rc::gen::inRange(1, 6);
  for (int job = 1; job <= hopeless; ++job) {
    const auto count = static_cast<std::uint32_t>(*rc::gen::inRange(1, 9));
    const auto too_many =
        static_cast<std::uint32_t>(vms * *rc::gen::inRange(2, 6) + 1);
    const StepSpec gang = *rc::gen::element(
        Gang(count, {1'000, 1'000, 1}), Gang(count, {1'000, 129'000, 0}),
        Gang(count, {64'001, 1'000, 0}), Gang(too_many, {40'000, 1'000, 0}));
    QueueRules queue = cell.Queue();
    queue.m_priority = *rc::gen::inRange(0, 3);
    queue.m_target_latency_ms = *rc::gen::inRange(0, 5'000);
    cell.Submit(cell.Job(job, {gang}, queue));
  }
  const int rounds = *rc::gen::inRange(1, 8);
  for (int round = 0; round < rounds; ++round) {
    const int job = 100 + round;
    const auto count =
        static_cast<std::uint32_t>(*rc::gen::inRange(1, vms + 1));
    StepSpec step = Gang(count, {64'000, 1'000, 0});
    step.m_gang = *rc::gen::arbitrary<bool>();
    QueueRules queue = cell.Queue();
    queue.m_priority = *rc::gen::inRange(0, 3);
    cell.Submit(cell.Job(job, {step}, queue));
    cell.Run(1'000);
    RC_ASSERT(cell.RunningOf(job) == count);
    cell.End(job, RunEnd::kDone);
    cell.Run(*rc::gen::inRange<std::int64_t>(1, 6) * 1'000);
  }
}

}  // namespace
}  // namespace mustardslip
