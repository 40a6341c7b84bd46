// Parsing of routing table documents and amendments: one JSON object out of a text from outside, and the positions of
// findings in it. Without I/O, clock or threads.
#pragma once
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// The name of the document in findings: "routing-table/current".
std::string routing_document_name();

// The JSON object that the text holds. Nothing, and a finding, if the text is no JSON, holds a zero byte, is nested
// deeper than max_document_depth or is no object; nothing, and a finding for each, if keys are repeated in an object.
std::optional<nlohmann::json> parse_routing_document(const std::string& text, std::vector<Finding>& findings);

// Gives the findings from index `first` on their lines and columns in the text that they are about.
void set_positions(const std::string& text, std::size_t first, std::vector<Finding>& findings);

}  // namespace emberdale
