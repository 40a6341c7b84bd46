#include "emberdale/content_digest.hpp"

#include <gtest/gtest.h>

using namespace emberdale;

// The examples of FIPS 180-4.
TEST(ContentDigest, IsSha256) {
  EXPECT_EQ(content_digest(""), "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  EXPECT_EQ(content_digest("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  EXPECT_EQ(content_digest("abcdbcdecdefdefgefghfghighijhijkijkljklmklmnlmnomnopnopq"),
            "248d6a61d20638b8e5c026930c3e6039a33ce45964ff2167f6ecedd419db06c1");
}

TEST(ContentDigest, TakesZeroBytesForContent) {
  EXPECT_NE(content_digest(std::string("a\0b", 3)), content_digest("a"));
  EXPECT_EQ(content_digest(std::string("a\0b", 3)).size(), content_digest_size);
  EXPECT_EQ(content_digest_bytes("abc").size() * 2, content_digest_size);
}
