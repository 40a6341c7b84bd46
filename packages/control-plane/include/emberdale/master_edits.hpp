// The changes that a master carries out, in order of arrival and several in one write of the register. A write makes
// its changes durable and fences all older placement maps; a change is acknowledged once a majority of the roster holds
// a map that covers it. Without I/O, clock or threads.
#pragma once
#include <deque>
#include <functional>
#include <map>
#include <memory>
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

class MasterEdits {
 public:
  struct Edit {
    EditRequest request;
    Address from;   // who forwarded it; empty: it was asked for here
    EditDone done;  // set if it was asked for here
    ForwardedBlock block;
    bool has_copies = false;  // earlier masters were sent it too, and have not answered
    TimePoint deadline;
    bool is_committed = false;  // the register holds it
    MapVersion covered_by;      // the first map that shows it, once committed
    EditResponse response;      // what its client gets, once committed or ended
  };
  MasterEdits(RegisterProposer& proposer, const MasterElection& election, const LeaderLease& lease,
              EventJournal& journal, Address self)
      : proposer_(proposer), election_(election), lease_(lease), journal_(journal), self_(std::move(self)) {}

  // A term begins: what was answered in an earlier one is forgotten.
  void begin();
  // Takes in a change that was asked for here or forwarded. One that comes again is done once and answered alike.
  void take(Edit edit, TimePoint now);
  // Whether a change waits here, or was answered in this term.
  bool knows(const std::string& change_id) const;
  // Writes the changes that wait, unless a write is under way. `map_version`: of the last published map.
  void run(const MapVersion& map_version, TimePoint now);
  // Acknowledges the committed changes that enough daemons hold, and ends those that are past their deadline.
  // `holders`: how many of the roster hold a map that covers a version, this daemon among them.
  void settle(const MapVersion& map_version, const std::function<std::size_t(const MapVersion&)>& holders,
              TimePoint now);
  // This daemon stops: what has not begun is refused, what may be durable is unknown.
  void end_all();
  // Settles an unknown result by another write.
  void on_timer(TimePoint now);
  // While a write is under way, or its result unknown, no map may take a number.
  bool is_open() const { return is_in_flight_ || is_outcome_open_; }
  // The highest minimum version that this term ever tried to write: its number stands for that write alone.
  const MapVersion& attempted_minimum_version() const { return attempted_minimum_version_; }
  bool empty() const { return edits_.empty(); }
  std::vector<Edit>& in_hand() { return edits_; }
  // The changes that have ended since the last call, each with its response.
  std::vector<Edit> take_ended() { return std::exchange(ended_, {}); }
  struct Counts {
    std::int64_t edits = 0, writes = 0, unknown = 0, conflicting_ids = 0;
  };
  const Counts& counts() const { return counts_; }

 private:
  // The response to a change that was forwarded, and the digest of that change.
  struct KeptResponse {
    Bytes digest;
    EditResponse response;
  };
  bool is_answered(const Edit& edit) const;
  void repeat_response(Edit edit, TimePoint now);
  void keep_response(const EditRequest& request, const EditResponse& response);
  void end_edits_of_earlier_terms();
  void count_conflicting_id(const Edit& edit, TimePoint now);
  void refuse_conflicting_id(Edit edit, TimePoint now);
  void end(std::size_t at, EditResponse response);
  EditBatch next_batch() const;
  std::int64_t reserve_map_number(const MapVersion& map_version);
  void write(std::shared_ptr<EditBatch> batch, std::int64_t map_number, TimePoint now);
  void on_change_end(const EditBatch& batch, const ChangeResult& ended, TimePoint now);
  void commit(Edit& edit, const EditResult& result, const FleetState& state, TimePoint now);
  void adjust_deadline(Edit& edit, TimePoint now) const;
  bool is_expired(const Edit& edit, TimePoint now) const;
  static EditResponse response_of_expired(const Edit& edit);

  RegisterProposer& proposer_;
  const MasterElection& election_;
  const LeaderLease& lease_;
  EventJournal& journal_;
  Address self_;
  std::vector<Edit> edits_;          // not ended, in order of arrival
  std::vector<Edit> ended_;          // until take_ended()
  bool is_in_flight_ = false;        // a write is under way; `in_flight_` are its changes
  bool is_outcome_open_ = false;     // the result of the last write is unknown
  std::set<std::string> in_flight_;  // by change id
  MapVersion attempted_minimum_version_;
  // Responses to forwarded changes by change id, oldest first in `response_order_`; both hold the same ids. Asked
  // again, this master says the same and does nothing.
  std::map<std::string, KeptResponse> responses_;
  std::deque<std::string> response_order_;
  Counts counts_;
};

}  // namespace emberdale
