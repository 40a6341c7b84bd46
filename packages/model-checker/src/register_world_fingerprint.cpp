// The fingerprint by which a search knows a register world again.
#include <algorithm>

#include "register_world_nodes.hpp"

namespace emberdale {

// With one set of acceptors throughout, they differ only by their names: any two may be exchanged.
bool RegisterWorld::is_symmetric() const {
  return scenario_->spares == 0 && !is_blank_at_start() &&
         std::none_of(scenario_->orders.begin(), scenario_->orders.end(), [](OrderKind kind) {
           return kind == OrderKind::replace_member || kind == OrderKind::finish_change;
         });
}

std::uint64_t RegisterWorld::fingerprint_of(const InFlightMessage& sent) const {
  std::size_t proposer = std::max(sent.from, sent.to) - acceptor_count();
  RequestClass ask = StateInspector::request_class(proposers_[proposer]->machine, request_id_of(*sent.message));
  return Fingerprint().add(sent.print).add(proposer).add(static_cast<std::uint64_t>(ask)).value();
}

void RegisterWorld::drop_messages_without_effect() {
  auto is_without_effect = [&](const InFlightMessage& sent) {
    if (sent.to < acceptor_count()) {
      const StoreId* store = addressed_store(*sent.message);
      if (store != nullptr)
        return *store != acceptors_[sent.to]->machine.store();
      const RegisterProposer& asker = proposers_[sent.from - acceptor_count()]->machine;
      return StateInspector::request_class(asker, request_id_of(*sent.message)) == RequestClass::stale;
    }
    const RegisterProposer& asker = proposers_[sent.to - acceptor_count()]->machine;
    return StateInspector::request_class(asker, request_id_of(*sent.message)) == RequestClass::stale &&
           !needs_more(*sent.message);
  };
  in_flight_.erase(std::remove_if(in_flight_.begin(), in_flight_.end(), is_without_effect), in_flight_.end());
}

std::uint64_t RegisterWorld::fingerprint() const {
  std::vector<std::vector<std::uint64_t>> messages(acceptors_.size());
  for (const auto& sent : in_flight_) {
    bool is_ask = sent.to < acceptor_count();
    messages[is_ask ? sent.to : sent.from].push_back(fingerprint_of(sent));
  }
  std::vector<std::uint64_t> parts;
  for (std::size_t i = 0; i < acceptors_.size(); ++i) {
    Fingerprint part;
    part.add(acceptors_[i]->print).add(static_cast<std::uint64_t>(acceptors_[i]->incarnation));
    for (const auto& proposer : proposers_)
      part.add(proposer->print.per_acceptor[i]);
    std::sort(messages[i].begin(), messages[i].end());
    for (std::uint64_t fingerprint : messages[i])
      part.add(fingerprint);
    parts.push_back(part.value());
  }
  if (is_symmetric())
    std::sort(parts.begin(), parts.end());
  Fingerprint whole;
  for (std::uint64_t part : parts)
    whole.add(part);
  for (const auto& proposer : proposers_) {
    whole.add(proposer->print.own).add(proposer->arguments.value()).add(static_cast<std::uint64_t>(proposer->won_term));
    whole.add(static_cast<std::uint64_t>(proposer->seen_version)).add(static_cast<std::uint64_t>(proposer->seen_term));
    whole.add(static_cast<std::uint64_t>(proposer->read_floor)).add(static_cast<std::uint64_t>(proposer->incarnation));
  }
  for (const auto* orders : {&started_, &ended_}) {
    whole.add(orders->size());
    for (std::size_t order : *orders)
      whole.add(order);
  }
  for (int left : {budget_left_.timers, budget_left_.polls, budget_left_.duplicates, budget_left_.restarts,
                   budget_left_.wipes, budget_left_.proposer_restarts, budget_left_.give_ups})
    whole.add(static_cast<std::uint64_t>(left));
  for (const auto& [version, print] : history_->values)
    whole.add(static_cast<std::uint64_t>(version)).add(print);
  for (const auto& [order, version] : history_->acknowledged)
    whole.add(static_cast<std::uint64_t>(order)).add(static_cast<std::uint64_t>(version));
  for (int order : history_->refused)
    whole.add(static_cast<std::uint64_t>(order));
  whole.add(static_cast<std::uint64_t>(history_->newest.version));
  return whole.value();
}

}  // namespace emberdale
