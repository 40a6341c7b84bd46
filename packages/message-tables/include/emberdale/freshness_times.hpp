// The times by which old maps lapse, shared by those who grant and those who acknowledge.
#pragma once
#include "emberdale/small_types.hpp"

namespace emberdale {

// A grant lasts so long from before its ask.
inline constexpr Duration grant_length{2000};
// A master grants leases on its minimum version only while a majority of its word's roster has acknowledged a stamp of
// its own clock that is at most this old...
inline constexpr Duration acknowledgement_length{1200};
// ...so a next master whose joins are a majority of that roster, each with its promise to acknowledge for no elder
// term, acknowledges after this long (and a little for the clocks).
inline constexpr Duration quick_ack_wait{1300};
// And never longer than this after the last register read that showed its term: who came to lead without
// such joins (dead members had left the roster) waits until that has passed as well.
inline constexpr Duration lease_length{30000};
inline constexpr Duration late_ack_wait{31000};
// A join promises only while its answer to a ping is at most this old, and a daemon acknowledges nothing before
// it has lived for longer than any such join can count: what it promised in a former life is over then.
inline constexpr Duration promise_length{4000};
inline constexpr Duration acknowledgement_quarantine{7000};

// A hold that was passed on ahead of the register lapses by itself after this long; it is renewed until the
// edit that asked for it is settled.
inline constexpr Duration block_duration{1500};
inline constexpr Duration block_interval{400};

}  // namespace emberdale
