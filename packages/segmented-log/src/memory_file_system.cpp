#include "emberdale/file_system.hpp"

#include <algorithm>

namespace emberdale {

MemoryFileSystem::Fault MemoryFileSystem::step(const std::string& act) {
  if (is_off)
    return Fault::power_cut;
  ++points;
  if (points != fault_at)
    return Fault::none;
  last_act = act;
  if (fault == Fault::power_cut)
    is_off = true;
  return fault;
}

void MemoryFileSystem::power_on(RandomGenerator& random) {
  // Names that were not synced may or may not have reached the disk.
  Folder kept = synced_;
  for (const auto& [name, file] : now_)
    if (synced_.count(name) == 0 && random.chance(0.5))
      kept[name] = file;
  for (const auto& [name, file] : synced_)
    if (now_.count(name) == 0 && random.chance(0.5))
      kept.erase(name);
  for (const auto& [name, file] : kept) {
    std::size_t loose = file->content.size() - file->synced;
    std::size_t keep = loose == 0 ? 0 : static_cast<std::size_t>(random.below(static_cast<std::int64_t>(loose) + 1));
    bool is_zero_filled = random.chance(0.25);
    std::size_t whole = file->content.size();
    file->content.resize(file->synced + keep);
    if (is_zero_filled)
      file->content.resize(whole, '\0');
    file->synced = file->content.size();
  }
  now_ = synced_ = kept;
  is_off = false;
  fault_at = -1;
}

void MemoryFileSystem::wipe() {
  now_.clear();
  synced_.clear();
}

std::size_t MemoryFileSystem::bytes() const {
  std::size_t sum = 0;
  for (const auto& [name, file] : now_)
    sum += file->content.size();
  return sum;
}

void MemoryFileSystem::flip_bit(const std::string& file, std::size_t position) {
  auto entry = now_.find(file);
  if (entry != now_.end() && position < entry->second->content.size())
    entry->second->content[position] ^= 0x10;
}

Outcome<std::vector<std::string>> MemoryFileSystem::list() {
  if (step("list") != Fault::none)
    return failure("list failed");
  std::vector<std::string> names;
  for (const auto& [name, file] : now_)
    names.push_back(name);
  return names;
}

Outcome<std::string> MemoryFileSystem::read(const std::string& file) {
  if (step("read " + file) != Fault::none)
    return failure("read failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return failure(file + " is not there");
  return entry->second->content;
}

Outcome<bool> MemoryFileSystem::append(const std::string& file, const std::string& bytes) {
  Fault fault_now = step("append " + file);
  if (fault_now == Fault::error)
    return failure("write failed");
  if (fault_now == Fault::full)
    return failure("no space left");
  auto& entry = now_[file];
  if (!entry)
    entry = std::make_shared<File>();
  if (fault_now == Fault::torn_error || fault_now == Fault::power_cut) {
    entry->content += bytes.substr(0, bytes.size() / 2);
    return failure("write cut short");
  }
  entry->content += bytes;
  most_bytes_ = std::max(most_bytes_, this->bytes());
  return true;
}

Outcome<bool> MemoryFileSystem::truncate(const std::string& file, std::size_t size) {
  if (step("truncate " + file) != Fault::none)
    return failure("truncate failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return failure(file + " is not there");
  entry->second->content.resize(size);
  entry->second->synced = std::min(entry->second->synced, size);
  return true;
}

Outcome<bool> MemoryFileSystem::sync(const std::string& file) {
  if (step("sync " + file) != Fault::none)
    return failure("sync failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return failure(file + " is not there");
  entry->second->synced = entry->second->content.size();
  return true;
}

Outcome<bool> MemoryFileSystem::rename(const std::string& from, const std::string& to) {
  if (step("rename " + from) != Fault::none)
    return failure("rename failed");
  auto entry = now_.find(from);
  if (entry == now_.end())
    return failure(from + " is not there");
  now_[to] = entry->second;
  now_.erase(from);
  return true;
}

Outcome<bool> MemoryFileSystem::remove(const std::string& file) {
  if (step("remove " + file) != Fault::none)
    return failure("remove failed");
  now_.erase(file);
  return true;
}

Outcome<bool> MemoryFileSystem::sync_folder() {
  if (step("sync folder") != Fault::none)
    return failure("folder sync failed");
  synced_ = now_;
  return true;
}

}  // namespace emberdale
