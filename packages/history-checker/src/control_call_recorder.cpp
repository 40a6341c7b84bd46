#include "emberdale/control_call_recorder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/routing_table.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale::history {
namespace {
using Json = nlohmann::json;

// Where the document isn't text of JSON the register refuses it: then no digest is needed.
void fill_configuration_change(Operation& operation, const EditRequest& request) {
  operation.base = request.expected_version;
  operation.change =
      to_string(request.action) + " " + std::to_string(request.expected_version) + " " + history_digest(request.body);
  Json document = Json::parse(request.body, nullptr, false);
  if (!document.is_object())
    return;
  if (document.contains("revision") && document["revision"].is_number_integer())
    operation.revision = document["revision"].get<std::int64_t>();
  if (request.action == EditAction::replace)
    operation.value = history_digest(json_text(document));
}

void fill_resource_change(Operation& operation, const EditRequest& request) {
  operation.change = request.change_id;
  if (request.action == EditAction::remove)
    operation.kind = OperationKind::remove;
  if (request.action == EditAction::put)
    operation.value = history_digest(request.body);
  if (request.expected_version >= 0)
    operation.base = request.expected_version;
}

CallOutcome outcome_of(const Operation& operation, std::int64_t code) {
  if (code == 200 || code == 201)
    return CallOutcome::acknowledged;
  if (code == 412 && operation.base)
    return CallOutcome::stale;
  return code == 504 ? CallOutcome::unknown : CallOutcome::refused;
}

void show_resource(Operation& operation, const Resource* resource) {
  if (operation.object_kind == ObjectKind::zone_order) {
    operation.value = resource == nullptr ? "" : resource->body;
    return;
  }
  operation.revision = resource == nullptr ? 0 : resource->version;
  if (resource == nullptr)
    return;
  bool is_configuration = operation.object_kind == ObjectKind::configuration;
  operation.value = history_digest(is_configuration ? routing_table_document(resource->body) : resource->body);
}

}  // namespace

Operation ControlCallRecorder::operation_on(const std::string& kind, const std::string& name) {
  Operation operation;
  operation.object = kind + "/" + name;
  operation.object_kind = ObjectKind::resource;
  if (kind == routing_table_kind)
    operation.object_kind = ObjectKind::configuration;
  if (kind == orders_kind && zone_orders_ == ZoneOrderModel::expiring)
    operation.object_kind = ObjectKind::zone_order;
  return operation;
}

std::size_t ControlCallRecorder::asked(const std::string& caller, const std::string& daemon, const EditRequest& request,
                                       std::int64_t now) {
  objects_.insert({request.kind, request.name});
  Operation operation = operation_on(request.kind, request.name);
  operation.caller = caller;
  operation.daemon = daemon;
  operation.kind = OperationKind::change;
  operation.invoked_at = now;
  if (operation.object_kind == ObjectKind::configuration)
    fill_configuration_change(operation, request);
  else if (operation.object_kind == ObjectKind::resource)
    fill_resource_change(operation, request);
  else
    operation.value = request.body;
  return recorder_.invoke(std::move(operation));
}

void ControlCallRecorder::answered(std::size_t call, const EditResponse& response, std::int64_t now) {
  Operation& operation = recorder_.returned(call, now);
  operation.outcome = outcome_of(operation, response.code);
  bool is_counted = operation.object_kind == ObjectKind::resource && operation.kind == OperationKind::change;
  if (is_counted && operation.outcome == CallOutcome::acknowledged)
    operation.revision = response.version;
}

void ControlCallRecorder::was_read(const Reader& reader, std::int64_t now, const FleetState& state) {
  for (const auto& [kind, name] : objects_) {
    auto shown = std::find_if(state.resources.begin(), state.resources.end(),
                              [&, &kind = kind, &name = name](const Resource& resource) {
                                return resource.kind == kind && resource.name == name;
                              });
    Operation operation = operation_on(kind, name);
    operation.caller = reader.caller;
    operation.daemon = reader.daemon;
    operation.invoked_at = reader.invoked_at;
    operation.outcome = CallOutcome::acknowledged;
    operation.kind = OperationKind::read;
    show_resource(operation, shown == state.resources.end() ? nullptr : &*shown);
    recorder_.returned(recorder_.invoke(std::move(operation)), now);
  }
}

}  // namespace emberdale::history
