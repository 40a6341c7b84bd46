#include "emberdale/runner_seal.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace emberdale {

namespace {

constexpr const char* seal_event = "sealed";

std::string to_hexadecimal(const unsigned char* bytes, std::size_t size) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < size; ++i) {
    text += digits[bytes[i] >> 4];
    text += digits[bytes[i] & 15];
  }
  return text;
}

bool has_prefix(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

void add_line(const std::string& line, StreamEvent& event) {
  static const std::string event_field = "event: ";
  static const std::string id_field = "id: ";
  static const std::string data_field = "data: ";
  if (has_prefix(line, event_field))
    event.event = line.substr(event_field.size());
  if (has_prefix(line, id_field))
    event.id = line.substr(id_field.size());
  if (has_prefix(line, data_field))
    event.data += (event.data.empty() ? "" : "\n") + line.substr(data_field.size());
}

// The event of some lines, of which the last has no newline.
StreamEvent read_event(const std::string& lines) {
  StreamEvent event;
  std::size_t start = 0;
  while (start < lines.size()) {
    std::size_t end = std::min(lines.find('\n', start), lines.size());
    add_line(lines.substr(start, end - start), event);
    start = end + 1;
  }
  return event;
}

}  // namespace

std::string seal_of(const std::string& key, const std::string& call, const std::string& runner,
                    std::int64_t incarnation, const std::string& body) {
  std::string text = call + "\n" + runner + "\n" + std::to_string(incarnation) + "\n" + body;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
       text.size(), digest, &size);
  return to_hexadecimal(digest, size);
}

std::vector<StreamEvent> EventCutter::feed(const std::string& bytes) {
  static const std::string end_of_event = "\n\n";
  rest_ += bytes;
  std::vector<StreamEvent> events;
  std::size_t end = 0;
  while ((end = rest_.find(end_of_event)) != std::string::npos) {
    events.push_back(read_event(rest_.substr(0, end)));
    rest_.erase(0, end + end_of_event.size());
  }
  return events;
}

std::string event_text(const StreamEvent& event) {
  std::string text;
  if (!event.event.empty())
    text += "event: " + event.event + "\n";
  if (!event.id.empty())
    text += "id: " + event.id + "\n";
  return text + "data: " + event.data + "\n\n";
}

StreamCheck::Step StreamCheck::fail(const std::string& reason) {
  reason_ = reason;
  is_over_ = true;
  return Step::broken;
}

StreamCheck::Step StreamCheck::take(const StreamEvent& event) {
  if (is_over_)
    return fail("an event after the end");
  if (event.event == seal_event)
    return take_seal(event);
  if (!event.event.empty())
    return fail("the runner broke off: " + event.data);
  if (event.id != next_id())
    return fail("piece '" + event.id + "' after piece " + std::to_string(pieces_));
  ++pieces_;
  sealed_text_ += event.data + "\n";
  return Step::piece;
}

StreamCheck::Step StreamCheck::take_seal(const StreamEvent& event) {
  if (event.id != next_id())
    return fail("the end is not numbered after the last piece");
  if (event.data != seal_of(key_, call_, runner_, incarnation_, sealed_text_))
    return fail("the seal does not fit the pieces");
  is_over_ = true;
  return Step::sealed;
}

}  // namespace emberdale
