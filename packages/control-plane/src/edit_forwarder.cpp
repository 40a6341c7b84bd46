#include "emberdale/edit_forwarder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/change_status.hpp"
#include "emberdale/json_text.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;

constexpr Duration send_interval{500};
// A large change takes its time on a narrow connection, and so does its response.
constexpr std::size_t bytes_per_extra_ms = 200;

Duration send_interval_of(const EditRequest& request) {
  return Duration{send_interval.value + static_cast<std::int64_t>(request.body.size() / bytes_per_extra_ms)};
}

// A refusal settles the copies of its own term: asked again, that master says the same. One that was worked out on the
// register's state settles all earlier terms as well, for what they did would have been found. Any other copy that is
// out may yet turn out to be done.
void settle_copies(std::map<std::int64_t, int>& copies, const EditResponse& response) {
  if (status_of(response) == ChangeStatus::unavailable)
    copies.erase(response.term);
  else
    copies.erase(copies.begin(), copies.upper_bound(response.term));
}
}  // namespace

std::string reason_body(const std::string& reason, const std::string& outcome) {
  return json_text(Json{{"reason", reason}, {"outcome", outcome}});
}

void EditForwarder::take(EditRequest request, EditDone done, ForwardedBlock block, TimePoint now) {
  std::int64_t request_id = request.request_id;
  waiting_[request_id] =
      Waiting{std::move(request), std::move(done), std::move(block), now, now + times_.leader_wait, TimePoint{}, {}};
}

std::vector<OutboundMessage> EditForwarder::send(const Address& master, std::int64_t term, TimePoint now,
                                                 std::int64_t master_timestamp) {
  if (timestamp_term_ == term)
    master_timestamp = std::max(master_timestamp, master_timestamp_);
  std::vector<OutboundMessage> messages;
  for (auto& [request_id, edit] : waiting_) {
    if (master.empty() || now < edit.send_next || is_too_old(edit, now))
      continue;
    edit.send_next = now + send_interval_of(edit.request);
    if (edit.copies.empty())
      edit.deadline = now + times_.response_timeout;
    edit.request.term = term;
    edit.request.age_ms = (now - edit.taken_at).value;
    edit.request.master_timestamp = master_timestamp;
    ++edit.copies[term];
    messages.push_back({master, edit.request});
  }
  return messages;
}

std::vector<EditForwarder::Waiting> EditForwarder::take_back(TimePoint now) {
  std::vector<Waiting> taken;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (is_too_old(entry->second, now)) {
      ++entry;
      continue;
    }
    taken.push_back(std::move(entry->second));
    entry = waiting_.erase(entry);
  }
  return taken;
}

// That copy does nothing: it came to a daemon that does not lead its term, or that could not tell how old it was.
void EditForwarder::on_disowned_copy(Waiting& edit, const EditResponse& response, TimePoint now) {
  auto copy = edit.copies.find(response.term);
  if (copy != edit.copies.end() && --copy->second == 0)
    edit.copies.erase(copy);
  if (edit.copies.empty())
    edit.deadline = std::min(edit.deadline, now + times_.leader_wait);
  if (response.master_timestamp <= 0)
    return;
  bool is_same_term = timestamp_term_ == response.term;
  master_timestamp_ = is_same_term ? std::max(master_timestamp_, response.master_timestamp) : response.master_timestamp;
  timestamp_term_ = response.term;
  edit.send_next = now;
}

std::optional<EditForwarder::Waiting> EditForwarder::on_response(const EditResponse& response, TimePoint now) {
  auto entry = waiting_.find(response.request_id);
  if (entry == waiting_.end())
    return std::nullopt;
  ChangeStatus status = status_of(response);
  if (status == ChangeStatus::not_master) {
    on_disowned_copy(entry->second, response, now);
    return std::nullopt;
  }
  if (is_refusal(status)) {
    settle_copies(entry->second.copies, response);
    if (!entry->second.copies.empty())
      return std::nullopt;
  }
  Waiting ended = std::move(entry->second);
  waiting_.erase(entry);
  ended.done(response);
  return ended;
}

bool EditForwarder::is_expired(const Waiting& edit, TimePoint now) const {
  bool can_be_sent_no_more = edit.copies.empty() && is_too_old(edit, now);
  return edit.deadline <= now || edit.block.is_over(now) || can_be_sent_no_more;
}

std::vector<EditForwarder::Expired> EditForwarder::on_timer(TimePoint now) {
  std::vector<Expired> ended;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (!is_expired(entry->second, now)) {
      ++entry;
      continue;
    }
    ended.push_back(expired(std::move(entry->second)));
    entry = waiting_.erase(entry);
  }
  notify(ended);
  return ended;
}

std::vector<EditForwarder::Expired> EditForwarder::end_all() {
  std::vector<Expired> ended;
  for (auto& [request_id, edit] : std::exchange(waiting_, {}))
    ended.push_back(expired(std::move(edit)));
  notify(ended);
  return ended;
}

EditForwarder::Expired EditForwarder::expired(Waiting edit) {
  EditResponse response = edit.copies.empty()
                              ? edit_failure(ChangeStatus::unavailable, "no master is known here")
                              : edit_failure(ChangeStatus::unknown, "the master did not answer in time; read it back");
  response.request_id = edit.request.request_id;
  return {std::move(edit), std::move(response)};
}

void EditForwarder::notify(std::vector<Expired>& expired) {
  for (auto& [edit, response] : expired)
    edit.done(response);
}

}  // namespace emberdale
