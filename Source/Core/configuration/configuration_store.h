// Reads and changes the stored configuration by compare-and-swap on the head.
//
// Chunks are written first and never changed; the head's compare-and-swap is
// the moment of acceptance. Each chunk key is new, so that a delayed deletion
// or a lost race never touches a chunk that is in use.
#pragma once

#include <fmt/core.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "common/random_id.h"
#include "common/result.h"
#include "configuration/configuration_files.h"
#include "configuration/configuration_head.h"
#include "configuration/head_store.h"
#include "store/key_value_store.h"

namespace mustardslip {

// The configuration with the head and chunk texts that it came from.
struct LoadedConfiguration {
  VersionedHead m_head;
  Configuration m_configuration;
  // By chunk key.
  std::map<std::string, std::string> m_chunk_texts;
};

// The result of Apply.
struct AppliedChange {
  ConfigurationRevision m_revision = 0;
  std::vector<std::string> m_changes;
  VersionedHead m_head;
};

template <KeyValueStore Store>
class ConfigurationStore {
 public:
  // Called with the head that a change is about to replace, before the write is
  // sent. kConflict makes the change start again from a new read; any other
  // error stops it.
  using Permit = std::function<Result<void>(const VersionedHead&)>;

  explicit ConfigurationStore(Store& store)
      : m_store(store), m_head_store(store) {}

  // Reads the chunks that `known` does not hold. Errors: those of the store;
  // kNotFound "chunk_missing" if the head is outdated; kInternal
  // "chunk_damaged" if a chunk does not match its hash.
  Result<LoadedConfiguration> LoadAt(
      VersionedHead head, const std::map<std::string, std::string>& known) {
    LoadedConfiguration loaded;
    std::map<std::string, std::string> by_name;
    for (const ChunkReference& chunk : head.m_head.m_chunks) {
      const auto found = known.find(chunk.m_key);
      Result<std::string> text = found != known.end()
                                     ? Result<std::string>(found->second)
                                     : ReadChunk(chunk);
      if (!text) {
        return tl::unexpected(text.error());
      }
      by_name[chunk.m_name] = *text;
      loaded.m_chunk_texts[chunk.m_key] = std::move(*text);
    }
    if (head.m_head.m_revision > 0) {
      auto joined = JoinChunks(by_name, head.m_head.m_revision);
      if (!joined) {
        return tl::unexpected(joined.error());
      }
      loaded.m_configuration = std::move(*joined);
    }
    loaded.m_head = std::move(head);
    return loaded;
  }

  // Reads the head and all chunks; begins again if the head was replaced in
  // between. Errors as for LoadAt.
  Result<LoadedConfiguration> Load() {
    for (int attempt = 1;; ++attempt) {
      auto head = m_head_store.Read();
      if (!head) {
        return tl::unexpected(head.error());
      }
      auto loaded = LoadAt(std::move(*head), {});
      if (loaded || loaded.error().Code() != ErrorCode::kNotFound ||
          attempt == kLoadAttempts) {
        return loaded;
      }
    }
  }

  // Replaces the configuration if its revision is still `base`.
  // Errors: kInvalidArgument with the problems; kConflict with what changed
  // since `base`; the permit's error; kUnavailable if there was no effect;
  // kUnknownOutcome "change_unresolved" if the change may still take effect.
  Result<AppliedChange> Apply(ConfigurationRevision base,
                              const ConfigurationFiles& files,
                              const Permit& permit = nullptr) {
    auto wanted = ParseConfiguration(files, base + 1);
    if (!wanted) {
      return Fail(ErrorCode::kInvalidArgument, "invalid_configuration",
                  JoinLines(wanted.error()));
    }
    const std::string change_id = RandomHexId();
    // The roster changes under the same key without changing the revision.
    for (int attempt = 1; attempt <= kSwapAttempts; ++attempt) {
      auto loaded = LoadForChange();
      if (!loaded) {
        return NoEffect(loaded.error());
      }
      if (loaded->m_head.m_head.m_revision != base) {
        return Conflict(loaded->m_head.m_head, base);
      }
      const auto changes = Diff(loaded->m_configuration, *wanted);
      if (changes.empty() && base > 0) {
        return AppliedChange{base, {}, loaded->m_head};
      }
      auto swapped = TryApply(*loaded, *wanted, changes, change_id, permit);
      if (!swapped) {
        return tl::unexpected(swapped.error());
      }
      if (swapped->m_outcome == SwapOutcome::kTaken) {
        DeleteExpired(loaded->m_head.m_head.m_retired, base + 1);
        return AppliedChange{base + 1, changes, std::move(swapped->m_head)};
      }
    }
    return Fail(ErrorCode::kUnavailable, "configuration_busy",
                "the head changed at each attempt; apply again");
  }

 private:
  static constexpr int kLoadAttempts = 5;
  static constexpr int kSwapAttempts = 5;
  // Readers that are slower than this many changes start again.
  static constexpr ConfigurationRevision kRetiredRevisions = 8;
  static constexpr std::size_t kKeptChanges = 16;
  static constexpr std::size_t kKeptLines = 20;

  static std::string JoinLines(const std::vector<Problem>& problems) {
    std::string text;
    for (const Problem& problem : problems) {
      text += (text.empty() ? "" : "\n") + ToString(problem);
    }
    return text;
  }

  // As Load(), but a configuration with damaged chunks counts as empty and all
  // its chunks as changed, so that a change can replace them.
  Result<LoadedConfiguration> LoadForChange() {
    auto loaded = Load();
    if (loaded || !IsDamage(loaded.error())) {
      return loaded;
    }
    auto head = m_head_store.Read();
    if (!head) {
      return tl::unexpected(head.error());
    }
    for (ChunkReference& chunk : head->m_head.m_chunks) {
      chunk.m_hash.clear();
    }
    return LoadedConfiguration{std::move(*head), {}, {}};
  }

  static bool IsDamage(const Error& error) {
    return error.Reason() == "chunk_damaged" ||
           error.Reason() == "chunk_malformed" ||
           error.Reason() == "chunk_missing";
  }

  // Reads of an attempted change have no effect, whatever went wrong.
  static tl::unexpected<Error> NoEffect(const Error& error) {
    return Fail(ErrorCode::kUnavailable, error.Reason(), error.Message());
  }

  static tl::unexpected<Error> Conflict(const ConfigurationHead& head,
                                        ConfigurationRevision base) {
    std::string text;
    if (head.m_changes.empty() ||
        head.m_changes.front().m_revision > base + 1) {
      text = "older changes are no longer recorded\n";
    }
    for (const ChangeRecord& change : head.m_changes) {
      for (const std::string& line : change.m_lines) {
        if (change.m_revision > base) {
          text += fmt::format("revision {}: {}\n", change.m_revision, line);
        }
      }
    }
    return Fail(ErrorCode::kConflict, "conflict", text);
  }

  Result<std::string> ReadChunk(const ChunkReference& chunk) {
    auto read = m_store.Get(chunk.m_key);
    if (!read) {
      return tl::unexpected(read.error());
    }
    if (!read->m_entry) {
      return Fail(ErrorCode::kNotFound, "chunk_missing", chunk.m_key);
    }
    if (HashHex128(read->m_entry->m_value) != chunk.m_hash) {
      return Fail(ErrorCode::kInternal, "chunk_damaged", chunk.m_key);
    }
    return std::move(read->m_entry->m_value);
  }

  // kTaken and kLost are outcomes; everything else is an error.
  Result<HeadSwap> TryApply(const LoadedConfiguration& loaded,
                            const Configuration& wanted,
                            const std::vector<std::string>& changes,
                            const std::string& change_id,
                            const Permit& permit) {
    std::vector<std::string> written;
    auto next = WriteChunks(loaded.m_head.m_head, wanted, written);
    if (!next) {
      DeleteKeys(written);
      return NoEffect(next.error());
    }
    AddChange(*next, {wanted.Revision(), change_id, changes});
    if (permit) {
      auto permitted = permit(loaded.m_head);
      if (!permitted) {
        DeleteKeys(written);
        if (permitted.error().Code() == ErrorCode::kConflict) {
          return HeadSwap{SwapOutcome::kLost, {}};
        }
        return tl::unexpected(permitted.error());
      }
    }
    HeadSwap swapped = m_head_store.Swap(loaded.m_head, *next);
    if (swapped.m_outcome == SwapOutcome::kUnresolved) {
      return Fail(ErrorCode::kUnknownOutcome, "change_unresolved",
                  "read the configuration before applying again");
    }
    if (swapped.m_outcome != SwapOutcome::kTaken) {
      DeleteKeys(written);
    }
    if (swapped.m_outcome == SwapOutcome::kNoEffect) {
      return Fail(ErrorCode::kUnavailable, "store_unavailable");
    }
    return swapped;
  }

  static const ChunkReference* FindChunk(const ConfigurationHead& head,
                                         const std::string& name,
                                         const std::string& hash) {
    const auto found =
        std::find_if(head.m_chunks.begin(), head.m_chunks.end(),
                     [&name, &hash](const ChunkReference& chunk) {
                       return chunk.m_name == name && chunk.m_hash == hash;
                     });
    return found == head.m_chunks.end() ? nullptr : &*found;
  }

  // Writes the chunks that differ from those of `current`, and returns the next
  // head without its change record.
  Result<ConfigurationHead> WriteChunks(const ConfigurationHead& current,
                                        const Configuration& wanted,
                                        std::vector<std::string>& written) {
    ConfigurationHead next = current;
    next.m_revision = wanted.Revision();
    next.m_chunks.clear();
    for (const auto& [name, text] : SplitIntoChunks(wanted)) {
      const std::string hash = HashHex128(text);
      const ChunkReference* same = FindChunk(current, name, hash);
      if (same != nullptr) {
        next.m_chunks.push_back(*same);
        continue;
      }
      auto key = WriteChunk(hash, text, written);
      if (!key) {
        return tl::unexpected(key.error());
      }
      next.m_chunks.push_back({name, *key, hash});
    }
    RetireUnused(current, next);
    return next;
  }

  Result<std::string> WriteChunk(const std::string& hash,
                                 const std::string& text,
                                 std::vector<std::string>& written) {
    const std::string key = fmt::format("{}{}.{}", kConfigurationChunkPrefix,
                                        hash, RandomHexId().substr(0, 8));
    written.push_back(key);
    auto put = m_store.Put(key, text, kAbsent, "");
    if (!put && put.error().HadNoEffect()) {
      return tl::unexpected(put.error());
    }
    if (!put) {
      auto read = ReadChunk({"", key, hash});
      if (!read) {
        return tl::unexpected(read.error());
      }
    }
    return key;
  }

  static void RetireUnused(const ConfigurationHead& current,
                           ConfigurationHead& next) {
    std::erase_if(next.m_retired, [&next](const RetiredChunk& chunk) {
      return IsExpired(chunk, next.m_revision);
    });
    for (const ChunkReference& chunk : current.m_chunks) {
      const bool kept = std::find(next.m_chunks.begin(), next.m_chunks.end(),
                                  chunk) != next.m_chunks.end();
      if (!kept) {
        next.m_retired.push_back({chunk.m_key, next.m_revision});
      }
    }
  }

  static bool IsExpired(const RetiredChunk& chunk,
                        ConfigurationRevision revision) {
    return chunk.m_since + kRetiredRevisions <= revision;
  }

  static void AddChange(ConfigurationHead& head, ChangeRecord change) {
    if (change.m_lines.size() > kKeptLines) {
      const std::size_t more = change.m_lines.size() - kKeptLines;
      change.m_lines.resize(kKeptLines);
      change.m_lines.push_back(fmt::format("and {} more", more));
    }
    head.m_changes.push_back(std::move(change));
    if (head.m_changes.size() > kKeptChanges) {
      head.m_changes.erase(head.m_changes.begin());
    }
  }

  void DeleteExpired(const std::vector<RetiredChunk>& retired,
                     ConfigurationRevision revision) {
    for (const RetiredChunk& chunk : retired) {
      if (IsExpired(chunk, revision)) {
        DeleteKeys({chunk.m_key});
      }
    }
  }

  // A failure leaves an unused chunk behind, which does no harm.
  void DeleteKeys(const std::vector<std::string>& keys) {
    for (const std::string& key : keys) {
      auto read = m_store.Get(key);
      if (read && read->m_entry) {
        (void)m_store.Delete(key, read->m_entry->m_version);
      }
    }
  }

  Store& m_store;
  HeadStore<Store> m_head_store;
};

}  // namespace mustardslip
