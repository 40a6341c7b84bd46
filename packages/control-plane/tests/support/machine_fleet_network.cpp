// The messages between the machines of a simulated fleet.
#include "emberdale/avro_codec.hpp"
#include "machine_fleet.hpp"

namespace emberdale {

void MachineFleet::heal() {
  cuts_.clear();
  release_retained();
}

// Messages that still meet a cut or a frozen process are retained again.
void MachineFleet::release_retained() {
  for (auto& retained : std::exchange(retained_, {}))
    send(retained.from, retained.to, std::move(retained.message));
}

void MachineFleet::send(const std::string& from, const Address& to, Message message) {
  if (on_send)
    on_send(from, to, message);
  auto target = names_by_address_.find(to);
  if (target == names_by_address_.end())
    return;
  const std::string receiver = target->second;
  if (cuts_.is_cut(at(from), at(receiver))) {
    if (retains_undelivered)
      retained_.push_back({from, to, std::move(message)});
    return;
  }
  if (from != receiver && random_.chance(loss))
    return;
  std::int64_t delay_ms = from == receiver ? 0 : delay + random_.below(delay + 1);
  auto shared = std::make_shared<Message>(std::move(message));
  later(delay_ms, [this, from, to, receiver, shared] { receive(from, to, receiver, shared); });
}

void MachineFleet::receive(const std::string& from, const Address& to, const std::string& receiver,
                           const std::shared_ptr<Message>& message) {
  Machine& machine = at(receiver);
  if (!machine.is_up) {
    refuse_connection(from, to, machine);
    return;
  }
  if (machine.is_frozen && retains_undelivered) {
    retained_.push_back({from, to, std::move(*message)});
    return;
  }
  if (machine.is_frozen && !machine.buffers_while_frozen)
    return;
  if (counts_bytes && from != receiver)
    machine.bytes_received += static_cast<std::int64_t>(encode_message(*message).size());
  auto handle_message = [this, receiver, sender = at(from).address, message, incarnation = machine.incarnation] {
    if (!runs(receiver, incarnation))
      return;
    Machine& target = at(receiver);
    target.control->on_message(sender, *message, clock(target));
    flush(target);
  };
  if (machine.is_frozen)
    machine.buffered_messages.push_back(handle_message);
  else
    handle_message();
}

// The system of a machine whose process has ended refuses connections, if it has power and can be reached.
void MachineFleet::refuse_connection(const std::string& from, const Address& to, const Machine& receiver) {
  Machine& sender = at(from);
  if (!receiver.has_power || cuts_.is_cut(receiver, sender) || !sender.is_up || sender.is_frozen)
    return;
  sender.control->on_refused(to, clock(sender));
  flush(sender);
}

}  // namespace emberdale
