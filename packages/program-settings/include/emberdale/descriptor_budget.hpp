// How the descriptors of a process are shared out, so that no crowd at one port takes those of the disk, of the peers
// or of another port.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace emberdale {

// Example: limits.max_connections = DescriptorBudget(descriptor_limit()).connections(DescriptorUse::clients);
enum class DescriptorUse {
  operators,  // a control daemon's port for operators, or its own interface
  directory,  // for clients that ask where to go
  peers,      // connections that other daemons have opened
  clients,    // a data daemon's port for requests
  readiness   // for checks of the platform
};

// What no port is given is left for files, for connections to peers and runners, and for probes.
class DescriptorBudget {
 public:
  // `limit`: how many descriptors the process may have open; 0 if the system does not tell.
  explicit DescriptorBudget(std::int64_t limit)
      : usable_(static_cast<std::size_t>(std::max(fewest, (limit > 0 ? limit : assumed_limit) - kept_for_files))) {}

  // How many connections a port may hold at the same time.
  std::size_t connections(DescriptorUse use) const {
    switch (use) {
      case DescriptorUse::operators:
      case DescriptorUse::directory:
        return usable_ / 4;
      case DescriptorUse::peers:
        return usable_ / 5;
      case DescriptorUse::clients:
        return usable_ * 3 / 8;
      case DescriptorUse::readiness:
        return usable_ / 20;
    }
    return 0;
  }

 private:
  static constexpr std::int64_t kept_for_files = 200;  // outside the data folder, as the platform counts them
  static constexpr std::int64_t assumed_limit = 1024;
  static constexpr std::int64_t fewest = 100;

  std::size_t usable_;
};

}  // namespace emberdale
