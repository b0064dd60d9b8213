// One daemon: connects membership, configuration, shard owners and gateway.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "configuration/configuration_api.h"
#include "configuration/configuration_watcher.h"
#include "dispatch/group_owner.h"
#include "fleet/vm_list_client.h"
#include "fleet/worker_client.h"
#include "gateway/gateway.h"
#include "jobs/team_owner.h"
#include "membership/member_session.h"
#include "membership/shard_router.h"
#include "report/burn_report.h"
#include "report/metrics.h"
#include "server/gossip.h"
#include "server/group_directory.h"
#include "server/node_options.h"
#include "server/shard_host.h"
#include "store/store_client.h"
#include "transport/http_server.h"
#include "transport/rpc.h"

namespace mustardslip {

class Node {
 public:
  explicit Node(NodeOptions options);
  ~Node();

  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Listens and joins. Throws std::exception if an address cannot be bound.
  void Start();
  // Graceful shutdown; cuts no request in flight. Blocks until it is complete.
  void Stop();

 private:
  using TeamOwnerT = TeamOwner<StoreClient, GroupDirectory>;
  using GroupOwnerT = GroupOwner<WorkerClient, ShardRouter>;

  // node.cc: life cycle and background work.
  std::shared_ptr<TeamOwnerT> BuildTeamOwner(
      const std::string& name, Epoch epoch, const std::atomic<bool>& cancelled);
  std::shared_ptr<GroupOwnerT> BuildGroupOwner(
      const std::string& name, Epoch epoch, const std::atomic<bool>& cancelled);
  MemberCallbacks MakeMemberCallbacks();
  GatewayPorts MakeGatewayPorts();
  void ApplyFleet(GroupOwnerT& owner, const std::string& zone) const;
  void RunVmList();
  void RunGossip();
  GossipMessage MakeGossip() const;
  void SendGossip(const Endpoint& peer, const std::string& watcher_id,
                  const GossipMessage& message);
  void FetchSnapshot(const Endpoint& peer);
  bool SleepUnlessStopping(Milliseconds duration);
  bool IsReady() const;
  nlohmann::json Status() const;

  // node_report.cc: metrics, burn report and configuration changes.
  class RetryingApply;
  void RecordOutcome(const RecordedOutcome& outcome);
  std::string ExposeMetrics();

  // node_rpc.cc: calls of other daemons.
  void HandleRpc(const std::string& method, RpcMessage request,
                 const RpcCallback& respond);
  void HandleGossip(const RpcMessage& request, const RpcCallback& respond);
  void HandleTeamCall(TeamOwnerT& owner, const std::string& method,
                      RpcMessage request, const RpcCallback& respond);
  void HandleGroupCall(GroupOwnerT& owner, const std::string& method,
                       RpcMessage request, const RpcCallback& respond);

  const NodeOptions m_options;
  const SystemClock m_clock{};
  StoreClient m_store;
  VmListClient m_vm_list;
  RpcClient m_rpc_client;
  GossipView m_gossip;
  ConfigurationWatcher<StoreClient> m_watcher;
  std::unique_ptr<MemberSession<StoreClient>> m_session;
  ShardRouter m_router;
  GroupDirectory m_groups;
  // Building and stopping of shard owners.
  std::unique_ptr<ThreadPool> m_shard_pool;
  ShardHost<TeamOwnerT> m_team_owners;
  ShardHost<GroupOwnerT> m_group_owners;
  Metrics m_metrics;
  std::mutex m_burn_mutex;
  BurnReport m_burn;  // Guarded by m_burn_mutex.
  Gateway m_gateway;
  std::unique_ptr<RpcServer> m_rpc_server;
  std::unique_ptr<HttpServer> m_http_server;

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;  // Guarded by m_mutex.
  std::atomic<bool> m_draining = false;
  std::optional<VmList> m_last_list;  // Guarded by m_mutex.
  std::vector<std::thread> m_threads;
};

}  // namespace mustardslip
