#include "emberdale/window_scheduler.hpp"

namespace emberdale {
namespace {
constexpr Duration transition_interval{10000};
constexpr std::int64_t any_version = -1;

EditRequest transition_request(const ZoneName& zone, bool opens, std::int64_t state_version,
                               std::int64_t wall_seconds) {
  EditRequest request;
  request.change_id = "window-" + zone.text + "-" + std::to_string(state_version) + "-" + std::to_string(wall_seconds);
  request.action = EditAction::patch;
  request.kind = orders_kind;
  request.name = zone.text;
  request.expected_version = any_version;
  request.body = opens ? R"({"window_open":true})" : R"({"window_open":false})";
  return request;
}
}  // namespace

std::optional<WindowScheduler::Transition> WindowScheduler::due_transition(const std::vector<ZoneOrder>& orders,
                                                                           std::int64_t state_version,
                                                                           TimePoint now) const {
  if (wall_seconds_ == 0 || now < next_)
    return std::nullopt;
  for (const auto& order : orders) {
    bool opens = order.wants_window(wall_seconds_);
    if (opens != order.is_window_open)
      return Transition{order.zone, opens, transition_request(order.zone, opens, state_version, wall_seconds_)};
  }
  return std::nullopt;
}

void WindowScheduler::on_started(TimePoint now) { next_ = now + transition_interval; }

}  // namespace emberdale
