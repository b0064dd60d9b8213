// Fakes for the ledger and jobs tests: a store with fault injection and a group
// channel whose calls are answered by the test.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/group_channel.h"
#include "store/key_value_store.h"

namespace mustardslip {

enum class StoreFault {
  kNone,
  kDown,          // No effect.
  kLostAnswer,    // The effect takes place, the answer is kTimeout.
  kTimeout,       // kTimeout without an effect.
  kDelayedWrite,  // kTimeout; the effect takes place at DeliverDelayedWrites().
};

// Thread-safe.
class TestStore {
 public:
  // `choose_fault` is called before each store call.
  void SetFaults(std::function<StoreFault(bool is_write)> choose_fault) {
    const std::lock_guard lock(m_mutex);
    m_choose_fault = std::move(choose_fault);
  }
  // Applies the delayed writes in their original order.
  void DeliverDelayedWrites() {
    const std::lock_guard lock(m_mutex);
    for (const auto& write : std::exchange(m_delayed, {})) {
      write();
    }
  }
  const std::map<std::string, StoreEntry>& Entries() const { return m_entries; }
  int Writes() const { return m_writes; }

  Result<StoreRead> Get(const std::string& key) {
    const std::lock_guard lock(m_mutex);
    if (ChooseFault(false) != StoreFault::kNone) {
      return Fail(ErrorCode::kUnavailable, "down");
    }
    const auto found = m_entries.find(key);
    if (found == m_entries.end()) {
      return StoreRead{std::nullopt, m_revision};
    }
    return StoreRead{found->second, m_revision};
  }

  Result<StoreList> List(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    if (ChooseFault(false) != StoreFault::kNone) {
      return Fail(ErrorCode::kUnavailable, "down");
    }
    StoreList list{{}, m_revision};
    for (const auto& [key, entry] : m_entries) {
      if (key.starts_with(prefix)) {
        list.m_entries.push_back(entry);
      }
    }
    return list;
  }

  Result<StoreRevision> Put(const std::string& key, const std::string& value,
                            StoreRevision expected, const StoreLeaseId&) {
    return Write(
        [this, key, value, expected] { return Apply(key, value, expected); });
  }

  Result<StoreRevision> Delete(const std::string& key, StoreRevision expected) {
    return Write(
        [this, key, expected] { return Apply(key, std::nullopt, expected); });
  }

  Result<StoreWatch> Watch(const std::string&, StoreRevision, Milliseconds) {
    return StoreWatch{};
  }
  Result<StoreLeaseId> GrantLease(Milliseconds) { return StoreLeaseId("1"); }
  Result<void> RenewLease(const StoreLeaseId&) { return {}; }
  Result<void> RevokeLease(const StoreLeaseId&) { return {}; }

 private:
  using WriteCall = std::function<Result<StoreRevision>()>;

  StoreFault ChooseFault(bool is_write) {
    return m_choose_fault ? m_choose_fault(is_write) : StoreFault::kNone;
  }

  Result<StoreRevision> Write(WriteCall write) {
    const std::lock_guard lock(m_mutex);
    m_writes++;
    switch (ChooseFault(true)) {
      case StoreFault::kNone:
        return write();
      case StoreFault::kDown:
        return Fail(ErrorCode::kUnavailable, "down");
      case StoreFault::kLostAnswer:
        write();
        break;
      case StoreFault::kDelayedWrite:
        m_delayed.push_back(std::move(write));
        break;
      case StoreFault::kTimeout:
        break;
    }
    return Fail(ErrorCode::kTimeout, "lost");
  }

  Result<StoreRevision> Apply(const std::string& key,
                              const std::optional<std::string>& value,
                              StoreRevision expected) {
    const auto found = m_entries.find(key);
    const StoreRevision version =
        found == m_entries.end() ? kAbsent : found->second.m_version;
    if (version != expected) {
      return Fail(ErrorCode::kConflict, "version");
    }
    m_revision++;
    if (value) {
      m_entries[key] = {key, *value, m_revision};
    } else {
      m_entries.erase(key);
    }
    return m_revision;
  }

  std::mutex m_mutex;
  std::map<std::string, StoreEntry> m_entries;
  std::function<StoreFault(bool)> m_choose_fault;
  std::vector<WriteCall> m_delayed;
  StoreRevision m_revision = 0;
  int m_writes = 0;
};

struct GroupCall {
  std::string m_group;
  std::string m_method;
  RpcMessage m_message;
  RpcCallback m_done;
};

// Thread-safe. Calls are queued until the test answers them, or are answered
// immediately as by a healthy group without tasks.
class TestGroups {
 public:
  TestGroups() : m_summaries({MakeSummary("z1")}) {}

  static GroupSummary MakeSummary(const std::string& name) {
    GroupSummary summary;
    summary.m_group = name;
    summary.m_epoch = 1;
    summary.m_ready = true;
    summary.m_total = {640'000, 1'280'000, 8};
    summary.m_free = summary.m_total;
    summary.m_largest_vm = {64'000, 128'000, 8};
    return summary;
  }

  void AnswerImmediately() { m_answer_immediately = true; }
  void SetSummaries(std::vector<GroupSummary> summaries) {
    const std::lock_guard lock(m_mutex);
    m_summaries = std::move(summaries);
  }

  std::vector<GroupSummary> Summaries() {
    const std::lock_guard lock(m_mutex);
    return m_summaries;
  }

  void Call(const std::string& group, const std::string& method,
            const RpcMessage& message, Milliseconds, RpcCallback done) {
    {
      const std::lock_guard lock(m_mutex);
      if (method == "Place") {
        const auto request = ReadHeader<PlaceRequest>(message);
        m_placed.insert(m_placed.end(), request->m_attempts.begin(),
                        request->m_attempts.end());
      }
      if (!m_answer_immediately) {
        m_calls.push_back({group, method, message, std::move(done)});
        return;
      }
    }
    done(method == "FenceTeam" ? MakeMessage(FenceTeamReply{}) : RpcMessage{});
  }

  // Removes and returns all unanswered calls.
  std::vector<GroupCall> TakeCalls() {
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_calls, {});
  }
  // Returns the attempts of all Place calls so far.
  std::vector<AttemptSpec> PlacedAttempts() {
    const std::lock_guard lock(m_mutex);
    return m_placed;
  }

 private:
  std::mutex m_mutex;
  std::vector<GroupSummary> m_summaries;
  std::vector<GroupCall> m_calls;
  std::vector<AttemptSpec> m_placed;
  bool m_answer_immediately = false;
};

static_assert(KeyValueStore<TestStore>);
static_assert(GroupChannel<TestGroups>);

}  // namespace mustardslip
