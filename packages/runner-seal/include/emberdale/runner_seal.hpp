// The seal of a runner: a message authentication code (HMAC-SHA256) over its whole response to one request, and the
// numbered server-sent events that a streamed response consists of. Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace emberdale {

// The seal of a response in hexadecimal digits. It binds the body to the request's id, the runner's name and its
// incarnation, so that neither another request's response nor another runner's passes for it.
// Example: seal_of("key", "call-1", "runner-1", 7, "the whole body")
std::string seal_of(const std::string& key, const std::string& call, const std::string& runner,
                    std::int64_t incarnation, const std::string& body);

// One server-sent event. The lines of its data are separated by newlines.
struct StreamEvent {
  std::string event;  // the type; empty for a plain message
  std::string id;
  std::string data;
};

// Splits a stream of bytes into events. An event ends with an empty line; bytes of one that has not ended yet wait.
// Example: EventCutter cutter; cutter.feed("id: 1\ndata: a\n\n").front().data == "a"
class EventCutter {
 public:
  // Adds bytes, and gives the events that have ended with them.
  std::vector<StreamEvent> feed(const std::string& bytes);
  // How many bytes wait for the end of their event.
  std::size_t waiting() const { return rest_.size(); }

 private:
  std::string rest_;
};

// An event as it is sent. Example: event_text({"", "1", "hello"}) == "id: 1\ndata: hello\n\n"
std::string event_text(const StreamEvent& event);

// Verifies one streamed response: plain events numbered 1, 2, 3 and so on, then one of type "sealed" whose data is the
// seal over the data of all others. After the seal or an error no further event is valid.
// Example: StreamCheck check(key, call, runner, incarnation); check.take(event) == StreamCheck::Step::piece
class StreamCheck {
 public:
  enum class Step {
    piece,   // the next plain event
    sealed,  // the seal, which fits all events before it
    broken   // not a valid continuation; reason() says why
  };
  StreamCheck(std::string key, std::string call, std::string runner, std::int64_t incarnation)
      : key_(std::move(key)), call_(std::move(call)), runner_(std::move(runner)), incarnation_(incarnation) {}
  // Verifies the next event.
  Step take(const StreamEvent& event);
  // How many plain events were valid so far.
  std::int64_t pieces() const { return pieces_; }
  // Why the stream is broken; empty if it is not.
  const std::string& reason() const { return reason_; }

 private:
  Step take_seal(const StreamEvent& event);
  Step fail(const std::string& reason);
  std::string next_id() const { return std::to_string(pieces_ + 1); }

  std::string key_;
  std::string call_;
  std::string runner_;
  std::int64_t incarnation_;
  std::int64_t pieces_ = 0;
  std::string sealed_text_;  // the data of the plain events, each with a newline after it
  std::string reason_;
  bool is_over_ = false;
};

}  // namespace emberdale
