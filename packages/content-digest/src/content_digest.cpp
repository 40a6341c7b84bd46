#include "emberdale/content_digest.hpp"

#include <openssl/evp.h>

#include <stdexcept>

namespace emberdale {

std::string content_digest_bytes(const std::string& text) {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr) != 1)
    throw std::runtime_error("SHA-256 is not available");
  return std::string(reinterpret_cast<const char*>(digest), size);
}

std::string content_digest(const std::string& text) {
  std::string hex;
  hex.reserve(content_digest_size);
  for (char letter : content_digest_bytes(text)) {
    auto byte = static_cast<unsigned char>(letter);
    hex += "0123456789abcdef"[byte >> 4];
    hex += "0123456789abcdef"[byte & 15];
  }
  return hex;
}

}  // namespace emberdale
