// Guards requirement P3: a key authenticates its team only while its record
// exists.
#include "admission/key_verifier.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mustardslip {
namespace {

Configuration WithKey(const KeyRecord& record) {
  return ConfigurationBuilder().AddKey(record).Build();
}

TEST(KeyVerifierTest, AcceptsExactlyTheIssuedKey) {
  const NewKey key = MakeKey("lookup", true);
  const Configuration configuration = WithKey(key.m_record);
  const auto principal = VerifyKey(key.m_presented, configuration);
  ASSERT_TRUE(principal);
  EXPECT_EQ(*principal, (Principal{"lookup", true, key.m_record.m_id}));
  const std::string& id = key.m_record.m_id;
  for (const std::string& wrong :
       {key.m_presented + "0", id, id + ".", "." + key.m_presented,
        "x" + key.m_presented, id + "." + key.m_record.m_hash_hex,
        std::string(100'000, 'a') + ".b", std::string("\0.\0", 3)}) {
    const auto refused = VerifyKey(wrong, configuration);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().Reason(), "invalid_key");
    EXPECT_EQ(refused.error().Message(), "") << "would leak the key";
  }
  EXPECT_EQ(VerifyKey("", configuration).error().Reason(), "missing_key");
}

// Guards against the dummy record of zeros for unknown ids matching a key.
TEST(KeyVerifierTest, RemovedKeyAndZeroHashAreRefused) {
  const NewKey key = MakeKey("lookup", false);
  EXPECT_FALSE(VerifyKey(key.m_presented, Configuration()));
  EXPECT_FALSE(VerifyKey("k.", Configuration()));
}

RC_GTEST_PROP(KeyVerifierProperty, NoOtherSecretIsAccepted,
              (const std::string& secret, const std::string& other)) {
  RC_PRE(secret != other);
  const Configuration configuration =
      WithKey(MakeKeyRecord("id", secret, "lookup", false));
  RC_ASSERT(VerifyKey("id." + secret, configuration).has_value());
  RC_ASSERT(!VerifyKey("id." + other, configuration).has_value());
}

TEST(KeyVerifierTest, KeysAreDistinct) {
  const NewKey first = MakeKey("lookup", false);
  const NewKey second = MakeKey("lookup", false);
  EXPECT_NE(first.m_presented, second.m_presented);
  EXPECT_NE(first.m_record.m_salt_hex, second.m_record.m_salt_hex);
}

}  // namespace
}  // namespace mustardslip
