#include "emberdale/register_acceptor.hpp"

#include "emberdale/avro_codec.hpp"

namespace emberdale {

Outcome<bool> RegisterAcceptor::restore(const std::vector<std::string>& records) {
  // A record without a value names the ballot of the value it stands on: a write that the disk
  // refused half-way, and that nobody was answered for, must not slip in between.
  std::map<Ballot, Bytes> values{{Ballot{}, Bytes{}}};
  for (const auto& bytes : records) {
    auto record = decode_acceptor_record(bytes);
    if (!record)
      return failure(record.reason);
    if (record->has_value) {
      values[record->accepted] = record->value;
    } else {
      auto stands_on = values.find(record->accepted);
      if (stands_on == values.end())
        return failure("a promise stands on a value that is not in the log");
      record->value = stands_on->second;
    }
    settle(*record);
  }
  ahead_ = synced_;
  return true;
}

void RegisterAcceptor::settle(const AcceptorRecord& record) {
  bool is_new_value = record.accepted != synced_.accepted;
  synced_ = record;
  if (is_new_value) {
    auto state = decode_state(record.value.data);
    if (state)
      state_ = std::move(*state);
  }
}

void RegisterAcceptor::write(AcceptorRecord after, bool has_value, Sending answer) {
  ahead_ = after;
  AcceptorRecord lean = after;
  lean.has_value = has_value;
  if (!has_value)
    lean.value = Bytes{};
  held_.push_back({++last_token_, std::move(after), std::move(answer)});
  writes_.push_back({last_token_, encode_acceptor_record(lean)});
}

bool RegisterAcceptor::on_message(const Address& from, const Message& message, Moment now) {
  if (!awake_since_)
    awake_since_ = now;
  if (const auto* prepare = std::get_if<Prepare>(&message)) {
    if (prepare->store != store_)
      return true;  // meant for the store that was here before
    if (prepare->ballot < ahead_.promised || prepare->ballot == ahead_.promised) {
      out_.push_back({from, Promise{prepare->ask, store_, false, ahead_.promised, Ballot{}, Bytes{}}});
      return true;
    }
    AcceptorRecord after = ahead_;
    after.promised = prepare->ballot;
    bool is_known = prepare->known == ahead_.accepted;
    Promise promise{prepare->ask, store_, true, prepare->ballot, ahead_.accepted, is_known ? Bytes{} : ahead_.value};
    write(after, false, {from, std::move(promise)});
    return true;
  }
  if (const auto* accept = std::get_if<Accept>(&message)) {
    if (accept->store != store_)
      return true;
    if (accept->ballot < ahead_.promised) {
      out_.push_back({from, Accepted{accept->ask, store_, false, ahead_.promised}});
      return true;
    }
    Sending answer{from, Accepted{accept->ask, store_, true, accept->ballot}};
    if (accept->ballot == ahead_.accepted) {  // a copy that is already here, or on its way to disk
      if (held_.empty())
        out_.push_back(std::move(answer));
      else
        write(ahead_, false, std::move(answer));
      return true;
    }
    AcceptorRecord after{accept->ballot, true, accept->ballot, accept->value};
    write(after, true, std::move(answer));
    return true;
  }
  if (const auto* read = std::get_if<ReadAsk>(&message)) {
    if (read->role == "edge")
      heard_[from] = now;
    ReadAnswer answer;
    answer.ask = read->ask;
    answer.store = store_;
    answer.blank = is_blank();
    answer.accepted = synced_.accepted;
    answer.minimum_version = state_.minimum_version;
    answer.acceptors = state_.acceptors;
    answer.next_acceptors = state_.next_acceptors;
    answer.awake = (now - *awake_since_).value;
    if (read->role != "data" && !read->lean && read->known != synced_.accepted)
      answer.value = synced_.value;
    if (read->wants_heard)
      for (const auto& [daemon, moment] : heard_)
        answer.heard.push_back({daemon, (now - moment).value});
    out_.push_back({from, std::move(answer)});
    return true;
  }
  if (const auto* found = std::get_if<Found>(&message)) {
    FoundAnswer answer{found->ask, store_, false, ""};
    if (found->store != store_)
      answer.reason = "another store";
    else if (ahead_.accepted != Ballot{} && !(ahead_.value == found->value))
      answer.reason = "this store already holds a register";
    if (!answer.reason.empty()) {
      out_.push_back({from, answer});
      return true;
    }
    answer.granted = true;
    Ballot first{1, Address{"founding"}};
    if (ahead_.accepted == Ballot{}) {
      AcceptorRecord after{ahead_.promised < first ? first : ahead_.promised, true, first, found->value};
      write(after, true, {from, answer});
    } else {
      out_.push_back({from, answer});
    }
    return true;
  }
  return false;
}

void RegisterAcceptor::synced(std::int64_t token) {
  while (!held_.empty() && held_.front().token <= token) {
    Held held = std::move(held_.front());
    held_.pop_front();
    settle(held.after);
    out_.push_back(std::move(held.answer));
  }
}

void RegisterAcceptor::refused(std::int64_t) {
  // What is still held was thought out on top of the refused write: none of it may be answered.
  held_.clear();
  ahead_ = synced_;
}

std::vector<WriteWish> RegisterAcceptor::take_writes() { return std::exchange(writes_, {}); }
std::vector<Sending> RegisterAcceptor::take_out() { return std::exchange(out_, {}); }

std::string RegisterAcceptor::picture() const {
  AcceptorRecord record = synced_;
  record.has_value = true;
  return encode_acceptor_record(record);
}

}  // namespace emberdale
