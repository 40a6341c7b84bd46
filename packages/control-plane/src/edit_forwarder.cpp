#include "emberdale/edit_forwarder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
constexpr Span send_pace{500};
// Told to take work away, we say yes, no or unknown before grants by the old map could outlast 5 s.
constexpr Span hold_patience{3000};
}  // namespace

std::string reason_body(const std::string& reason, const std::string& outcome) {
  return json_text(Json{{"reason", reason}, {"outcome", outcome}});
}

PassedHold hold_of(const EditAsk& ask, Integer version, Moment now) {
  PassedHold passed;
  if (ask.act == "delete" || (ask.kind != runners_kind && ask.kind != orders_kind))
    return passed;
  Json body = Json::parse(ask.body, nullptr, false);
  if (!body.is_object())
    return passed;
  Hold hold;
  hold.change = ask.change;
  if (ask.kind == runners_kind && body.value("leaving", Json()) == true)
    hold.runner.text = ask.name;
  else if (ask.kind == orders_kind && body.value("state", Json()) == "emptied")
    hold.zone.text = ask.name;
  else
    return passed;
  return PassedHold{hold, now + hold_pace, now + hold_patience, version};
}

bool PassedHold::is_due(Integer current_version, Moment now) {
  if (!hold || now < next)
    return false;
  if (is_over(now) || current_version != version) {  // done, or overtaken by another edit
    hold.reset();
    return false;
  }
  next = now + hold_pace;
  return true;
}

void EditForwarder::take(EditAsk ask, EditDone done, PassedHold hold, Moment now) {
  Integer number = ask.ask;
  waiting_[number] =
      Waiting{std::move(ask), std::move(done), std::move(hold), now, now + times_.leader_wait, Moment{}, {}};
}

std::vector<Sending> EditForwarder::send(const Address& master, Integer term, Moment now, Integer stamp) {
  if (stamp_term_ == term)
    stamp = std::max(stamp, stamp_);
  std::vector<Sending> sendings;
  for (auto& [number, edit] : waiting_) {
    if (master.empty() || now < edit.send_next || is_too_old(edit, now))
      continue;
    // A large one takes its time on a narrow link, and so does its answer.
    edit.send_next = now + Span{send_pace.value + static_cast<std::int64_t>(edit.ask.body.size() / 200)};
    if (edit.copies.empty())
      edit.deadline = now + times_.answer_wait;
    edit.ask.term = term;
    edit.ask.age = (now - edit.taken_at).value;
    edit.ask.stamp = stamp;
    ++edit.copies[term];
    sendings.push_back({master, edit.ask});
  }
  return sendings;
}

std::vector<EditForwarder::Waiting> EditForwarder::take_back(Moment now) {
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

std::optional<EditForwarder::Waiting> EditForwarder::on_answer(const EditAnswer& answer, Moment now) {
  auto entry = waiting_.find(answer.ask);
  if (entry == waiting_.end())
    return std::nullopt;
  auto& copies = entry->second.copies;
  if (answer.code == 0) {
    // That copy does nothing: it came to one that does not lead that term.
    auto copy = copies.find(answer.term);
    if (copy != copies.end() && --copy->second == 0)
      copies.erase(copy);
    if (copies.empty())
      entry->second.deadline = std::min(entry->second.deadline, now + times_.leader_wait);
    if (answer.stamp > 0) {  // of the master of that term: it could not tell how old the copy was
      stamp_ = stamp_term_ == answer.term ? std::max(stamp_, answer.stamp) : answer.stamp;
      stamp_term_ = answer.term;
      entry->second.send_next = now;
    }
    return std::nullopt;
  }
  // A refusal settles its own term: asked again, that master says the same. One that was worked out on the
  // register's state settles all terms before it too: what they did would have been found. Any other copy
  // that is out may yet turn out to be done.
  bool is_refusal = answer.code != 200 && answer.code != 201 && answer.code != 504;
  if (is_refusal) {
    if (answer.code == 503)
      copies.erase(answer.term);
    else
      copies.erase(copies.begin(), copies.upper_bound(answer.term));
    if (!copies.empty())
      return std::nullopt;
  }
  Waiting ended = std::move(entry->second);
  waiting_.erase(entry);
  ended.done(answer);
  return ended;
}

std::vector<std::pair<EditForwarder::Waiting, EditAnswer>> EditForwarder::on_timer(Moment now) {
  std::vector<std::pair<Waiting, EditAnswer>> over;
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    const Waiting& edit = entry->second;
    bool can_be_sent_no_more = edit.copies.empty() && is_too_old(edit, now);
    if (now < edit.deadline && !edit.hold.is_over(now) && !can_be_sent_no_more) {
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

std::vector<std::pair<EditForwarder::Waiting, EditAnswer>> EditForwarder::end_all() {
  std::vector<std::pair<Waiting, EditAnswer>> over;
  for (auto& [number, edit] : std::exchange(waiting_, {}))
    over.push_back(ended_without_answer(std::move(edit)));
  for (auto& [edit, answer] : over)
    edit.done(answer);
  return over;
}

std::pair<EditForwarder::Waiting, EditAnswer> EditForwarder::ended_without_answer(Waiting edit) const {
  bool is_refused = edit.copies.empty();
  EditAnswer answer;
  answer.ask = edit.ask.ask;
  answer.code = is_refused ? 503 : 504;
  answer.body = is_refused ? reason_body("no master is known here", "refused")
                           : reason_body("the master did not answer in time; read it back", "unknown");
  return {std::move(edit), std::move(answer)};
}

}  // namespace emberdale
