// A stand-in for a model runner (or a small record service): real HTTP, made-up answers.
// It reports its load, keeps prefixes warm, comes back cold, seals each answer, refuses when
// full, and writes every execution into a ledger so that a second run of a call is seen.
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

using namespace emberdale;
using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;

#ifdef EMBERDALE_RECORD_SERVICE
static const char* const program = "emberdale-record-stand-in";
static const bool is_record_service = true;
#else
static const char* const program = "emberdale-runner-stand-in";
static const bool is_record_service = false;
#endif

static const char usage[] = R"(A stand-in for a back end, for tests.

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

namespace {

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
      ledger_.open(arguments["--ledger"].asString(), std::ios::app);
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

  void write_ledger(const std::string& act, const http_request& request) {
    std::lock_guard<std::mutex> guard(mutex_);
    auto header = [&](const char* name) {
      auto entry = request.headers().find(name);
      return entry == request.headers().end() ? std::string("-") : std::string(entry->second);
    };
    ++counts_[act];
    if (ledger_.is_open()) {
      ledger_ << act << ' ' << header("X-Call-Id") << ' ' << header("X-Emberdale-Call") << ' ' << name_ << ' '
              << std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count()
              << ' ' << running_ << ' ' << (is_warming_up() ? "cold" : "warm") << ' ' << header("X-Emberdale-Config")
              << '\n';
      ledger_.flush();  // a killed process keeps what it wrote
    }
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
      } catch (const std::exception&) {
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

  std::string take_fault() {
    std::lock_guard<std::mutex> guard(mutex_);
    if (fault_left_ <= 0)
      return "";
    --fault_left_;
    return fault_;
  }

  void handle(http_request request) {
    std::string path = request.relative_uri().path();
    if (path == "/status") {
      http_response response(200);
      response.set_body(Json{{"name", name_},
                             {"incarnation", incarnation_},
                             {"cold", is_warming_up()},
                             {"capacity", capacity_},
                             {"allowance", allowance_},
                             {"burden", running_.load()}}
                            .dump(),
                        "application/json");
      return reply(request, response);
    }
    if (path == "/counts") {
      std::lock_guard<std::mutex> guard(mutex_);
      http_response response(200);
      Json counts(counts_);
      counts["cold_peak"] = warmup_peak_;
      response.set_body(counts.dump(), "application/json");
      return reply(request, response);
    }
    if (path == "/faults") {  // {"fault": crash|hang|slow|cut|wrong_seal|wrong_answer|cut_stream|false_end, "calls": N}
      request.extract_string(true).then([this, request](utility::string_t body) {
        Json wish = Json::parse(body, nullptr, false);
        std::lock_guard<std::mutex> guard(mutex_);
        fault_ = wish.value("fault", "");
        fault_left_ = wish.value("calls", 1);
        http_response response(200);
        response.set_body("{}", "application/json");
        reply(request, response);
      });
      return;
    }
    request.extract_string(true).then([this, request](pplx::task<utility::string_t> reading) {
      std::string body;
      try {
        body = reading.get();
      } catch (const std::exception&) {
        return;  // the call never arrived whole: it is not run
      }
      take(request, body);
    });
  }

  void take(const http_request& request, const std::string& body) {
    auto header = [&](const char* name) {
      auto entry = request.headers().find(name);
      return entry == request.headers().end() ? std::string() : std::string(entry->second);
    };
    std::string expected = header("X-Emberdale-Incarnation");
    if (!expected.empty() && expected != std::to_string(incarnation_)) {
      write_ledger("refuse-incarnation", request);
      return refuse(request, "incarnation");
    }
    std::string fault = take_fault();
    if (fault == "crash_before")
      ::_exit(9);
    std::int64_t now_running = ++running_;
    if (is_warming_up()) {
      std::lock_guard<std::mutex> guard(mutex_);
      warmup_peak_ = std::max(warmup_peak_, now_running);
    }
    if (now_running > (is_warming_up() ? allowance_ : capacity_)) {
      --running_;
      write_ledger(is_warming_up() ? "refuse-cold" : "refuse-full", request);
      return refuse(request, "full");
    }
    write_ledger("run", request);
    if (fault == "crash")
      ::_exit(9);
    if (fault == "hang")
      return;  // keeps its slot and never answers
    Json question = Json::parse(body, nullptr, false);
    if (!question.is_object())
      question = Json::object();
    std::string call = header("X-Emberdale-Call");
    Json told{{"call", header("X-Call-Id")},
              {"echo", stable_hash(body)},
              {"runner", name_},
              {"verdict", stable_hash(body) % 3 == 0 ? "reject" : "accept"}};
    if (request.method() == web::http::methods::POST && question.contains("pieces") && !is_record_service)
      return stream(request, call, question, told, fault);
    std::int64_t ms = is_record_service ? 10 : is_prefix_cached(question.value("opening", "")) ? hit_ms_ : miss_ms_;
    if (is_warming_up())
      ms *= 2;
    if (fault == "slow")
      ms += 3000;
    later(ms, [this, request, call, told, fault]() mutable {
      --running_;
      if (fault == "wrong_answer")
        told["call"] = "someone else's";
      std::string text = told.dump();
      http_response response(200);
      add_report(response);
      std::string seal =
          seal_of(key_, fault == "wrong_answer" ? "another-call" : call, name_, incarnation_, "200\n" + text);
      if (fault == "wrong_seal")
        seal[0] = seal[0] == '0' ? '1' : '0';
      response.headers().add("X-Runner-Seal", seal);
      if (fault == "cut") {
        response.headers().set_content_length(text.size() + 100);
        concurrency::streams::producer_consumer_buffer<std::uint8_t> half;
        half.putn_nocopy(reinterpret_cast<const std::uint8_t*>(text.data()), text.size() / 2);
        half.close(std::ios_base::out);
        response.set_body(half.create_istream(), text.size() + 100, "application/json");
      } else {
        response.set_body(text, "application/json");
      }
      reply(request, response);
    });
  }

  struct Stream {
    http_request request;
    concurrency::streams::producer_consumer_buffer<std::uint8_t> out;
    std::string call, text, fault;
    std::int64_t next = 1, last = 1;
    Json told;
    std::atomic<bool> is_gone{false};
  };

  void stream(const http_request& request, const std::string& call, const Json& question, const Json& told,
              const std::string& fault) {
    auto made = std::make_shared<Stream>();
    made->request = request;
    made->call = call;
    made->fault = fault;
    made->told = told;
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
    if (stream->is_gone || (stream->fault == "cut_stream" && is_middle)) {
      if (stream->is_gone)
        write_ledger("caller-gone", stream->request);
      stream->out.close(std::ios_base::out);
      --running_;
      return;
    }
    if (stream->fault == "crash_stream" && is_middle)
      ::_exit(9);
    bool is_false_end = stream->fault == "false_end" && is_middle;
    if (stream->next > stream->last || is_false_end) {
      std::string seal =
          seal_of(key_, stream->call, name_, incarnation_, stream->text + (is_false_end ? "and more\n" : ""));
      --running_;  // before its caller can know that it has ended, and send the next
      put(stream, event_text({"sealed", std::to_string(stream->next), seal}));
      stream->out.close(std::ios_base::out);
      return;
    }
    Json piece = stream->told;
    piece["piece"] = stream->next;
    std::string data = piece.dump();
    if (stream->fault == "skip_piece" && stream->next == 2)
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
    if (recent_.size() > 32) {
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
  std::int64_t warmup_peak_ = 0;
  std::map<std::string, std::int64_t> counts_;
  std::ofstream ledger_;
  std::string fault_;
  int fault_left_ = 0;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cached_;
};

}  // namespace

int main(int count, char** words) {
  auto arguments = docopt::docopt(usage, {words + 1, words + count}, true, program);
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
