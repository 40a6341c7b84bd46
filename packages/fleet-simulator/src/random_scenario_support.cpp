// What the faults of a random scenario share.
#include <algorithm>

#include "random_scenario_run.hpp"

namespace emberdale {

const std::string& RandomScenario::pick(const std::vector<std::string>& list) {
  return list[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(list.size())))];
}

std::string RandomScenario::pick_zone() { return std::string(1, static_cast<char>('a' + random_.below(3))); }

std::string RandomScenario::pick_control() { return random_.chance(0.3) ? pick(cores_) : pick(edges_); }

std::vector<std::string> RandomScenario::all_daemons() const {
  std::vector<std::string> list = edges_;
  list.insert(list.end(), data_daemons_.begin(), data_daemons_.end());
  list.insert(list.end(), cores_.begin(), cores_.end());
  return list;
}

std::vector<std::string> RandomScenario::daemons_of_zone(const std::string& zone) const {
  std::vector<std::string> list;
  for (const auto& name : all_daemons())
    if (fleet_.zone(name) == zone)
      list.push_back(name);
  return list;
}

void RandomScenario::end_and_count_effect(std::function<std::int64_t()> count, std::function<void()> end) {
  fleet_.later(fault_duration_, [this, count, end, before = count(), fault = current_fault_] {
    result_.effects[fault] += count() > before;
    end();
  });
}

void RandomScenario::take_down(const std::string& name, bool is_power, std::int64_t ms) {
  if (name.empty())
    return;
  count_effect(fleet_.is_up(name));
  if (is_power)
    fleet_.power_cut(name);
  else
    fleet_.kill(name);
  fleet_.later(ms, [this, name] { restart(name); });
}

void RandomScenario::restart(const std::string& name) {
  if (std::find(replaced_daemons_.begin(), replaced_daemons_.end(), name) == replaced_daemons_.end())
    fleet_.start(name);
}

void RandomScenario::cut_until_end(const std::vector<std::string>& ones, const std::vector<std::string>& others,
                                   bool is_one_way) {
  std::vector<std::pair<std::string, std::string>> pairs;
  for (const auto& one : ones)
    for (const auto& other : others)
      if (one != other)
        pairs.push_back({one, other});
  for (const auto& [one, other] : pairs) {
    fleet_.cut(one, other);
    if (!is_one_way)
      fleet_.cut(other, one);
  }
  end_and_count_effect([this] { return fleet_.network().cut_off(); },
                       [this, pairs] {
                         for (const auto& [one, other] : pairs)
                           fleet_.repair_both(one, other);
                       });
}

bool RandomScenario::may_lose_disk() {
  if (!lost_core_.empty())
    return false;
  return std::all_of(cores_.begin(), cores_.end(),
                     [&](const auto& core) { return fleet_.is_running(core) && is_admitted(core); });
}

bool RandomScenario::is_admitted(const std::string& core) {
  auto* control = fleet_.control(core);
  if (control == nullptr || control->acceptor() == nullptr || control->acceptor()->is_blank())
    return false;
  const auto& state = control->proposer().state();
  return state.next_acceptors.empty() &&
         std::any_of(state.acceptors.begin(), state.acceptors.end(),
                     [&](const auto& entry) { return entry.store == control->acceptor()->store(); });
}

void RandomScenario::edit(const std::string& act, const std::string& kind, const std::string& name,
                          const std::string& body, std::int64_t expected) {
  edits_.push_back(fleet_.edit(pick_control(), act, kind, name, body, expected));
}

std::int64_t RandomScenario::version_seen(const std::string& at, const std::string& kind, const std::string& name) {
  if (auto* control = fleet_.control(at))
    for (const auto& resource : control->proposer().state().resources)
      if (resource.kind == kind && resource.name == name)
        return resource.version;
  return 0;
}

// Draws once, in proportion to the weights, whose sum is `weights`.
const RandomScenario::Fault& RandomScenario::pick_fault(const std::vector<Fault>& table, std::int64_t weights) {
  std::int64_t at = random_.below(weights);
  for (const auto& fault : table)
    if ((at -= fault.weight) < 0)
      return fault;
  return table.back();  // not reached while `weights` is the sum
}

void RandomScenario::inject(const Fault& fault) {
  current_fault_ = fault.name;
  ++result_.injected[current_fault_];
  log(current_fault_);
  (this->*fault.act)();
}

}  // namespace emberdale
