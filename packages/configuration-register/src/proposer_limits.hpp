// Limits that the rounds and the reads of the proposer share.
#pragma once
#include <cstddef>

namespace emberdale {

// From this size on, in bytes, a value is sent only to those who lack it.
constexpr std::size_t large_value_bytes = 16384;

}  // namespace emberdale
