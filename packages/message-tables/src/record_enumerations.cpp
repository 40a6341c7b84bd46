#include "emberdale/record_enumerations.hpp"

#include <cstddef>

namespace emberdale {
namespace {

template <class Enumeration>
struct EnumeratorText {
  Enumeration value;
  const char* text;
};

constexpr EnumeratorText<DaemonRole> daemon_roles[] = {
    {DaemonRole::unspecified, ""},
    {DaemonRole::core, "core"},
    {DaemonRole::edge, "edge"},
    {DaemonRole::data, "data"},
};

constexpr EnumeratorText<RunnerState> runner_states[] = {
    {RunnerState::unspecified, ""},     {RunnerState::warm, "warm"},         {RunnerState::warming_up, "cold"},
    {RunnerState::draining, "leaving"}, {RunnerState::evacuated, "emptied"}, {RunnerState::down, "down"},
};

constexpr EnumeratorText<EditAction> edit_actions[] = {
    {EditAction::unspecified, ""},  {EditAction::put, "put"},       {EditAction::patch, "patch"},
    {EditAction::remove, "delete"}, {EditAction::ensure, "ensure"}, {EditAction::replace, "replace"},
    {EditAction::amend, "amend"},
};

constexpr EnumeratorText<ResourceKind> resource_kinds[] = {
    {ResourceKind::serving_plans, plans_kind},
    {ResourceKind::zone_orders, orders_kind},
    {ResourceKind::runners, runners_kind},
    {ResourceKind::routing_table, routing_table_kind},
};

template <class Enumeration, std::size_t Count>
std::string text_of(const EnumeratorText<Enumeration> (&texts)[Count], Enumeration value) {
  for (const auto& known : texts)
    if (known.value == value)
      return known.text;
  return "";
}

template <class Enumeration, std::size_t Count>
std::optional<Enumeration> parse(const EnumeratorText<Enumeration> (&texts)[Count], const std::string& text) {
  for (const auto& known : texts)
    if (text == known.text)
      return known.value;
  return std::nullopt;
}

}  // namespace

std::string to_string(DaemonRole role) { return text_of(daemon_roles, role); }
std::optional<DaemonRole> parse_daemon_role(const std::string& text) { return parse(daemon_roles, text); }

std::string to_string(RunnerState state) { return text_of(runner_states, state); }
std::optional<RunnerState> parse_runner_state(const std::string& text) { return parse(runner_states, text); }

std::string to_string(EditAction action) { return text_of(edit_actions, action); }
std::optional<EditAction> parse_edit_action(const std::string& text) { return parse(edit_actions, text); }

std::optional<ResourceKind> parse_resource_kind(const std::string& text) { return parse(resource_kinds, text); }

}  // namespace emberdale
