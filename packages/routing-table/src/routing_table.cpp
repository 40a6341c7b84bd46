#include "emberdale/routing_table.hpp"
#include "emberdale/change_history.hpp"
#include "emberdale/json_text.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr std::size_t deepest = 32;
constexpr std::int64_t highest = 9007199254740991;  // whole numbers that every JSON reader keeps
constexpr std::int64_t highest_share = 1000000000;  // so that no sum of shares overflows
constexpr std::uint64_t share_seed = 0x5ca1ab1e;    // apart from other uses of the same key

std::string document_name() { return std::string(routing_table_kind) + "/" + routing_table_name; }

// Where each value begins in a text that parses and isn't too deep, and which keys stand twice.
class TextWalk {
 public:
  explicit TextWalk(const std::string& text) : text_(text) {
    lines_.push_back(0);
    for (std::size_t at = 0; at < text.size(); ++at)
      if (text[at] == '\n')
        lines_.push_back(at + 1);
    if (text.compare(0, 3, "\xef\xbb\xbf") == 0)
      at_ = 3;
    walk_value();
  }
  const std::vector<std::string>& repeated() const { return repeated_; }
  // A place that isn't in the text has the line of the nearest one around it.
  std::pair<int, int> line_and_column(std::string place) const {
    for (;; place.resize(place.rfind('/'))) {
      auto entry = places_.find(place);
      if (entry != places_.end())
        return line_and_column_at(entry->second);
      if (place.empty() || place.rfind('/') == std::string::npos)
        return {0, 0};
    }
  }
  std::pair<int, int> line_and_column_at(std::size_t at) const {
    auto after = std::upper_bound(lines_.begin(), lines_.end(), at);
    return {static_cast<int>(after - lines_.begin()), static_cast<int>(at - *(after - 1)) + 1};
  }

 private:
  char letter() const { return at_ < text_.size() ? text_[at_] : '\0'; }
  void skip_blanks() {
    while (at_ < text_.size() && std::string_view(" \t\r\n,:").find(text_[at_]) != std::string_view::npos)
      ++at_;
  }
  std::string walk_string() {
    std::size_t start = at_++;
    while (at_ < text_.size() && text_[at_] != '"')
      at_ += text_[at_] == '\\' ? 2 : 1;
    at_ = std::min(at_ + 1, text_.size());
    auto value = Json::parse(text_.begin() + static_cast<std::ptrdiff_t>(start),
                             text_.begin() + static_cast<std::ptrdiff_t>(at_), nullptr, false);
    return value.is_string() ? value.get<std::string>() : "";
  }
  void walk_member(const std::string& key) {
    std::size_t length = place_.size();
    place_ += '/';
    for (char each : key) {  // as a JSON pointer writes it
      if (each == '~')
        place_ += "~0";
      else if (each == '/')
        place_ += "~1";
      else
        place_ += each;
    }
    if (!places_.insert({place_, at_}).second)
      repeated_.push_back(place_);
    walk_value();
    place_.resize(length);
  }
  void walk_value() {
    skip_blanks();
    places_[place_] = at_;
    if (letter() == '{') {
      ++at_;
      for (skip_blanks(); letter() == '"'; skip_blanks()) {
        std::string key = walk_string();
        walk_member(key);
      }
      ++at_;
    } else if (letter() == '[') {
      ++at_;
      int index = 0;
      for (skip_blanks(); at_ < text_.size() && letter() != ']'; skip_blanks())
        walk_member(std::to_string(index++));
      ++at_;
    } else if (letter() == '"') {
      walk_string();
    } else {
      while (at_ < text_.size() && std::string_view(",]} \t\r\n").find(text_[at_]) == std::string_view::npos)
        ++at_;
    }
  }
  const std::string& text_;
  std::size_t at_ = 0;
  std::string place_;
  std::vector<std::size_t> lines_;
  std::unordered_map<std::string, std::size_t> places_;
  std::vector<std::string> repeated_;
};

// Gives the findings from `first` on their line and column in the text that they are about.
void locate_findings(const std::string& text, std::size_t first, std::vector<Finding>& findings) {
  if (first == findings.size())
    return;
  TextWalk walk(text);
  for (std::size_t i = first; i < findings.size(); ++i)
    std::tie(findings[i].line, findings[i].column) = walk.line_and_column(findings[i].place);
}

// Looks through a text before it is parsed. (The parser's own callback takes quadratic time for long lists.)
class TextCheck : public nlohmann::json_sax<Json> {
 public:
  bool is_deep = false, is_repeated = false;
  std::string fault;  // what is wrong with the text; empty if it parses
  std::size_t fault_at = 0;

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return enter(); }
  bool key(string_t& name) override {
    is_repeated = !keys_[depth_].insert(name).second || is_repeated;
    return true;
  }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return enter(); }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t position, const std::string&, const Json::exception& error) override {
    fault = error.what();
    fault_at = position == 0 ? 0 : position - 1;
    return false;
  }

 private:
  bool enter() {
    if (depth_ == deepest)
      is_deep = true;
    else
      keys_[++depth_].clear();
    return !is_deep;
  }
  bool leave() {
    --depth_;
    return true;
  }
  std::set<std::string> keys_[deepest + 1];
  std::size_t depth_ = 0;
};

// One object out of a text from outside; nothing (and findings) if it is no sound JSON object.
std::optional<Json> parse_object(const std::string& text, std::vector<Finding>& findings) {
  auto refuse = [&](std::size_t at, const std::string& message) {
    int line = 1, column = 1;
    for (std::size_t i = 0; i < at && i < text.size(); ++i) {
      column = text[i] == '\n' ? 1 : column + 1;
      if (text[i] == '\n')
        ++line;
    }
    findings.push_back({"error", document_name(), "", line, column, message});
    return std::nullopt;
  };
  // The parser takes a zero byte for the end of the text.
  if (auto at = text.find('\0'); at != std::string::npos)
    return refuse(at, "not JSON: a zero byte");
  TextCheck check;
  Json::sax_parse(text, &check);
  if (check.is_deep)
    return refuse(0, "not JSON of a document: nested more than 32 deep");
  if (!check.fault.empty()) {
    auto colon = check.fault.rfind(": ");
    return refuse(check.fault_at,
                  "not JSON: " + (colon == std::string::npos ? check.fault : check.fault.substr(colon + 2)));
  }
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return refuse(0, "the document must be an object");
  if (check.is_repeated) {
    TextWalk walk(text);
    for (const auto& place : walk.repeated()) {
      auto [line, column] = walk.line_and_column(place);
      findings.push_back({"error", document_name(), place, line, column, "stands twice in one object"});
    }
    if (walk.repeated().empty())
      refuse(0, "a key stands twice in one object");
    return std::nullopt;
  }
  return json;
}

// Reads fields of objects and collects what is wrong with each; `at` is the place of the object.
class FieldReader {
 public:
  explicit FieldReader(std::vector<Finding>& findings) : findings_(findings) {}
  bool is_sound() const { return errors_ == 0; }
  void error(const std::string& place, const std::string& message) {
    ++errors_;
    findings_.push_back({"error", document_name(), place, 0, 0, message});
  }
  static const Json* find(const Json& object, const char* key) {
    auto entry = object.find(key);
    return entry == object.end() ? nullptr : &*entry;
  }
  std::string text(const Json& object, const std::string& at, const char* key, bool is_required = true,
                   const std::string& otherwise = "") {
    const Json* value = find(object, key);
    if (value == nullptr) {
      if (is_required)
        error(at + "/" + key, "is required");
      return otherwise;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      error(at + "/" + key, "must be text that is not empty");
      return otherwise;
    }
    return value->get<std::string>();
  }
  bool answer(const Json& object, const std::string& at, const char* key, bool otherwise) {
    const Json* value = find(object, key);
    if (value == nullptr)
      return otherwise;
    if (!value->is_boolean()) {
      error(at + "/" + key, "must be true or false");
      return otherwise;
    }
    return value->get<bool>();
  }
  std::int64_t number(const Json& object, const std::string& at, const char* key, std::int64_t otherwise,
                      std::int64_t low, std::int64_t high = highest) {
    const Json* value = find(object, key);
    if (value == nullptr)
      return otherwise;
    bool is_signed =
        value->is_number_integer() &&
        (!value->is_number_unsigned() ||
         value->get<std::uint64_t>() <= static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (!is_signed || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
      error(at + "/" + key, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
      return otherwise;
    }
    return value->get<std::int64_t>();
  }
  std::int64_t required_number(const Json& object, const std::string& at, const char* key, std::int64_t otherwise,
                               std::int64_t low, std::int64_t high = highest) {
    if (find(object, key) == nullptr)
      error(at + "/" + key, "is required");
    return number(object, at, key, otherwise, low, high);
  }
  double seconds(const Json& object, const std::string& at, const char* key, double otherwise) {
    const Json* value = find(object, key);
    if (value == nullptr)
      return otherwise;
    if (!value->is_number() || !std::isfinite(value->get<double>()) || value->get<double>() < 0) {
      error(at + "/" + key, "must be a number of seconds from 0 up");
      return otherwise;
    }
    return value->get<double>();
  }
  // An optional part of a kind of its own; null if it is missing or (a finding then) of another kind.
  const Json* part(const Json& object, const std::string& at, const char* key, Json::value_t kind) {
    const Json* value = find(object, key);
    if (value == nullptr || value->type() == kind)
      return value;
    error(at + "/" + key, kind == Json::value_t::array ? "must be a list" : "must be an object");
    return nullptr;
  }
  const Json* required_part(const Json& object, const std::string& at, const char* key, Json::value_t kind) {
    if (find(object, key) == nullptr)
      error(at + "/" + key, "is required");
    return part(object, at, key, kind);
  }

 private:
  std::vector<Finding>& findings_;
  int errors_ = 0;
};

std::string item_place(const std::string& list, std::size_t index) { return list + "/" + std::to_string(index); }

Route read_route(const Json& item, const std::string& at, FieldReader& reader) {
  Route route;
  if (!item.is_object()) {
    reader.error(at, "must be an object");
    return route;
  }
  route.name = reader.text(item, at, "name");
  route.host = reader.text(item, at, "host");
  route.path_prefix = reader.text(item, at, "path_prefix");
  if (!route.path_prefix.empty() && (route.path_prefix.front() != '/' || route.path_prefix.back() != '/'))
    reader.error(at + "/path_prefix", "must begin and end with '/'");
  std::string kind = reader.text(item, at, "kind");
  if (!kind.empty() && kind != "streaming" && kind != "retry_safe" && kind != "once_only")
    reader.error(at + "/kind", "must be 'streaming', 'retry_safe' or 'once_only'");
  route.is_streaming = kind == "streaming";
  route.is_resumable = reader.answer(item, at, "resumable", route.is_resumable);
  route.is_sticky = reader.answer(item, at, "sticky", route.is_sticky);
  route.is_repeatable = kind == "retry_safe" || (route.is_streaming && route.is_resumable);
  route.deadline_ms = reader.required_number(item, at, "horizon_ms", route.deadline_ms, 1);
  route.target_ms = reader.number(item, at, "target_ms", route.target_ms, 0);
  route.gap_ms = reader.number(item, at, "gap_ms", route.gap_ms, 0);
  route.rank = reader.number(item, at, "rank", route.rank, 0);
  route.max_sends = reader.number(item, at, "max_sends", route.max_sends, 1);
  bool has_one = item.contains("pool"), has_list = item.contains("pools");
  if (has_one && has_list)
    reader.error(at + "/pools", "stands beside 'pool': name one of them");
  if (!has_one && !has_list)
    reader.error(at + "/pool", "is required, or 'pools'");
  if (has_one)
    route.pools.push_back({PoolName{reader.text(item, at, "pool")}, 1});
  if (const Json* shares = reader.part(item, at, "pools", Json::value_t::array)) {
    std::int64_t sum = 0;
    bool is_summable = true;
    for (std::size_t i = 0; i < shares->size(); ++i) {
      const Json& share = (*shares)[i];
      std::string place = item_place(at + "/pools", i);
      if (!share.is_object()) {
        reader.error(place, "must be an object with 'pool' and 'share'");
        is_summable = false;
        continue;
      }
      PoolShare read{PoolName{reader.text(share, place, "pool")}, 1};
      read.share = reader.number(share, place, "share", 1, 0, highest_share);
      sum += read.share;
      route.pools.push_back(read);
    }
    if (sum == 0 && is_summable)
      reader.error(at + "/pools", "the shares must sum above 0");
  }
  if (const Json* homes = reader.part(item, at, "home_regions", Json::value_t::array)) {
    for (std::size_t i = 0; i < homes->size(); ++i) {
      const Json& home = (*homes)[i];
      if (!home.is_string() || home.get_ref<const std::string&>().empty())
        reader.error(item_place(at + "/home_regions", i), "must be text that is not empty");
      else
        route.homes.push_back(RegionName{home.get<std::string>()});
    }
  }
  return route;
}

RoutePool read_pool(const Json& item, const std::string& at, FieldReader& reader) {
  RoutePool pool;
  if (!item.is_object()) {
    reader.error(at, "must be an object");
    return pool;
  }
  pool.name.text = reader.text(item, at, "name");
  pool.health_path = reader.text(item, at, "health_path", false, pool.health_path);
  if (pool.health_path[0] != '/')
    reader.error(at + "/health_path", "must begin with '/'");
  pool.max_connections = reader.number(item, at, "max_links", pool.max_connections, 0);
  pool.warmup_s = reader.seconds(item, at, "warmup_s", pool.warmup_s);
  pool.warmup_requests_per_s = reader.seconds(item, at, "cold_per_s", pool.warmup_requests_per_s);
  if (const Json* runtime = reader.part(item, at, "runtime", Json::value_t::object)) {
    pool.slots = reader.number(*runtime, at + "/runtime", "slots", pool.slots, 0);
    pool.memory_tokens = reader.number(*runtime, at + "/runtime", "memory_tokens", pool.memory_tokens, 0);
  }
  return pool;
}

RequestLimits read_limits(const Json& item, const std::string& at, FieldReader& reader) {
  RequestLimits limits;
  limits.max_header_bytes = reader.number(item, at, "max_header_bytes", limits.max_header_bytes, 1);
  limits.max_body_bytes = reader.number(item, at, "max_body_bytes", limits.max_body_bytes, 0);
  limits.header_timeout_ms = reader.number(item, at, "header_timeout_ms", limits.header_timeout_ms, 1);
  limits.idle_timeout_ms = reader.number(item, at, "idle_timeout_ms", limits.idle_timeout_ms, 1);
  return limits;
}

std::int64_t read_revision(const Json& document, FieldReader& reader) {
  return reader.required_number(document, "", "revision", 0, 1, std::numeric_limits<std::int64_t>::max());
}

char to_lower(char letter) { return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter; }

// "a.example:80" and "[::1]:80" without the port; what has many colons and no brackets stays whole.
std::string_view bare_host(std::string_view host) {
  auto colon = host.rfind(':');
  if (colon == std::string_view::npos)
    return host;
  bool is_bracketed = !host.empty() && host.front() == '[';
  if (is_bracketed ? host[colon - 1] != ']' : host.find(':') != colon)
    return host;
  return host.substr(0, colon);
}

// The rules of a whole document. Places are those of the document; lines and columns are given later.
std::optional<RoutingTable> check_document(const Json& document, std::vector<Finding>& findings) {
  FieldReader reader(findings);
  RoutingTable table;
  table.revision = read_revision(document, reader);
  std::unordered_set<std::string> pool_names, route_names;
  std::map<std::pair<std::string, std::string>, std::string> claims;  // host and prefix: the route
  if (const Json* pools = reader.required_part(document, "", "pools", Json::value_t::array)) {
    for (std::size_t i = 0; i < pools->size(); ++i) {
      std::string place = item_place("/pools", i);
      table.pools.push_back(read_pool((*pools)[i], place, reader));
      const std::string& name = table.pools.back().name.text;
      if (!name.empty() && !pool_names.insert(name).second)
        reader.error(place + "/name", "another pool is named '" + name + "'");
    }
  }
  if (const Json* routes = reader.required_part(document, "", "routes", Json::value_t::array)) {
    for (std::size_t i = 0; i < routes->size(); ++i) {
      const Json& item = (*routes)[i];
      std::string place = item_place("/routes", i);
      table.routes.push_back(read_route(item, place, reader));
      const Route& route = table.routes.back();
      if (!route.name.empty() && !route_names.insert(route.name).second)
        reader.error(place + "/name", "another route is named '" + route.name + "'");
      if (!route.host.empty() && !route.path_prefix.empty()) {
        std::string host(bare_host(route.host));
        std::transform(host.begin(), host.end(), host.begin(), to_lower);
        auto [claim, is_new] = claims.insert({{host, route.path_prefix}, route.name});
        if (!is_new)
          reader.error(place + "/path_prefix", "route '" + claim->second + "' has the same host and prefix");
      }
      auto check_pool = [&](const Json& holder, const std::string& at) {
        const Json* name = holder.is_object() ? FieldReader::find(holder, "pool") : nullptr;
        if (name == nullptr || !name->is_string() || name->get_ref<const std::string&>().empty())
          return;
        if (pool_names.count(name->get_ref<const std::string&>()) == 0)
          reader.error(at + "/pool", "route '" + route.name + "' names the pool '" + name->get<std::string>() +
                                         "', which is not there");
      };
      check_pool(item, place);
      const Json* shares = item.is_object() ? FieldReader::find(item, "pools") : nullptr;
      if (shares != nullptr && shares->is_array())
        for (std::size_t j = 0; j < shares->size(); ++j)
          check_pool((*shares)[j], item_place(place + "/pools", j));
    }
  }
  if (const Json* limits = reader.part(document, "", "limits", Json::value_t::object))
    table.limits = read_limits(*limits, "/limits", reader);
  if (!reader.is_sound())
    return std::nullopt;
  return table;
}

// The next document by an amendment, and where in the amendment its parts came from.
struct Amended {
  Json document;
  std::map<std::string, std::string> origins;  // e.g. "/routes/4": "/upsert/routes/0"
};

void amend_list(const char* list, const Json& upsert, const Json& remove, Amended& amended, FieldReader& reader) {
  Json items = amended.document.value(list, Json::array());
  std::unordered_map<std::string, std::size_t> index;
  for (std::size_t i = 0; i < items.size(); ++i)
    index[items[i].value("name", "")] = i;
  std::set<std::size_t> removed;
  std::unordered_set<std::string> removed_names, upserted_names;
  if (const Json* names = reader.part(remove, "/remove", list, Json::value_t::array)) {
    for (std::size_t i = 0; i < names->size(); ++i) {
      std::string place = item_place(std::string("/remove/") + list, i);
      if (!(*names)[i].is_string()) {
        reader.error(place, "must be a name");
        continue;
      }
      auto name = (*names)[i].get<std::string>();
      auto found = index.find(name);
      if (found == index.end() || !removed.insert(found->second).second)
        reader.error(place, "there is no '" + name + "' to remove");
      removed_names.insert(name);
    }
  }
  std::unordered_map<std::size_t, std::size_t> upserted;  // index of the item: index in the amendment
  if (const Json* news = reader.part(upsert, "/upsert", list, Json::value_t::array)) {
    for (std::size_t i = 0; i < news->size(); ++i) {
      std::string place = item_place(std::string("/upsert/") + list, i);
      const Json& item = (*news)[i];
      if (!item.is_object()) {
        reader.error(place, "must be an object");
        continue;
      }
      std::string name = reader.text(item, place, "name");
      if (name.empty())
        continue;
      if (!upserted_names.insert(name).second)
        reader.error(place + "/name", "'" + name + "' stands twice here");
      if (removed_names.count(name) != 0)
        reader.error(place + "/name", "'" + name + "' is also to be removed");
      auto found = index.insert({name, items.size()});
      if (found.second)
        items.push_back(item);
      else
        items[found.first->second] = item;
      upserted[found.first->second] = i;
    }
  }
  // An amendment of nothing still makes a whole document.
  if (removed.empty() && upserted.empty() && amended.document.contains(list))
    return;
  Json kept = Json::array();
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (removed.count(i) != 0)
      continue;
    auto origin = upserted.find(i);
    if (origin != upserted.end())
      amended.origins[item_place(std::string("/") + list, kept.size())] =
          item_place(std::string("/upsert/") + list, origin->second);
    kept.push_back(std::move(items[i]));
  }
  amended.document[list] = std::move(kept);
}

std::optional<Amended> amend_document(const Json& current, const Json& change, std::vector<Finding>& findings) {
  FieldReader reader(findings);
  Amended amended{current, {}};
  amended.document["revision"] = read_revision(change, reader);
  const Json none = Json::object();
  const Json* upsert = reader.part(change, "", "upsert", Json::value_t::object);
  const Json* remove = reader.part(change, "", "remove", Json::value_t::object);
  for (const char* list : {"routes", "pools"})
    amend_list(list, upsert ? *upsert : none, remove ? *remove : none, amended, reader);
  if (upsert != nullptr) {
    if (const Json* limits = reader.part(*upsert, "/upsert", "limits", Json::value_t::object)) {
      amended.document["limits"] = *limits;
      amended.origins["/limits"] = "/upsert/limits";
    }
  }
  if (!reader.is_sound())
    return std::nullopt;
  return amended;
}

// A finding in the amended document, told at its place in the amendment where it came from there.
// What came from elsewhere keeps its place in the document, and has no line in the amendment.
void trace_findings(const std::string& body, const Amended& amended, std::vector<Finding>& findings) {
  TextWalk walk(body);
  for (Finding& finding : findings) {
    std::string part = finding.place;
    while (!part.empty() && amended.origins.count(part) == 0)
      part.resize(part.rfind('/'));
    if (part.empty() && finding.place != "/revision")
      continue;
    if (!part.empty())
      finding.place = amended.origins.at(part) + finding.place.substr(part.size());
    std::tie(finding.line, finding.column) = walk.line_and_column(finding.place);
  }
}

RoutingTableChangeId identity_of(const std::string& act, std::int64_t base, const Json& change) {
  const Json* revision = FieldReader::find(change, "revision");
  bool is_whole = revision != nullptr && revision->is_number_integer();
  return {act, base, is_whole ? revision->get<std::int64_t>() : 0, json_text(change)};
}

// What the resource's text holds; a text that can't be read counts as none.
struct StoredTable {
  Json document = Json::object();
  ChangeHistory history;
  std::int64_t revision = 0;
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
  table.history = ChangeHistory::read(json, table.revision);
  table.document = std::move(json["document"]);
  return table;
}

ChangeHistoryStatus recall_change(const StoredTable& table, const RoutingTableChangeId& change) {
  ChangeHistoryStatus memory = table.history.recall(change);
  bool is_whole_text = change.act == "replace" && table.history.newest_is_legacy_mark_of(change);
  if (memory == ChangeHistoryStatus::uncertain && is_whole_text)
    return json_text(table.document) == change.text ? ChangeHistoryStatus::taken : ChangeHistoryStatus::not_taken;
  return memory;
}

template <class Value, class Read>
std::optional<Value> read_row(const std::string& body, Read read) {
  std::vector<Finding> findings;
  auto json = parse_object(body, findings);
  if (!json)
    return std::nullopt;
  FieldReader reader(findings);
  Value value = read(*json, "", reader);
  if (!reader.is_sound())
    return std::nullopt;
  return value;
}

}  // namespace

std::optional<RoutingTable> read_routing_table(const std::string& body, std::vector<Finding>& findings) {
  auto document = parse_object(body, findings);
  if (!document)
    return std::nullopt;
  std::size_t first = findings.size();
  auto table = check_document(*document, findings);
  locate_findings(body, first, findings);
  return table;
}

std::optional<Route> read_route_document(const std::string& body) { return read_row<Route>(body, read_route); }

std::optional<RoutePool> read_route_pool(const std::string& body) { return read_row<RoutePool>(body, read_pool); }

RequestLimits read_request_limits(const std::string& body) {
  std::vector<Finding> findings;
  auto json = parse_object(body, findings);
  FieldReader reader(findings);
  return json ? read_limits(*json, "", reader) : RequestLimits{};
}

std::vector<std::pair<std::string, std::string>> split_routing_table(const std::string& body) {
  std::vector<std::pair<std::string, std::string>> rows;
  std::vector<Finding> findings;
  auto document = parse_object(body, findings);
  if (!document)
    return rows;
  rows.push_back({"limits", json_text(document->value("limits", Json::object()))});
  rows.push_back({"revision", json_text(document->value("revision", Json(0)))});
  for (auto [list, prefix] : {std::pair("pools", "pool/"), std::pair("routes", "route/")}) {
    const Json* items = FieldReader::find(*document, list);
    if (items == nullptr || !items->is_array())
      continue;
    for (const Json& item : *items) {
      const Json* name = item.is_object() ? FieldReader::find(item, "name") : nullptr;
      if (name != nullptr && name->is_string())
        rows.push_back({prefix + name->get<std::string>(), json_text(item)});
    }
  }
  std::sort(rows.begin(), rows.end());
  return rows;
}

RoutingTableChange change_routing_table(const std::string& stored, const std::string& act, std::int64_t base,
                                        const std::string& body) {
  RoutingTableChange result;
  StoredTable table = read_stored(stored);
  result.revision = table.revision;
  auto refuse = [&](int code, const std::string& reason) {
    result.code = code;
    result.reason = reason;
    return result;
  };
  auto refuse_findings = [&] {
    const Finding& first = result.findings.front();
    std::string more =
        result.findings.size() > 1 ? " (and " + std::to_string(result.findings.size() - 1) + " more)" : "";
    return refuse(400, (first.place.empty() ? "" : first.place + " ") + first.message + more);
  };
  if (act != "replace" && act != "amend") {
    result.findings.push_back({"error", document_name(), "", 0, 0, "the act must be 'replace' or 'amend'"});
    return refuse_findings();
  }
  auto change = parse_object(body, result.findings);
  if (!change)
    return refuse_findings();
  RoutingTableChangeId identity = identity_of(act, base, *change);
  ChangeHistoryStatus memory = recall_change(table, identity);
  if (memory == ChangeHistoryStatus::taken) {
    result.is_repeat = true;
    return result;
  }
  if (memory == ChangeHistoryStatus::uncertain)
    return refuse(504, "may have been taken before revision " + std::to_string(table.revision) +
                           ", too long ago to tell; read the table back");
  if (base != table.revision)
    return refuse(412, "the revision is " + std::to_string(table.revision) + ", not " + std::to_string(base));
  Json next;
  if (act == "replace") {
    check_document(*change, result.findings);
    locate_findings(body, 0, result.findings);
    next = std::move(*change);
  } else {
    auto amended = amend_document(table.document, *change, result.findings);
    if (!amended) {
      locate_findings(body, 0, result.findings);
      return refuse_findings();
    }
    check_document(amended->document, result.findings);
    if (!result.findings.empty())
      trace_findings(body, *amended, result.findings);
    next = std::move(amended->document);
  }
  if (const Json* revision = FieldReader::find(next, "revision");
      revision != nullptr && revision->is_number_integer() && revision->get<std::int64_t>() > 0 &&
      revision->get<std::int64_t>() <= table.revision) {
    std::size_t first = result.findings.size();
    result.findings.push_back({"error", document_name(), "/revision", 0, 0,
                               "must be above the current one, " + std::to_string(table.revision)});
    locate_findings(body, first, result.findings);
  }
  if (has_errors(result.findings))
    return refuse_findings();
  result.revision = next["revision"].get<std::int64_t>();
  table.history.add(identity);
  Json text = Json::object();
  text["document"] = std::move(next);
  table.history.write(text);
  result.stored = json_text(text);
  return result;
}

std::string routing_table_document(const std::string& stored) {
  StoredTable table = read_stored(stored);
  return table.revision == 0 ? "" : json_text(table.document);
}

const Route* find_route(const std::vector<Route>& routes, const std::string& host, const std::string& path) {
  std::string_view asked = bare_host(host);
  const Route* longest = nullptr;
  for (const Route& route : routes) {
    const std::string& prefix = route.path_prefix;
    if (prefix.size() > path.size() || (longest != nullptr && prefix.size() <= longest->path_prefix.size()))
      continue;
    std::string_view own = bare_host(route.host);
    if (own.size() != asked.size() || path.compare(0, prefix.size(), prefix) != 0)
      continue;
    if (std::equal(own.begin(), own.end(), asked.begin(), [](char a, char b) { return to_lower(a) == to_lower(b); }))
      longest = &route;
  }
  return longest;
}

const PoolName& choose_pool(const Route& route, const std::string& key) {
  static const PoolName none;
  std::uint64_t sum = 0;
  for (const PoolShare& share : route.pools)
    sum += static_cast<std::uint64_t>(share.share);
  if (sum == 0)
    return route.pools.empty() ? none : route.pools.front().pool;
  std::uint64_t at = stable_hash(key, share_seed) % sum;
  for (const PoolShare& share : route.pools) {
    if (at < static_cast<std::uint64_t>(share.share))
      return share.pool;
    at -= static_cast<std::uint64_t>(share.share);
  }
  return route.pools.back().pool;
}

}  // namespace emberdale
