// A test double of a runner that notices at once when its peer closes the connection of a run, which the listener of
// the HTTP library (packages/stand-ins) doesn't: it serves plain sockets, one thread a connection. It writes down when
// each run began and how it ended. The request's body says how long it runs, whether the connection breaks, and whether
// the answer has no end; some health answers have none either.
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "emberdale/program_settings.hpp"
#include "emberdale/runner_seal.hpp"
#include "pause_monitor.hpp"
#include "plain_http.hpp"
#include "soak_records.hpp"

namespace emberdale::soak {
namespace {

using Json = nlohmann::json;

const char program[] = "emberdale-soak-runner";
const char usage[] = R"(A stand-in for a runner that sees its peer leave, for the soak.

Usage:
  emberdale-soak-runner [options]

Options:
  --http IP:PORT     Address.
  --name NAME        The runner's name.
  --seal-key KEY     Key of its seal.
  --ledger FILE      Append when each run began and ended here.
  --capacity N       Requests it runs at once [default: 3].
  --allowance N      Requests it runs at once while it warms up [default: 2].
  --warm-ms MS       How long it warms up after its start [default: 1000].
  --call-header NAME     Names the request, in it and in its answer [default: X-Call-Id].
  --runner-header NAME   Names the runner in an answer [default: X-Runner].
  --refusal-header NAME  Says that the request was not run [default: X-Runner-Refused].
  --seal-header NAME     Has the seal of an answer [default: X-Runner-Seal].
  --seals-heads          A stream has a seal in its head, and none at its end.
  -h --help          Show this.
)";

constexpr Duration io_timeout{5000};
constexpr Duration longest_idle{600000};
constexpr Duration event_interval{60};
constexpr std::int64_t default_service_ms = 100;
// An answer without end: 100 MB a second, until the peer closes the connection.
constexpr Duration flood_time{5000};
constexpr std::size_t flood_piece_bytes = 64 << 10;
constexpr std::chrono::microseconds flood_pause{640};
constexpr std::int64_t probes_between_floods = 60;
const std::string last_chunk = "0\r\n\r\n";

class Runner {
 public:
  explicit Runner(std::map<std::string, docopt::value>& arguments)
      : address_(arguments["--http"].asString()),
        name_(arguments["--name"].asString()),
        key_(arguments["--seal-key"].asString()),
        capacity_(arguments["--capacity"].asLong()),
        allowance_(arguments["--allowance"].asLong()),
        warmup_(Duration{arguments["--warm-ms"].asLong()}),
        call_header_(arguments["--call-header"].asString()),
        runner_header_(arguments["--runner-header"].asString()),
        refusal_header_(arguments["--refusal-header"].asString()),
        seal_header_(arguments["--seal-header"].asString()),
        seals_heads_(arguments["--seals-heads"].asBool()),
        started_(steady_now()),
        incarnation_(started_.value),
        records_(arguments["--ledger"].asString(), std::ios::app),
        monitor_([this](const Interval& pause) { write(pause_line(pause)); }) {}

  // Serves until the process ends.
  void serve() {
    int listener = listen_at(address_);
    LOG_IF(FATAL, listener < 0) << "can't listen at " << address_;
    LOG(INFO) << name_ << " serving";
    for (;;) {
      auto connection = accept_from(listener);
      if (connection)
        std::thread([this, peer = std::move(*connection)]() mutable { serve_connection(peer); }).detach();
    }
  }

 private:
  bool is_warming_up() const { return steady_now() - started_ < warmup_; }
  std::int64_t limit() const { return is_warming_up() ? allowance_ : capacity_; }

  void write(const std::string& line) {
    std::lock_guard<std::mutex> lock(mutex_);
    records_ << line << std::flush;  // a killed process keeps what it wrote
  }

  void serve_connection(Connection& connection) {
    bool is_open = true;
    while (is_open) {
      Message request;
      if (request.read_from(connection, steady_now() + longest_idle) != ReadResult::data)
        return;
      is_open = request.word(0) == "GET" ? reply_status(connection) : execute(connection, request);
    }
  }

  bool reply(Connection& connection, const std::string& status, const std::string& fields, const std::string& body) {
    return connection.send(
        "HTTP/1.1 " + status + "\r\n" + runner_header_ + ": " + name_ +
            "\r\nX-Runner-Incarnation: " + std::to_string(incarnation_) +
            "\r\nX-Runner-Burden: " + std::to_string(running_) + "\r\nX-Runner-Capacity: " + std::to_string(capacity_) +
            "\r\nX-Runner-Cold: " + (is_warming_up() ? "true" : "false") + "\r\n" + fields + "\r\n" + body,
        steady_now() + io_timeout);
  }

  static std::string body_fields(const std::string& body) {
    return "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  }

  // Sends a sound head and a body in chunks that does not end; false: the connection is of no more use.
  bool flood(Connection& connection, const std::string& fields) {
    const TimePoint end = steady_now() + flood_time;
    const std::string piece = chunk(std::string(flood_piece_bytes, 'x'));
    bool is_open = reply(connection, "200 OK", fields + "Transfer-Encoding: chunked\r\n", "");
    while (is_open && steady_now() < end) {
      is_open = connection.send(piece, steady_now() + io_timeout);
      std::this_thread::sleep_for(flood_pause);
    }
    return false;
  }

  bool reply_status(Connection& connection) {
    if (++probes_ % probes_between_floods == 0)
      return flood(connection, "");
    std::string body = Json{{"name", name_},         {"incarnation", incarnation_}, {"cold", is_warming_up()},
                            {"capacity", capacity_}, {"allowance", allowance_},     {"burden", running_.load()}}
                           .dump();
    return reply(connection, "200 OK", body_fields(body), body);
  }

  bool refuse(Connection& connection, const std::string& reason) {
    return reply(connection, "503 Service Unavailable", refusal_header_ + ": " + reason + "\r\n" + body_fields("{}"),
                 "{}");
  }

  // Answers one request; false: the connection is of no more use.
  bool execute(Connection& connection, const Message& request) {
    std::string expected = request.field("x-emberdale-incarnation");
    if (!expected.empty() && expected != std::to_string(incarnation_))
      return refuse(connection, "incarnation");
    if (++running_ > limit()) {
      --running_;
      return refuse(connection, "full");
    }
    RunRecord run;
    run.call = request.field(lower_case(call_header_));
    run.incarnation = incarnation_;
    run.number = ++last_run_;
    run.begun = steady_now();
    write(begun_line(run));
    Json question = Json::parse(request.body(), nullptr, false);
    if (!question.is_object())
      question = Json::object();
    bool is_finished = work(connection, request, question);
    run.ended = steady_now();
    run.how = is_finished ? RunEnd::finished : RunEnd::connection_closed;
    --running_;
    write(ended_line(run));
    if (!is_finished || question.value("breaks", false))
      return false;
    return question.contains("pieces") || answer(connection, request, run.call);
  }

  // False: the peer closed the connection before the work was done.
  bool work(Connection& connection, const Message& request, const Json& question) {
    if (question.value("floods", false))
      return flood(connection, answer_fields(request, "seal"));
    if (question.contains("pieces"))
      return stream(connection, request, question);
    Duration service{question.value("service_ms", default_service_ms)};
    return !connection.is_closed_before(steady_now() + service);
  }

  bool answer(Connection& connection, const Message& request, const std::string& call) {
    std::string body = Json{{"call", call}, {"runner", name_}}.dump();
    std::string seal = seal_of(key_, request.field("x-emberdale-call"), name_, incarnation_, "200\n" + body);
    return reply(connection, "200 OK",
                 call_header_ + ": " + call + "\r\n" + seal_header_ + ": " + seal + "\r\n" + body_fields(body), body);
  }

  static std::string chunk(const std::string& text) {
    std::ostringstream size;
    size << std::hex << text.size();
    return size.str() + "\r\n" + text + "\r\n";
  }

  // The head's fields that name the call, with a seal unless it is empty.
  std::string answer_fields(const Message& request, const std::string& seal) const {
    std::string fields = call_header_ + ": " + request.field(lower_case(call_header_)) + "\r\n";
    if (!seal.empty())
      fields += seal_header_ + ": " + seal + "\r\n";
    return fields;
  }

  bool stream(Connection& connection, const Message& request, const Json& question) {
    std::int64_t pieces = question.value("pieces", 1);
    std::string sealed_text;
    std::string fields = answer_fields(request, seals_heads_ ? "sealed" : "");
    fields += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    if (!reply(connection, "200 OK", fields, ""))
      return false;
    for (std::int64_t number = 1; number <= pieces; ++number) {
      if (connection.is_closed_before(steady_now() + event_interval))
        return false;
      if (question.value("breaks", false) && number > pieces / 2)
        return true;
      std::string data = Json{{"piece", number}, {"runner", name_}}.dump();
      sealed_text += data + "\n";
      if (!connection.send(chunk(event_text({"", std::to_string(number), data})), steady_now() + io_timeout))
        return false;
    }
    std::string seal = seal_of(key_, request.field("x-emberdale-call"), name_, incarnation_, sealed_text);
    std::string end = seals_heads_ ? "" : chunk(event_text({"sealed", std::to_string(pieces + 1), seal}));
    return connection.send(end + last_chunk, steady_now() + io_timeout);
  }

  const std::string address_, name_, key_;
  const std::int64_t capacity_, allowance_;
  const Duration warmup_;
  const std::string call_header_, runner_header_, refusal_header_, seal_header_;
  const bool seals_heads_;
  const TimePoint started_;
  const std::int64_t incarnation_;
  std::atomic<std::int64_t> running_{0}, last_run_{0}, probes_{0};
  std::mutex mutex_;
  std::ofstream records_;
  PauseMonitor monitor_;
};

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, program);
  for (const char* needed : {"--http", "--name", "--seal-key", "--ledger"})
    if (!arguments[needed].isString()) {
      std::cerr << program << ": " << needed << " is required\n";
      return 2;
    }
  start_program(program);
  Runner runner(arguments);
  std::thread([&runner] { runner.serve(); }).detach();
  wait_for_stop();
  ::_exit(0);  // the threads of its connections may still be at work
}

}  // namespace
}  // namespace emberdale::soak

int main(int argc, char** argv) { return emberdale::soak::run(argc, argv); }
