// Log writes, loads and snapshots with a faulty store.
#include "cell/owner_log.h"

#include <gtest/gtest.h>

#include "cell/fake_async_store.h"

namespace mustardslip {
namespace {

using Log = OwnerLog<FakeAsyncStore, ManualLoop>;

class OwnerLogTest : public testing::Test {
 protected:
  OwnerLogTest() : m_store(m_state, m_loop) {}

  // Replaces the owner's record, as a new owner does; returns its revision.
  Revision TakeOwnership() {
    m_state.Put(std::string(kOwnerKey), "owner");
    return m_state.m_values.at(std::string(kOwnerKey)).m_revision;
  }

  // Returns a log loaded by a new owner.
  std::unique_ptr<Log> LoadedLog(LinkShare link = {}) {
    auto log = std::make_unique<Log>(m_store, m_loop, link);
    log->OnSuperseded([this] { ++m_superseded; });
    log->Load(TakeOwnership(),
              [this](Log::Loaded loaded) { m_loaded = std::move(loaded); });
    m_loop.Run(200);
    return log;
  }

  static std::string Segment(const std::string& job) {
    return EncodeRecords({JobCancelled{job, 1}});
  }

  std::vector<std::string> LoadedJobs() {
    LoadedLog();
    std::vector<std::string> jobs;
    for (const LogRecord& record : m_loaded.m_records) {
      if (const auto* cancelled = std::get_if<JobCancelled>(&record)) {
        jobs.push_back(cancelled->m_job);
      }
    }
    return jobs;
  }

  std::ptrdiff_t SnapshotKeys() const {
    return std::count_if(m_state.m_values.begin(), m_state.m_values.end(),
                         [](const auto& item) {
                           return item.first.starts_with(kSnapshotPrefix);
                         });
  }

  FakeStoreState m_state;
  ManualLoop m_loop;
  FakeAsyncStore m_store;
  Log::Loaded m_loaded;
  int m_superseded = 0;
  int m_durable = 0;
};

using Fault = FakeAsyncStore::Fault;

// Fails if segments are lost or read twice when the log spans several pages.
TEST_F(OwnerLogTest, NextOwnerReadsAllSegmentsInOrder) {
  const auto log = LoadedLog();
  std::vector<std::string> written;
  for (int i = 0; i < 10; ++i) {
    written.push_back("job-" + std::to_string(i));
    log->Append(Segment(written.back()), [this] { ++m_durable; });
    m_loop.Run(50);
  }
  EXPECT_EQ(m_durable, 10);
  EXPECT_EQ(LoadedJobs(), written);
}

// Fails if a store that answers after 300 ms is treated as one that does not
// answer: each attempt was abandoned before its answer came, and the cell went
// to another owner.
TEST_F(OwnerLogTest, SlowStoreAnswersTheFirstTry) {
  const auto log = LoadedLog();
  for (int i = 0; i < 20; ++i) {
    log->Append(Segment("fast"), [this] { ++m_durable; });
    m_loop.Run(40);
  }
  ASSERT_EQ(m_durable, 20);
  m_store.m_latency_ms = 300;
  log->Append(Segment("slow"), [this] { ++m_durable; });
  m_loop.Run(320);
  EXPECT_EQ(m_durable, 21);
  // Answers to repeated attempts must not complete a later write.
  log->Append(Segment("next"), [this] { ++m_durable; });
  m_loop.Run(200);
  EXPECT_EQ(m_durable, 21);
  m_loop.Run(200);
  EXPECT_EQ(m_durable, 22);
  m_store.m_latency_ms = 1;
  EXPECT_EQ(LoadedJobs().size(), 22U);
}

// Fails if a lost answer is treated as a failed write, or the write is repeated
// under another segment number.
TEST_F(OwnerLogTest, LostAnswerIsResolvedByRepeating) {
  const auto log = LoadedLog();
  m_store.m_fault = Fault::kLoseAnswer;
  log->Append(Segment("a"), [this] { ++m_durable; });
  m_loop.Run(400);
  EXPECT_EQ(m_durable, 0);
  m_store.m_fault = Fault::kNone;
  m_loop.Run(2'000);
  EXPECT_EQ(m_durable, 1);
  EXPECT_EQ(LoadedJobs(), std::vector<std::string>{"a"});
}

// Fails if a write of a superseded owner, also a delayed one, takes effect.
TEST_F(OwnerLogTest, SupersededOwnerAddsNothing) {
  const auto old_log = LoadedLog();
  m_store.m_fault = Fault::kLate;
  old_log->Append(Segment("late"), [this] { ++m_durable; });
  m_loop.Run(10);
  m_store.m_fault = Fault::kNone;
  const auto new_log = LoadedLog();
  new_log->Append(Segment("new"), [] {});
  m_loop.Run(10'000);
  EXPECT_EQ(m_durable, 0);
  EXPECT_EQ(m_superseded, 1);
  EXPECT_EQ(LoadedJobs(), std::vector<std::string>{"new"});
}

// Fails if a refusing store is not detected within 500 ms, or if the first
// refusals already count as stuck.
TEST_F(OwnerLogTest, RefusingStoreIsReportedAsStuck) {
  const auto log = LoadedLog();
  m_store.m_fault = Fault::kRefuse;
  log->Append(Segment("a"), [this] { ++m_durable; });
  m_loop.Run(100);
  EXPECT_FALSE(log->Stuck());
  m_loop.Run(400);
  EXPECT_TRUE(log->Stuck());
  m_store.m_fault = Fault::kNone;
  m_loop.Run(1'000);
  EXPECT_FALSE(log->Stuck());
  EXPECT_EQ(m_durable, 1);
}

// Fails if a store that is only slow is reported as stuck.
TEST_F(OwnerLogTest, SilentStoreIsNotStuckAtOnce) {
  const auto log = LoadedLog();
  m_store.m_fault = Fault::kSilent;
  log->Append(Segment("a"), [this] { ++m_durable; });
  m_loop.Run(900);
  EXPECT_FALSE(log->Stuck());
  m_loop.Run(400);
  EXPECT_TRUE(log->Stuck());
}

// Fails if a snapshot removes segments that it does not cover, or never removes
// those that it covers.
TEST_F(OwnerLogTest, SnapshotReplacesTheSegmentsBeforeIt) {
  const auto log = LoadedLog();
  for (int i = 0; i < 5; ++i) {
    log->Append(Segment("old-" + std::to_string(i)), [] {});
    m_loop.Run(50);
  }
  log->WriteSnapshot({JobCancelled{"snapshot", 1}});
  log->Append(Segment("after"), [] {});
  m_loop.Run(500);
  EXPECT_EQ(LoadedJobs(), (std::vector<std::string>{"snapshot", "after"}));
  EXPECT_EQ(m_state.m_values.count(SegmentKey(1)), 0U);
  EXPECT_EQ(m_state.m_values.count(SegmentKey(6)), 1U);
}

// Fails if the snapshots that later ones replace stay in the store for as long
// as the owner does, and the next owner has to read them all.
TEST_F(OwnerLogTest, SnapshotReplacesTheSnapshotBeforeIt) {
  constexpr int kSnapshots = 4;
  const auto log = LoadedLog();
  for (int i = 1; i <= kSnapshots; ++i) {
    log->Append(Segment("segment"), [] {});
    m_loop.Run(50);
    log->WriteSnapshot({JobCancelled{"snapshot-" + std::to_string(i), 1}});
    m_loop.Run(500);
    EXPECT_EQ(SnapshotKeys(), 2) << "a part and the mark of completion";
  }
  EXPECT_EQ(LoadedJobs(), std::vector<std::string>{"snapshot-4"});
  EXPECT_EQ(m_loaded.m_obsolete_bytes, 0U);
  m_loop.Run(50);
  EXPECT_EQ(SnapshotKeys(), 2);
}

// Fails if an incomplete snapshot replaces segments.
TEST_F(OwnerLogTest, UnfinishedSnapshotIsIgnored) {
  const auto log = LoadedLog();
  log->Append(Segment("a"), [] {});
  m_loop.Run(50);
  m_state.Put(SnapshotKey(2, 0), EncodeRecords({JobCancelled{"half", 1}}));
  EXPECT_EQ(LoadedJobs(), std::vector<std::string>{"a"});
}

// Fails if the parts of a snapshot whose owner ended before it was complete
// stay in the store for good.
TEST_F(OwnerLogTest, UnfinishedSnapshotIsRemoved) {
  m_state.Put(SnapshotKey(2, 0), EncodeRecords({JobCancelled{"half", 1}}));
  const auto log = LoadedLog();
  EXPECT_GT(m_loaded.m_obsolete_bytes, 0U);
  EXPECT_EQ(SnapshotKeys(), 0);
}

// Fails if segments that a snapshot covers, or an unfinished later snapshot,
// are read beside it: failures in them would count again.
TEST_F(OwnerLogTest, SegmentsBeforeASnapshotAreNotReadBesideIt) {
  const auto log = LoadedLog();
  for (int i = 0; i < 3; ++i) {
    log->Append(Segment("old-" + std::to_string(i)), [] {});
    m_loop.Run(50);
  }
  const auto before = m_state.m_values;
  log->WriteSnapshot({JobCancelled{"snapshot", 1}});
  log->Append(Segment("after"), [] {});
  m_loop.Run(500);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    m_state.Put(SegmentKey(i), before.at(SegmentKey(i)).m_value);
  }
  m_state.Put(SnapshotKey(5, 0), EncodeRecords({JobCancelled{"half", 1}}));
  EXPECT_EQ(LoadedJobs(), (std::vector<std::string>{"snapshot", "after"}));
  m_loop.Run(500);
  EXPECT_EQ(m_state.m_values.count(SegmentKey(1)), 0U);
  EXPECT_EQ(LoadedJobs(), (std::vector<std::string>{"snapshot", "after"}));
}

// Fails if a write that is still on its way over a narrow link is sent again:
// the copies filled the link, so no write was answered in time any more.
TEST_F(OwnerLogTest, LargeWriteOnANarrowLinkIsSentOnce) {
  constexpr std::int64_t kBytesPerMs = 250;
  constexpr std::size_t kBytes = 170'000;
  const auto log = LoadedLog(LinkShare(kBytesPerMs));
  m_store.m_link_bytes_per_ms = kBytesPerMs;
  const std::size_t before = m_store.m_commits;
  log->Append(std::string(kBytes, 'x'), [this] { ++m_durable; });
  m_loop.Run(2'000);
  EXPECT_EQ(m_durable, 1);
  EXPECT_EQ(m_store.m_commits - before, 1U);
}

// Fails if a snapshot is written in parts that each fill a narrow link for so
// long that the owner's lease is not renewed.
TEST_F(OwnerLogTest, SnapshotOnANarrowLinkIsWrittenInSmallParts) {
  constexpr std::int64_t kBytesPerMs = 250;
  constexpr std::int64_t kMaxPartMs = 100;
  const auto log = LoadedLog(LinkShare(kBytesPerMs));
  m_store.m_link_bytes_per_ms = kBytesPerMs;
  WorkflowSpec spec;
  spec.m_payload = std::string(600, 'x');
  log->Append(Segment("job"), [&] {
    log->WriteSnapshot(std::vector<LogRecord>(200, JobAccepted{spec, 1}));
  });
  m_loop.Run(5'000);
  for (const auto& [key, value] : m_state.m_values) {
    if (key.starts_with(kSnapshotPrefix)) {
      EXPECT_LE(value.m_value.size(), kBytesPerMs * kMaxPartMs);
    }
  }
  EXPECT_GT(SnapshotKeys(), 3);
  LoadedLog();
  EXPECT_EQ(m_loaded.m_records.size(), 200U);
}

}  // namespace
}  // namespace mustardslip
