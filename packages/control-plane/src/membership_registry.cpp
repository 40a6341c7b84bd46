#include "emberdale/membership_registry.hpp"

#include <algorithm>

namespace emberdale {
namespace {
constexpr Duration dead_member_timeout_without_quorum{3500};
constexpr Duration enrol_timeout{3000}, evict_timeout{2000};

using Roster = std::vector<DaemonEntry>;

bool has_daemon(const Roster& roster, const Address& address) {
  return std::any_of(roster.begin(), roster.end(), [&](const auto& entry) { return entry.address == address; });
}

// Whether the roster names the daemon, with all that is now known of it.
bool has_same_entry(const Roster& roster, const DaemonEntry& daemon) {
  return std::any_of(roster.begin(), roster.end(), [&](const DaemonEntry& entry) {
    return entry.address == daemon.address && entry.zone == daemon.zone && entry.region == daemon.region &&
           entry.http_address == daemon.http_address;
  });
}

template <class Predicate>
void remove_if(Roster& roster, Predicate predicate) {
  roster.erase(std::remove_if(roster.begin(), roster.end(), predicate), roster.end());
}

// Adds the newcomers, of which the first one replaces an older entry of its own.
ChangeDecision add_to_roster(const FleetState& state, const Roster& newcomers) {
  const DaemonEntry& first = newcomers.front();
  if (has_same_entry(state.roster, first))
    return {ChangeDecision::Kind::already_there, {}, ""};
  FleetState next = state;
  for (const auto& newcomer : newcomers) {
    bool is_first = newcomer.address == first.address;
    if (!is_first && has_daemon(next.roster, newcomer.address))
      continue;
    remove_if(next.roster, [&](const auto& entry) { return entry.address == newcomer.address; });
    next.roster.push_back(newcomer);
  }
  std::sort(next.roster.begin(), next.roster.end(),
            [](const auto& one, const auto& other) { return one.address < other.address; });
  return {ChangeDecision::Kind::apply, next, ""};
}

ChangeDecision remove_from_roster(const FleetState& state, const std::set<Address>& members) {
  FleetState next = state;
  remove_if(next.roster, [&](const auto& entry) { return members.count(entry.address) != 0; });
  if (next.roster.size() == state.roster.size())
    return {ChangeDecision::Kind::already_there, {}, ""};
  return {ChangeDecision::Kind::apply, next, ""};
}
}  // namespace

void MembershipRegistry::enrol(const std::vector<DaemonEntry>& heard, TimePoint now) {
  if (is_enrolling_ || !proposer_.has_state() || now < enrol_next_)
    return;
  const auto& roster = proposer_.state().roster;
  if (has_same_entry(roster, self_)) {
    has_waited_ = false;
    return;
  }
  if (!has_waited_) {
    // Of many daemons that start together one goes first and brings the others along.
    has_waited_ = true;
    enrol_next_ = now + Duration{random_.below(60 + 12 * static_cast<std::int64_t>(heard.size()))};
    return;
  }
  std::vector<DaemonEntry> newcomers{self_};
  for (const auto& entry : heard)
    if (!has_daemon(roster, entry.address))
      newcomers.push_back(entry);
  write_newcomers(std::move(newcomers), now);
}

void MembershipRegistry::write_newcomers(std::vector<DaemonEntry> newcomers, TimePoint now) {
  is_enrolling_ = true;
  proposer_.change(
      [newcomers = std::move(newcomers)](const FleetState& state) { return add_to_roster(state, newcomers); },
      [this, now](const ChangeResult& end) {
        is_enrolling_ = false;
        enrol_next_ = now + Duration{200 + random_.below(400)};
        if (end.kind != ChangeResult::Kind::committed)
          return;
        ++counts_.enrolled;
        journal_.append(now, "enrolled", self_.address.text);
      },
      now, enrol_timeout);
}

void MembershipRegistry::evict_dead_members(int rounds_without_quorum, bool is_master, TimePoint now) {
  if (is_evicting_ || now < evict_next_ || !proposer_.silences())
    return;
  bool lacks_quorum = rounds_without_quorum >= 1;
  if (!lacks_quorum && !is_master)
    return;
  evict_next_ = now + Duration{500 + random_.below(500)};
  Duration timeout =
      lacks_quorum ? std::min(dead_member_timeout_without_quorum, dead_member_timeout_) : dead_member_timeout_;
  std::set<Address> dead = dead_members(timeout);
  if (!dead.empty())
    remove_members(dead, now);
}

std::set<Address> MembershipRegistry::dead_members(Duration timeout) const {
  const auto& silences = *proposer_.silences();
  auto watched = silences.find(Address{});  // under the empty address: how long the replicas have watched
  if (watched == silences.end() || watched->second < timeout)
    return {};
  std::set<Address> dead;
  for (const auto& entry : proposer_.state().roster) {
    if (entry.address == self_.address)
      continue;
    auto silence = silences.find(entry.address);
    if (silence == silences.end() || silence->second >= timeout)
      dead.insert(entry.address);
  }
  return dead;
}

void MembershipRegistry::remove_members(const std::set<Address>& members, TimePoint now) {
  is_evicting_ = true;
  proposer_.change([members](const FleetState& state) { return remove_from_roster(state, members); },
                   [this, members, now](const ChangeResult& end) {
                     is_evicting_ = false;
                     if (end.kind != ChangeResult::Kind::committed)
                       return;
                     counts_.dead_members_evicted += static_cast<std::int64_t>(members.size());
                     for (const auto& member : members) {
                       evicted_.insert(member);
                       journal_.append(now, "evicted", member.text);
                     }
                   },
                   now, evict_timeout);
}

}  // namespace emberdale
