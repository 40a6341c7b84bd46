// Loopback daemons: the real state machines and peer connections of many daemons on one thread, without HTTP. They join
// the fleet of real daemons that a fleet starter has started, and measure what each more daemon costs.
#include <absl/status/status.h>
#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "emberdale/peer_connections.hpp"
#include "scale_runs.hpp"

namespace emberdale::scale {
namespace {

TimePoint steady_now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{time.tv_sec * 1000 + time.tv_nsec / 1000000};
}

double processor_seconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// Example: LoopbackDaemon daemon(context, self, seeds); auto started = daemon.start();
class LoopbackDaemon {
 public:
  LoopbackDaemon(boost::asio::io_context& context, DaemonEntry self, const std::vector<Address>& seeds)
      : connections_(context, self.address,
                     [this](const Address& from, Message message) {
                       if (control_)
                         control_->on_message(from, message, steady_now());
                       else
                         data_->on_message(from, message, steady_now());
                       flush();
                     }),
        timer_(context),
        context_(context),
        self_(self) {
    std::uint64_t random = stable_hash(self.address.text) ^ static_cast<std::uint64_t>(self.incarnation);
    if (self.role == DaemonRole::data) {
      data_ = std::make_unique<DataDaemon>(self, seeds, random);
    } else {
      ControlDaemonSettings settings;
      settings.self = self;
      settings.seeds = seeds;
      settings.random_seed = random;
      control_ = std::make_unique<ControlDaemon>(settings, nullptr);
    }
    connections_.on_refused = [this](const Address& peer) {
      if (control_)
        control_->on_refused(peer, steady_now());
      else
        data_->on_refused(peer, steady_now());
      flush();
    };
  }
  // Fails if the address can't be listened at.
  absl::Status start() {
    absl::Status listening = connections_.listen();
    if (!listening.ok())
      return listening;
    if (control_)
      control_->start(steady_now());
    else
      data_->start(steady_now());
    flush();
    tick();
    return absl::OkStatus();
  }
  const ConnectionCounts& counts() const { return connections_.counts(); }
  bool is_granted() const {
    return data_ && steady_now() < data_->grant().until && data_->grant().minimum_version <= data_->view()->version;
  }
  bool is_master() const { return control_ && control_->election().is_master(); }
  std::size_t roster() const {
    return control_ && control_->proposer().has_state() ? control_->proposer().state().roster.size() : 0;
  }

 private:
  void flush() {
    for (auto& outbound : control_ ? control_->drain_outbound() : data_->drain_outbound()) {
      if (outbound.to != self_.address) {
        connections_.send(outbound.to, outbound.message);
        continue;
      }
      boost::asio::post(context_, [this, message = std::move(outbound.message)] {
        if (control_)
          control_->on_message(self_.address, message, steady_now());
        else
          data_->on_message(self_.address, message, steady_now());
        flush();
      });
    }
    if (control_)
      control_->drain_probes();  // loopback daemons probe no runner: the master does it in their place
  }
  void tick() {
    timer_.expires_after(std::chrono::milliseconds(25));
    timer_.async_wait([this](boost::system::error_code fault) {
      if (fault)
        return;
      if (control_)
        control_->on_timer(steady_now());
      else
        data_->on_timer(steady_now());
      flush();
      tick();
    });
  }

  PeerConnections connections_;
  boost::asio::steady_timer timer_;
  boost::asio::io_context& context_;
  DaemonEntry self_;
  std::unique_ptr<ControlDaemon> control_;
  std::unique_ptr<DataDaemon> data_;
};

// A real daemon beside the loopback daemons, as the starter's fleet.json names it.
struct RealDaemon {
  std::string name, role, http;
  int process = 0;
  double seconds = 0, resident_kb = 0, bytes_out = 0;
};

// Example: page_of("127.0.0.1:10400", "/metrics") is its text, or empty
std::string page_of(const std::string& http, const std::string& path) {
  auto colon = http.find(':');
  if (colon == std::string::npos)
    return "";
  boost::asio::ip::tcp::iostream stream;
  stream.expires_after(std::chrono::seconds(2));
  stream.connect(http.substr(0, colon), http.substr(colon + 1));
  stream << "GET " << path << " HTTP/1.0\r\nHost: " << http << "\r\nConnection: close\r\n\r\n" << std::flush;
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// Processor time and memory of the process as the system counts them, bytes sent as the daemon counts them.
void measure(RealDaemon& real) {
  std::ifstream stat("/proc/" + std::to_string(real.process) + "/stat");
  std::string text;
  std::getline(stat, text);
  auto end = text.rfind(')');
  if (end == std::string::npos)
    return;
  std::istringstream fields(text.substr(end + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;)
    words.push_back(word);
  real.seconds = (std::stod(words[11]) + std::stod(words[12])) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  real.resident_kb = std::stod(words[21]) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1000;
  if (real.role == "data")
    return;
  std::string page = page_of(real.http, "/metrics");
  auto mark = page.rfind("link_bytes_out ");
  if (mark != std::string::npos)
    real.bytes_out = std::atof(page.c_str() + mark + 15);
}

std::vector<RealDaemon> read_fleet(const std::string& file, std::vector<Address>& seeds) {
  std::vector<RealDaemon> daemons;
  std::ifstream stream(file);
  auto picture = nlohmann::json::parse(stream, nullptr, false);
  if (!picture.is_object())
    return daemons;
  for (const auto& process : picture.value("processes", nlohmann::json::array())) {
    std::string role = process.value("role", "");
    if (role != "core" && role != "edge" && role != "data")
      continue;
    daemons.push_back({process.value("name", ""), role, process.value("http", ""), process.value("process", 0)});
    if (role == "core")
      seeds.push_back(Address{process.value("link", "")});
  }
  return daemons;
}

std::vector<std::string> free_loopback_addresses(std::size_t count) {
  // Held until all are known, so that no place is given twice.
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::acceptor> held;
  std::vector<std::string> places;
  for (int port = 11000; port < 32000 && places.size() < count; ++port) {
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code fault;
    acceptor.open(boost::asio::ip::tcp::v4(), fault);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)}, fault);
    if (fault)
      continue;
    places.push_back("127.0.0.1:" + std::to_string(port));
    held.push_back(std::move(acceptor));
  }
  return places;
}

}  // namespace

namespace {

constexpr int most_daemons = 400;
constexpr Duration longest_window{300000};
constexpr std::chrono::seconds joining_time{15};  // before the window in which everything is measured

using LoopbackDaemons = std::vector<std::unique_ptr<LoopbackDaemon>>;

DaemonEntry entry_of(int number, bool is_edge, const std::string& address) {
  std::string zone(1, static_cast<char>('a' + number % 3));
  return {Address{address},
          "127.0.0.1:1",
          is_edge ? DaemonRole::edge : DaemonRole::data,
          ZoneName{zone},
          RegionName{zone == "c" ? "south" : "north"},
          steady_now().value};
}

// Starts the daemons; false: one did not start, and the reason was printed.
bool start_daemons(boost::asio::io_context& context, int edges, int gateways, const std::vector<Address>& seeds,
                   LoopbackDaemons& daemons) {
  auto addresses = free_loopback_addresses(static_cast<std::size_t>(edges) + static_cast<std::size_t>(gateways));
  for (int i = 0; i < edges + gateways; ++i) {
    DaemonEntry self = entry_of(i, i < edges, addresses[static_cast<std::size_t>(i)]);
    daemons.push_back(std::make_unique<LoopbackDaemon>(context, self, seeds));
    absl::Status started = daemons.back()->start();
    if (!started.ok()) {
      std::cerr << started.message() << "\n";
      return false;
    }
  }
  return true;
}

ConnectionCounts sum_of(const LoopbackDaemons& daemons) {
  ConnectionCounts sum;
  for (const auto& daemon : daemons) {
    sum.frames_out += daemon->counts().frames_out;
    sum.frames_in += daemon->counts().frames_in;
    sum.frames_dropped += daemon->counts().frames_dropped;
    sum.bytes_out += daemon->counts().bytes_out;
  }
  return sum;
}

// What was measured when the window began.
struct WindowStart {
  double processor_seconds = 0;
  ConnectionCounts counts;
};

// Measures the real daemons again and prints what they used in the window.
void print_real_daemons(std::vector<RealDaemon>& daemons, Duration window) {
  std::cout << "real daemons: % of a core, resident MB, KB out/s (control daemons)\n";
  auto window_ms = static_cast<double>(window.value);
  for (auto& daemon : daemons) {
    RealDaemon before = daemon;
    measure(daemon);
    std::cout << "  " << daemon.name << ": " << (daemon.seconds - before.seconds) / window_ms * 1e5 << ", "
              << daemon.resident_kb / 1000 << ", " << (daemon.bytes_out - before.bytes_out) / window_ms << "\n";
  }
}

void print_loopback_daemons(const LoopbackDaemons& daemons, int edges, int gateways, const WindowStart& start,
                            Duration window) {
  double seconds = static_cast<double>(window.value) / 1000, count = edges + gateways;
  auto after = sum_of(daemons);
  auto heap = mallinfo2();
  auto granted = std::count_if(daemons.begin(), daemons.end(), [](const auto& daemon) { return daemon->is_granted(); });
  auto masters = std::count_if(daemons.begin(), daemons.end(), [](const auto& daemon) { return daemon->is_master(); });
  auto per_daemon = [&](auto difference) {
    return static_cast<double>(difference) / seconds / count;
  };
  std::cout << "hollow: " << edges << " edge, " << gateways << " data; with a grant " << granted << ", roster "
            << (edges > 0 ? daemons[0]->roster() : 0) << ", masters among them " << masters << "\n"
            << "each: frames out/s " << per_daemon(after.frames_out - start.counts.frames_out) << ", bytes out/s "
            << per_daemon(after.bytes_out - start.counts.bytes_out) << ", frames in/s "
            << per_daemon(after.frames_in - start.counts.frames_in) << ", % of a core "
            << (processor_seconds() - start.processor_seconds) / seconds / count * 100 << ", heap KB "
            << static_cast<double>(heap.uordblks + heap.hblkhd) / 1000 / count << "; frames dropped in all "
            << after.frames_dropped - start.counts.frames_dropped << std::endl;
}

}  // namespace

int run_loopback_daemons(const std::string& fleet, int edges, int gateways, Duration window) {
  if (edges + gateways > most_daemons || window > longest_window) {
    std::cerr << "emberdale-fleet-simulator: at most 400 hollow daemons for 300 s\n";
    return 2;
  }
  std::vector<Address> seeds;
  auto real_daemons = read_fleet(fleet, seeds);
  if (seeds.empty()) {
    std::cerr << "emberdale-fleet-simulator: " << fleet << " names no core daemon\n";
    return 2;
  }
  boost::asio::io_context context;
  LoopbackDaemons daemons;
  if (!start_daemons(context, edges, gateways, seeds, daemons))
    return 1;
  WindowStart start;
  boost::asio::steady_timer joined(context, joining_time);
  joined.async_wait([&](boost::system::error_code) {
    start = {processor_seconds(), sum_of(daemons)};
    for (auto& daemon : real_daemons)
      measure(daemon);
  });
  boost::asio::steady_timer over(context, joining_time + std::chrono::milliseconds(window.value));
  over.async_wait([&](boost::system::error_code) { context.stop(); });
  context.run();
  print_real_daemons(real_daemons, window);
  if (!daemons.empty())
    print_loopback_daemons(daemons, edges, gateways, start, window);
  return 0;
}

}  // namespace emberdale::scale
