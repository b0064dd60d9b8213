// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store") and of the operator and the workers who write to it.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

using Json = nlohmann::json;

inline std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string Base64Encode(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t block = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      block = block << 8U |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k <= bytes.size() ? kDigits[block >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return out;
}

inline std::string Base64Decode(const std::string& text) {
  std::string out;
  std::uint32_t block = 0;
  int bits = 0;
  for (const char c : text) {
    std::uint32_t digit = 0;
    if (c >= 'A' && c <= 'Z') {
      digit = static_cast<std::uint32_t>(c - 'A');
    } else if (c >= 'a' && c <= 'z') {
      digit = static_cast<std::uint32_t>(c - 'a' + 26);
    } else if (c >= '0' && c <= '9') {
      digit = static_cast<std::uint32_t>(c - '0' + 52);
    } else if (c == '+' || c == '/') {
      digit = c == '+' ? 62 : 63;
    } else {
      break;
    }
    block = block << 6U | digit;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(block >> static_cast<unsigned>(bits) & 255U);
    }
  }
  return out;
}

class Store {
 public:
  // Looks at each call before it is handled. A response is sent in place of
  // the store's own.
  using Fault = std::function<std::optional<Response>(const Request&)>;

  Store()
      : m_server([this](const Request& request) { return Handle(request); }),
        m_ticking([this] { Tick(); }) {}
  ~Store() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
      m_changed.notify_all();
    }
    m_ticking.join();
    m_server.Stop();
  }
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::uint16_t Port() const { return m_server.Port(); }

  void Put(const std::string& key, const Json& value) {
    const std::lock_guard lock(m_mutex);
    ++m_revision;
    Write(key, value.dump(), 0);
    m_changed.notify_all();
  }

  void Remove(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Erase(key);
    m_changed.notify_all();
  }

  bool Has(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    return m_items.count(key) != 0;
  }

  // The value of the key; empty if it does not exist.
  std::string Value(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? "" : found->second.m_value;
  }

  void SetFault(Fault fault) {
    const std::lock_guard lock(m_mutex);
    m_fault = std::move(fault);
  }

 private:
  static constexpr std::size_t kPageItems = 500;
  static constexpr std::size_t kPageBytes = 1'000'000;
  static constexpr std::int64_t kTickMs = 10;

  struct Item {
    std::string m_value;
    std::int64_t m_revision = 0;
    std::int64_t m_created = 0;
    std::int64_t m_lease = 0;
  };
  struct Event {
    std::string m_key;
    std::int64_t m_revision = 0;
    bool m_removed = false;
    Item m_item;
  };
  struct Lease {
    std::int64_t m_ttl_ms = 0;
    std::int64_t m_ends_ms = 0;
  };

  std::optional<Response> Handle(const Request& request) {
    Fault fault;
    {
      const std::lock_guard lock(m_mutex);
      fault = m_fault;
    }
    if (fault) {
      if (auto response = fault(request)) {
        return response->m_status == 0 ? std::nullopt : response;
      }
    }
    const std::string& path = request.m_path;
    const Json body = request.m_body.empty()
                          ? Json::object()
                          : Json::parse(request.m_body, nullptr, false);
    if (body.is_discarded()) {
      return Response{400, ""};
    }
    if (path == "/api/kv-watch") {
      return Watch(request);
    }
    const std::lock_guard lock(m_mutex);
    if (path == "/api/kv-range") {
      return Range(request);
    }
    if (path == "/api/kv-key") {
      return Key(request);
    }
    if (path == "/api/kv-txn") {
      return Transaction(body);
    }
    return LeaseCall(path, body);
  }

  Response LeaseCall(const std::string& path, const Json& body) {
    const std::int64_t now_ms = SteadyMs();
    if (path == "/api/kv-lease") {
      const std::int64_t ttl_ms = body.value("ttl_ms", std::int64_t{1'000});
      const std::int64_t lease = ++m_last_lease;
      m_leases[lease] = {ttl_ms, now_ms + ttl_ms};
      return {200, Json{{"lease", lease}, {"ttl_ms", ttl_ms}}.dump()};
    }
    const std::size_t slash = path.rfind('/');
    const auto found =
        m_leases.find(std::strtoll(path.c_str() + slash + 1, nullptr, 10));
    if (found == m_leases.end()) {
      return {404, ""};
    }
    const bool renews = path.rfind("/api/kv-keep/", 0) == 0;
    found->second.m_ends_ms = renews ? now_ms + found->second.m_ttl_ms : 0;
    EndLeases(now_ms);
    return {200, "{}"};
  }

  Json ItemJson(const std::string& key) const {
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
      return {{"key", key}, {"rev", 0}};
    }
    return ItemJson(key, found->second);
  }

  static Json ItemJson(const std::string& key, const Item& item) {
    return {{"key", key},
            {"value", Base64Encode(item.m_value)},
            {"rev", item.m_revision},
            {"created", item.m_created},
            {"lease", item.m_lease}};
  }

  static std::string Query(const Request& request, const std::string& name) {
    const auto found = request.m_query.find(name);
    return found == request.m_query.end() ? "" : found->second;
  }

  Response Key(const Request& request) const {
    const std::string key = Query(request, "key");
    return m_items.count(key) == 0 ? Response{404, ""}
                                   : Response{200, ItemJson(key).dump()};
  }

  Response Range(const Request& request) const {
    const std::string prefix = Query(request, "prefix");
    const std::string after = Query(request, "after");
    Json items = Json::array();
    std::size_t bytes = 0;
    bool truncated = false;
    for (auto item = after.empty() ? m_items.lower_bound(prefix)
                                   : m_items.upper_bound(after);
         item != m_items.end() && item->first.rfind(prefix, 0) == 0; ++item) {
      if (items.size() == kPageItems || bytes > kPageBytes) {
        truncated = true;
        break;
      }
      bytes += item->second.m_value.size();
      items.push_back(ItemJson(item->first));
    }
    return {200, Json{{"items", items},
                      {"truncated", truncated},
                      {"current_rev", m_revision}}
                     .dump()};
  }

  Response Watch(const Request& request) {
    const std::string prefix = Query(request, "prefix");
    const std::int64_t after =
        std::strtoll(Query(request, "after").c_str(), nullptr, 10);
    const std::int64_t until_ms =
        SteadyMs() +
        std::strtoll(Query(request, "wait_ms").c_str(), nullptr, 10);
    std::unique_lock lock(m_mutex);
    while (true) {
      Json events = Json::array();
      for (const Event& event : m_events) {
        if (event.m_revision > after && event.m_key.rfind(prefix, 0) == 0) {
          events.push_back(event.m_removed
                               ? Json{{"key", event.m_key},
                                      {"rev", event.m_revision},
                                      {"tombstone", true}}
                               : ItemJson(event.m_key, event.m_item));
        }
      }
      const std::int64_t left_ms = until_ms - SteadyMs();
      if (!events.empty() || left_ms <= 0 || m_stopping) {
        return {200,
                Json{{"events", events}, {"current_rev", m_revision}}.dump()};
      }
      m_changed.wait_for(lock, std::chrono::milliseconds(left_ms));
    }
  }

  Response Transaction(const Json& body) {
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.at("expected_rev")) {
      const std::string key = row.at("key");
      const auto found = m_items.find(key);
      const std::int64_t revision =
          found == m_items.end() ? 0 : found->second.m_revision;
      holds = holds && revision == row.at("rev").get<std::int64_t>();
      current.push_back(ItemJson(key));
    }
    if (!holds) {
      return {412, Json{{"items", current}}.dump()};
    }
    for (const Json& put : body.at("puts")) {
      const std::int64_t lease = put.value("lease", std::int64_t{0});
      if (lease != 0 && m_leases.count(lease) == 0) {
        return {404, ""};
      }
    }
    ++m_revision;
    const std::int64_t revision = m_revision;
    for (const Json& put : body.at("puts")) {
      Write(put.at("key"), Base64Decode(put.at("value")),
            put.value("lease", std::int64_t{0}));
    }
    for (const Json& key : body.at("remove")) {
      Erase(key);
    }
    m_changed.notify_all();
    return {200, Json{{"rev", revision}}.dump()};
  }

  void Write(const std::string& key, std::string value, std::int64_t lease) {
    Item& item = m_items[key];
    item.m_value = std::move(value);
    item.m_revision = m_revision;
    item.m_created = item.m_created == 0 ? m_revision : item.m_created;
    item.m_lease = lease;
    m_events.push_back({key, m_revision, false, item});
  }

  void Erase(const std::string& key) {
    if (m_items.erase(key) != 0) {
      m_events.push_back({key, ++m_revision, true, {}});
    }
  }

  void EndLeases(std::int64_t now_ms) {
    std::vector<std::string> keys;
    std::erase_if(m_leases, [&](const auto& lease) {
      if (lease.second.m_ends_ms > now_ms) {
        return false;
      }
      for (const auto& [key, item] : m_items) {
        if (item.m_lease == lease.first) {
          keys.push_back(key);
        }
      }
      return true;
    });
    for (const std::string& key : keys) {
      Erase(key);
      m_changed.notify_all();
    }
  }

  void Tick() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      EndLeases(SteadyMs());
      lock.unlock();
      SleepMs(kTickMs);
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  Fault m_fault;
  bool m_stopping = false;
  std::int64_t m_revision = 1;
  std::int64_t m_last_lease = 0;
  std::map<std::string, Item> m_items;
  std::map<std::int64_t, Lease> m_leases;
  std::vector<Event> m_events;
  HttpServer m_server;
  std::thread m_ticking;
};

}  // namespace review
