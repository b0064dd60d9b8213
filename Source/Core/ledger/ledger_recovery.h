// Takeover of a ledger: seals the segments of earlier epochs, so that a resumed
// predecessor cannot add records, and loads their records. Used by
// LedgerWriter.
#pragma once

#include <algorithm>
#include <map>
#include <utility>

#include "ledger/ledger_core.h"
#include "store/key_value_store.h"

namespace mustardslip {

// Lists the segments in the store, seals the unsealed epochs and loads the
// records. Run() fails on a write conflict or a lost answer; it is idempotent,
// and the caller repeats it.
template <KeyValueStore Store>
class LedgerRecovery {
 public:
  LedgerRecovery(std::int64_t shard, Epoch epoch, Store& store)
      : m_shard(shard), m_epoch(epoch), m_store(store) {}

  // Fills `core` after all earlier epochs are sealed and this epoch's first
  // segment is created. Errors: store errors, kConflict if a predecessor is
  // still writing (repeat), kStaleEpoch if a successor has sealed this epoch.
  Result<void> Run(LedgerCore& core, std::int64_t now_unix_s);

 private:
  struct StoredSegment {
    StoreRevision m_version = kAbsent;
    LedgerSegment m_segment;
  };
  using Segments = std::map<SegmentName, StoredSegment>;

  Result<Segments> ReadSegments();
  Result<void> SealEpoch(Segments& segments, Epoch epoch,
                         std::int64_t now_unix_s);
  Result<void> OpenOwnSegment(Segments& segments);
  Result<void> PutSegment(Segments& segments, const SegmentName& name,
                          LedgerSegment segment);
  static Epoch FirstUnsealedEpoch(const Segments& segments);
  static std::optional<SegmentName> LastSegmentOf(const Segments& segments,
                                                  Epoch epoch);

  const std::int64_t m_shard;
  const Epoch m_epoch;
  Store& m_store;
};

template <KeyValueStore Store>
Result<void> LedgerRecovery<Store>::Run(LedgerCore& core,
                                        std::int64_t now_unix_s) {
  Result<Segments> segments = ReadSegments();
  if (!segments) {
    return tl::unexpected(segments.error());
  }
  if (!segments->empty() && segments->rbegin()->first.m_epoch > m_epoch) {
    return Fail(ErrorCode::kStaleEpoch, "superseded");
  }
  for (Epoch epoch = FirstUnsealedEpoch(*segments); epoch < m_epoch; epoch++) {
    Result<void> sealed = SealEpoch(*segments, epoch, now_unix_s);
    if (!sealed) {
      return sealed;
    }
  }
  Result<void> opened = OpenOwnSegment(*segments);
  if (!opened) {
    return opened;
  }
  for (const auto& [name, stored] : *segments) {
    if (name.m_epoch < m_epoch) {
      core.Load(name, stored.m_version, stored.m_segment);
    }
  }
  core.OnSegmentOpened((*segments)[{m_epoch, 0}].m_version);
  return {};
}

// An opened segment limits the work of successors, which seal only from its
// epoch on. It may already exist from an earlier run whose answer was lost.
template <KeyValueStore Store>
Result<void> LedgerRecovery<Store>::OpenOwnSegment(Segments& segments) {
  const std::optional<SegmentName> last = LastSegmentOf(segments, m_epoch);
  if (!last) {
    return PutSegment(segments, {m_epoch, 0}, {});
  }
  if (last->m_number != 0 || segments[*last].m_segment != LedgerSegment{}) {
    return Fail(ErrorCode::kStaleEpoch, "superseded");
  }
  return {};
}

template <KeyValueStore Store>
auto LedgerRecovery<Store>::ReadSegments() -> Result<Segments> {
  const Result<StoreList> list = m_store.List(LedgerPrefix(m_shard));
  if (!list) {
    return tl::unexpected(list.error());
  }
  Segments segments;
  for (const StoreEntry& entry : list->m_entries) {
    const Result<SegmentName> name = ParseSegmentKey(m_shard, entry.m_key);
    if (!name) {
      return tl::unexpected(name.error());
    }
    Result<LedgerSegment> segment = DecodeSegment(entry.m_value);
    if (!segment) {
      return tl::unexpected(segment.error());
    }
    segments[*name] = {entry.m_version, std::move(*segment)};
  }
  return segments;
}

// All epochs before the newest opened one are sealed, because an owner opens
// its first segment only after it has sealed them.
template <KeyValueStore Store>
Epoch LedgerRecovery<Store>::FirstUnsealedEpoch(const Segments& segments) {
  Epoch first = 1;
  for (const auto& [name, stored] : segments) {
    if (stored.m_segment.m_opened) {
      first = std::max(first, name.m_epoch);
    }
  }
  return first;
}

template <KeyValueStore Store>
std::optional<SegmentName> LedgerRecovery<Store>::LastSegmentOf(
    const Segments& segments, Epoch epoch) {
  auto after = segments.lower_bound({epoch + 1, 0});
  if (after == segments.begin()) {
    return std::nullopt;
  }
  --after;
  if (after->first.m_epoch != epoch) {
    return std::nullopt;
  }
  return after->first;
}

template <KeyValueStore Store>
Result<void> LedgerRecovery<Store>::SealEpoch(Segments& segments, Epoch epoch,
                                              std::int64_t now_unix_s) {
  const std::optional<SegmentName> last = LastSegmentOf(segments, epoch);
  if (last && !segments[*last].m_segment.m_opened) {
    return {};  // The marker after the last segment exists: already sealed.
  }
  if (last && !segments[*last].m_segment.m_sealed) {
    LedgerSegment sealed = segments[*last].m_segment;
    sealed.m_sealed = true;
    sealed.m_sealed_unix_s = now_unix_s;
    Result<void> put = PutSegment(segments, *last, std::move(sealed));
    if (!put) {
      return put;
    }
  }
  const SegmentName next{epoch, last ? last->m_number + 1 : 0};
  return PutSegment(segments, next, {false, true, now_unix_s, {}});
}

template <KeyValueStore Store>
Result<void> LedgerRecovery<Store>::PutSegment(Segments& segments,
                                               const SegmentName& name,
                                               LedgerSegment segment) {
  const auto found = segments.find(name);
  const StoreRevision expected =
      found == segments.end() ? kAbsent : found->second.m_version;
  const Result<StoreRevision> version = m_store.Put(
      SegmentKey(m_shard, name), EncodeSegment(segment), expected, "");
  if (!version) {
    return tl::unexpected(version.error());
  }
  segments[name] = {*version, std::move(segment)};
  return {};
}

}  // namespace mustardslip
