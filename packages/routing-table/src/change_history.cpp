#include "emberdale/change_history.hpp"

#include <algorithm>

#include "emberdale/content_digest.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::size_t legacy_mark_size = 16;

std::string identity_text(const RoutingTableChangeId& change) {
  return change.act + "\n" + std::to_string(change.base) + "\n" + change.text;
}

std::string digest_of(const RoutingTableChangeId& change) { return content_digest(identity_text(change)); }

// The mark that versions before SHA-256 kept: a 64-bit hash in hex.
std::string legacy_mark_of(const RoutingTableChangeId& change) {
  std::uint64_t hash = stable_hash(identity_text(change));
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

ChangeHistory::Entry ChangeHistory::read_entry(const Json& stored) {
  if (!stored.is_object())
    return {};
  const Json& digest = member(stored, "digest");
  return {read_revision(member(stored, "revision")), digest.is_string() ? digest.get<std::string>() : ""};
}

ChangeHistory ChangeHistory::read(const Json& stored, std::int64_t current) {
  ChangeHistory history;
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
  if (!history.is_chain_to(current)) {
    history.entries_.clear();
    history.forgotten_ = current;
  }
  return history;
}

bool ChangeHistory::is_chain_to(std::int64_t current) const {
  std::int64_t newest = forgotten_;
  for (const Entry& entry : entries_) {
    if (entry.revision <= newest)
      return false;
    newest = entry.revision;
  }
  return newest == current;
}

void ChangeHistory::write(Json& stored) const {
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

ChangeHistoryStatus ChangeHistory::recall(const RoutingTableChangeId& change) const {
  if (change.base < 0 || change.revision <= change.base)
    return ChangeHistoryStatus::not_taken;
  if (change.base < forgotten_)
    return change.revision <= forgotten_ ? ChangeHistoryStatus::uncertain : ChangeHistoryStatus::not_taken;
  // The one change that was taken on this base, if any: it made the revision after it.
  auto entry = entries_.begin();
  if (change.base != forgotten_) {
    entry = std::lower_bound(entries_.begin(), entries_.end(), change.base,
                             [](const Entry& known, std::int64_t base) { return known.revision < base; });
    if (entry == entries_.end() || entry->revision != change.base)
      return ChangeHistoryStatus::not_taken;
    ++entry;
  }
  if (entry == entries_.end() || entry->revision != change.revision)
    return ChangeHistoryStatus::not_taken;
  if (entry->digest.size() == content_digest_size)
    return entry->digest == digest_of(change) ? ChangeHistoryStatus::taken : ChangeHistoryStatus::not_taken;
  if (entry->digest.size() == legacy_mark_size)
    return entry->digest == legacy_mark_of(change) ? ChangeHistoryStatus::uncertain : ChangeHistoryStatus::not_taken;
  return ChangeHistoryStatus::uncertain;
}

bool ChangeHistory::newest_is_legacy_mark_of(const RoutingTableChangeId& change) const {
  return !entries_.empty() && entries_.back().revision == change.revision &&
         entries_.back().digest == legacy_mark_of(change);
}

void ChangeHistory::add(const RoutingTableChangeId& change) {
  entries_.push_back({change.revision, digest_of(change)});
  trim();
}

void ChangeHistory::trim() {
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
