#include "event_stream.hpp"

#include <optional>
#include <string_view>

namespace emberdale {

namespace {

// Numbers are compared as such, however long; other ids only as equal or not.
bool is_above(const std::string& id, const std::string& last) {
  auto digits_of = [](const std::string& text) -> std::optional<std::string> {
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
      return std::nullopt;
    auto begin = text.find_first_not_of('0');
    return begin == std::string::npos ? "" : text.substr(begin);
  };
  auto a = digits_of(id), b = digits_of(last);
  if (!a || !b)
    return id != last;
  return a->size() != b->size() ? a->size() > b->size() : *a > *b;
}

}  // namespace

std::vector<EncodedEvent> EventSplitter::feed(const std::string& bytes) {
  std::vector<EncodedEvent> events;
  rest_ += bytes;
  EncodedEvent event;
  std::size_t begin = 0;
  auto look = [&](std::size_t from, std::size_t size) {
    std::string_view line = std::string_view(rest_).substr(from, size);
    if (line.rfind("id:", 0) == 0) {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
      event.id = std::string(line);
    } else if (line.rfind("data", 0) == 0) {
      event.has_data = true;
    }
  };
  for (std::size_t end; (end = rest_.find('\n', line_begin_)) != std::string::npos; line_begin_ = end + 1) {
    std::size_t size = end - line_begin_;
    if (size > 0 && rest_[end - 1] == '\r')
      --size;
    if (size > 0)
      continue;
    for (std::size_t at = begin; at <= end;) {  // the lines of this event
      std::size_t stop = rest_.find('\n', at);
      look(at, stop - at - (stop > at && rest_[stop - 1] == '\r' ? 1 : 0));
      at = stop + 1;
    }
    event.bytes = rest_.substr(begin, end + 1 - begin);
    events.push_back(std::exchange(event, {}));
    begin = end + 1;
  }
  rest_.erase(0, begin);
  line_begin_ -= begin;
  return events;
}

std::string ResumeFilter::pass(const EncodedEvent& event) {
  if (is_resumed_ && !event.id.empty() && !is_above(event.id, last_)) {
    waiting_bytes_.clear();  // what came before it went out before, too
    return "";
  }
  bool is_waiting = !has_passed_ && (is_resumed_ ? event.id.empty() : !event.has_data);
  waiting_bytes_ += event.bytes;
  if (is_waiting)
    return "";
  has_passed_ = true;
  if (!event.id.empty())
    last_ = event.id;
  return std::exchange(waiting_bytes_, {});
}

}  // namespace emberdale
