// Edits taken in here and handed to whoever is master, until one of them has surely done or refused each; and
// the holds that are passed on while such an edit takes work away. Without I/O, clock or threads.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/freshness_times.hpp"
#include "emberdale/messages.hpp"

namespace emberdale {

using EditDone = std::function<void(const EditAnswer&)>;

// {"reason": .., "outcome": ..}. Example: reason_body("no majority", "refused")
std::string reason_body(const std::string& reason, const std::string& outcome);

// What an edit in hand would take away from a runner or a zone: passed on while it waits, for a while.
struct PassedHold {
  std::optional<Hold> hold;
  Moment next, until;
  Integer version = 0;  // of the resource when it was asked: once that has moved, the map alone speaks
  bool is_over(Moment now) const { return until.value > 0 && until <= now; }
  // Whether to pass it on now. Example: if (passed.is_due(version_of(ask), now)) pass(*passed.hold);
  bool is_due(Integer current_version, Moment now);
};

// Example: hold_of(ask, 3, now).hold->runner.text == "m1" for a patch {"leaving": true} of runner m1
PassedHold hold_of(const EditAsk& ask, Integer version, Moment now);

// Example:
//   EditForwarder forwarder; forwarder.take(ask, done, hold, now);
//   for (auto& s : forwarder.send(master, term, now)) links.send(s.to, s.message);   // again and again
//   forwarder.on_answer(answer, now); forwarder.on_timer(now);                        // done comes exactly once
class EditForwarder {
 public:
  struct Waiting {
    EditAsk ask;
    EditDone done;
    PassedHold hold;
    Moment deadline, send_next;
    // Copies that are out and that nobody has answered, by the term they are for.
    std::map<Integer, int> copies;
  };
  void take(EditAsk ask, EditDone done, PassedHold hold, Moment now);
  // Hands every waiting edit to the master of that term. An ask or its answer may get lost: it is sent again,
  // and a master that has answered says the same again.
  std::vector<Sending> send(const Address& master, Integer term, Moment now);
  // This daemon has become master: it does them itself. Example: for (auto& mine : forwarder.take_back()) ...
  std::vector<Waiting> take_back();
  // True when an edit ended: its hold may have to be lifted. Example: if (auto ended = forwarder.on_answer(answer,
  // now)) ...
  std::optional<Waiting> on_answer(const EditAnswer& answer, Moment now);
  // Those whose time is over have been answered: refused where no copy can be done any more, else unknown.
  std::vector<std::pair<Waiting, EditAnswer>> on_timer(Moment now);
  std::map<Integer, Waiting>& waiting() { return waiting_; }

 private:
  std::map<Integer, Waiting> waiting_;  // by ask
};

}  // namespace emberdale
