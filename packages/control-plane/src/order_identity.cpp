#include "emberdale/order_identity.hpp"

#include <algorithm>

#include "emberdale/content_digest.hpp"

namespace emberdale {

Bytes order_digest(const EditAsk& ask) {
  std::string text = std::to_string(ask.expected);
  for (const std::string& part : {ask.act, ask.kind, ask.name, ask.body})
    text += "\n" + std::to_string(part.size()) + "\n" + part;  // with its size, so that no two orders give one text
  return Bytes{content_digest_bytes(text)};
}

RecalledOrder recall_order(const std::vector<DoneChange>& done, const EditAsk& ask) {
  auto found =
      std::find_if(done.begin(), done.end(), [&](const DoneChange& each) { return each.change == ask.change; });
  if (found == done.end())
    return {};
  bool is_same = found->digest.data.empty() || found->digest == order_digest(ask);
  return {is_same ? OrderMemory::done : OrderMemory::doubled_id, found->version};
}

}  // namespace emberdale
