// Which changes of the traffic table were taken, so that one sent again is told from a new one.
#pragma once
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/messages.hpp"

namespace emberdale {

// One change as it was asked for: what it does, on which revision, and the revision it makes.
struct RoutingTableChangeId {
  std::string act;            // "replace" or "amend"
  std::int64_t base = 0;      // the revision that it builds on
  std::int64_t revision = 0;  // the revision that it makes; 0 if the change names none
  std::string text;           // its JSON in canonical form
};

// What the history knows of a change.
enum class ChangeHistoryStatus {
  not_taken,  // certainly never taken
  taken,      // certainly taken, as it stands
  uncertain,  // may have been taken: too long ago, or remembered by a mark that two changes may share
};

// The changes that were taken, oldest first. Each built on the revision that the one before it made, so the
// revisions alone tell which bases and revisions belong together; SHA-256 of the text tells the change itself.
// The newest `digest_bound` changes are kept with their digest, `revision_bound` before them by their revision
// alone, and older ones not at all. Marks of earlier versions (64-bit hashes) are read, and are never certain.
// It is kept as JSON beside the document: "taken": [{"revision","digest"}], "older": [revision..],
// "forgotten": the highest revision of which nothing is known but that it was there (0: everything is known).
class ChangeHistory {
 public:
  static constexpr std::size_t digest_bound = 128, revision_bound = 1024;

  // Reads what write() wrote, or an earlier version. A list that does not lead up to the current revision counts as
  // forgotten whole. Example: ChangeHistory history = ChangeHistory::read(Json::parse(stored), revision);
  static ChangeHistory read(const nlohmann::json& stored, std::int64_t current);
  // Adds the members to the object that is stored. Example: history.write(object)
  void write(nlohmann::json& stored) const;

  // Example: history.recall(change) == ChangeHistoryStatus::taken
  ChangeHistoryStatus recall(const RoutingTableChangeId& change) const;
  // The change was taken on the newest revision. Example: history.add(change)
  void add(const RoutingTableChangeId& change);

  // Whether the newest entry is an earlier version's mark and fits the change. A caller that holds the whole text of
  // the newest document can then tell for certain. Example: history.newest_is_legacy_mark_of(change)
  bool newest_is_legacy_mark_of(const RoutingTableChangeId& change) const;

 private:
  struct Entry {
    std::int64_t revision = 0;
    std::string digest;  // SHA-256, a legacy mark of 16 digits, or empty: the revision alone is known
  };
  static Entry read_entry(const nlohmann::json& stored);
  bool is_chain_to(std::int64_t current) const;
  void trim();

  std::int64_t forgotten_ = 0;
  std::vector<Entry> entries_;
};

}  // namespace emberdale
