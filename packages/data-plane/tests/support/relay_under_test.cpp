#include "relay_under_test.hpp"

#include <stdexcept>

#include "raw_socket.hpp"

namespace emberdale_test {
namespace {

using namespace emberdale;

constexpr int runner_count = 64;       // so many that those in trouble don't leave a call without a runner
constexpr double resend_credit = 1e9;  // the budget never decides here

std::shared_ptr<RoutingView> view_of(std::uint16_t runner_port) {
  auto view = std::make_shared<RoutingView>();
  view->has_routing_table = true;
  view->routes = {route_of("once", false, false), route_of("again", true, false), route_of("stream", false, true),
                  route_of("resume", true, true)};
  for (int number = 1; number <= runner_count; ++number) {
    RunnerRow row;
    row.name.text = "r" + std::to_string(number);
    row.http_address = "127.0.0.1:" + std::to_string(runner_port);
    row.pool.text = "p";
    row.region.text = "here";
    row.zone.text = "z";
    row.state = RunnerState::warm;
    row.capacity = 8;
    view->runners[row.name] = row;
    view->pools[row.pool].push_back(row.name);
    auto& region = view->regions[{row.pool, row.region}];  // without it no runner is a prompt's keeper
    region.pool = row.pool;
    region.region = row.region;
    region.capacity += row.capacity;
  }
  return view;
}

RouteDispatcherSettings fuzz_settings() {
  RouteDispatcherSettings settings;
  settings.self.text = "d";
  settings.region.text = "here";
  settings.zone.text = "z";
  settings.resend_start = settings.resend_bound = resend_credit;
  return settings;
}

std::uint16_t free_port() { return RawSocket::listen().port(); }

}  // namespace

RelayHeaderNames relay_header_names() {
  RelayHeaderNames names;
  names.call_id = "T-Call";
  names.deadline = "T-Horizon";
  names.prompt = "T-Prompt";
  names.tokens = "T-Tokens";
  names.expected_incarnation = "T-Life-Expected";
  names.incarnation = "T-Life";
  names.seal = "T-Seal";
  names.not_run = "T-Not-Run";
  return names;
}

Route route_of(const std::string& name, bool is_repeatable, bool is_streaming) {
  Route route;
  route.name = name;
  route.host = "front.example";
  route.path_prefix = "/" + name + "/";
  route.is_repeatable = is_repeatable;
  route.is_streaming = is_streaming;
  route.is_resumable = is_streaming && is_repeatable;
  route.deadline_ms = 6000;
  route.target_ms = is_repeatable ? 400 : 4000;
  route.gap_ms = 400;
  route.max_sends = 3;
  route.pools.push_back({PoolName{"p"}, 1});
  return route;
}

RelayUnderTest::RelayUnderTest(std::uint16_t runner_port) : port_(free_port()) {
  snapshot_.put(view_of(runner_port), Grant{});
  relay_ = std::make_unique<RoutedRelay>(fuzz_settings(), relay_header_names(), snapshot_,
                                         "127.0.0.1:" + std::to_string(port_));
  if (auto opened = relay_->open(); !opened.ok())
    throw std::runtime_error(std::string(opened.message()));
}

RelayUnderTest::~RelayUnderTest() { relay_->stop(Duration{3000}); }

}  // namespace emberdale_test
