#include "emberdale/invariant_checker.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
// Retries are looked at over windows, so that a burst does not hide in a quiet day.
constexpr std::int64_t retry_window = 5000;
constexpr double retry_share = 0.2, retry_allowance = 60;

std::string key_of(const std::string& kind, const std::string& name) { return kind + "/" + name; }
}  // namespace

void InvariantChecker::broken(std::int64_t now, const std::string& rule, const std::string& detail) {
  if (++broken_[rule] <= 8)
    breaks_.push_back({now, rule, detail});  // a flood of one must not hide another
}

// --- calls -------------------------------------------------------------------------------------------

void InvariantChecker::check_retries(std::int64_t now, bool is_retry) {
  window_.push_back({now, is_retry});
  window_retries_ += is_retry;
  while (window_.front().first <= now - retry_window) {
    window_retries_ -= window_.front().second;
    window_.pop_front();
  }
  double firsts = static_cast<double>(static_cast<std::int64_t>(window_.size()) - window_retries_);
  if (is_retry && static_cast<double>(window_retries_) > retry_share * firsts + retry_allowance)
    broken(now, "too many retries",
           std::to_string(window_retries_) + " beside " + std::to_string(firsts) + " first sends in 5 s");
}

void InvariantChecker::sent(std::int64_t now, const WatchedSend& send) {
  check_retries(now, send.is_retry);
  // About 3 seconds after an acknowledged change, nothing is sent by an older plan.
  for (auto ack = acks_.rbegin(); ack != acks_.rend() && send.config_revision < ack->second; ++ack) {
    std::int64_t late = now - ack->first;
    worst_old_plan_ms_ = std::max(worst_old_plan_ms_, late);
    if (late > old_plan_limit)
      broken(now, "an old plan still serves",
             send.daemon + " sends by config " + std::to_string(send.config_revision) + " " + std::to_string(late) +
                 " ms after config " + std::to_string(ack->second));
  }
  // About 5 seconds after the mark or order was asked for (and granted), no new work. A later
  // revision that frees the runner again ends it.
  auto hold = holds_.find(send.runner);
  if (hold != holds_.end() && hold->second.config_revision > free_since_[send.runner]) {
    worst_leaving_ms_ = std::max(worst_leaving_ms_, now - hold->second.acked_at);
    worst_notification_ms_ = std::max(worst_notification_ms_, now - hold->second.notified_at);
    if (now - hold->second.notified_at > leaving_limit)
      broken(now, "new work for a leaving runner",
             send.daemon + " to " + send.runner + " " + std::to_string(now - hold->second.notified_at) +
                 " ms after we were told");
  }
  last_sent_[send.runner] = now;
  if (!send.home.empty() && send.home != send.runner_region)
    broken(now, "homed work abroad", send.runner + " for home " + send.home);
}

void InvariantChecker::ran(std::int64_t now, std::int64_t call, bool is_repeatable) {
  CallLedger& ledger = calls_[call];
  ++ledger.runs;
  if (is_repeatable)
    return;
  if (ledger.runs > 1)
    broken(now, "a call ran twice", std::to_string(call));
  if (ledger.was_refused)
    broken(now, "a call ran after its refusal", std::to_string(call));
}

void InvariantChecker::refused(std::int64_t now, std::int64_t call, bool is_repeatable) {
  CallLedger& ledger = calls_[call];
  ledger.was_refused = true;
  if (ledger.runs > 0 && !is_repeatable)
    broken(now, "refused after it ran", std::to_string(call));
}

void InvariantChecker::asked_while_warming_up(std::int64_t now, const std::string& runner, std::int64_t at_once,
                                              std::int64_t allowance) {
  if (at_once <= allowance)
    return;
  ++warmup_excess_;
  broken(now, "a cold runner is flooded",
         runner + " asked for " + std::to_string(at_once) + " at once, bears " + std::to_string(allowance));
}

// --- the register and the map --------------------------------------------------------------------------

void InvariantChecker::saw_state(std::int64_t now, const std::string& daemon, const FleetState& state,
                                 const std::string& bytes) {
  auto hash = stable_hash(bytes);
  auto [known, is_new] = states_.insert({state.version, hash});
  if (!is_new && known->second != hash)
    broken(now, "two states under one version", daemon + " version " + std::to_string(state.version));
  auto seen = seen_versions_.find(daemon);
  if (seen != seen_versions_.end() && state.version < seen->second)
    broken(now, "a daemon's state went back", daemon);
  seen_versions_[daemon] = state.version;
  for (const auto& done : state.completed_changes) {
    changes_found_.insert(done.change_id);
    if (turned_down_.count(done.change_id) != 0)
      broken(now, "a refused change took effect", done.change_id);
  }
  if (!is_new || state.config_revision <= newest_revision_)
    return;
  newest_revision_ = state.config_revision;
  for (const auto& resource : state.resources) {
    auto [text, is_first] = bodies_.insert({{key_of(resource.kind, resource.name), resource.version}, resource.body});
    if (!is_first && text->second != resource.body)
      broken(now, "two texts under one version",
             key_of(resource.kind, resource.name) + " " + std::to_string(resource.version));
  }
  std::vector<Finding> findings;
  Configuration configuration = read_configuration(state.resources, findings);
  std::set<ZoneName> emptied;
  for (const auto& order : configuration.orders)
    if (order.is_evacuated)
      emptied.insert(order.zone);
  zone_runners_.clear();
  for (const auto& runner : configuration.runners) {
    zone_runners_[runner.zone.text].insert(runner.name.text);
    if (!runner.is_leaving && emptied.count(runner.zone) == 0)
      free_since_[runner.name.text] = state.config_revision;
  }
}

void InvariantChecker::published(std::int64_t now, const std::string& daemon, const MapVersion& version,
                                 const std::string& bytes) {
  auto [publisher, is_new_term] = publishers_.insert({version.term, daemon});
  if (!is_new_term && publisher->second != daemon)
    broken(now, "two publish in one term", show(version) + " by " + publisher->second + " and " + daemon);
  auto hash = stable_hash(bytes);
  auto [known, is_new] = maps_.insert({{version.term, version.number}, hash});
  if (!is_new && known->second != hash)
    broken(now, "one map version twice", show(version));
}

void InvariantChecker::follows(std::int64_t now, const std::string& daemon, const MapVersion& version) {
  auto [seen, is_new] = seen_maps_.insert({daemon, version});
  if (is_new)
    return;
  if (version < seen->second)
    broken(now, "a data daemon slid back", daemon + " from " + show(seen->second) + " to " + show(version));
  seen->second = version;
}

// --- operators -------------------------------------------------------------------------------------------

void InvariantChecker::acknowledged(std::int64_t now, const Ack& ack) {
  std::string resource = key_of(ack.ask.kind, ack.ask.name);
  if (ack.ask.act != "delete") {
    auto [winner, is_new] = winners_.insert({{resource, ack.version}, ack.ask.change});
    if (!is_new && winner->second != ack.ask.change)
      broken(now, "rivals both acknowledged", resource + " version " + std::to_string(ack.version));
  }
  auto& newest = acked_[resource];
  if (newest.config_revision <= ack.config_revision)
    newest = ack;
  if (acks_.empty() || acks_.back().second < ack.config_revision)
    acks_.push_back({now, ack.config_revision});
  if (ack.ask.act != "delete") {
    auto text = bodies_.find({resource, ack.version});
    Json asked = Json::parse(ack.ask.body, nullptr, false);
    Json found = text == bodies_.end() ? Json() : Json::parse(text->second, nullptr, false);
    if (text != bodies_.end() && asked.is_object())
      for (const auto& [field, value] : asked.items())
        if (value.is_null() ? found.contains(field) : !found.contains(field) || found[field] != value)
          broken(now, "acknowledged, but other than asked", resource + " /" + field);
  }
  bool holds_runner = ack.ask.kind == runners_kind && ack.ask.body.find("\"leaving\":true") != std::string::npos;
  bool empties_zone = ack.ask.kind == orders_kind && ack.ask.body.find("\"emptied\"") != std::string::npos;
  std::set<std::string> barred;
  if (holds_runner)
    barred.insert(ack.ask.name);
  if (empties_zone)
    barred = zone_runners_[ack.ask.name];
  for (const auto& runner : barred) {
    auto [hold, is_first] = holds_.insert({runner, {ack.config_revision, ack.ask.at, now}});
    bool was_freed = !is_first && hold->second.config_revision <= free_since_[runner];
    if (was_freed)
      hold->second = {ack.config_revision, ack.ask.at, now};
    auto last = last_sent_.find(runner);
    if (ack.config_revision <= free_since_[runner] || last == last_sent_.end())
      continue;
    // The rule runs from the ask; what was sent before the answer came is judged now.
    std::int64_t late = last->second - hold->second.notified_at;
    worst_notification_ms_ = std::max(worst_notification_ms_, late);
    if (late > leaving_limit)
      broken(now, "new work for a leaving runner",
             runner + " " + std::to_string(late) + " ms after we were told, before we answered");
  }
}

void InvariantChecker::turned_down(std::int64_t now, const Ask& ask) {
  turned_down_.insert(ask.change);
  open_deletions_[key_of(ask.kind, ask.name)].erase(ask.change);
  if (changes_found_.count(ask.change) != 0)
    broken(now, "a refused change took effect", ask.change);
}

// Edits and reads of the register behave as if each happened at one instant: a read shows all that was
// acknowledged, and all that another read had shown, before it began.
void InvariantChecker::was_read(std::int64_t now, std::int64_t begun, const std::string& daemon,
                                const FleetState& state) {
  ++reads_;
  for (auto ack = acks_.rbegin(); ack != acks_.rend(); ++ack)
    if (ack->first < begun) {
      if (state.config_revision < ack->second)
        broken(now, "a read misses an acknowledged change",
               daemon + " shows config " + std::to_string(state.config_revision) + ", acknowledged was " +
                   std::to_string(ack->second));
      break;
    }
  for (auto read = read_history_.rbegin(); read != read_history_.rend(); ++read)
    if (read->first < begun) {
      if (state.version < read->second)
        broken(now, "a read goes back behind another",
               daemon + " shows " + std::to_string(state.version) + " after " + std::to_string(read->second));
      break;
    }
  auto known = states_.find(state.version);
  if (known == states_.end() && state.version < newest_read_)
    broken(now, "a read shows a state no one chose", daemon);
  newest_read_ = std::max(newest_read_, state.version);
  read_history_.push_back({now, newest_read_});
}

void InvariantChecker::settled(std::int64_t now, const FleetState& state) {
  for (const auto& entry : acked_) {
    const auto& [resource, ack] = entry;
    auto found = std::find_if(state.resources.begin(), state.resources.end(),
                              [&](const auto& r) { return key_of(r.kind, r.name) == entry.first; });
    if (ack.ask.act == "delete") {
      if (found != state.resources.end() && found->version <= ack.version)
        broken(now, "an acknowledged deletion is lost", resource);
      continue;
    }
    if (found == state.resources.end() || found->version < ack.version) {
      // Gone by a deletion that nobody got an answer to? The revision tells: it must have moved past.
      if (found == state.resources.end() && ack.config_revision < state.config_revision &&
          !open_deletions_[resource].empty())
        continue;
      broken(now, "an acknowledged change is lost",
             resource + " version " + std::to_string(ack.version) + " of config " +
                 std::to_string(ack.config_revision) + ", found " +
                 std::to_string(found == state.resources.end() ? -1 : found->version) + " of config " +
                 std::to_string(state.config_revision));
      continue;
    }
    auto text = bodies_.find({resource, found->version});
    if (text != bodies_.end() && text->second != found->body)
      broken(now, "the register holds another text", resource);
  }
}

void InvariantChecker::holds(std::int64_t now, const std::string& daemon, const std::map<PlanName, std::int64_t>& plans,
                             const std::map<RunnerName, RunnerState>& states, const FleetState& state) {
  std::map<PlanName, std::int64_t> wanted;
  for (const auto& resource : state.resources)
    if (resource.kind == plans_kind)
      wanted[PlanName{resource.name}] = resource.version;
  if (wanted != plans)
    broken(now, "a data daemon holds other plans than the register", daemon);
  std::vector<Finding> findings;
  Configuration configuration = read_configuration(state.resources, findings);
  std::set<ZoneName> emptied;
  for (const auto& order : configuration.orders)
    if (order.is_evacuated)
      emptied.insert(order.zone);
  for (const auto& runner : configuration.runners) {
    bool is_barred = runner.is_leaving || emptied.count(runner.zone) != 0;
    auto held = states.find(runner.name);
    bool has_block =
        held != states.end() && (held->second == RunnerState::draining || held->second == RunnerState::evacuated);
    if (held == states.end() || is_barred != has_block)
      broken(now, "a data daemon holds another mark than the register", daemon + " on " + runner.name.text);
  }
}

}  // namespace emberdale
