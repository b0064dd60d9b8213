// The calling end of the calls between daemons.
#include <array>
#include <future>
#include <map>
#include <unordered_map>

#include "transport/event_loop.h"
#include "transport/http2_session.h"
#include "transport/rpc.h"
#include "transport/socket_util.h"

namespace mustardslip {
namespace {

constexpr Milliseconds kConnectTimeout{1'000};

}  // namespace

// All state lives on the loop's thread.
class RpcClient::Implementation {
 public:
  Implementation() { m_loop.Start(); }
  ~Implementation() {
    m_loop.Post([this] {
      while (!m_peers.empty()) {
        ClosePeer(m_peers.begin()->second.get());
      }
    });
    m_loop.Stop();
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void Call(const Endpoint& endpoint, const std::string& method,
            std::string bytes, Milliseconds timeout, RpcCallback done);

 private:
  struct Peer;

  struct PendingCall {
    Peer* m_peer = nullptr;
    std::int32_t m_stream_id = -1;
    std::string m_path;
    OutgoingBody m_body;
    std::string m_received;
    RpcCallback m_done;
    event* m_timer = nullptr;
  };

  struct Peer {
    Implementation* m_client = nullptr;
    Endpoint m_endpoint;
    BufferEventPtr m_buffer;
    SessionPtr m_session;
    bool m_connected = false;
    std::unordered_map<PendingCall*, std::unique_ptr<PendingCall>> m_calls;
  };

  static void OnReadable(bufferevent*, void* context);
  static void OnEvent(bufferevent*, short events, void* context);  // NOLINT
  static void OnTimeout(evutil_socket_t, short, void* context);    // NOLINT
  static int OnData(nghttp2_session* session, std::uint8_t,
                    std::int32_t stream_id, const std::uint8_t* data,
                    std::size_t length, void*);
  static int OnStreamClose(nghttp2_session* session, std::int32_t stream_id,
                           std::uint32_t error_code, void* context);

  Peer* ConnectPeer(const Endpoint& endpoint);
  void Start(const Endpoint& endpoint, std::unique_ptr<PendingCall> call,
             Milliseconds timeout);
  void Submit(Peer* peer, PendingCall* call);
  void Finish(PendingCall* call, RpcResult result);
  void ClosePeer(Peer* peer);

  EventLoop m_loop;
  std::map<Endpoint, std::unique_ptr<Peer>> m_peers;
};

void RpcClient::Implementation::Call(const Endpoint& endpoint,
                                     const std::string& method,
                                     std::string bytes, Milliseconds timeout,
                                     RpcCallback done) {
  auto call = std::make_shared<std::unique_ptr<PendingCall>>(
      std::make_unique<PendingCall>());
  (*call)->m_path = "/rpc/" + method;
  (*call)->m_body = {std::move(bytes), 0};
  (*call)->m_done = std::move(done);
  m_loop.Post([this, endpoint, call, timeout] {
    Start(endpoint, std::move(*call), timeout);
  });
}

void RpcClient::Implementation::Start(const Endpoint& endpoint,
                                      std::unique_ptr<PendingCall> call,
                                      Milliseconds timeout) {
  const auto known = m_peers.find(endpoint);
  Peer* peer =
      known != m_peers.end() ? known->second.get() : ConnectPeer(endpoint);
  if (peer == nullptr) {
    call->m_done(Fail(ErrorCode::kUnavailable, "connection_failed"));
    return;
  }
  PendingCall* raw = call.get();
  raw->m_peer = peer;
  raw->m_timer = evtimer_new(m_loop.Base(), &OnTimeout, raw);
  const timeval interval = ToTimeval(timeout);
  evtimer_add(raw->m_timer, &interval);
  peer->m_calls.emplace(raw, std::move(call));
  if (peer->m_connected) {
    Submit(peer, raw);
  }
}

RpcClient::Implementation::Peer* RpcClient::Implementation::ConnectPeer(
    const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    return nullptr;
  }
  auto peer = std::make_unique<Peer>();
  peer->m_client = this;
  peer->m_endpoint = endpoint;
  peer->m_buffer.reset(
      bufferevent_socket_new(m_loop.Base(), -1, BEV_OPT_CLOSE_ON_FREE));

  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_client_new(&session, callbacks, peer.get());
  nghttp2_session_callbacks_del(callbacks);
  peer->m_session.reset(session);
  SubmitSettings(session);

  bufferevent_setcb(peer->m_buffer.get(), &OnReadable, nullptr, &OnEvent,
                    peer.get());
  bufferevent_enable(peer->m_buffer.get(), EV_READ | EV_WRITE);
  const timeval limit = ToTimeval(kConnectTimeout);
  bufferevent_set_timeouts(peer->m_buffer.get(), nullptr, &limit);
  if (bufferevent_socket_connect(peer->m_buffer.get(),
                                 reinterpret_cast<const sockaddr*>(&*address),
                                 sizeof(*address)) != 0) {
    return nullptr;
  }
  Peer* raw = peer.get();
  m_peers.emplace(endpoint, std::move(peer));
  return raw;
}

void RpcClient::Implementation::Submit(Peer* peer, PendingCall* call) {
  nghttp2_data_provider provider{};
  provider.source.ptr = &call->m_body;
  provider.read_callback = &ReadBody;
  const std::array<nghttp2_nv, 4> headers = {
      HeaderField(":method", "POST"), HeaderField(":scheme", "http"),
      HeaderField(":authority", "peer"), HeaderField(":path", call->m_path)};
  call->m_stream_id =
      nghttp2_submit_request(peer->m_session.get(), nullptr, headers.data(),
                             headers.size(), &provider, call);
  if (call->m_stream_id < 0) {
    Finish(call, Fail(ErrorCode::kUnavailable, "stream_refused"));
    return;
  }
  if (!Flush(peer->m_session.get(), peer->m_buffer.get())) {
    ClosePeer(peer);
  }
}

void RpcClient::Implementation::Finish(PendingCall* call, RpcResult result) {
  if (call->m_timer != nullptr) {
    event_free(call->m_timer);
    call->m_timer = nullptr;
  }
  const auto entry = call->m_peer->m_calls.find(call);
  const std::unique_ptr<PendingCall> owned = std::move(entry->second);
  call->m_peer->m_calls.erase(entry);
  owned->m_done(std::move(result));
}

// A call that was never submitted had no effect; any other may have had one.
void RpcClient::Implementation::ClosePeer(Peer* peer) {
  const auto entry = m_peers.find(peer->m_endpoint);
  const std::unique_ptr<Peer> owned = std::move(entry->second);
  m_peers.erase(entry);
  while (!owned->m_calls.empty()) {
    PendingCall* call = owned->m_calls.begin()->first;
    Finish(call, call->m_stream_id < 0
                     ? Fail(ErrorCode::kUnavailable, "connection_failed")
                     : Fail(ErrorCode::kUnknownOutcome, "connection_lost"));
  }
}

void RpcClient::Implementation::OnReadable(bufferevent*, void* context) {
  auto* peer = static_cast<Peer*>(context);
  if (!Receive(peer->m_session.get(), peer->m_buffer.get()) ||
      !Flush(peer->m_session.get(), peer->m_buffer.get())) {
    peer->m_client->ClosePeer(peer);
  }
}

void RpcClient::Implementation::OnEvent(bufferevent* buffer,
                                        short events,  // NOLINT
                                        void* context) {
  auto* peer = static_cast<Peer*>(context);
  if ((events & BEV_EVENT_CONNECTED) == 0) {
    peer->m_client->ClosePeer(peer);
    return;
  }
  SendWithoutDelay(bufferevent_getfd(buffer));
  bufferevent_set_timeouts(buffer, nullptr, nullptr);
  peer->m_connected = true;
  std::vector<PendingCall*> waiting;
  for (const auto& [call, owned] : peer->m_calls) {
    waiting.push_back(call);
  }
  Implementation* client = peer->m_client;
  const Endpoint endpoint = peer->m_endpoint;
  for (PendingCall* call : waiting) {
    const auto alive = client->m_peers.find(endpoint);
    if (alive == client->m_peers.end() || alive->second.get() != peer) {
      return;
    }
    client->Submit(peer, call);
  }
}

void RpcClient::Implementation::OnTimeout(evutil_socket_t, short,  // NOLINT
                                          void* context) {
  auto* call = static_cast<PendingCall*>(context);
  Peer* peer = call->m_peer;
  if (call->m_stream_id < 0) {
    peer->m_client->Finish(call,
                           Fail(ErrorCode::kUnavailable, "connect_timeout"));
    return;
  }
  // The session must not read the body of a call that is gone.
  nghttp2_session_set_stream_user_data(peer->m_session.get(), call->m_stream_id,
                                       nullptr);
  const bool sent = call->m_body.m_offset == call->m_body.m_bytes.size();
  const std::int32_t stream_id = call->m_stream_id;
  if (!sent) {
    // Keeps the body alive until the session has dropped the stream.
    peer->m_client->ClosePeer(peer);
    return;
  }
  nghttp2_submit_rst_stream(peer->m_session.get(), NGHTTP2_FLAG_NONE, stream_id,
                            NGHTTP2_CANCEL);
  peer->m_client->Finish(call, Fail(ErrorCode::kTimeout, "rpc_timeout"));
  if (!Flush(peer->m_session.get(), peer->m_buffer.get())) {
    peer->m_client->ClosePeer(peer);
  }
}

int RpcClient::Implementation::OnData(nghttp2_session* session, std::uint8_t,
                                      std::int32_t stream_id,
                                      const std::uint8_t* data,
                                      std::size_t length, void*) {
  auto* call = static_cast<PendingCall*>(
      nghttp2_session_get_stream_user_data(session, stream_id));
  if (call == nullptr) {
    return 0;
  }
  if (call->m_received.size() + length > kMaxRpcMessageBytes) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  call->m_received.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int RpcClient::Implementation::OnStreamClose(nghttp2_session* session,
                                             std::int32_t stream_id,
                                             std::uint32_t error_code,
                                             void* context) {
  auto* call = static_cast<PendingCall*>(
      nghttp2_session_get_stream_user_data(session, stream_id));
  if (call == nullptr) {
    return 0;
  }
  auto* peer = static_cast<Peer*>(context);
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    peer->m_client->Finish(call,
                           Fail(ErrorCode::kUnavailable, "stream_refused"));
    return 0;
  }
  if (error_code != NGHTTP2_NO_ERROR) {
    peer->m_client->Finish(call,
                           Fail(ErrorCode::kUnknownOutcome, "stream_reset"));
    return 0;
  }
  RpcResult result = DecodeMessage(call->m_received);
  if (result) {
    result = ErrorOrMessage(std::move(*result));
  } else {
    result = Fail(ErrorCode::kUnknownOutcome, "malformed_answer");
  }
  peer->m_client->Finish(call, std::move(result));
  return 0;
}

RpcClient::RpcClient() : m_implementation(std::make_unique<Implementation>()) {}

RpcClient::~RpcClient() = default;

void RpcClient::Call(const Endpoint& peer, const std::string& method,
                     const RpcMessage& request, Milliseconds timeout,
                     RpcCallback done) {
  m_implementation->Call(peer, method, EncodeMessage(request), timeout,
                         std::move(done));
}

RpcResult RpcClient::CallAndWait(const Endpoint& peer,
                                 const std::string& method,
                                 const RpcMessage& request,
                                 Milliseconds timeout) {
  std::promise<RpcResult> promise;
  std::future<RpcResult> future = promise.get_future();
  Call(peer, method, request, timeout,
       [&promise](RpcResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace mustardslip
