// Copies of the register on disks of their own and proposers, over a network in a random order.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "emberdale/avro_codec.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/register_proposer.hpp"
#include "emberdale/segmented_log.hpp"

namespace emberdale {

using Fault = MemoryFileSystem::Fault;

// Three copies on disks of their own and any number of proposers, over a network that the random generator order.
class RegisterBench {
 public:
  explicit RegisterBench(std::uint64_t seed, std::size_t segment = 2000, const std::string& body = "")
      : random_(seed), segment_(segment) {
    FleetState state;
    state.fleet_name = "bench";
    state.version = 1;
    if (!body.empty())
      state.resources = {{"traffic", "current", 1, 1, body}};
    for (int i = 0; i < 3; ++i) {
      copies_[place(i)].files = std::make_shared<MemoryFileSystem>();
      start(place(i));
      state.acceptors.push_back({copies_[place(i)].acceptor->store(), place(i)});
    }
    bootstrap_ = state;
    for (auto& [address, copy] : copies_)
      post(Address{"founder"}, address, BootstrapRequest{1, copy.acceptor->store(), {encode_state(state)}});
    settle(200);
  }
  static Address place(int i) { return Address{"core-" + std::to_string(i)}; }

  void add_proposer(const std::string& name) {
    proposers_.emplace(Address{name},
                       std::make_unique<RegisterProposer>(Address{name}, RandomGenerator(random_.next())));
    proposers_.at(Address{name})->learn_acceptors(bootstrap_.acceptors);
  }
  RegisterProposer& proposer(const std::string& name) { return *proposers_.at(Address{name}); }

  // Adds one uniquely named mark; what is told of its end is kept.
  void add_mark(const std::string& proposer_name) {
    std::string mark = "mark-" + std::to_string(++last_mark_);
    proposer(proposer_name)
        .change(
            [mark](const FleetState& state) -> ChangeDecision {
              for (const auto& done : state.completed_changes)
                if (done.change_id == mark)
                  return {ChangeDecision::Kind::already_there, {}, ""};
              FleetState next = state;
              next.completed_changes.push_back({mark, 0, 0});
              return {ChangeDecision::Kind::apply, next, ""};
            },
            [this, mark](const ChangeResult& end) {
              if (end.kind == ChangeResult::Kind::committed) {
                acked_.insert(mark);
              } else if (end.kind != ChangeResult::Kind::unknown) {
                refused_.insert(mark);
              }
            },
            TimePoint{now_}, Duration{4000});
  }

  void start(const Address& address) {
    Copy& copy = copies_[address];
    copy.log = std::make_unique<SegmentedLog>(copy.files, segment_);
    auto opening = copy.log->open("store-" + address.text + "-" + std::to_string(++copy.starts));
    if (!opening) {  // a disk that fails at once: try again when it is good
      copy.acceptor.reset();
      return;
    }
    if (opening->was_corrupt)
      ++corrupt;
    copy.acceptor = std::make_unique<RegisterAcceptor>(opening->store);
    auto restored = copy.acceptor->restore(opening->records);
    EXPECT_TRUE(restored) << restored.reason;
  }
  void stop(const Address& address, bool is_power_cut) {
    Copy& copy = copies_[address];
    copy.acceptor.reset();
    copy.log.reset();
    if (is_power_cut)
      copy.files->power_on(random_);
    copy.files->is_off = false;
  }
  MemoryFileSystem& disk(int i) { return *copies_[place(i)].files; }
  bool is_up(int i) { return copies_[place(i)].acceptor != nullptr; }
  StoreId store(int i) { return copies_[place(i)].acceptor->store(); }

  // One message in any order, or a step of time. Messages may be lost or come twice.
  void step(double loss, double twice) {
    if (!net_.empty() && random_.chance(0.85)) {
      auto index = static_cast<std::size_t>(random_.below(static_cast<std::int64_t>(net_.size())));
      auto letter = net_[index];
      if (!random_.chance(twice))
        net_.erase(net_.begin() + static_cast<std::ptrdiff_t>(index));
      if (!random_.chance(loss))
        bring(letter);
    } else {
      now_ += 5;
      for (auto& [address, proposer] : proposers_) {
        proposer->on_timer(TimePoint{now_});
        if (now_ % 150 == 0)
          proposer->poll(TimePoint{now_}, DaemonRole::core, false);
        collect(address);
      }
    }
  }
  void settle(int steps) {
    for (int i = 0; i < steps; ++i)
      step(0, 0);
  }

  // What must hold of the whole history, given the register as it is read at the end.
  void check() {
    add_proposer("reader");
    // A change that is acknowledged while the read runs may stand behind it: that is no loss.
    const std::set<std::string> acked = acked_, refused = refused_;
    bool is_read = false;
    FleetState final_state;
    proposer("reader").change(
        [](const FleetState&) {
          return ChangeDecision{ChangeDecision::Kind::already_there, {}, ""};
        },
        [&](const ChangeResult& end) {
          is_read = end.kind == ChangeResult::Kind::committed;
          final_state = end.state;
        },
        TimePoint{now_}, Duration{100000});
    for (int i = 0; i < 20000 && !is_read; ++i)
      step(0, 0);
    ASSERT_TRUE(is_read) << "the register gives no answer any more";
    std::set<std::string> there;
    for (const auto& done : final_state.completed_changes)
      EXPECT_TRUE(there.insert(done.change_id).second) << done.change_id << " twice";
    for (const auto& mark : acked)
      EXPECT_TRUE(there.count(mark)) << mark << " was acknowledged and is lost";
    for (const auto& mark : refused)
      EXPECT_FALSE(there.count(mark)) << mark << " was refused and is in force";
    // Linearizable: each value is the one before it and one mark more; so versions count the marks.
    EXPECT_EQ(final_state.version, 1 + static_cast<std::int64_t>(final_state.completed_changes.size()));
  }
  std::size_t acked() const { return acked_.size(); }
  std::int64_t refused_messages() const {
    std::int64_t total = 0;
    for (const auto& [address, copy] : copies_)
      total += copy.acceptor ? copy.acceptor->refusals().total() : 0;
    for (const auto& [address, proposer] : proposers_)
      total += proposer->refusals().total();
    return total;
  }
  // Makes a bad message of a good one: half of them are preceded by it, wherever they go.
  std::function<std::pair<Address, Message>(const Address&, const Message&, RandomGenerator&)> spoil;
  int corrupt = 0;

 private:
  struct Copy {
    std::shared_ptr<MemoryFileSystem> files;
    std::unique_ptr<SegmentedLog> log;
    std::unique_ptr<RegisterAcceptor> acceptor;
    int starts = 0;
  };
  struct InFlightMessage {
    Address from, to;
    Message message;
  };
  void post(const Address& from, const Address& to, Message message) { net_.push_back({from, to, std::move(message)}); }
  void bring(const InFlightMessage& letter) {
    if (spoil && random_.chance(0.5)) {
      auto [from, message] = spoil(letter.from, letter.message, random_);
      deliver({from, letter.to, std::move(message)});
    }
    deliver(letter);
  }
  void deliver(const InFlightMessage& letter) {
    auto proposer = proposers_.find(letter.to);
    if (proposer != proposers_.end()) {
      proposer->second->on_message(letter.from, letter.message, TimePoint{now_});
      collect(letter.to);
      return;
    }
    auto entry = copies_.find(letter.to);
    if (entry == copies_.end() || !entry->second.acceptor)
      return;
    Copy& copy = entry->second;
    copy.acceptor->on_message(letter.from, letter.message, TimePoint{now_});
    for (auto& write : copy.acceptor->drain_writes()) {
      auto written = copy.log->append({write.record});
      if (written && copy.log->sync()) {
        copy.acceptor->synced(write.token);
        if (copy.log->wants_snapshot())
          copy.log->snapshot(copy.acceptor->snapshot());
      } else {
        copy.acceptor->refused(write.token);
      }
      // A sync that failed, or a power cut: the daemon stops and starts again.
      if (copy.log->must_stop() || copy.files->is_off) {
        stop(letter.to, true);
        start(letter.to);
        return;
      }
    }
    for (auto& outbound : copy.acceptor->drain_outbound())
      post(letter.to, outbound.to, std::move(outbound.message));
  }
  void collect(const Address& address) {
    for (auto& outbound : proposers_.at(address)->drain_outbound())
      post(address, outbound.to, std::move(outbound.message));
  }

  RandomGenerator random_;
  std::size_t segment_;
  FleetState bootstrap_;
  std::map<Address, Copy> copies_;
  std::map<Address, std::unique_ptr<RegisterProposer>> proposers_;
  std::vector<InFlightMessage> net_;
  std::int64_t now_ = 1000;
  int last_mark_ = 0;
  std::set<std::string> acked_, refused_;
};

}  // namespace emberdale
