// One daemon of a cell: accepts requests from callers, competes for ownership
// of the cell, and runs the owner while it holds the ownership.
//
// Daemons discover the owner through the owner record in the store. Each keeps
// one link to the owner, and the owner uses these links to distribute calls to
// the advice service.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/cell_entry.h"
#include "cell/cell_owner.h"
#include "cell/configuration_view.h"
#include "cell/handover.h"
#include "cell/owner_contact.h"
#include "cell/owner_locator.h"
#include "cell/ownership.h"
#include "cell/peer_links.h"
#include "cell/prefix_feed.h"
#include "common/callback_guard.h"
#include "common/logger.h"
#include "transport/link_backlog.h"
#include "transport/message_link.h"

namespace mustardslip {

// Decodes the configuration from its item in the store; never null. Returns an
// error for an item that cannot be decoded.
using ConfigurationDecoder =
    std::function<Result<std::shared_ptr<const ConfigurationView>>(
        const StoreItem& item)>;

struct CellNodeOptions {
  OwnershipOptions m_ownership;
  CellOwnerOptions m_owner;
  // Listening address for links from other daemons.
  Endpoint m_link_address;
  PeerLimits m_peer_limits;
  // Store key of the configuration.
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
                   [this](int socket) { m_peers.Accept(socket); }),
        m_peers(reactor, m_options.m_peer_limits,
                {[this](std::uint64_t number, const LinkMessage& message) {
                   OnPeerMessage(number, message);
                 },
                 [this](std::uint64_t number) { OnPeerRemoved(number); }}),
        m_link_backlog(m_options.m_owner.m_link_bytes_per_ms),
        m_ownership(store, reactor, m_options.m_ownership,
                    {[this](const OwnerRecord& owner) { OnAcquired(owner); },
                     [this] { OnLost(); },
                     [this](const std::optional<OwnerRecord>& owner) {
                       OnOwnerChanged(owner);
                     }}),
        m_configuration_feed(store, reactor, m_options.m_configuration_key,
                             kConfigurationWatchMs, ConfigurationHandlers()),
        m_locator(reactor,
                  [this](const OwnerRecord& owner) { OnOwnerHinted(owner); }) {}

  CellNode(const CellNode&) = delete;
  CellNode& operator=(const CellNode&) = delete;

  void Start() {
    m_configuration_feed.Start();
    m_ownership.Start();
    Tick();
    LocateOwner();
  }

  // Resigns the ownership once nothing is in flight. The daemon continues to
  // forward requests to the next owner.
  void Drain() {
    m_draining = true;
    Log(LogLevel::kInfo, LogCategory::kMembership, "drain_started");
  }

  // Readiness for new callers: configuration loaded, not draining, and
  // connected to an owner or expecting one soon.
  bool Ready() const {
    return !m_draining && m_configuration != nullptr &&
           (m_entry.Connected() || (m_contact.EverConnected() && !Isolated()));
  }

  std::shared_ptr<const ConfigurationView> Configuration() const {
    return m_configuration;
  }

  // Forwards the request to the owner; see CellEntry::Handle.
  void Handle(CellRequest request, std::int64_t wait_ms,
              typename CellEntry<Reactor>::AnswerDone done) {
    m_entry.Handle(std::move(request), wait_ms, std::move(done));
  }

  // Null unless this daemon owns the cell.
  const Owner* OwnerOrNull() const { return m_owner.get(); }

 private:
  static constexpr std::int64_t kConfigurationWatchMs = 1'000;
  static constexpr std::int64_t kPingMs = 400;
  // While the owner is unknown here, another daemon is asked this often.
  static constexpr std::int64_t kLocateMs = 100;
  // The owner names so many daemons to all others at this interval.
  static constexpr std::size_t kDaemonsNamed = 4;
  static constexpr std::int64_t kNameDaemonsMs = 4'000;
  // A link that receives nothing for this long is closed.
  static constexpr std::int64_t kLinkTimeoutMs = 1'700;
  static constexpr std::int64_t kReconnectMs = 60;
  // A draining owner resigns after this long even if a write is unanswered.
  static constexpr std::int64_t kResignTimeoutMs = 1'000;
  // Interval of the lines that tell what an owner's link and processor did.
  static constexpr std::int64_t kWorkloadReportMs = 2'000;

  // True if no owner is connected and none is expected soon.
  bool Isolated() const {
    return !m_entry.Connected() && !m_owner &&
           m_contact.Isolated(m_reactor.Now().m_steady_ms,
                              m_configuration_feed.Failing());
  }

  // What the connected owner, in this daemon or another, last said.
  bool OwnerWritesToStore() const {
    return m_owner ? m_owner->Core().StoreWritable() : !m_link_store_away;
  }

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
    m_entry.ClearOwner();
    typename Owner::Handlers handlers;
    handlers.m_on_ready = [this] { OnOwnerReady(); };
    handlers.m_on_superseded = [this] { m_ownership.OnSuperseded(); };
    handlers.m_on_store_stuck = [this] { RequestTakeover(); };
    handlers.m_verify = [this](std::function<void(bool)> done) {
      m_ownership.Verify(std::move(done));
    };
    handlers.m_forward_advice_call = [this](std::uint64_t peer,
                                            std::uint64_t number,
                                            const AdviceRequest& ask) {
      LinkMessage message;
      message.m_kind = LinkMessageKind::kAdviceRequest;
      message.m_number = number;
      message.m_advice_request = ask;
      m_peers.Send(peer, message);
    };
    CellOwnerOptions options = m_options.m_owner;
    options.m_link_backlog_ms = [this] {
      return m_link_backlog.Ms(m_reactor.Traffic().TotalSentBytes(),
                               m_reactor.Now().m_steady_ms);
    };
    m_owner = std::make_shared<Owner>(m_store, m_reactor, m_vms, m_advice,
                                      std::move(options), record,
                                      std::move(handlers));
    if (m_configuration) {
      m_owner->OnRules(m_configuration->Rules());
    }
    m_owner->Start();
    m_workload_reported = m_reactor.Traffic();
    m_work_reported = {};
    m_workload_reported_ms = m_reactor.Now().m_steady_ms;
  }

  // Logs what the owner sent, received and did since the last report.
  void ReportWorkload() {
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    const WorkMeter& work = m_owner->Work();
    Log(LogLevel::kInfo, LogCategory::kTransport, "owner_workload",
        {{"during_ms", now_ms - m_workload_reported_ms},
         {"ready", m_owner->Ready()},
         {"traffic", Describe(m_reactor.Traffic(), m_workload_reported)},
         {"work", Describe(work, m_work_reported)}});
    m_workload_reported = m_reactor.Traffic();
    m_work_reported = work;
    m_workload_reported_ms = now_ms;
  }

  void OnOwnerReady() {
    m_owner_ready_ms = m_reactor.Now().m_steady_ms;
    Log(LogLevel::kInfo, LogCategory::kMembership, "cell_ready",
        {{"peers", m_peers.Size()}});
    m_entry.SetLocalOwner([this](CellRequest request, auto done) {
      m_owner->Handle(std::move(request), std::move(done));
    });
    m_peers.Visit([this](std::uint64_t number, PeerLinks::Peer& peer) {
      AnswerHello(number, peer);
    });
  }

  // Asks the other daemons to take over: the store may still accept their
  // writes.
  void RequestTakeover() {
    Log(LogLevel::kWarning, LogCategory::kMembership, "store_takes_no_writes",
        {{"peers", m_peers.Size()}});
    LinkMessage message;
    message.m_kind = LinkMessageKind::kTakeoverRequest;
    m_peers.Visit([&](std::uint64_t, const PeerLinks::Peer& peer) {
      peer.m_link->Send(EncodeLinkMessage(message));
    });
  }

  void OnLost() {
    ReportWorkload();
    DestroyLater(std::move(m_owner));
    m_entry.ClearOwner();
    // Closing the links makes peers resend their requests to the next owner.
    RunAfter(0, [this] {
      if (!m_owner) {
        m_peers.Clear();
      }
    });
  }

  void OnOwnerChanged(const std::optional<OwnerRecord>& owner) {
    if (m_owner) {
      return;
    }
    m_known_owner = owner;
    if (owner) {
      AddDaemonAddress(owner->m_address);
    }
    if (m_link && (!owner || owner->m_revision != m_link_revision)) {
      CloseOwnerLink();
    }
    Connect();
  }

  void AddDaemonAddress(const std::string& text) {
    const auto address = ParseEndpoint(text);
    if (address && *address != m_options.m_link_address) {
      m_locator.AddDaemon(*address);
    }
  }

  // Another daemon named the owner while this one cannot read its record. An
  // older one than this daemon knows is not the owner any more.
  void OnOwnerHinted(const OwnerRecord& owner) {
    if (m_owner || m_entry.Connected() || !m_configuration_feed.Failing() ||
        (m_known_owner && owner.m_revision < m_known_owner->m_revision)) {
      return;
    }
    Log(LogLevel::kInfo, LogCategory::kMembership, "owner_hinted",
        {{"revision", owner.m_revision}, {"address", owner.m_address}});
    OnOwnerChanged(owner);
  }

  // Asks other daemons for the owner while it is unknown here.
  void LocateOwner() {
    if (m_owner || m_entry.Connected() || !m_configuration_feed.Failing()) {
      m_locator.Stop();
    } else if (m_contact.EverConnected()) {
      m_locator.Ask();
    }
    RunAfter(kLocateMs, [this] { LocateOwner(); });
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
    m_link_store_away = false;
    m_link_last_received_ms = m_reactor.Now().m_steady_ms;
    MessageLink::Handlers handlers;
    handlers.m_on_connected = [this] {
      m_link_last_received_ms = m_reactor.Now().m_steady_ms;
      SendHello();
    };
    handlers.m_on_message = [this](const RpcMessage& message) {
      OnOwnerMessage(message);
    };
    handlers.m_on_closed = [this](bool refused) { OnLinkClosed(refused); };
    handlers.m_purpose_of = PurposeOf;
    m_link =
        std::make_unique<MessageLink>(m_reactor, *address, std::move(handlers));
  }

  void SendHello() {
    LinkMessage hello;
    hello.m_kind = LinkMessageKind::kHello;
    hello.m_instance = m_options.m_ownership.m_instance;
    hello.m_cpu_millis = m_options.m_ownership.m_cpu_millis;
    hello.m_link_address = ToString(m_options.m_link_address);
    m_link->Send(EncodeLinkMessage(hello));
  }

  void CloseOwnerLink() {
    if (!m_link) {
      return;
    }
    DestroyLater(std::move(m_link));
    m_entry.ClearOwner();
  }

  void OnLinkClosed(bool refused) {
    CloseOwnerLink();
    if (refused) {
      m_ownership.OnOwnerDead(m_link_revision);
    }
    RunAfter(kReconnectMs, [this] { Connect(); });
  }

  void OnOwnerMessage(const RpcMessage& raw) {
    m_link_last_received_ms = m_reactor.Now().m_steady_ms;
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
      case LinkMessageKind::kAdviceRequest:
        CallAdviceService(*message);
        break;
      case LinkMessageKind::kTakeoverRequest:
        m_ownership.OnTakeoverRequested(m_link_revision);
        break;
      case LinkMessageKind::kPing:
        OnOwnerPing(*message);
        break;
      default:
        break;
    }
  }

  void OnWelcome(const LinkMessage&) {
    m_entry.SetOwnerLink([this](const LinkMessage& message) {
      if (m_link) {
        m_link->Send(EncodeLinkMessage(message));
      }
    });
  }

  void OnOwnerPing(const LinkMessage& message) {
    m_link_store_away = message.m_store_away;
    for (const std::string& daemon : message.m_daemons) {
      AddDaemonAddress(daemon);
    }
    if (m_entry.Connected()) {
      m_contact.OnConnected(m_reactor.Now().m_steady_ms, OwnerWritesToStore());
    }
  }

  void OnNotOwner(const LinkMessage& message) {
    // Another instance answers at the owner's address: the owner is dead.
    if (m_known_owner && message.m_instance != m_known_owner->m_instance) {
      m_ownership.OnOwnerDead(m_link_revision);
    }
  }

  // Calls the advice service on behalf of the owner.
  void CallAdviceService(const LinkMessage& message) {
    m_advice.Ask(
        message.m_advice_request,
        m_guard.Wrap([this, number = message.m_number,
                      revision = m_link_revision](AdviceAnswer answer) {
          if (!m_link || m_link_revision != revision) {
            return;
          }
          LinkMessage reply;
          reply.m_kind = LinkMessageKind::kAdviceAnswer;
          reply.m_number = number;
          reply.m_advice = std::move(answer);
          m_link->Send(EncodeLinkMessage(reply));
        }));
  }

  // --- Links from other daemons ---

  void OnPeerRemoved(std::uint64_t number) {
    if (m_owner) {
      m_owner->RemoveDaemon(number);
    }
  }

  void OnPeerMessage(std::uint64_t number, const LinkMessage& message) {
    switch (message.m_kind) {
      case LinkMessageKind::kHello: {
        PeerLinks::Peer& peer = *m_peers.Find(number);
        PeerLinks::OnHello(peer, message);
        AnswerHello(number, peer);
        break;
      }
      case LinkMessageKind::kRequest:
        OnPeerRequest(number, message);
        break;
      case LinkMessageKind::kOwnerQuery:
        m_peers.Send(number, OwnerHint());
        break;
      case LinkMessageKind::kAdviceAnswer:
        if (m_owner) {
          m_owner->OnRemoteAdvice(number, message.m_number, message.m_advice);
        }
        break;
      default:
        break;
    }
  }

  // Names the owner that this daemon is connected to, or itself.
  LinkMessage OwnerHint() const {
    LinkMessage hint;
    hint.m_kind = LinkMessageKind::kOwnerHint;
    if (m_owner) {
      hint.m_owner = m_owner->Record();
    } else if (m_entry.Connected()) {
      hint.m_owner = m_known_owner;
    }
    return hint;
  }

  void AnswerHello(std::uint64_t number, PeerLinks::Peer& peer) {
    if (!peer.m_hello_received || peer.m_welcome_sent) {
      return;
    }
    LinkMessage reply;
    reply.m_instance = m_options.m_ownership.m_instance;
    if (!m_owner) {
      reply.m_kind = LinkMessageKind::kNotOwner;
    } else if (m_owner->Ready()) {
      reply.m_kind = LinkMessageKind::kWelcome;
      peer.m_welcome_sent = true;
      m_owner->AddDaemon(number);
    } else {
      return;  // OnOwnerReady sends the welcome.
    }
    peer.m_link->Send(EncodeLinkMessage(reply));
  }

  void OnPeerRequest(std::uint64_t number, const LinkMessage& message) {
    if (!m_owner || !m_owner->Ready()) {
      return;  // The link is about to close; the sender retries elsewhere.
    }
    m_owner->Handle(message.m_request,
                    m_guard.Wrap([this, number, request = message.m_number](
                                     CellAnswer answer) {
                      LinkMessage reply;
                      reply.m_kind = LinkMessageKind::kAnswer;
                      reply.m_number = request;
                      reply.m_answer = std::move(answer);
                      m_peers.Send(number, reply);
                    }));
  }

  // --- Periodic checks ---

  void Tick() {
    const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
    if (m_entry.Connected()) {
      m_contact.OnConnected(now_ms, OwnerWritesToStore());
    }
    CheckIsolation(now_ms);
    if (m_owner) {
      m_owner->OnLeaseRenewed(m_ownership.LastConfirmedRenewalMs());
      if (now_ms - m_workload_reported_ms >= kWorkloadReportMs) {
        ReportWorkload();
      }
    }
    CheckLinks(now_ms);
    CheckHandover(now_ms);
    CheckDrain(now_ms);
    RunAfter(kPingMs, [this] { Tick(); });
  }

  // Ends the requests that wait for an owner once this daemon is isolated. A
  // daemon that never had an owner is still starting.
  void CheckIsolation(std::int64_t now_ms) {
    const bool isolated = m_contact.EverConnected() && Isolated();
    if (isolated) {
      m_entry.SetIsolated();
    }
    if (isolated == m_isolated) {
      return;
    }
    m_isolated = isolated;
    Log(isolated ? LogLevel::kWarning : LogLevel::kInfo,
        LogCategory::kMembership,
        isolated ? "owner_unreachable" : "owner_regained",
        {{"store_failing", m_configuration_feed.Failing()},
         {"without_owner_ms", m_contact.MsWithoutOwner(now_ms)}});
  }

  void CheckLinks(std::int64_t now_ms) {
    LinkMessage ping;
    ping.m_kind = LinkMessageKind::kPing;
    ping.m_store_away = m_owner && !m_owner->Core().StoreWritable();
    if (m_owner && now_ms - m_daemons_named_ms >= kNameDaemonsMs) {
      m_daemons_named_ms = now_ms;
      ping.m_daemons = m_peers.NextAddresses(kDaemonsNamed);
    }
    if (m_link) {
      if (now_ms - m_link_last_received_ms > kLinkTimeoutMs) {
        OnLinkClosed(false);
      } else if (m_entry.Connected()) {
        m_link->Send(EncodeLinkMessage(ping));
      }
    }
    m_peers.Ping(ping, kLinkTimeoutMs);
  }

  void CheckHandover(std::int64_t now_ms) {
    if (!m_owner || !m_owner->Ready()) {
      return;
    }
    const std::int64_t own_millis = m_options.m_ownership.m_cpu_millis;
    const auto chosen = m_handover.ChooseSuccessor(
        own_millis, m_owner_ready_ms, m_peers.Capacities(), now_ms);
    if (!chosen) {
      return;
    }
    Log(LogLevel::kInfo, LogCategory::kMembership, "handover_asked",
        {{"own_millis", own_millis},
         {"peer_millis", m_peers.Find(*chosen)->m_cpu_millis}});
    LinkMessage message;
    message.m_kind = LinkMessageKind::kTakeoverRequest;
    m_peers.Send(*chosen, message);
  }

  void CheckDrain(std::int64_t now_ms) {
    if (!m_draining || m_resigned) {
      return;
    }
    if (m_drain_started_ms == 0) {
      m_drain_started_ms = now_ms;
    }
    if (!m_owner || m_owner->Idle() ||
        now_ms - m_drain_started_ms > kResignTimeoutMs) {
      m_resigned = true;
      m_ownership.Resign();
    }
  }

  void RunAfter(std::int64_t ms, std::function<void()> task) {
    m_reactor.After(ms, m_guard.Wrap(std::move(task)));
  }

  // Defers the destruction: the object may be on the call stack.
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
  PeerLinks m_peers;
  std::shared_ptr<Owner> m_owner;
  std::shared_ptr<const ConfigurationView> m_configuration;
  std::optional<OwnerRecord> m_known_owner;
  std::unique_ptr<MessageLink> m_link;
  Revision m_link_revision = 0;
  std::int64_t m_link_last_received_ms = 0;
  // Steady clock: when daemons were last named to all others.
  std::int64_t m_daemons_named_ms = 0;
  HandoverPolicy m_handover;
  // Steady clock: when the owner in this daemon became ready.
  std::int64_t m_owner_ready_ms = 0;
  OwnerContact m_contact;
  // The owner at the other end of m_link cannot write to the store.
  bool m_link_store_away = false;
  // Result of the last CheckIsolation().
  bool m_isolated = false;
  // Totals in the last line of ReportWorkload(), and its time (steady clock).
  TrafficMeter m_workload_reported;
  WorkMeter m_work_reported;
  std::int64_t m_workload_reported_ms = 0;
  LinkBacklog m_link_backlog;
  bool m_draining = false;
  bool m_resigned = false;
  std::int64_t m_drain_started_ms = 0;
  Ownership<Store, Reactor> m_ownership;
  PrefixFeed<Store, Reactor> m_configuration_feed;
  OwnerLocator m_locator;
};

}  // namespace mustardslip
