#include "emberdale/trace_digest.hpp"

#include "emberdale/content_digest.hpp"

namespace emberdale {

std::string TraceDigest::digest() {
  fold_pending();
  return content_digest(chain_);
}

void TraceDigest::add(std::int64_t value) {
  auto bits = static_cast<std::uint64_t>(value);
  for (std::size_t byte = 0; byte < sizeof bits; ++byte)
    pending_ += static_cast<char>(bits >> (8 * byte) & 0xff);
}

void TraceDigest::add(std::string_view text) {
  add(static_cast<std::int64_t>(text.size()));
  pending_ += text;
}

void TraceDigest::fold_pending() {
  chain_ = content_digest_bytes(chain_ + pending_);
  pending_.clear();
}

}  // namespace emberdale
