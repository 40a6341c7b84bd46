// A disk that is slow, stalled, full or fails its syncs on command, around a real one: for tests alone.
#pragma once
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "emberdale/file_system.hpp"

namespace emberdale {

// Example: FaultyFileSystem disk(*open_disk_folder("/data")); disk.set_fault("full", 0); disk.append("f", "x") fails
class FaultyFileSystem : public FileSystem {
 public:
  explicit FaultyFileSystem(std::shared_ptr<FileSystem> real) : real_(std::move(real)) {}

  // "good", "slow" (each sync takes `ms` longer), "stalled" (none returns before it is good again), "full",
  // "sync_error" or "no_new_file" (a file that was not written before can't be opened: no descriptor is left). False:
  // no such fault. Example: disk.set_fault("slow", 250)
  bool set_fault(const std::string& name, std::int64_t ms) {
    for (Fault fault : {Fault::good, Fault::slow, Fault::stalled, Fault::full, Fault::sync_error, Fault::no_new_file})
      if (name == name_of(fault)) {
        slow_ms_ = ms;
        fault_ = fault;
        return true;
      }
    return false;
  }

  FileOutcome<std::vector<std::string>> list() override { return real_->list(); }
  FileOutcome<std::string> read(const std::string& file) override { return real_->read(file); }
  FileOutcome<bool> append(const std::string& file, const std::string& bytes) override {
    if (fault_ == Fault::full)
      return refused_operation("no space left (injected)");
    if (fault_ == Fault::no_new_file && file != last_written_)
      return refused_operation("open " + file + ": no descriptor is left (injected)");
    last_written_ = file;
    return real_->append(file, bytes);
  }
  FileOutcome<bool> truncate(const std::string& file, std::size_t size) override { return real_->truncate(file, size); }
  FileOutcome<bool> sync(const std::string& file) override {
    auto held = wait();
    return held ? real_->sync(file) : held;
  }
  FileOutcome<bool> rename(const std::string& from, const std::string& to) override { return real_->rename(from, to); }
  FileOutcome<bool> remove(const std::string& file) override { return real_->remove(file); }
  FileOutcome<bool> sync_folder() override {
    auto held = wait();
    return held ? real_->sync_folder() : held;
  }

 private:
  enum class Fault { good, slow, stalled, full, sync_error, no_new_file };
  static const char* name_of(Fault fault) {
    switch (fault) {
      case Fault::slow:
        return "slow";
      case Fault::stalled:
        return "stalled";
      case Fault::full:
        return "full";
      case Fault::sync_error:
        return "sync_error";
      case Fault::no_new_file:
        return "no_new_file";
      default:
        return "good";
    }
  }
  FileOutcome<bool> wait() {
    if (fault_ == Fault::sync_error)
      return unknown_result("the sync failed (injected)");
    if (fault_ == Fault::slow)
      std::this_thread::sleep_for(std::chrono::milliseconds(slow_ms_));
    while (fault_ == Fault::stalled)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return true;
  }
  std::shared_ptr<FileSystem> real_;
  std::string last_written_;
  std::atomic<Fault> fault_{Fault::good};
  std::atomic<std::int64_t> slow_ms_{0};
};

}  // namespace emberdale
