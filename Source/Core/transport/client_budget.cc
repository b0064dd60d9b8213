// Chooses which connection to close. Each choice looks at all connections, of
// which there are a few hundred.
#include "transport/client_budget.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "common/logger.h"
#include "common/result.h"

namespace mustardslip {
namespace {

constexpr std::int64_t kLogIntervalMs = 1'000;

constexpr std::array<std::string_view, kClientLimits> kLimitNames = {
    "memory",         "connections",  "header_bytes", "body_bytes",
    "header_timeout", "idle_timeout", "malformed"};

}  // namespace

std::string_view ToString(ClientLimit limit) {
  return kLimitNames.at(static_cast<std::size_t>(limit));
}

ClientBudget::Account& ClientBudget::Open(Connection& connection,
                                          const std::string& address) {
  MakeRoom();
  Account& account = m_accounts.emplace_back();
  account.m_connection = &connection;
  account.m_address = address;
  account.m_last_use = ++m_last_use;
  ++m_clients[address].m_connections;
  return account;
}

void ClientBudget::Close(Account& account) {
  const auto client = m_clients.find(account.m_address);
  m_bytes -= account.m_bytes;
  client->second.m_bytes -= account.m_bytes;
  if (--client->second.m_connections == 0) {
    m_clients.erase(client);
  }
  const auto found =
      std::find_if(m_accounts.begin(), m_accounts.end(),
                   [&](const Account& one) { return &one == &account; });
  m_accounts.erase(found);
}

void ClientBudget::Charge(Account& account, std::size_t bytes) {
  ClientTotals& client = m_clients.at(account.m_address);
  client.m_bytes += bytes - account.m_bytes;
  m_bytes += bytes - account.m_bytes;
  account.m_bytes = bytes;
  account.m_last_use = ++m_last_use;
  EnforceBytes();
}

void ClientBudget::SetBusy(Account& account, bool busy) {
  account.m_busy = busy;
}

void ClientBudget::OnLimit(ClientLimit limit, const std::string& address) {
  LimitCount& count = m_counts.at(static_cast<std::size_t>(limit));
  ++count.m_total;
  const std::int64_t now_ms = m_reactor.Now().m_steady_ms;
  if (count.m_logged_ms != 0 && now_ms - count.m_logged_ms < kLogIntervalMs) {
    ++count.m_not_logged;
    return;
  }
  Log(LogLevel::kWarning, LogCategory::kTransport, "client_limit",
      {{"limit", ToString(limit)},
       {"address", address},
       {"not_logged", count.m_not_logged},
       {"held_bytes", m_bytes},
       {"connections", m_accounts.size()}});
  count.m_logged_ms = now_ms;
  count.m_not_logged = 0;
}

ClientBudget::Account* ClientBudget::LargestOf(const std::string& address) {
  Account* largest = nullptr;
  for (Account& account : m_accounts) {
    if (account.m_address == address &&
        (largest == nullptr || account.m_bytes > largest->m_bytes)) {
      largest = &account;
    }
  }
  return largest;
}

ClientBudget::Account* ClientBudget::FirstToCloseOf(
    const std::string& address) {
  const auto rank = [](const Account& account) {
    return std::tuple(account.m_busy,
                      std::numeric_limits<std::size_t>::max() - account.m_bytes,
                      account.m_last_use);
  };
  Account* first = nullptr;
  for (Account& account : m_accounts) {
    if (account.m_address == address &&
        (first == nullptr || rank(account) < rank(*first))) {
      first = &account;
    }
  }
  return first;
}

void ClientBudget::EnforceBytes() {
  while (m_bytes > m_limits.m_bytes) {
    const auto largest = std::max_element(
        m_clients.begin(), m_clients.end(), [](const auto& a, const auto& b) {
          return a.second.m_bytes < b.second.m_bytes;
        });
    CloseAccount(LargestOf(largest->first), ClientLimit::kMemory);
  }
}

void ClientBudget::MakeRoom() {
  while (m_accounts.size() >= m_limits.m_connections) {
    const auto largest = std::max_element(
        m_clients.begin(), m_clients.end(), [](const auto& a, const auto& b) {
          return a.second.m_connections < b.second.m_connections;
        });
    CloseAccount(FirstToCloseOf(largest->first), ClientLimit::kConnections);
  }
}

void ClientBudget::CloseAccount(Account* account, ClientLimit limit) {
  Invariant(account != nullptr, "a client without a connection");
  const std::size_t before = m_accounts.size();
  OnLimit(limit, account->m_address);
  account->m_connection->CloseForLimit(limit);
  Invariant(m_accounts.size() < before, "the connection stayed open");
}

}  // namespace mustardslip
