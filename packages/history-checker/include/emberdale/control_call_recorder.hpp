// Records what operators and readers ask of control daemons, and what they are told, as a history of operations.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "emberdale/history.hpp"
#include "emberdale/messages.hpp"

namespace emberdale::history {

// Example:
//   ControlCallRecorder recorder(ControlCallRecorder::ZoneOrderModel::expiring);
//   auto call = recorder.asked("operator-1", "a0", ask, now); ... recorder.answered(call, answer, now);
//   recorder.was_read({"reader-1", "b0", begun}, now, state); check_history(recorder.operations())
class ControlCallRecorder {
 public:
  enum class ZoneOrderModel {
    versions,  // as any resource: an order of unknown outcome may take effect at any time
    expiring   // an order must not take effect once its caller was answered or a later order acknowledged
  };
  struct Reader {
    std::string caller, daemon;
    std::int64_t invoked_at = 0;
  };
  explicit ControlCallRecorder(ZoneOrderModel zone_orders) : zone_orders_(zone_orders) {}

  std::size_t asked(const std::string& caller, const std::string& daemon, const EditRequest& request, std::int64_t now);
  void answered(std::size_t call, const EditResponse& response, std::int64_t now);
  void gave_up(std::size_t call, std::int64_t now) { recorder_.gave_up(call, now); }
  // A read that was answered: one operation for each object that was ever asked for.
  void was_read(const Reader& reader, std::int64_t now, const FleetState& state);

  const std::vector<Operation>& operations() const { return recorder_.operations(); }

 private:
  Operation operation_on(const std::string& kind, const std::string& name);

  ZoneOrderModel zone_orders_;
  HistoryRecorder recorder_;
  std::set<std::pair<std::string, std::string>> objects_;  // kind, name
};

}  // namespace emberdale::history
