// Amendments of a routing table document: items added, replaced and removed by name.
#pragma once
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// The document that an amendment makes, and where in the amendment its parts come from.
struct AmendedDocument {
  nlohmann::json document;
  std::map<std::string, std::string> origins;  // place in the document: place in the amendment, "/upsert/routes/0"
};

// Applies the amendment to the current document. Nothing, and errors without line and column, if the amendment itself
// is wrong; the rules of the document that comes out are not checked here.
std::optional<AmendedDocument> amend_document(const nlohmann::json& current, const nlohmann::json& amendment,
                                              std::vector<Finding>& findings);

// Findings of the amended document get their place, line and column in the amendment's text where they come from there.
// What comes from elsewhere keeps its place in the document, and has no line in the amendment.
void trace_findings(const std::string& amendment_text, const AmendedDocument& amended, std::vector<Finding>& findings);

}  // namespace emberdale
