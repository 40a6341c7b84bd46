#include "emberdale/forwarded_block.hpp"

#include <nlohmann/json.hpp>
#include <set>

#include "emberdale/freshness_times.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {
using Json = nlohmann::json;

// A change that takes work away is answered with yes, no or unknown before leases by the old map could outlast 5 s.
constexpr Duration block_timeout{3000};

bool drains_runner(const EditRequest& request, const Json& body) {
  return request.kind == runners_kind && body.value("leaving", Json()) == true;
}

bool evacuates_zone(const EditRequest& request, const Json& body) {
  return request.kind == orders_kind && body.value("state", Json()) == "emptied";
}

std::vector<OutboundMessage> send_to(const std::set<Address>& receivers, const DispatchBlock& block) {
  std::vector<OutboundMessage> messages;
  for (const auto& receiver : receivers)
    messages.push_back({receiver, block});
  return messages;
}
}  // namespace

ForwardedBlock block_of(const EditRequest& request, std::int64_t version, TimePoint now) {
  bool may_take_work_away = request.kind == runners_kind || request.kind == orders_kind;
  if (request.action == EditAction::remove || !may_take_work_away)
    return {};
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return {};
  DispatchBlock block;
  block.change_id = request.change_id;
  if (drains_runner(request, body))
    block.runner.text = request.name;
  else if (evacuates_zone(request, body))
    block.zone.text = request.name;
  else
    return {};
  return ForwardedBlock{block, now + block_interval, now + block_timeout, version};
}

bool ForwardedBlock::is_due(std::int64_t current_version, TimePoint now) {
  if (!block || now < next)
    return false;
  bool is_settled = current_version != version;
  if (is_over(now) || is_settled) {
    block.reset();
    return false;
  }
  next = now + block_interval;
  return true;
}

std::vector<OutboundMessage> broadcast_block(const DispatchBlock& block, const PlacementMap& map,
                                             const std::vector<Address>& subscribers, const PeerTable& peers,
                                             const Address& self) {
  std::set<Address> receivers(subscribers.begin(), subscribers.end());
  for (const auto& gateway : map.gateways)
    receivers.insert(gateway.daemon);
  std::vector<OutboundMessage> messages = send_to(receivers, block);
  for (auto& relayed : block_relayed(block, map, peers, self))
    messages.push_back(std::move(relayed));
  return messages;
}

DispatchBlock draining_block(const RunnerName& runner) {
  DispatchBlock block;
  block.change_id = "listed-draining/" + runner.text;
  block.runner = runner;
  return block;
}

std::vector<OutboundMessage> block_near(const DispatchBlock& block, const PlacementMap& map,
                                        const std::vector<Address>& subscribers, const ZoneName& zone) {
  std::set<Address> receivers(subscribers.begin(), subscribers.end());
  for (const auto& gateway : map.gateways)
    if (gateway.zone == zone)
      receivers.insert(gateway.daemon);
  return send_to(receivers, block);
}

std::vector<OutboundMessage> block_relayed(const DispatchBlock& block, const PlacementMap& map, const PeerTable& peers,
                                           const Address& self) {
  DispatchBlock relayed = block;
  relayed.is_relayed = true;
  std::set<Address> relays;
  for (const auto& edge : map.edges)
    relays.insert(edge.daemon);
  for (const auto& [address, peer] : peers.all())
    if (peer.is_edge())
      relays.insert(address);
  relays.erase(self);
  return send_to(relays, relayed);
}

std::vector<OutboundMessage> relay_block(const DispatchBlock& block, const PlacementMap& map,
                                         const std::vector<Address>& subscribers, const ZoneName& zone) {
  if (!block.is_relayed)
    return {};
  DispatchBlock direct = block;
  direct.is_relayed = false;
  return block_near(direct, map, subscribers, zone);
}

}  // namespace emberdale
