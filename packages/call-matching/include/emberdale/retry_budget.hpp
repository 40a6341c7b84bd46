// The retry budget: first attempts earn tokens, each retry spends one, so retries stay a bounded share of the load.
#pragma once
#include <algorithm>

namespace emberdale {

struct RetryBudgetSettings {
  double share = 0;  // tokens that one first attempt earns
  double start = 0;  // tokens at the start
  double bound = 0;  // tokens that can be saved up at most
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetSettings& settings) : settings_(settings), tokens_(settings.start) {}
  void earn() { tokens_ = std::min(settings_.bound, tokens_ + settings_.share); }
  bool allows_retry() const { return tokens_ >= 1; }
  void spend() { tokens_ -= 1; }

 private:
  RetryBudgetSettings settings_;
  double tokens_;
};

}  // namespace emberdale
