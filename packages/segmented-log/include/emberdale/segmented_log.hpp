// A log in segments with snapshots beside it, for a state whose newest record says it all.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "emberdale/file_system.hpp"

namespace emberdale {

// What opening a folder found.
struct LogOpening {
  StoreId store;                     // the identity on disk, made anew for a blank folder
  bool is_new = false;               // the identity was made by this opening
  bool was_corrupt = false;          // the old content was set aside: this is a NEW store
  std::string finding;               // what was dropped or set aside, in words
  std::vector<std::string> records;  // the snapshot first (if any), then each record after it
};

// Example:
//   SegmentedLog log(files, 1 << 20);
//   auto opening = log.open("fresh-id");       // replays; never reads corruption as empty
//   log.append({"record"}); log.sync();        // durable from here on
//   if (log.wants_snapshot()) log.snapshot("whole state");
class SegmentedLog {
 public:
  SegmentedLog(std::shared_ptr<FileSystem> files, std::size_t segment_bound);

  // Fails only on an error of the disk itself. Example: log.open(random_store_id())
  Outcome<LogOpening> open(const std::string& fresh_store);

  // Refused whole: a part that was written is taken back. Example: log.append({a, b})
  Outcome<bool> append(const std::vector<std::string>& records);

  // After a failed sync nothing is known of the disk: the caller must stop.
  Outcome<bool> sync();

  bool wants_snapshot() const { return size_ >= segment_bound_; }
  // Writes the whole state beside the log, starts the next segment, removes what is covered.
  Outcome<bool> snapshot(const std::string& state);

  // True once a fault left the disk in a state that only a restart can read again.
  bool must_stop() const { return must_stop_; }
  std::int64_t segment() const { return segment_; }

 private:
  std::string segment_file(std::int64_t number) const;
  std::string snapshot_file(std::int64_t number) const;
  Outcome<bool> write_whole(const std::string& file, const std::string& content);
  Outcome<bool> set_aside(const std::vector<std::string>& names);

  std::shared_ptr<FileSystem> files_;
  std::size_t segment_bound_;
  std::int64_t segment_ = 1;
  std::size_t size_ = 0;  // good bytes in the open segment
  bool must_stop_ = false;
};

}  // namespace emberdale
