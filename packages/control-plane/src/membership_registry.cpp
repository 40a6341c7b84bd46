#include "emberdale/membership_registry.hpp"

#include <algorithm>

namespace emberdale {
namespace {
constexpr Duration dead_member_timeout_without_quorum{3500};

bool has_daemon(const std::vector<DaemonEntry>& roster, const Address& address) {
  return std::any_of(roster.begin(), roster.end(), [&](const auto& entry) { return entry.address == address; });
}
}  // namespace

void MembershipRegistry::enrol(const std::vector<DaemonEntry>& heard, TimePoint now) {
  if (is_enrolling_ || !proposer_.has_state() || now < enrol_next_)
    return;
  auto is_same = [self = self_](const DaemonEntry& entry) {
    return entry.address == self.address && entry.zone == self.zone && entry.region == self.region &&
           entry.http_address == self.http_address;
  };
  const auto& roster = proposer_.state().roster;
  if (std::any_of(roster.begin(), roster.end(), is_same)) {
    has_waited_ = false;
    return;
  }
  if (!has_waited_) {
    // In a crowd one daemon goes first and brings the others along.
    has_waited_ = true;
    enrol_next_ = now + Duration{random_.below(60 + 12 * static_cast<std::int64_t>(heard.size()))};
    return;
  }
  is_enrolling_ = true;
  std::vector<DaemonEntry> newcomers{self_};
  for (const auto& entry : heard)
    if (!has_daemon(roster, entry.address))
      newcomers.push_back(entry);
  proposer_.change(
      [newcomers, is_same](const FleetState& state) -> Verdict {
        if (std::any_of(state.roster.begin(), state.roster.end(), is_same))
          return {Verdict::Kind::already_there, {}, ""};
        FleetState next = state;
        for (const auto& entry : newcomers) {
          bool is_self = entry.address == newcomers.front().address;
          if (!is_self && has_daemon(next.roster, entry.address))
            continue;
          next.roster.erase(std::remove_if(next.roster.begin(), next.roster.end(),
                                           [&](const auto& e) { return e.address == entry.address; }),
                            next.roster.end());
          next.roster.push_back(entry);
        }
        std::sort(next.roster.begin(), next.roster.end(),
                  [](const auto& a, const auto& b) { return a.address < b.address; });
        return {Verdict::Kind::apply, next, ""};
      },
      [this, now](const ChangeEnd& end) {
        is_enrolling_ = false;
        enrol_next_ = now + Duration{200 + random_.below(400)};
        if (end.kind != ChangeEnd::Kind::committed)
          return;
        ++counts_.enrolled;
        journal_.append(now, "enrolled", self_.address.text);
      },
      now, Duration{3000});
}

void MembershipRegistry::evict_dead_members(int rounds_without_quorum, bool is_master, TimePoint now) {
  if (is_evicting_ || now < evict_next_ || !proposer_.silences())
    return;
  bool is_starved = rounds_without_quorum >= 1;
  if (!is_starved && !is_master)
    return;
  evict_next_ = now + Duration{500 + random_.below(500)};
  Duration span =
      is_starved ? std::min(dead_member_timeout_without_quorum, dead_member_timeout_) : dead_member_timeout_;
  const auto& silences = *proposer_.silences();
  auto watched = silences.find(Address{});
  if (watched == silences.end() || watched->second < span)
    return;
  std::set<Address> dead_members;
  for (const auto& entry : proposer_.state().roster) {
    if (entry.address == self_.address)
      continue;
    auto silence = silences.find(entry.address);
    if (silence == silences.end() || silence->second >= span)
      dead_members.insert(entry.address);
  }
  if (dead_members.empty())
    return;
  is_evicting_ = true;
  proposer_.change(
      [dead_members](const FleetState& state) -> Verdict {
        FleetState next = state;
        next.roster.erase(std::remove_if(next.roster.begin(), next.roster.end(),
                                         [&](const auto& e) { return dead_members.count(e.address) != 0; }),
                          next.roster.end());
        if (next.roster.size() == state.roster.size())
          return {Verdict::Kind::already_there, {}, ""};
        return {Verdict::Kind::apply, next, ""};
      },
      [this, dead_members, now](const ChangeEnd& end) {
        is_evicting_ = false;
        if (end.kind != ChangeEnd::Kind::committed)
          return;
        counts_.dead_members_evicted += static_cast<std::int64_t>(dead_members.size());
        for (const auto& dead_member : dead_members) {
          evicted_.insert(dead_member);
          journal_.append(now, "evicted", dead_member.text);
        }
      },
      now, Duration{2000});
}

}  // namespace emberdale
