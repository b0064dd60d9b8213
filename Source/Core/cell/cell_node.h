// One daemon of a cell: an entry for callers, a candidate for the ownership,
// and the owner while it has it.
//
// Daemons find each other through the owner's record alone: each keeps one link
// to the owner, and the owner learns from its links which daemons can ask for
// advice.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_entry.h"
#include "cell/cell_owner.h"
#include "cell/configuration_view.h"
#include "cell/handover.h"
#include "cell/ownership.h"
#include "cell/prefix_feed.h"
#include "common/callback_guard.h"
#include "common/logger.h"
#include "transport/message_link.h"

namespace mustardslip {

// Reads the configuration out of its entry in the store; nullopt for another
// entry, an error for one that cannot be read.
using ConfigurationDecoder =
    std::function<Result<std::shared_ptr<const ConfigurationView>>(
        const StoreItem& item)>;

struct CellNodeOptions {
  OwnershipOptions m_ownership;
  CellOwnerOptions m_owner;
  // Where other daemons reach this one.
  Endpoint m_link_address;
  // Of the configuration in the store.
  std::string m_configuration_key;
  ConfigurationDecoder m_decode_configuration;
};

template <AsyncStore Store, VmControl Vms, AdviceService AdvicePort>
class CellNode {
 public:
  using Owner = CellOwner<Store, Reactor, Vms, AdvicePort>;

  CellNode(Reactor& reactor, Store& store, Vms& vms, AdvicePort& advice,
           CellNodeOptions options)
      : m_reactor(reactor),
        m_store(store),
        m_vms(vms),
        m_advice(advice),
        m_options(std::move(options)),
        m_entry(reactor),
        m_listener(reactor, m_options.m_link_address,
                   [this](int socket) { OnAccept(socket); }),
        m_ownership(store, reactor, m_options.m_ownership,
                    {[this](const OwnerRecord& owner) { OnAcquired(owner); },
                     [this] { OnLost(); },
                     [this](const std::optional<OwnerRecord>& owner) {
                       OnOwner(owner);
                     }}),
        m_configuration_feed(store, reactor, m_options.m_configuration_key,
                             kConfigurationWatchMs, ConfigurationHandlers()) {}

  CellNode(const CellNode&) = delete;
  CellNode& operator=(const CellNode&) = delete;

  void Start() {
    m_configuration_feed.Start();
    m_ownership.Start();
    Tick();
  }

  // Gives up the ownership once nothing is in flight; the entry goes on.
  void Drain() {
    m_draining = true;
    Log(LogLevel::kInfo, LogCategory::kMembership, "drain_started");
  }

  // New callers may be sent here.
  bool Ready() const {
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    return !m_draining && m_configuration != nullptr &&
           (m_entry.Connected() ||
            (m_connected_ms != 0 && now_ms - m_connected_ms < kStaysReadyMs));
  }

  std::shared_ptr<const ConfigurationView> Configuration() const {
    return m_configuration;
  }

  // Gets the owner's answer; see CellEntry::Handle.
  void Handle(CellRequest request, std::int64_t wait_ms,
              typename CellEntry<Reactor>::AnswerDone done) {
    m_entry.Handle(std::move(request), wait_ms, std::move(done));
  }

  // Null unless this daemon owns the cell.
  const Owner* OwnerOrNull() const { return m_owner.get(); }

 private:
  static constexpr std::int64_t kConfigurationWatchMs = 1'000;
  static constexpr std::int64_t kPingMs = 400;
  // A link on which nothing was heard for this long is closed.
  static constexpr std::int64_t kSilentLinkMs = 1'700;
  static constexpr std::int64_t kReconnectMs = 60;
  // A daemon stays ready through a change of the owner.
  static constexpr std::int64_t kStaysReadyMs = 6'000;
  // An owner that leaves gives up an unanswered write after this long.
  static constexpr std::int64_t kResignWaitMs = 1'000;

  // A link from another daemon to this one.
  struct Peer {
    std::unique_ptr<MessageLink> m_link;
    std::int64_t m_heard_ms = 0;
    std::int64_t m_since_ms = 0;
    std::int64_t m_power_millis = 0;
    bool m_greeted = false;
    bool m_welcomed = false;
  };

  // --- Configuration ---

  typename PrefixFeed<Store, Reactor>::Handlers ConfigurationHandlers() {
    typename PrefixFeed<Store, Reactor>::Handlers handlers;
    handlers.m_on_item = [this](const StoreItem& item) {
      if (item.m_key == m_options.m_configuration_key) {
        OnConfiguration(item);
      }
    };
    return handlers;
  }

  void OnConfiguration(const StoreItem& item) {
    auto view = m_options.m_decode_configuration(item);
    if (!view) {
      Log(LogLevel::kError, LogCategory::kConfiguration,
          "configuration_unreadable",
          {{"revision", item.m_revision}, {"reason", view.error().Message()}});
      return;
    }
    if (m_configuration && (*view)->Version() <= m_configuration->Version()) {
      return;
    }
    m_configuration = std::move(*view);
    Log(LogLevel::kInfo, LogCategory::kConfiguration, "configuration_in_force",
        {{"version", m_configuration->Version()},
         {"queues", m_configuration->Rules().m_queues.size()}});
    if (m_owner) {
      m_owner->OnRules(m_configuration->Rules());
    }
  }

  // --- Ownership ---

  void OnAcquired(const OwnerRecord& record) {
    CloseOwnerLink();
    m_entry.UseNone();
    typename Owner::Handlers handlers;
    handlers.m_on_ready = [this] { OnOwnerReady(); };
    handlers.m_on_superseded = [this] { m_ownership.OnSuperseded(); };
    handlers.m_on_stuck = [this] { AskForSuccessor(); };
    handlers.m_verify = [this](std::function<void(bool)> done) {
      m_ownership.Verify(std::move(done));
    };
    handlers.m_remote_ask = [this](std::uint64_t peer, std::uint64_t number,
                                   const AskAdvice& ask) {
      LinkMessage message;
      message.m_kind = LinkMessageKind::kAdvise;
      message.m_number = number;
      message.m_ask = ask;
      SendTo(peer, message);
    };
    m_owner =
        std::make_shared<Owner>(m_store, m_reactor, m_vms, m_advice,
                                m_options.m_owner, record, std::move(handlers));
    if (m_configuration) {
      m_owner->OnRules(m_configuration->Rules());
    }
    m_owner->Start();
  }

  void OnOwnerReady() {
    m_ready_ms = m_reactor.Now().m_steady_ms;
    Log(LogLevel::kInfo, LogCategory::kMembership, "cell_ready",
        {{"peers", m_peers.size()}});
    m_entry.UseLocal([this](CellRequest request, auto done) {
      m_owner->Handle(std::move(request), std::move(done));
    });
    for (auto& [number, peer] : m_peers) {
      Welcome(number, peer);
    }
  }

  // The store may answer other daemons.
  void AskForSuccessor() {
    Log(LogLevel::kWarning, LogCategory::kMembership, "store_takes_no_writes",
        {{"peers", m_peers.size()}});
    LinkMessage message;
    message.m_kind = LinkMessageKind::kYield;
    for (const auto& [number, peer] : m_peers) {
      SendTo(number, message);
    }
  }

  void OnLost() {
    DestroyLater(std::move(m_owner));
    m_entry.UseNone();
    // Their requests go to the next owner.
    Later(0, [this] {
      if (!m_owner) {
        m_peers.clear();
      }
    });
  }

  void OnOwner(const std::optional<OwnerRecord>& owner) {
    if (m_owner) {
      return;
    }
    m_known_owner = owner;
    if (m_link && (!owner || owner->m_revision != m_link_revision)) {
      CloseOwnerLink();
    }
    Connect();
  }

  // --- Link to the owner ---

  void Connect() {
    if (m_link || !m_known_owner || m_owner) {
      return;
    }
    const auto address = ParseEndpoint(m_known_owner->m_address);
    if (!address) {
      return;
    }
    m_link_revision = m_known_owner->m_revision;
    m_link_heard_ms = m_reactor.Now().m_steady_ms;
    MessageLink::Handlers handlers;
    handlers.m_on_connected = [this] {
      m_link_heard_ms = m_reactor.Now().m_steady_ms;
      Greet();
    };
    handlers.m_on_message = [this](const RpcMessage& message) {
      OnOwnerMessage(message);
    };
    handlers.m_on_closed = [this](bool refused) { OnLinkClosed(refused); };
    m_link =
        std::make_unique<MessageLink>(m_reactor, *address, std::move(handlers));
  }

  void Greet() {
    LinkMessage hello;
    hello.m_kind = LinkMessageKind::kHello;
    hello.m_instance = m_options.m_ownership.m_instance;
    hello.m_power_millis = m_options.m_ownership.m_power_millis;
    m_link->Send(EncodeLinkMessage(hello));
  }

  void CloseOwnerLink() {
    if (!m_link) {
      return;
    }
    DestroyLater(std::move(m_link));
    m_entry.UseNone();
  }

  void OnLinkClosed(bool refused) {
    CloseOwnerLink();
    if (refused) {
      m_ownership.OnOwnerDead(m_link_revision);
    }
    Later(kReconnectMs, [this] { Connect(); });
  }

  void OnOwnerMessage(const RpcMessage& raw) {
    m_link_heard_ms = m_reactor.Now().m_steady_ms;
    const auto message = DecodeLinkMessage(raw);
    if (!message) {
      Log(LogLevel::kError, LogCategory::kTransport, "link_message_unreadable",
          {{"reason", message.error().Message()}});
      return;
    }
    switch (message->m_kind) {
      case LinkMessageKind::kWelcome:
        OnWelcome(*message);
        break;
      case LinkMessageKind::kNotOwner:
        OnNotOwner(*message);
        break;
      case LinkMessageKind::kAnswer:
        m_entry.OnAnswer(message->m_number, message->m_answer);
        break;
      case LinkMessageKind::kAdvise:
        AskFor(*message);
        break;
      case LinkMessageKind::kYield:
        m_ownership.OnOwnerYields(m_link_revision);
        break;
      default:
        break;
    }
  }

  void OnWelcome(const LinkMessage&) {
    m_entry.UseLink([this](const LinkMessage& message) {
      if (m_link) {
        m_link->Send(EncodeLinkMessage(message));
      }
    });
  }

  void OnNotOwner(const LinkMessage& message) {
    // Another life at the owner's address: the owner itself is dead.
    if (m_known_owner && message.m_instance != m_known_owner->m_instance) {
      m_ownership.OnOwnerDead(m_link_revision);
    }
  }

  // Asks on behalf of the owner.
  void AskFor(const LinkMessage& message) {
    m_advice.Ask(
        message.m_ask,
        m_guard.Wrap([this, number = message.m_number,
                      revision = m_link_revision](AdviceAnswer answer) {
          if (!m_link || m_link_revision != revision) {
            return;
          }
          LinkMessage reply;
          reply.m_kind = LinkMessageKind::kAdvice;
          reply.m_number = number;
          reply.m_advice = std::move(answer);
          m_link->Send(EncodeLinkMessage(reply));
        }));
  }

  // --- Links from other daemons ---

  void OnAccept(int socket) {
    const std::uint64_t number = ++m_last_peer;
    MessageLink::Handlers handlers;
    handlers.m_on_message = [this, number](const RpcMessage& message) {
      OnPeerMessage(number, message);
    };
    handlers.m_on_closed = [this, number](bool) { RemovePeer(number); };
    Peer& peer = m_peers[number];
    peer.m_since_ms = m_reactor.Now().m_steady_ms;
    peer.m_heard_ms = peer.m_since_ms;
    peer.m_link =
        std::make_unique<MessageLink>(m_reactor, socket, std::move(handlers));
  }

  void RemovePeer(std::uint64_t number) {
    const auto found = m_peers.find(number);
    if (found == m_peers.end()) {
      return;
    }
    DestroyLater(std::move(found->second.m_link));
    m_peers.erase(found);
    if (m_owner) {
      m_owner->RemoveDaemon(number);
    }
  }

  void OnPeerMessage(std::uint64_t number, const RpcMessage& raw) {
    const auto found = m_peers.find(number);
    const auto message = DecodeLinkMessage(raw);
    if (found == m_peers.end() || !message) {
      return;
    }
    Peer& peer = found->second;
    peer.m_heard_ms = m_reactor.Now().m_steady_ms;
    switch (message->m_kind) {
      case LinkMessageKind::kHello:
        peer.m_greeted = true;
        peer.m_power_millis = message->m_power_millis;
        Welcome(number, peer);
        break;
      case LinkMessageKind::kRequest:
        OnPeerRequest(number, *message);
        break;
      case LinkMessageKind::kAdvice:
        if (m_owner) {
          m_owner->OnRemoteAdvice(number, message->m_number, message->m_advice);
        }
        break;
      default:
        break;
    }
  }

  void Welcome(std::uint64_t number, Peer& peer) {
    if (!peer.m_greeted || peer.m_welcomed) {
      return;
    }
    LinkMessage reply;
    reply.m_instance = m_options.m_ownership.m_instance;
    if (!m_owner) {
      reply.m_kind = LinkMessageKind::kNotOwner;
    } else if (m_owner->Ready()) {
      reply.m_kind = LinkMessageKind::kWelcome;
      peer.m_welcomed = true;
      m_owner->AddDaemon(number);
    } else {
      return;  // Welcomed once the owner is ready.
    }
    peer.m_link->Send(EncodeLinkMessage(reply));
  }

  void OnPeerRequest(std::uint64_t number, const LinkMessage& message) {
    if (!m_owner || !m_owner->Ready()) {
      return;  // The link is closed or about to be; the sender asks the next.
    }
    m_owner->Handle(message.m_request,
                    m_guard.Wrap([this, number, request = message.m_number](
                                     CellAnswer answer) {
                      LinkMessage reply;
                      reply.m_kind = LinkMessageKind::kAnswer;
                      reply.m_number = request;
                      reply.m_answer = std::move(answer);
                      SendTo(number, reply);
                    }));
  }

  void SendTo(std::uint64_t number, const LinkMessage& message) {
    const auto found = m_peers.find(number);
    if (found != m_peers.end() && found->second.m_link) {
      found->second.m_link->Send(EncodeLinkMessage(message));
    }
  }

  // --- Time ---

  void Tick() {
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    if (m_entry.Connected()) {
      m_connected_ms = now_ms;
    }
    if (m_owner) {
      m_owner->OnRenewed(m_ownership.LastConfirmedMs());
    }
    CheckLinks(now_ms);
    CheckHandover(now_ms);
    CheckDrain(now_ms);
    Later(kPingMs, [this] { Tick(); });
  }

  void CheckLinks(std::int64_t now_ms) {
    LinkMessage ping;
    ping.m_kind = LinkMessageKind::kPing;
    const RpcMessage encoded = EncodeLinkMessage(ping);
    if (m_link) {
      if (now_ms - m_link_heard_ms > kSilentLinkMs) {
        OnLinkClosed(false);
      } else if (m_entry.Connected()) {
        m_link->Send(encoded);
      }
    }
    std::vector<std::uint64_t> silent;
    for (auto& [number, peer] : m_peers) {
      if (now_ms - peer.m_heard_ms > kSilentLinkMs) {
        silent.push_back(number);
      } else {
        peer.m_link->Send(encoded);
      }
    }
    for (const std::uint64_t number : silent) {
      RemovePeer(number);
    }
  }

  void CheckHandover(std::int64_t now_ms) {
    if (!m_owner || !m_owner->Ready()) {
      return;
    }
    std::vector<PeerPower> peers;
    for (const auto& [number, peer] : m_peers) {
      peers.push_back({number, peer.m_power_millis, peer.m_since_ms});
    }
    const std::int64_t own_millis = m_options.m_ownership.m_power_millis;
    const auto chosen =
        m_handover.Choose(own_millis, m_ready_ms, peers, now_ms);
    if (!chosen) {
      return;
    }
    Log(LogLevel::kInfo, LogCategory::kMembership, "handover_asked",
        {{"own_millis", own_millis},
         {"peer_millis", m_peers.at(*chosen).m_power_millis}});
    LinkMessage message;
    message.m_kind = LinkMessageKind::kYield;
    SendTo(*chosen, message);
  }

  void CheckDrain(std::int64_t now_ms) {
    if (!m_draining || m_resigned) {
      return;
    }
    if (m_drain_started_ms == 0) {
      m_drain_started_ms = now_ms;
    }
    if (!m_owner || m_owner->Idle() ||
        now_ms - m_drain_started_ms > kResignWaitMs) {
      m_resigned = true;
      m_ownership.Resign();
    }
  }

  void Later(std::int64_t ms, std::function<void()> task) {
    m_reactor.After(ms, m_guard.Wrap(std::move(task)));
  }

  // Not at once, as the object may be the caller.
  void DestroyLater(std::shared_ptr<void> object) {
    m_reactor.After(0, [object = std::move(object)] {});
  }

  Reactor& m_reactor;
  Store& m_store;
  Vms& m_vms;
  AdvicePort& m_advice;
  const CellNodeOptions m_options;
  CallbackGuard m_guard;
  CellEntry<Reactor> m_entry;
  MessageListener m_listener;
  std::shared_ptr<Owner> m_owner;
  std::shared_ptr<const ConfigurationView> m_configuration;
  std::optional<OwnerRecord> m_known_owner;
  std::unique_ptr<MessageLink> m_link;
  Revision m_link_revision = 0;
  std::int64_t m_link_heard_ms = 0;
  std::map<std::uint64_t, Peer> m_peers;
  std::uint64_t m_last_peer = 0;
  HandoverPolicy m_handover;
  // When the present owner of this daemon was ready.
  std::int64_t m_ready_ms = 0;
  std::int64_t m_connected_ms = 0;
  bool m_draining = false;
  bool m_resigned = false;
  std::int64_t m_drain_started_ms = 0;
  Ownership<Store, Reactor> m_ownership;
  PrefixFeed<Store, Reactor> m_configuration_feed;
};

}  // namespace mustardslip
