// The idempotency history of the routing table: which changes were applied, so that a retry is told from a new change.
// Without I/O, clock or threads.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// The idempotency key of a change: two requests with equal keys are the same change.
struct RoutingTableChangeKey {
  std::string action;         // "replace" or "amend"
  std::int64_t base = 0;      // the revision that the change builds on
  std::int64_t revision = 0;  // the revision that it makes; 0 if the change names none
  std::string text;           // its JSON in canonical form
};

// What the history knows of a change.
enum class IdempotencyHistoryStatus {
  not_applied,  // certainly never applied
  applied,      // certainly applied, as it stands
  uncertain,    // may have been applied: too long ago, or known by a mark that two changes may share
};

// The changes that were applied, oldest first. Each built on the revision that the one before it made, so the revisions
// alone tell which bases and revisions belong together; SHA-256 of the key tells the change itself.
// The newest `digest_bound` changes are kept with their digest, `revision_bound` before them by their revision alone,
// and older ones not at all. Marks of earlier versions (64-bit hashes) are read, and are never certain.
// Stored as JSON beside the document: "taken": [{"revision","digest"}], "older": [revision..], "forgotten": the highest
// revision of which nothing is known but that it existed (0: everything is known).
// Invariant: the revisions rise strictly from `forgotten_` to the document's current one.
class IdempotencyHistory {
 public:
  static constexpr std::size_t digest_bound = 128;
  static constexpr std::size_t revision_bound = 1024;

  // Reads what write() wrote, or an earlier version. A list that does not lead up to the current revision counts as
  // forgotten whole.
  static IdempotencyHistory read(const nlohmann::json& stored, std::int64_t current_revision);
  // Adds the history's members to the object that is stored.
  void write(nlohmann::json& stored) const;

  // Whether the change was applied, as far as the history can tell.
  IdempotencyHistoryStatus find(const RoutingTableChangeKey& key) const;
  // Records that the change was applied to the newest revision.
  void add(const RoutingTableChangeKey& key);

  // Whether the newest entry is an earlier version's mark and fits the change. A caller that holds the whole text of
  // the newest document can then tell for certain.
  bool newest_is_legacy_mark_of(const RoutingTableChangeKey& key) const;

 private:
  struct Entry {
    std::int64_t revision = 0;
    std::string digest;  // SHA-256, a legacy mark of 16 digits, or empty: the revision alone is known
  };
  static Entry read_entry(const nlohmann::json& stored);
  bool is_chain_to(std::int64_t current_revision) const;
  const Entry* entry_built_on(std::int64_t base) const;
  void trim();

  std::int64_t forgotten_ = 0;
  std::vector<Entry> entries_;
};

}  // namespace emberdale
