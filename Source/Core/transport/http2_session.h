// What the two ends of a connection share: an nghttp2 session over a libevent
// buffered socket.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace mustardslip {

// Large windows: flow control would only add round trips between daemons that
// trust each other; message sizes are bounded by the receiver.
inline constexpr std::int32_t kWindowBytes = 64 << 20;
inline constexpr std::uint32_t kMaxConcurrentStreams = 100'000;

struct FreeSession {
  void operator()(nghttp2_session* session) const {
    nghttp2_session_del(session);
  }
};
struct FreeBufferEvent {
  void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
};
using SessionPtr = std::unique_ptr<nghttp2_session, FreeSession>;
using BufferEventPtr = std::unique_ptr<bufferevent, FreeBufferEvent>;

// Bytes still to be sent on one stream.
struct OutgoingBody {
  std::string m_bytes;
  std::size_t m_offset = 0;
};

// Reads an OutgoingBody for nghttp2.
ssize_t ReadBody(nghttp2_session* session, std::int32_t stream_id,
                 std::uint8_t* buffer, std::size_t length, std::uint32_t* flags,
                 nghttp2_data_source* source, void* user_data);

// A header field whose name and value outlive the submission.
nghttp2_nv HeaderField(std::string_view name, std::string_view value);

// Announces the windows and the stream limit.
void SubmitSettings(nghttp2_session* session);

// Feeds received bytes to the session. False: the connection is broken.
bool Receive(nghttp2_session* session, bufferevent* buffer);

// Writes what the session wants to send. False: the connection is broken.
bool Flush(nghttp2_session* session, bufferevent* buffer);

}  // namespace mustardslip
