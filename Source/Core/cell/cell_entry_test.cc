// Tests of CellEntry: requests of callers while owners come, go and are out of
// reach.
#include "cell/cell_entry.h"

#include <gtest/gtest.h>

#include <optional>

#include "cell/manual_loop.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kWaitMs = 3'000;

class CellEntryTest : public testing::Test {
 protected:
  // Returns where the answer will be.
  std::shared_ptr<std::optional<CellAnswer>> Send() {
    auto answer = std::make_shared<std::optional<CellAnswer>>();
    m_entry.Handle({}, kWaitMs,
                   [answer](CellAnswer given) { *answer = given; });
    return answer;
  }

  void Connect() {
    m_entry.SetOwnerLink(
        [this](const LinkMessage& message) { m_sent.push_back(message); });
  }

  ManualLoop m_loop;
  CellEntry<ManualLoop> m_entry{m_loop};
  std::vector<LinkMessage> m_sent;
};

// Fails if a daemon that is cut off holds requests until their callers have no
// time left to ask another daemon.
TEST_F(CellEntryTest, IsolatedDaemonSendsCallersElsewhereAtOnce) {
  const auto waiting = Send();
  EXPECT_FALSE(waiting->has_value());
  m_entry.SetIsolated();
  ASSERT_TRUE(waiting->has_value());
  const auto later = Send();
  ASSERT_TRUE(later->has_value());
  for (const auto& answer : {*waiting, *later}) {
    // An earlier attempt may have reached an owner through another daemon.
    EXPECT_EQ(answer->m_outcome, CellOutcome::kUnknown);
    EXPECT_TRUE(answer->m_retry_elsewhere);
  }
}

// Fails if a change of the owner ends requests that the next owner can answer.
TEST_F(CellEntryTest, RequestsOutlastAChangeOfTheOwner) {
  Connect();
  const auto answer = Send();
  ASSERT_EQ(m_sent.size(), 1U);
  m_entry.ClearOwner();
  m_loop.Run(500);
  EXPECT_FALSE(answer->has_value());
  Connect();
  ASSERT_EQ(m_sent.size(), 2U);
  EXPECT_EQ(m_sent[0].m_number, m_sent[1].m_number);
  m_entry.OnAnswer(m_sent[1].m_number, {CellOutcome::kAccepted});
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->m_outcome, CellOutcome::kAccepted);
}

// Fails if a daemon stays isolated after it has reached an owner again.
TEST_F(CellEntryTest, AnOwnerEndsTheIsolation) {
  m_entry.SetIsolated();
  Connect();
  const auto answer = Send();
  EXPECT_FALSE(answer->has_value());
  EXPECT_EQ(m_sent.size(), 1U);
  m_entry.SetIsolated();  // Has no effect while an owner is connected.
  EXPECT_FALSE(answer->has_value());
}

// Fails if an answer of an owner in this process reaches a caller after the
// cell was lost: the state that it tells may not be the next owner's.
TEST_F(CellEntryTest, LateAnswerOfALostLocalOwnerIsDropped) {
  std::vector<CellEntry<ManualLoop>::AnswerDone> pending;
  m_entry.SetLocalOwner([&](const CellRequest&, auto done) {
    pending.push_back(std::move(done));
  });
  const auto answer = Send();
  ASSERT_EQ(pending.size(), 1U);
  m_entry.ClearOwner();
  pending[0]({CellOutcome::kPhase, JobPhase::kFailed});
  EXPECT_FALSE(answer->has_value());
  Connect();
  ASSERT_EQ(m_sent.size(), 1U);
  pending[0]({CellOutcome::kPhase, JobPhase::kFailed});
  EXPECT_FALSE(answer->has_value());
  m_entry.OnAnswer(m_sent[0].m_number,
                   {CellOutcome::kPhase, JobPhase::kRunning});
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->m_phase, JobPhase::kRunning);
}

// Fails if a request that nobody answers ends late or never.
TEST_F(CellEntryTest, UnansweredRequestEndsAfterItsWait) {
  Connect();
  const auto answer = Send();
  m_loop.Run(kWaitMs - 1);
  EXPECT_FALSE(answer->has_value());
  m_loop.Run(1);
  ASSERT_TRUE(answer->has_value());
  EXPECT_EQ((*answer)->m_outcome, CellOutcome::kUnknown);
  const auto without_owner = Send();
  m_entry.ClearOwner();
  m_loop.Run(kWaitMs / 2);
  EXPECT_TRUE(without_owner->has_value());
}

// Counts the timers that were set.
class CountingLoop {
 public:
  CellTime Now() const { return m_loop.Now(); }
  void After(std::int64_t ms, std::function<void()> task) {
    ++m_timers;
    m_loop.After(ms, std::move(task));
  }

  ManualLoop m_loop;
  std::size_t m_timers = 0;
};

// Fails if each request leaves timers behind until its wait is over: at a
// client's full rate they filled the memory of a daemon.
TEST(CellEntryTimersTest, AnsweredRequestsLeaveNoTimers) {
  constexpr std::uint64_t kRequests = 10'000;
  CountingLoop loop;
  CellEntry<CountingLoop> entry(loop);
  std::uint64_t last = 0;
  entry.SetOwnerLink(
      [&last](const LinkMessage& message) { last = message.m_number; });
  std::uint64_t answered = 0;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    // Waits that get shorter each time.
    entry.Handle({}, 30'000 - static_cast<std::int64_t>(i),
                 [&answered](const CellAnswer&) { ++answered; });
    entry.OnAnswer(last, {CellOutcome::kAccepted});
  }
  EXPECT_EQ(answered, kRequests);
  EXPECT_LT(loop.m_timers, kRequests / 10);
}

}  // namespace
}  // namespace mustardslip
