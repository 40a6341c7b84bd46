// A test double of the clients of a deployment: makes the load of its mix of calls, and checks every response.
#include <cpprest/http_client.h>
#include <docopt/docopt.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "emberdale/program_settings.hpp"
#include "emberdale/runner_seal.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;

const char usage[] = R"(A stand-in for the callers, for tests.

Usage:
  emberdale-caller-stand-in [options]

Options:
  --deployment NAME  caspian or kathmandu [default: caspian].
  --gateways LIST    REGION=IP:PORT of data daemons, comma separated.
  --rate N           Calls each second [default: 200].
  --seconds N        How long [default: 10].
  --seed N           Seed of the mix [default: 1].
  --moving SHARE     Share of callers that ask at the wrong region [default: 0.05].
  --report FILE      Write the counts here as JSON as well.
  --outcomes FILE    Write one line a call: id, kind, outcome, ms from the start.
  -h --help          Show this.
)";

struct Kind {
  std::string name, path;
  double share;
  bool is_streaming, is_homed, is_repeatable;
};

const std::vector<Kind> caspian{{"manifest-check", "/v1/manifest-checks", 0.80, false, false, false},
                                {"booking-chat", "/v1/booking-chats", 0.05, true, true, false},
                                {"slot-confirmation", "/v1/slot-confirmations", 0.15, false, false, true}};
const std::vector<Kind> kathmandu{{"dispute-check", "/v1/dispute-checks", 0.80, false, true, false},
                                  {"complaint-reply", "/v1/complaint-replies", 0.05, true, false, false},
                                  {"receipt-lookup", "/v1/receipt-lookups", 0.15, false, false, true}};

class Callers {
 public:
  Callers(const std::vector<Kind>& kinds, std::map<std::string, std::vector<std::string>> gateways, std::uint64_t seed,
          double moving)
      : kinds_(kinds), gateways_(std::move(gateways)), random_(seed), moving_(moving) {
    for (const auto& [region, list] : gateways_)
      regions_.push_back(region);
  }
  std::ofstream outcomes;

  void run(double rate, double seconds) {
    auto start = start_ = std::chrono::steady_clock::now();
    auto total = static_cast<std::int64_t>(rate * seconds);
    for (std::int64_t i = 0; i < total; ++i) {
      std::this_thread::sleep_until(
          start + std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(i) * 1e6 / rate)));
      if (in_hand_ > 4000) {
        add("not-asked", "caller full");
        continue;
      }
      call(i);
    }
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(25);
    while (in_hand_ > 0 && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    if (in_hand_ > 0)
      add("wrong", "never answered");
  }

  Json report() {
    std::lock_guard<std::mutex> guard(mutex_);
    Json out;
    for (auto& [key, count] : counts_)
      out["counts"][key] = count;
    for (auto& entry : times_) {
      const std::string& kind = entry.first;
      auto& times = entry.second;
      std::sort(times.begin(), times.end());
      auto at = [&](double share) {
        return times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
      };
      out["latency_ms"][kind] = {
          {"count", times.size()}, {"median", at(0.5)}, {"p99", at(0.99)}, {"max", times.back()}};
    }
    std::sort(refusal_times_.begin(), refusal_times_.end());
    if (!refusal_times_.empty())
      out["refusal_ms"] = {{"count", refusal_times_.size()},
                           {"median", refusal_times_[refusal_times_.size() / 2]},
                           {"max", refusal_times_.back()}};
    out["wrong"] = wrong_;
    out["wrong_examples"] = examples_;
    return out;
  }

 private:
  struct Call {
    const Kind* kind;
    std::string id, home, body, region;
    std::chrono::steady_clock::time_point begun;
    std::int64_t pieces = 0;
    int hops = 0;
  };

  void call(std::int64_t number) {
    double share = static_cast<double>(random_.below(100000)) / 100000.0;
    const Kind* kind = &kinds_.back();
    for (const auto& candidate : kinds_) {
      if (share < candidate.share) {
        kind = &candidate;
        break;
      }
      share -= candidate.share;
    }
    auto made = std::make_shared<Call>();
    made->kind = kind;
    made->home = regions_[static_cast<std::size_t>(
        random_.chance(0.55) ? 0 : random_.below(static_cast<std::int64_t>(regions_.size())))];
    made->region = made->home;
    if (random_.chance(moving_))
      made->region = regions_[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(regions_.size())))];
    made->id = kind->name + "." + (kind->is_homed ? made->home : "free") + "." + std::to_string(number) + "." +
               random_id().substr(0, 8);
    // A long shared opening, then what is the caller's own.
    std::string opening = "opening " + std::to_string(random_.below(40)) + " ";
    opening.resize(kind->is_repeatable ? 40 : 3000, 'm');
    Json body{{"opening", opening}, {"question", made->id}};
    if (kind->is_streaming) {
      made->pieces = 10 + random_.below(30);
      body["pieces"] = made->pieces;
    }
    made->body = body.dump();
    made->begun = std::chrono::steady_clock::now();
    ++in_hand_;
    const auto& list = gateways_.at(made->region);
    send(made, list[static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(list.size())))]);
  }

  void send(std::shared_ptr<Call> call, const std::string& gateway) {
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::seconds(20));
    auto client = std::make_shared<web::http::client::http_client>("http://" + gateway, config);
    http_request request("POST");
    request.set_request_uri(call->kind->path);
    request.headers().add("X-Call-Id", call->id);
    if (call->kind->is_homed)
      request.headers().add("X-Home-Region", call->home);
    request.set_body(call->body, "application/json");
    client->request(request).then([this, call, client](pplx::task<http_response> asking) {
      try {
        http_response response = asking.get();
        int code = response.status_code();
        auto type = response.headers().content_type();
        if (code == 200 && type.rfind("text/event-stream", 0) == 0)
          return read_stream(call, response);
        response.extract_string(true).then([this, call, code, response](pplx::task<utility::string_t> reading) {
          try {
            take(call, code, reading.get(), response);
          } catch (const std::exception& fault) {
            finish(call, "broken", std::string("body: ") + fault.what());
          }
        });
      } catch (const std::exception& fault) {
        std::string what = fault.what();
        finish(call, what.find("connect") != std::string::npos ? "no-daemon" : "broken", what);
      }
    });
  }

  void take(const std::shared_ptr<Call>& call, int code, const std::string& text, const http_response& response) {
    Json body = Json::parse(text, nullptr, false);
    if (code == 200) {
      auto caller_id = response.headers().find("X-Call-Id");
      if (!body.is_object() || body.value("call", "") != call->id ||
          body.value("echo", std::uint64_t{0}) != stable_hash(call->body) || caller_id == response.headers().end() ||
          caller_id->second != call->id || !response.headers().has("X-Runner-Seal"))
        return wrong(call, "foreign or unsealed answer: " + text.substr(0, 200));
      return finish(call, "served", "");
    }
    if (code == 421) {
      if (!call->kind->is_homed || call->hops > 0 || !body.contains("homes") || body["homes"].empty())
        return finish(call, "misdirected", "no home named");
      ++call->hops;
      {
        std::lock_guard<std::mutex> guard(mutex_);
        ++counts_["followed-421"];
      }
      return send(call, body["homes"][stable_hash(call->id) % body["homes"].size()].get<std::string>());
    }
    if (!body.is_object() || !body.contains("reason"))
      return wrong(call, "a refusal without a reason: " + std::to_string(code));
    if (body.value("outcome", "") == "unknown")
      return finish(call, "unknown", body["reason"]);
    if (code == 503) {
      if (!response.headers().has("Retry-After"))
        return wrong(call, "503 without Retry-After");
      auto ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - call->begun).count();
      {
        std::lock_guard<std::mutex> guard(mutex_);
        refusal_times_.push_back(ms);
      }
      return finish(call, "refused", body["reason"]);
    }
    finish(call, "refused", std::to_string(code) + " " + body["reason"].get<std::string>());
  }

  struct Reading {
    std::shared_ptr<Call> call;
    concurrency::streams::streambuf<std::uint8_t> source;
    http_response response;
    EventCutter cutter;
    std::int64_t next = 1;
    std::string runner;
    std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(8192);
    bool is_sealed = false;
  };

  void read_stream(const std::shared_ptr<Call>& call, const http_response& response) {
    auto reading = std::make_shared<Reading>();
    reading->call = call;
    reading->response = response;
    reading->source = response.body().streambuf();
    step(reading);
  }

  void step(const std::shared_ptr<Reading>& reading) {
    reading->source.getn(reading->bytes.data(), 1).then([this, reading](pplx::task<std::size_t> got) {
      std::size_t size = read_available(*reading, got);
      if (size == 0)
        return finish_stream(*reading);
      std::string bytes(reading->bytes.begin(), reading->bytes.begin() + static_cast<std::ptrdiff_t>(size));
      for (const auto& event : reading->cutter.feed(bytes))
        if (!accept_event(*reading, event))
          return;
      step(reading);
    });
  }

  // Reads what has arrived beside the first byte; 0: the stream has ended, or broke.
  static std::size_t read_available(Reading& reading, const pplx::task<std::size_t>& first_byte) {
    try {
      std::size_t size = first_byte.get();
      if (size != 1)
        return size;
      std::size_t more = std::min(reading.source.in_avail(), reading.bytes.size() - 1);
      for (; more > 0; --more)
        reading.bytes[size++] = static_cast<std::uint8_t>(reading.source.sbumpc());
      return size;
    } catch (const std::exception&) {  // a broken connection: finish_stream() judges how far the stream came
      return 0;
    }
  }

  void finish_stream(const Reading& reading) {
    if (reading.is_sealed)
      return finish(reading.call, "served", "");
    finish(reading.call, "broken", "the stream ended without a seal or an error");
  }

  // Checks one event of a stream; false: the call has ended with it.
  bool accept_event(Reading& reading, const StreamEvent& event) {
    const auto& call = reading.call;
    if (reading.is_sealed) {
      wrong(call, "an event after the sealed end");
      return false;
    }
    if (event.event == "error") {
      finish(call, "stream-error", event.data);
      return false;
    }
    return event.event == "sealed" ? accept_seal(reading) : accept_piece(reading, event);
  }

  bool accept_seal(Reading& reading) {
    if (reading.next != reading.call->pieces + 1) {
      wrong(reading.call,
            "sealed after " + std::to_string(reading.next - 1) + " of " + std::to_string(reading.call->pieces));
      return false;
    }
    reading.is_sealed = true;
    return true;
  }

  bool accept_piece(Reading& reading, const StreamEvent& event) {
    Json piece = Json::parse(event.data, nullptr, false);
    if (!piece.is_object() || event.id != std::to_string(reading.next) || piece.value("piece", 0) != reading.next ||
        piece.value("call", "") != reading.call->id ||
        (!reading.runner.empty() && piece.value("runner", "") != reading.runner)) {
      wrong(reading.call,
            "piece " + event.id + " where " + std::to_string(reading.next) + " was due: " + event.data.substr(0, 120));
      return false;
    }
    reading.runner = piece.value("runner", "");
    ++reading.next;
    return true;
  }

  void add(const std::string& outcome, const std::string&) {
    std::lock_guard<std::mutex> guard(mutex_);
    ++counts_[outcome];
  }

  void wrong(const std::shared_ptr<Call>& call, const std::string& why) {
    {
      std::lock_guard<std::mutex> guard(mutex_);
      ++wrong_;
      if (examples_.size() < 10)
        examples_.push_back(call->id + ": " + why);
    }
    finish(call, "wrong", why);
  }

  void finish(const std::shared_ptr<Call>& call, const std::string& outcome, const std::string& why) {
    auto ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - call->begun).count();
    {
      std::lock_guard<std::mutex> guard(mutex_);
      ++counts_["all"];
      ++counts_[outcome];
      ++counts_[call->kind->name + " " + outcome];
      if (!why.empty())
        ++counts_["why: " + outcome + ": " + why.substr(0, 80)];
      if (outcome == "served")
        times_[call->kind->name].push_back(ms);
      if (outcomes.is_open())
        outcomes << call->id << ' ' << call->kind->name << ' ' << outcome << ' '
                 << std::chrono::duration_cast<std::chrono::milliseconds>(call->begun - start_).count() << '\n';
    }
    --in_hand_;
  }

  const std::vector<Kind>& kinds_;
  std::map<std::string, std::vector<std::string>> gateways_;
  std::vector<std::string> regions_;
  RandomGenerator random_;
  double moving_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<std::int64_t> in_hand_{0};
  std::mutex mutex_;
  std::map<std::string, std::int64_t> counts_;
  std::map<std::string, std::vector<std::int64_t>> times_;
  std::vector<std::int64_t> refusal_times_;
  std::int64_t wrong_ = 0;
  std::vector<std::string> examples_;
};

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "emberdale-caller-stand-in");
  crossplat::threadpool::initialize_with_threads(6);
  std::map<std::string, std::vector<std::string>> gateways;
  std::stringstream list(arguments["--gateways"].isString() ? arguments["--gateways"].asString() : "");
  std::string part;
  while (std::getline(list, part, ',')) {
    auto mark = part.find('=');
    if (mark == std::string::npos) {
      std::cerr << "--gateways: '" << part << "' is not REGION=IP:PORT\n";
      return 2;
    }
    gateways[part.substr(0, mark)].push_back(part.substr(mark + 1));
  }
  if (gateways.empty()) {
    std::cerr << "--gateways is required\n";
    return 2;
  }
  const auto& kinds = arguments["--deployment"].asString() == "kathmandu" ? kathmandu : caspian;
  Callers callers(kinds, gateways, static_cast<std::uint64_t>(std::atoll(arguments["--seed"].asString().c_str())),
                  std::atof(arguments["--moving"].asString().c_str()));
  if (arguments["--outcomes"].isString())
    callers.outcomes.open(arguments["--outcomes"].asString());
  callers.run(std::atof(arguments["--rate"].asString().c_str()), std::atof(arguments["--seconds"].asString().c_str()));
  Json report = callers.report();
  std::cout << report.dump(2) << std::endl;
  if (arguments["--report"].isString())
    std::ofstream(arguments["--report"].asString()) << report.dump(2) << "\n";
  return report["wrong"] == 0 ? 0 : 1;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
