#include "own_paths.hpp"

#include <map>
#include <nlohmann/json.hpp>

#include "emberdale/invariants.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/message_limits.hpp"
#include "emberdale/program_settings.hpp"
#include "http_fields.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;

namespace {

constexpr const char* json_type = "application/json";

void reply(const http_request& request, int code, const std::string& body, const char* type = json_type) {
  http_response response(static_cast<web::http::status_code>(code));
  response.set_body(body, type);
  reply_to(request, response);
}

}  // namespace

void OwnPaths::handle(http_request request) {
  auto path = request.relative_uri().path();
  if (path == "/emberdale/health")
    return reply_health(request);
  if (path == "/emberdale/metrics")
    return reply_metrics(request);
  if (path == "/emberdale/faults" && request.method() == web::http::methods::POST)
    return read_faults(std::move(request));
  reply(request, 404, R"({"reason":"there is nothing here"})");
}

void OwnPaths::reply_health(const http_request& request) const {
  auto [view, grant, sending] = process_.snapshot().get();
  bool is_granted = steady_now() < grant.until && grant.minimum_version <= view->version;
  Json health{{"status", is_granted ? "serving" : "not_serving"},
              {"map_version", show(view->version)},
              {"config_revision", view->config_revision},
              {"in_hand", relay_.open_calls()}};
  reply(request, is_granted ? 200 : 503, json_text(health));
}

// The names of the counters are an interface of their own; they are older than those of the code.
void OwnPaths::reply_metrics(const http_request& request) const {
  auto calls = relay_.counts();
  const auto& relay = relay_.relay_counts();
  std::map<std::string, std::int64_t> counters{{"calls_arrived", calls.arrived},
                                               {"sends", calls.sends},
                                               {"retries", calls.retries},
                                               {"retries_denied", calls.retry_denied},
                                               {"calls_answered", calls.answered},
                                               {"refused_gate", calls.refused_admission},
                                               {"refused_full", calls.refused_full},
                                               {"refused_no_grant", calls.refused_no_grant},
                                               {"refused_other", calls.refused_other},
                                               {"outcome_unknown", calls.unknown},
                                               {"spilled", calls.spilled},
                                               {"misdirected", calls.misdirected},
                                               {"pended", calls.pended},
                                               {"cold_sends", calls.warmup_sends},
                                               {"grant_awaited", calls.grant_awaited},
                                               {"bad_seals", relay.bad_seals},
                                               {"streams_broken", relay.streams_broken},
                                               {"links_broken", relay.connections_broken},
                                               {"callers_gone", relay.callers_gone},
                                               {"stream_pieces", relay.pieces},
                                               {"horizons_passed", relay.deadlines_passed},
                                               {"accept_refused", relay.accept_refused},
                                               {"in_hand", static_cast<std::int64_t>(relay_.open_calls())}};
  counters.merge(process_invariants().counters());
  counters.merge(process_limit_counters().counters());
  counters["resident_bytes"] = resident_bytes();
  reply(request, 200, counters_text("emberdale_data", counters), metrics_content_type);
}

void OwnPaths::read_faults(http_request request) {
  if (!may_fault_connections_)
    return reply(request, 403, R"({"reason":"started without --allow-link-faults"})");
  request.extract_string(true).then([this, request](pplx::task<utility::string_t> reading) {
    std::string body;
    try {
      body = reading.get();
    } catch (const std::exception&) {  // the client left; what is no JSON is refused
    }
    set_faults(request, body);
  });
}

void OwnPaths::set_faults(const http_request& request, const std::string& body) {
  Json fields = Json::parse(body, nullptr, false);
  if (!fields.is_object())
    return reply(request, 400, R"({"reason":"not a JSON object"})");
  try {
    ConnectionFault fault{fields.value("cut_out", false), fields.value("cut_in", false),
                          Duration{fields.value("delay_ms", 0)}};
    auto peers = fields.value("siblings", std::vector<std::string>{});
    bool is_clear = fields.value("clear", false);
    boost::asio::post(process_.context(), [this, peers, fault, is_clear] {
      if (is_clear)
        process_.connections().clear_faults();
      for (const auto& peer : peers)
        process_.connections().set_fault({peer}, fault);
    });
  } catch (const Json::exception&) {
    return reply(request, 400, R"({"reason":"a field of the body is of the wrong kind"})");
  }
  reply(request, 200, "{}");
}

}  // namespace emberdale
