// Changes of the stored routing table: idempotent, on a stated revision, checked in full before they take effect.
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "emberdale/idempotency_history.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/routing_table.hpp"
#include "field_reader.hpp"
#include "routing_document.hpp"
#include "routing_table_amendment.hpp"
#include "routing_table_check.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr const char* replace_action = "replace";
constexpr const char* amend_action = "amend";

constexpr int code_invalid = 400;
constexpr int code_other_revision = 412;
constexpr int code_unknown_outcome = 504;

// What the resource's text holds; a text that can't be read counts as none.
struct StoredTable {
  Json document = Json::object();
  IdempotencyHistory history;
  std::int64_t revision = 0;  // 0: there is no document
};

StoredTable read_stored(const std::string& stored) {
  StoredTable table;
  Json json = Json::parse(stored, nullptr, false);
  if (!json.is_object() || !json.contains("document") || !json["document"].is_object())
    return table;
  const Json* revision = FieldReader::find(json["document"], "revision");
  if (revision == nullptr || !revision->is_number_integer())
    return table;
  table.revision = revision->get<std::int64_t>();
  table.history = IdempotencyHistory::read(json, table.revision);
  table.document = std::move(json["document"]);
  return table;
}

std::string write_stored(Json document, const IdempotencyHistory& history) {
  Json stored = Json::object();
  stored["document"] = std::move(document);
  history.write(stored);
  return json_text(stored);
}

RoutingTableChangeKey key_of(const std::string& action, std::int64_t base, const Json& change) {
  const Json* revision = FieldReader::find(change, "revision");
  bool has_revision = revision != nullptr && revision->is_number_integer();
  return {action, base, has_revision ? revision->get<std::int64_t>() : 0, json_text(change)};
}

IdempotencyHistoryStatus find_change(const StoredTable& table, const RoutingTableChangeKey& key) {
  IdempotencyHistoryStatus status = table.history.find(key);
  // The newest document is there to compare with, where the history has a mark that two changes may share.
  bool is_comparable = key.action == replace_action && table.history.newest_is_legacy_mark_of(key);
  if (status != IdempotencyHistoryStatus::uncertain || !is_comparable)
    return status;
  return json_text(table.document) == key.text ? IdempotencyHistoryStatus::applied
                                               : IdempotencyHistoryStatus::not_applied;
}

RoutingTableChange refuse(RoutingTableChange result, int code, const std::string& reason) {
  result.code = code;
  result.reason = reason;
  return result;
}

// The reason is the first finding, and how many more there are.
RoutingTableChange refuse_invalid(RoutingTableChange result) {
  const Finding& first = result.findings.front();
  std::size_t more = result.findings.size() - 1;
  std::string reason = (first.place.empty() ? "" : first.place + " ") + first.message;
  if (more > 0)
    reason += " (and " + std::to_string(more) + " more)";
  return refuse(std::move(result), code_invalid, reason);
}

// The next document if `change` is a whole one.
Json replace_document(Json change, const std::string& body, std::vector<Finding>& findings) {
  check_routing_document(change, findings);
  set_positions(body, 0, findings);
  return change;
}

// The next document by an amendment; nothing if the amendment can't be applied.
std::optional<Json> amend_and_check(const Json& current, const Json& change, const std::string& body,
                                    std::vector<Finding>& findings) {
  auto amended = amend_document(current, change, findings);
  if (!amended) {
    set_positions(body, 0, findings);
    return std::nullopt;
  }
  check_routing_document(amended->document, findings);
  if (!findings.empty())
    trace_findings(body, *amended, findings);
  return std::move(amended->document);
}

// A revision of the wrong type or below 1 was found by the check of the document.
void check_revision_rises(const Json& next, std::int64_t current, const std::string& body,
                          std::vector<Finding>& findings) {
  const Json* member = FieldReader::find(next, "revision");
  if (member == nullptr || !member->is_number_integer())
    return;
  auto revision = member->get<std::int64_t>();
  if (revision <= 0 || revision > current)
    return;
  std::size_t first = findings.size();
  findings.push_back({"error", routing_document_name(), "/revision", 0, 0,
                      "must be above the current one, " + std::to_string(current)});
  set_positions(body, first, findings);
}

}  // namespace

RoutingTableChange change_routing_table(const std::string& stored, const std::string& action, std::int64_t base,
                                        const std::string& body) {
  StoredTable table = read_stored(stored);
  RoutingTableChange result;
  result.revision = table.revision;
  if (action != replace_action && action != amend_action) {
    result.findings.push_back({"error", routing_document_name(), "", 0, 0, "the act must be 'replace' or 'amend'"});
    return refuse_invalid(std::move(result));
  }
  auto change = parse_routing_document(body, result.findings);
  if (!change)
    return refuse_invalid(std::move(result));

  const RoutingTableChangeKey key = key_of(action, base, *change);
  const IdempotencyHistoryStatus status = find_change(table, key);
  const std::string current_revision = std::to_string(table.revision);
  if (status == IdempotencyHistoryStatus::applied) {
    result.is_repeat = true;
    return result;
  }
  if (status == IdempotencyHistoryStatus::uncertain)
    return refuse(
        std::move(result), code_unknown_outcome,
        "may have been taken before revision " + current_revision + ", too long ago to tell; read the table back");
  if (base != table.revision)
    return refuse(std::move(result), code_other_revision,
                  "the revision is " + current_revision + ", not " + std::to_string(base));

  std::optional<Json> next = action == replace_action ? replace_document(std::move(*change), body, result.findings)
                                                      : amend_and_check(table.document, *change, body, result.findings);
  if (!next)
    return refuse_invalid(std::move(result));
  check_revision_rises(*next, table.revision, body, result.findings);
  if (has_errors(result.findings))
    return refuse_invalid(std::move(result));

  result.revision = (*next)["revision"].get<std::int64_t>();
  table.history.add(key);
  result.stored = write_stored(std::move(*next), table.history);
  return result;
}

std::string routing_table_document(const std::string& stored) {
  StoredTable table = read_stored(stored);
  return table.revision == 0 ? "" : json_text(table.document);
}

}  // namespace emberdale
