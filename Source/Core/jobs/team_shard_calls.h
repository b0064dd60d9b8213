// TeamShard: handlers of calls from gateways and groups, and calls to groups.
// Included by team_shard.h only.
#pragma once

#include <algorithm>
#include <utility>

#include "transport/http_status.h"

namespace mustardslip {

// ---------------------------------------------------------------------------
// Calls from gateways.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::SubmitJob(SubmitJobRequest request,
                                                    JobResponder done) {
  Update([&](Deferred& deferred) {
    const auto answer = [&deferred, &done](Result<JobStatus> result) {
      deferred.push_back([done, result = std::move(result)] { done(result); });
    };
    if (const Result<void> state = CheckReady(); !state) {
      answer(tl::unexpected(state.error()));
      return;
    }
    const bool has_id =
        request.m_idempotency_key.empty() && !request.m_job.empty();
    std::string id = has_id ? request.m_job
                            : JobIdFor(m_shard, request.m_spec.m_team,
                                       request.m_idempotency_key);
    if (const Job* known = m_jobs.Find(id)) {
      if (known->m_content != ContentHash(request.m_spec)) {
        answer(Fail(ErrorCode::kInvalidArgument, "key_reused"));
      } else if (known->m_recorded) {
        answer(StatusOf(*known));
      } else {
        m_submissions.Add(id, m_clock.Now() + m_options.m_submit_timeout,
                          std::move(done));
      }
      return;
    }
    if (std::optional<JobStatus> refusal = CheckAdmission(request)) {
      refusal->m_job = id;
      answer(std::move(*refusal));
      return;
    }
    AdmitJob(std::move(request), std::move(id), std::move(done), deferred);
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
std::optional<JobStatus> TeamShard<Store, Groups, ClockType>::CheckAdmission(
    const SubmitJobRequest& request) const {
  const JobSpec& spec = request.m_spec;
  JobStatus status;
  status.m_outcome = Outcome::kNotRun;
  if (!spec.m_idempotent && !request.m_idempotency_key.empty()) {
    const Result<std::int64_t> issued =
        ParseIdempotencyKey(request.m_idempotency_key);
    const std::int64_t now_s = m_clock.UnixMillis() / kMillisPerSecond;
    if (!issued) {
      status.m_reason = issued.error().Reason();
      return status;
    }
    const KeyAge age = CheckKeyAge(*issued, now_s);
    if (age != KeyAge::kValid) {
      // The ledger record of an old key may have been deleted, so whether the
      // request ran is unknown.
      const bool is_old = age == KeyAge::kTooOld;
      status.m_outcome = is_old ? Outcome::kOutcomeUnknown : Outcome::kNotRun;
      status.m_reason = is_old ? "key_too_old" : "key_from_future";
      return status;
    }
  }
  const std::optional<Resources> limit = m_limits(spec.m_team);
  if (NeverFits(spec, m_jobs.Groups().Summaries(), limit)) {
    status.m_reason = "never_fits";
    return status;
  }
  if (m_jobs.CountOpen(spec.m_team) >= m_options.m_max_jobs_per_team) {
    status.m_reason = "team_queue_full";
    status.m_retry_after_ms = m_options.m_requests.m_retry_after.count();
    return status;
  }
  return std::nullopt;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::AdmitJob(SubmitJobRequest request,
                                                   std::string id,
                                                   JobResponder done,
                                                   Deferred& deferred) {
  Job job = MakeJob(id, std::move(request.m_spec), m_clock.UnixMillis());
  std::string text = EncodeJobRecord(job, m_epoch);
  if (text.size() > kMaxStoreValueBytes) {
    deferred.push_back(
        [done] { done(Fail(ErrorCode::kInvalidArgument, "job_too_large")); });
    return;
  }
  m_jobs.Add(std::move(job));
  m_records.Write(JobKey(m_shard, id), std::move(text));
  m_submissions.Add(id, m_clock.Now() + m_options.m_submit_timeout,
                    std::move(done));
}

// Returns kNotFound also for a job of another team.
template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<const Job*> TeamShard<Store, Groups, ClockType>::FindJob(
    const JobRequest& request) const {
  if (const Result<void> state = CheckReady(); !state) {
    return tl::unexpected(state.error());
  }
  const Job* job = m_jobs.Find(request.m_job);
  if (job == nullptr || job->m_spec.m_team != request.m_team) {
    return Fail(ErrorCode::kNotFound, "job_not_found");
  }
  return job;
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<JobStatus> TeamShard<Store, Groups, ClockType>::LookupJob(
    const JobRequest& request) {
  const std::lock_guard lock(m_mutex);
  return FindJob(request).map([](const Job* job) { return StatusOf(*job); });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::WaitJob(const JobRequest& request,
                                                  JobResponder done) {
  Update([&](Deferred& deferred) {
    const Result<const Job*> job = FindJob(request);
    if (job && !(*job)->HasEnded() && request.m_wait_ms > 0) {
      m_waits.Add(request.m_job,
                  m_clock.Now() + Milliseconds(request.m_wait_ms),
                  std::move(done));
      return;
    }
    const Result<JobStatus> status =
        job.map([](const Job* found) { return StatusOf(*found); });
    deferred.push_back([done, status] { done(status); });
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<JobStatus> TeamShard<Store, Groups, ClockType>::CancelJob(
    const JobRequest& request) {
  return Update([&](Deferred&) -> Result<JobStatus> {
    const Result<const Job*> job = FindJob(request);
    if (!job) {
      return tl::unexpected(job.error());
    }
    m_jobs.Cancel(request.m_job, Now());
    return StatusOf(**job);
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<std::string> TeamShard<Store, Groups, ClockType>::ExplainJob(
    const JobRequest& request) {
  const std::lock_guard lock(m_mutex);
  return FindJob(request).map(
      [this](const Job* job) { return ExplainJobAsJson(*job, m_jobs); });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::ServiceRequest(
    ServiceCall call, std::string body, ServiceResponder done) {
  Update([&](Deferred& deferred) {
    const Result<void> state = CheckReady();
    if (!state) {
      const ServiceCallReply reply{
          Outcome::kNotRun, HttpStatus::kServiceUnavailable,
          state.error().Reason(), m_options.m_requests.m_retry_after.count()};
      deferred.push_back([done, reply] { done(reply, ""); });
      return;
    }
    const bool has_service = m_jobs.HasService(call.m_team, call.m_service);
    m_requests.Submit(
        std::move(call), std::move(body), std::move(done), has_service,
        [this](const std::string& record) { return m_ledger.Find(record); },
        Now());
  });
}

// ---------------------------------------------------------------------------
// Calls from groups.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
Result<void> TeamShard<Store, Groups, ClockType>::OnTaskEvents(
    const TaskEventsRequest& events) {
  return Update([&](Deferred& deferred) -> Result<void> {
    if (Result<void> state = CheckReady(); !state) {
      return state;
    }
    Result<void> applied = m_jobs.Apply(events, Now());
    if (!applied) {
      return applied;
    }
    ProcessActions(deferred);
    if (!EndsAreRecorded(events)) {
      return Fail(ErrorCode::kUnavailable, "end_not_recorded");
    }
    return {};
  });
}

// The end of a non-idempotent task is acknowledged only after it is in the
// store, because its worker deletes it once it is acknowledged.
template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
bool TeamShard<Store, Groups, ClockType>::EndsAreRecorded(
    const TaskEventsRequest& events) const {
  return std::all_of(
      events.m_reports.begin(), events.m_reports.end(),
      [this](const AttemptReport& report) {
        const Job* job = m_jobs.Find(report.m_job);
        return report.m_state != AttemptState::kEnded || job == nullptr ||
               job->m_spec.m_idempotent ||
               m_records.IsWritten(JobKey(m_shard, report.m_job));
      });
}

// ---------------------------------------------------------------------------
// Actions that result from a change.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::ProcessActions(Deferred& deferred) {
  // A record that fails to start leads to further actions.
  constexpr int kMaxRounds = 8;
  for (int round = 0; round < kMaxRounds; round++) {
    ProcessJobActions(m_jobs.TakeActions(), deferred);
    ProcessRequestActions(m_requests.TakeActions(), deferred);
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::ProcessJobActions(
    JobActions actions, Deferred& deferred) {
  for (const MarkEnd& end : actions.m_mark_ends) {
    m_ledger.End(end.m_mark, end.m_state);
  }
  for (const std::string& mark : actions.m_marks) {
    const Result<void> started =
        m_ledger.Start(mark, mark, m_clock.UnixMillis() / kMillisPerSecond);
    if (!started) {
      m_jobs.MarkFailed(mark, started.error(), Now());
    }
  }
  for (PlaceOrder& order : actions.m_places) {
    SendPlace(std::move(order), deferred);
  }
  for (auto& [group, attempts] : actions.m_stops) {
    SendStop(group, std::move(attempts), deferred);
  }
  for (const std::string& id : actions.m_changed) {
    WriteJobRecord(id);
  }
  for (const std::string& id : actions.m_deleted) {
    m_records.Delete(JobKey(m_shard, id));
  }
  for (const std::string& id : actions.m_ended) {
    const Job* job = m_jobs.Find(id);
    for (JobResponder& responder : m_waits.Take(id)) {
      deferred.push_back([responder = std::move(responder),
                          status = StatusOf(*job)] { responder(status); });
    }
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::ProcessRequestActions(
    RequestActions actions, Deferred& deferred) {
  for (const MarkEnd& end : actions.m_record_ends) {
    m_ledger.End(end.m_mark, end.m_state);
  }
  for (const RecordOrder& order : actions.m_records) {
    const Result<void> started =
        m_ledger.Start(order.m_record, order.m_content, order.m_issued_unix_s);
    if (!started) {
      m_requests.RecordFailed(order.m_record, started.error(), Now());
    }
  }
  for (ServeOrder& order : actions.m_serves) {
    SendServe(std::move(order), deferred);
  }
  for (Answer& answer : actions.m_answers) {
    deferred.push_back([answer = std::move(answer)]() mutable {
      answer.m_responder(answer.m_response.m_reply,
                         std::move(answer.m_response.m_body));
    });
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::WriteJobRecord(
    const std::string& id) {
  if (const Job* job = m_jobs.Find(id)) {
    m_records.Write(JobKey(m_shard, id), EncodeJobRecord(*job, m_epoch));
  }
}

// ---------------------------------------------------------------------------
// Calls to groups.

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
template <typename Handler>
void TeamShard<Store, Groups, ClockType>::Call(
    const std::string& group, const std::string& method, RpcMessage message,
    Milliseconds timeout, Handler handler, Deferred& deferred) {
  m_calls_in_flight++;
  Groups& groups = m_groups;
  deferred.push_back([&groups, gate = m_gate, group, method, timeout, handler,
                      message = std::move(message)] {
    groups.Call(group, method, message, timeout,
                [gate, handler](const RpcResult& result) {
                  if (!gate->Enter()) {
                    return;
                  }
                  handler(result);
                  gate->Leave();
                });
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::SendFences(Deferred& deferred) {
  for (const std::string& group : m_jobs.TakeDueFences(m_clock.Now())) {
    const std::int64_t sequence = m_jobs.PlaceSequence();
    Call(
        group, "FenceTeam", MakeMessage(FenceTeamRequest{m_shard, m_epoch}),
        m_options.m_group_timeout,
        [this, group, sequence](const RpcResult& result) {
          OnFenceReply(group, result, sequence);
        },
        deferred);
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::OnFenceReply(const std::string& group,
                                                       const RpcResult& result,
                                                       std::int64_t sequence) {
  Update([&](Deferred& deferred) {
    m_calls_in_flight--;
    CheckSuperseded(result, deferred);
    const Result<FenceTeamReply> reply =
        result ? ReadHeader<FenceTeamReply>(*result)
               : Result<FenceTeamReply>(tl::unexpected(result.error()));
    if (!reply) {
      m_jobs.FenceFailed(group, m_clock.Now());
    } else if (m_state == State::kRecovering) {
      // The reply's attempts can be matched only after the job records are
      // read.
      m_early_fences.push_back({group, *reply, sequence});
    } else {
      m_jobs.FenceAnswered(group, *reply, sequence, Now());
    }
  });
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::CheckSuperseded(
    const RpcResult& result, Deferred& deferred) {
  if (!result && result.error().Code() == ErrorCode::kStaleEpoch) {
    CloseLocked(true, deferred);
  }
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::SendPlace(PlaceOrder order,
                                                    Deferred& deferred) {
  std::vector<AttemptId> attempts;
  for (const AttemptSpec& attempt : order.m_request.m_attempts) {
    attempts.push_back(attempt.m_attempt);
  }
  Call(
      order.m_group, "Place", MakeMessage(order.m_request),
      m_options.m_group_timeout,
      [this, group = order.m_group, attempts](const RpcResult& result) {
        Update([&](Deferred& next) {
          m_calls_in_flight--;
          const std::optional<Error> error =
              result ? std::nullopt : std::optional(result.error());
          m_jobs.PlaceAnswered(group, attempts, error, Now());
          CheckSuperseded(result, next);
        });
      },
      deferred);
}

// JobBook repeats a stop that was not delivered.
template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::SendStop(
    const std::string& group, std::vector<AttemptId> attempts,
    Deferred& deferred) {
  Call(
      group, "StopAttempts",
      MakeMessage(StopRequest{m_shard, m_epoch, std::move(attempts)}),
      m_options.m_group_timeout,
      [this](const RpcResult& result) {
        Update([&](Deferred& next) {
          m_calls_in_flight--;
          CheckSuperseded(result, next);
        });
      },
      deferred);
}

template <KeyValueStore Store, GroupChannel Groups, Clock ClockType>
void TeamShard<Store, Groups, ClockType>::SendServe(ServeOrder order,
                                                    Deferred& deferred) {
  Call(
      order.m_group, "Serve", MakeMessage(order.m_request, *order.m_body),
      Milliseconds(order.m_request.m_timeout_ms),
      [this, id = order.m_id](const RpcResult& result) {
        Update([&](Deferred& next) {
          m_calls_in_flight--;
          m_requests.Served(id, result, Now());
          CheckSuperseded(result, next);
        });
      },
      deferred);
}

}  // namespace mustardslip
