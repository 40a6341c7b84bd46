// Changes of the configuration: one document put, patched or deleted on a state.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "emberdale/json_text.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

EditResult refuse(EditResult result, int code, const std::string& reason) {
  result.code = code;
  result.reason = reason;
  return result;
}

bool is_known_kind(const std::string& kind) {
  return kind == plans_kind || kind == orders_kind || kind == runners_kind;
}

// Deletes, changes or adds the resource of the edit, `found` being where it stands or the end of the resources.
void write_resource(EditResult& result, std::vector<Resource>::iterator found, const EditRequest& edit,
                    const std::string& body, std::int64_t revision) {
  if (edit.action == EditAction::remove) {
    result.deleted_version = std::max(result.deleted_version, found->version);
    result.resources.erase(found);
  } else if (found != result.resources.end()) {
    found->body = body;
    found->version += 1;
    found->config_revision = revision;
    result.version = found->version;
  } else {
    result.code = 201;
    // A name that comes back never has a version that it had before: who read the old one must lose.
    result.version = result.deleted_version + 1;
    result.resources.push_back({edit.kind, edit.name, result.version, revision, body});
  }
}

bool is_of_no_json(const Finding& finding) { return finding.message.rfind("not JSON", 0) == 0; }

// What is wrong with the document by itself, if it is no JSON; empty otherwise.
std::vector<Finding> findings_if_no_json(const EditRequest& edit, const std::string& body) {
  std::vector<Finding> findings;
  if (edit.kind == plans_kind)
    read_plan(edit.name, body, findings);
  if (edit.kind == orders_kind)
    read_order(edit.name, body, findings);
  if (edit.kind == runners_kind)
    read_runner(edit.name, body, findings);
  bool is_no_json = std::any_of(findings.begin(), findings.end(), is_of_no_json);
  return is_no_json ? findings : std::vector<Finding>();
}

std::vector<Finding> findings_of(const std::vector<Resource>& resources) {
  std::vector<Finding> findings;
  Configuration configuration = read_configuration(resources, findings);
  cross_check(configuration, findings);
  return findings;
}

bool is_same(const Finding& a, const Finding& b) {
  return a.document == b.document && a.place == b.place && a.message == b.message;
}

// Findings that stood before this change don't block it; what it brings does.
std::vector<Finding> new_findings(const std::vector<Resource>& before, const std::vector<Resource>& after) {
  std::vector<Finding> known = findings_of(before);
  std::vector<Finding> found = findings_of(after);
  auto is_known = [&](const Finding& finding) {
    return std::any_of(known.begin(), known.end(), [&](const Finding& other) { return is_same(other, finding); });
  };
  found.erase(std::remove_if(found.begin(), found.end(), is_known), found.end());
  return found;
}

// What a rule between documents finds in the one at hand gets its place in the text as well.
void add_places(std::vector<Finding>& findings, const EditRequest& edit, const std::string& body) {
  for (auto& finding : findings)
    if (finding.line == 0 && finding.document == edit.kind + "/" + edit.name)
      set_position(finding, position_in_document(body, finding.place));
}

}  // namespace

absl::StatusOr<std::string> merge_patch(const std::string& body, const std::string& patch) {
  if (is_too_deep(patch))
    return absl::InvalidArgumentError("the patch is nested more than 32 deep");
  try {
    Json document = Json::parse(body);
    document.merge_patch(Json::parse(patch));
    return json_text(document, 2);
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(std::string("not JSON: ") + error.what());
  }
}

EditResult apply_edit(const FleetState& state, const EditRequest& edit, std::int64_t revision) {
  EditResult result;
  result.resources = state.resources;
  result.deleted_version = state.deleted_version;
  auto found = std::find_if(result.resources.begin(), result.resources.end(),
                            [&](const Resource& r) { return r.kind == edit.kind && r.name == edit.name; });
  bool is_there = found != result.resources.end();
  const std::int64_t old_version = is_there ? found->version : 0;
  result.version = old_version;
  if (!is_known_kind(edit.kind))
    return refuse(std::move(result), 404, "there is no resource kind '" + edit.kind + "'");
  if (edit.expected_version >= 0 && edit.expected_version != old_version)
    return refuse(std::move(result), 412,
                  "the version is " + std::to_string(old_version) + ", not " + std::to_string(edit.expected_version));
  if (edit.action != EditAction::put && !is_there)
    return refuse(std::move(result), 404, edit.kind + "/" + edit.name + " does not exist");
  std::string body = edit.body;
  if (edit.action == EditAction::patch) {
    auto merged = merge_patch(found->body, edit.body);
    if (!merged.ok()) {
      std::string reason(merged.status().message());
      result.findings.push_back({"error", edit.kind + "/" + edit.name, "", 1, 1, reason});
      return refuse(std::move(result), 400, reason);
    }
    body = *merged;
  }
  write_resource(result, found, edit, body, revision);
  // First the document itself, so that a body that is no JSON is 400 and not 422.
  if (edit.action != EditAction::remove) {
    auto own = findings_if_no_json(edit, body);
    if (!own.empty()) {
      result.version = old_version;
      std::string reason = std::find_if(own.begin(), own.end(), is_of_no_json)->message;
      result.findings = std::move(own);
      return refuse(std::move(result), 400, reason);
    }
  }
  result.findings = new_findings(state.resources, result.resources);
  add_places(result.findings, edit, body);
  if (has_errors(result.findings)) {
    result.version = old_version;
    return refuse(std::move(result), 422, "the document or its fit with the others is wrong");
  }
  return result;
}

}  // namespace emberdale
