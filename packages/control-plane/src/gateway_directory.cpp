#include "emberdale/gateway_directory.hpp"

namespace emberdale {
namespace {

// A subscriber that has been silent for longer is not named.
constexpr Duration subscriber_timeout{1300};
// A report of a subscriber that is older than this says nothing any more.
constexpr Duration subscriber_report_lifetime{10000};
// The map counts for daemons that do not subscribe here while the master's report on them is not older.
constexpr Duration report_lifetime{2000};
// A single data daemon would have no one to fail over to.
constexpr std::size_t fewest_gateways = 2;

enum class Readiness { ready, not_ready, unknown };

// What the newest report of a subscriber says of it.
Readiness readiness_of(const DaemonStatus& report) {
  if (report.is_draining)
    return Readiness::not_ready;
  if (report.age_ms <= subscriber_timeout.value)
    return report.version != MapVersion{} ? Readiness::ready : Readiness::not_ready;
  return report.age_ms <= subscriber_report_lifetime.value ? Readiness::not_ready : Readiness::unknown;
}

template <class Item>
void shuffle(std::vector<Item>& items, RandomGenerator& random) {
  for (std::size_t i = items.size(); i > 1; --i)
    std::swap(items[i - 1], items[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(i)))]);
}

}  // namespace

std::int64_t gateways_digest(const PlacementMap& map, const std::vector<Address>& departed) {
  std::set<Address> named;
  for (const auto& row : map.gateways)
    named.insert(row.daemon);
  for (const auto& address : departed)
    named.erase(address);
  std::string text;
  for (const auto& address : named)
    text += address.text + "\n";
  return static_cast<std::int64_t>(stable_hash(text));
}

std::map<Address, GatewayDirectory::ReadyGateway> GatewayDirectory::gateways_of_map(const GatewayKnowledge& knowledge,
                                                                                    TimePoint now) const {
  std::map<Address, ReadyGateway> rows;
  Duration report_age = now - knowledge.report.known_at;
  if (report_age > report_lifetime)
    return rows;
  std::set<ZoneName> subscribed_zones = zones_subscribed_here(knowledge, now);
  for (const auto& row : knowledge.map.gateways)
    if (subscribed_zones.count(row.zone) == 0)
      rows[row.daemon] = {row, report_age + gateway_timeout};
  for (const auto& departed : knowledge.report.departed)
    rows.erase(departed);
  return rows;
}

std::set<ZoneName> GatewayDirectory::zones_subscribed_here(const GatewayKnowledge& knowledge, TimePoint now) const {
  std::set<ZoneName> zones;
  for (const auto& report : knowledge.subscribers)
    if (report.age_ms <= subscriber_timeout.value)
      zones.insert(report.daemon.zone);
  zones.erase(zone_);
  for (const auto& [address, peer] : knowledge.peers.all())
    if (peer.is_edge() && peer.was_heard_within(subscriber_timeout, now))
      zones.erase(peer.entry.zone);
  return zones;
}

std::vector<GatewayDirectory::ReadyGateway> GatewayDirectory::ready_gateways(const GatewayKnowledge& knowledge,
                                                                             TimePoint now) const {
  std::map<Address, ReadyGateway> rows = gateways_of_map(knowledge, now);
  for (const auto& report : knowledge.subscribers) {
    const DaemonEntry& daemon = report.daemon;
    Readiness readiness = readiness_of(report);
    if (readiness == Readiness::ready)
      rows[daemon.address] = {{daemon.address, daemon.http_address, daemon.zone, daemon.region},
                              Duration{report.age_ms}};
    else if (readiness == Readiness::not_ready)
      rows.erase(daemon.address);
  }
  std::vector<ReadyGateway> ready;
  for (auto& [address, gateway] : rows)
    if (!gateway.row.http_address.empty())
      ready.push_back(std::move(gateway));
  return ready;
}

std::vector<std::string> GatewayDirectory::addresses(const GatewayKnowledge& knowledge, const RegionName& region,
                                                     const ZoneName& zone, std::size_t limit, RandomGenerator& random,
                                                     TimePoint now) {
  std::vector<ReadyGateway> in_zone, in_region, elsewhere;
  for (auto& gateway : ready_gateways(knowledge, now)) {
    const GatewayRow& row = gateway.row;
    (row.zone == zone ? in_zone : row.region == region ? in_region : elsewhere).push_back(std::move(gateway));
  }
  std::vector<ReadyGateway> named = std::move(in_zone);
  if (named.size() < fewest_gateways)
    named.insert(named.end(), in_region.begin(), in_region.end());
  if (named.size() < fewest_gateways)
    named.insert(named.end(), elsewhere.begin(), elsewhere.end());
  shuffle(named, random);
  if (named.size() > limit)
    named.resize(limit);
  std::vector<std::string> addresses;
  for (const auto& gateway : named) {
    evidence_ages_.record(gateway.evidence_age);
    counters_->record(Invariant::gateway_evidence_bounded, gateway.evidence_age <= longest_evidence_age,
                      {0, gateway.row.daemon.text, now, gateway.evidence_age.value, longest_evidence_age.value});
    addresses.push_back(gateway.row.http_address);
  }
  return addresses;
}

}  // namespace emberdale
