// The frames that peer connections carry.
//
// A frame is its size in four bytes, little-endian, and its body. A body of 8 KiB or more is compressed if that makes
// it smaller: then the highest bit of the size is set, and the body is the uncompressed size in four bytes and a zlib
// stream. The first frame of a connection is the handshake, all others are messages (avro_codec.hpp).
// Pure functions, without I/O, clock or threads.
#pragma once
#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace emberdale {

// No body is longer, compressed or not; a longer one ends the connection.
inline constexpr std::size_t max_frame_size = 8u << 20;

// Of the frame that begins a connection.
inline constexpr std::size_t max_handshake_size = 4096;

// The size that goes before a frame's body, as it is on the wire.
using EncodedFrameHeader = std::array<char, 4>;

struct FrameHeader {
  std::uint32_t body_size = 0;
  bool is_compressed = false;
};

FrameHeader decode_frame_header(const EncodedFrameHeader& encoded);

// The frame of a message, with its header.
std::string encode_frame(const std::string& body);

// The body that was compressed; nothing if it is malformed or larger than max_frame_size.
std::optional<std::string> decompress_body(const std::string& compressed);

// The frame that begins a connection: a magic number, the fingerprint of the protocol and the sender's address.
std::string encode_handshake_frame(std::uint64_t protocol, const std::string& sender);

// The sender's address from the body of a handshake; nothing if it is malformed or of another protocol.
std::optional<std::string> decode_handshake_body(const std::string& body, std::uint64_t protocol);

}  // namespace emberdale
