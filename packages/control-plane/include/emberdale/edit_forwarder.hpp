// Changes that were asked for here and are done by the master: they are sent to whoever leads, again and again, until a
// master has answered or their time is over. Without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/edit_age.hpp"
#include "emberdale/forwarded_block.hpp"
#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

using EditDone = std::function<void(const EditResponse&)>;

// The body of a response: {"reason": .., "outcome": ..}.
std::string reason_body(const std::string& reason, const std::string& outcome);

// The callback of each change is called exactly once.
class EditForwarder {
 public:
  struct Waiting {
    EditRequest request;
    EditDone done;
    ForwardedBlock block;
    TimePoint taken_at, deadline, send_next;
    // How many copies are out that nobody has answered, by the term they were sent to. While there is one, the change
    // may turn out to be done, and is never refused.
    std::map<std::int64_t, int> copies;
  };
  // A change whose time is over, and the response that its client got.
  struct Expired {
    Waiting edit;
    EditResponse response;
  };

  explicit EditForwarder(EditTimes times = {}) : times_(times) {}
  void take(EditRequest request, EditDone done, ForwardedBlock block, TimePoint now);
  // The copies of waiting changes that are due to the master of that term. A copy or its response may get lost, so it
  // is sent again; a master that has answered says the same again. A change that is bound by its age is sent no more
  // once it is too old. `master_timestamp`: the newest known of that master's clock in that term; 0: none.
  std::vector<OutboundMessage> send(const Address& master, std::int64_t term, TimePoint now,
                                    std::int64_t master_timestamp = 0);
  // This daemon has become master and does the changes itself. Those that are too old stay: a copy may yet be done.
  std::vector<Waiting> take_back(TimePoint now);
  // The change that has ended with this response, if it has: its block may have to be lifted.
  std::optional<Waiting> on_response(const EditResponse& response, TimePoint now);
  // Ends the changes whose time is over: refused where no copy can be done any more, else unknown.
  std::vector<Expired> on_timer(TimePoint now);
  // This daemon stops: ends all changes, in the same way.
  std::vector<Expired> end_all();
  std::map<std::int64_t, Waiting>& waiting() { return waiting_; }

 private:
  bool is_too_old(const Waiting& edit, TimePoint now) const {
    return is_bound_by_age(edit.request) && now - edit.taken_at >= times_.requester_timeout;
  }
  bool is_expired(const Waiting& edit, TimePoint now) const;
  void on_disowned_copy(Waiting& edit, const EditResponse& response, TimePoint now);
  static Expired expired(Waiting edit);
  static void notify(std::vector<Expired>& expired);

  EditTimes times_;
  // The newest timestamp that a master has answered a copy with, and its term.
  std::int64_t master_timestamp_ = 0, timestamp_term_ = -1;
  std::map<std::int64_t, Waiting> waiting_;  // by request id
};

}  // namespace emberdale
