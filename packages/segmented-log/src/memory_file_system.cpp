#include "emberdale/file_system.hpp"

#include <algorithm>

namespace emberdale {

MemoryFileSystem::Fault MemoryFileSystem::step(const std::string& act) {
  if (is_off)
    return Fault::power_cut;
  ++points;
  if (points < fault_at || points >= fault_at + faulty_acts || fault_at < 0)
    return Fault::none;
  last_act = act;
  if (fault == Fault::power_cut)
    is_off = true;
  return fault;
}

FileFailure MemoryFileSystem::failure_without_effect(Fault fault, const std::string& reason) {
  return fault == Fault::refused ? refused_operation(reason) : unknown_result(reason);
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

FileOutcome<std::vector<std::string>> MemoryFileSystem::list() {
  if (Fault fault_now = step("list"); fault_now != Fault::none)
    return failure_without_effect(fault_now, "list failed");
  std::vector<std::string> names;
  for (const auto& [name, file] : now_)
    names.push_back(name);
  return names;
}

FileOutcome<std::string> MemoryFileSystem::read(const std::string& file) {
  if (Fault fault_now = step("read " + file); fault_now != Fault::none)
    return failure_without_effect(fault_now, "read failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return refused_operation(file + " is not there");
  return entry->second->content;
}

FileOutcome<bool> MemoryFileSystem::append(const std::string& file, const std::string& bytes) {
  Fault fault_now = step("append " + file);
  if (fault_now == Fault::error)
    return unknown_result("write failed");
  if (fault_now == Fault::full || fault_now == Fault::refused)
    return refused_operation("no space or no descriptor left");
  auto& entry = now_[file];
  if (!entry)
    entry = std::make_shared<File>();
  if (fault_now == Fault::torn_error || fault_now == Fault::power_cut) {
    entry->content += bytes.substr(0, bytes.size() / 2);
    return unknown_result("write cut short");
  }
  entry->content += bytes;
  most_bytes_ = std::max(most_bytes_, this->bytes());
  return true;
}

FileOutcome<bool> MemoryFileSystem::truncate(const std::string& file, std::size_t size) {
  if (Fault fault_now = step("truncate " + file); fault_now != Fault::none)
    return failure_without_effect(fault_now, "truncate failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return refused_operation(file + " is not there");
  entry->second->content.resize(size);
  entry->second->synced = std::min(entry->second->synced, size);
  return true;
}

FileOutcome<bool> MemoryFileSystem::sync(const std::string& file) {
  if (Fault fault_now = step("sync " + file); fault_now != Fault::none)
    return failure_without_effect(fault_now, "sync failed");
  auto entry = now_.find(file);
  if (entry == now_.end())
    return refused_operation(file + " is not there");
  entry->second->synced = entry->second->content.size();
  return true;
}

FileOutcome<bool> MemoryFileSystem::rename(const std::string& from, const std::string& to) {
  if (Fault fault_now = step("rename " + from); fault_now != Fault::none)
    return failure_without_effect(fault_now, "rename failed");
  auto entry = now_.find(from);
  if (entry == now_.end())
    return refused_operation(from + " is not there");
  now_[to] = entry->second;
  now_.erase(from);
  return true;
}

FileOutcome<bool> MemoryFileSystem::remove(const std::string& file) {
  if (Fault fault_now = step("remove " + file); fault_now != Fault::none)
    return failure_without_effect(fault_now, "remove failed");
  now_.erase(file);
  return true;
}

FileOutcome<bool> MemoryFileSystem::sync_folder() {
  if (Fault fault_now = step("sync folder"); fault_now != Fault::none)
    return failure_without_effect(fault_now, "folder sync failed");
  synced_ = now_;
  return true;
}

}  // namespace emberdale
