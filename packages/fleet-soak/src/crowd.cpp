#include "crowd.hpp"

#include <chrono>
#include <deque>
#include <utility>

#include "emberdale/program_settings.hpp"
#include "plain_http.hpp"

namespace emberdale::soak {
namespace {

constexpr Duration connect_timeout{100}, send_timeout{10};
constexpr std::chrono::milliseconds pause{20};
constexpr int opened_at_a_time = 100;
constexpr double talking_share = 0.3;  // send a part of a head
constexpr double reset_share = 0.5;
constexpr std::int64_t shortest_life_ms = 200, life_spread_ms = 5000;
const char* const part_of_a_head = "GET /v1/con";

struct Member {
  Connection connection;
  TimePoint leaves_at;
};

}  // namespace

Crowd::Crowd(std::string address, std::size_t connections, std::uint64_t seed)
    : address_(std::move(address)), connections_(connections), thread_([this, seed] { run(RandomGenerator(seed)); }) {}

Crowd::~Crowd() {
  is_over_ = true;
  thread_.join();
}

void Crowd::run(RandomGenerator random) {
  std::deque<Member> members;
  while (!is_over_) {
    for (int opened = 0; opened < opened_at_a_time && members.size() < connections_ && !is_over_; ++opened) {
      auto connection = Connection::open(address_, connect_timeout);
      if (!connection)
        break;  // there is no process, or no room
      if (random.chance(talking_share))
        connection->send(part_of_a_head, steady_now() + send_timeout);
      TimePoint leaves_at = steady_now() + Duration{shortest_life_ms + random.below(life_spread_ms)};
      members.push_back({std::move(*connection), leaves_at});
    }
    for (std::size_t left = members.size(); left > 0; --left) {
      Member member = std::move(members.front());
      members.pop_front();
      if (steady_now() < member.leaves_at)
        members.push_back(std::move(member));
      else if (random.chance(reset_share))
        member.connection.reset();
    }
    std::this_thread::sleep_for(pause);
  }
}

}  // namespace emberdale::soak
