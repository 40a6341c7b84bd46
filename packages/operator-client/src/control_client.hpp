// Sends requests to the HTTP interfaces of the control daemons, tried in turn. Blocks the calling thread.
#pragma once
#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace emberdale {

struct ControlRequest {
  std::string method;
  std::string path;
  std::string body;      // JSON; empty: none
  std::string if_match;  // the version that the resource must have; "0": it must not exist; empty: any
};

struct ControlResponse {
  int code = 0;      // HTTP status; 0: no control daemon responded, and the request surely had no effect
  std::string body;  // JSON of a response; where the code is 0: why there is none
  bool is_success() const { return code >= 200 && code < 300; }
  bool is_unknown_outcome() const { return code == 504; }
};

enum class WatchResult { in_force, timed_out };

class ControlClient {
 public:
  // `addresses`: IP:PORT of control daemons, with commas between them.
  explicit ControlClient(const std::string& addresses);

  // Tries the next daemon only where the last one surely was not reached, or refused for want of a master. A change
  // whose outcome is unknown comes back as 504.
  ControlResponse send(const ControlRequest& request);

  // Watches the resources of a kind (the one with the name, unless it is empty) until they are in force everywhere, the
  // named one with this version or a newer one.
  WatchResult wait_until_in_force(const std::string& kind, const std::string& name, std::int64_t version, int seconds);

  // Prints each update of the resources, a line of JSON, until the time is up.
  void print_updates(const std::string& kind, const std::string& name, int seconds, std::ostream& out);

 private:
  using Deadline = std::chrono::steady_clock::time_point;
  // Called with each line; true ends the watch.
  using LineHandler = std::function<bool(const std::string& line)>;

  // False if the time is up before the handler ends the watch. Reconnects to the next daemon when a connection ends.
  bool watch(const std::string& path, int seconds, const LineHandler& on_line);
  bool watch_at(const std::string& address, const std::string& path, Deadline deadline, const LineHandler& on_line);

  std::vector<std::string> addresses_;
};

}  // namespace emberdale
