// Which connections between simulated machines are cut.
#pragma once
#include <map>
#include <set>
#include <string>

#include "machine.hpp"

namespace emberdale {

class ConnectionCuts {
 public:
  // Cuts all connections between a zone and the others; only one zone is cut off at a time.
  void cut_zone(const std::string& zone) { zone_ = zone; }
  // Cuts the connections between two machines.
  void cut_both_ways(const std::string& one, const std::string& other) {
    cut_one_way(one, other);
    cut_one_way(other, one);
  }
  // Cuts what one machine sends to another; the other direction stays.
  void cut_one_way(const std::string& from, const std::string& to) { receivers_by_sender_[from].insert(to); }

  void clear() {
    zone_.clear();
    receivers_by_sender_.clear();
  }

  bool is_cut(const Machine& from, const Machine& to) const {
    if (&from == &to)
      return false;
    if (!zone_.empty() && (from.zone.text == zone_) != (to.zone.text == zone_))
      return true;
    auto receivers = receivers_by_sender_.find(from.name);
    return receivers != receivers_by_sender_.end() && receivers->second.count(to.name) != 0;
  }

 private:
  std::string zone_;
  std::map<std::string, std::set<std::string>> receivers_by_sender_;
};

}  // namespace emberdale
