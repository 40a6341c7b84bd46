// A test double of a model runner, or of a small record service: real HTTP, made-up responses. It reports its load,
// caches prompt prefixes, warms up after a start, seals each response, refuses when it is full, and appends every
// execution to a file, so that a second execution of a call is detected. Faults are injected by POST /faults.
#include <absl/base/thread_annotations.h>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <docopt/docopt.h>
#include <glog/logging.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio.hpp>
#include <fstream>
#include <list>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>

#include "emberdale/program_settings.hpp"
#include "emberdale/runner_seal.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;

#ifdef EMBERDALE_RECORD_SERVICE
const char* const program = "emberdale-record-stand-in";
const bool is_record_service = true;
#else
const char* const program = "emberdale-runner-stand-in";
const bool is_record_service = false;
#endif

const char usage[] = R"(A stand-in for a back end, for tests.

Usage:
  runner [options]

Options:
  --http IP:PORT     Address.
  --name NAME        The runner's name.
  --seal-key KEY     Key of its seal.
  --capacity N       Calls it runs at once [default: 8].
  --allowance N      Calls it bears at once while cold [default: 2].
  --warm-ms MS       How long it stays cold after its start [default: 3000].
  --miss-ms MS       A check whose prefix is not cached [default: 60].
  --hit-ms MS        A check whose prefix is cached [default: 15].
  --piece-ms MS      Between two pieces of a stream [default: 40].
  --ledger FILE      Append each execution here.
  -h --help          Show this.
)";

// A fault that the next calls meet.
enum class Fault {
  none,
  crash_before_execution,
  crash,
  hang,
  slow,
  cut,
  wrong_seal,
  wrong_response,
  cut_stream,
  crash_stream,
  false_end,
  skip_event
};

// The names of POST /faults; a name that it doesn't know is no fault.
Fault fault_of(const std::string& name) {
  static const std::map<std::string, Fault> faults{{"crash_before", Fault::crash_before_execution},
                                                   {"crash", Fault::crash},
                                                   {"hang", Fault::hang},
                                                   {"slow", Fault::slow},
                                                   {"cut", Fault::cut},
                                                   {"wrong_seal", Fault::wrong_seal},
                                                   {"wrong_answer", Fault::wrong_response},
                                                   {"cut_stream", Fault::cut_stream},
                                                   {"crash_stream", Fault::crash_stream},
                                                   {"false_end", Fault::false_end},
                                                   {"skip_piece", Fault::skip_event}};
  auto fault = faults.find(name);
  return fault == faults.end() ? Fault::none : fault->second;
}

constexpr int crash_status = 9;
constexpr std::int64_t record_service_ms = 10, slow_ms = 3000;
constexpr std::size_t cached_prefixes = 32;

std::string header_of(const http_request& request, const char* name, const std::string& otherwise = "") {
  auto entry = request.headers().find(name);
  return entry == request.headers().end() ? otherwise : std::string(entry->second);
}

class Runner {
 public:
  explicit Runner(std::map<std::string, docopt::value>& arguments)
      : name_(arguments["--name"].asString()),
        key_(arguments["--seal-key"].asString()),
        capacity_(arguments["--capacity"].asLong()),
        allowance_(arguments["--allowance"].asLong()),
        warm_ms_(arguments["--warm-ms"].asLong()),
        miss_ms_(arguments["--miss-ms"].asLong()),
        hit_ms_(arguments["--hit-ms"].asLong()),
        piece_ms_(arguments["--piece-ms"].asLong()),
        incarnation_(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count()),
        started_(steady_now()),
        listener_("http://" + arguments["--http"].asString() + "/") {
    if (arguments["--ledger"].isString())
      executions_.open(arguments["--ledger"].asString(), std::ios::app);
    listener_.support([this](http_request request) { handle(std::move(request)); });
  }

  void run() {
    auto work = boost::asio::make_work_guard(context_);
    std::thread timers([this] { context_.run(); });
    listener_.open().wait();
    LOG(INFO) << name_ << " serving";
    wait_for_stop();
    listener_.close().wait();
    work.reset();
    context_.stop();
    timers.join();
  }

 private:
  bool is_warming_up() const { return (steady_now() - started_).value < warm_ms_; }

  // Counts what became of the request, and appends it to the record of executions.
  void record(const std::string& what, const http_request& request) {
    std::lock_guard<std::mutex> guard(mutex_);
    ++counts_[what];
    if (!executions_.is_open())
      return;
    auto now = std::chrono::system_clock::now().time_since_epoch();
    executions_ << what << ' ' << header_of(request, "X-Call-Id", "-") << ' '
                << header_of(request, "X-Emberdale-Call", "-") << ' ' << name_ << ' '
                << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << ' ' << running_ << ' '
                << (is_warming_up() ? "cold" : "warm") << ' ' << header_of(request, "X-Emberdale-Config", "-") << '\n';
    executions_.flush();  // a killed process keeps what it wrote
  }

  void add_report(http_response& response) {
    response.headers().add("X-Runner", name_);
    response.headers().add("X-Runner-Incarnation", std::to_string(incarnation_));
    response.headers().add("X-Runner-Burden", std::to_string(running_.load()));
    response.headers().add("X-Runner-Capacity", std::to_string(capacity_));
    response.headers().add("X-Runner-Cold", is_warming_up() ? "true" : "false");
  }

  void reply(const http_request& request, const http_response& response) {
    request.reply(response).then([](pplx::task<void> ended) {
      try {
        ended.get();
      } catch (const std::exception&) {  // the peer is gone; nobody waits for the response
      }
    });
  }

  void later(std::int64_t ms, std::function<void()> act) {
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(ms));
    timer->async_wait([timer, act](boost::system::error_code) { act(); });
  }

  void refuse(const http_request& request, const std::string& why) {
    http_response response(503);
    add_report(response);
    response.headers().add("X-Runner-Refused", why);
    response.set_body("{}", "application/json");
    reply(request, response);
  }

  Fault next_fault() {
    std::lock_guard<std::mutex> guard(mutex_);
    if (faulty_calls_left_ <= 0)
      return Fault::none;
    --faulty_calls_left_;
    return fault_;
  }

  void handle(http_request request) {
    std::string path = request.relative_uri().path();
    if (path == "/status")
      return reply_status(request);
    if (path == "/counts")
      return reply_counts(request);
    if (path == "/faults")
      return set_fault(request);
    request.extract_string(true).then([this, request](pplx::task<utility::string_t> reading) {
      std::string body;
      try {
        body = reading.get();
      } catch (const std::exception&) {
        return;  // the call never arrived whole: it is not run
      }
      execute(request, body);
    });
  }

  void reply_status(const http_request& request) {
    http_response response(200);
    response.set_body(Json{{"name", name_},
                           {"incarnation", incarnation_},
                           {"cold", is_warming_up()},
                           {"capacity", capacity_},
                           {"allowance", allowance_},
                           {"burden", running_.load()}}
                          .dump(),
                      "application/json");
    reply(request, response);
  }

  void reply_counts(const http_request& request) {
    std::lock_guard<std::mutex> guard(mutex_);
    http_response response(200);
    Json counts(counts_);
    counts["cold_peak"] = warmup_peak_;
    response.set_body(counts.dump(), "application/json");
    reply(request, response);
  }

  // The body is {"fault": one of the names of fault_of, "calls": how many calls meet it}.
  void set_fault(http_request request) {
    request.extract_string(true).then([this, request](utility::string_t body) {
      Json wanted = Json::parse(body, nullptr, false);
      std::lock_guard<std::mutex> guard(mutex_);
      fault_ = fault_of(wanted.value("fault", ""));
      faulty_calls_left_ = wanted.value("calls", 1);
      http_response response(200);
      response.set_body("{}", "application/json");
      reply(request, response);
    });
  }

  // Takes a slot for the call; false: there is none, and the call was refused.
  bool admit(const http_request& request) {
    std::int64_t now_running = ++running_;
    if (is_warming_up()) {
      std::lock_guard<std::mutex> guard(mutex_);
      warmup_peak_ = std::max(warmup_peak_, now_running);
    }
    if (now_running <= (is_warming_up() ? allowance_ : capacity_))
      return true;
    --running_;
    record(is_warming_up() ? "refuse-cold" : "refuse-full", request);
    refuse(request, "full");
    return false;
  }

  void execute(const http_request& request, const std::string& body) {
    std::string expected = header_of(request, "X-Emberdale-Incarnation");
    if (!expected.empty() && expected != std::to_string(incarnation_)) {
      record("refuse-incarnation", request);
      return refuse(request, "incarnation");
    }
    Fault fault = next_fault();
    if (fault == Fault::crash_before_execution)
      ::_exit(crash_status);
    if (!admit(request))
      return;
    record("run", request);
    if (fault == Fault::crash)
      ::_exit(crash_status);
    if (fault == Fault::hang)
      return;  // keeps its slot and never responds
    Json question = Json::parse(body, nullptr, false);
    if (!question.is_object())
      question = Json::object();
    std::string call = header_of(request, "X-Emberdale-Call");
    Json result{{"call", header_of(request, "X-Call-Id")},
                {"echo", stable_hash(body)},
                {"runner", name_},
                {"verdict", stable_hash(body) % 3 == 0 ? "reject" : "accept"}};
    if (request.method() == web::http::methods::POST && question.contains("pieces") && !is_record_service)
      return stream(request, call, question, result, fault);
    later(service_ms(question, fault), [this, request, call, result, fault] {
      --running_;
      respond(request, call, result, fault);
    });
  }

  std::int64_t service_ms(const Json& question, Fault fault) {
    std::int64_t ms = is_record_service                                 ? record_service_ms
                      : is_prefix_cached(question.value("opening", "")) ? hit_ms_
                                                                        : miss_ms_;
    if (is_warming_up())
      ms *= 2;
    return fault == Fault::slow ? ms + slow_ms : ms;
  }

  void respond(const http_request& request, const std::string& call, Json result, Fault fault) {
    bool is_wrong = fault == Fault::wrong_response;
    if (is_wrong)
      result["call"] = "someone else's";
    std::string text = result.dump();
    http_response response(200);
    add_report(response);
    std::string seal = seal_of(key_, is_wrong ? "another-call" : call, name_, incarnation_, "200\n" + text);
    if (fault == Fault::wrong_seal)
      seal[0] = seal[0] == '0' ? '1' : '0';
    response.headers().add("X-Runner-Seal", seal);
    if (fault == Fault::cut)
      set_cut_body(response, text);
    else
      response.set_body(text, "application/json");
    reply(request, response);
  }

  // Announces more than it sends, and sends half of the text.
  static void set_cut_body(http_response& response, const std::string& text) {
    std::size_t announced = text.size() + 100;
    response.headers().set_content_length(announced);
    concurrency::streams::producer_consumer_buffer<std::uint8_t> half;
    half.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size() / 2);
    half.close(std::ios_base::out);
    response.set_body(half.create_istream(), announced, "application/json");
  }

  struct Stream {
    http_request request;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> out;
    std::string call, text;
    Fault fault = Fault::none;
    std::int64_t next = 1, last = 1;
    Json result;
    std::atomic<bool> is_gone{false};
  };

  void stream(const http_request& request, const std::string& call, const Json& question, const Json& result,
              Fault fault) {
    auto made = std::make_shared<Stream>();
    made->request = request;
    made->call = call;
    made->fault = fault;
    made->result = result;
    made->last = std::max<std::int64_t>(1, question.value("pieces", 1));
    http_response response(200);
    add_report(response);
    response.set_body(made->out.create_istream(), "text/event-stream");
    request.reply(response).then([made](pplx::task<void> ended) {
      try {
        ended.get();
      } catch (const std::exception&) {
        made->is_gone = true;
      }
    });
    later(is_prefix_cached(question.value("opening", "")) ? hit_ms_ : miss_ms_, [this, made] { step(made); });
  }

  void put(const std::shared_ptr<Stream>& stream, const std::string& text) {
    stream->out.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
    stream->out.sync();
  }

  void step(const std::shared_ptr<Stream>& stream) {
    bool is_middle = stream->next > stream->last / 2;
    if (stream->is_gone || (stream->fault == Fault::cut_stream && is_middle)) {
      if (stream->is_gone)
        record("caller-gone", stream->request);
      stream->out.close(std::ios_base::out);
      --running_;
      return;
    }
    if (stream->fault == Fault::crash_stream && is_middle)
      ::_exit(crash_status);
    bool is_false_end = stream->fault == Fault::false_end && is_middle;
    if (stream->next > stream->last || is_false_end) {
      std::string seal =
          seal_of(key_, stream->call, name_, incarnation_, stream->text + (is_false_end ? "and more\n" : ""));
      --running_;  // before its caller can know that it has ended, and send the next
      put(stream, event_text({"sealed", std::to_string(stream->next), seal}));
      stream->out.close(std::ios_base::out);
      return;
    }
    Json piece = stream->result;
    piece["piece"] = stream->next;
    std::string data = piece.dump();
    if (stream->fault == Fault::skip_event && stream->next == 2)
      ++stream->next;
    stream->text += data + "\n";
    put(stream, event_text({"", std::to_string(stream->next), data}));
    ++stream->next;
    later(piece_ms_ * (is_warming_up() ? 2 : 1), [this, stream] { step(stream); });
  }

  bool is_prefix_cached(const std::string& opening) {
    std::lock_guard<std::mutex> guard(mutex_);
    auto key = stable_hash(opening);
    auto entry = cached_.find(key);
    if (entry != cached_.end()) {
      recent_.splice(recent_.begin(), recent_, entry->second);
      ++counts_["prefix_hits"];
      return true;
    }
    ++counts_["prefix_misses"];
    recent_.push_front(key);
    cached_[key] = recent_.begin();
    if (recent_.size() > cached_prefixes) {
      cached_.erase(recent_.back());
      recent_.pop_back();
    }
    return false;
  }

  std::string name_, key_;
  std::int64_t capacity_, allowance_, warm_ms_, miss_ms_, hit_ms_, piece_ms_, incarnation_;
  TimePoint started_;
  web::http::experimental::listener::http_listener listener_;
  boost::asio::io_context context_;
  std::atomic<std::int64_t> running_{0};
  std::mutex mutex_;
  std::int64_t warmup_peak_ ABSL_GUARDED_BY(mutex_) = 0;
  std::map<std::string, std::int64_t> counts_ ABSL_GUARDED_BY(mutex_);
  std::ofstream executions_;
  Fault fault_ ABSL_GUARDED_BY(mutex_) = Fault::none;
  int faulty_calls_left_ ABSL_GUARDED_BY(mutex_) = 0;
  std::list<std::uint64_t> recent_ ABSL_GUARDED_BY(mutex_);  // prefixes, the last used first
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_ ABSL_GUARDED_BY(mutex_);
};

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, program);
  for (const char* needed : {"--http", "--name", "--seal-key"})
    if (!arguments[needed].isString()) {
      std::cerr << program << ": " << needed << " is required\n";
      return 2;
    }
  start_program(program);
  crossplat::threadpool::initialize_with_threads(3);
  Runner(arguments).run();
  return 0;
}

}  // namespace
}  // namespace emberdale

int main(int argc, char** argv) { return emberdale::run(argc, argv); }
