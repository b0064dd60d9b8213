// HTTP requests and responses as plain values.
#pragma once

#include <map>
#include <string>

namespace mustardslip {

// Header and query names are kept in lower case.
using HttpFields = std::map<std::string, std::string>;

struct HttpRequest {
  std::string m_method;
  std::string m_path;
  HttpFields m_query;
  HttpFields m_headers;
  std::string m_body;

  bool operator==(const HttpRequest&) const = default;

  // The value of a query parameter, or `fallback` where it is absent.
  std::string Query(const std::string& name,
                    const std::string& fallback = "") const {
    const auto entry = m_query.find(name);
    return entry == m_query.end() ? fallback : entry->second;
  }

  // The value of a header (name in lower case), or `fallback`.
  std::string Header(const std::string& name,
                     const std::string& fallback = "") const {
    const auto entry = m_headers.find(name);
    return entry == m_headers.end() ? fallback : entry->second;
  }
};

struct HttpResponse {
  int m_status = 200;
  HttpFields m_headers;
  std::string m_body;

  bool operator==(const HttpResponse&) const = default;
};

}  // namespace mustardslip
