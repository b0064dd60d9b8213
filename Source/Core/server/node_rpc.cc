// Dispatches calls of other daemons to the shard owners of this one.
#include "server/node.h"

namespace mustardslip {
namespace {

constexpr std::size_t kMaxSnapshotBytes = 12U << 20U;

// Parses the header or answers with the error.
template <typename Header, typename Function>
void WithHeader(const RpcMessage& request, const RpcCallback& respond,
                Function function) {
  const Result<Header> header = ReadHeader<Header>(request);
  if (!header) {
    respond(tl::unexpected(header.error()));
    return;
  }
  function(*header);
}

// Responds with a value as the header, or with the error.
template <typename Value>
void RespondWith(const Result<Value>& result, const RpcCallback& respond) {
  if (!result) {
    respond(tl::unexpected(result.error()));
    return;
  }
  respond(MakeMessage(*result));
}

void RespondWith(const Result<void>& result, const RpcCallback& respond) {
  if (!result) {
    respond(tl::unexpected(result.error()));
    return;
  }
  respond(RpcMessage{});
}

}  // namespace

void Node::HandleRpc(const std::string& method, RpcMessage request,
                     const RpcCallback& respond) {
  if (method == "Gossip") {
    HandleGossip(request, respond);
    return;
  }
  if (method == "ConfigurationSnapshot") {
    const ConfigurationSnapshot snapshot = m_watcher.Snapshot();
    std::string payload = nlohmann::json(snapshot).dump();
    if (payload.size() > kMaxSnapshotBytes) {
      respond(Fail(ErrorCode::kResourceExhausted, "snapshot_too_large"));
      return;
    }
    respond(RpcMessage{nlohmann::json::object(), std::move(payload)});
    return;
  }
  const auto shard =
      ParseShardKey(request.m_header.value(kShardField, std::string()));
  request.m_header.erase(kShardField);
  if (shard && shard->m_kind == ShardId::Kind::kTeam) {
    if (const auto owner = m_team_owners.Find(shard->m_name)) {
      HandleTeamCall(*owner, method, std::move(request), respond);
      return;
    }
  } else if (shard) {
    if (const auto owner = m_group_owners.Find(shard->m_name)) {
      HandleGroupCall(*owner, method, std::move(request), respond);
      return;
    }
  }
  respond(Fail(ErrorCode::kNotOwner, "not_owner"));
}

void Node::HandleGossip(const RpcMessage& request, const RpcCallback& respond) {
  WithHeader<GossipMessage>(request, respond, [&](const GossipMessage& gossip) {
    m_gossip.Receive(gossip, m_clock.Now());
    RpcMessage reply;
    const auto query = request.m_header.find("query");
    if (query != request.m_header.end()) {
      reply.m_header["report"] = m_watcher.Answer(query->get<FreshnessQuery>());
    }
    reply.m_header["watcher_id"] = m_watcher.Id();
    respond(std::move(reply));
  });
}

void Node::HandleTeamCall(TeamOwnerT& owner, const std::string& method,
                          RpcMessage request, const RpcCallback& respond) {
  const auto answer_status = [respond](const Result<JobStatus>& status) {
    RespondWith(status, respond);
  };
  if (method == "SubmitJob") {
    WithHeader<SubmitJobRequest>(request, respond,
                                 [&](const SubmitJobRequest& submission) {
                                   owner.SubmitJob(submission, answer_status);
                                 });
  } else if (method == "TaskEvents") {
    WithHeader<TaskEventsRequest>(
        request, respond, [&](const TaskEventsRequest& events) {
          RespondWith(owner.OnTaskEvents(events), respond);
        });
  } else if (method == "ServiceRequest") {
    WithHeader<ServiceCall>(request, respond, [&](const ServiceCall& call) {
      owner.ServiceRequest(
          call, std::move(request.m_payload),
          [respond](const ServiceCallReply& reply, std::string body) {
            respond(MakeMessage(reply, std::move(body)));
          });
    });
  } else if (method == "WaitJob") {
    WithHeader<JobRequest>(request, respond, [&](const JobRequest& call) {
      owner.WaitJob(call, answer_status);
    });
  } else if (method == "LookupJob") {
    WithHeader<JobRequest>(request, respond, [&](const JobRequest& call) {
      answer_status(owner.LookupJob(call));
    });
  } else if (method == "CancelJob") {
    WithHeader<JobRequest>(request, respond, [&](const JobRequest& call) {
      answer_status(owner.CancelJob(call));
    });
  } else if (method == "ExplainJob") {
    WithHeader<JobRequest>(request, respond, [&](const JobRequest& call) {
      const Result<std::string> text = owner.ExplainJob(call);
      if (!text) {
        respond(tl::unexpected(text.error()));
        return;
      }
      respond(RpcMessage{nlohmann::json::parse(*text), ""});
    });
  } else {
    respond(Fail(ErrorCode::kInvalidArgument, "unknown_method", method));
  }
}

void Node::HandleGroupCall(GroupOwnerT& owner, const std::string& method,
                           RpcMessage request, const RpcCallback& respond) {
  if (method == "Place") {
    WithHeader<PlaceRequest>(request, respond, [&](const PlaceRequest& place) {
      RespondWith(owner.Place(place), respond);
    });
  } else if (method == "StopAttempts") {
    WithHeader<StopRequest>(request, respond, [&](const StopRequest& stop) {
      RespondWith(owner.StopAttempts(stop), respond);
    });
  } else if (method == "FenceTeam") {
    WithHeader<FenceTeamRequest>(request, respond,
                                 [&](const FenceTeamRequest& fence) {
                                   RespondWith(owner.FenceTeam(fence), respond);
                                 });
  } else if (method == "Serve") {
    WithHeader<ServeRequest>(request, respond, [&](const ServeRequest& serve) {
      owner.Serve(serve, std::move(request.m_payload),
                  [respond](const Result<ServeReply>& reply, std::string body) {
                    if (!reply) {
                      respond(tl::unexpected(reply.error()));
                      return;
                    }
                    respond(MakeMessage(*reply, std::move(body)));
                  });
    });
  } else {
    respond(Fail(ErrorCode::kInvalidArgument, "unknown_method", method));
  }
}

}  // namespace mustardslip
