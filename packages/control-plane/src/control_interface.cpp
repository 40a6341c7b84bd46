#include "control_interface.hpp"

#include <cpprest/producerconsumerstream.h>
#include <glog/logging.h>

#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;
using web::http::methods;

constexpr std::size_t max_body = 1 << 20;

void answer(const http_request& request, int code, const std::string& body, std::int64_t version = 0,
            int retry_after = 0, const char* kind = "application/json") {
  http_response response(static_cast<web::http::status_code>(code));
  if (version > 0)
    response.headers().add("ETag", "\"" + std::to_string(version) + "\"");
  if (retry_after > 0)
    response.headers().add("Retry-After", std::to_string(retry_after));
  response.set_body(body, kind);
  request.reply(response).then([](pplx::task<void> ended) {
    try {
      ended.get();
    } catch (const std::exception&) {  // the asker left: nothing is owed any more
    }
  });
}

void answer_reason(const http_request& request, int code, const std::string& reason,
                   const std::string& outcome = "refused") {
  answer(request, code, json_text(Json{{"reason", reason}, {"outcome", outcome}}), 0, code == 503 ? 1 : 0);
}

std::vector<std::string> path_parts(const http_request& request) {
  std::vector<std::string> parts;
  for (auto& part : web::uri::split_path(web::uri::decode(request.relative_uri().path())))
    parts.push_back(part);
  return parts;
}

Json json_or_text(const std::string& body) {
  Json parsed = Json::parse(body, nullptr, false);
  return parsed.is_discarded() ? Json(body) : parsed;
}

struct InForceCount {
  Json daemons = Json::array();
  bool is_everywhere = true;
};

// In force everywhere: no daemon that may still send does so by an older plan.
InForceCount count_in_force(const std::vector<DaemonStatus>& reports, std::int64_t revision) {
  InForceCount count;
  for (const auto& report : reports) {
    bool is_there = report.config_revision >= revision;
    bool is_silent = report.age_ms > 3000;
    std::string state = is_there ? "in_force" : is_silent ? "silent" : report.has_grant ? "pending" : "not_serving";
    count.daemons.push_back({{"daemon", report.daemon.address.text},
                             {"zone", report.daemon.zone.text},
                             {"state", state},
                             {"map_version", show(report.version)},
                             {"config_revision", report.config_revision},
                             {"age_ms", report.age_ms}});
    if (state == "pending")
      count.is_everywhere = false;
  }
  if (reports.empty())
    count.is_everywhere = false;
  return count;
}

Json daemon_json(const DaemonEntry& entry) {
  return {{"address", entry.address.text},
          {"http", entry.http_address},
          {"role", to_string(entry.role)},
          {"zone", entry.zone.text},
          {"region", entry.region.text}};
}

}  // namespace

ControlInterface::ControlInterface(boost::asio::io_context& context, ControlDaemon& daemon,
                                   PeerConnections& connections, const std::string& http, bool may_fault_connections,
                                   std::function<void()> flush)
    : context_(context),
      daemon_(daemon),
      connections_(connections),
      listener_("http://" + http + "/"),
      may_fault_connections_(may_fault_connections),
      flush_(std::move(flush)) {
  listener_.support([this](http_request request) { handle(std::move(request)); });
}

Outcome<bool> ControlInterface::open() {
  try {
    listener_.open().wait();
    return true;
  } catch (const std::exception& fault) {
    return failure(std::string("can't listen for HTTP: ") + fault.what());
  }
}

void ControlInterface::close() {
  is_closed_ = true;
  try {
    listener_.close().wait();
  } catch (const std::exception&) {
  }
}

void ControlInterface::handle(http_request request) {
  std::size_t length = request.headers().content_length();
  if (length > max_body)
    return answer_reason(request, 413, "the body is larger than 1 MiB");
  request.extract_string(true).then([this, request](pplx::task<utility::string_t> reading) {
    std::string body;
    try {
      body = reading.get();
    } catch (const std::exception& fault) {
      return answer_reason(request, 400, std::string("the body can't be read: ") + fault.what());
    }
    auto parts = path_parts(request);
    auto method = request.method();
    auto post = [&](auto act) {
      boost::asio::post(context_, [this, request, act] {
        try {
          act();
        } catch (const Json::exception&) {  // the control thread never ends by what an asker sent
          answer_reason(request, 400, "a field of the body is of the wrong kind");
        }
        flush_();
      });
    };
    auto is_path = [&](std::initializer_list<const char*> wanted) {
      return parts.size() == wanted.size() && std::equal(parts.begin(), parts.end(), wanted.begin());
    };
    if (is_path({"health"})) {
      if (method != methods::GET)
        return answer_reason(request, 405, "only GET here");
      return post([this, request] {
        Json health{{"status", "alive"},
                    {"has_register", daemon_.proposer().has_state()},
                    {"master", daemon_.election().master().text},
                    {"is_master", daemon_.election().is_master()},
                    {"map_version", show(daemon_.map().version)}};
        answer(request, 200, json_text(health));
      });
    }
    if (is_path({"metrics"}))
      return post([this, request] { metrics(request); });
    if (is_path({"v1", "fleet"}) && method == methods::GET)
      return post([this, request] { fleet(request); });
    if (is_path({"v1", "events"}) && method == methods::GET)
      return post([this, request] {
        Json events = daemon_.journal().fold(Json::array(), [](Json list, const JournalEvent& event) {
          list.push_back(
              {{"number", event.number}, {"at_ms", event.at.value}, {"kind", event.kind}, {"detail", event.detail}});
          return list;
        });
        answer(request, 200, json_text(events));
      });
    if (is_path({"v1", "faults"}) && method == methods::POST)
      return post([this, request, body] { faults(request, body); });
    if (is_path({"v1", "fleet", "found"}) && method == methods::POST) {
      Json wish = Json::parse(body, nullptr, false);
      if (!wish.is_object() || !wish.contains("fleet") || !wish["fleet"].is_string() || !wish.contains("cores") ||
          !wish["cores"].is_array())
        return answer_reason(request, 400, R"(the body must be {"fleet": NAME, "cores": [IP:PORT, ...]})");
      std::vector<Address> cores;
      for (const auto& core : wish["cores"]) {
        if (!core.is_string() || !parse_socket_address(core.get<std::string>()).ok())
          return answer_reason(request, 400, "a core address must be IP:PORT");
        cores.push_back({core.get<std::string>()});
      }
      return post([this, request, fleet = wish["fleet"].get<std::string>(), cores] {
        daemon_.found(
            fleet, cores,
            [request](int code, const std::string& reason) {
              answer(request, code, json_text(Json{{"reason", reason}}), 0, code == 503 ? 1 : 0);
            },
            steady_now());
      });
    }
    if (is_path({"v1", "fleet", "replace-core"}) && method == methods::POST) {
      Json wish = Json::parse(body, nullptr, false);
      if (!wish.is_object() || !wish.value("old", Json()).is_string() || !wish.value("new", Json()).is_string() ||
          !parse_socket_address(wish["new"].get<std::string>()).ok())
        return answer_reason(request, 400, R"(the body must be {"old": IP:PORT, "new": IP:PORT})");
      return post(
          [this, request, old_core = wish["old"].get<std::string>(), new_core = wish["new"].get<std::string>()] {
            daemon_.replace_core(
                {old_core}, {new_core},
                [request](int code, const std::string& reason) {
                  answer(request, code, json_text(Json{{"reason", reason}}), 0, code == 503 ? 1 : 0);
                },
                steady_now());
          });
    }
    if (parts.size() >= 2 && parts.size() <= 3 && parts[0] == "v1" &&
        (parts[1] == plans_kind || parts[1] == orders_kind || parts[1] == runners_kind)) {
      std::string kind = parts[1], name = parts.size() == 3 ? parts[2] : "";
      if (method == methods::GET) {
        auto query = web::uri::split_query(request.relative_uri().query());
        bool is_watch = query.count("watch") != 0 && query["watch"] == "true";
        return post([this, request, kind, name, is_watch] {
          if (is_watch)
            watch(request, kind, name);
          else
            list(request, kind, name);
        });
      }
      EditRequest edit_request;
      edit_request.action = method == methods::PUT     ? EditAction::put
                            : method == methods::PATCH ? EditAction::patch
                            : method == methods::DEL   ? EditAction::remove
                                                       : EditAction::unspecified;
      if (edit_request.action == EditAction::unspecified || name.empty())
        return answer_reason(request, 405, "GET, PUT, PATCH or DELETE of one resource, or GET of a list");
      edit_request.kind = kind;
      edit_request.name = name;
      edit_request.body = body;
      edit_request.expected_version = -1;
      edit_request.change_id = random_id();
      const auto& headers = request.headers();
      auto if_match = headers.find("If-Match");
      if (if_match != headers.end() && if_match->second != "*") {
        std::string tag = if_match->second;
        tag.erase(std::remove(tag.begin(), tag.end(), '"'), tag.end());
        if (tag.empty() || tag.size() > 18 || tag.find_first_not_of("0123456789") != std::string::npos)
          return answer_reason(request, 400, "If-Match must be a version, as an ETag gave it");
        edit_request.expected_version = std::stoll(tag);
      }
      auto if_none = headers.find("If-None-Match");
      if (if_none != headers.end() && if_none->second == "*")
        edit_request.expected_version = 0;
      return post([this, request, edit_request] { edit(request, edit_request); });
    }
    answer_reason(request, 404, "there is nothing at " + request.relative_uri().path());
  });
}

void ControlInterface::edit(http_request request, EditRequest edit_request) {
  daemon_.edit(
      edit_request,
      [request](const EditResponse& done) {
        answer(request, static_cast<int>(done.code), done.body, done.version, done.code == 503 ? 1 : 0);
      },
      steady_now());
}

void ControlInterface::list(http_request request, const std::string& kind, const std::string& name) {
  daemon_.read(
      [request, kind, name](const FleetState* state) {
        if (state == nullptr)
          return answer_reason(request, 503, "no register majority answers", "unread");
        Json items = Json::array();
        for (const auto& resource : state->resources) {
          if (resource.kind != kind || (!name.empty() && resource.name != name))
            continue;
          Json item{{"name", resource.name},
                    {"version", resource.version},
                    {"config_revision", resource.config_revision},
                    {"spec", json_or_text(resource.body)}};
          if (!name.empty())
            return answer(request, 200, json_text(item, 2), resource.version);
          items.push_back(std::move(item));
        }
        if (!name.empty())
          return answer_reason(request, 404, kind + "/" + name + " does not exist");
        answer(request, 200, json_text(Json{{"items", items}, {"config_revision", state->config_revision}}, 2));
      },
      steady_now());
}

struct ControlInterface::Watch {
  http_request request;
  std::string kind, name, last;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer;
  std::shared_ptr<bool> is_over = std::make_shared<bool>(false);
  int quiet_steps = 0;
};

void ControlInterface::watch(http_request request, const std::string& kind, const std::string& name) {
  auto made = std::make_shared<Watch>();
  made->request = request;
  made->kind = kind;
  made->name = name;
  http_response response(web::http::status_codes::OK);
  response.set_body(made->buffer.create_istream(), "application/x-ndjson");
  request.reply(response).then([is_over = made->is_over](pplx::task<void> ended) {
    try {
      ended.get();
    } catch (const std::exception&) {
    }
    *is_over = true;
  });
  step_watch(made);
}

// Sends a line whenever the versions or what is in force have changed; a blank line as sign of life.
void ControlInterface::step_watch(std::shared_ptr<Watch> watch) {
  if (*watch->is_over || is_closed_) {
    watch->buffer.close(std::ios_base::out);
    return;
  }
  daemon_.view(
      [this, watch](const ViewResponse& view) {
        const auto& proposer = daemon_.proposer();
        Json items = Json::array();
        for (const auto& resource : proposer.state().resources) {
          if (resource.kind != watch->kind || (!watch->name.empty() && resource.name != watch->name))
            continue;
          auto count = count_in_force(view.daemon_statuses, resource.config_revision);
          bool is_mapped = view.from_master && view.is_settled && view.map.config_revision >= resource.config_revision;
          for (auto& daemon : count.daemons)
            daemon.erase("age_ms");
          for (auto& daemon : count.daemons)
            daemon.erase("map_version");
          items.push_back({{"name", resource.name},
                           {"version", resource.version},
                           {"config_revision", resource.config_revision},
                           {"in_force", is_mapped && count.is_everywhere},
                           {"daemons", count.daemons}});
        }
        std::string line = json_text(Json{{"kind", watch->kind}, {"master_known", view.from_master}, {"items", items}});
        std::string out;
        if (line != watch->last) {
          watch->last = line;
          out = line + "\n";
        } else if (++watch->quiet_steps % 20 == 0) {
          out = "\n";
        }
        auto wait_and_step = [this, watch] {
          auto timer = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(100));
          timer->async_wait([this, watch, timer](boost::system::error_code) {
            step_watch(watch);
            flush_();
          });
        };
        if (out.empty())
          return wait_and_step();
        if (watch->buffer.in_avail() > max_body) {  // a watcher that does not read is let go
          watch->buffer.close(std::ios_base::out);
          return;
        }
        auto bytes = std::make_shared<std::string>(std::move(out));
        watch->buffer.putn_nocopy(reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size())
            .then([this, bytes, watch, wait_and_step](pplx::task<std::size_t> put) {
              try {
                put.get();
                watch->buffer.sync();
              } catch (const std::exception&) {
              }
              boost::asio::post(context_, wait_and_step);
            });
      },
      steady_now());
}

void ControlInterface::fleet(http_request request) {
  daemon_.view(
      [this, request](const ViewResponse& view) {
        const auto& proposer = daemon_.proposer();
        const auto& state = proposer.state();
        Json fleet{{"fleet", state.fleet_name},
                   {"state_version", state.version},
                   {"config_revision", state.config_revision},
                   {"reign", state.term},
                   {"master", state.master.text},
                   {"map_floor", show(state.minimum_version)},
                   {"master_answers", view.from_master},
                   {"map_version", show(view.map.version)},
                   {"map_config_revision", view.map.config_revision}};
        fleet["state_age_ms"] = (steady_now() - proposer.confirmed_at()).value;
        fleet["acceptors"] = Json::array();
        for (const auto& entry : state.acceptors)
          fleet["acceptors"].push_back({{"store", entry.store.text}, {"address", entry.address.text}});
        if (!state.next_acceptors.empty()) {
          fleet["next_acceptors"] = Json::array();
          for (const auto& entry : state.next_acceptors)
            fleet["next_acceptors"].push_back({{"store", entry.store.text}, {"address", entry.address.text}});
        }
        fleet["roster"] = Json::array();
        for (const auto& entry : state.roster)
          fleet["roster"].push_back(daemon_json(entry));
        fleet["known"] = Json::array();
        for (const auto& entry : daemon_.known())
          fleet["known"].push_back(daemon_json(entry));
        fleet["daemons"] = count_in_force(view.daemon_statuses, view.map.config_revision).daemons;
        fleet["emptied_zones"] = Json::array();
        for (const auto& zone : view.map.evacuated_zones)
          fleet["emptied_zones"].push_back(zone.text);
        fleet["gateways"] = Json::array();
        for (const auto& row : view.map.gateways)
          fleet["gateways"].push_back(
              {{"http", row.http_address}, {"zone", row.zone.text}, {"region", row.region.text}});
        fleet["regions"] = Json::array();
        for (const auto& row : view.map.regions)
          fleet["regions"].push_back({{"pool", row.pool.text},
                                      {"region", row.region.text},
                                      {"capacity", row.capacity},
                                      {"burden", row.load},
                                      {"spills", row.spills}});
        fleet["runners"] = Json::array();
        for (const auto& row : view.map.runners) {
          Json grants = Json::object();
          for (const auto& grant : row.warmup_grants)
            grants[grant.daemon.text] = grant.requests;
          fleet["runners"].push_back({{"name", row.name.text},
                                      {"address", row.http_address},
                                      {"pool", row.pool.text},
                                      {"zone", row.zone.text},
                                      {"region", row.region.text},
                                      {"status", to_string(row.state)},
                                      {"incarnation", row.incarnation},
                                      {"capacity", row.capacity},
                                      {"burden", row.load},
                                      {"cold_grants", grants}});
        }
        answer(request, 200, json_text(fleet, 2));
      },
      steady_now());
}

void ControlInterface::metrics(http_request request) {
  const auto& c = daemon_.counts();
  const auto& p = daemon_.proposer().counts();
  std::int64_t refused_messages = daemon_.proposer().refusals().total();
  if (daemon_.acceptor() != nullptr)
    refused_messages += daemon_.acceptor()->refusals().total();
  const auto& e = daemon_.election().counts();
  const auto& l = connections_.counts();
  std::map<std::string, std::int64_t> counters{{"maps_published", c.maps_published},
                                               {"maps_taken", c.maps_taken},
                                               {"maps_fenced", c.maps_fenced},
                                               {"edits", daemon_.edit_counts().edits},
                                               {"edits_unknown", daemon_.edit_counts().unknown},
                                               {"edits_doubled_ids", daemon_.edit_counts().conflicting_ids},
                                               {"probes", daemon_.probes_made()},
                                               {"enrolled", daemon_.membership_counts().enrolled},
                                               {"ghosts_evicted", daemon_.membership_counts().dead_members_evicted},
                                               {"messages_in", c.messages_in},
                                               {"bars_passed", c.blocks_forwarded},
                                               {"register_rounds", p.rounds},
                                               {"register_conflicts", p.conflicts},
                                               {"register_committed", p.committed},
                                               {"register_unknown", p.unknown},
                                               {"register_mended", p.repaired},
                                               {"register_reads", p.reads},
                                               {"register_deltas", p.deltas},
                                               {"register_whole_values", p.whole_values},
                                               {"register_value_bytes", p.value_bytes},
                                               {"register_refused_messages", refused_messages},
                                               {"election_rounds", e.rounds},
                                               {"election_starved_rounds", e.without_quorum},
                                               {"election_joins_failed", e.joins_failed},
                                               {"election_won", e.elected},
                                               {"election_stepped_down", e.stepped_down},
                                               {"is_master", daemon_.election().is_master() ? 1 : 0},
                                               {"reign", daemon_.election().term()},
                                               {"link_frames_out", l.frames_out},
                                               {"link_frames_in", l.frames_in},
                                               {"link_frames_dropped", l.frames_dropped},
                                               {"link_bytes_out", l.bytes_out},
                                               {"link_frames_refused", l.refused_frames}};
  for (const auto& [kind, count] : daemon_.journal().counts())
    counters["event_" + kind] = count;
  if (more_counters)
    for (const auto& [name, count] : more_counters())
      counters[name] = count;
  answer(request, 200, counters_text("emberdale_control", counters), 0, 0, "text/plain; version=0.0.4");
}

void ControlInterface::faults(http_request request, const std::string& body) {
  if (!may_fault_connections_)
    return answer_reason(request, 403, "started without --allow-link-faults");
  Json wish = Json::parse(body, nullptr, false);
  if (!wish.is_object())
    return answer_reason(request, 400, "not a JSON object");
  if (wish.value("clear", false))
    connections_.clear_faults();
  if (wish.contains("disk") && (!wish["disk"].is_string() || !set_disk_fault ||
                                !set_disk_fault(wish["disk"].get<std::string>(), wish.value("disk_ms", 250))))
    return answer_reason(request, 400, "there is no such fault, or no disk here");
  if (wish.contains("siblings"))
    for (const auto& peer : wish["siblings"])
      connections_.set_fault({peer.get<std::string>()}, {wish.value("cut_out", false), wish.value("cut_in", false),
                                                         Duration{wish.value("delay_ms", 0)}});
  answer(request, 200, "{}");
}

}  // namespace emberdale
