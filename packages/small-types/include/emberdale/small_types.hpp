// Ids, versions and times as small types of their own, and the outcome type for errors.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <utility>

namespace emberdale {

// A whole number that can't be mixed up with another kind of number.
// Example: TimePoint now{1200}; now.value == 1200;
template <class Tag>
struct SmallInteger {
  std::int64_t value = 0;
  friend bool operator==(SmallInteger a, SmallInteger b) { return a.value == b.value; }
  friend bool operator!=(SmallInteger a, SmallInteger b) { return a.value != b.value; }
  friend bool operator<(SmallInteger a, SmallInteger b) { return a.value < b.value; }
  friend bool operator<=(SmallInteger a, SmallInteger b) { return a.value <= b.value; }
  friend bool operator>(SmallInteger a, SmallInteger b) { return a.value > b.value; }
  friend bool operator>=(SmallInteger a, SmallInteger b) { return a.value >= b.value; }
  template <class H>
  friend H AbslHashValue(H state, SmallInteger number) {
    return H::combine(std::move(state), number.value);
  }
};

struct TimePointTag;
struct DurationTag;
using TimePoint = SmallInteger<TimePointTag>;  // milliseconds on a steady clock
using Duration = SmallInteger<DurationTag>;    // milliseconds between two moments

// Example: TimePoint{100} + Duration{50} == TimePoint{150}
inline TimePoint operator+(TimePoint moment, Duration span) { return {moment.value + span.value}; }
inline Duration operator+(Duration one, Duration other) { return {one.value + other.value}; }
// Example: TimePoint{150} - TimePoint{100} == Duration{50}
inline Duration operator-(TimePoint later, TimePoint earlier) { return {later.value - earlier.value}; }

// A name or id that can't be mixed up with another kind of name.
// Example: ZoneName zone{"a"}; zone.text == "a";
template <class Tag>
struct SmallText {
  std::string text;
  bool empty() const { return text.empty(); }
  friend bool operator==(const SmallText& a, const SmallText& b) { return a.text == b.text; }
  friend bool operator!=(const SmallText& a, const SmallText& b) { return a.text != b.text; }
  friend bool operator<(const SmallText& a, const SmallText& b) { return a.text < b.text; }
  friend std::ostream& operator<<(std::ostream& out, const SmallText& name) { return out << name.text; }
  template <class H>
  friend H AbslHashValue(H state, const SmallText& name) {
    return H::combine(std::move(state), name.text);
  }
};

using Address = SmallText<struct AddressTag>;  // "ip:port" of a process's peer link; its id too
using ZoneName = SmallText<struct ZoneTag>;
using RegionName = SmallText<struct RegionTag>;
using StoreId = SmallText<struct StoreTag>;
using RunnerName = SmallText<struct RunnerTag>;
using PoolName = SmallText<struct PoolTag>;
using PlanName = SmallText<struct PlanTag>;
using CallId = SmallText<struct CallTag>;

// A value, or the last reason why there is none.
// Example: Outcome<int> port = failure("no port given"); if (!port) use(port.reason);
template <class T>
struct Outcome : std::optional<T> {
  std::string reason;
  Outcome() = default;
  Outcome(T value) : std::optional<T>(std::move(value)) {}  // NOLINT: implicit by intent
  Outcome(std::nullopt_t, std::string why) : reason(std::move(why)) {}
};

struct Failure {
  std::string reason;
  template <class T>
  operator Outcome<T>() const {  // NOLINT: implicit by intent
    return Outcome<T>(std::nullopt, reason);
  }
};

// Example: return failure("disk full");
inline Failure failure(std::string reason) { return Failure{std::move(reason)}; }

// A small seeded generator: the same seed gives the same numbers on every machine.
// Example: RandomGenerator random{7}; random.below(100) is a number from 0 to 99.
class RandomGenerator {
 public:
  explicit RandomGenerator(std::uint64_t seed) : state_(seed * 2 + 0x9E3779B97F4A7C15ull) {}
  std::uint64_t next() {
    state_ += 0x9E3779B97F4A7C15ull;
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ull;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBull;
    return mixed ^ (mixed >> 31);
  }
  std::int64_t below(std::int64_t bound) {
    return bound <= 0 ? 0 : static_cast<std::int64_t>(next() % static_cast<std::uint64_t>(bound));
  }
  bool chance(double share) { return static_cast<double>(next() >> 11) < share * 9007199254740992.0; }

 private:
  std::uint64_t state_;
};

// Where a process begins to number its asks: elsewhere in each life, so that an answer to a former life's
// ask, held up on its way, is never taken for an answer to this one's.
// Example: std::int64_t last_request_id = first_request_id(random generator);
inline std::int64_t first_request_id(RandomGenerator& random) { return random.below(std::int64_t{1} << 46); }

// A hash that is the same in every process, for rendezvous ranking (FNV-1a, then mixed).
// Example: stable_hash("a") == stable_hash("a") in any two daemons.
inline std::uint64_t stable_hash(const std::string& text, std::uint64_t seed = 0) {
  std::uint64_t mixed = 1469598103934665603ull ^ seed;
  for (unsigned char letter : text)
    mixed = (mixed ^ letter) * 1099511628211ull;
  return RandomGenerator(mixed).next();
}

}  // namespace emberdale
