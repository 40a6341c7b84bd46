#include "log_frames.hpp"

#include <boost/crc.hpp>
#include <cstdint>

namespace emberdale {
namespace {

constexpr std::size_t header_size = 12;  // size, checksum of the size, checksum of the payload
constexpr std::size_t size_checksum_offset = 4;
constexpr std::size_t payload_checksum_offset = 8;

std::uint32_t checksum(const char* start, std::size_t size) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(start, size);
  return crc.checksum();
}

void append_uint32(std::string& out, std::uint32_t number) {
  for (int i = 0; i < 4; ++i)
    out.push_back(static_cast<char>(number >> (8 * i)));
}

std::uint32_t read_uint32(const std::string& bytes, std::size_t offset) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i)
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
  return number;
}

bool is_zero_from(const std::string& bytes, std::size_t offset) {
  return bytes.find_first_not_of('\0', offset) == std::string::npos;
}

// Reads the frame at scan.valid_bytes; false if it is not whole, which the scan then says.
bool scan_log_frame(const std::string& bytes, LogFrameScan& scan) {
  const std::size_t start = scan.valid_bytes;
  const std::size_t left = bytes.size() - start;
  if (is_zero_from(bytes, start) || left < header_size) {
    scan.is_torn = true;
    return false;
  }
  const std::uint32_t size = read_uint32(bytes, start);
  if (checksum(bytes.data() + start, 4) != read_uint32(bytes, start + size_checksum_offset)) {
    // A torn header filled up with zeros is torn; anything else was whole once.
    const bool has_zero_rest = is_zero_from(bytes, start + header_size);
    (has_zero_rest ? scan.is_torn : scan.is_corrupt) = true;
    return false;
  }
  if (left - header_size < size) {
    scan.is_torn = true;
    return false;
  }
  const char* payload = bytes.data() + start + header_size;
  if (checksum(payload, size) != read_uint32(bytes, start + payload_checksum_offset)) {
    // Zeros from within this record to the end of the file: a write that never ended.
    const bool has_zero_end = size > 0 && is_zero_from(bytes, start + header_size + size - 1);
    (has_zero_end ? scan.is_torn : scan.is_corrupt) = true;
    return false;
  }
  scan.records.emplace_back(payload, size);
  scan.valid_bytes += header_size + size;
  return true;
}

}  // namespace

std::string encode_log_frame(const std::string& payload) {
  std::string out;
  append_uint32(out, static_cast<std::uint32_t>(payload.size()));
  append_uint32(out, checksum(out.data(), 4));
  append_uint32(out, checksum(payload.data(), payload.size()));
  return out + payload;
}

LogFrameScan scan_log_frames(const std::string& bytes) {
  LogFrameScan scan;
  while (scan.valid_bytes < bytes.size() && scan_log_frame(bytes, scan)) {
  }
  return scan;
}

}  // namespace emberdale
