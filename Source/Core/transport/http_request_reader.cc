// The grammar of RFC 9112, as far as this server accepts it.
#include "transport/http_request_reader.h"

#include <absl/strings/ascii.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "transport/http_status.h"

namespace mustardslip {
namespace {

// A chunk's size with its extensions, which are ignored.
constexpr std::size_t kMaxChunkLineBytes = 256;

bool IsSpace(char character) { return character == ' ' || character == '\t'; }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && IsSpace(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsSpace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

std::string_view WithoutCarriageReturn(std::string_view line) {
  return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

char ToLower(char character) {
  return absl::ascii_tolower(static_cast<unsigned char>(character));
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

std::string LowerCase(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), ToLower);
  return result;
}

bool IsTokenCharacter(char character) {
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) !=
             std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsTokenCharacter(c);
  });
}

bool IsVisible(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte != 0x7FU;
  });
}

// No NUL, carriage return or other control character.
bool IsHeaderValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= ' ' && byte != 0x7FU) || byte == '\t';
  });
}

bool IsKnownMethod(std::string_view method) {
  return method == "GET" || method == "POST" || method == "DELETE" ||
         method == "PUT";
}

// Name and value of a header line that was checked before.
std::pair<std::string_view, std::string_view> SplitHeader(
    std::string_view line) {
  const std::size_t colon = line.find(':');
  return {line.substr(0, colon), Trim(line.substr(colon + 1))};
}

void ReadQuery(const std::string& text, HttpRequest& request) {
  evkeyvalq fields;
  if (evhttp_parse_query_str(text.c_str(), &fields) != 0) {
    return;
  }
  for (const evkeyval* one = fields.tqh_first; one != nullptr;
       one = one->next.tqe_next) {
    request.m_query[LowerCase(one->key)] = one->value;
  }
  evhttp_clear_headers(&fields);
}

}  // namespace

std::size_t HttpRequestReader::Feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && m_state != State::kDone &&
         m_state != State::kFailed) {
    const std::string_view rest = bytes.substr(used);
    used += m_part == Part::kBodyBytes || m_part == Part::kChunkBytes
                ? FeedBytes(rest)
                : FeedLine(rest);
  }
  return used;
}

std::size_t HttpRequestReader::FeedLine(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  const std::size_t size = std::min(end, bytes.size());
  const bool in_chunk = m_part == Part::kChunkSize || m_part == Part::kChunkEnd;
  if (m_state == State::kIdle) {
    m_state = State::kHead;
  }
  if (in_chunk) {
    if (m_line.size() + size > kMaxChunkLineBytes) {
      Fail(HttpStatus::kBadRequest, "malformed_chunk");
      return size;
    }
  } else {
    m_header_bytes += size + (end == std::string_view::npos ? 0 : 1);
    if (m_header_bytes > m_limits.m_header_bytes) {
      Fail(HttpStatus::kHeadersTooLarge, "headers_too_large");
      return size;
    }
  }
  if (end == std::string_view::npos) {
    m_line.append(bytes, 0, size);
  } else if (m_line.empty()) {
    OnLine(WithoutCarriageReturn(bytes.substr(0, size)));
  } else {
    m_line.append(bytes, 0, size);
    const std::string line = std::exchange(m_line, {});
    OnLine(WithoutCarriageReturn(line));
  }
  return std::min(size + 1, bytes.size());
}

std::size_t HttpRequestReader::FeedBytes(std::string_view bytes) {
  const std::size_t size = std::min(bytes.size(), m_bytes_left);
  GrowBody(size);
  m_body.append(bytes, 0, size);
  m_bytes_left -= size;
  if (m_bytes_left == 0) {
    if (m_part == Part::kChunkBytes) {
      m_part = Part::kChunkEnd;
    } else {
      m_state = State::kDone;
    }
  }
  return size;
}

void HttpRequestReader::OnLine(std::string_view line) {
  switch (m_part) {
    case Part::kRequestLine:
      // Some clients send an empty line after a body; no request has begun.
      if (line.empty()) {
        m_state = State::kIdle;
      } else {
        OnRequestLine(line);
      }
      break;
    case Part::kHeaders:
      if (line.empty()) {
        OnHeadEnd();
      } else {
        OnHeader(line);
      }
      break;
    case Part::kChunkSize:
      OnChunkSize(line);
      break;
    case Part::kChunkEnd:
      if (!line.empty()) {
        Fail(HttpStatus::kBadRequest, "malformed_chunk");
      }
      m_part = Part::kChunkSize;
      break;
    case Part::kTrailers:
      // Trailers are not used; their size is limited with the headers.
      if (line.empty()) {
        m_state = State::kDone;
      }
      break;
    default:
      break;
  }
}

void HttpRequestReader::OnRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    Fail(HttpStatus::kBadRequest, "malformed_request");
    return;
  }
  const std::string_view method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, last - first - 1);
  const std::string_view version = line.substr(last + 1);
  const bool known_version = version == "HTTP/1.1" || version == "HTTP/1.0";
  if (!IsToken(method) || !IsVisible(target) || !known_version) {
    Fail(HttpStatus::kBadRequest, "malformed_request");
    return;
  }
  if (!IsKnownMethod(method)) {
    Fail(HttpStatus::kNotImplemented, "unknown_method");
    return;
  }
  m_is_http_1_0 = version == "HTTP/1.0";
  m_keep_alive = !m_is_http_1_0;
  m_head.append(line).push_back('\n');
  m_part = Part::kHeaders;
}

void HttpRequestReader::OnHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
      !IsHeaderValue(line.substr(colon + 1))) {
    Fail(HttpStatus::kBadRequest, "malformed_header");
    return;
  }
  const auto [name, value] = SplitHeader(line);
  if (EqualsIgnoreCase(name, "content-length")) {
    SetLength(value);
  } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
    if (m_chunked || m_is_http_1_0 || !EqualsIgnoreCase(value, "chunked")) {
      Fail(HttpStatus::kBadRequest, "unknown_transfer_encoding");
    }
    m_chunked = true;
  } else if (EqualsIgnoreCase(name, "connection")) {
    OnConnectionHeader(value);
  } else if (EqualsIgnoreCase(name, "expect")) {
    m_expects_continue = EqualsIgnoreCase(value, "100-continue");
  }
  m_head.append(line).push_back('\n');
}

void HttpRequestReader::OnConnectionHeader(std::string_view value) {
  while (!value.empty()) {
    const std::size_t end = std::min(value.find(','), value.size());
    const std::string_view name = Trim(value.substr(0, end));
    value.remove_prefix(std::min(end + 1, value.size()));
    if (EqualsIgnoreCase(name, "close")) {
      m_keep_alive = false;
      return;
    }
    if (EqualsIgnoreCase(name, "keep-alive")) {
      m_keep_alive = true;
    }
  }
}

void HttpRequestReader::SetLength(std::string_view value) {
  std::size_t length = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), length);
  const bool digits =
      !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
        return absl::ascii_isdigit(static_cast<unsigned char>(c));
      });
  if (!digits || m_content_length != kNoLength) {
    Fail(HttpStatus::kBadRequest, "malformed_length");
    return;
  }
  // A number that is out of range is also over the limit.
  if (error != std::errc() || length > m_limits.m_body_bytes) {
    m_content_length = kNoLength - 1;
  } else {
    m_content_length = length;
  }
}

void HttpRequestReader::OnHeadEnd() {
  const bool has_length = m_content_length != kNoLength;
  if (has_length && m_chunked) {
    Fail(HttpStatus::kBadRequest, "malformed_length");
    return;
  }
  if (has_length && m_content_length > m_limits.m_body_bytes) {
    Fail(HttpStatus::kContentTooLarge, "body_too_large");
    return;
  }
  if (m_chunked) {
    m_state = State::kBody;
    m_part = Part::kChunkSize;
  } else if (has_length && m_content_length > 0) {
    m_state = State::kBody;
    m_part = Part::kBodyBytes;
    m_bytes_left = m_content_length;
  } else {
    m_state = State::kDone;
  }
}

void HttpRequestReader::OnChunkSize(std::string_view line) {
  constexpr int kHexadecimal = 16;
  std::size_t size = 0;
  const auto [end, error] = std::from_chars(
      line.data(), line.data() + line.size(), size, kHexadecimal);
  if (error == std::errc::result_out_of_range) {
    Fail(HttpStatus::kContentTooLarge, "body_too_large");
    return;
  }
  const std::string_view extension =
      line.substr(static_cast<std::size_t>(end - line.data()));
  const bool malformed =
      error != std::errc() || (!extension.empty() && extension[0] != ';' &&
                               extension[0] != ' ' && extension[0] != '\t');
  if (malformed) {
    Fail(HttpStatus::kBadRequest, "malformed_chunk");
    return;
  }
  if (size > m_limits.m_body_bytes - m_body.size()) {
    Fail(HttpStatus::kContentTooLarge, "body_too_large");
    return;
  }
  m_bytes_left = size;
  m_part = size == 0 ? Part::kTrailers : Part::kChunkBytes;
}

// An announced length is not reserved at once: the client may never send it.
void HttpRequestReader::GrowBody(std::size_t more) {
  const std::size_t needed = m_body.size() + more;
  if (needed > m_body.capacity()) {
    const std::size_t whole =
        m_chunked ? m_limits.m_body_bytes : m_content_length;
    m_body.reserve(std::min(whole, std::max(needed, 2 * m_body.size())));
  }
}

HttpRequest HttpRequestReader::Take() {
  HttpRequest request;
  std::string_view rest = m_head;
  const std::string_view first = rest.substr(0, rest.find('\n'));
  rest.remove_prefix(first.size() + 1);
  const std::size_t space = first.find(' ');
  request.m_method = first.substr(0, space);
  // The path stays percent-encoded.
  request.m_path = first.substr(space + 1, first.rfind(' ') - space - 1);
  const std::size_t question = request.m_path.find('?');
  if (question != std::string::npos) {
    ReadQuery(request.m_path.substr(question + 1), request);
    request.m_path.erase(question);
  }
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(line.size() + 1);
    const auto [name, value] = SplitHeader(line);
    request.m_headers[LowerCase(name)] = value;
  }
  request.m_body = std::move(m_body);
  Reset();
  return request;
}

void HttpRequestReader::Reset() { *this = HttpRequestReader(m_next_limits); }

void HttpRequestReader::Fail(int status, std::string_view reason) {
  if (m_state != State::kFailed) {
    m_state = State::kFailed;
    m_failure_status = status;
    m_failure_reason = reason;
  }
}

}  // namespace mustardslip
