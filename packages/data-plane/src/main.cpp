// emberdale-data-plane: takes calls in and brings them to runners, as the map says.
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "call_relay.hpp"
#include "data_process.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"

using namespace emberdale;
using Json = nlohmann::json;

static const char usage[] = R"(emberdale-data-plane: serves calls by the master's placement map.

Usage:
  emberdale-data-plane [options]
  emberdale-data-plane (-h | --help)

Options:
  --settings FILE       JSON file with the settings below; flags go over it.
  --link IP:PORT        Address for links from siblings (also this daemon's id).
  --http IP:PORT        Address for callers.
  --zone NAME           Zone of this machine.
  --region NAME         Region of the zone.
  --seeds LIST          Up to three IP:PORT link addresses of control daemons.
  --allow-link-faults   Tests only: let /emberdale/faults cut and delay links.
  -h --help             Show this.
)";

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, "emberdale-data-plane 0.1");
  std::vector<std::string> findings;
  ProgramSettings settings = read_settings(arguments, DaemonRole::data, findings);
  if (!findings.empty()) {
    for (const auto& finding : findings)
      std::cerr << "emberdale-data-plane: " << finding << "\n";
    return 2;
  }
  start_program("emberdale-data-plane");
  crossplat::threadpool::initialize_with_threads(5);

  DataProcess process(settings.self, settings.seeds, Duration{25});
  auto& context = process.context();
  const ControlSnapshot& snapshot = process.snapshot();
  auto listens = process.open();
  if (!listens) {
    LOG(ERROR) << listens.reason;
    return 1;
  }
  DispatcherSettings dispatcher;
  dispatcher.self = settings.self.address;
  dispatcher.region = settings.self.region;
  CallRelay relay(dispatcher, snapshot, settings.self.http_address);
  relay.on_own_path = [&](web::http::http_request request) {
    auto path = request.relative_uri().path();
    auto reply = [](web::http::http_request& to, int code, const std::string& body, const char* kind) {
      web::http::http_response response(static_cast<web::http::status_code>(code));
      response.set_body(body, kind);
      to.reply(response).then([](pplx::task<void> ended) {
        try {
          ended.get();
        } catch (const std::exception&) {
        }
      });
    };
    if (path == "/emberdale/health") {
      auto [view, grant] = snapshot.get();
      bool is_granted = steady_now() < grant.until && grant.minimum_version <= view->version;
      Json health{{"status", is_granted ? "serving" : "not_serving"},
                  {"map_version", show(view->version)},
                  {"config_revision", view->config_revision},
                  {"in_hand", relay.in_hand()}};
      return reply(request, is_granted ? 200 : 503, json_text(health), "application/json");
    }
    if (path == "/emberdale/metrics") {
      auto c = relay.counts();
      const auto& r = relay.relay_counts();
      return reply(request, 200,
                   counters_text("emberdale_data", {{"calls_arrived", c.arrived},
                                                    {"sends", c.sends},
                                                    {"retries", c.retries},
                                                    {"retries_denied", c.retry_denied},
                                                    {"calls_answered", c.answered},
                                                    {"refused_gate", c.refused_admission},
                                                    {"refused_full", c.refused_full},
                                                    {"refused_no_grant", c.refused_no_grant},
                                                    {"refused_other", c.refused_other},
                                                    {"outcome_unknown", c.unknown},
                                                    {"spilled", c.spilled},
                                                    {"misdirected", c.misdirected},
                                                    {"pended", c.pended},
                                                    {"cold_sends", c.warmup_sends},
                                                    {"grant_awaited", c.grant_awaited},
                                                    {"bad_seals", r.bad_seals},
                                                    {"streams_broken", r.streams_broken},
                                                    {"links_broken", r.connections_broken},
                                                    {"callers_gone", r.callers_gone},
                                                    {"stream_pieces", r.pieces},
                                                    {"horizons_passed", r.deadlines_passed},
                                                    {"accept_refused", r.accept_refused},
                                                    {"in_hand", static_cast<std::int64_t>(relay.in_hand())}}),
                   "text/plain; version=0.0.4");
    }
    if (path == "/emberdale/faults" && request.method() == web::http::methods::POST) {
      if (!settings.may_fault_connections)
        return reply(request, 403, R"({"reason":"started without --allow-link-faults"})", "application/json");
      request.extract_string(true).then([&, request, reply](utility::string_t body) mutable {
        Json wish = Json::parse(body, nullptr, false);
        if (!wish.is_object())
          return reply(request, 400, R"({"reason":"not a JSON object"})", "application/json");
        try {
          ConnectionFault fault{wish.value("cut_out", false), wish.value("cut_in", false),
                                Duration{wish.value("delay_ms", 0)}};
          auto peers = wish.value("siblings", std::vector<std::string>{});
          bool is_clear = wish.value("clear", false);
          boost::asio::post(context, [&process, peers, fault, is_clear] {
            if (is_clear)
              process.connections().clear_faults();
            for (const auto& peer : peers)
              process.connections().set_fault({peer}, fault);
          });
        } catch (const Json::exception&) {
          return reply(request, 400, R"({"reason":"a field of the body is of the wrong kind"})", "application/json");
        }
        reply(request, 200, "{}", "application/json");
      });
      return;
    }
    reply(request, 404, R"({"reason":"there is nothing here"})", "application/json");
  };
  auto opened = relay.open();
  if (!opened) {
    LOG(ERROR) << opened.reason;
    return 1;
  }
  process.start();
  LOG(INFO) << "serving in zone " << settings.self.zone << ", region " << settings.self.region << ", callers at "
            << settings.self.http_address;
  int signal = wait_for_stop();
  LOG(INFO) << "stopping on signal " << signal << ": what is in hand is finished or refused";
  relay.stop(Duration{8000});
  process.stop();
  return 0;
}
