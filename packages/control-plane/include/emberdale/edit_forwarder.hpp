// Edits taken in here and handed to whoever is master, until one of them has surely done or refused each; and
// the holds that are passed on while such an edit takes work away. Without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/edit_age.hpp"
#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

using EditDone = std::function<void(const EditResponse&)>;

// {"reason": .., "outcome": ..}. Example: reason_body("no majority", "refused")
std::string reason_body(const std::string& reason, const std::string& outcome);

// What an edit in hand would take away from a runner or a zone: passed on while it waits, for a while.
struct ForwardedBlock {
  std::optional<DispatchBlock> block;
  TimePoint next, until;
  std::int64_t version = 0;  // of the resource when it was asked: once that has moved, the map alone speaks
  bool is_over(TimePoint now) const { return until.value > 0 && until <= now; }
  // Whether to pass it on now. Example: if (passed.is_due(version_of(ask), now)) pass(*passed.hold);
  bool is_due(std::int64_t current_version, TimePoint now);
};

// Example: block_of(ask, 3, now).hold->runner.text == "m1" for a patch {"leaving": true} of runner m1
ForwardedBlock block_of(const EditRequest& request, std::int64_t version, TimePoint now);

// Example:
//   EditForwarder forwarder; forwarder.take(ask, done, hold, now);
//   for (auto& s : forwarder.send(master, term, now)) links.send(s.to, s.message);   // again and again
//   forwarder.on_response(answer, now); forwarder.on_timer(now);                        // done comes exactly once
class EditForwarder {
 public:
  struct Waiting {
    EditRequest request;
    EditDone done;
    ForwardedBlock block;
    TimePoint taken_at, deadline, send_next;
    // Copies that are out and that nobody has answered, by the term they are for.
    std::map<std::int64_t, int> copies;
  };
  explicit EditForwarder(EditTimes times = {}) : times_(times) {}
  void take(EditRequest request, EditDone done, ForwardedBlock block, TimePoint now);
  // Hands every waiting edit to the master of that term. An ask or its answer may get lost: it is sent again,
  // and a master that has answered says the same again. An edit that is bound by its age is sent no more once that is
  // over. `stamp`: the newest known of that master's clock in that term, 0: none.
  std::vector<OutboundMessage> send(const Address& master, std::int64_t term, TimePoint now, std::int64_t stamp = 0);
  // This daemon has become master: it does them itself, but for those that are too old, of which a copy may be done
  // still. Example: for (auto& mine : forwarder.take_back(now)) ...
  std::vector<Waiting> take_back(TimePoint now);
  // True when an edit ended: its hold may have to be lifted. Example: if (auto ended = forwarder.on_response(answer,
  // now)) ...
  std::optional<Waiting> on_response(const EditResponse& response, TimePoint now);
  // Those whose time is over have been answered: refused where no copy can be done any more, else unknown.
  std::vector<std::pair<Waiting, EditResponse>> on_timer(TimePoint now);
  // This daemon ends: all that waits is answered, refused where no copy is out, else unknown.
  std::vector<std::pair<Waiting, EditResponse>> end_all();
  std::map<std::int64_t, Waiting>& waiting() { return waiting_; }

 private:
  bool is_too_old(const Waiting& edit, TimePoint now) const {
    return is_bound_by_age(edit.request) && now - edit.taken_at >= times_.requester_timeout;
  }

  std::pair<Waiting, EditResponse> ended_without_answer(Waiting edit) const;

  EditTimes times_;
  std::int64_t stamp_ = 0, stamp_term_ = -1;  // the newest that a master has answered a copy with
  std::map<std::int64_t, Waiting> waiting_;   // by ask
};

}  // namespace emberdale
