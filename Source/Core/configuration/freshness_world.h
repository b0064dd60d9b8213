// A simulated store, processes and network around FreshnessCore, for tests.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/freshness_core.h"

namespace mustardslip {

// A store with one head, and processes that read, change and lose it.
class FreshnessWorld {
 public:
  struct Process {
    std::unique_ptr<FreshnessCore> m_core;
    bool m_alive = true;
    bool m_paused = false;
    bool m_store_cut = false;
  };
  struct Message {
    std::size_t m_from;
    std::size_t m_to;
    FreshnessQuery m_query;
    std::optional<FreshnessReport> m_report;  // Set on the way back.
    TimePoint m_asked_at;
  };

  explicit FreshnessWorld(std::size_t processes) {
    for (std::size_t i = 0; i < processes; ++i) {
      AddProcess(i);
    }
  }

  void AddProcess(std::size_t slot) {
    const std::string id =
        std::to_string(slot) + "-" + std::to_string(m_incarnation++);
    if (slot == m_processes.size()) {
      m_processes.emplace_back();
    }
    m_processes[slot].m_core =
        std::make_unique<FreshnessCore>(id, "address-" + std::to_string(slot));
    m_processes[slot].m_alive = true;
    m_processes[slot].m_paused = false;
    m_ids[slot] = id;
  }

  FreshnessCore& Core(std::size_t slot) { return *m_processes[slot].m_core; }
  Process& At(std::size_t slot) { return m_processes[slot]; }
  const std::string& Id(std::size_t slot) { return m_ids[slot]; }
  bool Runs(std::size_t slot) const {
    return m_processes[slot].m_alive && !m_processes[slot].m_paused;
  }
  bool ReachesStore(std::size_t slot) const {
    return Runs(slot) && !m_store_down && !m_processes[slot].m_store_cut;
  }

  void ReadHead(std::size_t slot) {
    if (ReachesStore(slot)) {
      Core(slot).OnHead(m_head, m_now, m_now);
      Core(slot).OnLoaded(m_head.m_head.m_revision);
    }
  }

  void SwapRoster(std::size_t slot, bool delayed) {
    if (!Runs(slot)) {
      return;
    }
    const auto next = Core(slot).NextRoster(m_now);
    if (!next) {
      return;
    }
    const StoreRevision expected = Core(slot).Head().m_version;
    if (delayed || !ReachesStore(slot)) {
      m_delayed.push_back({expected, *next});
      return;
    }
    if (Write(expected, *next)) {
      ReadHead(slot);
    }
  }

  // Sends a change. Its write is delivered, delivered without an answer, or
  // delayed; a delayed one keeps the change unresolved.
  void Change(std::size_t slot, int delivery) {
    if (!Runs(slot) || !Core(slot).BeginApply(Core(slot).Head())) {
      return;
    }
    const StoreRevision expected = Core(slot).Head().m_version;
    ConfigurationHead next = Core(slot).Head().m_head;
    ++next.m_revision;
    if (delivery == 0 && ReachesStore(slot)) {
      if (Write(expected, next)) {
        ReadHead(slot);
      }
      Core(slot).EndApply(/*unresolved=*/false);
      return;
    }
    if (delivery == 1 && ReachesStore(slot)) {
      Write(expected, next);
    } else {
      m_delayed.push_back({expected, next});
    }
    Core(slot).EndApply(/*unresolved=*/true);
  }

  void DeliverDelayedWrite() {
    if (!m_delayed.empty() && !m_store_down) {
      Write(m_delayed.front().first, m_delayed.front().second);
      m_delayed.pop_front();
    }
  }

  // The member that `from` believes to be at the address of `to`.
  std::string MemberAt(std::size_t from, std::size_t to) {
    const std::string address = "address-" + std::to_string(to);
    for (const RosterMember& member : Core(from).Head().m_head.m_roster) {
      if (member.m_address == address) {
        return member.m_id;
      }
    }
    return Id(to);
  }

  void Ask(std::size_t from, std::size_t to) {
    if (Runs(from)) {
      m_messages.push_back(
          {from, to, Core(from).MakeQuery(Id(to), m_now), std::nullopt, m_now});
      m_senders.push_back({Id(from), Id(to)});
    }
  }

  // Delivers one message; out of order if `index` is not 0.
  void Deliver(std::size_t index, bool lost) {
    if (m_messages.empty()) {
      return;
    }
    index %= m_messages.size();
    Message message = m_messages[index];
    const auto [from_id, to_id] = m_senders[index];
    const auto offset = static_cast<std::ptrdiff_t>(index);
    m_messages.erase(m_messages.begin() + offset);
    m_senders.erase(m_senders.begin() + offset);
    const std::size_t receiver =
        message.m_report ? message.m_from : message.m_to;
    const std::string& receiver_id = message.m_report ? from_id : to_id;
    // A query reaches whichever process has the address now.
    const bool is_gone = message.m_report && Id(receiver) != receiver_id;
    if (lost || !Runs(receiver) || is_gone) {
      return;
    }
    if (message.m_report) {
      Core(receiver).OnReport(to_id, *message.m_report, message.m_asked_at,
                              m_now);
      return;
    }
    message.m_report = Core(receiver).OnQuery(message.m_query, m_now);
    m_messages.push_back(message);
    m_senders.push_back({from_id, to_id});
  }

  // All processes ask each other at once; only the pairs whose bit of `pairs`
  // is set reach each other.
  void Gossip(std::uint32_t pairs = ~0U) {
    for (std::size_t from = 0; from < m_processes.size(); ++from) {
      for (std::size_t to = 0; to < m_processes.size(); ++to) {
        const std::size_t pair = from * m_processes.size() + to;
        if (from == to || !Runs(from)) {
          continue;
        }
        const std::string member = MemberAt(from, to);
        const auto query = Core(from).MakeQuery(member, m_now);
        if (Runs(to) && (pairs >> pair) % 2 == 1) {
          const auto report = Core(to).OnQuery(query, m_now);
          Core(from).OnReport(member, report, m_now, m_now);
        }
      }
    }
  }

  // A process cannot reach another for so long that it removes it.
  void RemoveUnreachable(std::size_t slot, std::size_t other, bool delayed) {
    if (!Runs(slot)) {
      return;
    }
    for (int i = 0; i < kUnansweredQueries; ++i) {
      (void)Core(slot).MakeQuery(MemberAt(slot, other), m_now);
    }
    m_now += kUnreachableRemoval;
    ReadHead(slot);
    SwapRoster(slot, delayed);
  }

  void Restart(std::size_t slot) {
    AddProcess(slot);
    ReadHead(slot);
    SwapRoster(slot, false);
  }

  // Normal operation until all know each other and revision 1 is in force.
  void Settle() {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t i = 0; i < m_processes.size(); ++i) {
        ReadHead(i);
        SwapRoster(i, false);
      }
    }
    Change(0, 0);
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
      ReadHead(i);
    }
    Gossip();
  }

  void Advance(Milliseconds step) { m_now += step; }
  TimePoint Now() const { return m_now; }
  void SetStoreDown(bool down) { m_store_down = down; }
  ConfigurationRevision Revision() const { return m_head.m_head.m_revision; }

  // The requirement, for all running processes, now and after some idle time.
  bool IsSafe() const {
    return IsSafeAt(m_now) && IsSafeAt(m_now + kMaxProofAge) &&
           IsSafeAt(m_now + std::chrono::minutes(30));
  }

  bool IsSafeAt(TimePoint now) const {
    for (const Process& process : m_processes) {
      if (!process.m_alive || process.m_paused) {
        continue;
      }
      const FreshnessVerdict verdict = process.m_core->Verdict(now);
      const auto superseded = m_accepted.find(verdict.m_revision + 1);
      if (verdict.MayHonourKeys() && superseded != m_accepted.end() &&
          now - superseded->second >= kMaxProofAge) {
        return false;
      }
    }
    return true;
  }

 private:
  bool Write(StoreRevision expected, const ConfigurationHead& next) {
    if (expected != m_head.m_version) {
      return false;
    }
    if (next.m_revision > m_head.m_head.m_revision) {
      m_accepted[next.m_revision] = m_now;
    }
    m_head = {next, m_head.m_version + 1};
    return true;
  }

  TimePoint m_now{std::chrono::seconds(1'000)};
  VersionedHead m_head;
  bool m_store_down = false;
  std::vector<Process> m_processes;
  std::map<std::size_t, std::string> m_ids;
  int m_incarnation = 0;
  std::deque<Message> m_messages;
  std::deque<std::pair<std::string, std::string>> m_senders;
  std::deque<std::pair<StoreRevision, ConfigurationHead>> m_delayed;
  std::map<ConfigurationRevision, TimePoint> m_accepted;
};

}  // namespace mustardslip
