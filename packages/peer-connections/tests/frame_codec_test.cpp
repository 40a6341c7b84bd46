// Tests of the frames of peer connections: their bytes, and that each decodes to what was encoded.
#include "frame_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace emberdale {
namespace {

FrameHeader header_of(const std::string& frame) {
  EncodedFrameHeader encoded{};
  std::copy_n(frame.begin(), encoded.size(), encoded.begin());
  return decode_frame_header(encoded);
}

std::string body_of(const std::string& frame) { return frame.substr(sizeof(EncodedFrameHeader)); }

TEST(FrameCodec, AShortBodyFollowsItsSize) {
  EXPECT_EQ(encode_frame("abc"), std::string("\x03\0\0\0abc", 7));
  EXPECT_EQ(header_of(encode_frame("abc")).body_size, 3u);
  EXPECT_FALSE(header_of(encode_frame("abc")).is_compressed);
}

TEST(FrameCodec, AHandshakeIsMagicProtocolAndSender) {
  std::string frame = encode_handshake_frame(0x0102030405060708, "10.0.0.1:70");
  EXPECT_EQ(frame, std::string("\x17\0\0\0DBME\x08\x07\x06\x05\x04\x03\x02\x01"
                               "10.0.0.1:70",
                               27));
  EXPECT_EQ(decode_handshake_body(body_of(frame), 0x0102030405060708), "10.0.0.1:70");
  EXPECT_EQ(decode_handshake_body(body_of(frame), 1), std::nullopt);
  EXPECT_EQ(decode_handshake_body("short", 1), std::nullopt);
}

TEST(FrameCodec, ALongBodyIsCompressedOnlyIfThatMakesItSmaller) {
  std::string frame = encode_frame(std::string(8192, 'a'));
  EXPECT_TRUE(header_of(frame).is_compressed);
  EXPECT_EQ(header_of(frame).body_size, body_of(frame).size());
  EXPECT_LT(frame.size(), 200u);
  EXPECT_FALSE(header_of(encode_frame(std::string(8191, 'a'))).is_compressed);
}

TEST(FrameCodec, EveryBodyComesBack) {
  EXPECT_TRUE(rc::check([](const std::string& part) {
    std::string body;
    for (int i = 0; i < 400; ++i)
      body += part;
    std::string frame = encode_frame(body);
    FrameHeader header = header_of(frame);
    RC_ASSERT(header.body_size == body_of(frame).size());
    if (header.is_compressed)
      RC_ASSERT(decompress_body(body_of(frame)) == body);
    else
      RC_ASSERT(body_of(frame) == body);
  }));
}

}  // namespace
}  // namespace emberdale
