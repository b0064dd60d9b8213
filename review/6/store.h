// A stand-in of the platform's store as PROTOCOL.md describes it, without
// faults. It serves what the daemons call: ranges, watches, transactions and
// leases.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "transport/event_http.h"
#include "transport/free_port.h"

namespace bed {

using Json = nlohmann::json;
using mustardslip::Endpoint;
using mustardslip::EventHttpServer;
using mustardslip::HttpRequest;
using mustardslip::HttpResponse;
using mustardslip::Reactor;

inline constexpr const char* kBase64Digits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
inline constexpr unsigned kBase64Bits = 6;
inline constexpr unsigned kByteBits = 8;

inline std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  unsigned value = 0;
  unsigned bits = 0;
  for (const char one : bytes) {
    value = (value << kByteBits) | static_cast<unsigned char>(one);
    bits += kByteBits;
    while (bits >= kBase64Bits) {
      bits -= kBase64Bits;
      text.push_back(kBase64Digits[(value >> bits) & 0x3FU]);
    }
    value &= (1U << bits) - 1U;
  }
  if (bits > 0) {
    text.push_back(kBase64Digits[(value << (kBase64Bits - bits)) & 0x3FU]);
  }
  while (text.size() % 4 != 0) {
    text.push_back('=');
  }
  return text;
}

inline std::string DecodeBase64(const std::string& text) {
  static const std::string digits = kBase64Digits;
  std::string bytes;
  unsigned value = 0;
  unsigned bits = 0;
  for (const char one : text) {
    const std::size_t digit = digits.find(one);
    if (digit == std::string::npos) {
      break;
    }
    value = (value << kBase64Bits) | static_cast<unsigned>(digit);
    bits += kBase64Bits;
    if (bits >= kByteBits) {
      bits -= kByteBits;
      bytes.push_back(static_cast<char>((value >> bits) & 0xFFU));
      value &= (1U << bits) - 1U;
    }
  }
  return bytes;
}

class Store {
 public:
  explicit Store(Reactor& reactor)
      : m_reactor(reactor),
        m_address{"127.0.0.1", mustardslip::FreeLoopbackPort()},
        m_server(reactor, m_address, {},
                 [this](const HttpRequest& request, auto respond) {
                   Handle(request, std::move(respond));
                 }) {
    Tick();
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::string AddressText() const { return ToString(m_address); }

  // Writes of the operator and of workers.
  void Put(const std::string& key, const Json& value) {
    ++m_revision;
    Write(key, value.dump(), 0);
    ServeWatchers();
  }
  void Remove(const std::string& key) {
    Erase(key);
    ServeWatchers();
  }
  // Empty if the key does not exist.
  std::string Value(const std::string& key) const {
    const auto found = m_items.find(key);
    return found == m_items.end() ? "" : found->second.m_value;
  }

 private:
  static constexpr std::size_t kItemsPerPage = 500;
  static constexpr std::size_t kPageBytes = 1'000'000;
  static constexpr std::size_t kValueBytes = 1'048'576;
  static constexpr std::int64_t kTickMs = 20;

  struct Item {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_created = 0;
    std::int64_t m_lease = 0;
  };
  struct Event {
    std::int64_t m_revision = 0;
    std::string m_key;
    Json m_row;
  };
  struct Lease {
    std::int64_t m_ttl_ms = 0;
    std::int64_t m_until_ms = 0;
  };
  struct Watcher {
    std::string m_prefix;
    std::int64_t m_after = 0;
    std::int64_t m_until_ms = 0;
    EventHttpServer::Respond m_respond;
  };

  std::int64_t NowMs() const { return m_reactor.Now().m_steady_ms; }

  static void Answer(int status, const Json& body,
                     const EventHttpServer::Respond& respond) {
    HttpResponse response;
    response.m_status = status;
    response.m_body = body.dump();
    respond(std::move(response));
  }

  void Handle(const HttpRequest& request, EventHttpServer::Respond respond) {
    ExpireLeases();
    const Json body = request.m_body.empty()
                          ? Json::object()
                          : Json::parse(request.m_body, nullptr, false);
    if (!body.is_object()) {
      Answer(400, Json::object(), respond);
    } else if (request.m_path == "/api/kv-watch") {
      m_watchers.push_back(
          {request.Query("prefix"), std::atoll(request.Query("after").c_str()),
           NowMs() + std::atoll(request.Query("wait_ms").c_str()),
           std::move(respond)});
      ServeWatchers();
    } else {
      Route(request, body, respond);
      ServeWatchers();
    }
  }

  void Route(const HttpRequest& request, const Json& body,
             const EventHttpServer::Respond& respond) {
    const std::string& path = request.m_path;
    const std::int64_t id =
        std::atoll(path.substr(path.rfind('/') + 1).c_str());
    if (path == "/api/kv-range") {
      Answer(200, Range(request.Query("prefix"), request.Query("after")),
             respond);
    } else if (path == "/api/kv-txn") {
      Transact(body, respond);
    } else if (path == "/api/kv-lease") {
      const std::int64_t ttl_ms = body.value("ttl_ms", std::int64_t{1'000});
      m_leases[++m_last_lease] = {ttl_ms, NowMs() + ttl_ms};
      Answer(200, {{"lease", m_last_lease}, {"ttl_ms", ttl_ms}}, respond);
    } else if (path.rfind("/api/kv-keep/", 0) == 0) {
      const auto lease = m_leases.find(id);
      if (lease != m_leases.end()) {
        lease->second.m_until_ms = NowMs() + lease->second.m_ttl_ms;
      }
      Answer(lease == m_leases.end() ? 404 : 200, Json::object(), respond);
    } else if (path.rfind("/api/kv-lease-end/", 0) == 0) {
      const bool known = m_leases.count(id) != 0;
      EndLease(id);
      Answer(known ? 200 : 404, Json::object(), respond);
    } else {
      Answer(404, Json::object(), respond);
    }
  }

  Json Row(const std::string& key) const {
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
      return {{"key", key}, {"rev", 0}};
    }
    const Item& item = found->second;
    return {{"key", key},
            {"value", EncodeBase64(item.m_value)},
            {"rev", item.m_revision},
            {"created", item.m_created},
            {"lease", item.m_lease}};
  }

  Json Range(const std::string& prefix, const std::string& after) const {
    Json items = Json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    auto item = after.empty() ? m_items.lower_bound(prefix)
                              : m_items.upper_bound(after);
    for (; item != m_items.end() && item->first.rfind(prefix, 0) == 0; ++item) {
      truncated = items.size() >= kItemsPerPage || bytes >= kPageBytes;
      if (truncated) {
        break;
      }
      bytes += item->second.m_value.size();
      items.push_back(Row(item->first));
    }
    return {{"items", items},
            {"truncated", truncated},
            {"current_rev", m_revision}};
  }

  void Transact(const Json& body, const EventHttpServer::Respond& respond) {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.value("expected_rev", Json::array())) {
      const std::string key = row.at("key");
      current.push_back(Row(key));
      holds = holds && current.back().at("rev") == row.at("rev");
    }
    if (!holds) {
      Answer(412, {{"items", current}}, respond);
      return;
    }
    const Json puts = body.value("puts", Json::array());
    for (const Json& put : puts) {
      const std::int64_t lease = put.value("lease", std::int64_t{0});
      const bool too_large =
          put.at("value").get_ref<const std::string&>().size() * 3 / 4 >
          kValueBytes;
      if (too_large || (lease != 0 && m_leases.count(lease) == 0)) {
        Answer(too_large ? 400 : 404, Json::object(), respond);
        return;
      }
    }
    const std::int64_t revision = ++m_revision;
    for (const Json& put : puts) {
      Write(put.at("key"), DecodeBase64(put.at("value")),
            put.value("lease", std::int64_t{0}));
    }
    for (const Json& key : body.value("remove", Json::array())) {
      Erase(key);
    }
    Answer(200, {{"rev", revision}}, respond);
  }

  // At the current revision.
  void Write(const std::string& key, std::string value, std::int64_t lease) {
    Item& item = m_items[key];
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    item.m_value = std::move(value);
    item.m_revision = m_revision;
    item.m_lease = lease;
    m_events.push_back({m_revision, key, Row(key)});
  }

  void Erase(const std::string& key) {
    if (m_items.erase(key) != 0) {
      ++m_revision;
      m_events.push_back(
          {m_revision,
           key,
           {{"key", key}, {"rev", m_revision}, {"tombstone", true}}});
    }
  }

  void EndLease(std::int64_t id) {
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
      if (item.m_lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Erase(key);
    }
  }

  void ExpireLeases() {
    std::vector<std::int64_t> expired;
    for (const auto& [id, lease] : m_leases) {
      if (lease.m_until_ms <= NowMs()) {
        expired.push_back(id);
      }
    }
    for (const std::int64_t id : expired) {
      EndLease(id);
    }
  }

  // In the order of their revisions.
  Json EventsAfter(const Watcher& watcher) const {
    auto first = m_events.end();
    while (first != m_events.begin() &&
           std::prev(first)->m_revision > watcher.m_after) {
      --first;
    }
    Json events = Json::array();
    for (; first != m_events.end(); ++first) {
      if (first->m_key.rfind(watcher.m_prefix, 0) == 0) {
        events.push_back(first->m_row);
      }
    }
    return events;
  }

  void ServeWatchers() {
    std::erase_if(m_watchers, [this](const Watcher& watcher) {
      const Json events = EventsAfter(watcher);
      if (events.empty() && NowMs() < watcher.m_until_ms) {
        return false;
      }
      Answer(200, {{"events", events}, {"current_rev", m_revision}},
             watcher.m_respond);
      return true;
    });
  }

  void Tick() {
    ExpireLeases();
    ServeWatchers();
    m_reactor.After(kTickMs, [this] { Tick(); });
  }

  Reactor& m_reactor;
  std::map<std::string, Item> m_items;
  // By revision.
  std::vector<Event> m_events;
  std::map<std::int64_t, Lease> m_leases;
  std::list<Watcher> m_watchers;
  std::int64_t m_revision = 10;
  std::int64_t m_last_lease = 100;
  const Endpoint m_address;
  EventHttpServer m_server;
};

}  // namespace bed
