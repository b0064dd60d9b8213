// Tests TeamShard without threads: injects one fault at a time and checks the
// answer that the caller gets.
#include "jobs/team_shard.h"

#include <gtest/gtest.h>

#include "jobs/test_fakes.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kShard = 5;
const Resources kLimit{8000, 8000, 0};
using Shard = TeamShard<TestStore, TestGroups, ManualClock>;

GroupSummary WithSlots(const std::string& name, int slots) {
  GroupSummary summary = TestGroups::MakeSummary(name);
  summary.m_services = {{"a", "s", slots, slots}};
  return summary;
}

class TeamShardTest : public testing::Test {
 protected:
  TeamShardTest() {
    m_groups.SetSummaries({WithSlots("z1", 2), WithSlots("z2", 1)});
    m_shard = MakeShard(1);
    AnswerFences(*m_shard, {});
    JobSpec service;
    service.m_kind = JobKind::kService;
    service.m_name = "s";
    Submit(service, "");
    m_shard->TickOnce();
    AnswerAll(RpcMessage{});
  }

  std::unique_ptr<Shard> MakeShard(Epoch epoch) {
    auto shard = std::make_unique<Shard>(
        kShard, epoch, m_store, m_groups, TeamOwnerOptions{},
        [](const std::string&) { return std::optional<Resources>(kLimit); },
        m_clock);
    EXPECT_TRUE(shard->RecoverStep());
    return shard;
  }

  void AnswerFences(Shard& shard, const FenceTeamReply& reply) {
    AnswerAll(MakeMessage(reply));
    shard.TickOnce();
  }

  void AnswerAll(const RpcResult& result) {
    for (const GroupCall& call : m_groups.TakeCalls()) {
      call.m_done(result);
    }
  }

  Result<JobStatus> Submit(JobSpec spec, const std::string& key) {
    spec.m_team = "a";
    if (spec.m_resources == Resources{}) {
      spec.m_resources = {1000, 1000, 0};
    }
    auto answer = std::make_shared<Result<JobStatus>>(
        Fail(ErrorCode::kInternal, "no_answer"));
    m_shard->SubmitJob({spec, key, "", "r"}, [answer](Result<JobStatus> got) {
      *answer = std::move(got);
    });
    m_shard->RecordStepOnce();
    return *answer;
  }

  std::string Key(int age_s = 0) const {
    return std::to_string(m_clock.UnixMillis() / 1000 - age_s) + ".k";
  }

  using Answer = std::shared_ptr<std::optional<ServiceCallReply>>;
  Answer Request(const std::string& key, bool idempotent = false,
                 const std::string& body = "b",
                 const std::string& service = "s") {
    auto answer = std::make_shared<std::optional<ServiceCallReply>>();
    m_shard->ServiceRequest({"a", service, "r", key, idempotent, 1000}, body,
                            [answer](const ServiceCallReply& reply,
                                     const std::string&) { *answer = reply; });
    return answer;
  }

  ManualClock m_clock;
  TestStore m_store;
  TestGroups m_groups;
  std::unique_ptr<Shard> m_shard;
};

struct ServeCase {
  ErrorCode m_code;
  Outcome m_outcome;
  std::string m_reason;
  int m_calls;
};

// Guards P6 and P7: a request may be sent again or answered as "not run" only
// after an error that proves that the call had no effect.
TEST_F(TeamShardTest, ServeFaults) {
  const std::vector<ServeCase> cases = {
      {ErrorCode::kTimeout, Outcome::kOutcomeUnknown, "x", 1},
      {ErrorCode::kUnknownOutcome, Outcome::kOutcomeUnknown, "x", 1},
      {ErrorCode::kInternal, Outcome::kOutcomeUnknown, "x", 1},
      {ErrorCode::kInvalidArgument, Outcome::kNotRun, "x", 1},
      {ErrorCode::kResourceExhausted, Outcome::kNotRun, "deadline_passed", 2},
      {ErrorCode::kNotOwner, Outcome::kNotRun, "deadline_passed", 2},
      {ErrorCode::kUnavailable, Outcome::kNotRun, "deadline_passed", 2}};
  int number = 0;
  for (const ServeCase& test : cases) {
    const Answer answer = Request(Key() + std::to_string(number++));
    EXPECT_TRUE(m_groups.TakeCalls().empty()) << "sent before its record";
    m_shard->LedgerStepOnce();
    int calls = 0;
    for (auto open = m_groups.TakeCalls(); !open.empty();
         open = m_groups.TakeCalls()) {
      ASSERT_EQ(open.size(), 1U);
      calls++;
      open.front().m_done(Fail(test.m_code, "x"));
    }
    m_clock.Advance(Milliseconds(1001));
    m_shard->TickOnce();
    ASSERT_TRUE(answer->has_value());
    EXPECT_EQ((*answer)->m_outcome, test.m_outcome) << test.m_reason;
    EXPECT_EQ((*answer)->m_reason, test.m_reason);
    EXPECT_EQ(calls, test.m_calls) << ToString(test.m_code);
  }
}

// Guards the reasons that callers act on: an invalid request is rejected
// without any call to a group.
TEST_F(TeamShardTest, RefusesBeforeAnyCall) {
  EXPECT_EQ((**Request("")).m_reason, "key_required");
  EXPECT_EQ((**Request("x")).m_reason, "malformed_key");
  EXPECT_EQ((**Request(Key(-301))).m_reason, "key_from_future");
  const Answer old = Request(Key(3601));
  EXPECT_EQ((*old)->m_reason, "key_too_old");
  EXPECT_EQ((*old)->m_outcome, Outcome::kOutcomeUnknown);
  EXPECT_EQ((**Request("", true, "b", "t")).m_reason, "service_not_found");
  m_store.SetFaults([](bool) { return StoreFault::kDown; });
  const Answer refused = Request(Key());
  m_shard->LedgerStepOnce();
  EXPECT_EQ((*refused)->m_reason, "store_unavailable");
  EXPECT_EQ((*refused)->m_outcome, Outcome::kNotRun);
  EXPECT_GT((*refused)->m_retry_after_ms, 0);
  EXPECT_TRUE(m_groups.TakeCalls().empty());
  // An idempotent request is sent even if the store is down.
  Request("", true);
  EXPECT_EQ(m_groups.TakeCalls().size(), 1U);
}

// Guards against a second run of a retried request: a retry attaches to the
// pending request, gets the cached answer, is rejected if the body differs, or
// reaches a successor that knows the record but has no answer.
TEST_F(TeamShardTest, AnswersRetriesOfTheSameKey) {
  const Answer first = Request(Key());
  const Answer attached = Request(Key());
  EXPECT_EQ((**Request(Key(), false, "other")).m_reason, "key_reused");
  m_shard->LedgerStepOnce();
  const auto calls = m_groups.TakeCalls();
  ASSERT_EQ(calls.size(), 1U);
  calls.front().m_done(MakeMessage(ServeReply{200}, "answer"));
  EXPECT_EQ((*first)->m_outcome, Outcome::kDone);
  EXPECT_EQ((*attached)->m_outcome, Outcome::kDone);
  EXPECT_EQ((**Request(Key())).m_outcome, Outcome::kDone);
  const Answer unended = Request(Key() + "2");
  m_shard->LedgerStepOnce();
  m_shard = MakeShard(2);
  EXPECT_EQ((**Request(Key())).m_reason, "answer_expired");
  EXPECT_EQ((**Request(Key() + "2")).m_outcome, Outcome::kOutcomeUnknown);
}

// Guards against the loss of an accepted job, and P6 for submissions, for each
// fault in the write of the job record.
TEST_F(TeamShardTest, SubmissionFaults) {
  struct Case {
    StoreFault m_fault;
    Outcome m_outcome;
  };
  int number = 0;
  for (const Case& test : {Case{StoreFault::kNone, Outcome::kQueued},
                           Case{StoreFault::kDown, Outcome::kNotRun},
                           Case{StoreFault::kLostAnswer, Outcome::kQueued}}) {
    m_store.SetFaults([test](bool is_write) {
      return is_write ? test.m_fault : StoreFault::kNone;
    });
    const std::string key = Key() + std::to_string(number++);
    const Result<JobStatus> status = Submit({}, key);
    ASSERT_TRUE(status.has_value());
    EXPECT_EQ(status->m_outcome, test.m_outcome);
    const bool is_known =
        m_shard->LookupJob({JobIdFor(kShard, "a", key), "a", 0}).has_value();
    EXPECT_EQ(is_known, test.m_outcome == Outcome::kQueued);
  }
  m_store.SetFaults(nullptr);
  EXPECT_EQ(Submit({.m_name = "other"}, Key() + "0").error().Reason(),
            "key_reused");
  JobSpec large;
  large.m_resources = {9000, 1, 0};
  EXPECT_EQ(Submit(large, "")->m_reason, "never_fits");
  EXPECT_FALSE(m_shard->LookupJob({JobIdFor(kShard, "a", Key() + "0"), "b", 0})
                   .has_value());
}

// Guards against the loss of a job that a paused owner accepts after its
// successor has read the job records.
TEST_F(TeamShardTest, PausedOwnerAcceptsNoJob) {
  const auto successor = MakeShard(2);
  const Result<JobStatus> status = Submit({}, Key());
  EXPECT_EQ(status.error().Code(), ErrorCode::kNotOwner);
  EXPECT_TRUE(m_shard->Superseded());
}

// Guards P4 after a takeover: nothing is placed while VMs may run unknown
// tasks; everything is placed once those VMs have reported.
TEST_F(TeamShardTest, UnknownVmsCountAsUsed) {
  ASSERT_EQ(Submit({.m_tasks = 2}, "")->m_outcome, Outcome::kQueued);
  m_shard = MakeShard(2);
  FenceTeamReply reply;
  reply.m_unknown_vms = {"vm"};
  reply.m_unknown_room = {64'000, 128'000, 0};
  const std::size_t before = m_groups.PlacedAttempts().size();
  AnswerFences(*m_shard, reply);
  EXPECT_EQ(m_groups.PlacedAttempts().size(), before);
  m_clock.Advance(Milliseconds(1001));
  m_shard->TickOnce();
  AnswerFences(*m_shard, {});
  EXPECT_EQ(m_groups.PlacedAttempts().size(), before + 3);
}

// Guards P7 for tasks: a start whose answer was lost is never repeated in
// another group, and an end is acknowledged only once it is in the store.
TEST_F(TeamShardTest, NonIdempotentTask) {
  const Result<JobStatus> status = Submit({.m_idempotent = false}, Key());
  ASSERT_TRUE(status.has_value());
  m_shard->TickOnce();
  EXPECT_TRUE(m_groups.TakeCalls().empty()) << "placed before its start mark";
  m_shard->LedgerStepOnce();
  ASSERT_EQ(m_groups.TakeCalls().size(), 1U);
  m_shard->RecordStepOnce();
  AttemptReport end;
  end.m_attempt = m_groups.PlacedAttempts().back().m_attempt;
  end.m_job = status->m_job;
  end.m_team = "a";
  end.m_state = AttemptState::kEnded;
  m_store.SetFaults([](bool) { return StoreFault::kDown; });
  const TaskEventsRequest events{"z1", 1, kShard, {end}};
  EXPECT_FALSE(m_shard->OnTaskEvents(events).has_value());
  m_store.SetFaults(nullptr);
  m_shard->RecordStepOnce();
  EXPECT_TRUE(m_shard->OnTaskEvents(events).has_value());
  EXPECT_EQ(m_shard->LookupJob({status->m_job, "a", 0})->m_outcome,
            Outcome::kDone);
}

}  // namespace
}  // namespace mustardslip
