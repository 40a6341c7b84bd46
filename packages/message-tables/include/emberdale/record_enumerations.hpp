// Enumerations of the record fields that have a fixed set of texts.
//
// On the wire and on disk such a field is a string: the codec writes to_string() and reads with the parse function.
// Every enumeration has `unspecified`, whose text is empty: the value of a field that was never set.
//
// A text that is not known here is refused, with a reason, as bytes of a newer version are: the record that holds it is
// not decoded. Messages come from daemons of the same protocol, and the roles that lie on disk in a FleetState were
// written by these programs, so that no text that was ever written is refused. The kind of a Resource or an EditRequest
// stays a string, because operators choose it: the answer to an unknown kind names it, and a stored resource of an
// unknown kind stays readable and is written back as it was. parse_resource_kind() gives the kind's meaning.
#pragma once
#include <optional>
#include <string>

namespace emberdale {

// What a daemon does. Texts: "core", "edge", "data".
enum class DaemonRole {
  unspecified,
  core,  // holds a replica of the register
  edge,  // a control daemon that publishes the placement map or follows the master
  data,  // relays calls to runners
};
std::string to_string(DaemonRole role);
std::optional<DaemonRole> parse_daemon_role(const std::string& text);

// Whether a runner of the placement map can be sent calls.
enum class RunnerState {
  unspecified,
  warm,        // "warm": in service
  warming_up,  // "cold": takes a limited rate of calls
  draining,    // "leaving": an operator takes the runner out of service
  evacuated,   // "emptied": its zone is evacuated
  down,        // "down": unreachable
};
std::string to_string(RunnerState state);
std::optional<RunnerState> parse_runner_state(const std::string& text);

// What an operator's change does with the resource that it names.
enum class EditAction {
  unspecified,
  put,     // "put": creates the resource or replaces its body
  patch,   // "patch": merges the body into that of an existing resource (RFC 7396)
  remove,  // "delete": deletes the resource
  // "ensure": as put, but a resource that has the body already keeps its version and needs no write. For clients that
  // repeat a request because the response was late: on a slow disk a write takes longer than they wait.
  ensure,
  replace,  // "replace": replaces the routing table
  amend,    // "amend": changes parts of the routing table
};
std::string to_string(EditAction action);
std::optional<EditAction> parse_edit_action(const std::string& text);

// The kinds of resources that are known, and their texts.
enum class ResourceKind { serving_plans, zone_orders, runners, routing_table };
inline constexpr const char* plans_kind = "serving-plans";
inline constexpr const char* orders_kind = "zone-orders";
inline constexpr const char* runners_kind = "runners";
inline constexpr const char* routing_table_kind = "routing-table";
std::optional<ResourceKind> parse_resource_kind(const std::string& text);

}  // namespace emberdale
