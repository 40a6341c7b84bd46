// What the scale runs measure: counts since the last reset, grants, changes of configuration, sizes and memory.
#include <malloc.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <variant>

#include "emberdale/avro_codec.hpp"
#include "scale_runs.hpp"

namespace emberdale::scale {
namespace {

constexpr std::int64_t sample_ms = 50;
constexpr std::int64_t minute_ms = 60000;
constexpr std::string_view revision_field = "\"config_revision\":";

std::int64_t heap_bytes() {
  auto heap = mallinfo2();
  return static_cast<std::int64_t>(heap.uordblks + heap.hblkhd);
}

std::int64_t topic_bytes(const PlacementMap& map, const std::string& topic) {
  std::int64_t bytes = 0;
  for (const auto& [key, body] : slice_rows(map, topic))
    bytes += static_cast<std::int64_t>(key.size() + body.size() + 3);
  return bytes;
}

// The revision that an answer to a change names; 0 if it was not taken.
std::int64_t acknowledged_revision(const EditResponse& response) {
  auto mark = response.body.find(revision_field);
  if (response.code != 200 || mark == std::string::npos)
    return 0;
  return std::atoll(response.body.c_str() + mark + revision_field.size());
}

template <std::size_t... Index>
std::array<const char*, message_kinds> wire_names(std::index_sequence<Index...>) {
  return {std::variant_alternative_t<Index, Message>::wire_name...};
}

}  // namespace

const char* message_name(std::size_t kind) {
  static const std::array<const char*, message_kinds> names = wire_names(std::make_index_sequence<message_kinds>());
  return names.at(kind);
}

const char* role_name(int role) {
  static const char* const names[] = {"core", "master", "edge", "data"};
  return names[role];
}

void ScaleFleet::reset() {
  counts_ = {};
  counts_.daemons.resize(daemons_.size());
  rounds_before_ = 0;
  for (const auto& daemon : daemons_)
    if (daemon.control)
      rounds_before_ += daemon.control->proposer().counts().rounds;
  samples = samples_without_grant = changes_asked = changes_failed = maps_published = 0;
  acknowledged_ms.clear();
  in_force_ms.clear();
  if (shape_.changes_a_minute > 0 && changes_from_ < 0 && master()) {
    changes_from_ = now_;
    change();
  }
}

const ScaleCounts& ScaleFleet::counts() {
  counts_.register_rounds = -rounds_before_;
  for (const auto& daemon : daemons_)
    if (daemon.control)
      counts_.register_rounds += daemon.control->proposer().counts().rounds;
  return counts_;
}

void ScaleFleet::sample() {
  std::int64_t oldest = INT64_MAX;
  for (const auto& daemon : daemons_) {
    if (!daemon.data)
      continue;
    ++samples;
    if (!has_grant(daemon))
      ++samples_without_grant;
    oldest = std::min(oldest, daemon.data->view()->config_revision);
  }
  for (auto entry = changes_.begin(); entry != changes_.end();) {
    if (entry->revision > 0 && entry->revision <= oldest) {
      in_force_ms.push_back(now_ - entry->asked);
      entry = changes_.erase(entry);
    } else {
      ++entry;
    }
  }
  later(sample_ms, [this] { sample(); });
}

// One change of configuration, asked at the edge daemons in turn; then the next at its time.
void ScaleFleet::change() {
  later(minute_ms / shape_.changes_a_minute, [this] { change(); });
  auto edges = of_role("edge");
  std::size_t index = edges[static_cast<std::size_t>(changes_asked) % edges.size()];
  ++changes_asked;
  if (!daemons_[index].is_up)
    return;
  changes_.push_back({now_, 0, 0});
  EditRequest request;
  request.change_id = "change-" + std::to_string(now_) + "-" + std::to_string(changes_asked);
  request.action = EditAction::patch;
  request.kind = plans_kind;
  request.name = "plan-" + std::to_string(changes_asked % shape_.plans);
  request.expected_version = -1;
  request.body = R"({"horizon_ms":)" + std::to_string(4000 + changes_asked % 1000) + "}";
  daemons_[index].control->edit(
      request, [this, asked = now_](const EditResponse& response) { end_change(asked, response); },
      clock(daemons_[index]));
  flush(index);
}

void ScaleFleet::end_change(std::int64_t asked, const EditResponse& response) {
  auto entry =
      std::find_if(changes_.begin(), changes_.end(), [&](const Change& change) { return change.asked == asked; });
  if (entry == changes_.end())
    return;
  std::int64_t revision = acknowledged_revision(response);
  if (revision == 0) {
    ++changes_failed;
    changes_.erase(entry);
    return;
  }
  entry->revision = revision;
  acknowledged_ms.push_back(now_ - asked);
}

ScaleFleet::Sizes ScaleFleet::sizes() const {
  Sizes sizes;
  auto leader = master();
  if (!leader)
    return sizes;
  const ControlDaemon& control = *daemons_[*leader].control;
  sizes.state = static_cast<std::int64_t>(encode_state(control.proposer().state()).size());
  sizes.map = static_cast<std::int64_t>(encode_message(Message{PlacementUpdate{control.map()}}).size());
  sizes.plans_slice = topic_bytes(control.map(), plans_topic);
  std::set<PoolName> pools;
  for (const auto& runner : control.map().runners)
    pools.insert(runner.pool);
  for (const auto& pool : pools)
    sizes.pool_slices += topic_bytes(control.map(), pool_topic(pool));
  for (const auto& daemon : daemons_)
    sizes.disk = std::max(sizes.disk, daemon.disk_bytes);
  return sizes;
}

std::int64_t ScaleFleet::weigh(std::size_t index) {
  Daemon& daemon = daemons_[index];
  std::int64_t before = heap_bytes();
  ++daemon.incarnation;
  daemon.is_up = false;
  daemon.control.reset();
  daemon.data.reset();
  return before - heap_bytes();
}

}  // namespace emberdale::scale
