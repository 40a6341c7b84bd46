// The runner's own seal over one whole answer to one call, and the numbered pieces of a stream.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace emberdale {

// Example: seal_of("key", "call-1", "runner-1", 7, "the whole body")
std::string seal_of(const std::string& key, const std::string& call, const std::string& runner,
                    std::int64_t incarnation, const std::string& body);

// One server-sent event.
struct StreamEvent {
  std::string event, id, data;
};

// Cuts a byte stream into whole events; what has not ended yet waits.
// Example: EventCutter cutter; cutter.feed("id: 1\ndata: a\n\n").front().data == "a"
class EventCutter {
 public:
  std::vector<StreamEvent> feed(const std::string& bytes);
  std::size_t waiting() const { return rest_.size(); }

 private:
  std::string rest_;
};

// Example: event_text({"", "1", "hello"}) == "id: 1\ndata: hello\n\n"
std::string event_text(const StreamEvent& event);

// Follows one streamed reply: pieces 1, 2, 3 ... and a last one with the seal over them all.
// Example: StreamCheck check(key, call, runner, incarnation); check.take(event) == StreamCheck::Step::piece
class StreamCheck {
 public:
  enum class Step { piece, sealed, broken };
  StreamCheck(std::string key, std::string call, std::string runner, std::int64_t incarnation)
      : key_(std::move(key)), call_(std::move(call)), runner_(std::move(runner)), incarnation_(incarnation) {}
  Step take(const StreamEvent& event);
  std::int64_t pieces() const { return pieces_; }
  const std::string& reason() const { return reason_; }

 private:
  Step fail(const std::string& reason);
  std::string key_, call_, runner_;
  std::int64_t incarnation_;
  std::int64_t pieces_ = 0;
  std::string text_;
  std::string reason_;
  bool is_over_ = false;
};

}  // namespace emberdale
