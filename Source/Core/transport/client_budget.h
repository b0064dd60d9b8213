// What a process may hold for its clients, over all its servers: bytes and
// connections. When one is used up, the client that holds the most loses a
// connection first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "transport/reactor.h"

namespace mustardslip {

// Limits that a client can exceed.
enum class ClientLimit : std::uint8_t {
  kMemory,         // Bytes held for all clients.
  kConnections,    // Connections of all clients.
  kHeaderBytes,    // Size of one request's head.
  kBodyBytes,      // Size of one request's body.
  kHeaderTimeout,  // Time for one request's head.
  kIdleTimeout,    // Time without a byte in either direction.
  kMalformed,      // Not an HTTP request that the server understands.
};
inline constexpr std::size_t kClientLimits = 7;

// A stable name, for logs and metrics.
std::string_view ToString(ClientLimit limit);

struct ClientBudgetLimits {
  // Both are positive.
  std::size_t m_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t m_connections = std::numeric_limits<std::size_t>::max();

  bool operator==(const ClientBudgetLimits&) const = default;
};

// Not thread-safe.
class ClientBudget {
 public:
  // A connection that can be closed. CloseForLimit calls Close at once.
  class Connection {
   public:
    virtual void CloseForLimit(ClientLimit limit) = 0;

   protected:
    ~Connection() = default;
  };

  struct Account {
    Connection* m_connection = nullptr;
    std::string m_address;
    std::size_t m_bytes = 0;
    // A request is being handled: closing the connection loses its answer.
    bool m_busy = false;
    // Order of the accounts by their last use.
    std::uint64_t m_last_use = 0;
  };

  ClientBudget(Reactor& reactor, ClientBudgetLimits limits)
      : m_reactor(reactor), m_limits(limits) {}

  ClientBudget(const ClientBudget&) = delete;
  ClientBudget& operator=(const ClientBudget&) = delete;

  // Adds a connection of the client at `address`; first closes another one if
  // there are too many. The account is valid until Close.
  Account& Open(Connection& connection, const std::string& address);
  void Close(Account& account);

  // Sets what the connection holds. May close connections, this one included.
  void Charge(Account& account, std::size_t bytes);
  void SetBusy(Account& account, bool busy);

  // Counts a client that met a limit. Logs the client's address, at most one
  // line a second for each limit.
  void OnLimit(ClientLimit limit, const std::string& address);

  std::size_t Bytes() const { return m_bytes; }
  std::size_t Connections() const { return m_accounts.size(); }
  // Times that clients met the limit.
  std::uint64_t Count(ClientLimit limit) const {
    return m_counts.at(static_cast<std::size_t>(limit)).m_total;
  }

 private:
  struct ClientTotals {
    std::size_t m_bytes = 0;
    std::size_t m_connections = 0;
  };
  struct LimitCount {
    std::uint64_t m_total = 0;
    std::uint64_t m_not_logged = 0;
    std::int64_t m_logged_ms = 0;
  };

  // Null if the client has no connection.
  Account* LargestOf(const std::string& address);
  // The connection to close when there are too many: first those without a
  // request in handling, of these the one that holds the most, then the one
  // used longest ago.
  Account* FirstToCloseOf(const std::string& address);
  void EnforceBytes();
  // Closes connections until one more is allowed.
  void MakeRoom();
  void CloseAccount(Account* account, ClientLimit limit);

  Reactor& m_reactor;
  const ClientBudgetLimits m_limits;
  std::list<Account> m_accounts;
  // By address. Invariant: the sums over the accounts of each address; no
  // address without an account is in it.
  std::unordered_map<std::string, ClientTotals> m_clients;
  // Invariant: sum of the accounts' bytes.
  std::size_t m_bytes = 0;
  std::uint64_t m_last_use = 0;
  std::array<LimitCount, kClientLimits> m_counts;
};

}  // namespace mustardslip
