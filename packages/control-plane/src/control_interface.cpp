#include "control_interface.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>

#include "emberdale/descriptor_budget.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"
#include "http_reply.hpp"
#include "resource_watch.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::methods;
using web::http::status_codes;

constexpr std::chrono::milliseconds last_request_timeout{500};  // at the end of the process
constexpr std::size_t max_head = 64 << 10, max_body = 1 << 20;
constexpr std::chrono::seconds request_time{10};  // for a whole request to come
constexpr std::size_t max_version_digits = 18;    // so that a version fits into 64 bits
constexpr std::int64_t any_version = -1;
constexpr std::int64_t must_not_exist = 0;
constexpr int default_disk_delay_ms = 250;

ListenerLimits interface_limits() {
  ListenerLimits limits;
  limits.reader = "operators";
  limits.request = {max_head, max_body, request_time};
  limits.max_connections = DescriptorBudget(descriptor_limit()).connections(DescriptorUse::operators);
  return limits;
}

std::vector<std::string> path_parts(const http_request& request) {
  return web::uri::split_path(web::uri::decode(request.relative_uri().path()));
}

bool is_resource_kind(const std::string& kind) {
  return kind == plans_kind || kind == orders_kind || kind == runners_kind;
}

// /v1/KIND or /v1/KIND/NAME
std::optional<ResourceSelector> resource_selector(const std::vector<std::string>& path) {
  bool is_resource = path.size() >= 2 && path.size() <= 3 && path[0] == "v1" && is_resource_kind(path[1]);
  if (!is_resource)
    return std::nullopt;
  return ResourceSelector{path[1], path.size() == 3 ? path[2] : ""};
}

bool wants_watch(const http_request& request) {
  auto query = web::uri::split_query(request.relative_uri().query());
  return query.count("watch") != 0 && query["watch"] == "true";
}

// Unspecified for a method that changes nothing.
EditAction action_of(const web::http::method& method) {
  if (method == methods::PUT)
    return EditAction::put;
  if (method == methods::PATCH)
    return EditAction::patch;
  return method == methods::DEL ? EditAction::remove : EditAction::unspecified;
}

bool is_number(const std::string& text) {
  return !text.empty() && text.size() <= max_version_digits &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// The precondition of a change, from If-Match and If-None-Match; nothing: If-Match is no version.
std::optional<std::int64_t> expected_version(const web::http::http_headers& headers) {
  std::int64_t version = any_version;
  auto if_match = headers.find("If-Match");
  if (if_match != headers.end() && if_match->second != "*") {
    std::string tag = if_match->second;
    tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
    if (!is_number(tag))
      return std::nullopt;
    version = std::stoll(tag);
  }
  auto if_none_match = headers.find("If-None-Match");
  if (if_none_match != headers.end() && if_none_match->second == "*")
    version = must_not_exist;
  return version;
}

bool is_string(const Json& document, const char* member) { return document.value(member, Json()).is_string(); }

void reply_outcome(const http_request& request, const ReplicaSetOutcome& outcome) {
  reply(request, {http_status(outcome.status), json_text(Json{{"reason", outcome.reason}})});
}

}  // namespace

ControlInterface::ControlInterface(boost::asio::io_context& context, ControlDaemon& daemon,
                                   PeerConnections& connections, const std::string& http, bool may_fault_connections,
                                   std::function<void()> flush)
    : context_(context),
      daemon_(daemon),
      connections_(connections),
      listener_(http, interface_limits(), [this](http_request request) { receive(std::move(request)); }),
      may_fault_connections_(may_fault_connections),
      flush_(std::move(flush)) {}

Outcome<bool> ControlInterface::open() {
  auto listening = listener_.open();
  if (!listening.ok())
    return failure("can't listen for HTTP: " + std::string(listening.message()));
  return true;
}

void ControlInterface::close() {
  is_closed_ = true;
  listener_.close();
  if (!pending_.wait_until_done(last_request_timeout))
    LOG(ERROR) << "requests_pending";
}

void ControlInterface::receive(http_request request) {
  if (request.headers().content_length() > max_body) {
    reply_refusal(request, status_codes::RequestEntityTooLarge, "the body is larger than 1 MiB");
    return abandon_body(request);
  }
  request.extract_string(true).then([this, request, token = pending_.begin()](pplx::task<utility::string_t> reading) {
    std::string body;
    try {
      body = reading.get();
    } catch (const std::exception& fault) {
      return reply_refusal(request, status_codes::BadRequest, std::string("the body can't be read: ") + fault.what());
    }
    route({request, path_parts(request), body});
  });
}

const std::vector<ControlInterface::Route>& ControlInterface::routes() {
  static const std::vector<Route> all{
      {nullptr, {"health"}, &ControlInterface::handle_health},
      {nullptr, {"metrics"}, &ControlInterface::handle_metrics},
      {"GET", {"v1", "fleet"}, &ControlInterface::handle_fleet},
      {"GET", {"v1", "events"}, &ControlInterface::handle_events},
      {"POST", {"v1", "faults"}, &ControlInterface::handle_faults},
      {"POST", {"v1", "fleet", "found"}, &ControlInterface::handle_bootstrap},
      {"POST", {"v1", "fleet", "replace-core"}, &ControlInterface::handle_replace_core},
  };
  return all;
}

void ControlInterface::route(const Call& call) {
  for (const Route& route : routes()) {
    bool is_method = route.method == nullptr || call.request.method() == route.method;
    if (is_method && call.path == route.path)
      return (this->*route.handler)(call);
  }
  if (resource_selector(call.path))
    return handle_resource(call);
  reply_refusal(call.request, status_codes::NotFound, "there is nothing at " + call.request.relative_uri().path());
}

void ControlInterface::post(const http_request& request, std::function<void()> act) {
  boost::asio::post(context_, [this, request, act = std::move(act)] {
    try {
      act();
    } catch (const Json::exception&) {  // what a client sends never ends the control thread
      reply_refusal(request, status_codes::BadRequest, "a field of the body is of the wrong kind");
    }
    flush_();
  });
}

void ControlInterface::handle_health(const Call& call) {
  if (call.request.method() != methods::GET)
    return reply_refusal(call.request, status_codes::MethodNotAllowed, "only GET here");
  post(call.request, [this, request = call.request] { reply_json(request, json_text(health_document(daemon_))); });
}

void ControlInterface::handle_metrics(const Call& call) {
  post(call.request, [this, request = call.request] {
    auto counters = control_counters(daemon_, connections_, steady_now());
    counters.merge(process_limit_counters().counters());
    counters["resident_bytes"] = resident_bytes();
    if (more_counters)
      for (const auto& [name, count] : more_counters())
        counters[name] = count;
    reply(request, {status_codes::OK, counters_text("emberdale_control", counters), 0, metrics_content_type});
  });
}

void ControlInterface::handle_fleet(const Call& call) {
  post(call.request, [this, request = call.request] {
    daemon_.view(
        [this, request](const ViewResponse& view) {
          reply_json(request, json_text(fleet_document(daemon_, view, steady_now()), 2));
        },
        steady_now());
  });
}

void ControlInterface::handle_events(const Call& call) {
  post(call.request,
       [this, request = call.request] { reply_json(request, json_text(events_document(daemon_.journal()))); });
}

void ControlInterface::handle_faults(const Call& call) {
  post(call.request, [this, request = call.request, body = call.body] { set_faults(request, body); });
}

void ControlInterface::handle_bootstrap(const Call& call) {
  Json document = Json::parse(call.body, nullptr, false);
  bool is_well_formed = document.is_object() && is_string(document, "fleet") && document.contains("cores") &&
                        document["cores"].is_array();
  if (!is_well_formed)
    return reply_refusal(call.request, status_codes::BadRequest,
                         R"(the body must be {"fleet": NAME, "cores": [IP:PORT, ...]})");
  std::vector<Address> cores;
  for (const auto& core : document["cores"]) {
    if (!core.is_string() || !parse_socket_address(core.get<std::string>()).ok())
      return reply_refusal(call.request, status_codes::BadRequest, "a core address must be IP:PORT");
    cores.push_back({core.get<std::string>()});
  }
  post(call.request, [this, request = call.request, fleet = document["fleet"].get<std::string>(), cores] {
    daemon_.bootstrap(
        fleet, cores, [request](const ReplicaSetOutcome& outcome) { reply_outcome(request, outcome); }, steady_now());
  });
}

void ControlInterface::handle_replace_core(const Call& call) {
  Json document = Json::parse(call.body, nullptr, false);
  bool is_well_formed = document.is_object() && is_string(document, "old") && is_string(document, "new") &&
                        parse_socket_address(document["new"].get<std::string>()).ok();
  if (!is_well_formed)
    return reply_refusal(call.request, status_codes::BadRequest,
                         R"(the body must be {"old": IP:PORT, "new": IP:PORT})");
  Address old_core{document["old"].get<std::string>()}, new_core{document["new"].get<std::string>()};
  post(call.request, [this, request = call.request, old_core, new_core] {
    daemon_.replace_core(
        old_core, new_core, [request](const ReplicaSetOutcome& outcome) { reply_outcome(request, outcome); },
        steady_now());
  });
}

void ControlInterface::handle_resource(const Call& call) {
  ResourceSelector selector = *resource_selector(call.path);
  if (call.request.method() == methods::GET)
    handle_resource_read(call, selector);
  else
    handle_resource_change(call, selector);
}

void ControlInterface::handle_resource_read(const Call& call, const ResourceSelector& selector) {
  bool is_watch = wants_watch(call.request);
  post(call.request, [this, request = call.request, selector, is_watch] {
    if (is_watch)
      watch_resources(request, selector);
    else
      show_resources(request, selector);
  });
}

void ControlInterface::handle_resource_change(const Call& call, const ResourceSelector& selector) {
  EditRequest edit_request;
  edit_request.action = action_of(call.request.method());
  if (edit_request.action == EditAction::unspecified || !selector.selects_one())
    return reply_refusal(call.request, status_codes::MethodNotAllowed,
                         "GET, PUT, PATCH or DELETE of one resource, or GET of a list");
  auto version = expected_version(call.request.headers());
  if (!version)
    return reply_refusal(call.request, status_codes::BadRequest, "If-Match must be a version, as an ETag gave it");
  edit_request.kind = selector.kind;
  edit_request.name = selector.name;
  edit_request.body = call.body;
  edit_request.expected_version = *version;
  edit_request.change_id = random_id();
  post(call.request, [this, request = call.request, edit_request] { edit(request, edit_request); });
}

void ControlInterface::edit(const http_request& request, const EditRequest& edit_request) {
  daemon_.edit(
      edit_request,
      [request](const EditResponse& done) {
        reply(request, {http_status(status_of(done)), done.body, done.version});
      },
      steady_now());
}

void ControlInterface::show_resources(const http_request& request, const ResourceSelector& selector) {
  daemon_.read(
      [request, selector](const FleetState* state) {
        if (state == nullptr)
          return reply_refusal(request, status_codes::ServiceUnavailable, "no register majority answers", "unread");
        Json items = Json::array();
        for (const auto& resource : state->resources) {
          if (!selector.matches(resource))
            continue;
          if (selector.selects_one())
            return reply(request, {status_codes::OK, json_text(resource_document(resource), 2), resource.version});
          items.push_back(resource_document(resource));
        }
        if (selector.selects_one())
          return reply_refusal(request, status_codes::NotFound,
                               selector.kind + "/" + selector.name + " does not exist");
        reply_json(request, json_text(Json{{"items", items}, {"config_revision", state->config_revision}}, 2));
      },
      steady_now());
}

void ControlInterface::watch_resources(const http_request& request, const ResourceSelector& selector) {
  std::make_shared<ResourceWatch>(ResourceWatch::Environment{context_, daemon_, is_closed_, flush_}, selector)
      ->start(request);
}

void ControlInterface::set_faults(const http_request& request, const std::string& body) {
  if (!may_fault_connections_)
    return reply_refusal(request, status_codes::Forbidden, "started without --allow-link-faults");
  Json faults = Json::parse(body, nullptr, false);
  if (!faults.is_object())
    return reply_refusal(request, status_codes::BadRequest, "not a JSON object");
  if (faults.value("clear", false))
    connections_.clear_faults();
  if (faults.contains("disk")) {
    bool is_set = faults["disk"].is_string() && set_disk_fault &&
                  set_disk_fault(faults["disk"].get<std::string>(), faults.value("disk_ms", default_disk_delay_ms));
    if (!is_set)
      return reply_refusal(request, status_codes::BadRequest, "there is no such fault, or no disk here");
  }
  if (faults.contains("siblings"))
    for (const auto& peer : faults["siblings"])
      connections_.set_fault({peer.get<std::string>()}, {faults.value("cut_out", false), faults.value("cut_in", false),
                                                         Duration{faults.value("delay_ms", 0)}});
  reply_json(request, "{}");
}

}  // namespace emberdale
