#include "emberdale/pending_requests.hpp"

#include <algorithm>

namespace emberdale {

void PendingRequests::add_read(std::int64_t request_id, ReadDone done, TimePoint deadline) {
  Pending pending;
  pending.deadline = deadline;
  pending.read = std::move(done);
  pending_[request_id] = std::move(pending);
}

void PendingRequests::add_view(std::int64_t request_id, ViewDone done, TimePoint deadline) {
  Pending pending;
  pending.deadline = deadline;
  pending.view = std::move(done);
  pending_[request_id] = std::move(pending);
}

bool PendingRequests::has_unstarted_read() const {
  return std::any_of(pending_.begin(), pending_.end(),
                     [](const auto& entry) { return entry.second.read && entry.second.register_read == 0; });
}

void PendingRequests::on_read_started(std::int64_t register_read) {
  for (auto& [request_id, pending] : pending_)
    if (pending.read && pending.register_read == 0)
      pending.register_read = register_read;
}

void PendingRequests::complete_reads(std::int64_t confirmed_read, const FleetState& state, TimePoint now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    const Pending& pending = entry->second;
    bool is_confirmed = pending.register_read != 0 && pending.register_read <= confirmed_read;
    if (!pending.read || !is_confirmed || pending.deadline <= now) {
      ++entry;
      continue;
    }
    ReadDone done = std::move(entry->second.read);
    entry = pending_.erase(entry);
    done(&state);
  }
}

void PendingRequests::complete_view(const ViewResponse& response) {
  auto entry = pending_.find(response.request_id);
  if (entry == pending_.end() || !entry->second.view)
    return;
  ViewDone done = std::move(entry->second.view);
  pending_.erase(entry);
  done(response);
}

void PendingRequests::expire(const std::function<ViewResponse(std::int64_t)>& local_view, TimePoint now) {
  end_if([now](const Pending& pending) { return pending.deadline <= now; }, local_view);
}

void PendingRequests::end_all(const std::function<ViewResponse(std::int64_t)>& local_view) {
  end_if([](const Pending&) { return true; }, local_view);
}

void PendingRequests::end_if(const std::function<bool(const Pending&)>& is_over,
                             const std::function<ViewResponse(std::int64_t)>& local_view) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    if (!is_over(entry->second)) {
      ++entry;
      continue;
    }
    Pending ended = std::move(entry->second);
    std::int64_t request_id = entry->first;
    entry = pending_.erase(entry);
    if (ended.view)
      ended.view(local_view(request_id));
    if (ended.read)
      ended.read(nullptr);
  }
}

}  // namespace emberdale
