// Tests the ledger: keys, segment format, group commit under store faults and
// sealing at a takeover.
#include <gtest/gtest.h>

#include "common/random_id.h"
#include "jobs/test_fakes.h"
#include "ledger/ledger_writer.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kShard = 4;
constexpr std::int64_t kNow = 1'800'000'000;
using Writer = LedgerWriter<TestStore>;

std::string Id(int number) { return HashHex128(std::to_string(number)); }

void FailNext(TestStore& store, std::vector<StoreFault> faults) {
  store.SetFaults([faults, next = std::size_t{0}](bool is_write) mutable {
    if (!is_write || next >= faults.size()) {
      return StoreFault::kNone;
    }
    return faults[next++];
  });
}

// Guards against keys that one owner accepts and its successor rejects.
TEST(IdempotencyKeyTest, ChecksFormAndAge) {
  EXPECT_EQ(*ParseIdempotencyKey("1800000000.x"), kNow);
  for (const std::string& key :
       {std::string("x"), std::string("1800000000"), std::string("12."),
        std::string(".x"), std::string("-5.x"), std::string("1a.x"),
        "1." + std::string(kMaxIdempotencyKeyBytes, 'x')}) {
    EXPECT_FALSE(ParseIdempotencyKey(key).has_value()) << key;
  }
  EXPECT_EQ(CheckKeyAge(kNow - 3600, kNow), KeyAge::kValid);
  EXPECT_EQ(CheckKeyAge(kNow - 3601, kNow), KeyAge::kTooOld);
  EXPECT_EQ(CheckKeyAge(kNow + 300, kNow), KeyAge::kValid);
  EXPECT_EQ(CheckKeyAge(kNow + 301, kNow), KeyAge::kFromFuture);
}

// Guards against a segment that a successor cannot read.
TEST(LedgerRecordTest, SegmentSurvivesItsTextFormat) {
  const LedgerSegment segment{
      true, true, kNow, {{Id(1), Id(2), kNow, RecordState::kDone}}};
  EXPECT_EQ(*DecodeSegment(EncodeSegment(segment)), segment);
  EXPECT_FALSE(DecodeSegment("opened\ngarbage\n").has_value());
  const SegmentName name{3, 12};
  EXPECT_EQ(*ParseSegmentKey(kShard, SegmentKey(kShard, name)), name);
  EXPECT_FALSE(ParseSegmentKey(kShard, "ledger/4/x/1").has_value());
}

struct CommitCase {
  std::string m_name;
  std::vector<StoreFault> m_faults;
  int m_steps = 1;
  bool m_committed = true;
  bool m_failed = false;
};

class CommitTest : public testing::TestWithParam<CommitCase> {};

// Guards against a record that is reported as committed or as failed without
// proof. In all cases a later step commits it.
TEST_P(CommitTest, ReportsWhatIsKnown) {
  TestStore store;
  Writer writer(kShard, 1, store, {});
  ASSERT_TRUE(writer.Recover(kNow).has_value());
  ASSERT_TRUE(writer.Start(Id(1), "c", kNow).has_value());
  FailNext(store, GetParam().m_faults);
  LedgerStep step;
  for (int i = 0; i < GetParam().m_steps; i++) {
    step = writer.Step();
  }
  EXPECT_EQ(!step.m_committed.empty(), GetParam().m_committed);
  EXPECT_EQ(!step.m_failed.empty(), GetParam().m_failed);
  EXPECT_EQ(writer.IsCommitted(Id(1)), GetParam().m_committed);
  store.DeliverDelayedWrites();
  writer.Step();
  EXPECT_TRUE(writer.IsCommitted(Id(1)));
  EXPECT_FALSE(writer.HasWork());
}

INSTANTIATE_TEST_SUITE_P(
    Faults, CommitTest,
    testing::Values(
        CommitCase{"healthy", {}},
        CommitCase{"down", {StoreFault::kDown}, 1, false, true},
        CommitCase{"lost_answer", {StoreFault::kLostAnswer}},
        CommitCase{
            "lost_twice", {StoreFault::kTimeout, StoreFault::kLostAnswer}, 2},
        CommitCase{
            "timeout", {StoreFault::kTimeout, StoreFault::kTimeout}, 1, false},
        CommitCase{"late_write",
                   {StoreFault::kDelayedWrite, StoreFault::kDelayedWrite},
                   1,
                   false}),
    [](const auto& info) { return info.param.m_name; });

// Guards against the early dispatch of a restarted record: the commit of its
// earlier end must not count as the commit of the new start.
TEST(LedgerCoreTest, CommitsOnlyTheLastChange) {
  LedgerCore core(kShard, 1, {});
  ASSERT_TRUE(core.Start(Id(1), "c", kNow).has_value());
  core.BeginWrite();
  core.CommitWrite(1);
  core.End(Id(1), RecordState::kNotRun);
  core.BeginWrite();
  ASSERT_TRUE(core.Start(Id(1), "c", kNow).has_value());
  EXPECT_TRUE(core.CommitWrite(2).empty());
  EXPECT_FALSE(core.IsCommitted(Id(1)));
  core.BeginWrite();
  EXPECT_EQ(core.CommitWrite(3), std::vector<std::string>{Id(1)});
  EXPECT_EQ(core.Start(Id(1), "c", kNow).error().Code(), ErrorCode::kConflict);
}

// Guards against oversized segments and a ledger that grows without limit.
TEST(LedgerCoreTest, RollsOverAndRefusesWhenFull) {
  LedgerOptions options;
  options.m_max_segment_bytes = 400;
  options.m_max_segments = 3;
  LedgerCore core(kShard, 1, options);
  std::int64_t last_number = 0;
  int started = 0;
  while (core.Start(Id(started), Id(started), kNow)) {
    started++;
    const auto write = core.BeginWrite();
    ASSERT_LE(write->m_text.size(), options.m_max_segment_bytes);
    last_number = write->m_name.m_number;
    core.CommitWrite(started);
  }
  EXPECT_EQ(last_number, 2);
  EXPECT_EQ(core.Start(Id(started), "c", kNow).error().Reason(), "ledger_full");
  // Past the retention both closed segments can be deleted.
  EXPECT_TRUE(core.Expire(kNow + 3600).empty());
  EXPECT_EQ(core.Expire(kNow + 3901).size(), 2U);
  EXPECT_FALSE(core.Find(Id(0)).has_value());
}

// Guards P7 at a takeover: the successor knows the records that the predecessor
// committed, and the predecessor can commit no more, not even by a write that
// arrives late or by a new segment.
TEST(LedgerTakeoverTest, SealsPredecessors) {
  for (const bool is_late : {false, true}) {
    TestStore store;
    Writer old_writer(kShard, 1, store, {});
    ASSERT_TRUE(old_writer.Recover(kNow).has_value());
    ASSERT_TRUE(old_writer.Start(Id(1), "c", kNow).has_value());
    old_writer.Step();
    ASSERT_TRUE(old_writer.Start(Id(2), "c", kNow).has_value());
    if (is_late) {
      FailNext(store, {StoreFault::kDelayedWrite, StoreFault::kDelayedWrite});
      old_writer.Step();
    }
    // Epoch 2 was assigned, but its owner never opened the ledger.
    Writer writer(kShard, 3, store, {});
    ASSERT_TRUE(writer.Recover(kNow).has_value());
    store.DeliverDelayedWrites();
    EXPECT_EQ(writer.Find(Id(1))->m_state, RecordState::kStarted);
    EXPECT_FALSE(writer.Find(Id(2)).has_value());
    EXPECT_TRUE(old_writer.Step().m_superseded);
    EXPECT_FALSE(old_writer.IsCommitted(Id(2)));
    EXPECT_FALSE(old_writer.Start(Id(3), "c", kNow).has_value());
    Writer skipped(kShard, 2, store, {});
    EXPECT_EQ(skipped.Recover(kNow).error().Code(), ErrorCode::kStaleEpoch);
  }
}

// Guards against lost records after a fault in any store call of the recovery:
// it can be repeated until it succeeds.
TEST(LedgerTakeoverTest, RepeatsAfterAnyFault) {
  for (const StoreFault fault :
       {StoreFault::kDown, StoreFault::kLostAnswer, StoreFault::kTimeout,
        StoreFault::kDelayedWrite}) {
    for (int call = 0; call < 4; call++) {
      TestStore store;
      Writer old_writer(kShard, 1, store, {});
      ASSERT_TRUE(old_writer.Recover(kNow).has_value());
      ASSERT_TRUE(old_writer.Start(Id(1), "c", kNow).has_value());
      old_writer.Step();
      store.SetFaults([fault, call, count = 0](bool is_write) mutable {
        const bool hit = count++ == call;
        return hit && (is_write || fault == StoreFault::kDown)
                   ? fault
                   : StoreFault::kNone;
      });
      Writer writer(kShard, 2, store, {});
      if (!writer.Recover(kNow)) {
        store.DeliverDelayedWrites();
        ASSERT_TRUE(writer.Recover(kNow).has_value());
      }
      EXPECT_TRUE(writer.Find(Id(1)).has_value());
      ASSERT_TRUE(writer.Start(Id(2), "c", kNow).has_value());
      EXPECT_EQ(writer.Step().m_committed, std::vector<std::string>{Id(2)});
    }
  }
}

}  // namespace
}  // namespace mustardslip
