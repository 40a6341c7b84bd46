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
    : files_(std::move(files)), segment_bound_(segment_bound) {}

std::string SegmentedLog::segment_file(std::int64_t number) const { return segment_prefix + std::to_string(number); }
std::string SegmentedLog::snapshot_file(std::int64_t number) const { return snapshot_prefix + std::to_string(number); }

Outcome<bool> SegmentedLog::write_whole(const std::string& file, const std::string& content) {
  std::string draft = draft_prefix + file;
  auto names = files_->list();
  if (!names)
    return failure(names.reason);
  if (std::find(names->begin(), names->end(), draft) != names->end()) {
    auto removed = files_->remove(draft);
    if (!removed)
      return removed;
  }
  auto written = files_->append(draft, encode_log_frame(content));
  if (written)
    written = files_->sync(draft);
  if (written)
    written = files_->rename(draft, file);
  if (written)
    written = files_->sync_folder();
  return written;
}

Outcome<bool> SegmentedLog::set_aside(const std::vector<std::string>& names) {
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

Outcome<SegmentedLog::FolderContent> SegmentedLog::list_folder() {
  FolderContent content;
  auto names = files_->list();
  if (!names)
    return failure(names.reason);
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

Outcome<bool> SegmentedLog::read_identity(const FolderContent& content, Replay& replay) {
  if (!content.has_identity) {
    if (!content.segments.empty() || !content.snapshots.empty())
      replay.corruption = "content without identity";
    return true;
  }
  auto bytes = files_->read(identity_file);
  if (!bytes)
    return failure(bytes.reason);
  if (auto identity = read_single_record(*bytes))
    replay.opening.store.text = *identity;
  else
    replay.corruption = "identity unreadable";
  return true;
}

Outcome<bool> SegmentedLog::read_snapshot(const FolderContent& content, Replay& replay) {
  if (content.snapshots.empty())
    return true;
  replay.start = content.snapshots.back();
  auto bytes = files_->read(snapshot_file(replay.start));
  if (!bytes)
    return failure(bytes.reason);
  if (auto state = read_single_record(*bytes))
    replay.opening.records = {*state};
  else
    replay.corruption = "snapshot " + std::to_string(replay.start) + " unreadable";
  return true;
}

Outcome<bool> SegmentedLog::read_segments(const FolderContent& content, Replay& replay) {
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

Outcome<bool> SegmentedLog::read_segment(std::int64_t number, bool is_last, Replay& replay) {
  const std::string file = segment_file(number);
  auto bytes = files_->read(file);
  if (!bytes)
    return failure(bytes.reason);
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

Outcome<bool> SegmentedLog::begin_new_store(const FolderContent& content, Replay& replay) {
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
}

// The open segment exists by name before the first record is promised to be in it.
Outcome<bool> SegmentedLog::create_segment(std::int64_t number) {
  auto made = files_->append(segment_file(number), "");
  if (made)
    made = files_->sync(segment_file(number));
  if (made)
    made = files_->sync_folder();
  return made;
}

Outcome<bool> SegmentedLog::replay(const FolderContent& content, Replay& replay) {
  auto read = read_identity(content, replay);
  if (read && replay.corruption.empty())
    read = read_snapshot(content, replay);
  if (read && replay.corruption.empty())
    read = read_segments(content, replay);
  return read;
}

Outcome<LogOpening> SegmentedLog::open(const std::string& fresh_store) {
  auto content = list_folder();
  if (!content)
    return failure(content.reason);
  Replay replayed;
  auto done = replay(*content, replayed);
  bool is_corrupt = !replayed.corruption.empty();
  if (done && is_corrupt)
    done = begin_new_store(*content, replayed);
  if (!done)
    return failure(done.reason);
  if (!content->has_identity || is_corrupt) {
    replayed.opening.is_new = true;
    replayed.opening.store.text = fresh_store;
    auto written = write_whole(identity_file, fresh_store);
    if (!written)
      return failure(written.reason);
  } else {
    remove_covered_files(*content, replayed.start);
  }
  auto made = create_segment(segment_);
  if (!made)
    return failure(made.reason);
  return replayed.opening;
}

Outcome<bool> SegmentedLog::append(const std::vector<std::string>& records) {
  if (must_stop_)
    return failure("the log has stopped");
  std::string bytes;
  for (const auto& record : records)
    bytes += encode_log_frame(record);
  auto written = files_->append(segment_file(segment_), bytes);
  if (!written) {
    auto cut = files_->truncate(segment_file(segment_), size_);
    if (!cut)
      must_stop_ = true;
    return written;
  }
  size_ += bytes.size();
  return true;
}

Outcome<bool> SegmentedLog::sync() {
  if (must_stop_)
    return failure("the log has stopped");
  auto synced = files_->sync(segment_file(segment_));
  if (!synced)
    must_stop_ = true;
  return synced;
}

Outcome<bool> SegmentedLog::snapshot(const std::string& state) {
  if (must_stop_)
    return failure("the log has stopped");
  std::int64_t next = segment_ + 1;
  auto written = write_whole(snapshot_file(next), state);
  if (!written) {
    // The name may or may not be on disk; records must not go on in the old segment behind it.
    must_stop_ = written.reason.find("sync") != std::string::npos || written.reason.find("rename") != std::string::npos;
    return written;
  }
  auto made = create_segment(next);
  if (!made) {
    must_stop_ = true;
    return made;
  }
  std::int64_t old = segment_;
  segment_ = next;
  size_ = 0;
  files_->remove(segment_file(old));
  files_->remove(snapshot_file(old));
  return true;
}

}  // namespace emberdale
