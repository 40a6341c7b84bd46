// What the daemons of a simulated fleet hold, as tests ask for it.
#include <algorithm>
#include <cctype>

#include "emberdale/avro_codec.hpp"
#include "emberdale/store_seat.hpp"
#include "machine_fleet.hpp"

namespace emberdale {

std::string MachineFleet::master() const {
  std::string best;
  std::int64_t term = 0;
  for (const auto& [name, machine] : machines_) {
    if (!machine->is_up || machine->is_frozen)
      continue;
    const MasterElection& machine_election = machine->control->election();
    if (!machine_election.is_master() || machine_election.term() <= term)
      continue;
    term = machine_election.term();
    best = name;
  }
  return best;
}

std::vector<std::string> MachineFleet::running() const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_)
    if (machine->is_up && !machine->is_frozen)
      names.push_back(name);
  return names;
}

const FleetState& MachineFleet::newest_state() {
  const FleetState* newest = nullptr;
  for (const auto& name : running())
    if (newest == nullptr || newest->version < state(name).version)
      newest = &state(name);
  return *newest;
}

std::string MachineFleet::body_of(const std::string& known_by, const std::string& kind, const std::string& name) {
  for (const auto& resource : state(known_by).resources) {
    if (resource.kind != kind || resource.name != name)
      continue;
    std::string body = resource.body;
    auto is_space = [](unsigned char character) {
      return std::isspace(character) != 0;
    };
    body.erase(std::remove_if(body.begin(), body.end(), is_space), body.end());
    return body;
  }
  return "";
}

bool MachineFleet::has_set(const std::string& known_by, const std::vector<std::string>& names) {
  if (!at(known_by).is_up)
    return false;
  const FleetState& known = state(known_by);
  if (!known.next_acceptors.empty() || known.acceptors.size() != names.size())
    return false;
  return std::all_of(names.begin(), names.end(), [&](const std::string& name) {
    const Machine& machine = at(name);
    return std::any_of(known.acceptors.begin(), known.acceptors.end(), [&](const auto& entry) {
      return entry.address == machine.address &&
             (!machine.is_up || answers_to(machine.control->acceptor()->store(), entry.store));
    });
  });
}

bool MachineFleet::has_wanted_set(const std::string& known_by, const std::vector<std::string>& names) {
  if (!at(known_by).is_up)
    return false;
  // Of odd size, and of the wanted one if there are machines enough.
  std::size_t size = std::min(membership.wanted_members(), names.size());
  if (size > 3 && size % 2 == 0)
    --size;
  std::vector<std::string> members;
  for (const auto& name : names)
    for (const auto& entry : state(known_by).acceptors)
      if (entry.address == at(name).address)
        members.push_back(name);
  return members.size() == size && has_set(known_by, members);
}

bool MachineFleet::is_member(const std::string& name, const std::string& known_by) {
  const auto& set = state(known_by).acceptors;
  return std::any_of(set.begin(), set.end(), [&](const auto& entry) { return entry.address == at(name).address; });
}

bool MachineFleet::is_synced_learner(const std::string& name, const std::string& known_by) {
  const RegisterAcceptor* acceptor = at(name).control->acceptor();
  return acceptor != nullptr && acceptor->accepted() == at(known_by).control->proposer().ballot();
}

bool MachineFleet::has_live_majority() {
  std::set<StoreId> live_stores;
  for (const auto& name : running())
    if (at(name).control->acceptor() != nullptr)
      live_stores.insert(at(name).control->acceptor()->store());
  const FleetState& newest = newest_state();
  return has_majority(newest.acceptors, newest.next_acceptors, live_stores);
}

bool MachineFleet::is_settled(const std::vector<std::string>& names) {
  std::string leader = master();
  if (leader.empty())
    return false;
  return std::all_of(names.begin(), names.end(), [&](const auto& name) {
    return has_wanted_set(name, names) && state(name).version == state(leader).version &&
           (name == leader || at(name).control->election().master() == at(leader).address) &&
           (is_member(name, leader) || is_synced_learner(name, leader));
  });
}

int MachineFleet::bootstraps() const {
  int count = 0;
  for (const auto& [name, machine] : machines_)
    count += machine->bootstraps;
  return count;
}

void MachineFleet::check_state(Machine& machine) {
  const FleetState& held = state(machine.name);
  if (known_versions_[machine.name] == held.version)
    return;
  known_versions_[machine.name] = held.version;
  auto [entry, is_new] = encoded_states_.insert({held.version, encode_state(held)});
  if (!is_new && entry->second != encode_state(held))
    conflicts_ += machine.name + " holds another version " + std::to_string(held.version) + "\n";
}

std::string MachineFleet::describe(const Machine& machine) {
  std::string text = machine.name + " " + machine.address.text;
  if (!machine.is_up)
    return text + " down\n";
  text += machine.is_frozen ? " frozen" : " up";
  const MasterElection& machine_election = machine.control->election();
  const FleetState& held = state(machine.name);
  text += " phase " + std::to_string(static_cast<int>(machine_election.phase()));
  text += " master " + machine_election.master().text;
  text += " rounds without quorum " + std::to_string(machine_election.rounds_without_quorum());
  text += " state " + std::to_string(held.version);
  text += " map " + show(machine.control->map().version);
  text += " roster " + std::to_string(held.roster.size());
  text += " set";
  for (const auto& entry : held.acceptors)
    text += " " + entry.address.text + "=" + entry.store.text;
  for (const auto& entry : held.next_acceptors)
    text += " next " + entry.address.text + "=" + entry.store.text;
  return text + "\n";
}

std::string MachineFleet::trace() {
  std::string text = "at " + std::to_string(now()) + "\n" + events_trace_;
  for (const auto& [name, machine] : machines_)
    text += describe(*machine);
  return text;
}

}  // namespace emberdale
