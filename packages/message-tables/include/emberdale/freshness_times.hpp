// The times by which old maps lapse, shared by those who grant and those who acknowledge.
#pragma once
#include "emberdale/small_types.hpp"

namespace emberdale {

// A grant lasts so long from before its ask.
inline constexpr Span grant_length{2000};
// A master vouches for its floor for so long after the last register read that showed its reign; the
// next master acknowledges no edit until its reign is older than that (and a second for the clocks).
inline constexpr Span vouch_length{10000};
inline constexpr Span late_ack_span{11000};

}  // namespace emberdale
