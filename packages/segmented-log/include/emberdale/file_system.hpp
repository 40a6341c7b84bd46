// The few file acts the log needs, so that a disk can fail at each of them in turn.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

// One folder of files. Every act can fail with a reason.
class FileSystem {
 public:
  virtual ~FileSystem() = default;
  virtual Outcome<std::vector<std::string>> list() = 0;
  virtual Outcome<std::string> read(const std::string& file) = 0;
  virtual Outcome<bool> append(const std::string& file, const std::string& bytes) = 0;  // creates
  virtual Outcome<bool> truncate(const std::string& file, std::size_t size) = 0;
  virtual Outcome<bool> sync(const std::string& file) = 0;
  virtual Outcome<bool> rename(const std::string& from, const std::string& to) = 0;
  virtual Outcome<bool> remove(const std::string& file) = 0;
  virtual Outcome<bool> sync_folder() = 0;
};

// The real thing: POSIX files below one folder, held under an exclusive lock.
// Example: auto files = open_disk_folder("/var/lib/emberdale"); if (!files) stop(files.reason);
Outcome<std::shared_ptr<FileSystem>> open_disk_folder(const std::string& folder);

// A disk in memory that knows what is synced. Each act is a numbered point at which a test may
// inject a fault or cut the power.
// Example: MemoryFileSystem disk; disk.fault_at = 3; disk.fault = MemoryFileSystem::Fault::power_cut;
class MemoryFileSystem : public FileSystem {
 public:
  enum class Fault { none, error, full, torn_error, power_cut };
  std::int64_t points = 0;     // acts so far
  std::int64_t fault_at = -1;  // the act (counted from 1) that fails
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

  Outcome<std::vector<std::string>> list() override;
  Outcome<std::string> read(const std::string& file) override;
  Outcome<bool> append(const std::string& file, const std::string& bytes) override;
  Outcome<bool> truncate(const std::string& file, std::size_t size) override;
  Outcome<bool> sync(const std::string& file) override;
  Outcome<bool> rename(const std::string& from, const std::string& to) override;
  Outcome<bool> remove(const std::string& file) override;
  Outcome<bool> sync_folder() override;

 private:
  struct File {
    std::string content;
    std::size_t synced = 0;  // bytes sure to be there
  };
  using Folder = std::map<std::string, std::shared_ptr<File>>;
  Fault step(const std::string& act);
  Folder now_, synced_;
  std::size_t most_bytes_ = 0;
};

}  // namespace emberdale
