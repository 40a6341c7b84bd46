#include "routing_table_check.hpp"

#include <map>
#include <string>
#include <unordered_set>
#include <utility>

#include "field_reader.hpp"
#include "host_name.hpp"
#include "routing_table_reader.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

// Reads the pools first and then each route in view of what stands before it. Names are unique, as is each host with
// its path prefix; a route names pools of the document alone.
class RoutingTableChecker {
 public:
  RoutingTableChecker(const Json& document, std::vector<Finding>& findings) : document_(document), reader_(findings) {}

  std::optional<RoutingTable> check() {
    table_.revision = read_revision(document_, reader_);
    if (const Json* pools = reader_.required_part(document_, "", "pools", Json::value_t::array))
      check_pools(*pools);
    if (const Json* routes = reader_.required_part(document_, "", "routes", Json::value_t::array))
      check_routes(*routes);
    if (const Json* limits = reader_.part(document_, "", "limits", Json::value_t::object))
      table_.limits = read_limits(*limits, "/limits", reader_);
    if (!reader_.is_sound())
      return std::nullopt;
    return std::move(table_);
  }

 private:
  void check_pools(const Json& pools) {
    for (std::size_t i = 0; i < pools.size(); ++i) {
      std::string place = item_place("/pools", i);
      table_.pools.push_back(read_pool(pools[i], place, reader_));
      const std::string& name = table_.pools.back().name.text;
      if (!name.empty() && !pool_names_.insert(name).second)
        reader_.error(place + "/name", "another pool is named '" + name + "'");
    }
  }

  void check_routes(const Json& routes) {
    for (std::size_t i = 0; i < routes.size(); ++i) {
      std::string place = item_place("/routes", i);
      table_.routes.push_back(read_route(routes[i], place, reader_));
      const Route& route = table_.routes.back();
      if (!route.name.empty() && !route_names_.insert(route.name).second)
        reader_.error(place + "/name", "another route is named '" + route.name + "'");
      check_prefix_is_free(route, place);
      check_pool_references(routes[i], route, place);
    }
  }

  void check_prefix_is_free(const Route& route, const std::string& place) {
    if (route.host.empty() || route.path_prefix.empty())
      return;
    HostAndPrefix key{lower_case(host_without_port(route.host)), route.path_prefix};
    auto [owner, is_new] = route_by_prefix_.insert({key, route.name});
    if (!is_new)
      reader_.error(place + "/path_prefix", "route '" + owner->second + "' has the same host and prefix");
  }

  void check_pool_references(const Json& item, const Route& route, const std::string& place) {
    if (!item.is_object())
      return;
    check_pool_reference(item, route, place);
    const Json* shares = FieldReader::find(item, "pools");
    if (shares == nullptr || !shares->is_array())
      return;
    for (std::size_t i = 0; i < shares->size(); ++i)
      check_pool_reference((*shares)[i], route, item_place(place + "/pools", i));
  }

  // `holder` is the object whose member "pool" names a pool; read_route reports one that is missing or no text.
  void check_pool_reference(const Json& holder, const Route& route, const std::string& place) {
    const Json* name = holder.is_object() ? FieldReader::find(holder, "pool") : nullptr;
    if (name == nullptr || !name->is_string())
      return;
    const auto& pool = name->get_ref<const std::string&>();
    if (!pool.empty() && pool_names_.count(pool) == 0)
      reader_.error(place + "/pool", "route '" + route.name + "' names the pool '" + pool + "', which is not there");
  }

  using HostAndPrefix = std::pair<std::string, std::string>;

  const Json& document_;
  FieldReader reader_;
  RoutingTable table_;
  std::unordered_set<std::string> pool_names_, route_names_;
  std::map<HostAndPrefix, std::string> route_by_prefix_;  // the name of the first route with the host and prefix
};

}  // namespace

std::optional<RoutingTable> check_routing_document(const Json& document, std::vector<Finding>& findings) {
  return RoutingTableChecker(document, findings).check();
}

}  // namespace emberdale
