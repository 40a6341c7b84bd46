#include "frame_codec.hpp"

#include <zlib.h>

namespace emberdale {

namespace {

constexpr std::size_t compressed_from_size = 8192;
constexpr std::uint32_t compressed_flag = 0x80000000;
constexpr std::uint32_t handshake_magic = 0x454d4244;  // "EMBD"
constexpr std::size_t handshake_sender_offset = sizeof(std::uint32_t) + sizeof(std::uint64_t);
constexpr int fastest_compression = 1;

template <class Unsigned>
void append_little_endian(std::string& out, Unsigned number) {
  for (std::size_t i = 0; i < sizeof(Unsigned); ++i)
    out.push_back(static_cast<char>(number >> (8 * i)));
}

template <class Unsigned>
Unsigned read_little_endian(const char* start) {
  Unsigned number = 0;
  for (std::size_t i = 0; i < sizeof(Unsigned); ++i)
    number |= static_cast<Unsigned>(static_cast<unsigned char>(start[i])) << (8 * i);
  return number;
}

std::string frame_of(const std::string& body, std::uint32_t flags) {
  std::string frame;
  append_little_endian<std::uint32_t>(frame, static_cast<std::uint32_t>(body.size()) | flags);
  frame += body;
  return frame;
}

// Nothing if the result would not be smaller.
std::optional<std::string> compress_body(const std::string& body) {
  std::string compressed;
  append_little_endian<std::uint32_t>(compressed, static_cast<std::uint32_t>(body.size()));
  std::size_t stream_offset = compressed.size();
  uLongf stream_size = compressBound(body.size());
  compressed.resize(stream_offset + stream_size);
  int code = compress2(reinterpret_cast<Bytef*>(&compressed[stream_offset]), &stream_size,
                       reinterpret_cast<const Bytef*>(body.data()), body.size(), fastest_compression);
  compressed.resize(stream_offset + stream_size);
  if (code != Z_OK || compressed.size() >= body.size())
    return std::nullopt;
  return compressed;
}

}  // namespace

FrameHeader decode_frame_header(const EncodedFrameHeader& encoded) {
  auto number = read_little_endian<std::uint32_t>(encoded.data());
  return {number & ~compressed_flag, (number & compressed_flag) != 0};
}

std::string encode_frame(const std::string& body) {
  if (body.size() >= compressed_from_size)
    if (auto compressed = compress_body(body))
      return frame_of(*compressed, compressed_flag);
  return frame_of(body, 0);
}

std::optional<std::string> decompress_body(const std::string& compressed) {
  constexpr std::size_t stream_offset = sizeof(std::uint32_t);
  if (compressed.size() < stream_offset)
    return std::nullopt;
  auto expected_size = read_little_endian<std::uint32_t>(compressed.data());
  if (expected_size > max_frame_size)
    return std::nullopt;
  std::string body(expected_size, 0);
  uLongf size = expected_size;
  int code =
      uncompress(reinterpret_cast<Bytef*>(body.data()), &size,
                 reinterpret_cast<const Bytef*>(compressed.data() + stream_offset), compressed.size() - stream_offset);
  if (code != Z_OK || size != expected_size)
    return std::nullopt;
  return body;
}

std::string encode_handshake_frame(std::uint64_t protocol, const std::string& sender) {
  std::string body;
  append_little_endian<std::uint32_t>(body, handshake_magic);
  append_little_endian<std::uint64_t>(body, protocol);
  body += sender;
  return frame_of(body, 0);
}

std::optional<std::string> decode_handshake_body(const std::string& body, std::uint64_t protocol) {
  if (body.size() < handshake_sender_offset)
    return std::nullopt;
  auto magic = read_little_endian<std::uint32_t>(body.data());
  auto sender_protocol = read_little_endian<std::uint64_t>(body.data() + sizeof(magic));
  if (magic != handshake_magic || sender_protocol != protocol)
    return std::nullopt;
  return body.substr(handshake_sender_offset);
}

}  // namespace emberdale
