#include "emberdale/segmented_log.hpp"

#include <algorithm>
#include <cstdlib>

#include "log_frames.hpp"

namespace emberdale {
namespace {

const char* const identity_file = "identity";
const char* const segment_prefix = "segment-";
const char* const snapshot_prefix = "snapshot-";
const char* const draft_prefix = "draft-";
const char* const set_aside_prefix = "set-aside-";
// A snapshot that can't be begun is tried again each time the segment has grown by such a part of its bound.
constexpr std::size_t snapshot_retries_of_segment = 8;

bool has_prefix(const std::string& name, const std::string& prefix) { return name.rfind(prefix, 0) == 0; }

// The only record of a file that holds exactly one; nothing if it is damaged in any way.
std::optional<std::string> read_single_record(const std::string& bytes) {
  LogFrameScan scan = scan_log_frames(bytes);
  if (scan.records.size() != 1 || scan.is_corrupt || scan.is_torn)
    return std::nullopt;
  return scan.records[0];
}

std::optional<std::int64_t> number_after(const std::string& name, const std::string& prefix) {
  if (name.rfind(prefix, 0) != 0 || name.size() == prefix.size())
    return std::nullopt;
  for (std::size_t i = prefix.size(); i < name.size(); ++i)
    if (name[i] < '0' || name[i] > '9')
      return std::nullopt;
  return std::strtoll(name.c_str() + prefix.size(), nullptr, 10);
}

}  // namespace

SegmentedLog::SegmentedLog(std::shared_ptr<FileSystem> files, std::size_t segment_bound)
    : files_(std::move(files)), segment_bound_(segment_bound), snapshot_size_(segment_bound) {}

std::string SegmentedLog::segment_file(std::int64_t number) const { return segment_prefix + std::to_string(number); }
std::string SegmentedLog::snapshot_file(std::int64_t number) const { return snapshot_prefix + std::to_string(number); }

FileOutcome<bool> SegmentedLog::write_whole(const std::string& file, const std::string& content) {
  const std::string draft = draft_prefix + file;
  auto written = files_->remove(draft);
  if (written)
    written = files_->append(draft, encode_log_frame(content));
  if (written)
    written = files_->sync(draft);
  if (written)
    written = files_->rename(draft, file);
  if (written)
    written = files_->sync_folder();
  if (!written)
    files_->remove(draft);
  return written;
}

FileOutcome<bool> SegmentedLog::set_aside(const std::vector<std::string>& names) {
  std::int64_t round = 1;
  for (const auto& name : names)
    if (has_prefix(name, set_aside_prefix))
      round = std::max<std::int64_t>(
          round, std::strtoll(name.c_str() + std::char_traits<char>::length(set_aside_prefix), nullptr, 10) + 1);
  const std::string prefix = set_aside_prefix + std::to_string(round) + "-";
  // The identity goes first: without it the rest can never be taken for a whole store again.
  if (std::find(names.begin(), names.end(), identity_file) != names.end()) {
    auto moved = files_->rename(identity_file, prefix + identity_file);
    if (moved)
      moved = files_->sync_folder();
    if (!moved)
      return moved;
  }
  for (const auto& name : names) {
    if (has_prefix(name, set_aside_prefix) || name == identity_file)
      continue;
    auto moved = files_->rename(name, prefix + name);
    if (!moved)
      return moved;
  }
  return files_->sync_folder();
}

FileOutcome<SegmentedLog::FolderContent> SegmentedLog::list_folder() {
  FolderContent content;
  auto names = files_->list();
  if (!names)
    return failure_of(names);
  content.names = *names;
  for (const auto& name : content.names) {
    if (name == identity_file)
      content.has_identity = true;
    if (auto number = number_after(name, segment_prefix))
      content.segments.push_back(*number);
    if (auto number = number_after(name, snapshot_prefix))
      content.snapshots.push_back(*number);
  }
  std::sort(content.segments.begin(), content.segments.end());
  std::sort(content.snapshots.begin(), content.snapshots.end());
  return content;
}

FileOutcome<bool> SegmentedLog::read_identity(const FolderContent& content, Replay& replay) {
  if (!content.has_identity) {
    if (!content.segments.empty() || !content.snapshots.empty())
      replay.corruption = "content without identity";
    return true;
  }
  auto bytes = files_->read(identity_file);
  if (!bytes)
    return failure_of(bytes);
  if (auto identity = read_single_record(*bytes))
    replay.opening.store.text = *identity;
  else
    replay.corruption = "identity unreadable";
  return true;
}

FileOutcome<bool> SegmentedLog::read_snapshot(const FolderContent& content, Replay& replay) {
  if (content.snapshots.empty())
    return true;
  replay.start = content.snapshots.back();
  auto bytes = files_->read(snapshot_file(replay.start));
  if (!bytes)
    return failure_of(bytes);
  if (auto state = read_single_record(*bytes))
    replay.opening.records = {*state};
  else
    replay.corruption = "snapshot " + std::to_string(replay.start) + " unreadable";
  return true;
}

FileOutcome<bool> SegmentedLog::read_segments(const FolderContent& content, Replay& replay) {
  std::int64_t expected = replay.start;
  segment_ = replay.start;
  size_ = 0;
  for (std::int64_t number : content.segments) {
    if (number < replay.start)
      continue;
    if (number != expected++) {
      replay.corruption = "segment " + std::to_string(expected - 1) + " missing";
      return true;
    }
    auto read = read_segment(number, number == content.segments.back(), replay);
    if (!read)
      return read;
    if (!replay.corruption.empty())
      return true;
  }
  return true;
}

FileOutcome<bool> SegmentedLog::read_segment(std::int64_t number, bool is_last, Replay& replay) {
  const std::string file = segment_file(number);
  auto bytes = files_->read(file);
  if (!bytes)
    return failure_of(bytes);
  LogFrameScan scan = scan_log_frames(*bytes);
  if (scan.is_corrupt || (scan.is_torn && !is_last)) {
    replay.corruption = file + " corrupt at byte " + std::to_string(scan.valid_bytes);
    return true;
  }
  if (scan.is_torn) {
    replay.opening.finding =
        file + ": torn tail of " + std::to_string(bytes->size() - scan.valid_bytes) + " bytes dropped";
    auto cut = files_->truncate(file, scan.valid_bytes);
    if (cut)
      cut = files_->sync(file);
    if (!cut)
      return cut;
  }
  auto& records = replay.opening.records;
  records.insert(records.end(), scan.records.begin(), scan.records.end());
  segment_ = number;
  size_ = scan.valid_bytes;
  return true;
}

FileOutcome<bool> SegmentedLog::begin_new_store(const FolderContent& content, Replay& replay) {
  auto moved = set_aside(content.names);
  if (!moved)
    return moved;
  replay.opening = LogOpening{};
  replay.opening.was_corrupt = true;
  replay.opening.finding = replay.corruption + "; set aside, this is a new store";
  replay.start = 1;
  segment_ = 1;
  size_ = 0;
  return true;
}

void SegmentedLog::remove_covered_files(const FolderContent& content, std::int64_t start) {
  for (auto number : content.segments)
    if (number < start)
      files_->remove(segment_file(number));
  for (auto number : content.snapshots)
    if (number < start)
      files_->remove(snapshot_file(number));
  for (const auto& name : content.names)
    if (has_prefix(name, draft_prefix))
      files_->remove(name);
}

// The open segment exists by name before the first record is promised to be in it.
FileOutcome<bool> SegmentedLog::create_segment(std::int64_t number) {
  auto made = files_->append(segment_file(number), "");
  if (made)
    made = files_->sync(segment_file(number));
  if (made)
    made = files_->sync_folder();
  return made;
}

FileOutcome<bool> SegmentedLog::replay(const FolderContent& content, Replay& replay) {
  auto read = read_identity(content, replay);
  if (read && replay.corruption.empty())
    read = read_snapshot(content, replay);
  if (read && replay.corruption.empty())
    read = read_segments(content, replay);
  return read;
}

FileOutcome<LogOpening> SegmentedLog::open(const std::string& first_store, const std::string& replacing_store) {
  auto content = list_folder();
  if (!content)
    return failure_of(content);
  Replay replayed;
  auto done = replay(*content, replayed);
  bool is_corrupt = !replayed.corruption.empty();
  if (done && is_corrupt)
    done = begin_new_store(*content, replayed);
  if (!done)
    return failure_of(done);
  if (!content->has_identity || is_corrupt) {
    replayed.opening.is_new = true;
    replayed.opening.store.text = is_corrupt ? replacing_store : first_store;
    auto written = write_whole(identity_file, replayed.opening.store.text);
    if (!written)
      return failure_of(written);
  } else {
    remove_covered_files(*content, replayed.start);
  }
  auto made = create_segment(segment_);
  if (!made)
    return failure_of(made);
  oldest_segment_ = replayed.start;
  synced_size_ = size_;
  return replayed.opening;
}

FileOutcome<bool> SegmentedLog::cut_tail() {
  if (!has_loose_tail_)
    return true;
  auto cut = files_->truncate(segment_file(segment_), size_);
  if (cut)
    cut = files_->sync(segment_file(segment_));  // a torn end of a segment that another follows would be corruption
  has_loose_tail_ = !cut;
  must_stop_ = must_stop_ || cut.fault == FileFault::unknown;
  return cut;
}

FileOutcome<bool> SegmentedLog::append(const std::vector<std::string>& records) {
  if (must_stop_)
    return unknown_result("the log has stopped");
  auto written = cut_tail();
  if (!written)
    return written;
  std::string bytes;
  for (const auto& record : records)
    bytes += encode_log_frame(record);
  written = files_->append(segment_file(segment_), bytes);
  if (written)
    size_ += bytes.size();
  has_loose_tail_ = written.fault == FileFault::unknown;
  cut_tail();
  return written;
}

FileOutcome<bool> SegmentedLog::sync() {
  if (must_stop_)
    return unknown_result("the log has stopped");
  auto synced = files_->sync(segment_file(segment_));
  if (synced && !is_name_synced_)
    synced = files_->sync_folder();
  if (synced) {
    is_name_synced_ = true;
    synced_size_ = size_;
  }
  must_stop_ = synced.fault == FileFault::unknown;
  if (synced.fault == FileFault::refused) {
    has_loose_tail_ = size_ != synced_size_;
    size_ = synced_size_;
    cut_tail();
  }
  return synced;
}

FileOutcome<bool> SegmentedLog::begin_next_segment() {
  auto made = cut_tail();
  if (made)
    made = files_->append(segment_file(segment_ + 1), "");
  if (!made) {
    must_stop_ = must_stop_ || made.fault == FileFault::unknown;
    return made;
  }
  ++segment_;
  size_ = synced_size_ = 0;
  is_name_synced_ = false;
  return made;
}

void SegmentedLog::remove_before(std::int64_t number) {
  for (; oldest_segment_ < number; ++oldest_segment_) {
    files_->remove(segment_file(oldest_segment_));
    files_->remove(snapshot_file(oldest_segment_));
  }
}

// The next segment comes first. Without the snapshot, or where it is not known whether its name is durable, the former
// segments are still there and lead up to it.
FileOutcome<bool> SegmentedLog::snapshot(const std::string& state) {
  if (must_stop_)
    return unknown_result("the log has stopped");
  auto written = begin_next_segment();
  if (!written) {
    snapshot_size_ = size_ + segment_bound_ / snapshot_retries_of_segment;
    return written;
  }
  snapshot_size_ = segment_bound_;
  written = write_whole(snapshot_file(segment_), state);
  if (written) {
    is_name_synced_ = true;
    remove_before(segment_);
  }
  return written;
}

}  // namespace emberdale
