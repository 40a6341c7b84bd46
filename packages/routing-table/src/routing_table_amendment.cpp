#include "routing_table_amendment.hpp"

#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "emberdale/json_source_map.hpp"
#include "field_reader.hpp"
#include "routing_table_reader.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

constexpr const char* named_lists[] = {"routes", "pools"};

// Applies what an amendment says of one list. Removals are read before upserts, so that findings come in this order.
class ListAmendment {
 public:
  ListAmendment(const char* list, AmendedDocument& amended, FieldReader& reader)
      : list_(list), amended_(amended), reader_(reader), items_(amended.document.value(list, Json::array())) {
    for (std::size_t i = 0; i < items_.size(); ++i)
      index_by_name_[items_[i].value("name", "")] = i;
  }

  void apply(const Json& upsert, const Json& remove) {
    if (const Json* names = reader_.part(remove, "/remove", list_, Json::value_t::array))
      remove_items(*names);
    if (const Json* items = reader_.part(upsert, "/upsert", list_, Json::value_t::array))
      upsert_items(*items);
    // An amendment of nothing still makes a whole document.
    bool is_unchanged = removed_.empty() && upserted_.empty();
    if (!is_unchanged || !amended_.document.contains(list_))
      write_list();
  }

 private:
  void remove_items(const Json& names) {
    for (std::size_t i = 0; i < names.size(); ++i) {
      std::string place = item_place(std::string("/remove/") + list_, i);
      if (names[i].is_string())
        remove_item(names[i].get<std::string>(), place);
      else
        reader_.error(place, "must be a name");
    }
  }

  void remove_item(const std::string& name, const std::string& place) {
    auto item = index_by_name_.find(name);
    if (item == index_by_name_.end() || !removed_.insert(item->second).second)
      reader_.error(place, "there is no '" + name + "' to remove");
    removed_names_.insert(name);
  }

  void upsert_items(const Json& items) {
    for (std::size_t i = 0; i < items.size(); ++i) {
      std::string place = upsert_place(i);
      if (items[i].is_object())
        upsert_item(items[i], i, place);
      else
        reader_.error(place, "must be an object");
    }
  }

  void upsert_item(const Json& item, std::size_t index_in_amendment, const std::string& place) {
    std::string name = reader_.text(item, place, "name");
    if (name.empty())
      return;
    if (!upserted_names_.insert(name).second)
      reader_.error(place + "/name", "'" + name + "' stands twice here");
    if (removed_names_.count(name) != 0)
      reader_.error(place + "/name", "'" + name + "' is also to be removed");
    auto [entry, is_new] = index_by_name_.insert({name, items_.size()});
    if (is_new)
      items_.push_back(item);
    else
      items_[entry->second] = item;
    upserted_[entry->second] = index_in_amendment;
  }

  void write_list() {
    Json kept = Json::array();
    for (std::size_t i = 0; i < items_.size(); ++i) {
      if (removed_.count(i) != 0)
        continue;
      auto upserted = upserted_.find(i);
      if (upserted != upserted_.end())
        amended_.origins[item_place(std::string("/") + list_, kept.size())] = upsert_place(upserted->second);
      kept.push_back(std::move(items_[i]));
    }
    amended_.document[list_] = std::move(kept);
  }

  std::string upsert_place(std::size_t index) const { return item_place(std::string("/upsert/") + list_, index); }

  const char* list_;
  AmendedDocument& amended_;
  FieldReader& reader_;
  Json items_;
  std::unordered_map<std::string, std::size_t> index_by_name_;
  std::set<std::size_t> removed_;                          // indexes in items_
  std::unordered_map<std::size_t, std::size_t> upserted_;  // index in items_: index in the amendment
  std::unordered_set<std::string> removed_names_, upserted_names_;
};

}  // namespace

std::optional<AmendedDocument> amend_document(const Json& current, const Json& amendment,
                                              std::vector<Finding>& findings) {
  const Json nothing = Json::object();
  FieldReader reader(findings);
  AmendedDocument amended{current, {}};
  amended.document["revision"] = read_revision(amendment, reader);
  const Json* upsert = reader.part(amendment, "", "upsert", Json::value_t::object);
  const Json* remove = reader.part(amendment, "", "remove", Json::value_t::object);
  for (const char* list : named_lists)
    ListAmendment(list, amended, reader).apply(upsert ? *upsert : nothing, remove ? *remove : nothing);
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

void trace_findings(const std::string& amendment_text, const AmendedDocument& amended, std::vector<Finding>& findings) {
  JsonSourceMap source_map(amendment_text);
  for (Finding& finding : findings) {
    // The smallest part around the finding that came from the amendment.
    std::string part = finding.place;
    while (!part.empty() && amended.origins.count(part) == 0)
      part.resize(part.rfind('/'));
    bool is_of_amendment = !part.empty() || finding.place == "/revision";
    if (!is_of_amendment)
      continue;
    if (!part.empty())
      finding.place = amended.origins.at(part) + finding.place.substr(part.size());
    set_position(finding, source_map.position_of(finding.place));
  }
}

}  // namespace emberdale
