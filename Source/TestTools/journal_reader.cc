// Pages through GET /control/journal.
#include "journal_reader.h"

#include "transport/http_client.h"

namespace mustardslip {

Result<std::vector<nlohmann::json>> ReadJournal(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  HttpClient client(*endpoint);
  std::vector<nlohmann::json> journal;
  while (true) {
    const auto page = client.Send(
        {.m_target = "/control/journal?since=" + std::to_string(journal.size()),
         .m_timeout = Milliseconds(60'000)});
    if (!page) {
      return tl::unexpected(page.error());
    }
    nlohmann::json json = nlohmann::json::parse(page->m_body, nullptr, false);
    if (!json.is_object() || !json.contains("entries")) {
      return Fail(ErrorCode::kInternal, "malformed_journal");
    }
    const std::size_t last = json.value("last", std::size_t{0});
    for (nlohmann::json& entry : json["entries"]) {
      journal.push_back(std::move(entry));
    }
    if (journal.size() >= last) {
      return journal;
    }
  }
}

}  // namespace mustardslip
