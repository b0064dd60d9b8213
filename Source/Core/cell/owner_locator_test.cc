// Tests of OwnerLocator over loopback links. The comment of each names the
// failure that it guards against.
#include "cell/owner_locator.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

#include "transport/free_port.h"

namespace mustardslip {
namespace {

// A daemon that answers each message with one of the test.
class FakeDaemon {
 public:
  FakeDaemon(Reactor& reactor, const LinkMessage& answer)
      : m_reactor(reactor),
        m_answer(answer),
        m_listener(reactor, m_address, [this](int socket) { Accept(socket); }) {
  }

  const Endpoint& Address() const { return m_address; }
  int Queries() const { return m_queries; }

 private:
  void Accept(int socket) {
    MessageLink::Handlers handlers;
    handlers.m_on_message = [this](const RpcMessage& raw) {
      const auto message = DecodeLinkMessage(raw);
      ASSERT_TRUE(message.has_value());
      EXPECT_EQ(message->m_kind, LinkMessageKind::kOwnerQuery);
      ++m_queries;
      m_links.back()->Send(EncodeLinkMessage(m_answer));
    };
    handlers.m_on_closed = [](bool) {};
    m_links.push_back(
        std::make_unique<MessageLink>(m_reactor, socket, std::move(handlers)));
  }

  Reactor& m_reactor;
  const LinkMessage m_answer;
  const Endpoint m_address{"127.0.0.1", FreeLoopbackPort()};
  std::vector<std::unique_ptr<MessageLink>> m_links;
  int m_queries = 0;
  MessageListener m_listener;
};

LinkMessage Hint(std::optional<OwnerRecord> owner) {
  LinkMessage hint;
  hint.m_kind = LinkMessageKind::kOwnerHint;
  hint.m_owner = std::move(owner);
  return hint;
}

class OwnerLocatorTest : public testing::Test {
 protected:
  // Asks `count` times, and waits for each answer or its absence.
  void Ask(OwnerLocator& locator, int count) {
    for (int i = 0; i < count; ++i) {
      locator.Ask();
      m_reactor.After(100, [this] { m_reactor.Stop(); });
      m_reactor.Run();
    }
  }

  Reactor m_reactor;
  std::optional<OwnerRecord> m_hint;
  const OwnerLocator::OnHint m_on_hint = [this](const OwnerRecord& owner) {
    m_hint = owner;
  };
  const OwnerRecord m_owner{"daemon-1", "127.0.0.1:7000", 500, 42};
};

// Fails if a daemon that cannot read the owner's record does not find the owner
// although another daemon knows it.
TEST_F(OwnerLocatorTest, AnotherDaemonNamesTheOwner) {
  FakeDaemon daemon(m_reactor, Hint(m_owner));
  OwnerLocator locator(m_reactor, m_on_hint);
  locator.AddDaemon(daemon.Address());
  Ask(locator, 1);
  ASSERT_TRUE(m_hint.has_value());
  EXPECT_EQ(*m_hint, m_owner);
}

// Fails if daemons that are gone, or know of no owner either, end the search.
TEST_F(OwnerLocatorTest, DaemonsThatDoNotKnowAreSkipped) {
  const Endpoint gone{"127.0.0.1", FreeLoopbackPort()};
  FakeDaemon without(m_reactor, Hint(std::nullopt));
  FakeDaemon daemon(m_reactor, Hint(m_owner));
  OwnerLocator locator(m_reactor, m_on_hint);
  for (const Endpoint& address : {gone, without.Address(), daemon.Address()}) {
    locator.AddDaemon(address);
  }
  Ask(locator, 2);
  EXPECT_FALSE(m_hint.has_value());
  Ask(locator, 1);
  EXPECT_TRUE(m_hint.has_value());
}

// Fails if an answer that is no hint is taken for one, or ends the process.
TEST_F(OwnerLocatorTest, OtherMessagesAreIgnored) {
  LinkMessage ping;
  ping.m_kind = LinkMessageKind::kPing;
  FakeDaemon daemon(m_reactor, ping);
  OwnerLocator locator(m_reactor, m_on_hint);
  locator.AddDaemon(daemon.Address());
  Ask(locator, 1);
  EXPECT_EQ(daemon.Queries(), 1);
  EXPECT_FALSE(m_hint.has_value());
}

// Fails if the list of daemons grows without a bound.
TEST_F(OwnerLocatorTest, OldAddressesAreDropped) {
  FakeDaemon first(m_reactor, Hint(m_owner));
  OwnerLocator locator(m_reactor, m_on_hint);
  locator.AddDaemon(first.Address());
  for (std::uint16_t i = 0; i < OwnerLocator::kMaxDaemons; ++i) {
    locator.AddDaemon({"127.0.0.1", static_cast<std::uint16_t>(1 + i)});
  }
  Ask(locator, static_cast<int>(OwnerLocator::kMaxDaemons));
  EXPECT_EQ(first.Queries(), 0);
}

}  // namespace
}  // namespace mustardslip
