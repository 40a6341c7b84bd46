// Messages between the machines of a register world: their text in traces, and what of them matters.
#include "emberdale/avro_codec.hpp"
#include "register_world_nodes.hpp"

namespace emberdale {
namespace {

std::string show(const Ballot& ballot) { return std::to_string(ballot.number) + "/" + ballot.proposer.text; }

std::string show_value(const Bytes& value) {
  auto state = decode_state(value.data);
  if (value.data.empty() || !state)
    return "no value";
  std::string text = "version " + std::to_string(state->version);
  if (state->term > 0)
    text += " term " + std::to_string(state->term) + " of " + state->master.text;
  for (const auto& done : state->completed_changes)
    text += " " + done.change_id;
  if (!state->next_acceptors.empty())
    text += " (joint change)";
  return "[" + text + "]";
}

}  // namespace

std::uint64_t fingerprint_of_message(const Message& message) {
  Fingerprint print;
  print.add(message.index());
  if (const auto* prepare = std::get_if<Prepare>(&message))
    print.add(prepare->ballot).add(prepare->known_ballot).add(incarnation_of(prepare->store));
  if (const auto* promise = std::get_if<Promise>(&message))
    print.add(promise->granted ? 1 : 0)
        .add(promise->promised)
        .add(promise->accepted)
        .add(promise->value.data)
        .add(incarnation_of(promise->store));
  if (const auto* accept = std::get_if<Accept>(&message))
    print.add(accept->ballot).add(accept->value.data).add(incarnation_of(accept->store));
  if (const auto* accepted = std::get_if<Accepted>(&message))
    print.add(accepted->granted ? 1 : 0).add(accepted->promised).add(incarnation_of(accepted->store));
  if (const auto* request = std::get_if<ReadRequest>(&message))
    print.add(request->known_ballot);
  if (const auto* response = std::get_if<ReadResponse>(&message))
    print.add(response->accepted).add(response->base).add(response->value.data).add(incarnation_of(response->store));
  return print.value();
}

std::int64_t request_id_of(const Message& message) {
  return std::visit(
      [](const auto& body) -> std::int64_t {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, Prepare> || std::is_same_v<Body, Promise> || std::is_same_v<Body, Accept> ||
                      std::is_same_v<Body, Accepted> || std::is_same_v<Body, ReadRequest> ||
                      std::is_same_v<Body, ReadResponse>)
          return body.request_id;
        return 0;
      },
      message);
}

const StoreId* addressed_store(const Message& message) {
  if (const auto* prepare = std::get_if<Prepare>(&message))
    return &prepare->store;
  if (const auto* accept = std::get_if<Accept>(&message))
    return &accept->store;
  return nullptr;
}

std::string show(const Message& message) {
  if (const auto* prepare = std::get_if<Prepare>(&message))
    return "Prepare " + show(prepare->ballot);
  if (const auto* promise = std::get_if<Promise>(&message))
    return (promise->granted ? "Promise " : "refusal of a promise, promised ") + show(promise->promised) +
           (promise->granted ? " having accepted " + show(promise->accepted) + " " + show_value(promise->value) : "");
  if (const auto* accept = std::get_if<Accept>(&message))
    return "Accept " + show(accept->ballot) + " " + show_value(accept->value);
  if (const auto* accepted = std::get_if<Accepted>(&message))
    return (accepted->granted ? "Accepted " : "refusal of an accept, promised ") + show(accepted->promised);
  if (std::holds_alternative<ReadRequest>(message))
    return "ReadAsk";
  if (const auto* response = std::get_if<ReadResponse>(&message))
    return "ReadAnswer with " + show(response->accepted);
  return "message of kind " + std::to_string(message.index());
}

bool needs_more(const Message& message) {
  const auto* accepted = std::get_if<Accepted>(&message);
  return accepted != nullptr && accepted->needs_full_value;
}

}  // namespace emberdale
