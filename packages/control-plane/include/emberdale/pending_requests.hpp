// Reads and views that clients have asked for at a control daemon and that wait for other daemons.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "emberdale/messages.hpp"
#include "emberdale/small_types.hpp"

namespace emberdale {

// The state of the register, or nullptr where no majority has confirmed it in time.
using ReadDone = std::function<void(const FleetState*)>;
using ViewDone = std::function<void(const ViewResponse&)>;

// Each callback is called exactly once. A callback may add another request.
class PendingRequests {
 public:
  void add_read(std::int64_t request_id, ReadDone done, TimePoint deadline);
  void add_view(std::int64_t request_id, ViewDone done, TimePoint deadline);

  // Whether a read waits for which no read of the register has been started since it arrived.
  bool has_unstarted_read() const;
  // A read of the register was started: it serves all reads that arrived before it.
  void on_read_started(std::int64_t register_read);
  // A majority has confirmed `state` in the register read `confirmed_read`. Reads past their deadline get nothing: this
  // process may have been paused, and the client is gone.
  void complete_reads(std::int64_t confirmed_read, const FleetState& state, TimePoint now);
  void complete_view(const ViewResponse& response);
  // Ends what is past its deadline. A view gets `local_view(request_id)` instead of the master's, a read gets nullptr.
  void expire(const std::function<ViewResponse(std::int64_t)>& local_view, TimePoint now);
  // Ends everything, in the same way.
  void end_all(const std::function<ViewResponse(std::int64_t)>& local_view);

 private:
  struct Pending {  // exactly one of the callbacks is set
    TimePoint deadline;
    ViewDone view;
    ReadDone read;
    std::int64_t register_read = 0;  // the first register read that was started after the arrival; 0: none yet
  };
  void end_if(const std::function<bool(const Pending&)>& is_over,
              const std::function<ViewResponse(std::int64_t)>& local_view);

  std::map<std::int64_t, Pending> pending_;  // by request id, so in order of arrival
};

}  // namespace emberdale
