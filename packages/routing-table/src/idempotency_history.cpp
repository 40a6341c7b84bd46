#include "emberdale/idempotency_history.hpp"

#include <algorithm>

#include "emberdale/content_digest.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::size_t legacy_mark_size = 16;

// The stored form of the key; digests and marks on disk are made from it.
std::string key_text(const RoutingTableChangeKey& key) {
  return key.action + "\n" + std::to_string(key.base) + "\n" + key.text;
}

std::string digest_of(const RoutingTableChangeKey& key) { return content_digest(key_text(key)); }

// The mark that versions before SHA-256 kept: a 64-bit hash in hex.
std::string legacy_mark_of(const RoutingTableChangeKey& key) {
  std::uint64_t hash = stable_hash(key_text(key));
  std::string mark(legacy_mark_size, '0');
  for (std::size_t i = mark.size(); i-- > 0; hash >>= 4)
    mark[i] = "0123456789abcdef"[hash & 15];
  return mark;
}

// Revisions are above 0; anything else reads as 0.
std::int64_t read_revision(const Json& value) {
  return value.is_number_integer() ? std::max<std::int64_t>(value.get<std::int64_t>(), 0) : 0;
}

const Json& member(const Json& object, const char* key) {
  static const Json none;
  auto found = object.find(key);
  return found == object.end() ? none : *found;
}

}  // namespace

IdempotencyHistory::Entry IdempotencyHistory::read_entry(const Json& stored) {
  if (!stored.is_object())
    return {};
  const Json& digest = member(stored, "digest");
  return {read_revision(member(stored, "revision")), digest.is_string() ? digest.get<std::string>() : ""};
}

IdempotencyHistory IdempotencyHistory::read(const Json& stored, std::int64_t current_revision) {
  IdempotencyHistory history;
  if (!stored.is_object())
    return history;
  history.forgotten_ = read_revision(member(stored, "forgotten"));
  const Json& older = member(stored, "older");
  const Json& taken = member(stored, "taken");
  if (older.is_array())
    for (const Json& revision : older)
      history.entries_.push_back({read_revision(revision), ""});
  if (taken.is_array())
    for (const Json& entry : taken)
      history.entries_.push_back(read_entry(entry));
  // Versions that kept no older revisions dropped what came before a full list: the base of its first is unknown.
  if (!stored.contains("forgotten") && history.entries_.size() >= digest_bound) {
    history.forgotten_ = history.entries_.front().revision;
    history.entries_.erase(history.entries_.begin());
  }
  if (!history.is_chain_to(current_revision)) {
    history.entries_.clear();
    history.forgotten_ = current_revision;
  }
  return history;
}

bool IdempotencyHistory::is_chain_to(std::int64_t current_revision) const {
  std::int64_t newest = forgotten_;
  for (const Entry& entry : entries_) {
    if (entry.revision <= newest)
      return false;
    newest = entry.revision;
  }
  return newest == current_revision;
}

void IdempotencyHistory::write(Json& stored) const {
  Json older = Json::array(), taken = Json::array();
  for (const Entry& entry : entries_) {
    if (entry.digest.empty() && taken.empty())
      older.push_back(entry.revision);
    else
      taken.push_back({{"revision", entry.revision}, {"digest", entry.digest}});
  }
  stored["forgotten"] = forgotten_;
  stored["older"] = std::move(older);
  stored["taken"] = std::move(taken);
}

// The one change that was applied on this base, if any: the entry of the revision after it. Null also where the base is
// known, and nothing was built on it.
const IdempotencyHistory::Entry* IdempotencyHistory::entry_built_on(std::int64_t base) const {
  auto entry = entries_.begin();
  if (base != forgotten_) {
    entry = std::lower_bound(entries_.begin(), entries_.end(), base,
                             [](const Entry& known, std::int64_t revision) { return known.revision < revision; });
    if (entry == entries_.end() || entry->revision != base)
      return nullptr;
    ++entry;
  }
  return entry == entries_.end() ? nullptr : &*entry;
}

IdempotencyHistoryStatus IdempotencyHistory::find(const RoutingTableChangeKey& key) const {
  if (key.base < 0 || key.revision <= key.base)
    return IdempotencyHistoryStatus::not_applied;
  if (key.base < forgotten_)
    return key.revision <= forgotten_ ? IdempotencyHistoryStatus::uncertain : IdempotencyHistoryStatus::not_applied;
  const Entry* entry = entry_built_on(key.base);
  if (entry == nullptr || entry->revision != key.revision)
    return IdempotencyHistoryStatus::not_applied;
  if (entry->digest.size() == content_digest_size)
    return entry->digest == digest_of(key) ? IdempotencyHistoryStatus::applied : IdempotencyHistoryStatus::not_applied;
  if (entry->digest.size() == legacy_mark_size)
    return entry->digest == legacy_mark_of(key) ? IdempotencyHistoryStatus::uncertain
                                                : IdempotencyHistoryStatus::not_applied;
  return IdempotencyHistoryStatus::uncertain;
}

bool IdempotencyHistory::newest_is_legacy_mark_of(const RoutingTableChangeKey& key) const {
  return !entries_.empty() && entries_.back().revision == key.revision && entries_.back().digest == legacy_mark_of(key);
}

void IdempotencyHistory::add(const RoutingTableChangeKey& key) {
  entries_.push_back({key.revision, digest_of(key)});
  trim();
}

void IdempotencyHistory::trim() {
  if (entries_.size() > digest_bound)
    for (auto entry = entries_.end() - static_cast<std::ptrdiff_t>(digest_bound); entry != entries_.begin();)
      (--entry)->digest.clear();
  constexpr std::size_t bound = digest_bound + revision_bound;
  if (entries_.size() <= bound)
    return;
  auto first = entries_.end() - static_cast<std::ptrdiff_t>(bound);
  forgotten_ = (first - 1)->revision;
  entries_.erase(entries_.begin(), first);
}

}  // namespace emberdale
