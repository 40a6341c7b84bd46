#include "emberdale/history.hpp"

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>

namespace emberdale::history {
namespace {
using Json = nlohmann::json;

template <class Value>
struct NamedValue {
  Value value;
  const char* name;
};
constexpr NamedValue<ObjectKind> object_kinds[] = {{ObjectKind::configuration, "configuration"},
                                                   {ObjectKind::zone_order, "zone-order"},
                                                   {ObjectKind::resource, "resource"}};
constexpr NamedValue<OperationKind> operation_kinds[] = {
    {OperationKind::change, "change"}, {OperationKind::remove, "remove"}, {OperationKind::read, "read"}};
constexpr NamedValue<CallOutcome> outcomes[] = {{CallOutcome::acknowledged, "acknowledged"},
                                                {CallOutcome::stale, "stale"},
                                                {CallOutcome::refused, "refused"},
                                                {CallOutcome::unknown, "unknown"}};

template <class Value, std::size_t count>
const char* name_of(const NamedValue<Value> (&table)[count], Value value) {
  for (const auto& entry : table)
    if (entry.value == value)
      return entry.name;
  return "";
}

template <class Value, std::size_t count>
bool read_name(const NamedValue<Value> (&table)[count], const Json& line, const char* key, Value& value) {
  auto field = line.find(key);
  if (field == line.end() || !field->is_string())
    return false;
  for (const auto& entry : table)
    if (*field == entry.name) {
      value = entry.value;
      return true;
    }
  return false;
}

template <class Value>
void put_if_known(Json& line, const char* key, const std::optional<Value>& value) {
  if (value)
    line[key] = *value;
}

std::optional<std::int64_t> number_at(const Json& line, const char* key) {
  auto field = line.find(key);
  if (field == line.end() || !field->is_number_integer())
    return std::nullopt;
  return field->get<std::int64_t>();
}

std::optional<std::string> text_at(const Json& line, const char* key) {
  auto field = line.find(key);
  if (field == line.end() || !field->is_string())
    return std::nullopt;
  return field->get<std::string>();
}

std::optional<Operation> read_line(const Json& line) {
  Operation operation;
  auto invoked_at = number_at(line, "invoked_at");
  auto call = text_at(line, "call"), object = text_at(line, "object");
  if (!invoked_at || !call || !object || !read_name(object_kinds, line, "object_kind", operation.object_kind) ||
      !read_name(operation_kinds, line, "kind", operation.kind) ||
      !read_name(outcomes, line, "outcome", operation.outcome))
    return std::nullopt;
  operation.call = *call;
  operation.object = *object;
  operation.invoked_at = *invoked_at;
  operation.caller = text_at(line, "caller").value_or("");
  operation.daemon = text_at(line, "daemon").value_or("");
  operation.returned_at = number_at(line, "returned_at");
  operation.gave_up_at = number_at(line, "gave_up_at");
  operation.base = number_at(line, "base");
  operation.revision = number_at(line, "revision");
  operation.change = text_at(line, "change").value_or("");
  operation.value = text_at(line, "value");
  if (operation.outcome == CallOutcome::acknowledged && !operation.returned_at)
    return std::nullopt;
  return operation;
}

}  // namespace

std::size_t HistoryRecorder::invoke(Operation operation) {
  operation.call = "call-" + std::to_string(operations_.size() + 1);
  operations_.push_back(std::move(operation));
  return operations_.size() - 1;
}

Operation& HistoryRecorder::returned(std::size_t call, std::int64_t now) {
  operations_[call].returned_at = now;
  return operations_[call];
}

void HistoryRecorder::gave_up(std::size_t call, std::int64_t now) {
  if (!operations_[call].returned_at && !operations_[call].gave_up_at)
    operations_[call].gave_up_at = now;
}

std::string history_line(const Operation& operation) {
  Json line{{"call", operation.call},
            {"caller", operation.caller},
            {"daemon", operation.daemon},
            {"object_kind", name_of(object_kinds, operation.object_kind)},
            {"object", operation.object},
            {"kind", name_of(operation_kinds, operation.kind)},
            {"invoked_at", operation.invoked_at},
            {"outcome", name_of(outcomes, operation.outcome)}};
  put_if_known(line, "returned_at", operation.returned_at);
  put_if_known(line, "gave_up_at", operation.gave_up_at);
  put_if_known(line, "base", operation.base);
  put_if_known(line, "revision", operation.revision);
  put_if_known(line, "value", operation.value);
  if (!operation.change.empty())
    line["change"] = operation.change;
  return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

Outcome<std::vector<Operation>> read_history(std::istream& stream) {
  std::vector<Operation> operations;
  std::map<std::string, std::size_t> place_of;
  std::string text;
  for (int number = 1; std::getline(stream, text); ++number) {
    if (text.empty())
      continue;
    Json line = Json::parse(text, nullptr, false);
    if (line.is_discarded() && stream.eof())
      break;  // its writer was killed: the line of the call's beginning stands
    auto operation = line.is_object() ? read_line(line) : std::nullopt;
    if (!operation)
      return failure("line " + std::to_string(number) + " is no call of a history");
    auto [place, is_new] = place_of.insert({operation->call, operations.size()});
    if (is_new)
      operations.push_back(std::move(*operation));
    else
      operations[place->second] = std::move(*operation);
  }
  return operations;
}

std::string history_digest(const std::string& text) {
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(stable_hash(text)));
  return digest;
}

}  // namespace emberdale::history
