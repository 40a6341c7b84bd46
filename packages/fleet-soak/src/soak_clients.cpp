#include "soak_clients.hpp"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "emberdale/program_settings.hpp"
#include "plain_http.hpp"

namespace emberdale::soak {
namespace {

using Json = nlohmann::json;

constexpr int clients = 48;
constexpr Duration connect_timeout{1000};
constexpr Duration patience{8000};  // of a client that stays
constexpr std::int64_t shortest_gap_ms = 20, gap_spread_ms = 300;
constexpr std::int64_t shortest_service_ms = 100, service_spread_ms = 2500;
constexpr std::int64_t fewest_pieces = 10, pieces_spread = 50;
constexpr std::int64_t leaving_spread_ms = 1500, stream_leaving_spread_ms = 600;
constexpr std::int64_t unread_ms = 3000;
constexpr std::int64_t openings = 40;
constexpr std::size_t opening_bytes = 3000;
constexpr double breaking_share = 0.05;  // runs whose runner loses the answer
constexpr double flooding_share = 0.02;  // runs whose answer has no end

enum class Behaviour {
  stays,
  leaves_within_head,
  leaves_within_body,
  leaves_while_it_waits,
  leaves_within_stream,
  never_reads
};

// Of a hundred calls, how many behave in each way; the rest stays.
struct BehaviourShare {
  Behaviour behaviour;
  std::int64_t of_hundred;
};
constexpr BehaviourShare behaviour_shares[] = {{Behaviour::leaves_within_head, 8},
                                               {Behaviour::leaves_within_body, 8},
                                               {Behaviour::leaves_while_it_waits, 34},
                                               {Behaviour::leaves_within_stream, 14},
                                               {Behaviour::never_reads, 4}};

Behaviour draw_behaviour(RandomGenerator& random) {
  std::int64_t drawn = random.below(100);
  for (const auto& share : behaviour_shares) {
    if (drawn < share.of_hundred)
      return share.behaviour;
    drawn -= share.of_hundred;
  }
  return Behaviour::stays;
}

// A call as it was drawn, before it is sent.
struct PlannedCall {
  CallRecord record;
  std::string address, request;
  std::size_t sent_bytes = 0;  // of the request, before the client leaves or waits
  Behaviour behaviour = Behaviour::stays;
  Duration leaving_after;
  bool leaves_by_reset = false;
};

Json draw_body(bool is_stream, RandomGenerator& random) {
  std::string opening = "opening " + std::to_string(random.below(openings)) + " ";
  opening.resize(opening_bytes, 'm');
  Json body{{"opening", opening}, {"breaks", random.chance(breaking_share)}, {"floods", random.chance(flooding_share)}};
  if (is_stream)
    body["pieces"] = fewest_pieces + random.below(pieces_spread);
  else
    body["service_ms"] = shortest_service_ms + random.below(service_spread_ms);
  return body;
}

const ProcessAddress& draw_gateway(const std::vector<ProcessAddress>& gateways, RandomGenerator& random) {
  return gateways[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(gateways.size())))];
}

PlannedCall draw_call(const SoakFace& face, const ProcessAddress& gateway, const std::string& id,
                      RandomGenerator& random) {
  PlannedCall call;
  call.behaviour = draw_behaviour(random);
  bool is_stream = call.behaviour == Behaviour::leaves_within_stream || random.chance(0.2);
  call.record.is_repeatable = !is_stream && random.chance(0.25);
  call.record.id = id;
  call.record.daemon = gateway.name;
  call.address = gateway.http;
  CallNature nature{id, gateway.region, is_stream, call.record.is_repeatable};
  call.request = face.call_request(nature, draw_body(is_stream, random).dump());
  std::size_t head_size = call.request.find("\r\n\r\n") + 4;
  call.sent_bytes = call.request.size();
  if (call.behaviour == Behaviour::leaves_within_head)
    call.sent_bytes = head_size / 2;
  if (call.behaviour == Behaviour::leaves_within_body)
    call.sent_bytes = (head_size + call.request.size()) / 2;
  call.record.is_whole = call.sent_bytes == call.request.size();
  bool leaves_early = call.behaviour != Behaviour::leaves_while_it_waits;
  call.leaving_after = Duration{random.below(leaves_early ? stream_leaving_spread_ms : leaving_spread_ms)};
  call.leaves_by_reset = random.chance(0.5);
  return call;
}

CallOutcome outcome_of(const SoakFace& face, const Message& response) {
  if (!response.is_complete())
    return CallOutcome::other;
  if (face.says_not_run(response))
    return CallOutcome::refused;
  return response.word(1) == "200" ? CallOutcome::served : CallOutcome::other;
}

void leave(PlannedCall& call, Connection& connection) {
  if (call.leaves_by_reset)
    connection.reset();
  else
    connection.close();
  call.record.left_at = steady_now();
  call.record.outcome = CallOutcome::left;
}

// When the client closes the connection, as far as that is known before the response has begun.
std::optional<TimePoint> leaving_time(const PlannedCall& call) {
  TimePoint now = steady_now();
  if (call.behaviour == Behaviour::never_reads)
    return now + Duration{unread_ms};
  if (call.behaviour == Behaviour::stays || call.behaviour == Behaviour::leaves_within_stream)
    return std::nullopt;
  return now + call.leaving_after;
}

// Reads the response, unless the client leaves first.
void receive(const SoakFace& face, PlannedCall& call, Connection& connection) {
  std::optional<TimePoint> leaves_at = leaving_time(call);
  if (call.behaviour == Behaviour::never_reads) {
    std::this_thread::sleep_for(std::chrono::milliseconds(unread_ms));
    return leave(call, connection);
  }
  TimePoint patience_ends = steady_now() + patience;
  Message response;
  for (;;) {
    ReadResult result = response.read_once(connection, leaves_at.value_or(patience_ends));
    if (response.is_complete() || (result == ReadResult::closed && response.has_head())) {
      call.record.outcome = outcome_of(face, response);
      return;
    }
    if (result == ReadResult::closed)
      return;  // the daemon is gone: the call stays unreachable
    if (result == ReadResult::timeout || steady_now() > leaves_at.value_or(patience_ends)) {
      leave(call, connection);
      if (!leaves_at)
        call.record.outcome = CallOutcome::unanswered;
      return;
    }
    if (call.behaviour == Behaviour::leaves_within_stream && response.has_body_bytes() && !leaves_at)
      leaves_at = steady_now() + call.leaving_after;
  }
}

std::unique_ptr<Connection> open_connection(const std::string& address) {
  auto opened = Connection::open(address, connect_timeout);
  return opened ? std::make_unique<Connection>(std::move(*opened)) : nullptr;
}

// Makes the call on the kept connection if there is one, else on a new one. Gives the connection where it may serve
// another call: it is used until the daemon closes it, whatever the daemon asks for.
std::unique_ptr<Connection> make_call(const SoakFace& face, PlannedCall& call, std::unique_ptr<Connection> kept) {
  call.record.begun = steady_now();
  call.record.outcome = CallOutcome::unreachable;
  call.record.is_on_kept_connection = kept != nullptr;
  std::unique_ptr<Connection> connection = kept ? std::move(kept) : open_connection(call.address);
  if (!connection)
    return nullptr;
  if (call.behaviour == Behaviour::never_reads)
    connection->shrink_receive_buffer();
  if (connection->send(call.request.substr(0, call.sent_bytes), steady_now() + patience))
    receive(face, call, *connection);
  bool has_whole_response = call.record.outcome == CallOutcome::served || call.record.outcome == CallOutcome::refused;
  return has_whole_response ? std::move(connection) : nullptr;
}

}  // namespace

SoakClients::SoakClients(const SoakFace& face, std::vector<ProcessAddress> gateways, std::uint64_t seed)
    : face_(face), gateways_(std::move(gateways)) {
  for (int number = 0; number < clients; ++number)
    threads_.emplace_back(
        [this, number, seed] { run_client(number, seed * clients + static_cast<std::uint64_t>(number)); });
}

std::vector<CallRecord> SoakClients::stop() {
  is_over_ = true;
  for (auto& thread : threads_)
    thread.join();
  threads_.clear();
  return calls_;
}

void SoakClients::run_client(int number, std::uint64_t seed) {
  RandomGenerator random(seed);
  bool keeps_connections = number % 2 == 0;
  std::unique_ptr<Connection> kept;
  ProcessAddress gateway;
  for (int count = 0; !is_over_; ++count) {
    if (!kept)
      gateway = draw_gateway(gateways_, random);
    PlannedCall call =
        draw_call(face_, gateway, "call-" + std::to_string(number) + "-" + std::to_string(count), random);
    kept = make_call(face_, call, std::move(kept));
    if (!keeps_connections)
      kept.reset();
    call.record.ended = steady_now();
    {
      std::lock_guard<std::mutex> lock(mutex_);
      calls_.push_back(call.record);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(shortest_gap_ms + random.below(gap_spread_ms)));
  }
}

}  // namespace emberdale::soak
