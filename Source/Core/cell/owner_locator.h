// Learns from other daemons who owns the cell. Used by CellNode while this
// daemon cannot read the owner's record: the store may turn some daemons away
// and serve the others.
//
// The answer is only a hint. A daemon that does not own the cell refuses the
// link, and what an owner may do does not depend on who asks it.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "cell/cell_request.h"
#include "common/callback_guard.h"
#include "transport/message_link.h"
#include "transport/reactor.h"

namespace mustardslip {

class OwnerLocator {
 public:
  using OnHint = std::function<void(const OwnerRecord&)>;

  OwnerLocator(Reactor& reactor, OnHint on_hint)
      : m_reactor(reactor), m_on_hint(std::move(on_hint)) {}

  OwnerLocator(const OwnerLocator&) = delete;
  OwnerLocator& operator=(const OwnerLocator&) = delete;

  // Adds the address at which a daemon of the cell listens for links. Beyond
  // kMaxDaemons the oldest is dropped for a new one.
  void AddDaemon(const Endpoint& daemon) {
    if (std::find(m_daemons.begin(), m_daemons.end(), daemon) !=
        m_daemons.end()) {
      return;
    }
    if (m_daemons.size() >= kMaxDaemons) {
      m_daemons.erase(m_daemons.begin());
    }
    m_daemons.push_back(daemon);
  }

  // Asks the next daemon, and gives the one asked before up.
  void Ask() {
    CloseLink();
    if (m_daemons.empty()) {
      return;
    }
    const std::size_t question = m_questions++;
    const Endpoint daemon = m_daemons[question % m_daemons.size()];
    // A link that was given up may still call its handlers once.
    const auto if_current = [this, question](auto handle) {
      return [this, question, handle](const auto&... argument) {
        if (question + 1 == m_questions && m_link) {
          handle(argument...);
        }
      };
    };
    MessageLink::Handlers handlers;
    handlers.m_on_connected = if_current([this] {
      LinkMessage query;
      query.m_kind = LinkMessageKind::kOwnerQuery;
      m_link->Send(EncodeLinkMessage(query));
    });
    handlers.m_on_message =
        if_current([this](const RpcMessage& message) { OnMessage(message); });
    handlers.m_on_closed = if_current([this](bool) { CloseLink(); });
    handlers.m_purpose_of = PurposeOf;
    m_link =
        std::make_unique<MessageLink>(m_reactor, daemon, std::move(handlers));
    m_link->SetMaxMessageBytes(MessageLink::kMaxHelloBytes);
  }

  void Stop() { CloseLink(); }

  static constexpr std::size_t kMaxDaemons = 16;

 private:
  void OnMessage(const RpcMessage& raw) {
    const auto message = DecodeLinkMessage(raw);
    CloseLink();
    if (message && message->m_kind == LinkMessageKind::kOwnerHint &&
        message->m_owner) {
      m_on_hint(*message->m_owner);
    }
  }

  // The link may be on the call stack, so it is destroyed later.
  void CloseLink() {
    if (m_link) {
      m_reactor.After(
          0, [link = std::shared_ptr<MessageLink>(std::move(m_link))] {});
    }
  }

  Reactor& m_reactor;
  std::vector<Endpoint> m_daemons;
  const OnHint m_on_hint;
  // Asked so far; they take turns.
  std::size_t m_questions = 0;
  // To the daemon that is being asked; null if there is none.
  std::unique_ptr<MessageLink> m_link;
};

}  // namespace mustardslip
