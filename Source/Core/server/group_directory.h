// How team shard owners reach VM groups: the configured groups, what gossip
// tells about them, and calls through the router.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration.h"
#include "membership/shard_router.h"
#include "server/gossip.h"

namespace mustardslip {

// Satisfies GroupChannel.
class GroupDirectory {
 public:
  using ConfigurationSource =
      std::function<std::shared_ptr<const Configuration>()>;

  GroupDirectory(GossipView& gossip, ShardRouter& router,
                 ConfigurationSource configuration)
      : m_gossip(gossip),
        m_router(router),
        m_configuration(std::move(configuration)) {}

  std::vector<GroupSummary> Summaries() const;

  void Call(const std::string& group, const std::string& method,
            const RpcMessage& message, Milliseconds timeout, RpcCallback done) {
    m_router.Call(ShardId::Group(group), method, message, timeout,
                  std::move(done));
  }

 private:
  GossipView& m_gossip;
  ShardRouter& m_router;
  const ConfigurationSource m_configuration;
};

}  // namespace mustardslip
