#include "emberdale/lease_manager.hpp"

#include "emberdale/register_proposer.hpp"
#include "emberdale/store_seat.hpp"

namespace emberdale {
namespace {

constexpr std::size_t max_pending_reads = 32;
constexpr Duration register_silence{700};  // without a renewal for so long the master is asked as well

}  // namespace

void LeaseManager::learn_acceptors(const std::vector<AcceptorEntry>& acceptors) {
  if (acceptors_.empty())
    acceptors_ = acceptors;
}

// A response that comes later than the grant would last is of no use.
void LeaseManager::drop_expired_reads(TimePoint now) {
  while (pending_reads_.size() > max_pending_reads || pending_reads_.begin()->second.sent_at + grant_length <= now)
    pending_reads_.erase(pending_reads_.begin());
}

void LeaseManager::request_lease(TimePoint now, const Address& master) {
  std::int64_t request_id = ++last_request_id_;
  pending_reads_[request_id] = PendingRead{};
  pending_reads_[request_id].sent_at = now;
  drop_expired_reads(now);
  std::set<Address> replicas;
  for (const auto& entry : acceptors_)
    replicas.insert(entry.address);
  for (const auto& entry : next_acceptors_)
    replicas.insert(entry.address);
  for (const auto& replica : replicas)
    outbound_.push_back({replica, ReadRequest{request_id, DaemonRole::data, Ballot{}, false, false}});
  bool is_register_silent = grant_.until - now < Duration{grant_length.value - register_silence.value};
  if (is_register_silent && !master.empty())
    outbound_.push_back({master, LeaseRequest{request_id}});
}

void LeaseManager::extend_grant(TimePoint sent_at, const MapVersion& minimum_version) {
  TimePoint until = sent_at + grant_length;
  if (grant_.until < until)
    grant_.until = until;
  if (grant_.minimum_version < minimum_version)
    grant_.minimum_version = minimum_version;
}

void LeaseManager::on_lease_grant(const LeaseGrant& lease_grant, const MapVersion& own_version) {
  auto entry = pending_reads_.find(lease_grant.request_id);
  if (entry == pending_reads_.end())
    return;
  const MapVersion& minimum_version = lease_grant.minimum_version;
  if (own_version.term != minimum_version.term || own_version < minimum_version)
    return;
  ++lease_granted_;
  extend_grant(entry->second.sent_at, minimum_version);
}

void LeaseManager::on_response(const ReadResponse& response, const MapVersion& own_version, TimePoint) {
  auto entry = pending_reads_.find(response.request_id);
  if (entry == pending_reads_.end() || response.blank)
    return;
  PendingRead& read = entry->second;
  read.responded.insert(response.store);
  read.responded.insert(seat_of(response.store));  // the set may name the store by its seat
  if (read.minimum_version < response.minimum_version)
    read.minimum_version = response.minimum_version;
  if (read.highest < response.accepted) {
    read.highest = response.accepted;
    read.acceptors = response.acceptors;
    read.next_acceptors = response.next_acceptors;
    acceptors_ = response.acceptors;
    next_acceptors_ = response.next_acceptors;
  }
  evaluate(read, own_version);
}

void LeaseManager::evaluate(PendingRead& read, const MapVersion& own_version) {
  if (read.is_proven || !has_majority(read.acceptors, read.next_acceptors, read.responded))
    return;
  if (own_version < read.minimum_version || read.minimum_version == MapVersion{}) {
    ++behind_;
    if (!outdated_since_ && own_version < read.minimum_version)
      outdated_since_ = read.sent_at;
    return;
  }
  read.is_proven = true;
  outdated_since_.reset();
  ++renewed_;
  extend_grant(read.sent_at, read.minimum_version);
}

void LeaseManager::on_version(const MapVersion& own_version) {
  for (auto& [request_id, read] : pending_reads_)
    evaluate(read, own_version);
}

std::vector<OutboundMessage> LeaseManager::drain_outbound() { return std::exchange(outbound_, {}); }

}  // namespace emberdale
