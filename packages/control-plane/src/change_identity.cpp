#include "emberdale/change_identity.hpp"

#include <algorithm>

#include "emberdale/content_digest.hpp"

namespace emberdale {

Bytes change_digest(const EditRequest& request) {
  std::string text = std::to_string(request.expected_version);
  for (const std::string& part : {to_string(request.action), request.kind, request.name, request.body})
    text += "\n" + std::to_string(part.size()) + "\n" + part;  // with its size, so that no two changes give one text
  return Bytes{content_digest_bytes(text)};
}

IdempotencyRecord find_completed_change(const std::vector<CompletedChange>& completed, const EditRequest& request) {
  auto found = std::find_if(completed.begin(), completed.end(),
                            [&](const CompletedChange& each) { return each.change_id == request.change_id; });
  if (found == completed.end())
    return {};
  bool is_same = found->digest.data.empty() || found->digest == change_digest(request);
  return {is_same ? IdempotencyStatus::done : IdempotencyStatus::conflicting_id, found->version};
}

}  // namespace emberdale
