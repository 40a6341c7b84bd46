#include "routing_document.hpp"

#include <array>
#include <set>

#include "emberdale/json_source_map.hpp"
#include "emberdale/routing_table.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

// Looks through a text before it is parsed. (The parser's own callback takes quadratic time for long lists.)
class TextInspector : public nlohmann::json_sax<Json> {
 public:
  // Results: valid after Json::sax_parse.
  bool is_too_deep = false;
  bool has_repeated_keys = false;
  std::string syntax_error;  // empty if the text parses
  std::size_t error_byte = 0;

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }

  bool key(string_t& name) override {
    bool is_new = keys_[depth_].insert(name).second;
    has_repeated_keys = has_repeated_keys || !is_new;
    return true;
  }

  bool parse_error(std::size_t position, const std::string&, const Json::exception& error) override {
    syntax_error = error.what();
    error_byte = position == 0 ? 0 : position - 1;
    return false;
  }

 private:
  bool enter() {
    if (depth_ == max_document_depth) {
      is_too_deep = true;
      return false;
    }
    ++depth_;
    keys_[depth_].clear();
    return true;
  }

  bool leave() {
    --depth_;
    return true;
  }

  std::array<std::set<std::string>, max_document_depth + 1> keys_;  // of the open object at each depth
  std::size_t depth_ = 0;
};

void add_error(std::vector<Finding>& findings, const std::string& place, TextPosition position,
               const std::string& message) {
  findings.push_back({"error", routing_document_name(), place, position.line, position.column, message});
}

// The parser's message without its own place and error number.
std::string without_parser_prefix(const std::string& parser_message) {
  auto colon = parser_message.rfind(": ");
  return colon == std::string::npos ? parser_message : parser_message.substr(colon + 2);
}

void add_repeated_keys(const std::string& text, std::vector<Finding>& findings) {
  JsonSourceMap source_map(text);
  for (const auto& place : source_map.repeated_members())
    add_error(findings, place, source_map.position_of(place), "stands twice in one object");
  if (source_map.repeated_members().empty())
    add_error(findings, "", {1, 1}, "a key stands twice in one object");
}

}  // namespace

std::string routing_document_name() { return std::string(routing_table_kind) + "/" + routing_table_name; }

std::optional<Json> parse_routing_document(const std::string& text, std::vector<Finding>& findings) {
  auto refuse = [&](std::size_t byte, const std::string& message) {
    add_error(findings, "", position_of_byte(text, byte), message);
    return std::nullopt;
  };
  // The parser takes a zero byte for the end of the text.
  if (auto byte = text.find('\0'); byte != std::string::npos)
    return refuse(byte, "not JSON: a zero byte");
  TextInspector inspector;
  Json::sax_parse(text, &inspector);
  if (inspector.is_too_deep)
    return refuse(0, "not JSON of a document: nested more than 32 deep");
  if (!inspector.syntax_error.empty())
    return refuse(inspector.error_byte, "not JSON: " + without_parser_prefix(inspector.syntax_error));
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return refuse(0, "the document must be an object");
  if (inspector.has_repeated_keys) {
    add_repeated_keys(text, findings);
    return std::nullopt;
  }
  return json;
}

void set_positions(const std::string& text, std::size_t first, std::vector<Finding>& findings) {
  if (first == findings.size())
    return;
  JsonSourceMap source_map(text);
  for (std::size_t i = first; i < findings.size(); ++i)
    set_position(findings[i], source_map.position_of(findings[i].place));
}

}  // namespace emberdale
