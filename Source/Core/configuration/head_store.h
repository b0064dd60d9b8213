// Reads and replaces the stored head of the configuration.
#pragma once

#include <algorithm>
#include <string>
#include <utility>

#include "common/result.h"
#include "configuration/configuration_head.h"
#include "store/key_value_store.h"

namespace mustardslip {

// The outcome of one compare-and-swap of the head.
enum class SwapOutcome {
  kTaken,       // It took effect.
  kLost,        // Another write came first; it can never take effect.
  kNoEffect,    // It was never delivered.
  kUnresolved,  // It may take effect now or later.
};

struct HeadSwap {
  SwapOutcome m_outcome = SwapOutcome::kNoEffect;
  VersionedHead m_head;  // Set for kTaken.
};

template <KeyValueStore Store>
class HeadStore {
 public:
  explicit HeadStore(Store& store) : m_store(store) {}

  // Errors: those of the store, and kInternal for a malformed head.
  Result<VersionedHead> Read() {
    auto read = m_store.Get(kConfigurationHeadKey);
    if (!read) {
      return tl::unexpected(read.error());
    }
    if (!read->m_entry) {
      return VersionedHead{};
    }
    auto head = DecodeHead(read->m_entry->m_value);
    if (!head) {
      return tl::unexpected(head.error());
    }
    return VersionedHead{std::move(*head), read->m_entry->m_version};
  }

  // Replaces the head's content under its version. A lost answer is resolved by
  // reading back; while the head is unchanged the same write is sent again,
  // since a delayed one could still take effect.
  HeadSwap Swap(const VersionedHead& current, const ConfigurationHead& wanted) {
    const std::string text = EncodeHead(wanted);
    bool may_be_pending = false;
    for (int attempt = 1; attempt <= kSwapAttempts; ++attempt) {
      auto put =
          m_store.Put(kConfigurationHeadKey, text, current.m_version, "");
      if (put) {
        return {SwapOutcome::kTaken, {wanted, *put}};
      }
      if (put.error().Code() == ErrorCode::kConflict) {
        return may_be_pending ? ReadBack(current, wanted)
                              : HeadSwap{SwapOutcome::kLost, {}};
      }
      may_be_pending = may_be_pending || !put.error().HadNoEffect();
      if (!may_be_pending) {
        return {SwapOutcome::kNoEffect, {}};
      }
    }
    return ReadBack(current, wanted);
  }

 private:
  static constexpr int kSwapAttempts = 5;

  // Looks for the outcome of a write that may have taken effect. While the head
  // is unchanged, the write can still take effect.
  HeadSwap ReadBack(const VersionedHead& current,
                    const ConfigurationHead& wanted) {
    auto head = Read();
    if (!head || head->m_version == current.m_version) {
      return {SwapOutcome::kUnresolved, {}};
    }
    const bool is_ours = head->m_head == wanted ||
                         HasNewChange(current.m_head, wanted, head->m_head);
    return is_ours ? HeadSwap{SwapOutcome::kTaken, std::move(*head)}
                   : HeadSwap{SwapOutcome::kLost, {}};
  }

  // True if `wanted` adds a change to `current` that is part of `found`,
  // possibly under later changes.
  static bool HasNewChange(const ConfigurationHead& current,
                           const ConfigurationHead& wanted,
                           const ConfigurationHead& found) {
    if (wanted.m_revision == current.m_revision) {
      return false;
    }
    const std::string& id = wanted.m_changes.back().m_change_id;
    return std::any_of(
        found.m_changes.begin(), found.m_changes.end(),
        [&id](const ChangeRecord& change) { return change.m_change_id == id; });
  }

  Store& m_store;
};

}  // namespace mustardslip
