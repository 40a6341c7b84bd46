// The events of a stream (text/event-stream): cutting bytes into whole events, and what of them may go to the caller.
#pragma once
#include <string>
#include <utility>
#include <vector>

namespace emberdale {

// One event of a stream, byte for byte.
struct RawEvent {
  std::string bytes;  // with the blank line that ends it
  std::string id;
  bool has_data = false;
};

// Cuts a byte stream into whole events; what has not ended yet waits.
// Example: RawCutter cutter; cutter.feed("id: 1\ndata: a\n\nid: 2")[0].id == "1"; cutter.rest() == "id: 2"
class RawCutter {
 public:
  std::vector<RawEvent> feed(const std::string& bytes);
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
  std::size_t line_begin_ = 0;  // what lies before was looked at
};

// What of one runner's stream may go to the caller: on a resumed one nothing that went there before.
// Example: EventSieve sieve("7"); sieve.pass({"id: 7\n\n", "7", true}) == ""; sieve.pass({"id: 8\n\n", "8", true}) ==
// "id: 8\n\n"
class EventSieve {
 public:
  explicit EventSieve(std::string last) : last_(std::move(last)), is_resumed_(!last_.empty()) {}
  // The bytes that go out now. An event without data or, on a resumed stream, without an id waits for the next one.
  std::string pass(const RawEvent& event);
  // At a clean end: what still waits. Example: sieve.finish() == ""
  std::string finish() { return std::exchange(held_, {}); }
  const std::string& last() const { return last_; }
  std::size_t waiting() const { return held_.size(); }

 private:
  std::string last_, held_;
  bool is_resumed_, has_passed_ = false;
};

}  // namespace emberdale
