// Frames of the log's files: each record with its size and two checksums (CRC-32C), so that a write that never ended is
// told from bytes that were changed later. Pure functions.
#pragma once
#include <string>
#include <vector>

namespace emberdale {

// The bytes of one record in a file: its size (4 bytes, little-endian), the checksum of the size, the checksum of the
// payload, and the payload.
std::string encode_log_frame(const std::string& payload);

// What the frames of a file hold.
struct LogFrameScan {
  std::vector<std::string> records;  // the payloads of all whole frames from the start
  std::size_t valid_bytes = 0;       // up to the end of the last whole frame
  bool is_torn = false;              // the rest is a write that never ended
  bool is_corrupt = false;           // the rest was once whole and has been changed
};

// Reads frames up to the first that is not whole. A tail is torn if it is shorter than it says, or nothing but zeros; a
// record of full length with a wrong checksum is corrupt.
LogFrameScan scan_log_frames(const std::string& bytes);

}  // namespace emberdale
