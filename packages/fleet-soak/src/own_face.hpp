// Our own interface (docs/interface.md): a deployment of packages/fleet-starter, with runners that see their peer
// leave.
#pragma once
#include <string>

#include "soak_face.hpp"

namespace emberdale::soak {

class OwnFace : public SoakFace {
 public:
  // Example: OwnFace face("fleet-soak/seed-1", "build/bin");
  OwnFace(const std::string& folder, const std::string& programs);

  FleetOfProcesses& fleet() override { return fleet_; }
  std::string bring_up(std::uint64_t seed) override;
  SoakTargets targets() const override;
  bool is_ready(const FleetProcess& data_daemon) const override;
  std::string metrics_path(const FleetProcess& daemon) const override;
  std::string faults_path(const FleetProcess& daemon) const override;
  std::string call_request(const CallNature& call, const std::string& body) const override;
  bool says_not_run(const Message& answer) const override;
  std::string edit_request(std::int64_t version, std::int64_t value) const override;
  std::optional<EditedVersion> acknowledged_edit(const Response& response, std::int64_t value) const override;
  std::string read_request() const override;
  std::optional<EditedVersion> read_resource(const Response& response) const override;
  std::string unread_request(std::int64_t value) const override;
  std::optional<std::string> set_mark(const std::string& runner, bool is_draining,
                                      const ProcessAddress& control) override;

 private:
  FleetOfProcesses fleet_;
};

}  // namespace emberdale::soak
