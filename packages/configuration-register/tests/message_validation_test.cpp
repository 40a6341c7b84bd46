// Bad input from peers is refused with a reason, counted and told once; nothing changes.
#include "emberdale/message_validation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "emberdale/spoiled_text.hpp"
#include "register_bench.hpp"

using namespace emberdale;

namespace {

const Address proposer_a{"proposer-a"}, core_1{"core-1"}, core_2{"core-2"}, core_3{"core-3"};
const StoreId store_1{"s1"}, store_2{"s2"}, store_3{"s3"};
constexpr TimePoint now{1000};

FleetState sound_state(std::int64_t version = 1) {
  FleetState state;
  state.fleet_name = "fleet";
  state.version = version;
  state.acceptors = {{store_1, core_1}, {store_2, core_2}, {store_3, core_3}};
  return state;
}

Bytes value_of(const FleetState& state) { return Bytes{encode_state(state)}; }

// A copy that holds version 3 by ballot 7; writes are on disk at once.
struct Copy {
  RegisterAcceptor acceptor{store_1};
  Copy() {
    tell(core_2, BootstrapRequest{1, store_1, value_of(sound_state())});
    tell(proposer_a, Prepare{2, store_1, Ballot{7, proposer_a}, Ballot{}});
    tell(proposer_a, Accept{3, store_1, Ballot{7, proposer_a}, value_of(sound_state(3))});
  }
  std::vector<OutboundMessage> tell(const Address& from, const Message& message) {
    acceptor.on_message(from, message, now);
    for (auto& log_write : acceptor.drain_writes())
      acceptor.synced(log_write.token);
    return acceptor.drain_outbound();
  }
  std::string snapshot() const { return acceptor.snapshot(); }
};

// Refused: no answer, no write, counted under the reason.
void expect_refused(Copy& copy, const Address& from, const Message& message, InvalidInput reason) {
  const std::string before = copy.snapshot();
  std::int64_t total = copy.acceptor.refusals().total();
  EXPECT_TRUE(copy.tell(from, message).empty()) << reason_name(reason);
  EXPECT_EQ(copy.snapshot(), before) << reason_name(reason);
  EXPECT_EQ(copy.acceptor.refusals().total(), total + 1) << reason_name(reason);
  EXPECT_GE(copy.acceptor.refusals().counts().count(reason), 1u) << reason_name(reason);
}

Accept accept_of(const Bytes& value, std::int64_t number = 9) {
  return Accept{5, store_1, Ballot{number, proposer_a}, value};
}

std::optional<Promise> promise_in(const std::vector<OutboundMessage>& out) {
  if (out.size() != 1 || !std::holds_alternative<Promise>(out[0].message))
    return std::nullopt;
  return std::get<Promise>(out[0].message);
}

}  // namespace

TEST(MessageValidation, NoBallotMakesTheOnesAfterItImpossible) {
  Copy copy;
  const std::int64_t top = std::numeric_limits<std::int64_t>::max();
  for (std::int64_t number : {top, top - 1, highest_ballot + 1, std::int64_t{0}, std::int64_t{-1},
                              std::numeric_limits<std::int64_t>::min()}) {
    expect_refused(copy, proposer_a, Prepare{4, store_1, Ballot{number, proposer_a}, Ballot{}},
                   InvalidInput::ballot_out_of_range);
    expect_refused(copy, proposer_a, accept_of(value_of(sound_state(4)), number), InvalidInput::ballot_out_of_range);
  }
  expect_refused(copy, proposer_a, Prepare{4, store_1, Ballot{highest_ballot, proposer_a}, Ballot{}},
                 InvalidInput::ballot_too_far);
  expect_refused(copy, Address{}, Prepare{4, store_1, Ballot{9, Address{}}, Ballot{}},
                 InvalidInput::ballot_out_of_range);
  expect_refused(copy, core_2, Prepare{4, store_1, Ballot{9, proposer_a}, Ballot{}}, InvalidInput::ballot_of_another);
  auto promise = promise_in(copy.tell(proposer_a, Prepare{4, store_1, Ballot{8, proposer_a}, Ballot{}}));
  ASSERT_TRUE(promise);
  EXPECT_TRUE(promise->granted);
}

TEST(MessageValidation, AValueThatIsNotTheRegistersIsNotTaken) {
  Copy copy;
  std::string whole = encode_state(sound_state(4));
  for (std::size_t size : {std::size_t{0}, std::size_t{1}, whole.size() / 2, whole.size() - 1})
    expect_refused(copy, proposer_a, accept_of({whole.substr(0, size)}), InvalidInput::value_unreadable);
  std::string newer = whole;
  newer[1] = 9;  // the format's number
  expect_refused(copy, proposer_a, accept_of({newer}), InvalidInput::value_unreadable);
  FleetState other = sound_state(4);
  other.fleet_name = "another";
  expect_refused(copy, proposer_a, accept_of(value_of(other)), InvalidInput::value_of_other_fleet);
  for (const auto& spoil : std::vector<std::function<void(FleetState&)>>{
           [](FleetState& s) { s.version = std::int64_t{1} << 50; }, [](FleetState& s) { s.version = -1; },
           [](FleetState& s) { s.term = 5; }, [](FleetState& s) { s.term = -1; },
           [](FleetState& s) { s.minimum_version.term = 1; }, [](FleetState& s) { s.acceptors.clear(); },
           [](FleetState& s) { s.acceptors[1].store = s.acceptors[0].store; },
           [](FleetState& s) {
             s.next_acceptors = {{StoreId{}, Address{"x"}}};
           }}) {
    FleetState state = sound_state(4);
    spoil(state);
    expect_refused(copy, proposer_a, accept_of(value_of(state)), InvalidInput::value_implausible);
  }
  EXPECT_EQ(copy.acceptor.state().version, 3);
  auto out = copy.tell(proposer_a, accept_of({whole}));
  ASSERT_EQ(out.size(), 1u);
  EXPECT_TRUE(std::get<Accepted>(out[0].message).granted);
  EXPECT_EQ(copy.acceptor.state().version, 4);
}

TEST(MessageValidation, ACutOrForeignValueFoundsNothing) {
  RegisterAcceptor acceptor(store_1);
  std::string whole = encode_state(sound_state());
  for (const std::string& value : {std::string(), whole.substr(0, whole.size() - 1), encode_state(FleetState{})}) {
    acceptor.on_message(core_2, BootstrapRequest{1, store_1, {value}}, now);
    EXPECT_TRUE(acceptor.drain_writes().empty());
    auto out = acceptor.drain_outbound();
    ASSERT_EQ(out.size(), 1u);
    EXPECT_FALSE(std::get<BootstrapResponse>(out[0].message).granted);
    EXPECT_FALSE(std::get<BootstrapResponse>(out[0].message).reason.empty());
  }
  EXPECT_TRUE(acceptor.is_blank());
  EXPECT_EQ(acceptor.refusals().total(), 3);
}

TEST(MessageValidation, EachPeerAndReasonIsToldOnceAndAllAreCounted) {
  RefusedMessages refusals;
  for (int i = 0; i < 5; ++i) {
    refusals.add(core_1, InvalidInput::sender_unknown, "a\nb");
    refusals.add(core_2, InvalidInput::sender_unknown, std::string(1000, 'x'));
  }
  refusals.add(core_1, InvalidInput::unexpected_response, "");
  auto updates = refusals.drain_updates();
  ASSERT_EQ(updates.size(), 3u);
  EXPECT_EQ(updates[0].detail, "a?b");
  EXPECT_EQ(updates[1].detail.size(), 200u);
  EXPECT_TRUE(refusals.drain_updates().empty());
  EXPECT_EQ(refusals.total(), 11);
  EXPECT_EQ(refusals.counts().at(InvalidInput::sender_unknown), 10);
}

TEST(MessageValidation, ALogOfAnotherRegisterOrANewerVersionIsNotReplayed) {
  auto record = [](std::int64_t number, const FleetState& state) {
    Ballot ballot{number, proposer_a};
    return encode_acceptor_record({ballot, true, ballot, value_of(state)});
  };
  FleetState other = sound_state(4);
  other.fleet_name = "another";
  RegisterAcceptor acceptor(store_1);
  auto restored = acceptor.restore({record(3, sound_state(2)), record(4, other)});
  EXPECT_FALSE(restored);
  EXPECT_NE(restored.reason.find("another"), std::string::npos);
  AcceptorRecord cut{Ballot{4, proposer_a}, true, Ballot{4, proposer_a}, {encode_state(sound_state(3)).substr(0, 60)}};
  EXPECT_FALSE(acceptor.restore({record(3, sound_state(2)), encode_acceptor_record(cut)}));
  std::string newer = record(3, sound_state(2));
  newer[1] = 2;
  EXPECT_FALSE(acceptor.restore({newer}));
  EXPECT_TRUE(acceptor.is_blank());
  EXPECT_TRUE(acceptor.restore({record(3, sound_state(2)), record(4, sound_state(3))}));
  EXPECT_EQ(acceptor.state().version, 3);
}

namespace {

// A proposer that knows the three copies of sound_state(3) by ballot 7.
struct Asker {
  RegisterProposer proposer{proposer_a, RandomGenerator(1)};
  std::int64_t ask = 0;
  Asker() {
    proposer.learn_acceptors(sound_state().acceptors);
    poll();
    for (int i = 0; i < 3; ++i)
      proposer.on_message(place(i), read_response(i), now);
    EXPECT_EQ(proposer.state().version, 3);
  }
  static Address place(int i) { return sound_state().acceptors[static_cast<std::size_t>(i)].address; }
  static StoreId store(int i) { return sound_state().acceptors[static_cast<std::size_t>(i)].store; }
  void poll() {
    proposer.poll(now, DaemonRole::core, false);
    ask = std::get<ReadRequest>(proposer.drain_outbound().at(0).message).request_id;
  }
  ReadResponse read_response(int i, std::int64_t number = 7, std::int64_t version = 3) const {
    ReadResponse response;
    response.request_id = ask;
    response.store = store(i);
    response.accepted = Ballot{number, proposer_a};
    response.acceptors = sound_state().acceptors;
    response.value = value_of(sound_state(version));
    return response;
  }
  void expect_refused(const Address& from, const Message& message, InvalidInput reason) {
    std::int64_t total = proposer.refusals().total();
    proposer.on_message(from, message, now);
    EXPECT_EQ(proposer.refusals().total(), total + 1) << reason_name(reason);
    EXPECT_GE(proposer.refusals().counts().count(reason), 1u) << reason_name(reason);
    EXPECT_EQ(proposer.state().version, 3);
  }
};

}  // namespace

TEST(MessageValidation, AReadTakesNoAnswerThatItDidNotAskForOrThatDoesNotFit) {
  Asker asker;
  asker.poll();
  asker.expect_refused(Address{"stranger"}, asker.read_response(0, 9, 5), InvalidInput::sender_unknown);
  asker.expect_refused(core_1, asker.read_response(0, highest_ballot, 5), InvalidInput::ballot_too_far);
  asker.expect_refused(core_1, asker.read_response(0, -4, 5), InvalidInput::ballot_out_of_range);
  asker.expect_refused(core_1, asker.read_response(0, 9, std::int64_t{1} << 40), InvalidInput::value_implausible);
  ReadResponse response = asker.read_response(0, 9, 5);
  response.value.data.resize(20);
  asker.expect_refused(core_1, response, InvalidInput::value_unreadable);
  response = asker.read_response(0, 9, 5);
  FleetState other = sound_state(5);
  other.fleet_name = "another";
  response.value = value_of(other);
  asker.expect_refused(core_1, response, InvalidInput::value_of_other_fleet);
  response = asker.read_response(0);
  response.acceptors = {{store_1, core_1}};  // alone it would be a majority
  asker.expect_refused(core_1, response, InvalidInput::unexpected_response);
  response = asker.read_response(0, 9, 5);
  response.acceptors = {{store_1, core_1}};
  asker.expect_refused(core_1, response, InvalidInput::unexpected_response);
  response = asker.read_response(0);
  response.blank = true;
  asker.expect_refused(core_1, response, InvalidInput::unexpected_response);
  response = asker.read_response(0);
  response.uptime_ms = -1;
  asker.expect_refused(core_1, response, InvalidInput::unexpected_response);
  for (int i = 0; i < 2; ++i)
    asker.proposer.on_message(Asker::place(i), asker.read_response(i, 9, 5), now);
  EXPECT_EQ(asker.proposer.state().version, 5);
}

TEST(MessageValidation, ARoundCountsOnlyTheStoresThatWereAsked) {
  Asker asker;
  bool is_done = false;
  asker.proposer.change(
      [](const FleetState& state) {
        FleetState next = state;
        next.config_revision += 1;
        return ChangeDecision{ChangeDecision::Kind::apply, next, ""};
      },
      [&](const ChangeResult& end) { is_done = end.kind == ChangeResult::Kind::committed; }, now, Duration{4000});
  auto out = asker.proposer.drain_outbound();
  ASSERT_EQ(out.size(), 3u);
  auto prepare = std::get<Prepare>(out[0].message);
  const Ballot held{7, proposer_a};
  Promise good{prepare.request_id, store_1, true, prepare.ballot, held, value_of(sound_state(3))};
  Promise bad = good;
  bad.store = StoreId{"no-member"};
  asker.expect_refused(core_1, bad, InvalidInput::sender_unknown);
  bad = good;
  bad.promised.number = highest_ballot;
  asker.expect_refused(core_1, bad, InvalidInput::ballot_too_far);
  bad = good;
  bad.promised.number += 1;
  asker.expect_refused(core_1, bad, InvalidInput::unexpected_response);
  bad = good;
  bad.accepted = prepare.ballot;
  asker.expect_refused(core_1, bad, InvalidInput::unexpected_response);
  bad = good;
  bad.value.data.resize(11);
  asker.expect_refused(core_1, bad, InvalidInput::value_unreadable);
  bad = good;
  bad.granted = false;
  bad.promised.number = std::numeric_limits<std::int64_t>::max();
  asker.expect_refused(core_1, bad, InvalidInput::ballot_out_of_range);
  asker.proposer.on_message(core_1, good, now);
  EXPECT_TRUE(asker.proposer.drain_outbound().empty());  // one of three
  good.store = store_2;
  asker.proposer.on_message(core_2, good, now);
  out = asker.proposer.drain_outbound();
  ASSERT_EQ(out.size(), 3u);
  auto accept = std::get<Accept>(out[0].message);
  EXPECT_TRUE(accept.ballot == prepare.ballot);  // no bad number raised it
  asker.expect_refused(core_1, Accepted{accept.request_id, StoreId{"no-member"}, true, accept.ballot},
                       InvalidInput::sender_unknown);
  asker.expect_refused(core_1, Accepted{accept.request_id, store_1, true, held}, InvalidInput::unexpected_response);
  asker.proposer.on_message(core_1, Accepted{accept.request_id, store_1, true, accept.ballot}, now);
  EXPECT_FALSE(is_done);
  asker.proposer.on_message(core_2, Accepted{accept.request_id, store_2, true, accept.ballot}, now);
  EXPECT_TRUE(is_done);
}

namespace {

// A ballot that no proposer gives.
std::int64_t bad_number(RandomGenerator& random) {
  const std::int64_t numbers[] = {std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(),
                                  -1, highest_ballot + 1, highest_ballot};
  return numbers[random.below(5)];
}

// A value that is not the register's.
Bytes bad_value(const Bytes& value, RandomGenerator& random) {
  auto state = decode_state(value.data);
  if (!state || random.chance(0.3))
    return {value.data.substr(0, value.data.size() / 2)};
  switch (random.below(4)) {
    case 0:
      state->fleet_name = "another";
      break;
    case 1:
      state->version = std::int64_t{1} << 60;
      break;
    case 2:
      state->term = state->version + 1;
      break;
    default:
      state->acceptors.clear();
  }
  return value_of(*state);
}

// One fault that makes the message tell of itself that it is none of the register's.
std::pair<Address, Message> bad_message(const Address& from, const Message& message, RandomGenerator& random) {
  Message bad = message;
  Address sender = from;
  const StoreId no_member{"no-member"};
  if (auto* prepare = std::get_if<Prepare>(&bad)) {
    if (random.chance(0.5))
      prepare->ballot.number = bad_number(random);
    else
      sender.text = "stranger";
  } else if (auto* accept = std::get_if<Accept>(&bad)) {
    if (random.chance(0.3))
      accept->ballot.number = bad_number(random);
    else
      accept->value = bad_value(accept->value, random);
  } else if (auto* promise = std::get_if<Promise>(&bad)) {
    if (random.chance(0.3))
      promise->promised.number = bad_number(random);
    else
      promise->store = no_member;
  } else if (auto* accepted = std::get_if<Accepted>(&bad)) {
    if (random.chance(0.3))
      accepted->promised.number = bad_number(random);
    else
      accepted->store = no_member;
  } else if (auto* response = std::get_if<ReadResponse>(&bad)) {
    if (random.chance(0.3))
      response->accepted.number = bad_number(random);
    else
      sender.text = "stranger";
  } else if (auto* bootstrap_request = std::get_if<BootstrapRequest>(&bad)) {
    bootstrap_request->value = bad_value(bootstrap_request->value, random);
  }
  return {sender, bad};
}

}  // namespace

TEST(MessageValidation, BadMessagesAmongGoodOnesLoseNoChangeAndStopNothing) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RegisterBench bench(seed);
    bench.spoil = bad_message;
    bench.add_proposer("one");
    bench.add_proposer("other");
    for (int i = 0; i < 8; ++i) {
      bench.add_mark("one");
      bench.add_mark("other");
      for (int j = 0; j < 200; ++j)
        bench.step(0.05, 0.05);
    }
    bench.check();
    RC_ASSERT(!testing::Test::HasFailure());
    RC_ASSERT(bench.acked() > 8u);
    RC_ASSERT(bench.refused_messages() > 100);
  }));
}

TEST(MessageValidation, NoSpoiledMessageBringsACopyOrAProposerDown) {
  EXPECT_TRUE(rc::check([](std::uint64_t seed) {
    RandomGenerator random(seed);
    Copy copy;
    Asker asker;
    const std::vector<Message> sound{
        Message{Prepare{4, store_1, Ballot{9, proposer_a}, Ballot{}}},
        Message{accept_of(value_of(sound_state(4)))},
        Message{BootstrapRequest{1, store_1, value_of(sound_state())}},
        Message{ReadRequest{9, DaemonRole::core, Ballot{}, true, false}},
        Message{asker.read_response(1, 9, 5)},
        Message{Promise{4, store_2, true, Ballot{9, proposer_a}, Ballot{7, proposer_a}, value_of(sound_state(3))}},
        Message{Accepted{4, store_2, true, Ballot{9, proposer_a}}}};
    for (int i = 0; i < 20; ++i) {
      asker.poll();
      std::string bytes = encode_message(sound[static_cast<std::size_t>(random.below(7))]);
      auto message = decode_message(spoiled(bytes, random.next()));
      if (!message)
        continue;
      Ballot accepted = copy.acceptor.accepted(), known = asker.proposer.ballot();
      copy.tell(random.chance(0.5) ? proposer_a : core_2, *message);
      asker.proposer.on_message(core_2, *message, now);
      RC_ASSERT(!(copy.acceptor.accepted() < accepted) && !(asker.proposer.ballot() < known));
      RC_ASSERT(copy.acceptor.accepted().number <= highest_ballot);
      RC_ASSERT(copy.acceptor.state().fleet_name == "fleet" && asker.proposer.state().fleet_name == "fleet");
      // What the copy holds can be read again.
      RegisterAcceptor again(store_1);
      RC_ASSERT(again.restore({copy.snapshot()}).has_value());
    }
  }));
}
