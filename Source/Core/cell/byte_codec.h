// Compact binary encoding for log records: variable-length integers and
// length-prefixed strings.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardslip {

class ByteWriter {
 public:
  void Unsigned(std::uint64_t value) {
    while (value >= kContinuationBit) {
      m_bytes.push_back(
          static_cast<char>((value & kPayloadMask) | kContinuationBit));
      value >>= kPayloadBits;
    }
    m_bytes.push_back(static_cast<char>(value));
  }

  // Zigzag encoding, so that small negative numbers stay short.
  void Signed(std::int64_t value) {
    const auto bits = static_cast<std::uint64_t>(value);
    Unsigned((bits << 1U) ^ (value < 0 ? ~std::uint64_t{0} : 0));
  }

  void Bool(bool value) { Unsigned(value ? 1 : 0); }

  void Text(std::string_view text) {
    Unsigned(text.size());
    m_bytes.append(text);
  }

  std::string Take() { return std::move(m_bytes); }

 private:
  static constexpr std::uint64_t kContinuationBit = 0x80;
  static constexpr std::uint64_t kPayloadMask = 0x7F;
  static constexpr unsigned kPayloadBits = 7;

  std::string m_bytes;
};

// Reads what ByteWriter wrote. After malformed input Ok() is false and all
// further reads return zero or an empty string.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : m_bytes(bytes) {}

  std::uint64_t Unsigned() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < kMaxShift; shift += kPayloadBits) {
      if (m_bytes.empty()) {
        break;
      }
      const auto byte = static_cast<unsigned char>(m_bytes.front());
      m_bytes.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & kPayloadMask) << shift;
      if ((byte & kContinuationBit) == 0) {
        return value;
      }
    }
    m_ok = false;
    m_bytes = {};
    return 0;
  }

  std::int64_t Signed() {
    const std::uint64_t bits = Unsigned();
    return static_cast<std::int64_t>(
        (bits >> 1U) ^ ((bits & 1U) != 0 ? ~std::uint64_t{0} : 0));
  }

  bool Bool() { return Unsigned() != 0; }

  std::string Text() {
    const std::uint64_t size = Unsigned();
    if (size > m_bytes.size()) {
      m_ok = false;
      m_bytes = {};
      return "";
    }
    std::string text(m_bytes.substr(0, size));
    m_bytes.remove_prefix(size);
    return text;
  }

  bool AtEnd() const { return m_bytes.empty(); }
  bool Ok() const { return m_ok; }

 private:
  static constexpr unsigned char kContinuationBit = 0x80;
  static constexpr unsigned char kPayloadMask = 0x7F;
  static constexpr unsigned kPayloadBits = 7;
  static constexpr unsigned kMaxShift = 70;

  std::string_view m_bytes;
  bool m_ok = true;
};

}  // namespace mustardslip
