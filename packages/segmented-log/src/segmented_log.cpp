#include "emberdale/segmented_log.hpp"

#include <algorithm>
#include <boost/crc.hpp>
#include <cstdlib>

namespace emberdale {
namespace {

constexpr std::size_t head_size = 12;  // size, checksum of the size, checksum of the payload

std::uint32_t checksum(const char* start, std::size_t size) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(start, size);
  return crc.checksum();
}

void put32(std::string& out, std::uint32_t number) {
  for (int i = 0; i < 4; ++i)
    out.push_back(static_cast<char>(number >> (8 * i)));
}

std::uint32_t get32(const std::string& bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i)
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  return number;
}

std::string framed(const std::string& payload) {
  std::string out;
  put32(out, static_cast<std::uint32_t>(payload.size()));
  put32(out, checksum(out.data(), 4));
  put32(out, checksum(payload.data(), payload.size()));
  return out + payload;
}

struct Scan {
  std::vector<std::string> records;
  std::size_t good = 0;     // bytes up to the end of the last whole record
  bool is_torn = false;     // the rest is a write that never ended
  bool is_corrupt = false;  // the rest was once whole
};

// A tail is torn when it is shorter than it says, or nothing but zeros; a record of full length
// with a wrong checksum was changed after it was written.
Scan scan_frames(const std::string& bytes) {
  Scan scan;
  while (scan.good < bytes.size()) {
    std::size_t left = bytes.size() - scan.good;
    bool is_zero = bytes.find_first_not_of('\0', scan.good) == std::string::npos;
    if (is_zero || left < head_size) {
      scan.is_torn = true;
      return scan;
    }
    std::uint32_t size = get32(bytes, scan.good);
    if (checksum(bytes.data() + scan.good, 4) != get32(bytes, scan.good + 4)) {
      // A torn head filled up with zeros is torn; anything else was whole once.
      bool has_zero_rest = bytes.find_first_not_of('\0', scan.good + head_size) == std::string::npos;
      (has_zero_rest ? scan.is_torn : scan.is_corrupt) = true;
      return scan;
    }
    if (left - head_size < size) {
      scan.is_torn = true;
      return scan;
    }
    const char* payload = bytes.data() + scan.good + head_size;
    if (checksum(payload, size) != get32(bytes, scan.good + 8)) {
      // Zeros from within this record to the end of the file: a write that never ended.
      bool has_zero_end =
          size > 0 && bytes.find_first_not_of('\0', scan.good + head_size + size - 1) == std::string::npos;
      (has_zero_end ? scan.is_torn : scan.is_corrupt) = true;
      return scan;
    }
    scan.records.emplace_back(payload, size);
    scan.good += head_size + size;
  }
  return scan;
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

std::string SegmentedLog::segment_file(std::int64_t number) const { return "segment-" + std::to_string(number); }
std::string SegmentedLog::snapshot_file(std::int64_t number) const { return "snapshot-" + std::to_string(number); }

Outcome<bool> SegmentedLog::write_whole(const std::string& file, const std::string& content) {
  std::string draft = "draft-" + file;
  auto names = files_->list();
  if (!names)
    return failure(names.reason);
  if (std::find(names->begin(), names->end(), draft) != names->end()) {
    auto removed = files_->remove(draft);
    if (!removed)
      return removed;
  }
  auto written = files_->append(draft, framed(content));
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
    if (name.rfind("set-aside-", 0) == 0)
      round = std::max<std::int64_t>(round, std::strtoll(name.c_str() + 10, nullptr, 10) + 1);
  for (const auto& name : names) {
    if (name.rfind("set-aside-", 0) == 0)
      continue;
    // The identity goes first: without it the rest can never be taken for a whole store again.
    if (name == "identity") {
      auto moved = files_->rename(name, "set-aside-" + std::to_string(round) + "-" + name);
      if (moved)
        moved = files_->sync_folder();
      if (!moved)
        return moved;
    }
  }
  for (const auto& name : names) {
    if (name.rfind("set-aside-", 0) == 0 || name == "identity")
      continue;
    auto moved = files_->rename(name, "set-aside-" + std::to_string(round) + "-" + name);
    if (!moved)
      return moved;
  }
  return files_->sync_folder();
}

Outcome<LogOpening> SegmentedLog::open(const std::string& fresh_store) {
  LogOpening opening;
  auto names = files_->list();
  if (!names)
    return failure(names.reason);
  bool has_identity = false, has_content = false;
  std::vector<std::int64_t> segments, snapshots;
  for (const auto& name : *names) {
    if (name == "identity")
      has_identity = true;
    if (auto number = number_after(name, "segment-"))
      segments.push_back(*number);
    if (auto number = number_after(name, "snapshot-"))
      snapshots.push_back(*number);
  }
  has_content = !segments.empty() || !snapshots.empty();
  std::sort(segments.begin(), segments.end());
  std::sort(snapshots.begin(), snapshots.end());

  std::string corruption;
  std::int64_t start = 1;
  if (has_identity) {
    auto bytes = files_->read("identity");
    if (!bytes)
      return failure(bytes.reason);
    Scan scan = scan_frames(*bytes);
    if (scan.records.size() != 1 || scan.is_corrupt || scan.is_torn)
      corruption = "identity unreadable";
    else
      opening.store.text = scan.records[0];
  } else if (has_content) {
    corruption = "content without identity";
  }
  if (corruption.empty() && !snapshots.empty()) {
    start = snapshots.back();
    auto bytes = files_->read(snapshot_file(start));
    if (!bytes)
      return failure(bytes.reason);
    Scan scan = scan_frames(*bytes);
    if (scan.records.size() != 1 || scan.is_corrupt || scan.is_torn)
      corruption = "snapshot " + std::to_string(start) + " unreadable";
    else
      opening.records = scan.records;
  }
  if (corruption.empty()) {
    std::int64_t expected = start;
    segment_ = start;
    size_ = 0;
    for (std::size_t i = 0; i < segments.size() && corruption.empty(); ++i) {
      if (segments[i] < start)
        continue;
      bool is_last = i + 1 == segments.size();
      if (segments[i] != expected++) {
        corruption = "segment " + std::to_string(expected - 1) + " missing";
        break;
      }
      auto bytes = files_->read(segment_file(segments[i]));
      if (!bytes)
        return failure(bytes.reason);
      Scan scan = scan_frames(*bytes);
      if (scan.is_corrupt || (scan.is_torn && !is_last)) {
        corruption = segment_file(segments[i]) + " corrupt at byte " + std::to_string(scan.good);
        break;
      }
      if (scan.is_torn) {
        opening.finding = segment_file(segments[i]) + ": torn tail of " + std::to_string(bytes->size() - scan.good) +
                          " bytes dropped";
        auto cut = files_->truncate(segment_file(segments[i]), scan.good);
        if (cut)
          cut = files_->sync(segment_file(segments[i]));
        if (!cut)
          return failure(cut.reason);
      }
      opening.records.insert(opening.records.end(), scan.records.begin(), scan.records.end());
      segment_ = segments[i];
      size_ = scan.good;
    }
  }
  if (!corruption.empty()) {
    auto moved = set_aside(*names);
    if (!moved)
      return failure(moved.reason);
    opening = LogOpening{};
    opening.was_corrupt = true;
    opening.finding = corruption + "; set aside, this is a new store";
    has_identity = false;
    segment_ = 1;
    size_ = 0;
    start = 1;
  }
  if (!has_identity) {
    opening.is_new = true;
    opening.store.text = fresh_store;
    auto written = write_whole("identity", fresh_store);
    if (!written)
      return failure(written.reason);
  } else {
    for (auto number : segments)
      if (number < start)
        files_->remove(segment_file(number));
    for (auto number : snapshots)
      if (number < start)
        files_->remove(snapshot_file(number));
  }
  // The open segment exists by name before the first record is promised to be in it.
  auto made = files_->append(segment_file(segment_), "");
  if (made)
    made = files_->sync(segment_file(segment_));
  if (made)
    made = files_->sync_folder();
  if (!made)
    return failure(made.reason);
  return opening;
}

Outcome<bool> SegmentedLog::append(const std::vector<std::string>& records) {
  if (must_stop_)
    return failure("the log has stopped");
  std::string bytes;
  for (const auto& record : records)
    bytes += framed(record);
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
  auto made = files_->append(segment_file(next), "");
  if (made)
    made = files_->sync(segment_file(next));
  if (made)
    made = files_->sync_folder();
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
