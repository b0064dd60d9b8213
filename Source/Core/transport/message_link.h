// Messages in both directions over one TCP connection on a Reactor.
//
// Each message is a length (four bytes, big endian) and an encoded RpcMessage.
// A link says nothing about delivery: what was sent on a link that then fails
// may or may not have arrived.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/http_client.h"
#include "transport/message.h"
#include "transport/reactor.h"

struct bufferevent;
struct evconnlistener;

namespace mustardslip {

class MessageLink {
 public:
  struct Handlers {
    std::function<void(RpcMessage)> m_on_message;
    // The link is closed; no handler is called after that. `refused`: nobody
    // listens at the address.
    std::function<void(bool refused)> m_on_closed;
    std::function<void()> m_on_connected;
    // What a message is for; optional.
    std::function<TrafficPurpose(const RpcMessage&)> m_purpose_of;
  };

  // Connects to a peer.
  MessageLink(Reactor& reactor, const Endpoint& peer, Handlers handlers);
  // Takes an accepted connection.
  MessageLink(Reactor& reactor, int socket, Handlers handlers);
  ~MessageLink();

  MessageLink(const MessageLink&) = delete;
  MessageLink& operator=(const MessageLink&) = delete;

  // Closes the link, soon, if the peer does not read: the messages that wait
  // for it are limited.
  void Send(const RpcMessage& message);

  // The largest message that is received; the link closes when a larger one is
  // announced, before it is read.
  void SetMaxMessageBytes(std::size_t bytes);

  // Limit until the peer has named itself in its first message.
  static constexpr std::size_t kMaxHelloBytes = 4'096;
  // Default limit: a request for advice on a step names up to all VMs of a
  // service, which takes 140 kB at 7,000.
  static constexpr std::size_t kMaxMessageBytes = 1U << 20U;

 private:
  static void OnRead(bufferevent*, void* context);
  static void OnEvent(bufferevent*, short events, void* context);  // NOLINT
  void Install();
  void CloseLater();
  void ReadMessages();
  void Close(bool refused);
  TrafficPurpose PurposeOf(const RpcMessage& message) const;

  Reactor& m_reactor;
  Handlers m_handlers;
  bufferevent* m_stream = nullptr;
  std::size_t m_max_message_bytes = kMaxMessageBytes;
  bool m_closing = false;
  std::shared_ptr<bool> m_alive;
};

// Accepts links.
class MessageListener {
 public:
  // Called with a connected socket, which the receiver owns.
  using Accept = std::function<void(int socket)>;

  // Throws std::runtime_error if the address cannot be bound.
  MessageListener(Reactor& reactor, const Endpoint& endpoint, Accept accept);
  ~MessageListener();

  MessageListener(const MessageListener&) = delete;
  MessageListener& operator=(const MessageListener&) = delete;

 private:
  Accept m_accept;
  evconnlistener* m_listener = nullptr;
};

}  // namespace mustardslip
