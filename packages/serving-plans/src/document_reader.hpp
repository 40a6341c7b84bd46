// Reading the fields of one document, and collecting what is wrong with each.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emberdale/json_source_map.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// Example: document_name(plans_kind, "check") == "serving-plans/check"
std::string document_name(const char* kind, const std::string& name);

// Reads fields of one document by their JSON pointers and collects what is wrong with each.
// Example: DocumentReader reader(document_name(plans_kind, name), body, findings); reader.text("/pool", true);
class DocumentReader {
 public:
  using Json = nlohmann::json;

  // The body and the findings must outlive the reader.
  DocumentReader(std::string document, const std::string& body, std::vector<Finding>& findings);
  // Whether the document is a JSON object at all.
  bool is_readable() const { return is_readable_; }
  // Whether no error has been found so far.
  bool is_sound() const { return errors_ == 0; }
  void error(const std::string& place, const std::string& message);

  // The value at the place, or nothing. It counts as known from now on.
  const Json* find(const std::string& place);
  std::string text(const std::string& place, bool is_required, const std::string& otherwise = "");
  bool boolean(const std::string& place, bool otherwise);
  std::int64_t number(const std::string& place, std::int64_t otherwise, std::int64_t low, std::int64_t high);
  // What nobody asked for is a mistake of the writer: refused, not ignored. Open maps may have any keys.
  void refuse_unknown(const std::set<std::string>& open_maps = {}) { refuse_unknown_in(json_, "", open_maps); }
  // The name under which the document is stored is checked along with it.
  void check_name(const std::string& name);

 private:
  void parse();
  void refuse_document(TextPosition position, const std::string& message);
  void refuse_unknown_in(const Json& object, const std::string& at, const std::set<std::string>& open_maps);

  std::string document_;
  const std::string& body_;
  std::vector<Finding>& findings_;
  Json json_;
  std::optional<JsonSourceMap> source_map_;  // none until the document has been parsed
  std::set<std::string> known_;
  int errors_ = 0;
  bool is_readable_ = true;
};

}  // namespace emberdale
