// HttpRequestReader: limits, ambiguous requests, and damaged input.
#include "transport/http_request_reader.h"

#include <fmt/core.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace mustardslip {
namespace {

using State = HttpRequestReader::State;

constexpr HttpReadLimits kLimits = {.m_header_bytes = 512, .m_body_bytes = 64};

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /p?a=b HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

// Status with which a request is refused; 0 if it is complete, -1 if not.
int StatusOf(const std::string& bytes) {
  HttpRequestReader reader(kLimits);
  reader.Feed(bytes);
  if (reader.GetState() == State::kFailed) {
    return reader.FailureStatus();
  }
  return reader.GetState() == State::kDone ? 0 : -1;
}

// Requests, as all clients send them and damaged ones; the fuzz test mutates
// them.
const std::vector<std::string>& Corpus() {
  static const std::vector<std::string> corpus = {
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      "GET /q/?wait=5&x=%41 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
      Post("Content-Length: 5\r\n", "hello"),
      Post("Expect: 100-continue\r\nContent-Length: 2\r\n", "{}"),
      Post("Transfer-Encoding: chunked\r\n",
           "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"),
      Post("Transfer-Encoding: chunked\r\n", "0\r\nTrailer: t\r\n\r\n"),
      Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
      Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      Post("Content-Length: -1\r\n", ""),
      Post("Content-Length: 99999999999999999999999\r\n", ""),
      Post("Transfer-Encoding: chunked\r\n", "ffffffffffffffffff\r\n"),
      Post("Connection: close, x\r\n", ""),
      "\r\n\r\nDELETE /j HTTP/1.1\nHost:h\n\n",
      "PUT * HTTP/1.1\r\n: v\r\n\r\n",
      std::string("GET /") + '\0' + " HTTP/1.1\r\n\r\n",
  };
  return corpus;
}

// Fails if an empty line after a body counts as the begin of a request: an idle
// connection was closed when the headers did not follow.
TEST(HttpRequestReaderTest, EmptyLinesBeginNoRequest) {
  HttpRequestReader reader(kLimits);
  reader.Feed("\r\n\r\n");
  EXPECT_EQ(reader.GetState(), State::kIdle);
  reader.Feed("G");
  EXPECT_EQ(reader.GetState(), State::kHead);
}

// Fails if a request is read differently when its bytes arrive one at a time,
// or if the next request is taken for its body.
TEST(HttpRequestReaderTest, ReadsRequestsInAnyPieces) {
  const std::string stream = Corpus()[0] + Corpus()[1] + Corpus()[2] +
                             Corpus()[4] + "GET /next HTTP/1.1\r\n\r\n";
  for (const std::size_t piece :
       {std::size_t{1}, std::size_t{7}, stream.size()}) {
    HttpRequestReader reader(kLimits);
    std::vector<HttpRequest> requests;
    std::string_view rest = stream;
    while (!rest.empty()) {
      const std::size_t used = reader.Feed(rest.substr(0, piece));
      rest.remove_prefix(used);
      ASSERT_NE(reader.GetState(), State::kFailed) << reader.FailureReason();
      if (reader.GetState() == State::kDone) {
        requests.push_back(reader.Take());
      }
    }
    ASSERT_EQ(requests.size(), 5U);
    EXPECT_EQ(requests[0].m_path, "/");
    EXPECT_EQ(requests[0].Header("host"), "h");
    EXPECT_EQ(requests[1].m_path, "/q/");
    EXPECT_EQ(requests[1].Query("x"), "A");
    EXPECT_EQ(requests[2].m_body, "hello");
    EXPECT_EQ(requests[3].m_body, "abcde");
    EXPECT_EQ(requests[4].m_path, "/next");
  }
}

// Fails if two readers of one connection could disagree about where a request
// ends: the rest of one client's body would be another's request.
TEST(HttpRequestReaderTest, RefusesAmbiguousLengths) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  for (const std::string& headers : {
           std::string("Content-Length: -1\r\n"),
           std::string("Content-Length: +1\r\n"),
           std::string("Content-Length: 1x\r\n"),
           std::string("Content-Length:\r\n"),
           std::string("Content-Length: 1, 1\r\n"),
           std::string("Content-Length: 1\r\nContent-Length: 1\r\n"),
           std::string("Content-Length: 1\r\n") + chunked,
           chunked + "Content-Length: 1\r\n",
           chunked + chunked,
           std::string("Transfer-Encoding: gzip\r\n"),
           std::string("Transfer-Encoding: gzip, chunked\r\n"),
           std::string("Transfer-Encoding: identity\r\n"),
           std::string("Content-Length : 1\r\n"),
           std::string("X: y\r\n Content-Length: 1\r\n"),
       }) {
    EXPECT_EQ(StatusOf(Post(headers, "x")), 400) << headers;
  }
  EXPECT_EQ(StatusOf(Post(chunked, "0x1\r\n")), 400);
  EXPECT_EQ(StatusOf(Post(chunked, "-1\r\n")), 400);
  EXPECT_EQ(StatusOf(Post(chunked, "1\r\nab\r\n")), 400);
  EXPECT_EQ(StatusOf("POST / HTTP/1.0\r\n" + chunked + "\r\n"), 400);
}

// Fails if a body or a head over the limit is read on.
TEST(HttpRequestReaderTest, RefusesWhatIsOverALimit) {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  EXPECT_EQ(StatusOf(Post("Content-Length: 64\r\n", std::string(64, 'x'))), 0);
  EXPECT_EQ(StatusOf(Post("Content-Length: 65\r\n", "")), 413);
  EXPECT_EQ(StatusOf(Post("Content-Length: 99999999999999999999\r\n", "")),
            413);
  EXPECT_EQ(StatusOf(Post(chunked, "41\r\n")), 413);
  EXPECT_EQ(StatusOf(Post(chunked, "1\r\nx\r\n40\r\n")), 413);
  EXPECT_EQ(StatusOf(Post(chunked, "ffffffffffffffffffff\r\n")), 413);
  EXPECT_EQ(StatusOf("GET /" + std::string(512, 'x')), 431);
  EXPECT_EQ(StatusOf(Post("X: " + std::string(512, 'x'), "")), 431);
  EXPECT_EQ(StatusOf(std::string(513, '\n')), 431);
  EXPECT_EQ(StatusOf(Post(chunked, "1;" + std::string(300, 'x'))), 400);
  EXPECT_EQ(StatusOf(Post(chunked, "0\r\nT: " + std::string(512, 'x'))), 431);
}

// Fails if new limits cut a request that began under the old ones.
TEST(HttpRequestReaderTest, NewLimitsApplyToTheNextRequest) {
  HttpRequestReader reader(kLimits);
  const std::string request =
      Post("Content-Length: 40\r\n", std::string(40, 'x'));
  reader.Feed(request.substr(0, request.size() - 30));
  reader.SetLimits({.m_header_bytes = 512, .m_body_bytes = 5});
  reader.Feed(std::string(30, 'x'));
  ASSERT_EQ(reader.GetState(), State::kDone);
  EXPECT_EQ(reader.Take().m_body.size(), 40U);
  reader.Feed(request);
  EXPECT_EQ(reader.GetState(), State::kFailed);
}

std::string Mutate(std::string text, std::mt19937& random) {
  const auto below = [&](std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
  };
  static const std::vector<std::string> pieces = {
      "\r\n",
      "\n",
      "\r",
      ":",
      " ",
      std::string(1, '\0'),
      "\xff",
      "0\r\n",
      "Content-Length: 3\r\n",
      "Transfer-Encoding: chunked\r\n",
      "\r\n\r\n",
      "ffffffff\r\n",
      ";",
      "%",
      "?&=",
      "HTTP/1.1"};
  const std::size_t changes = 1 + below(4);
  for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t place = below(text.size());
    switch (below(5)) {
      case 0:
        text[place] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(place, 1 + below(8));
        break;
      case 2:
        text.insert(place, pieces[below(pieces.size())]);
        break;
      case 3:
        text += Corpus()[below(Corpus().size())];
        break;
      default:
        text.insert(place, text.substr(below(text.size()), below(40)));
        break;
    }
  }
  return text;
}

// Fails if damaged bytes end the process (under the sanitizers: read out of
// bounds), make the reader hold more than its limits, or leave it without
// progress. Half of the inputs are random bytes, half mutated requests.
TEST(HttpRequestReaderTest, HoldsItsLimitsForAnyBytes) {
  constexpr int kInputs = 20'000;
  // Growth of the strings doubles what was asked for at most.
  constexpr std::size_t kMostHeld =
      2 * (kLimits.m_header_bytes + kLimits.m_header_bytes +
           kLimits.m_body_bytes) +
      256;
  std::mt19937 random(20261207);
  int complete = 0;
  int refused = 0;
  for (int i = 0; i < kInputs; ++i) {
    std::string input;
    if (i % 2 == 0) {
      input = Mutate(Corpus()[random() % Corpus().size()], random);
    } else {
      input.resize(random() % 300);
      std::generate(input.begin(), input.end(),
                    [&] { return static_cast<char>(random()); });
    }
    HttpRequestReader reader(kLimits);
    std::string_view rest = input;
    while (!rest.empty() && reader.GetState() != State::kFailed) {
      const std::size_t piece = 1 + random() % rest.size();
      const std::size_t used = reader.Feed(rest.substr(0, piece));
      ASSERT_GT(used, 0U);
      ASSERT_LE(used, piece);
      ASSERT_LE(reader.HeldBytes(), kMostHeld);
      rest.remove_prefix(used);
      if (reader.GetState() == State::kDone) {
        const HttpRequest request = reader.Take();
        ASSERT_LE(request.m_body.size(), kLimits.m_body_bytes);
        ASSERT_FALSE(request.m_path.empty() && request.m_query.empty() &&
                     request.m_method.empty());
        ++complete;
      }
    }
    refused += reader.GetState() == State::kFailed ? 1 : 0;
  }
  EXPECT_GT(complete, kInputs / 20);
  EXPECT_GT(refused, kInputs / 4);
}

}  // namespace
}  // namespace mustardslip
