// Checks a peer's snapshot before it is taken over.
#include "configuration/configuration_snapshot.h"

#include <utility>

#include "common/random_id.h"

namespace mustardslip {

Result<VersionedHead> CheckSnapshot(const ConfigurationSnapshot& snapshot) {
  auto head = DecodeHead(snapshot.m_head);
  if (!head) {
    return tl::unexpected(head.error());
  }
  for (const ChunkReference& chunk : head->m_chunks) {
    const auto found = snapshot.m_chunks.find(chunk.m_key);
    if (found == snapshot.m_chunks.end() ||
        HashHex128(found->second) != chunk.m_hash) {
      return Fail(ErrorCode::kInternal, "chunk_damaged", chunk.m_key);
    }
  }
  return VersionedHead{std::move(*head), snapshot.m_version};
}

}  // namespace mustardslip
