// Reads HTTP/1.1 requests from a stream of bytes, with limits. Performs no I/O.
//
// Strict where two readers of one stream could disagree about the end of a
// request: several lengths, a length and a Transfer-Encoding, any encoding but
// "chunked", and continued header lines are refused.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "transport/http_message.h"

namespace mustardslip {

struct HttpReadLimits {
  // Request line, headers and trailers of one request.
  std::size_t m_header_bytes = 16'384;
  std::size_t m_body_bytes = 1U << 20U;

  bool operator==(const HttpReadLimits&) const = default;
};

class HttpRequestReader {
 public:
  enum class State : std::uint8_t {
    kIdle,    // No byte of a request was read.
    kHead,    // In the request line or the headers.
    kBody,    // In the body.
    kDone,    // A request is complete: Take it.
    kFailed,  // FailureStatus tells why; only Reset leads out.
  };

  explicit HttpRequestReader(HttpReadLimits limits = {})
      : m_limits(limits), m_next_limits(limits) {}

  // Reads from the start of `bytes` and returns how many it used. Stops at the
  // end of a request and at a failure.
  std::size_t Feed(std::string_view bytes);

  State GetState() const { return m_state; }
  // The request that is complete; the reader is then idle, and knows nothing of
  // the request.
  HttpRequest Take();
  // Drops what was read, and the memory that held it.
  void Reset();
  // Valid from the next request on.
  void SetLimits(HttpReadLimits limits) {
    m_next_limits = limits;
    if (m_state == State::kIdle) {
      m_limits = limits;
    }
  }

  // The status to answer, and a stable reason. Valid if the state is kFailed.
  int FailureStatus() const { return m_failure_status; }
  std::string_view FailureReason() const { return m_failure_reason; }

  // The connection may carry another request after this one. Valid once the
  // head was read.
  bool KeepAlive() const { return m_keep_alive; }
  // The client speaks HTTP/1.0.
  bool IsHttp10() const { return m_is_http_1_0; }
  // The client waits for "100 Continue" before it sends the body.
  bool ExpectsContinue() const { return m_expects_continue; }

  // Memory that the request takes so far.
  std::size_t HeldBytes() const {
    return m_head.capacity() + m_line.capacity() + m_body.capacity();
  }

 private:
  enum class Part : std::uint8_t {
    kRequestLine,
    kHeaders,
    kBodyBytes,
    kChunkSize,
    kChunkBytes,
    kChunkEnd,
    kTrailers,
  };

  static constexpr std::size_t kNoLength =
      std::numeric_limits<std::size_t>::max();

  std::size_t FeedLine(std::string_view bytes);
  std::size_t FeedBytes(std::string_view bytes);
  void OnLine(std::string_view line);
  void OnRequestLine(std::string_view line);
  void OnHeader(std::string_view line);
  void OnHeadEnd();
  void OnChunkSize(std::string_view line);
  void OnConnectionHeader(std::string_view value);
  void SetLength(std::string_view value);
  void GrowBody(std::size_t more);
  void Fail(int status, std::string_view reason);

  HttpReadLimits m_limits;
  HttpReadLimits m_next_limits;
  State m_state = State::kIdle;
  Part m_part = Part::kRequestLine;
  // The line that is being read, without its end.
  std::string m_line;
  // The lines of the request line and the headers, each with a line feed. Split
  // into fields only by Take: a field takes many times its size.
  std::string m_head;
  std::string m_body;
  // Bytes of the head and the trailers so far.
  std::size_t m_header_bytes = 0;
  // Bytes of the body or the chunk that are still to come.
  std::size_t m_bytes_left = 0;
  std::size_t m_content_length = kNoLength;
  bool m_chunked = false;
  bool m_keep_alive = true;
  bool m_is_http_1_0 = false;
  bool m_expects_continue = false;
  int m_failure_status = 0;
  std::string_view m_failure_reason;
};

}  // namespace mustardslip
