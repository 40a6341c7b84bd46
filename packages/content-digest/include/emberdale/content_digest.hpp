// The identity of a text by its content: SHA-256, so that equal digests mean equal texts.
#pragma once
#include <string>

namespace emberdale {

// The length of a digest as text.
constexpr std::size_t content_digest_size = 64;

// SHA-256 as its 32 bytes. Example: content_digest_bytes("abc").size() == 32
std::string content_digest_bytes(const std::string& text);

// SHA-256 in lower-case hex.
// Example: content_digest("abc").substr(0, 8) == "ba7816bf"
std::string content_digest(const std::string& text);

}  // namespace emberdale
