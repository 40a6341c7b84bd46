// The changes that operators request at a simulated fleet.
#include <algorithm>

#include "machine_fleet.hpp"

namespace emberdale {

namespace {

constexpr std::int64_t any_version = -1;
constexpr std::int64_t retry_delay_ms = 50;
constexpr int max_reads = 5;
constexpr std::int64_t read_timeout_ms = 2500;

EditRequest edit_request_of(EditAction action, const std::string& kind, const std::string& name,
                            const std::string& body) {
  EditRequest edit_request;
  edit_request.action = action;
  edit_request.kind = kind;
  edit_request.name = name;
  edit_request.expected_version = any_version;
  edit_request.body = body;
  return edit_request;
}

}  // namespace

std::shared_ptr<EditOutcome> MachineFleet::request(const std::string& where, EditRequest edit_request) {
  edit_request.change_id = "change-" + std::to_string(++last_edit_);
  auto outcome = std::make_shared<EditOutcome>();
  outcome->name = edit_request.name;
  outcome->requested_at = now();
  if (at(where).is_frozen)
    at(where).buffered_requests.push_back(
        [this, where, edit_request, outcome] { handle_request(where, edit_request, outcome); });
  else
    handle_request(where, edit_request, outcome);
  return outcome;
}

void MachineFleet::handle_request(const std::string& where, const EditRequest& edit_request,
                                  const std::shared_ptr<EditOutcome>& outcome) {
  Machine& machine = at(where);
  if (!machine.is_up)
    return;
  auto respond = [this, outcome](const EditResponse& response) {
    outcome->is_over = true;
    outcome->code = response.code;
    outcome->over_at = now();
    if (outcome->is_acknowledged())
      acknowledged_.insert(outcome->name);
  };
  machine.control->edit(edit_request, respond, clock(machine));
  flush(machine);
}

std::shared_ptr<EditOutcome> MachineFleet::edit(const std::string& where) {
  std::string body = R"({"address":"127.0.0.1:)" + std::to_string(20001 + last_edit_) +
                     R"(","pool":"models","zone":"a","region":"north","seal_key":"k"})";
  return request(where, edit_request_of(EditAction::put, "runners", "runner-" + std::to_string(last_edit_ + 1), body));
}

std::shared_ptr<EditOutcome> MachineFleet::set_zone_state(const std::string& where, const std::string& zone,
                                                          bool is_evacuated) {
  const char* body = is_evacuated ? R"({"state":"emptied"})" : R"({"state":"serving"})";
  return request(where, edit_request_of(EditAction::ensure, "zone-orders", zone, body));
}

std::shared_ptr<EditOutcome> MachineFleet::set_draining(const std::string& where, const std::string& runner,
                                                        bool is_draining) {
  const char* body = is_draining ? R"({"leaving":true})" : R"({"leaving":false})";
  return request(where, edit_request_of(EditAction::patch, "runners", runner, body));
}

bool MachineFleet::edit_until_done(std::int64_t duration_ms, const std::string& where) {
  std::int64_t end = now() + duration_ms;
  while (now() < end) {
    std::vector<std::string> names = running();
    if (names.empty())
      return false;
    if (!where.empty())
      names = {where};
    auto index = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(names.size())));
    auto outcome = edit(names[index]);
    run_until([&] { return outcome->is_over; }, end - now());
    if (outcome->is_acknowledged())
      return true;
    run(retry_delay_ms);
  }
  return false;
}

void MachineFleet::expect_nothing_lost(const std::string& where) {
  std::shared_ptr<FleetState> confirmed;
  auto take_state = [&confirmed](const FleetState* read) {
    if (read != nullptr)
      confirmed = std::make_shared<FleetState>(*read);
  };
  for (int reads = 0; reads < max_reads && !confirmed; ++reads) {
    call_daemon(where, [&](ControlDaemon& daemon, TimePoint daemon_now) { daemon.read(take_state, daemon_now); });
    run_until([&] { return confirmed != nullptr; }, read_timeout_ms);
  }
  ASSERT_TRUE(confirmed) << trace();
  std::set<std::string> names;
  for (const auto& resource : confirmed->resources)
    names.insert(resource.name);
  for (const auto& name : acknowledged_)
    EXPECT_EQ(names.count(name), 1u) << name << " was acknowledged and is gone\n" << trace();
  EXPECT_TRUE(conflicts_.empty()) << conflicts_ << trace();
}

}  // namespace emberdale
