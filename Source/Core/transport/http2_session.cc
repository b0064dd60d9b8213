// The shared part of RpcServer and RpcClient.
#include "transport/http2_session.h"

#include <algorithm>
#include <array>

namespace mustardslip {

ssize_t ReadBody(nghttp2_session*, std::int32_t, std::uint8_t* buffer,
                 std::size_t length, std::uint32_t* flags,
                 nghttp2_data_source* source, void*) {
  auto* body = static_cast<OutgoingBody*>(source->ptr);
  const std::size_t count =
      std::min(length, body->m_bytes.size() - body->m_offset);
  std::copy_n(body->m_bytes.data() + body->m_offset, count, buffer);
  body->m_offset += count;
  if (body->m_offset == body->m_bytes.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

nghttp2_nv HeaderField(std::string_view name, std::string_view value) {
  // nghttp2 copies the bytes; its struct is not const-correct.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void SubmitSettings(nghttp2_session* session) {
  const std::array<nghttp2_settings_entry, 2> entries = {
      {{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
        static_cast<std::uint32_t>(kWindowBytes)},
       {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams}}};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(),
                          entries.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
}

bool Receive(nghttp2_session* session, bufferevent* buffer) {
  evbuffer* input = bufferevent_get_input(buffer);
  while (evbuffer_get_length(input) > 0) {
    const std::size_t contiguous = evbuffer_get_contiguous_space(input);
    const unsigned char* data =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous));
    const ssize_t used = nghttp2_session_mem_recv(session, data, contiguous);
    if (used < 0) {
      return false;
    }
    evbuffer_drain(input, static_cast<std::size_t>(used));
  }
  return true;
}

bool Flush(nghttp2_session* session, bufferevent* buffer) {
  evbuffer* output = bufferevent_get_output(buffer);
  while (true) {
    const std::uint8_t* data = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session, &data);
    if (count < 0) {
      return false;
    }
    if (count == 0) {
      break;
    }
    evbuffer_add(output, data, static_cast<std::size_t>(count));
  }
  return nghttp2_session_want_read(session) != 0 ||
         nghttp2_session_want_write(session) != 0;
}

}  // namespace mustardslip
