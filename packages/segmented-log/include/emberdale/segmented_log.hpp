// A log of records in segments, with snapshots beside it, for a state whose newest record says all of it.
//
// Files: `identity` (the store's id), `segment-N` (records, see log_frames.hpp) and `snapshot-N` (the whole state
// before segment N). Not safe for use by several threads at once.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "emberdale/file_system.hpp"

namespace emberdale {

// What opening a folder has found.
struct LogOpening {
  StoreId store;                     // the identity on disk; made by this opening for a blank folder
  bool is_new = false;               // the identity was made by this opening
  bool was_corrupt = false;          // the old content was set aside: this is a NEW store
  std::string finding;               // what was dropped or set aside, for the log; empty if nothing
  std::vector<std::string> records;  // the snapshot first (if any), then each record after it
};

// Example:
//   SegmentedLog log(files, 1 << 20);
//   auto opening = log.open("fresh-id");
//   log.append({"record"});
//   log.sync();  // durable from here on
//   if (log.wants_snapshot())
//     log.snapshot("whole state");
class SegmentedLog {
 public:
  // `segment_bound`: size of a segment in bytes from which on a snapshot is wanted.
  SegmentedLog(std::shared_ptr<FileSystem> files, std::size_t segment_bound);

  // Replays the folder. A torn tail of the last segment is dropped; any other damage sets all files aside and begins a
  // new store with the id `replacing_store`: corruption is never read as empty. A blank folder gets the id
  // `first_store`. Fails only on an error of the disk; another log may then be opened on the same folder.
  FileOutcome<LogOpening> open(const std::string& first_store, const std::string& replacing_store);
  FileOutcome<LogOpening> open(const std::string& fresh_store) { return open(fresh_store, fresh_store); }

  // Adds the records as one write, which is not durable before sync(). On an error nothing is added: a part that was
  // written is taken back, before the next write at the latest.
  FileOutcome<bool> append(const std::vector<std::string>& records);

  // Makes all that was appended durable. If that is refused, what was appended since the last sync is taken back. After
  // any other error nothing is known of the disk: the caller must stop.
  FileOutcome<bool> sync();

  bool wants_snapshot() const { return size_ >= snapshot_size_; }
  // Starts the next segment, writes the whole state beside the log, and removes what the snapshot covers. To be called
  // when all is synced. If it fails the log goes on without a snapshot, and wants one later.
  FileOutcome<bool> snapshot(const std::string& state);

  // True once an error left the disk in a state that only a restart can read again.
  bool must_stop() const { return must_stop_; }
  // Number of the segment that records are added to.
  std::int64_t segment() const { return segment_; }

 private:
  struct FolderContent {
    std::vector<std::string> names;
    std::vector<std::int64_t> segments, snapshots;  // numbers, ascending
    bool has_identity = false;
  };
  struct Replay {
    LogOpening opening;
    std::string corruption;  // what is damaged; empty if nothing is
    std::int64_t start = 1;  // number of the snapshot, and of the first segment after it
  };

  std::string segment_file(std::int64_t number) const;
  std::string snapshot_file(std::int64_t number) const;
  FileOutcome<FolderContent> list_folder();
  // The steps of open(): each reads one kind of file, and fails only on an error of the disk.
  FileOutcome<bool> replay(const FolderContent& content, Replay& replay);
  FileOutcome<bool> read_identity(const FolderContent& content, Replay& replay);
  FileOutcome<bool> read_snapshot(const FolderContent& content, Replay& replay);
  FileOutcome<bool> read_segments(const FolderContent& content, Replay& replay);
  FileOutcome<bool> read_segment(std::int64_t number, bool is_last, Replay& replay);
  FileOutcome<bool> begin_new_store(const FolderContent& content, Replay& replay);
  void remove_covered_files(const FolderContent& content, std::int64_t start);
  FileOutcome<bool> create_segment(std::int64_t number);
  FileOutcome<bool> begin_next_segment();
  // Takes back what lies behind the valid bytes of the open segment, if anything may.
  FileOutcome<bool> cut_tail();
  void remove_before(std::int64_t number);
  // Writes a file of one record under another name first, so that it is whole or not there.
  FileOutcome<bool> write_whole(const std::string& file, const std::string& content);
  FileOutcome<bool> set_aside(const std::vector<std::string>& names);

  std::shared_ptr<FileSystem> files_;
  const std::size_t segment_bound_;
  std::int64_t segment_ = 1;  // the open segment
  std::int64_t oldest_segment_ = 1;
  std::size_t size_ = 0;         // valid bytes in the open segment
  std::size_t synced_size_ = 0;  // of them, how many are durable
  std::size_t snapshot_size_;    // a snapshot is wanted from this size of the open segment on
  bool has_loose_tail_ = false;  // behind the valid bytes there may be others
  bool is_name_synced_ = true;   // of the open segment
  bool must_stop_ = false;       // set by any error after which the open segment's content is not known
};

}  // namespace emberdale
