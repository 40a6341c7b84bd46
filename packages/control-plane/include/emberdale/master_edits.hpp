// The edits that a master works out: what waits, in order of arrival, on the state that the register shows, durable and
// barring older maps in one write, acknowledged once a majority of the roster holds a map that covers it.
// Without I/O, clock or threads.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "emberdale/edit_batch.hpp"
#include "emberdale/edit_forwarder.hpp"
#include "emberdale/event_journal.hpp"
#include "emberdale/leader_lease.hpp"
#include "emberdale/register_proposer.hpp"
#include "emberdale/serving_plans.hpp"

namespace emberdale {

// Example:
//   MasterEdits edits(proposer, election, word, journal, self); edits.begin();       // a term begins
//   edits.take(ask, from, nullptr, {}, false, now); edits.run(map.version, now);
//   edits.settle(map.version, holders, now); for (auto& ended : edits.take_ended()) answer(ended);
class MasterEdits {
 public:
  struct Edit {
    EditRequest request;
    Address from;  // empty: asked here
    EditDone done;
    ForwardedBlock block;
    bool has_copies = false;  // elder masters were handed it too, and have not answered
    TimePoint deadline;
    MapVersion covered_by;
    EditResponse response;
    bool is_committed = false;
  };
  MasterEdits(RegisterProposer& proposer, const MasterElection& election, const LeaderLease& lease,
              EventJournal& journal, Address self)
      : proposer_(proposer), election_(election), lease_(lease), journal_(journal), self_(std::move(self)) {}

  void begin();
  // An edit asked here, or handed over; asked again, it is answered as before. Example: edits.take(edit, now)
  void take(Edit edit, TimePoint now);
  // Whether a change is in hand, or was answered in this term. Example: if (!edits.knows(ask.change)) check_age(ask);
  bool knows(const std::string& change) const;
  void run(const MapVersion& map_version, TimePoint now);
  // `holders`: how many of the roster hold a map that covers a version, this daemon among them.
  void settle(const MapVersion& map_version, const std::function<std::size_t(const MapVersion&)>& holders,
              TimePoint now);
  // This daemon ends: what has not begun is refused, what may be durable is unknown. Example: edits.end_all()
  void end_all();
  // What an unknown outcome left open is read back. Example: edits.on_timer(now)
  void on_timer(TimePoint now);
  // While an edit's two rounds or its unknown outcome are open, no map may take a number.
  bool is_open() const { return is_in_flight_ || is_outcome_open_; }
  // The highest minimum version that this term ever tried to write: its number stands for that edit alone.
  const MapVersion& attempted_minimum_version() const { return attempted_minimum_version_; }
  bool empty() const { return edits_.empty(); }
  std::vector<Edit>& in_hand() { return edits_; }
  // Those that ended, each with its answer. Example: for (auto& edit : edits.take_ended()) send(edit.answer)
  std::vector<Edit> take_ended() { return std::exchange(ended_, {}); }
  struct Counts {
    std::int64_t edits = 0, writes = 0, unknown = 0, conflicting_ids = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  void end_those_of_earlier_terms();
  // What was answered to an order, and which one it was.
  struct Answered {
    Bytes digest;
    EditResponse response;
  };
  void count_conflicting_id(const Edit& edit, TimePoint now);
  void refuse_conflicting_id(Edit edit, TimePoint now);
  void end(std::size_t at, EditResponse response);
  EditBatch next_batch() const;
  void on_change_end(const EditBatch& batch, const ChangeEnd& ended, TimePoint now);
  void commit(Edit& edit, const EditResult& result, const FleetState& state, TimePoint now);

  RegisterProposer& proposer_;
  const MasterElection& election_;
  const LeaderLease& lease_;
  EventJournal& journal_;
  Address self_;
  std::vector<Edit> edits_, ended_;
  bool is_in_flight_ = false, is_outcome_open_ = false;
  std::set<std::string> in_flight_;  // the changes that are being written
  MapVersion attempted_minimum_version_;
  // What was answered to edits handed over: asked again, this master says the same and does nothing.
  std::map<std::string, Answered> answered_;
  std::deque<std::string> answered_order_;
  Counts counts_;
};

}  // namespace emberdale
