// Links from other daemons to this one: accepts and limits them, and knows what
// each daemon said of itself. Used by CellNode.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_request.h"
#include "cell/handover.h"
#include "transport/message_link.h"
#include "transport/reactor.h"

namespace mustardslip {

struct PeerLimits {
  // Links from other daemons; a further one is closed.
  std::size_t m_max_peers = 64;
  // Of them, those that have not said hello: the oldest is closed for a new
  // one.
  std::size_t m_max_unknown_peers = 16;

  bool operator==(const PeerLimits&) const = default;
};

class PeerLinks {
 public:
  struct Peer {
    std::unique_ptr<MessageLink> m_link;
    std::int64_t m_last_received_ms = 0;
    std::int64_t m_accepted_ms = 0;
    std::int64_t m_cpu_millis = 0;
    // Where the daemon listens for links.
    std::string m_link_address;
    bool m_hello_received = false;
    bool m_welcome_sent = false;
  };

  struct Handlers {
    // A message arrived; it may close the link.
    std::function<void(std::uint64_t number, const LinkMessage&)> m_on_message;
    std::function<void(std::uint64_t number)> m_on_removed;
  };

  PeerLinks(Reactor& reactor, PeerLimits limits, Handlers handlers)
      : m_reactor(reactor), m_limits(limits), m_handlers(std::move(handlers)) {}

  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  void Accept(int socket) {
    const std::uint64_t number = ++m_last_number;
    MessageLink::Handlers handlers;
    handlers.m_on_message = [this, number](const RpcMessage& message) {
      OnMessage(number, message);
    };
    handlers.m_on_closed = [this, number](bool) { Remove(number); };
    handlers.m_purpose_of = PurposeOf;
    Peer& peer = m_peers[number];
    peer.m_accepted_ms = m_reactor.Now().m_steady_ms;
    peer.m_last_received_ms = peer.m_accepted_ms;
    peer.m_link =
        std::make_unique<MessageLink>(m_reactor, socket, std::move(handlers));
    peer.m_link->SetMaxMessageBytes(MessageLink::kMaxHelloBytes);
    Limit(number);
  }

  std::size_t Size() const { return m_peers.size(); }

  // Null if there is no such link any more.
  Peer* Find(std::uint64_t number) {
    const auto found = m_peers.find(number);
    return found == m_peers.end() ? nullptr : &found->second;
  }

  // Calls `visit(number, peer)` for each link. `visit` must not remove any.
  template <typename Visitor>
  void Visit(Visitor visit) {
    for (auto& [number, peer] : m_peers) {
      visit(number, peer);
    }
  }

  void Send(std::uint64_t number, const LinkMessage& message) {
    if (const Peer* peer = Find(number)) {
      peer->m_link->Send(EncodeLinkMessage(message));
    }
  }

  // The daemon named itself.
  static void OnHello(Peer& peer, const LinkMessage& hello) {
    peer.m_hello_received = true;
    peer.m_link->SetMaxMessageBytes(MessageLink::kMaxMessageBytes);
    peer.m_cpu_millis = hello.m_cpu_millis;
    peer.m_link_address = hello.m_link_address;
  }

  // Sends the ping to all, and removes those that have sent nothing for
  // `timeout_ms`.
  void Ping(const LinkMessage& ping, std::int64_t timeout_ms) {
    const RpcMessage encoded = EncodeLinkMessage(ping);
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    std::vector<std::uint64_t> timed_out;
    for (auto& [number, peer] : m_peers) {
      if (now_ms - peer.m_last_received_ms > timeout_ms) {
        timed_out.push_back(number);
      } else {
        peer.m_link->Send(encoded);
      }
    }
    for (const std::uint64_t number : timed_out) {
      Remove(number);
    }
  }

  // Must not be called from a handler of a link.
  void Clear() { m_peers.clear(); }

  std::vector<PeerCapacity> Capacities() const {
    std::vector<PeerCapacity> capacities;
    for (const auto& [number, peer] : m_peers) {
      capacities.push_back({number, peer.m_cpu_millis, peer.m_accepted_ms});
    }
    return capacities;
  }

  // Where up to `count` daemons listen for links, others at each call.
  std::vector<std::string> NextAddresses(std::size_t count) {
    std::vector<std::string> addresses;
    auto peer = m_peers.upper_bound(m_last_named);
    for (std::size_t seen = 0;
         seen < m_peers.size() && addresses.size() < count; ++seen) {
      if (peer == m_peers.end()) {
        peer = m_peers.begin();
      }
      if (!peer->second.m_link_address.empty()) {
        addresses.push_back(peer->second.m_link_address);
      }
      m_last_named = peer->first;
      ++peer;
    }
    return addresses;
  }

 private:
  void OnMessage(std::uint64_t number, const RpcMessage& raw) {
    Peer* peer = Find(number);
    const auto message = DecodeLinkMessage(raw);
    if (peer == nullptr || !message) {
      return;
    }
    peer->m_last_received_ms = m_reactor.Now().m_steady_ms;
    m_handlers.m_on_message(number, *message);
  }

  // Peers are numbered as they are accepted, so the first is the oldest.
  void Limit(std::uint64_t newest) {
    std::size_t unknown = 0;
    std::uint64_t oldest_unknown = newest;
    for (const auto& [number, peer] : m_peers) {
      if (!peer.m_hello_received) {
        ++unknown;
        oldest_unknown = std::min(oldest_unknown, number);
      }
    }
    if (unknown > m_limits.m_max_unknown_peers ||
        m_peers.size() > m_limits.m_max_peers) {
      Remove(oldest_unknown);
    }
  }

  // The link may be on the call stack, so it is destroyed later.
  void Remove(std::uint64_t number) {
    const auto found = m_peers.find(number);
    if (found == m_peers.end()) {
      return;
    }
    m_reactor.After(0, [link = std::shared_ptr<MessageLink>(
                            std::move(found->second.m_link))] {});
    m_peers.erase(found);
    m_handlers.m_on_removed(number);
  }

  Reactor& m_reactor;
  const PeerLimits m_limits;
  const Handlers m_handlers;
  // By number, in the order in which they were accepted.
  std::map<std::uint64_t, Peer> m_peers;
  std::uint64_t m_last_number = 0;
  // The last peer of NextAddresses().
  std::uint64_t m_last_named = 0;
};

}  // namespace mustardslip
