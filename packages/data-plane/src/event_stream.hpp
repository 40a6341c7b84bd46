// Server-sent events (text/event-stream): splitting bytes into whole events, and which of them may go to the client.
#pragma once
#include <string>
#include <utility>
#include <vector>

namespace emberdale {

// One event of a stream, byte for byte.
struct EncodedEvent {
  std::string bytes;  // with the blank line that ends it
  std::string id;
  bool has_data = false;
};

// Splits a byte stream into whole events; the bytes of an event that has not ended wait for the rest of it.
// Example: splitter.feed("id: 1\ndata: a\n\nid: 2") gives the event of id "1", and rest() is "id: 2".
class EventSplitter {
 public:
  std::vector<EncodedEvent> feed(const std::string& bytes);
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
  std::size_t line_begin_ = 0;  // what lies before has been searched
};

// Selects the events of one runner's stream that may go to the client: on a resumed stream none that went there before.
// Example: after ResumeFilter filter("7") the event of id 7 gives "", and that of id 8 its bytes.
class ResumeFilter {
 public:
  explicit ResumeFilter(std::string last) : last_(std::move(last)), is_resumed_(!last_.empty()) {}
  // The bytes that go out now. An event without data or, on a resumed stream, without an id waits for the next one.
  std::string pass(const EncodedEvent& event);
  // At a clean end: what still waits.
  std::string finish() { return std::exchange(waiting_bytes_, {}); }
  const std::string& last() const { return last_; }
  std::size_t waiting() const { return waiting_bytes_.size(); }

 private:
  std::string last_, waiting_bytes_;
  bool is_resumed_, has_passed_ = false;
};

}  // namespace emberdale
