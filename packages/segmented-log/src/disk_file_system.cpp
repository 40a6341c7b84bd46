#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "emberdale/file_system.hpp"

namespace emberdale {
namespace {

FileFailure refused_by_errno(const std::string& act) { return refused_operation(act + ": " + std::strerror(errno)); }
FileFailure unknown_by_errno(const std::string& act) { return unknown_result(act + ": " + std::strerror(errno)); }

class DiskFileSystem : public FileSystem {
 public:
  DiskFileSystem(std::string folder, int folder_handle, int lock_handle)
      : folder_(std::move(folder)), folder_handle_(folder_handle), lock_handle_(lock_handle) {}
  ~DiskFileSystem() override {
    if (handle_ >= 0)
      ::close(handle_);
    ::close(folder_handle_);
    ::close(lock_handle_);
  }

  FileOutcome<std::vector<std::string>> list() override {
    DIR* folder = ::opendir(folder_.c_str());
    if (folder == nullptr)
      return refused_by_errno("list " + folder_);
    std::vector<std::string> names;
    while (dirent* entry = ::readdir(folder)) {
      std::string name = entry->d_name;
      if (name != "." && name != ".." && name != "lock")
        names.push_back(name);
    }
    ::closedir(folder);
    return names;
  }

  FileOutcome<std::string> read(const std::string& file) override {
    int handle = ::openat(folder_handle_, file.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0)
      return refused_by_errno("read " + file);
    std::string bytes;
    char part[65536];
    ssize_t size = 0;
    while ((size = ::read(handle, part, sizeof part)) > 0)
      bytes.append(part, static_cast<std::size_t>(size));
    ::close(handle);
    if (size < 0)
      return refused_by_errno("read " + file);
    return bytes;
  }

  FileOutcome<bool> append(const std::string& file, const std::string& bytes) override {
    if (!use(file, O_CREAT))
      return refused_by_errno("open " + file);
    std::size_t done = 0;
    while (done < bytes.size()) {
      ssize_t size = ::write(handle_, bytes.data() + done, bytes.size() - done);
      if (size < 0 && errno == EINTR)
        continue;
      if (size < 0)
        return done == 0 ? refused_by_errno("write " + file) : unknown_by_errno("write " + file);
      done += static_cast<std::size_t>(size);
    }
    return true;
  }

  FileOutcome<bool> truncate(const std::string& file, std::size_t size) override {
    if (!use(file, 0))
      return refused_by_errno("open " + file);
    if (::ftruncate(handle_, static_cast<off_t>(size)) != 0)
      return unknown_by_errno("truncate " + file);
    return true;
  }

  FileOutcome<bool> sync(const std::string& file) override {
    if (!use(file, 0))
      return refused_by_errno("open " + file);
    if (::fdatasync(handle_) != 0)
      return unknown_by_errno("sync " + file);
    return true;
  }

  FileOutcome<bool> rename(const std::string& from, const std::string& to) override {
    forget(from);
    forget(to);
    if (::renameat(folder_handle_, from.c_str(), folder_handle_, to.c_str()) != 0)
      return unknown_by_errno("rename " + from);
    return true;
  }

  FileOutcome<bool> remove(const std::string& file) override {
    forget(file);
    if (::unlinkat(folder_handle_, file.c_str(), 0) != 0 && errno != ENOENT)
      return refused_by_errno("remove " + file);
    return true;
  }

  FileOutcome<bool> sync_folder() override {
    if (::fsync(folder_handle_) != 0)
      return unknown_by_errno("sync " + folder_);
    return true;
  }

 private:
  // The file last written stays open: a log appends to one file over and over.
  bool use(const std::string& file, int extra) {
    if (handle_ >= 0 && open_file_ == file)
      return true;
    int handle = ::openat(folder_handle_, file.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC | extra, 0640);
    if (handle < 0)
      return false;
    if (handle_ >= 0)
      ::close(handle_);
    handle_ = handle;
    open_file_ = file;
    return true;
  }
  void forget(const std::string& file) {
    if (handle_ >= 0 && open_file_ == file) {
      ::close(handle_);
      handle_ = -1;
    }
  }

  std::string folder_;
  int folder_handle_, lock_handle_;
  int handle_ = -1;
  std::string open_file_;
};

}  // namespace

FileOutcome<std::shared_ptr<FileSystem>> open_disk_folder(const std::string& folder) {
  if (::mkdir(folder.c_str(), 0750) != 0 && errno != EEXIST)
    return refused_by_errno("make " + folder);
  int folder_handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder_handle < 0)
    return refused_by_errno("open " + folder);
  int lock_handle = ::openat(folder_handle, "lock", O_RDWR | O_CREAT | O_CLOEXEC, 0640);
  if (lock_handle < 0 || ::flock(lock_handle, LOCK_EX | LOCK_NB) != 0) {
    auto reason = refused_by_errno("lock " + folder + " (is another process using it?)");
    ::close(folder_handle);
    if (lock_handle >= 0)
      ::close(lock_handle);
    return reason;
  }
  return std::shared_ptr<FileSystem>(std::make_shared<DiskFileSystem>(folder, folder_handle, lock_handle));
}

}  // namespace emberdale
