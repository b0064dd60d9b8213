// Tests that the set of evacuated zones follows the store, also while the store
// fails. The comment of each test names the failure that it guards against.
#include "cell/zone_feed.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "cell/cell_owner.h"
#include "cell/fake_async_store.h"

namespace mustardslip {
namespace {

using Fault = FakeAsyncStore::Fault;

constexpr const char* kPrefix = "zones/";

ZoneFeedOptions Options() {
  return {kPrefix,
          5'000,
          [](const std::string& key) {
            return key.substr(std::string(kPrefix).size());
          },
          {"settings-zone"}};
}

VmDescription VmIn(const std::string& id, const std::string& zone) {
  VmDescription vm;
  vm.m_incarnation = {id, 1};
  vm.m_service = "svc";
  vm.m_address = "127.0.0.1:1";
  vm.m_zone = zone;
  vm.m_capacity = {64'000, 128'000, 0};
  return vm;
}

class ZoneFeedTest : public testing::Test {
 protected:
  using Zones = std::set<std::string>;

  ZoneFeedTest()
      : m_store(m_state, m_loop),
        m_core(CellBounds{}),
        m_feed(m_store, m_loop, m_core, Options(), [this] { ++m_changes; }) {
    m_core.OnRules({}, m_loop.Now());
    m_core.OnRecovered(m_loop.Now());
    m_core.OnVmListed(VmIn("vm-a", "a"), m_loop.Now());
    m_core.OnVmListed(VmIn("vm-b", "b"), m_loop.Now());
  }

  void Evacuate(const std::string& zone) { m_state.Put(kPrefix + zone, "{}"); }
  void Restore(const std::string& zone) {
    StoreTransaction transaction;
    transaction.m_removals = {kPrefix + zone};
    m_state.Commit(transaction);
  }
  // The lines that `act` logs.
  template <typename Act>
  static std::string LogOf(Act act) {
    testing::internal::CaptureStdout();
    act();
    return testing::internal::GetCapturedStdout();
  }

  FakeStoreState m_state;
  ManualLoop m_loop;
  FakeAsyncStore m_store;
  CellCore m_core;
  ZoneFeed<FakeAsyncStore, ManualLoop> m_feed;
  int m_changes = 0;
};

// Fails if a key that exists, is written or is deleted does not change the set,
// also if the list has several pages.
TEST_F(ZoneFeedTest, FollowsTheKeys) {
  for (const char* zone : {"a", "c", "d", "e", "f"}) {
    Evacuate(zone);
  }
  m_feed.Start();
  m_loop.Run(200);
  EXPECT_EQ(m_core.EvacuatedZones(), (Zones{"a", "c", "d", "e", "f"}));
  EXPECT_EQ(m_core.EvacuatedVms(), 1U);
  Evacuate("b");
  m_loop.Run(200);
  EXPECT_EQ(m_core.EvacuatedVms(), 2U);
  Restore("a");
  m_loop.Run(200);
  EXPECT_EQ(m_core.EvacuatedZones(), (Zones{"b", "c", "d", "e", "f"}));
  EXPECT_GE(m_changes, 7);
}

// Fails if the last known set does not apply while the store cannot be read, or
// changes that were made meanwhile are missed: events that the store discarded
// and keys that were deleted.
TEST_F(ZoneFeedTest, LastKnownSetAppliesWhileTheStoreFails) {
  Evacuate("a");
  m_feed.Start();
  m_loop.Run(200);
  for (const Fault fault : {Fault::kRefuse, Fault::kSilent}) {
    SCOPED_TRACE(static_cast<int>(fault));
    m_store.m_fault = fault;
    m_loop.Run(20'000);
    EXPECT_EQ(m_core.EvacuatedZones(), Zones{"a"});
    Evacuate("b");
    Restore("a");
    m_state.DropHistory();
    m_store.m_fault = Fault::kNone;
    m_loop.Run(3'000);
    EXPECT_EQ(m_core.EvacuatedZones(), Zones{"b"});
    Restore("b");
    Evacuate("a");
    m_loop.Run(200);
    EXPECT_EQ(m_core.EvacuatedZones(), Zones{"a"});
  }
}

// Fails if a key without a name evacuates the VMs that have no zone.
TEST_F(ZoneFeedTest, KeyWithoutANameEvacuatesNothing) {
  m_core.OnVmListed(VmIn("vm-0", ""), m_loop.Now());
  Evacuate("");
  m_feed.Start();
  m_loop.Run(200);
  EXPECT_TRUE(m_core.EvacuatedZones().empty());
  EXPECT_EQ(m_core.EvacuatedVms(), 0U);
}

// Fails if operators do not learn that a zone was evacuated or restored, or
// that the name is none of a zone; if a zone is called unknown because the VM
// list has not been read, or each list of the keys repeats the lines.
TEST_F(ZoneFeedTest, LogsChangesAndUnknownNames) {
  Evacuate("a");
  Evacuate("A");
  Evacuate("settings-zone");
  EXPECT_EQ(LogOf([&] {
              m_feed.Start();
              m_loop.Run(200);
            }),
            "");
  const std::string listed = LogOf([&] {
    m_feed.OnVmsListed();
    m_feed.OnVmsListed();
    m_state.DropHistory();
    Evacuate("x-other-prefix-revision");
    Restore("x-other-prefix-revision");
    m_loop.Run(3'000);
  });
  const auto count = [](const std::string& text, const std::string& part) {
    int found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++found;
    }
    return found;
  };
  EXPECT_EQ(count(listed, "\"zone_evacuated\""), 2) << listed;
  EXPECT_EQ(count(listed, "\"zone\":\"settings-zone\""), 1) << listed;
  EXPECT_EQ(count(listed, "\"vms\":1"), 1) << listed;
  EXPECT_EQ(count(listed, "\"zone\":\"A\""), 1) << listed;
  const std::string restored = LogOf([&] {
    Restore("a");
    Restore("A");
    m_loop.Run(200);
  });
  EXPECT_EQ(count(restored, "\"zone_restored\""), 1) << restored;
}

// Fails if the time until a lost watch is noticed does not leave room in the
// bound for the list that follows, or a long bound makes the owner deaf.
TEST(ZoneWatchTest, FollowsFromTheBound) {
  EXPECT_EQ(ZoneWatchMs(5'000), 1'250);
  EXPECT_EQ(ZoneWatchMs(0), 250);
  EXPECT_EQ(ZoneWatchMs(3'600'000), 10'000);
}

// VMs that answer each poll with the runs that they were told to start.
struct AnsweringVms {
  void Hold(const PollRequest& hold, PollDone done) {
    VmReport report;
    report.m_vm = hold.m_vm;
    report.m_vm_ms = m_loop.Now().m_steady_ms;
    for (const StartRun& start : m_starts) {
      if (start.m_vm == hold.m_vm) {
        report.m_running.push_back({start.m_task, start.m_run, "", 1});
      }
    }
    m_loop.After(50, [report, done = std::move(done)] { done(report); });
  }
  void Start(const StartRun& start, std::int64_t, const StartDone&) {
    m_starts.push_back(start);
  }
  void Stop(const StopRun&, std::int64_t, const StopDone&) {}

  ManualLoop& m_loop;
  std::vector<StartRun> m_starts;
};

struct NoAdvice {
  void Ask(const AdviceRequest&, const AdviceDone&) {}
};

// A store of which the zones cannot be listed while `m_hides_zones`.
class ZoneHidingStore : public FakeAsyncStore {
 public:
  ZoneHidingStore(FakeStoreState& state, ManualLoop& loop)
      : FakeAsyncStore(state, loop), m_loop(loop) {}

  void List(const std::string& prefix, const std::string& after,
            StoreCallback<ItemPage> done) {
    if (m_hides_zones && prefix == kPrefix) {
      m_loop.After(5, [done = std::move(done)] {
        done(Fail(ErrorCode::kUnavailable, "refused"));
      });
      return;
    }
    FakeAsyncStore::List(prefix, after, std::move(done));
  }

  bool m_hides_zones = false;

 private:
  ManualLoop& m_loop;
};

class ZoneOwnerTest : public testing::Test {
 protected:
  using Owner = CellOwner<ZoneHidingStore, ManualLoop, AnsweringVms, NoAdvice>;

  ZoneOwnerTest() : m_store(m_state, m_loop) {
    m_state.Put("vms/vm-a", "a");
    m_state.Put("vms/vm-b", "b");
  }

  // A new owner loads the log from the store.
  void TakeOver(bool watches_zones = true) {
    m_owner.reset();
    m_state.Put(std::string(kOwnerKey), "owner");
    OwnerRecord record;
    record.m_revision = m_state.m_values.at(std::string(kOwnerKey)).m_revision;
    CellOwnerOptions options;
    options.m_vm_prefix = "vms/";
    options.m_decode_vm = [](const StoreItem& item) {
      return std::optional(VmIn(item.m_key.substr(4), item.m_value));
    };
    if (watches_zones) {
      options.m_zones = Options();
    }
    Owner::Handlers handlers;
    handlers.m_on_ready = [] {};
    handlers.m_on_superseded = [] {};
    handlers.m_on_store_stuck = [] {};
    handlers.m_verify = [](const std::function<void(bool)>& done) {
      done(true);
    };
    m_owner = std::make_unique<Owner>(m_store, m_loop, m_vms, m_advice,
                                      std::move(options), record,
                                      std::move(handlers));
    m_owner->OnRules({});
    m_owner->Start();
  }

  void Run(std::int64_t ms) {
    for (std::int64_t passed = 0; passed < ms; passed += 100) {
      m_loop.Run(100);
      m_owner->OnLeaseRenewed(m_loop.Now().m_steady_ms);
    }
  }

  // Each task takes one VM.
  void Submit(std::uint32_t tasks) {
    CellRequest request;
    request.m_method = CellMethod::kSubmit;
    request.m_job = "000000000000000" + std::to_string(++m_last_job);
    request.m_spec.m_id = request.m_job;
    request.m_spec.m_queue.m_name = "queue";
    request.m_spec.m_queue.m_service = "svc";
    StepSpec step;
    step.m_count = tasks;
    step.m_resources = {40'000, 0, 0};
    request.m_spec.m_steps = {step};
    m_owner->Handle(request, [this](const CellAnswer& answer) {
      m_accepted += answer.m_outcome == CellOutcome::kAccepted ? 1 : 0;
    });
  }

  std::size_t StartsOn(const std::string& vm) const {
    return static_cast<std::size_t>(std::count_if(
        m_vms.m_starts.begin(), m_vms.m_starts.end(),
        [&](const StartRun& start) { return start.m_vm.m_id == vm; }));
  }

  FakeStoreState m_state;
  ManualLoop m_loop;
  ZoneHidingStore m_store;
  AnsweringVms m_vms{m_loop, {}};
  NoAdvice m_advice;
  std::unique_ptr<Owner> m_owner;
  int m_last_job = 0;
  int m_accepted = 0;
};

// Fails if an owner uses an evacuated zone, does not notice an evacuation or a
// restoration, or a new owner does not read the zones before its first start.
TEST_F(ZoneOwnerTest, FollowsTheStoreAndSoDoesTheNextOwner) {
  TakeOver();
  Run(500);
  m_state.Put(std::string(kPrefix) + "a", "{}");
  Run(100);
  Submit(2);
  Run(1'000);
  EXPECT_EQ(m_accepted, 1);
  EXPECT_EQ(StartsOn("vm-a"), 0U);
  EXPECT_EQ(StartsOn("vm-b"), 1U);
  TakeOver();
  Run(1'000);
  EXPECT_EQ(StartsOn("vm-a"), 0U);
  StoreTransaction removal;
  removal.m_removals = {std::string(kPrefix) + "a"};
  m_state.Commit(removal);
  Run(500);
  EXPECT_EQ(StartsOn("vm-a"), 1U);
}

// Fails if an owner starts anything before it has read the zones once, or does
// not accept jobs, or starts nothing after it has read them.
TEST_F(ZoneOwnerTest, NothingStartsBeforeTheZonesAreRead) {
  m_state.Put(std::string(kPrefix) + "a", "{}");
  m_store.m_hides_zones = true;
  TakeOver();
  Run(500);
  Submit(2);
  Run(10'000);
  EXPECT_EQ(m_accepted, 1);
  EXPECT_TRUE(m_vms.m_starts.empty());
  m_store.m_hides_zones = false;
  Run(1'000);
  EXPECT_EQ(StartsOn("vm-a"), 0U);
  EXPECT_EQ(StartsOn("vm-b"), 1U);
}

// Fails if the last known zones do not apply, or starts elsewhere wait, while
// the zones cannot be read any more.
TEST_F(ZoneOwnerTest, LastKnownZonesApplyWhileTheyCannotBeRead) {
  m_state.Put(std::string(kPrefix) + "a", "{}");
  TakeOver();
  Run(500);
  m_store.m_hides_zones = true;
  m_state.DropHistory();
  m_state.Put("other", "");
  m_state.DropHistory();
  Run(5'000);
  Submit(2);
  Run(1'000);
  EXPECT_EQ(StartsOn("vm-a"), 0U);
  EXPECT_EQ(StartsOn("vm-b"), 1U);
}

// Fails if the zones are read, and so billed, where no deployment evacuates
// zones, or if such an owner waits for them.
TEST_F(ZoneOwnerTest, WithoutTheSettingNothingIsWatched) {
  m_state.Put(std::string(kPrefix) + "a", "{}");
  TakeOver(false);
  Run(500);
  Submit(2);
  Run(500);
  EXPECT_EQ(m_vms.m_starts.size(), 2U);
}

}  // namespace
}  // namespace mustardslip
