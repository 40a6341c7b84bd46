#include "emberdale/runner_seal.hpp"

#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace emberdale {

std::string seal_of(const std::string& key, const std::string& call, const std::string& runner,
                    std::int64_t incarnation, const std::string& body) {
  std::string text = call + "\n" + runner + "\n" + std::to_string(incarnation) + "\n" + body;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
       text.size(), digest, &size);
  static const char* digits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += digits[digest[i] >> 4];
    hex += digits[digest[i] & 15];
  }
  return hex;
}

std::vector<StreamEvent> EventCutter::feed(const std::string& bytes) {
  rest_ += bytes;
  std::vector<StreamEvent> events;
  std::size_t end = 0;
  while ((end = rest_.find("\n\n")) != std::string::npos) {
    StreamEvent event;
    std::size_t start = 0;
    while (start < end) {
      std::size_t stop = std::min(rest_.find('\n', start), end);
      std::string line = rest_.substr(start, stop - start);
      if (line.rfind("event: ", 0) == 0)
        event.event = line.substr(7);
      if (line.rfind("id: ", 0) == 0)
        event.id = line.substr(4);
      if (line.rfind("data: ", 0) == 0)
        event.data += (event.data.empty() ? "" : "\n") + line.substr(6);
      start = stop + 1;
    }
    events.push_back(std::move(event));
    rest_.erase(0, end + 2);
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
  if (event.event == "sealed") {
    if (event.id != std::to_string(pieces_ + 1))
      return fail("the end is not numbered after the last piece");
    if (event.data != seal_of(key_, call_, runner_, incarnation_, text_))
      return fail("the seal does not fit the pieces");
    is_over_ = true;
    return Step::sealed;
  }
  if (!event.event.empty())
    return fail("the runner broke off: " + event.data);
  if (event.id != std::to_string(pieces_ + 1))
    return fail("piece '" + event.id + "' after piece " + std::to_string(pieces_));
  ++pieces_;
  text_ += event.data + "\n";
  return Step::piece;
}

}  // namespace emberdale
