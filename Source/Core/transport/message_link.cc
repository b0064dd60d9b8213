// bufferevents behind the interface of message_link.h.
#include "transport/message_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fmt/core.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

#include "transport/socket_util.h"

namespace mustardslip {
namespace {

constexpr std::size_t kLengthBytes = 4;

// Several seconds of a narrow link (10 Mbit/s): what waits behind that is past
// its deadline.
constexpr std::size_t kMaxUnsentBytes = 8U << 20U;

}  // namespace

MessageLink::MessageLink(Reactor& reactor, const Endpoint& peer,
                         Handlers handlers)
    : m_reactor(reactor),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true)) {
  m_stream = bufferevent_socket_new(reactor.Base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Install();
  const auto address = ToSocketAddress(peer);
  if (!address || bufferevent_socket_connect(
                      m_stream, reinterpret_cast<const sockaddr*>(&*address),
                      sizeof(*address)) != 0) {
    // Reported later, as the owner of the link is still being built.
    CloseLater();
  }
}

MessageLink::MessageLink(Reactor& reactor, int socket, Handlers handlers)
    : m_reactor(reactor),
      m_handlers(std::move(handlers)),
      m_alive(std::make_shared<bool>(true)) {
  m_stream =
      bufferevent_socket_new(reactor.Base(), socket, BEV_OPT_CLOSE_ON_FREE);
  SendWithoutDelay(socket);
  Install();
}

MessageLink::~MessageLink() {
  *m_alive = false;
  if (m_stream != nullptr) {
    bufferevent_free(m_stream);
  }
}

void MessageLink::CloseLater() {
  m_reactor.After(0, [this, alive = m_alive] {
    if (*alive) {
      Close(false);
    }
  });
}

void MessageLink::SetMaxMessageBytes(std::size_t bytes) {
  m_max_message_bytes = bytes;
  // More is not read before the message is handled.
  bufferevent_setwatermark(m_stream, EV_READ, 0, kLengthBytes + bytes);
}

void MessageLink::Install() {
  Invariant(m_stream != nullptr, "libevent gave no bufferevent");
  SetMaxMessageBytes(m_max_message_bytes);
  bufferevent_setcb(m_stream, &MessageLink::OnRead, nullptr,
                    &MessageLink::OnEvent, this);
  bufferevent_enable(m_stream, EV_READ | EV_WRITE);
}

void MessageLink::Send(const RpcMessage& message) {
  if (m_stream == nullptr) {
    return;
  }
  evbuffer* out = bufferevent_get_output(m_stream);
  if (evbuffer_get_length(out) > kMaxUnsentBytes) {
    if (!std::exchange(m_closing, true)) {
      CloseLater();
    }
    return;
  }
  const std::string bytes = EncodeMessage(message);
  const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
  evbuffer_add(out, &length, kLengthBytes);
  evbuffer_add(out, bytes.data(), bytes.size());
  m_reactor.Traffic().OnSent(PurposeOf(message), kLengthBytes + bytes.size());
}

void MessageLink::OnRead(bufferevent*, void* context) {
  static_cast<MessageLink*>(context)->ReadMessages();
}

void MessageLink::ReadMessages() {
  const std::shared_ptr<bool> alive = m_alive;
  while (*alive && m_stream != nullptr) {
    evbuffer* in = bufferevent_get_input(m_stream);
    std::uint32_t length = 0;
    if (evbuffer_copyout(in, &length, kLengthBytes) !=
        static_cast<ev_ssize_t>(kLengthBytes)) {
      return;
    }
    length = ntohl(length);
    if (length > m_max_message_bytes) {
      Close(false);
      return;
    }
    if (evbuffer_get_length(in) < kLengthBytes + length) {
      return;
    }
    evbuffer_drain(in, kLengthBytes);
    std::string bytes(length, '\0');
    evbuffer_remove(in, bytes.data(), length);
    auto message = DecodeMessage(bytes);
    if (!message) {
      Close(false);
      return;
    }
    const TrafficPurpose purpose = PurposeOf(*message);
    m_reactor.Traffic().OnReceived(purpose, kLengthBytes + length);
    const ScopedTimer timer(m_reactor.Traffic().Handling(purpose));
    m_handlers.m_on_message(std::move(*message));
  }
}

void MessageLink::OnEvent(bufferevent*, short events,  // NOLINT
                          void* context) {
  auto* link = static_cast<MessageLink*>(context);
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    SendWithoutDelay(bufferevent_getfd(link->m_stream));
    if (link->m_handlers.m_on_connected) {
      link->m_handlers.m_on_connected();
    }
    return;
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    const bool refused = (events & BEV_EVENT_ERROR) != 0 &&
                         EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    link->Close(refused);
  }
}

TrafficPurpose MessageLink::PurposeOf(const RpcMessage& message) const {
  return m_handlers.m_purpose_of ? m_handlers.m_purpose_of(message)
                                 : TrafficPurpose::kOther;
}

void MessageLink::Close(bool refused) {
  if (m_stream == nullptr) {
    return;
  }
  bufferevent* stream = m_stream;
  m_stream = nullptr;
  bufferevent_free(stream);
  // The handler may delete this link.
  const auto on_closed = m_handlers.m_on_closed;
  on_closed(refused);
}

MessageListener::MessageListener(Reactor& reactor, const Endpoint& endpoint,
                                 Accept accept)
    : m_accept(std::move(accept)) {
  constexpr int kBacklog = 512;
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    throw std::runtime_error("not an IPv4 address: " + endpoint.m_host);
  }
  m_listener = evconnlistener_new_bind(
      reactor.Base(),
      [](evconnlistener*, evutil_socket_t socket, sockaddr*, int,
         void* context) {
        static_cast<MessageListener*>(context)->m_accept(socket);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
  if (m_listener == nullptr) {
    throw std::runtime_error(fmt::format("cannot listen on {}:{}",
                                         endpoint.m_host, endpoint.m_port));
  }
}

MessageListener::~MessageListener() { evconnlistener_free(m_listener); }

}  // namespace mustardslip
