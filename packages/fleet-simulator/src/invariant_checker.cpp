#include "emberdale/invariant_checker.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;
// Retries are counted over windows, so that a burst does not hide in a quiet scenario.
constexpr std::int64_t retry_window = 5000;
constexpr double retry_share = 0.2, retry_allowance = 60;
// Violations that are kept of each invariant, so that a flood of one does not hide another.
constexpr int kept_violations = 8;

std::set<ZoneName> evacuated_zones(const Configuration& configuration) {
  std::set<ZoneName> zones;
  for (const auto& order : configuration.orders)
    if (order.is_evacuated)
      zones.insert(order.zone);
  return zones;
}

bool is_deletion(const InvariantChecker::RequestedEdit& edit) { return edit.act == "delete"; }

std::string key_of(const std::string& kind, const std::string& name) { return kind + "/" + name; }
}  // namespace

void InvariantChecker::report_violation(std::int64_t now, const std::string& rule, const std::string& detail) {
  if (++violations_by_rule_[rule] <= kept_violations)
    violations_.push_back({now, rule, detail});
}

// --- calls -------------------------------------------------------------------------------------------

void InvariantChecker::check_retries(std::int64_t now, bool is_retry) {
  window_.push_back({now, is_retry});
  window_retries_ += is_retry;
  while (window_.front().at <= now - retry_window) {
    window_retries_ -= window_.front().is_retry;
    window_.pop_front();
  }
  double firsts = static_cast<double>(static_cast<std::int64_t>(window_.size()) - window_retries_);
  if (is_retry && static_cast<double>(window_retries_) > retry_share * firsts + retry_allowance)
    report_violation(now, "too many retries",
                     std::to_string(window_retries_) + " beside " + std::to_string(firsts) + " first sends in 5 s");
}

void InvariantChecker::on_call_sent(std::int64_t now, const SentCall& send) {
  check_retries(now, send.is_retry);
  // About 3 seconds after an acknowledged change, nothing is sent by an older plan.
  for (auto acknowledgement = acknowledgements_.rbegin();
       acknowledgement != acknowledgements_.rend() && send.config_revision < acknowledgement->config_revision;
       ++acknowledgement) {
    std::int64_t late = now - acknowledgement->at;
    worst_old_plan_ms_ = std::max(worst_old_plan_ms_, late);
    if (late > old_plan_limit)
      report_violation(now, "an old plan still serves",
                       send.daemon + " sends by config " + std::to_string(send.config_revision) + " " +
                           std::to_string(late) + " ms after config " +
                           std::to_string(acknowledgement->config_revision));
  }
  // About 5 seconds after the mark or order was asked for (and granted), no new work. A later
  // revision that frees the runner again ends it.
  auto block = blocks_.find(send.runner);
  if (block != blocks_.end() && block->second.config_revision > free_since_[send.runner]) {
    worst_leaving_ms_ = std::max(worst_leaving_ms_, now - block->second.acknowledged_at);
    worst_notification_ms_ = std::max(worst_notification_ms_, now - block->second.notified_at);
    if (now - block->second.notified_at > leaving_limit)
      report_violation(now, "new work for a leaving runner",
                       send.daemon + " to " + send.runner + " " + std::to_string(now - block->second.notified_at) +
                           " ms after we were told");
  }
  last_sent_[send.runner] = now;
  if (!send.home.empty() && send.home != send.runner_region)
    report_violation(now, "homed work abroad", send.runner + " for home " + send.home);
}

void InvariantChecker::on_call_started(std::int64_t now, std::int64_t call, bool is_repeatable) {
  ExecutionRecord& record = calls_[call];
  ++record.runs;
  if (is_repeatable)
    return;
  if (record.runs > 1)
    report_violation(now, "a call ran twice", std::to_string(call));
  if (record.was_refused)
    report_violation(now, "a call ran after its refusal", std::to_string(call));
}

void InvariantChecker::on_call_refused(std::int64_t now, std::int64_t call, bool is_repeatable) {
  ExecutionRecord& record = calls_[call];
  record.was_refused = true;
  if (record.runs > 0 && !is_repeatable)
    report_violation(now, "refused after it ran", std::to_string(call));
}

void InvariantChecker::on_request_while_warming_up(std::int64_t now, const std::string& runner, std::int64_t at_once,
                                                   std::int64_t allowance) {
  if (at_once <= allowance)
    return;
  ++warmup_excess_;
  report_violation(now, "a cold runner is flooded",
                   runner + " asked for " + std::to_string(at_once) + " at once, bears " + std::to_string(allowance));
}

// --- the register and the map --------------------------------------------------------------------------

void InvariantChecker::on_state(std::int64_t now, const std::string& daemon, const FleetState& state,
                                const std::string& bytes) {
  auto hash = stable_hash(bytes);
  auto [known, is_new] = states_.insert({state.version, hash});
  if (!is_new && known->second != hash)
    report_violation(now, "two states under one version", daemon + " version " + std::to_string(state.version));
  auto seen = seen_versions_.find(daemon);
  if (seen != seen_versions_.end() && state.version < seen->second)
    report_violation(now, "a daemon's state went back", daemon);
  seen_versions_[daemon] = state.version;
  for (const auto& done : state.completed_changes) {
    changes_found_.insert(done.change_id);
    if (refused_edits_.count(done.change_id) != 0)
      report_violation(now, "a refused change took effect", done.change_id);
  }
  if (is_new && state.config_revision > newest_revision_)
    on_new_revision(now, state);
}

void InvariantChecker::on_new_revision(std::int64_t now, const FleetState& state) {
  newest_revision_ = state.config_revision;
  for (const auto& resource : state.resources) {
    auto [text, is_first] = bodies_.insert({{key_of(resource.kind, resource.name), resource.version}, resource.body});
    if (!is_first && text->second != resource.body)
      report_violation(now, "two texts under one version",
                       key_of(resource.kind, resource.name) + " " + std::to_string(resource.version));
  }
  std::vector<Finding> findings;
  Configuration configuration = read_configuration(state.resources, findings);
  std::set<ZoneName> evacuated = evacuated_zones(configuration);
  zone_runners_.clear();
  for (const auto& runner : configuration.runners) {
    zone_runners_[runner.zone.text].insert(runner.name.text);
    if (!runner.is_leaving && evacuated.count(runner.zone) == 0)
      free_since_[runner.name.text] = state.config_revision;
  }
}

void InvariantChecker::on_map_published(std::int64_t now, const std::string& daemon, const MapVersion& version,
                                        const std::string& bytes) {
  auto [publisher, is_new_term] = publishers_.insert({version.term, daemon});
  if (!is_new_term && publisher->second != daemon)
    report_violation(now, "two publish in one term", show(version) + " by " + publisher->second + " and " + daemon);
  auto hash = stable_hash(bytes);
  auto [known, is_new] = maps_.insert({{version.term, version.number}, hash});
  if (!is_new && known->second != hash)
    report_violation(now, "one map version twice", show(version));
}

void InvariantChecker::on_map_applied(std::int64_t now, const std::string& daemon, const MapVersion& version) {
  auto [seen, is_new] = seen_maps_.insert({daemon, version});
  if (is_new)
    return;
  if (version < seen->second)
    report_violation(now, "a data daemon slid back", daemon + " from " + show(seen->second) + " to " + show(version));
  seen->second = version;
}

// --- operators -------------------------------------------------------------------------------------------

void InvariantChecker::on_edit_acknowledged(std::int64_t now, const AcknowledgedEdit& acknowledged) {
  std::string resource = key_of(acknowledged.edit.kind, acknowledged.edit.name);
  if (!is_deletion(acknowledged.edit)) {
    auto [winner, is_new] = winners_.insert({{resource, acknowledged.version}, acknowledged.edit.change});
    if (!is_new && winner->second != acknowledged.edit.change)
      report_violation(now, "rivals both acknowledged", resource + " version " + std::to_string(acknowledged.version));
  }
  auto& newest = newest_acknowledged_[resource];
  if (newest.config_revision <= acknowledged.config_revision)
    newest = acknowledged;
  if (acknowledgements_.empty() || acknowledgements_.back().config_revision < acknowledged.config_revision)
    acknowledgements_.push_back({now, acknowledged.config_revision});
  if (!is_deletion(acknowledged.edit))
    check_acknowledged_text(now, resource, acknowledged);
  for (const auto& runner : blocked_runners(acknowledged.edit))
    block(now, runner, acknowledged);
}

// The register must hold each field as the edit asked for it; a field of null must be gone.
void InvariantChecker::check_acknowledged_text(std::int64_t now, const std::string& resource,
                                               const AcknowledgedEdit& acknowledged) {
  auto text = bodies_.find({resource, acknowledged.version});
  Json requested = Json::parse(acknowledged.edit.body, nullptr, false);
  if (text == bodies_.end() || !requested.is_object())
    return;
  Json found = Json::parse(text->second, nullptr, false);
  for (const auto& [field, value] : requested.items()) {
    bool is_as_requested = value.is_null() ? !found.contains(field) : found.contains(field) && found[field] == value;
    if (!is_as_requested)
      report_violation(now, "acknowledged, but other than asked", resource + " /" + field);
  }
}

// The runners that the edit keeps from new work: one that is marked as leaving, or all of a zone that is evacuated.
std::set<std::string> InvariantChecker::blocked_runners(const RequestedEdit& edit) {
  if (edit.kind == orders_kind && edit.body.find("\"emptied\"") != std::string::npos)
    return zone_runners_[edit.name];
  if (edit.kind == runners_kind && edit.body.find("\"leaving\":true") != std::string::npos)
    return {edit.name};
  return {};
}

void InvariantChecker::block(std::int64_t now, const std::string& runner, const AcknowledgedEdit& acknowledged) {
  DispatchBlock fresh{acknowledged.config_revision, acknowledged.edit.at, now};
  auto [block, is_first] = blocks_.insert({runner, fresh});
  bool was_freed = !is_first && block->second.config_revision <= free_since_[runner];
  if (was_freed)
    block->second = fresh;
  auto last = last_sent_.find(runner);
  if (acknowledged.config_revision <= free_since_[runner] || last == last_sent_.end())
    return;
  // The limit runs from the request on; what was sent before the acknowledgement came is judged now.
  std::int64_t late = last->second - block->second.notified_at;
  worst_notification_ms_ = std::max(worst_notification_ms_, late);
  if (late > leaving_limit)
    report_violation(now, "new work for a leaving runner",
                     runner + " " + std::to_string(late) + " ms after we were told, before we answered");
}

void InvariantChecker::on_edit_refused(std::int64_t now, const RequestedEdit& edit) {
  refused_edits_.insert(edit.change);
  open_deletions_[key_of(edit.kind, edit.name)].erase(edit.change);
  if (changes_found_.count(edit.change) != 0)
    report_violation(now, "a refused change took effect", edit.change);
}

// Edits and reads of the register behave as if each happened at one instant: a read shows all that was
// acknowledged, and all that another read had shown, before it began.
void InvariantChecker::on_read(std::int64_t now, std::int64_t begun, const std::string& daemon,
                               const FleetState& state) {
  ++reads_;
  for (auto acknowledgement = acknowledgements_.rbegin(); acknowledgement != acknowledgements_.rend();
       ++acknowledgement)
    if (acknowledgement->at < begun) {
      if (state.config_revision < acknowledgement->config_revision)
        report_violation(now, "a read misses an acknowledged change",
                         daemon + " shows config " + std::to_string(state.config_revision) + ", acknowledged was " +
                             std::to_string(acknowledgement->config_revision));
      break;
    }
  for (auto read = read_history_.rbegin(); read != read_history_.rend(); ++read)
    if (read->at < begun) {
      if (state.version < read->version)
        report_violation(
            now, "a read goes back behind another",
            daemon + " shows " + std::to_string(state.version) + " after " + std::to_string(read->version));
      break;
    }
  auto known = states_.find(state.version);
  if (known == states_.end() && state.version < newest_read_)
    report_violation(now, "a read shows a state no one chose", daemon);
  newest_read_ = std::max(newest_read_, state.version);
  read_history_.push_back({now, newest_read_});
}

void InvariantChecker::check_final_state(std::int64_t now, const FleetState& state) {
  for (const auto& [resource, acknowledged] : newest_acknowledged_) {
    const Resource* found = nullptr;
    for (const auto& candidate : state.resources)
      if (found == nullptr && key_of(candidate.kind, candidate.name) == resource)
        found = &candidate;
    if (is_deletion(acknowledged.edit)) {
      if (found != nullptr && found->version <= acknowledged.version)
        report_violation(now, "an acknowledged deletion is lost", resource);
      continue;
    }
    if (found == nullptr || found->version < acknowledged.version) {
      check_deleted(now, resource, acknowledged, found, state.config_revision);
      continue;
    }
    auto text = bodies_.find({resource, found->version});
    if (text != bodies_.end() && text->second != found->body)
      report_violation(now, "the register holds another text", resource);
  }
}

// The resource is not there as acknowledged. It may have been deleted by an edit whose outcome stayed unknown; then the
// revision has moved on.
void InvariantChecker::check_deleted(std::int64_t now, const std::string& resource,
                                     const AcknowledgedEdit& acknowledged, const Resource* found,
                                     std::int64_t config_revision) {
  if (found == nullptr && acknowledged.config_revision < config_revision && !open_deletions_[resource].empty())
    return;
  report_violation(now, "an acknowledged change is lost",
                   resource + " version " + std::to_string(acknowledged.version) + " of config " +
                       std::to_string(acknowledged.config_revision) + ", found " +
                       std::to_string(found == nullptr ? -1 : found->version) + " of config " +
                       std::to_string(config_revision));
}

void InvariantChecker::check_data_daemon(std::int64_t now, const std::string& daemon,
                                         const std::map<PlanName, std::int64_t>& plans,
                                         const std::map<RunnerName, RunnerState>& states, const FleetState& state) {
  std::map<PlanName, std::int64_t> wanted;
  for (const auto& resource : state.resources)
    if (resource.kind == plans_kind)
      wanted[PlanName{resource.name}] = resource.version;
  if (wanted != plans)
    report_violation(now, "a data daemon holds other plans than the register", daemon);
  std::vector<Finding> findings;
  Configuration configuration = read_configuration(state.resources, findings);
  std::set<ZoneName> evacuated = evacuated_zones(configuration);
  for (const auto& runner : configuration.runners) {
    bool is_blocked = runner.is_leaving || evacuated.count(runner.zone) != 0;
    auto held = states.find(runner.name);
    bool has_block =
        held != states.end() && (held->second == RunnerState::draining || held->second == RunnerState::evacuated);
    if (held == states.end() || is_blocked != has_block)
      report_violation(now, "a data daemon holds another mark than the register", daemon + " on " + runner.name.text);
  }
}

}  // namespace emberdale
