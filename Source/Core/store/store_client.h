// The client of the platform's key-value store over HTTP.
//
// Paths (all values in the query are percent-encoded):
//   GET    /v1/kv?key=             value as the body, X-Version, X-Revision;
//                                  X-Version 0 and no body if absent
//   PUT    /v1/kv?key=&expected=&lease=   value as the body; X-Revision is the
//                                  new version
//   DELETE /v1/kv?key=&expected=   X-Revision
//   GET    /v1/list?prefix=        JSON packet: revision, entries of key and
//                                  version; the values are the byte strings
//   GET    /v1/watch?prefix=&since=&limit_ms=   JSON: changed, revision
//   POST   /v1/leases?ttl_ms=      JSON: lease
//   POST   /v1/leases/<id>/renew, DELETE /v1/leases/<id>
// Errors are JSON with code, reason and message (transport/http_error.h).
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "store/key_value_store.h"
#include "store/store_call.h"
#include "transport/http_client.h"

namespace mustardslip {

// Blocking and thread-safe.
class StoreClient {
 public:
  // `call_timeout` is the limit for each call; a watch may take its own limit
  // in addition.
  StoreClient(Endpoint endpoint, Milliseconds call_timeout);

  Result<StoreRead> Get(const std::string& key);
  Result<StoreList> List(const std::string& prefix);
  Result<StoreRevision> Put(const std::string& key, const std::string& value,
                            StoreRevision expected, const StoreLeaseId& lease);
  Result<StoreRevision> Delete(const std::string& key, StoreRevision expected);
  Result<StoreWatch> Watch(const std::string& prefix, StoreRevision since,
                           Milliseconds limit);
  Result<StoreLeaseId> GrantLease(Milliseconds ttl);
  Result<void> RenewLease(const StoreLeaseId& lease);
  Result<void> RevokeLease(const StoreLeaseId& lease);

  // Calls sent since the start, successful or not.
  std::uint64_t Calls(StoreCall call) const;
  // Calls that had no answer, or one that shows a fault of the store.
  std::uint64_t Failures(StoreCall call) const;

 private:
  // Sends and counts. Each answer other than 200 is an error.
  Result<HttpResponse> Send(StoreCall kind, HttpCall call);

  const Milliseconds m_call_timeout;
  HttpClient m_http;
  std::array<std::atomic<std::uint64_t>, kStoreCallKinds> m_calls{};
  std::array<std::atomic<std::uint64_t>, kStoreCallKinds> m_failures{};
};

static_assert(KeyValueStore<StoreClient>);

}  // namespace mustardslip
