// A replica of the register: what it promises, accepts and tells readers.
#include "emberdale/register_acceptor.hpp"

#include "emberdale/avro_codec.hpp"
#include "emberdale/content_digest.hpp"
#include "emberdale/store_seat.hpp"
#include "emberdale/value_delta.hpp"

namespace emberdale {
namespace {

// A proposer waits for less than a second: with so many writes before it, its response would come too late. The limits
// also bound the memory that a stalled disk takes.
constexpr std::size_t max_unsynced_writes = 64;
constexpr std::size_t max_unsynced_bytes = 8 << 20;

}  // namespace

Outcome<bool> RegisterAcceptor::restore(const std::vector<std::string>& records) {
  // A record without a value names the ballot of the value it stands on: a write that the disk
  // refused half-way, and that no response was sent for, must not slip in between.
  std::map<Ballot, Bytes> values{{Ballot{}, Bytes{}}};
  AcceptorRecord newest;
  FleetState state;
  for (const auto& bytes : records) {
    auto record = decode_acceptor_record(bytes);
    if (!record)
      return failure(record.reason);
    if (record->has_value && record->accepted != Ballot{}) {
      auto value = decode_state(record->value.data);
      if (!value)
        return failure(value.reason);
      if (!state.fleet_name.empty() && value->fleet_name != state.fleet_name)
        return failure("the log holds a value of '" + value->fleet_name + "' after one of '" + state.fleet_name + "'");
      values[record->accepted] = record->value;
      state = std::move(*value);
    } else {
      auto stands_on = values.find(record->accepted);
      if (stands_on == values.end())
        return failure("a promise stands on a value that is not in the log");
      record->value = stands_on->second;
    }
    newest = std::move(*record);
  }
  if (newest.accepted != Ballot{})
    state = *decode_state(newest.value.data);  // the newest record may stand on an older value
  synced_ = latest_ = std::move(newest);
  state_ = std::move(state);
  return true;
}

void RegisterAcceptor::write(AcceptorRecord after, std::optional<FleetState> state, OutboundMessage response) {
  latest_ = after;
  AcceptorRecord stored = after;
  stored.has_value = state.has_value();
  if (!stored.has_value)
    stored.value = Bytes{};
  std::string record = encode_acceptor_record(stored);
  unsynced_bytes_ += record.size();
  pending_writes_.push_back({++last_token_, std::move(after), std::move(state), std::move(response), record.size()});
  writes_.push_back({last_token_, std::move(record)});
}

bool RegisterAcceptor::is_backlogged() {
  if (pending_writes_.size() < max_unsynced_writes && unsynced_bytes_ < max_unsynced_bytes)
    return false;
  ++dropped_;
  return true;
}

bool RegisterAcceptor::on_message(const Address& from, const Message& message, TimePoint now) {
  if (!listening_since_)
    listening_since_ = now;
  return std::visit([&](const auto& body) { return handle(from, body, now); }, message);
}

bool RegisterAcceptor::handle(const Address& from, const Prepare& prepare, TimePoint) {
  on_prepare(from, prepare);
  return true;
}

bool RegisterAcceptor::handle(const Address& from, const Accept& accept, TimePoint) {
  on_accept(from, accept);
  return true;
}

bool RegisterAcceptor::handle(const Address& from, const ReadRequest& read, TimePoint now) {
  on_read(from, read, now);
  return true;
}

bool RegisterAcceptor::handle(const Address& from, const BootstrapRequest& request, TimePoint) {
  on_bootstrap_request(from, request);
  return true;
}

void RegisterAcceptor::on_prepare(const Address& from, const Prepare& prepare) {
  if (!answers_to(store_, prepare.store) || is_backlogged())
    return;  // meant for the store that was here before
  auto fault = check_ballot_step(prepare.ballot, latest_.promised);
  if (!fault && prepare.ballot.proposer != from)
    fault = InvalidInput::ballot_of_another;
  if (fault)
    return refusals_.add(from, *fault, "Prepare with ballot " + std::to_string(prepare.ballot.number));
  if (prepare.ballot < latest_.promised || prepare.ballot == latest_.promised) {
    out_.push_back({from, Promise{prepare.request_id, prepare.store, false, latest_.promised, Ballot{}, Bytes{}}});
    return;
  }
  AcceptorRecord after = latest_;
  after.promised = prepare.ballot;
  bool is_known = prepare.known_ballot == latest_.accepted;
  Promise promise{prepare.request_id, prepare.store,    true,
                  prepare.ballot,     latest_.accepted, is_known ? Bytes{} : latest_.value};
  write(after, std::nullopt, {from, std::move(promise)});
}

void RegisterAcceptor::on_accept(const Address& from, const Accept& accept) {
  if (!answers_to(store_, accept.store) || is_backlogged())
    return;
  if (auto fault = check_ballot_step(accept.ballot, latest_.promised))
    return refusals_.add(from, *fault, "Accept with ballot " + std::to_string(accept.ballot.number));
  if (accept.ballot < latest_.promised) {
    out_.push_back({from, Accepted{accept.request_id, accept.store, false, latest_.promised}});
    return;
  }
  OutboundMessage response{from, Accepted{accept.request_id, accept.store, true, accept.ballot}};
  if (accept.ballot == latest_.accepted) {  // a copy that is already here, or on its way to disk
    if (pending_writes_.empty())
      out_.push_back(std::move(response));
    else
      write(latest_, std::nullopt, std::move(response));
    return;
  }
  auto value = decode_value(accept);
  if (!value) {
    out_.push_back({from, Accepted{accept.request_id, accept.store, false, accept.ballot, true}});
    return;
  }
  auto checked = check_value(*value, accept.ballot, state_.fleet_name);
  if (checked.fault)
    return refusals_.add(from, *checked.fault, "Accept: " + checked.detail);
  write({accept.ballot, true, accept.ballot, std::move(*value)}, std::move(checked.state), std::move(response));
}

std::optional<Bytes> RegisterAcceptor::decode_value(const Accept& accept) const {
  if (accept.base == Ballot{})
    return accept.value;
  if (accept.base != latest_.accepted)
    return std::nullopt;
  auto whole = apply_delta(latest_.value.data, accept.value.data);
  if (!whole || content_digest_bytes(*whole) != accept.digest.data)
    return std::nullopt;
  return Bytes{std::move(*whole)};
}

void RegisterAcceptor::on_read(const Address& from, const ReadRequest& read, TimePoint now) {
  if (read.role == DaemonRole::edge)
    last_heard_[from] = now;
  ReadResponse response;
  response.request_id = read.request_id;
  response.store = store_;
  response.blank = is_blank();
  response.accepted = synced_.accepted;
  response.minimum_version = state_.minimum_version;
  response.acceptors = state_.acceptors;
  response.next_acceptors = state_.next_acceptors;
  response.uptime_ms = (now - *listening_since_).value;
  if (read.role != DaemonRole::data && !read.ballots_only && read.known_ballot != synced_.accepted)
    add_value(read.known_ballot, response);
  if (read.wants_contacts)
    for (const auto& [daemon, heard_at] : last_heard_)
      response.contacts.push_back({daemon, (now - heard_at).value});
  out_.push_back({from, std::move(response)});
}

void RegisterAcceptor::add_value(const Ballot& known, ReadResponse& response) {
  bool holds_previous = known != Ballot{} && known == previous_ballot_;
  if (holds_previous && !delta_) {
    delta_ = Bytes{make_delta(previous_value_.data, synced_.value.data)};
    digest_ = Bytes{content_digest_bytes(synced_.value.data)};
  }
  if (!holds_previous || delta_->data.size() >= synced_.value.data.size() / 2) {
    response.value = synced_.value;
    return;
  }
  response.base = known;
  response.value = *delta_;
  response.digest = *digest_;
}

void RegisterAcceptor::on_bootstrap_request(const Address& from, const BootstrapRequest& request) {
  if (is_backlogged())
    return;
  BootstrapResponse response{request.request_id, store_, false, ""};
  const Ballot first{1, Address{"founding"}};
  if (request.store != store_)
    response.reason = "another store";
  else if (latest_.accepted != Ballot{} && !(latest_.value == request.value))
    response.reason = "this store already holds a register";
  bool is_new = response.reason.empty() && latest_.accepted == Ballot{};
  CheckedValue checked;
  if (is_new)
    checked = check_value(request.value, first, "");
  if (checked.fault) {
    response.reason = checked.detail;
    refusals_.add(from, *checked.fault, "Found: " + checked.detail);
  }
  response.granted = response.reason.empty();
  if (response.granted && !is_new && !pending_writes_.empty())
    return write(latest_, std::nullopt, {from, response});  // the same value may still be on its way to disk
  if (!response.granted || !is_new) {
    out_.push_back({from, response});
    return;
  }
  AcceptorRecord after{latest_.promised < first ? first : latest_.promised, true, first, request.value};
  write(after, std::move(checked.state), {from, response});
}

void RegisterAcceptor::synced(std::int64_t token) {
  while (!pending_writes_.empty() && pending_writes_.front().token <= token) {
    PendingWrite written = std::move(pending_writes_.front());
    pending_writes_.pop_front();
    unsynced_bytes_ -= written.size;
    if (written.state) {
      previous_ballot_ = synced_.accepted;
      previous_value_ = std::move(synced_.value);
      delta_.reset();
      state_ = std::move(*written.state);
    }
    synced_ = std::move(written.after);
    out_.push_back(std::move(written.response));
  }
}

void RegisterAcceptor::refused(std::int64_t) {
  // What is still written was thought out on top of the refused write: none of it may be answered.
  pending_writes_.clear();
  unsynced_bytes_ = 0;
  latest_ = synced_;
}

std::vector<LogWrite> RegisterAcceptor::drain_writes() { return std::exchange(writes_, {}); }
std::vector<OutboundMessage> RegisterAcceptor::drain_outbound() { return std::exchange(out_, {}); }

std::string RegisterAcceptor::snapshot() const {
  AcceptorRecord record = synced_;
  record.has_value = true;
  return encode_acceptor_record(record);
}

}  // namespace emberdale
