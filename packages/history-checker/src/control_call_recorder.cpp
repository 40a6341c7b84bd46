#include "emberdale/control_call_recorder.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/serving_plans.hpp"
#include "emberdale/traffic_table.hpp"

namespace emberdale::history {
namespace {
using Json = nlohmann::json;

// Where the document isn't text of JSON the register refuses it: then no digest is needed.
void fill_configuration_change(Operation& operation, const EditAsk& ask) {
  operation.base = ask.expected;
  operation.change = ask.act + " " + std::to_string(ask.expected) + " " + history_digest(ask.body);
  Json document = Json::parse(ask.body, nullptr, false);
  if (!document.is_object())
    return;
  if (document.contains("revision") && document["revision"].is_number_integer())
    operation.revision = document["revision"].get<Integer>();
  if (ask.act == "replace")
    operation.value = history_digest(json_text(document));
}

void fill_resource_change(Operation& operation, const EditAsk& ask) {
  operation.change = ask.change;
  if (ask.act == "delete")
    operation.kind = OperationKind::remove;
  if (ask.act == "put")
    operation.value = history_digest(ask.body);
  if (ask.expected >= 0)
    operation.base = ask.expected;
}

CallOutcome outcome_of(const Operation& operation, Integer code) {
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
  operation.value = history_digest(is_configuration ? traffic_document(resource->body) : resource->body);
}

}  // namespace

Operation ControlCallRecorder::operation_on(const std::string& kind, const std::string& name) {
  Operation operation;
  operation.object = kind + "/" + name;
  operation.object_kind = ObjectKind::resource;
  if (kind == traffic_kind)
    operation.object_kind = ObjectKind::configuration;
  if (kind == orders_kind && zone_orders_ == ZoneOrderModel::expiring)
    operation.object_kind = ObjectKind::zone_order;
  return operation;
}

std::size_t ControlCallRecorder::asked(const std::string& caller, const std::string& daemon, const EditAsk& ask,
                                       std::int64_t now) {
  objects_.insert({ask.kind, ask.name});
  Operation operation = operation_on(ask.kind, ask.name);
  operation.caller = caller;
  operation.daemon = daemon;
  operation.kind = OperationKind::change;
  operation.invoked_at = now;
  if (operation.object_kind == ObjectKind::configuration)
    fill_configuration_change(operation, ask);
  else if (operation.object_kind == ObjectKind::resource)
    fill_resource_change(operation, ask);
  else
    operation.value = ask.body;
  return recorder_.invoke(std::move(operation));
}

void ControlCallRecorder::answered(std::size_t call, const EditAnswer& answer, std::int64_t now) {
  Operation& operation = recorder_.returned(call, now);
  operation.outcome = outcome_of(operation, answer.code);
  bool is_counted = operation.object_kind == ObjectKind::resource && operation.kind == OperationKind::change;
  if (is_counted && operation.outcome == CallOutcome::acknowledged)
    operation.revision = answer.version;
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
