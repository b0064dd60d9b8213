// The answering end of the calls between daemons.
#include <event2/listener.h>

#include <array>
#include <atomic>
#include <cstring>
#include <future>
#include <stdexcept>
#include <unordered_map>

#include "common/logger.h"
#include "common/thread_pool.h"
#include "transport/event_loop.h"
#include "transport/http2_session.h"
#include "transport/rpc.h"
#include "transport/socket_util.h"

namespace mustardslip {
namespace {

constexpr std::string_view kPathPrefix = "/rpc/";

struct ServerStream {
  std::string m_path;
  std::string m_received;
  OutgoingBody m_answer;
};

}  // namespace

// Connections live on the loop's thread alone; handlers post their answers to
// it. The shared pointer keeps the loop's state alive for late answers.
class RpcServer::Implementation
    : public std::enable_shared_from_this<RpcServer::Implementation> {
 public:
  Implementation(std::size_t max_threads, Handler handler)
      : m_handler(std::move(handler)),
        m_pool(std::make_unique<ThreadPool>(max_threads)) {}

  void Listen(const Endpoint& endpoint);
  void Stop();
  std::size_t InFlight() const { return m_in_flight; }

 private:
  struct Connection {
    Implementation* m_server = nullptr;
    std::uint64_t m_id = 0;
    BufferEventPtr m_buffer;
    SessionPtr m_session;
    std::unordered_map<std::int32_t, ServerStream> m_streams;
  };

  static void OnAccept(evconnlistener*, evutil_socket_t socket_fd, sockaddr*,
                       int, void* context);
  static void OnReadable(bufferevent*, void* context);
  static void OnEvent(bufferevent*, short events, void* context);  // NOLINT
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t, void* context);
  static int OnData(nghttp2_session*, std::uint8_t, std::int32_t stream_id,
                    const std::uint8_t* data, std::size_t length,
                    void* context);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                     void* context);
  static int OnStreamClose(nghttp2_session*, std::int32_t stream_id,
                           std::uint32_t, void* context);

  void Accept(evutil_socket_t socket_fd);
  void Dispatch(Connection& connection, std::int32_t stream_id);
  void Respond(std::uint64_t connection_id, std::int32_t stream_id,
               const RpcResult& result);
  void SendAnswer(std::uint64_t connection_id, std::int32_t stream_id,
                  std::string bytes);
  void CloseConnection(std::uint64_t id) { m_connections.erase(id); }

  const Handler m_handler;
  std::unique_ptr<ThreadPool> m_pool;
  EventLoop m_loop;
  evconnlistener* m_listener = nullptr;
  std::atomic<std::size_t> m_in_flight = 0;
  std::atomic<bool> m_stopped = false;
  // Used on the loop's thread only.
  std::uint64_t m_next_connection = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
};

void RpcServer::Implementation::Listen(const Endpoint& endpoint) {
  const auto address = ToSocketAddress(endpoint);
  if (!address) {
    throw std::runtime_error("not an IPv4 address: " + endpoint.m_host);
  }
  constexpr int kBacklog = 1024;
  m_listener = evconnlistener_new_bind(
      m_loop.Base(), &Implementation::OnAccept, this,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
  if (m_listener == nullptr) {
    throw std::runtime_error("cannot listen on " + ToString(endpoint) + ": " +
                             std::strerror(errno));
  }
  m_loop.Start();
}

void RpcServer::Implementation::Stop() {
  // After this no call reaches the pool, which only the loop's thread feeds.
  std::promise<void> closed;
  m_loop.Post([this, &closed] {
    m_stopped = true;
    evconnlistener_free(m_listener);
    m_listener = nullptr;
    closed.set_value();
  });
  closed.get_future().wait();
  // Handlers that are running may still answer; then the connections go.
  m_pool.reset();
  m_loop.Post([this] { m_connections.clear(); });
  m_loop.Stop();
}

void RpcServer::Implementation::OnAccept(evconnlistener*,
                                         evutil_socket_t socket_fd, sockaddr*,
                                         int, void* context) {
  static_cast<Implementation*>(context)->Accept(socket_fd);
}

void RpcServer::Implementation::Accept(evutil_socket_t socket_fd) {
  SendWithoutDelay(socket_fd);
  evutil_make_socket_nonblocking(socket_fd);
  auto connection = std::make_unique<Connection>();
  connection->m_server = this;
  connection->m_id = m_next_connection++;
  connection->m_buffer.reset(
      bufferevent_socket_new(m_loop.Base(), socket_fd, BEV_OPT_CLOSE_ON_FREE));

  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  nghttp2_session* session = nullptr;
  nghttp2_session_server_new(&session, callbacks, connection.get());
  nghttp2_session_callbacks_del(callbacks);
  connection->m_session.reset(session);
  SubmitSettings(session);

  bufferevent_setcb(connection->m_buffer.get(), &OnReadable, nullptr, &OnEvent,
                    connection.get());
  bufferevent_enable(connection->m_buffer.get(), EV_READ | EV_WRITE);
  Flush(session, connection->m_buffer.get());
  m_connections.emplace(connection->m_id, std::move(connection));
}

void RpcServer::Implementation::OnReadable(bufferevent*, void* context) {
  auto* connection = static_cast<Connection*>(context);
  if (!Receive(connection->m_session.get(), connection->m_buffer.get()) ||
      !Flush(connection->m_session.get(), connection->m_buffer.get())) {
    connection->m_server->CloseConnection(connection->m_id);
  }
}

void RpcServer::Implementation::OnEvent(bufferevent*, short events,  // NOLINT
                                        void* context) {
  auto* connection = static_cast<Connection*>(context);
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    connection->m_server->CloseConnection(connection->m_id);
  }
}

int RpcServer::Implementation::OnHeader(
    nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
    std::size_t name_length, const std::uint8_t* value,
    std::size_t value_length, std::uint8_t, void* context) {
  auto* connection = static_cast<Connection*>(context);
  const std::string_view field(reinterpret_cast<const char*>(name),
                               name_length);
  if (field == ":path") {
    connection->m_streams[frame->hd.stream_id].m_path.assign(
        reinterpret_cast<const char*>(value), value_length);
  }
  return 0;
}

int RpcServer::Implementation::OnData(nghttp2_session*, std::uint8_t,
                                      std::int32_t stream_id,
                                      const std::uint8_t* data,
                                      std::size_t length, void* context) {
  auto* connection = static_cast<Connection*>(context);
  std::string& received = connection->m_streams[stream_id].m_received;
  if (received.size() + length > kMaxRpcMessageBytes) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  received.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int RpcServer::Implementation::OnFrame(nghttp2_session*,
                                       const nghttp2_frame* frame,
                                       void* context) {
  auto* connection = static_cast<Connection*>(context);
  const bool request =
      frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  if (request && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0) {
    connection->m_server->Dispatch(*connection, frame->hd.stream_id);
  }
  return 0;
}

int RpcServer::Implementation::OnStreamClose(nghttp2_session*,
                                             std::int32_t stream_id,
                                             std::uint32_t, void* context) {
  static_cast<Connection*>(context)->m_streams.erase(stream_id);
  return 0;
}

void RpcServer::Implementation::Dispatch(Connection& connection,
                                         std::int32_t stream_id) {
  const std::uint64_t connection_id = connection.m_id;
  ServerStream& stream = connection.m_streams[stream_id];
  std::string received = std::move(stream.m_received);
  std::string method = stream.m_path.starts_with(kPathPrefix)
                           ? stream.m_path.substr(kPathPrefix.size())
                           : "";
  if (m_stopped) {
    Respond(connection_id, stream_id,
            Fail(ErrorCode::kUnavailable, "shutting_down"));
    return;
  }
  ++m_in_flight;
  auto respond = [self = weak_from_this(), connection_id,
                  stream_id](const RpcResult& result) {
    if (const auto server = self.lock()) {
      --server->m_in_flight;
      server->Respond(connection_id, stream_id, result);
    }
  };
  m_pool->Submit([this, method = std::move(method),
                  received = std::move(received),
                  respond = std::move(respond)] {
    auto request = DecodeMessage(received);
    if (!request) {
      respond(tl::unexpected(request.error()));
      return;
    }
    m_handler(method, std::move(*request), respond);
  });
}

void RpcServer::Implementation::Respond(std::uint64_t connection_id,
                                        std::int32_t stream_id,
                                        const RpcResult& result) {
  std::string bytes =
      EncodeMessage(result ? *result : EncodeError(result.error()));
  m_loop.Post([this, connection_id, stream_id, bytes = std::move(bytes)] {
    SendAnswer(connection_id, stream_id, bytes);
  });
}

void RpcServer::Implementation::SendAnswer(std::uint64_t connection_id,
                                           std::int32_t stream_id,
                                           std::string bytes) {
  const auto found = m_connections.find(connection_id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = *found->second;
  const auto stream = connection.m_streams.find(stream_id);
  if (stream == connection.m_streams.end()) {
    return;
  }
  stream->second.m_answer = {std::move(bytes), 0};
  nghttp2_data_provider provider{};
  provider.source.ptr = &stream->second.m_answer;
  provider.read_callback = &ReadBody;
  const std::array<nghttp2_nv, 1> headers = {HeaderField(":status", "200")};
  nghttp2_submit_response(connection.m_session.get(), stream_id, headers.data(),
                          headers.size(), &provider);
  if (!Flush(connection.m_session.get(), connection.m_buffer.get())) {
    CloseConnection(connection_id);
  }
}

RpcServer::RpcServer(const Endpoint& endpoint, std::size_t max_threads,
                     Handler handler)
    : m_implementation(
          std::make_shared<Implementation>(max_threads, std::move(handler))) {
  m_implementation->Listen(endpoint);
}

RpcServer::~RpcServer() { m_implementation->Stop(); }

std::size_t RpcServer::InFlight() const { return m_implementation->InFlight(); }

}  // namespace mustardslip
