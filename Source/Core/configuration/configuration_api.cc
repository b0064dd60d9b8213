// JSON bodies and status codes of GET and PUT /v1/config.
#include "configuration/configuration_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "configuration/json_object_reader.h"

namespace mustardslip {
namespace {

using nlohmann::json;

constexpr const char* kRetryAfterSeconds = "1";

HttpResponse JsonResponse(int status, const json& body) {
  return {status, {{"content-type", "application/json"}}, body.dump()};
}

json LinesOf(const std::string& text) {
  json lines = json::array();
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

HttpResponse FailureResponse(int status, const Error& error) {
  HttpResponse response = JsonResponse(
      status, {{"reason", error.Reason()}, {"message", error.Message()}});
  if (status == 503) {
    response.m_headers.emplace("retry-after", kRetryAfterSeconds);
  }
  return response;
}

}  // namespace

std::string EncodeConfigurationBody(const ConfigurationBody& body) {
  return json{{"revision", body.m_revision},
              {"files",
               {{kInventoryFile, body.m_files.m_inventory},
                {kRulesFile, body.m_files.m_rules}}}}
      .dump();
}

Result<ConfigurationBody> DecodeConfigurationBody(const std::string& text) {
  ProblemList problems("body");
  const json body = ParseJsonObject(text, &problems);
  if (!problems.Problems().empty()) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_body",
                ToString(problems.Problems().front()));
  }
  try {
    const json& files = body.at("files");
    return ConfigurationBody{body.value("revision", ConfigurationRevision{0}),
                             {files.at(kInventoryFile).get<std::string>(),
                              files.at(kRulesFile).get<std::string>()}};
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, "malformed_body", error.what());
  }
}

HttpResponse GetConfigurationResponse(const Configuration& configuration) {
  HttpResponse response = JsonResponse(200, {});
  response.m_body = EncodeConfigurationBody(
      {configuration.Revision(), ToFiles(configuration)});
  return response;
}

Result<ConfigurationBody> ParsePutConfiguration(const HttpRequest& request) {
  const std::string digits = request.Query("base_revision");
  ConfigurationRevision base = -1;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), base);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      base < 0) {
    return Fail(ErrorCode::kInvalidArgument, "invalid_base_revision",
                "base_revision is missing or not a number; use the revision "
                "that `mustardslip get` printed");
  }
  auto body = DecodeConfigurationBody(request.m_body);
  if (body) {
    body->m_revision = base;
  }
  return body;
}

HttpResponse PutConfigurationResponse(const Result<AppliedChange>& applied,
                                      ConfigurationRevision current) {
  if (applied) {
    return JsonResponse(200, {{"revision", applied->m_revision},
                              {"changes", applied->m_changes}});
  }
  const Error& error = applied.error();
  switch (error.Code()) {
    case ErrorCode::kInvalidArgument:
      return JsonResponse(400, {{"reason", error.Reason()},
                                {"problems", LinesOf(error.Message())}});
    case ErrorCode::kConflict:
      return JsonResponse(409, {{"reason", "conflict"},
                                {"revision", current},
                                {"changes", LinesOf(error.Message())}});
    case ErrorCode::kUnknownOutcome:
    case ErrorCode::kTimeout:
      return FailureResponse(504, error);
    default:
      return FailureResponse(503, error);
  }
}

}  // namespace mustardslip
