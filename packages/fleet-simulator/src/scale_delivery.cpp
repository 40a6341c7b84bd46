// The links of the scale runs: every message is charged to its sender and its receiver, and travels in virtual time.
#include <memory>

#include "emberdale/avro_codec.hpp"
#include "scale_clock.hpp"
#include "scale_runs.hpp"

namespace emberdale::scale {
namespace {

constexpr std::size_t most_known_maps = 64;
constexpr std::int64_t decoded_every = 16;  // one message in so many is decoded for its time
constexpr std::int64_t length_prefix_bytes = 4;

ScaleFleet::EncodingCost encode_for_cost(const Message& message) {
  ScaleFleet::EncodingCost cost;
  cost.ns =
      time_of([&] { cost.bytes = static_cast<std::int64_t>(encode_message(message).size()) + length_prefix_bytes; });
  return cost;
}

}  // namespace

bool ScaleFleet::is_cut(std::size_t one, std::size_t other) const {
  if (cut_off_.empty())
    return false;
  return (daemons_[one].region == cut_off_) != (daemons_[other].region == cut_off_);
}

std::int64_t ScaleFleet::travel(std::size_t from, std::size_t to) {
  std::int64_t wait = daemons_[from].region == daemons_[to].region ? 1 : 12;
  return wait + random_.below(wait + 1);
}

// The same map for every follower is encoded once here; each send is charged for it, as the links do it.
ScaleFleet::EncodingCost ScaleFleet::encoding_cost(std::size_t from, const Message& message) {
  const auto* update = std::get_if<PlacementUpdate>(&message);
  if (update == nullptr)
    return encode_for_cost(message);
  auto& known = known_maps_[{daemons_[from].address, update->map.version}];
  if (known.bytes != 0)
    return known;
  known = encode_for_cost(message);
  EncodingCost cost = known;
  while (known_maps_.size() > most_known_maps)
    known_maps_.erase(known_maps_.begin());
  return cost;
}

void ScaleFleet::charge_sender(std::size_t from, std::size_t kind, const EncodingCost& cost) {
  auto& at = counts_.daemons[from];
  ++at.out;
  at.bytes_out += cost.bytes;
  at.codec_ns += cost.ns;
  ++counts_.messages;
  counts_.bytes += cost.bytes;
  auto& counter = counts_.encoded[kind];
  ++counter.number;
  counter.bytes += cost.bytes;
  counter.ns += cost.ns;
}

void ScaleFleet::deliver(std::size_t from, const Address& to, Message message) {
  auto entry = by_address_.find(to);
  if (entry == by_address_.end())
    return;
  std::size_t target = entry->second;
  Delivery delivery;
  delivery.from = from;
  delivery.target = target;
  delivery.sender_incarnation = daemons_[from].incarnation;
  delivery.sender_role = role(from);
  if (target != from) {
    EncodingCost cost = encoding_cost(from, message);
    charge_sender(from, message.index(), cost);
    delivery.bytes = cost.bytes;
    if (is_cut(from, target) || !daemons_[target].has_power)
      return;
  }
  delivery.message = std::make_shared<Message>(std::move(message));
  later(target == from ? 0 : travel(from, target), [this, delivery = std::move(delivery)] { arrive(delivery); });
}

void ScaleFleet::arrive(const Delivery& delivery) {
  Daemon& daemon = daemons_[delivery.target];
  if (!daemon.is_up) {
    refuse(delivery);
    return;
  }
  if (delivery.target != delivery.from)
    charge_receiver(delivery);
  timed(delivery.target, delivery.message->index(), [&] {
    if (daemon.control)
      daemon.control->on_message(daemons_[delivery.from].address, *delivery.message, clock(daemon));
    else
      daemon.data->on_message(daemons_[delivery.from].address, *delivery.message, clock(daemon));
  });
  flush(delivery.target);
}

// A machine that is there, and on which no process listens, says so at once; one without power says nothing.
void ScaleFleet::refuse(const Delivery& delivery) {
  const Daemon& daemon = daemons_[delivery.target];
  if (!daemon.has_power || is_cut(delivery.from, delivery.target))
    return;
  later(travel(delivery.target, delivery.from),
        [this, from = delivery.from, incarnation = delivery.sender_incarnation, gone = daemon.address] {
          Daemon& sender = daemons_[from];
          if (sender.incarnation != incarnation)
            return;
          if (sender.control)
            sender.control->on_refused(gone, clock(sender));
          else
            sender.data->on_refused(gone, clock(sender));
          flush(from);
        });
}

void ScaleFleet::charge_receiver(const Delivery& delivery) {
  std::size_t kind = delivery.message->index();
  auto& counter =
      counts_
          .sent[static_cast<std::size_t>(delivery.sender_role)][static_cast<std::size_t>(role(delivery.target))][kind];
  ++counter.number;
  counter.bytes += delivery.bytes;
  auto& at = counts_.daemons[delivery.target];
  ++at.in;
  at.bytes_in += delivery.bytes;
  at.codec_ns += decoding_ns(kind, delivery);
}

// Some messages of each kind are decoded for their time; the others are charged by their bytes.
std::int64_t ScaleFleet::decoding_ns(std::size_t kind, const Delivery& delivery) {
  auto& decoded = counts_.decoded[kind];
  if (++decoded.number % decoded_every == 1) {
    std::string bytes = encode_message(*delivery.message);
    decoded.ns += time_of([&] { decode_message(bytes); });
    decoded.bytes += delivery.bytes;
  }
  if (decoded.bytes == 0)
    return 0;
  double ns_a_byte = static_cast<double>(decoded.ns) / static_cast<double>(decoded.bytes);
  return static_cast<std::int64_t>(ns_a_byte * static_cast<double>(delivery.bytes));
}

void ScaleFleet::probe(std::size_t index, const ProbeRequest& probe) {
  bool is_there = down_.count(probe.runner.text) == 0;
  later(is_there ? 4 : 2, [this, index, is_there, runner = probe.runner, incarnation = daemons_[index].incarnation] {
    Daemon& daemon = daemons_[index];
    if (daemon.incarnation != incarnation)
      return;
    RunnerStatus status;
    status.name = runner;
    status.is_reachable = is_there;
    status.incarnation = 1;
    status.capacity = 8;
    status.allowance = 2;
    status.load = shape_.is_busy
                      ? static_cast<std::int64_t>(stable_hash(runner.text, static_cast<std::uint64_t>(now_ / 1000)) % 6)
                      : 0;
    timed(index, message_kinds + 1, [&] { daemon.control->on_probe(status, clock(daemon)); });
    flush(index);
  });
}

}  // namespace emberdale::scale
