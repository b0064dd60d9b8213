// Tests of link messages that another daemon, or something else that reached
// the link's port, sent malformed: each is an error, and none ends the process.
#include "cell/cell_request.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "cell/advice_queue.h"
#include "cell/cell_harness.h"
#include "cell/log_record.h"
#include "transport/message.h"

namespace mustardslip {
namespace {

LinkMessage Submission() {
  const CellHarness cell;
  LinkMessage message;
  message.m_kind = LinkMessageKind::kRequest;
  message.m_number = 7;
  message.m_request.m_method = CellMethod::kSubmit;
  message.m_request.m_queue = "queue";
  message.m_request.m_job = CellHarness::Id(1);
  message.m_request.m_spec =
      CellHarness().Job(1, {CellHarness::Step(2, 1'000)});
  return message;
}

LinkMessage Answer() {
  LinkMessage message;
  message.m_kind = LinkMessageKind::kAnswer;
  message.m_number = 7;
  message.m_answer.m_outcome = CellOutcome::kRefused;
  message.m_answer.m_reason = "too_many_jobs";
  message.m_answer.m_retry_after_ms = 1'000;
  return message;
}

LinkMessage Advice() {
  LinkMessage message;
  message.m_kind = LinkMessageKind::kAdviceAnswer;
  message.m_number = 7;
  message.m_advice.m_step = {CellHarness::Id(1), 0, 1};
  message.m_advice.m_asked = {"vm-0", "vm-1"};
  message.m_advice.m_ok = true;
  message.m_advice.m_good = {{"vm-1", "ticket"}};
  message.m_advice.m_validity_ms = 2'000;
  return message;
}

Result<LinkMessage> Decode(const std::string& bytes) {
  const auto raw = DecodeMessage(bytes);
  if (!raw) {
    return tl::unexpected(raw.error());
  }
  return DecodeLinkMessage(*raw);
}

// Fails if a nested header exhausts the parser's stack.
TEST(LinkMessageTest, RejectsDeepNesting) {
  constexpr std::size_t kDepth = 1'000'000;
  for (const char open : {'\x81', '\x9f', '\xbf'}) {
    const std::string header(kDepth, open);
    std::string bytes = {'\x00', '\x0f', '\x42', '\x40'};  // kDepth
    bytes += header;
    EXPECT_FALSE(Decode(bytes).has_value());
  }
}

// Fails if a job from another daemon is not checked like a caller's: a step of
// four thousand million tasks exhausted the memory.
TEST(LinkMessageTest, RejectsJobsThatCannotRun) {
  EXPECT_TRUE(Decode(EncodeMessage(EncodeLinkMessage(Submission()))));
  LinkMessage wide = Submission();
  wide.m_request.m_spec.m_steps[0].m_count = UINT32_MAX;
  EXPECT_FALSE(Decode(EncodeMessage(EncodeLinkMessage(wide))));
  LinkMessage cyclic = Submission();
  cyclic.m_request.m_spec.m_steps[0].m_dependencies = {0};
  EXPECT_FALSE(Decode(EncodeMessage(EncodeLinkMessage(cyclic))));
}

// Fails if a value outside an enumeration is passed on: nothing answers it.
TEST(LinkMessageTest, RejectsUnknownKindsMethodsAndOutcomes) {
  RpcMessage request = EncodeLinkMessage(Submission());
  request.m_header["m"] = 99;
  EXPECT_FALSE(DecodeLinkMessage(request));
  RpcMessage answer = EncodeLinkMessage(Answer());
  answer.m_header["a"]["o"] = 99;
  EXPECT_FALSE(DecodeLinkMessage(answer));
  answer = EncodeLinkMessage(Answer());
  answer.m_header["a"]["p"] = 99;
  EXPECT_FALSE(DecodeLinkMessage(answer));
  answer.m_header["t"] = 99;
  EXPECT_FALSE(DecodeLinkMessage(answer));
}

// Fails if bytes that were changed on the way end the process.
RC_GTEST_PROP(LinkMessageTest, ChangedBytesAreAnErrorOrAnotherMessage, ()) {
  std::string bytes = EncodeMessage(
      EncodeLinkMessage(*rc::gen::element(Submission(), Answer(), Advice())));
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    bytes.at(*rc::gen::inRange<std::size_t>(0, bytes.size())) =
        static_cast<char>(*rc::gen::inRange(0, 256));
  }
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  static_cast<void>(Decode(bytes));
}

// Fails if changed bytes of a log segment end the process.
RC_GTEST_PROP(LogRecordTest, ChangedBytesAreAnErrorOrOtherRecords, ()) {
  std::string bytes =
      EncodeRecords({JobAccepted{Submission().m_request.m_spec, 5},
                     RunPlanned{{CellHarness::Id(1), 0, 0, 1}, 1, {"vm-0", 5}},
                     JobProgress{CellHarness::Id(1), 0, false, true, true}});
  bytes.at(*rc::gen::inRange<std::size_t>(0, bytes.size())) =
      static_cast<char>(*rc::gen::inRange(0, 256));
  static_cast<void>(DecodeRecords(bytes));
}

// Fails if advice for a step that does not exist is applied.
TEST(AdviceTest, AdviceForAnUnknownStepIsIgnored) {
  CellHarness cell;
  cell.Submit(cell.Job(1, {CellHarness::Step(1, 1'000)}));
  cell.Pump();
  AdviceAnswer answer;
  answer.m_ok = true;
  for (const StepRef& step : {StepRef{CellHarness::Id(1), 0, 4'000'000'000},
                              StepRef{CellHarness::Id(1), 4'000'000'000, 0},
                              StepRef{"unknown", 0, 0}}) {
    answer.m_step = step;
    cell.Core().OnAdvice(answer, cell.Now());
  }
  EXPECT_EQ(
      cell.Core().State().FindJob(CellHarness::Id(1))->m_occurrences.size(),
      1U);
}

// Fails if the queue does not return what was asked: the step of an answer is
// taken from there, so that a wrong one leaves no step waiting for its advice.
TEST(AdviceTest, QueueReturnsWhatWasAsked) {
  AdviceQueue queue;
  queue.AddDaemon(3);
  const AdviceRequest request = {{CellHarness::Id(1), 0, 1}, {"vm-0"}, 20};
  const auto assignment = queue.Assign(request, 0);
  ASSERT_TRUE(assignment.has_value());
  const auto asked = queue.Finish(3, assignment->m_number);
  ASSERT_TRUE(asked.has_value());
  EXPECT_EQ(asked->m_step, request.m_step);
  EXPECT_EQ(asked->m_vms, request.m_vms);
  EXPECT_FALSE(queue.Finish(3, assignment->m_number).has_value());
}

// Fails if a message is counted for another purpose before it is sent than
// after it was received.
TEST(CellRequestTest, PurposeOfAMessageIsTheSameAtBothEnds) {
  LinkMessage message;
  message.m_kind = LinkMessageKind::kAdviceRequest;
  const RpcMessage sent = EncodeLinkMessage(message);
  const auto received = DecodeMessage(EncodeMessage(sent));
  ASSERT_TRUE(received);
  EXPECT_EQ(PurposeOf(sent), TrafficPurpose::kAdviceForward);
  EXPECT_EQ(PurposeOf(*received), TrafficPurpose::kAdviceForward);
}

}  // namespace
}  // namespace mustardslip
