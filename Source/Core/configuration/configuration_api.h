// The operators' HTTP interface to the configuration: GET and PUT /v1/config.
//
// The caller has already checked that the key is an operator's.
#pragma once

#include <string>
#include <vector>

#include "configuration/configuration_files.h"
#include "configuration/configuration_store.h"
#include "transport/http_message.h"

namespace mustardslip {

// The body of both directions.
struct ConfigurationBody {
  ConfigurationRevision m_revision = 0;
  ConfigurationFiles m_files;

  bool operator==(const ConfigurationBody&) const = default;
};

std::string EncodeConfigurationBody(const ConfigurationBody& body);
// Errors: kInvalidArgument with reason "malformed_body".
Result<ConfigurationBody> DecodeConfigurationBody(const std::string& text);

// 200 with {"revision":N,"files":{...}}.
HttpResponse GetConfigurationResponse(const Configuration& configuration);

// Reads `base_revision` and the files. Errors: kInvalidArgument.
Result<ConfigurationBody> ParsePutConfiguration(const HttpRequest& request);

// 200 {"revision","changes"}; 400 {"reason","problems"}; 409
// {"reason","revision","changes"} with the server's revision; 503 (no effect)
// or 504 (may still take effect) {"reason","message"}.
HttpResponse PutConfigurationResponse(const Result<AppliedChange>& applied,
                                      ConfigurationRevision current);

// Handles PUT /v1/config. `Watcher` is a ConfigurationWatcher.
template <typename Watcher>
HttpResponse HandlePutConfiguration(Watcher& watcher,
                                    const HttpRequest& request) {
  const auto wanted = ParsePutConfiguration(request);
  if (!wanted) {
    return PutConfigurationResponse(tl::unexpected(wanted.error()), 0);
  }
  const auto applied = watcher.Apply(wanted->m_revision, wanted->m_files);
  return PutConfigurationResponse(applied, watcher.HighestRevision());
}

// Handles GET /v1/config.
template <typename Watcher>
HttpResponse HandleGetConfiguration(const Watcher& watcher) {
  return GetConfigurationResponse(*watcher.Current());
}

}  // namespace mustardslip
