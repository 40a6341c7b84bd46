// The few file acts the log needs, so that a disk can fail at each of them in turn.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

// What a file operation that did not succeed has left behind.
enum class FileFault {
  none,
  refused,  // the disk is as it was before: there was no descriptor, for example, or no space
  unknown   // what the disk holds now is not known
};

// What a file operation gives, or why it gives nothing. Example: if (written.fault == FileFault::refused) try_later();
template <class T>
struct FileOutcome : Outcome<T> {
  FileFault fault = FileFault::none;
  FileOutcome(T value) : Outcome<T>(std::move(value)) {}  // NOLINT: implicit by intent
  FileOutcome(FileFault kind, std::string why) : Outcome<T>(std::nullopt, std::move(why)), fault(kind) {}
};

struct FileFailure {
  FileFault fault;
  std::string reason;
  template <class T>
  operator FileOutcome<T>() const {  // NOLINT: implicit by intent
    return FileOutcome<T>(fault, reason);
  }
  template <class T>
  operator Outcome<T>() const {  // NOLINT: implicit by intent
    return Outcome<T>(std::nullopt, reason);
  }
};

inline FileFailure refused_operation(std::string reason) { return {FileFault::refused, std::move(reason)}; }
inline FileFailure unknown_result(std::string reason) { return {FileFault::unknown, std::move(reason)}; }
// The failure of one operation, as that of another. Example: if (!written) return failure_of(written);
template <class T>
FileFailure failure_of(const FileOutcome<T>& outcome) {
  return {outcome.fault, outcome.reason};
}

// One folder of files. An operation that fails tells what it has left behind.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual FileOutcome<std::vector<std::string>> list() = 0;
  virtual FileOutcome<std::string> read(const std::string& file) = 0;
  virtual FileOutcome<bool> append(const std::string& file, const std::string& bytes) = 0;  // creates
  virtual FileOutcome<bool> truncate(const std::string& file, std::size_t size) = 0;
  virtual FileOutcome<bool> sync(const std::string& file) = 0;
  virtual FileOutcome<bool> rename(const std::string& from, const std::string& to) = 0;
  virtual FileOutcome<bool> remove(const std::string& file) = 0;  // also succeeds if it is not there
  virtual FileOutcome<bool> sync_folder() = 0;
};

// The real thing: POSIX files below one folder, held under an exclusive lock. Refused while another process holds it.
// Example: auto files = open_disk_folder("/var/lib/emberdale"); if (!files) stop(files.reason);
FileOutcome<std::shared_ptr<FileSystem>> open_disk_folder(const std::string& folder);

// A disk in memory that knows what is synced. Each act is a numbered point at which a test may
// inject a fault or cut the power.
// Example: MemoryFileSystem disk; disk.fault_at = 3; disk.fault = MemoryFileSystem::Fault::power_cut;
class MemoryFileSystem : public FileSystem {
 public:
  enum class Fault {
    none,
    error,       // nothing is done, and the result is told as unknown
    full,        // a write is refused; every other operation fails
    refused,     // nothing is done, and the operation is told to be refused
    torn_error,  // half of a write is done
    power_cut
  };
  std::int64_t points = 0;       // acts so far
  std::int64_t fault_at = -1;    // the act (counted from 1) that fails
  std::int64_t faulty_acts = 1;  // so many acts in a row fail, from that one on
  Fault fault = Fault::none;
  bool is_off = false;   // after a power cut every act fails until power_on
  std::string last_act;  // what the faulty point was, for the test's report

  // What is not synced is lost, or part of it is: the random generator say which part.
  // Example: disk.power_on(random generator); SegmentedLog log(disk);
  void power_on(RandomGenerator& random);
  void wipe();
  // Bytes of all files, and the most there ever were. Example: EXPECT_LT(disk.most_bytes(), 64u << 20)
  std::size_t bytes() const;
  std::size_t most_bytes() const { return most_bytes_; }
  // Example: disk.flip_bit("segment-1", 40);
  void flip_bit(const std::string& file, std::size_t position);

  FileOutcome<std::vector<std::string>> list() override;
  FileOutcome<std::string> read(const std::string& file) override;
  FileOutcome<bool> append(const std::string& file, const std::string& bytes) override;
  FileOutcome<bool> truncate(const std::string& file, std::size_t size) override;
  FileOutcome<bool> sync(const std::string& file) override;
  FileOutcome<bool> rename(const std::string& from, const std::string& to) override;
  FileOutcome<bool> remove(const std::string& file) override;
  FileOutcome<bool> sync_folder() override;

 private:
  struct File {
    std::string content;
    std::size_t synced = 0;  // bytes sure to be there
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;
  Fault step(const std::string& act);
  // The failure of an operation that has changed nothing.
  static FileFailure failure_without_effect(Fault fault, const std::string& reason);
  Folder now_, synced_;
  std::size_t most_bytes_ = 0;
};

}  // namespace emberdale
