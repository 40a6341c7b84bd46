#include "document_reader.hpp"

#include <algorithm>
#include <cctype>

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::size_t longest_name = 64;

bool is_good_name(const std::string& name) {
  if (name.empty() || name.size() > longest_name)
    return false;
  return std::all_of(name.begin(), name.end(), [](char letter) {
    return std::isalnum(static_cast<unsigned char>(letter)) || letter == '-' || letter == '_' || letter == '.';
  });
}

// The parser's message without the part that tells its own place and error number.
std::string parser_reason(const Json::exception& fault) {
  std::string what = fault.what();
  auto colon = what.rfind(": ");
  return colon == std::string::npos ? what : what.substr(colon + 2);
}

}  // namespace

std::string document_name(const char* kind, const std::string& name) { return std::string(kind) + "/" + name; }

DocumentReader::DocumentReader(std::string document, const std::string& body, std::vector<Finding>& findings)
    : document_(std::move(document)), body_(body), findings_(findings), json_(Json::object()) {
  if (is_too_deep(body))
    refuse_document({1, 1}, "not JSON of a document: nested more than 32 deep");
  else
    parse();
}

void DocumentReader::parse() {
  try {
    json_ = Json::parse(body_);
  } catch (const Json::exception& fault) {  // a number out of range has no place
    const auto* parsing = dynamic_cast<const Json::parse_error*>(&fault);
    std::size_t byte = parsing == nullptr || parsing->byte == 0 ? 0 : parsing->byte - 1;
    refuse_document(position_of_byte(body_, byte), "not JSON: " + parser_reason(fault));
    return;
  }
  source_map_.emplace(body_, PointerSyntax::verbatim);
  if (json_.is_object())
    return;
  refuse_document(source_map_->position_of(""), "the document must be an object");
}

void DocumentReader::refuse_document(TextPosition position, const std::string& message) {
  findings_.push_back({"error", document_, "", position.line, position.column, message});
  ++errors_;
  json_ = Json::object();
  is_readable_ = false;
}

void DocumentReader::error(const std::string& place, const std::string& message) {
  ++errors_;
  TextPosition position = source_map_ ? source_map_->position_of(place) : TextPosition{};
  findings_.push_back({"error", document_, place, position.line, position.column, message});
}

const DocumentReader::Json* DocumentReader::find(const std::string& place) {
  known_.insert(place);
  const Json* at = &json_;
  std::size_t start = 1;
  while (start <= place.size()) {
    std::size_t end = std::min(place.find('/', start), place.size());
    std::string key = place.substr(start, end - start);
    if (!at->is_object() || !at->contains(key))
      return nullptr;
    at = &(*at)[key];
    known_.insert(place.substr(0, end));
    start = end + 1;
  }
  return at;
}

std::string DocumentReader::text(const std::string& place, bool is_required, const std::string& otherwise) {
  const Json* value = find(place);
  if (value == nullptr) {
    if (is_required)
      error(place, "is required");
    return otherwise;
  }
  if (!value->is_string()) {
    error(place, "must be text");
    return otherwise;
  }
  if (is_required && value->get<std::string>().empty())
    error(place, "must not be empty");
  return value->get<std::string>();
}

bool DocumentReader::boolean(const std::string& place, bool otherwise) {
  const Json* value = find(place);
  if (value == nullptr)
    return otherwise;
  if (!value->is_boolean()) {
    error(place, "must be true or false");
    return otherwise;
  }
  return value->get<bool>();
}

std::int64_t DocumentReader::number(const std::string& place, std::int64_t otherwise, std::int64_t low,
                                    std::int64_t high) {
  const Json* value = find(place);
  if (value == nullptr)
    return otherwise;
  if (!value->is_number_integer()) {
    error(place, "must be a whole number");
    return otherwise;
  }
  auto number = value->get<std::int64_t>();
  if (number < low || number > high)
    error(place, "must be from " + std::to_string(low) + " to " + std::to_string(high));
  return number;
}

void DocumentReader::check_name(const std::string& name) {
  if (!is_good_name(name))
    error("", "the name may have 1 to 64 letters, digits, '-', '_' or '.'");
}

void DocumentReader::refuse_unknown_in(const Json& object, const std::string& at,
                                       const std::set<std::string>& open_maps) {
  for (const auto& [key, value] : object.items()) {
    std::string place = at + "/" + key;
    if (known_.count(place) == 0)
      error(place, "is not a known field");
    else if (value.is_object() && open_maps.count(place) == 0)
      refuse_unknown_in(value, place, open_maps);
  }
}

}  // namespace emberdale
