// Life cycle of a daemon and its background work.
#include "server/node.h"

#include <fmt/core.h>

#include <set>

#include "common/logger.h"
#include "server/retrying_apply.h"

namespace mustardslip {
namespace {

constexpr Milliseconds kVmListInterval{1'000};
constexpr Milliseconds kGossipInterval{500};
// A proof of freshness counts from the time the watch was sent, so its age goes
// up to twice this limit. It has to stay below kAskForHoldAfter: with a watch
// of 2 s each daemon asked for holds in every cycle and no change was accepted.
constexpr Milliseconds kConfigurationWatchLimit{1'000};
static_assert(2 * kConfigurationWatchLimit < kAskForHoldAfter);
constexpr Milliseconds kGossipTimeout{1'000};
constexpr Milliseconds kSnapshotTimeout{5'000};
constexpr Milliseconds kStoreRetryInterval{200};
// Shards that are built or stopped at the same time; each takes one thread.
constexpr std::size_t kShardThreads = 128;
constexpr std::size_t kRpcThreads = 64;
constexpr std::size_t kMaxRequestBodyBytes = 4U << 20U;

}  // namespace

Node::Node(NodeOptions options)
    : m_options(std::move(options)),
      m_store(m_options.m_store, m_options.m_store_timeout),
      m_vm_list(m_options.m_vm_list, m_options.m_store_timeout),
      m_watcher(m_store,
                WatcherOptions{.m_address = ToString(m_options.m_rpc_address),
                               .m_watch_limit = kConfigurationWatchLimit},
                m_clock,
                [this](const std::shared_ptr<const Configuration>&) {
                  for (const auto& [zone, owner] : m_group_owners.All()) {
                    ApplyFleet(*owner, zone);
                  }
                }),
      m_session(std::make_unique<MemberSession<StoreClient>>(
          m_store,
          MemberOptions{.m_rpc_address = m_options.m_rpc_address,
                        .m_zone = m_options.m_zone,
                        .m_team_shards = m_options.m_team_shards,
                        .m_lease = m_options.m_member_lease},
          MakeMemberCallbacks())),
      m_router(m_rpc_client, [this] { return m_session->Routing(); }),
      m_groups(m_gossip, m_router, [this] { return m_watcher.Current(); }),
      m_shard_pool(std::make_unique<ThreadPool>(kShardThreads)),
      m_team_owners(
          *m_shard_pool,
          [this](const std::string& name, Epoch epoch,
                 const std::atomic<bool>& cancelled) {
            return BuildTeamOwner(name, epoch, cancelled);
          },
          [](TeamOwnerT& owner, bool graceful) { owner.Stop(graceful); }),
      m_group_owners(
          *m_shard_pool,
          [this](const std::string& name, Epoch epoch,
                 const std::atomic<bool>& cancelled) {
            return BuildGroupOwner(name, epoch, cancelled);
          },
          [](GroupOwnerT& owner, bool) { owner.Stop(); }),
      m_gateway(GatewayOptions{.m_team_shards = m_options.m_team_shards},
                MakeGatewayPorts()) {}

Node::~Node() { Stop(); }

void Node::Start() {
  m_rpc_server = std::make_unique<RpcServer>(
      m_options.m_rpc_address, kRpcThreads,
      [this](const std::string& method, RpcMessage request,
             const RpcCallback& respond) {
        HandleRpc(method, std::move(request), respond);
      });
  m_http_server = std::make_unique<HttpServer>(
      HttpServerOptions{.m_address = m_options.m_http_address.m_host,
                        .m_port = m_options.m_http_address.m_port,
                        .m_max_threads = m_options.m_max_connections,
                        .m_max_body_bytes = kMaxRequestBodyBytes},
      [this](const HttpRequest& request) { return m_gateway.Handle(request); });
  m_watcher.Start();
  m_session->Start();
  m_threads.emplace_back([this] { RunVmList(); });
  m_threads.emplace_back([this] { RunGossip(); });
}

void Node::Stop() {
  if (m_draining.exchange(true)) {
    return;
  }
  Log(LogLevel::kInfo, LogCategory::kCommon, "draining");
  // /readyz fails from here on; the load balancer needs time to notice.
  std::this_thread::sleep_for(m_options.m_drain_delay);
  // The listener closes first and requests in flight are answered while the
  // routing table is still kept current. Stopping the session first left them
  // with an old table: a shard that moved afterwards was not found again, and
  // they waited until their deadline.
  if (m_http_server != nullptr) {
    m_http_server->BeginDrain();
    m_http_server.reset();
  }
  m_session->Stop();
  m_watcher.Leave();
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
  m_rpc_server.reset();
  m_shard_pool.reset();
  Log(LogLevel::kInfo, LogCategory::kCommon, "stopped");
}

MemberCallbacks Node::MakeMemberCallbacks() {
  MemberCallbacks callbacks;
  callbacks.m_groups = [this] { return m_watcher.Current()->Zones(); };
  callbacks.m_on_acquired = [this](const ShardId& shard, Epoch epoch) {
    if (shard.m_kind == ShardId::Kind::kTeam) {
      m_team_owners.Acquire(shard.m_name, epoch);
    } else {
      m_group_owners.Acquire(shard.m_name, epoch);
    }
  };
  callbacks.m_on_lost = [this](const ShardId& shard) {
    if (shard.m_kind == ShardId::Kind::kTeam) {
      m_team_owners.Lose(shard.m_name);
    } else {
      m_group_owners.Lose(shard.m_name);
    }
  };
  callbacks.m_on_release = [this](const ShardId& shard) {
    if (shard.m_kind == ShardId::Kind::kTeam) {
      m_team_owners.Release(shard.m_name);
    } else {
      m_group_owners.Release(shard.m_name);
    }
  };
  return callbacks;
}

std::shared_ptr<Node::TeamOwnerT> Node::BuildTeamOwner(
    const std::string& name, Epoch epoch, const std::atomic<bool>&) {
  auto owner = std::make_shared<TeamOwnerT>(
      std::stoll(name), epoch, m_store, m_groups, TeamOwnerOptions{},
      [this](const std::string& team) -> std::optional<Resources> {
        const auto configuration = m_watcher.Current();
        const TeamRecord* record = configuration->FindTeam(team);
        return record == nullptr ? std::nullopt
                                 : std::optional(record->m_limit);
      });
  owner->Start();
  return owner;
}

// The group's epoch is already written; the team epochs are read after it, so
// that a team shard owner that this read misses has to see the new group owner.
std::shared_ptr<Node::GroupOwnerT> Node::BuildGroupOwner(
    const std::string& name, Epoch epoch, const std::atomic<bool>& cancelled) {
  std::map<std::int64_t, Epoch> team_epochs;
  while (true) {
    const Result<StoreList> records = m_store.List("shard/team/");
    if (records) {
      for (const StoreEntry& entry : records->m_entries) {
        const auto shard = ParseShardKey(entry.m_key);
        const auto record = DecodeShardRecord(entry);
        if (shard && record) {
          team_epochs[std::stoll(shard->m_name)] = record->m_epoch;
        }
      }
      break;
    }
    std::this_thread::sleep_for(kStoreRetryInterval);
    if (cancelled) {
      return nullptr;
    }
  }
  const auto configuration = m_watcher.Current();
  std::map<std::string, Endpoint> addresses;
  for (const VmRecord& vm : configuration->VmsOfZone(name)) {
    addresses[vm.m_id] = vm.m_address;
  }
  GroupOwnerOptions options;
  options.m_worker_timeout = m_options.m_worker_timeout;
  options.m_state.m_placement.m_correct_sizes = false;
  options.m_state.m_placement.m_unix_ms_at_zero =
      m_clock.UnixMillis() -
      std::chrono::duration_cast<Milliseconds>(m_clock.Now().time_since_epoch())
          .count();
  auto owner = std::make_shared<GroupOwnerT>(
      name, epoch, std::move(team_epochs), m_router,
      [this](const std::string& vm) {
        const auto current = m_watcher.Current();
        Endpoint address;
        for (const VmRecord& record : current->Vms()) {
          if (record.m_id == vm) {
            address = record.m_address;
          }
        }
        return std::make_shared<WorkerClient>(address, "/" + vm,
                                              m_options.m_worker_timeout);
      },
      [this, name, epoch] {
        m_session->ReportStaleEpoch(ShardId::Group(name), epoch + 1);
      },
      options);
  ApplyFleet(*owner, name);
  const std::lock_guard lock(m_mutex);
  if (m_last_list) {
    owner->SetVmList(*m_last_list);
  }
  return owner;
}

void Node::ApplyFleet(GroupOwnerT& owner, const std::string& zone) const {
  const auto configuration = m_watcher.Current();
  std::vector<VmDescription> vms;
  for (const VmRecord& vm : configuration->VmsOfZone(zone)) {
    vms.push_back({vm.m_id, vm.m_zone, vm.m_rack, vm.m_total});
  }
  std::map<std::string, double> shares;
  for (const TeamRecord& team : configuration->Teams()) {
    shares[team.m_name] = team.m_share;
  }
  owner.SetFleet(vms, shares);
}

void Node::RunVmList() {
  do {
    const auto owners = m_group_owners.All();
    if (owners.empty()) {
      continue;
    }
    const Result<VmList> list = m_vm_list.Read();
    if (!list) {
      continue;
    }
    {
      const std::lock_guard lock(m_mutex);
      m_last_list = *list;
    }
    for (const auto& [zone, owner] : owners) {
      owner->SetVmList(*list);
    }
  } while (SleepUnlessStopping(kVmListInterval));
}

GossipMessage Node::MakeGossip() const {
  GossipMessage message;
  message.m_incarnation = m_session->Incarnation();
  message.m_watcher_id = m_watcher.Id();
  message.m_configuration_revision = m_watcher.Current()->Revision();
  message.m_has_store_contact = m_session->HasStoreContact();
  for (const auto& [zone, owner] : m_group_owners.All()) {
    message.m_groups.push_back(owner->Summary());
  }
  return message;
}

void Node::RunGossip() {
  do {
    const GossipMessage message = MakeGossip();
    m_gossip.Receive(message, m_clock.Now());
    std::map<Endpoint, std::string> peers;
    for (const Member& member : m_session->Routing()->Members()) {
      peers[member.m_rpc_address];
    }
    for (const RosterMember& member : m_watcher.Roster()) {
      if (const auto address = ParseEndpoint(member.m_address)) {
        peers[*address] = member.m_id;
      }
    }
    peers.erase(m_options.m_rpc_address);
    for (const auto& [address, watcher_id] : peers) {
      SendGossip(address, watcher_id, message);
    }
  } while (SleepUnlessStopping(kGossipInterval));
}

void Node::SendGossip(const Endpoint& peer, const std::string& watcher_id,
                      const GossipMessage& message) {
  RpcMessage call = MakeMessage(message);
  if (!watcher_id.empty()) {
    call.m_header["query"] = m_watcher.MakeQuery(watcher_id);
  }
  const TimePoint asked_at = m_clock.Now();
  m_rpc_client.Call(
      peer, "Gossip", call, kGossipTimeout,
      [this, peer, watcher_id, asked_at](const RpcResult& result) {
        if (!result || watcher_id.empty()) {
          return;
        }
        if (result->m_header.value("watcher_id", "") != watcher_id) {
          // Another process listens there now: the member is gone.
          m_watcher.OnMemberGone(watcher_id);
          return;
        }
        const auto report = result->m_header.find("report");
        if (report != result->m_header.end() &&
            m_watcher.LearnFromPeer(watcher_id, report->get<FreshnessReport>(),
                                    asked_at) &&
            !m_session->HasStoreContact()) {
          FetchSnapshot(peer);
        }
      });
}

void Node::FetchSnapshot(const Endpoint& peer) {
  m_rpc_client.Call(
      peer, "ConfigurationSnapshot", {}, kSnapshotTimeout,
      [this](const RpcResult& result) {
        if (!result) {
          return;
        }
        const auto json =
            nlohmann::json::parse(result->m_payload, nullptr, false);
        if (json.is_object()) {
          (void)m_watcher.AdoptSnapshot(json.get<ConfigurationSnapshot>());
        }
      });
}

bool Node::SleepUnlessStopping(Milliseconds duration) {
  std::unique_lock lock(m_mutex);
  return !m_wake.wait_for(lock, duration, [this] { return m_stopping; });
}

bool Node::IsReady() const {
  return !m_draining && m_watcher.IsReady() &&
         m_watcher.CurrentWithVerdict().m_verdict.MayHonourKeys() &&
         !m_session->Routing()->Members().empty();
}

nlohmann::json Node::Status() const {
  nlohmann::json status = {
      {"incarnation", m_session->Incarnation()},
      {"configuration_revision", m_watcher.Current()->Revision()},
      {"keys", ToString(m_watcher.CurrentWithVerdict().m_verdict.m_state)},
      {"store_contact", m_session->HasStoreContact()},
      {"groups", nlohmann::json::array()},
      {"shards", nlohmann::json::array()},
      {"members", nlohmann::json::array()}};
  for (const GroupSummary& summary : m_groups.Summaries()) {
    status["groups"].push_back({{"zone", summary.m_group},
                                {"epoch", summary.m_epoch},
                                {"ready", summary.m_ready},
                                {"total", summary.m_total},
                                {"free", summary.m_free},
                                {"queued_tasks", summary.m_queued_tasks}});
  }
  const auto routing = m_session->Routing();
  for (const auto& [shard, owner] : routing->Owners()) {
    status["shards"].push_back({{"shard", shard.StoreKey()},
                                {"owner", owner.m_incarnation},
                                {"address", ToString(owner.m_address)},
                                {"epoch", owner.m_epoch},
                                {"alive", owner.m_alive}});
  }
  for (const Member& member : routing->Members()) {
    status["members"].push_back({{"incarnation", member.m_incarnation},
                                 {"address", ToString(member.m_rpc_address)},
                                 {"zone", member.m_zone}});
  }
  return status;
}

GatewayPorts Node::MakeGatewayPorts() {
  GatewayPorts ports;
  ports.m_configuration = [this] { return m_watcher.Current(); };
  ports.m_keys_are_fresh = [this] { return m_watcher.IsFresh(m_clock.Now()); };
  ports.m_call_team_shard =
      [this](std::int64_t shard, const std::string& method,
             const RpcMessage& message, Milliseconds timeout) {
        return m_router.CallUntil(ShardId::Team(static_cast<int>(shard)),
                                  method, message, timeout);
      };
  ports.m_is_ready = [this] { return IsReady(); };
  ports.m_status = [this] { return Status(); };
  ports.m_metrics = [this] { return ExposeMetrics(); };
  ports.m_burn_report = [this](bool json) {
    const std::lock_guard lock(m_burn_mutex);
    const std::vector<BurnLine> lines = m_burn.Lines(m_clock.Now());
    return json ? ToJson(lines).dump() + "\n" : ToText(lines);
  };
  ports.m_get_configuration = [this] {
    return HandleGetConfiguration(m_watcher);
  };
  ports.m_put_configuration = [this](const HttpRequest& request) {
    RetryingApply apply(*this);
    return HandlePutConfiguration(apply, request);
  };
  ports.m_record_outcome = [this](const RecordedOutcome& outcome) {
    RecordOutcome(outcome);
  };
  return ports;
}

}  // namespace mustardslip
