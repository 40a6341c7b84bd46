#include "emberdale/edit_forwarder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Duration send_pace{500};
// Told to take work away, we say yes, no or unknown before grants by the old map could outlast 5 s.
constexpr Duration block_timeout{3000};
}  // namespace

std::string reason_body(const std::string& reason, const std::string& outcome) {
  return json_text(Json{{"reason", reason}, {"outcome", outcome}});
}

ForwardedBlock block_of(const EditRequest& request, std::int64_t version, TimePoint now) {
  ForwardedBlock passed;
  if (request.action == EditAction::remove || (request.kind != runners_kind && request.kind != orders_kind))
    return passed;
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return passed;
  DispatchBlock block;
  block.change_id = request.change_id;
  if (request.kind == runners_kind && body.value("leaving", Json()) == true)
    block.runner.text = request.name;
  else if (request.kind == orders_kind && body.value("state", Json()) == "emptied")
    block.zone.text = request.name;
  else
    return passed;
  return ForwardedBlock{block, now + block_interval, now + block_timeout, version};
}

bool ForwardedBlock::is_due(std::int64_t current_version, TimePoint now) {
  if (!block || now < next)
    return false;
  if (is_over(now) || current_version != version) {  // done, or overtaken by another edit
    block.reset();
    return false;
  }
  next = now + block_interval;
  return true;
}

void EditForwarder::take(EditRequest request, EditDone done, ForwardedBlock block, TimePoint now) {
  std::int64_t number = request.request_id;
  waiting_[number] =
      Waiting{std::move(request), std::move(done), std::move(block), now, now + times_.leader_wait, TimePoint{}, {}};
}

std::vector<OutboundMessage> EditForwarder::send(const Address& master, std::int64_t term, TimePoint now,
                                                 std::int64_t stamp) {
  if (stamp_term_ == term)
    stamp = std::max(stamp, stamp_);
  std::vector<OutboundMessage> messages;
  for (auto& [number, edit] : waiting_) {
    if (master.empty() || now < edit.send_next || is_too_old(edit, now))
      continue;
    // A large one takes its time on a narrow link, and so does its answer.
    edit.send_next = now + Duration{send_pace.value + static_cast<std::int64_t>(edit.request.body.size() / 200)};
    if (edit.copies.empty())
      edit.deadline = now + times_.response_timeout;
    edit.request.term = term;
    edit.request.age_ms = (now - edit.taken_at).value;
    edit.request.master_timestamp = stamp;
    ++edit.copies[term];
    messages.push_back({master, edit.request});
  }
  return messages;
}

std::vector<EditForwarder::Waiting> EditForwarder::take_back(TimePoint now) {
  std::vector<Waiting> mine;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (is_too_old(entry->second, now)) {
      ++entry;
      continue;
    }
    mine.push_back(std::move(entry->second));
    entry = waiting_.erase(entry);
  }
  return mine;
}

std::optional<EditForwarder::Waiting> EditForwarder::on_response(const EditResponse& response, TimePoint now) {
  auto entry = waiting_.find(response.request_id);
  if (entry == waiting_.end())
    return std::nullopt;
  auto& copies = entry->second.copies;
  if (response.code == 0) {
    // That copy does nothing: it came to one that does not lead that term.
    auto copy = copies.find(response.term);
    if (copy != copies.end() && --copy->second == 0)
      copies.erase(copy);
    if (copies.empty())
      entry->second.deadline = std::min(entry->second.deadline, now + times_.leader_wait);
    if (response.master_timestamp > 0) {  // of the master of that term: it could not tell how old the copy was
      stamp_ = stamp_term_ == response.term ? std::max(stamp_, response.master_timestamp) : response.master_timestamp;
      stamp_term_ = response.term;
      entry->second.send_next = now;
    }
    return std::nullopt;
  }
  // A refusal settles its own term: asked again, that master says the same. One that was worked out on the
  // register's state settles all terms before it too: what they did would have been found. Any other copy
  // that is out may yet turn out to be done.
  bool is_refusal = response.code != 200 && response.code != 201 && response.code != 504;
  if (is_refusal) {
    if (response.code == 503)
      copies.erase(response.term);
    else
      copies.erase(copies.begin(), copies.upper_bound(response.term));
    if (!copies.empty())
      return std::nullopt;
  }
  Waiting ended = std::move(entry->second);
  waiting_.erase(entry);
  ended.done(response);
  return ended;
}

std::vector<std::pair<EditForwarder::Waiting, EditResponse>> EditForwarder::on_timer(TimePoint now) {
  std::vector<std::pair<Waiting, EditResponse>> over;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const Waiting& edit = entry->second;
    bool can_be_sent_no_more = edit.copies.empty() && is_too_old(edit, now);
    if (now < edit.deadline && !edit.block.is_over(now) && !can_be_sent_no_more) {
      ++entry;
      continue;
    }
    over.push_back(ended_without_answer(std::move(entry->second)));
    entry = waiting_.erase(entry);
  }
  for (auto& [edit, answer] : over)
    edit.done(answer);
  return over;
}

std::vector<std::pair<EditForwarder::Waiting, EditResponse>> EditForwarder::end_all() {
  std::vector<std::pair<Waiting, EditResponse>> over;
  for (auto& [number, edit] : std::exchange(waiting_, {}))
    over.push_back(ended_without_answer(std::move(edit)));
  for (auto& [edit, answer] : over)
    edit.done(answer);
  return over;
}

std::pair<EditForwarder::Waiting, EditResponse> EditForwarder::ended_without_answer(Waiting edit) const {
  bool is_refused = edit.copies.empty();
  EditResponse response;
  response.request_id = edit.request.request_id;
  response.code = is_refused ? 503 : 504;
  response.body = is_refused ? reason_body("no master is known here", "refused")
                             : reason_body("the master did not answer in time; read it back", "unknown");
  return {std::move(edit), std::move(response)};
}

}  // namespace emberdale
