// The placement map: which runner takes which requests, as the master works it out and daemons receive it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emberdale/fleet_state.hpp"

namespace emberdale {

// How many requests a second one data daemon may send to a runner that is still warming up.
struct WarmupGrant {
  static constexpr const char* wire_name = "ColdGrant";

  Address daemon{};
  std::int64_t requests = 0;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("daemon", self.daemon);
    visit("calls", self.requests);
  }
};

// One runner of the map.
struct RunnerRow {
  static constexpr const char* wire_name = "RunnerRow";

  RunnerName name{};
  std::string http_address{};
  PoolName pool{};
  ZoneName zone{};
  RegionName region{};
  RunnerState state{};
  // Grows with each start of the runner.
  std::int64_t incarnation = 0;
  // Requests at once.
  std::int64_t capacity = 0;
  // Requests at work.
  std::int64_t load = 0;
  // Requests a second that it bears while it warms up.
  std::int64_t allowance = 0;
  std::vector<WarmupGrant> warmup_grants{};
  // Proves that a response is this runner's own.
  std::string seal_key{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("http", self.http_address);
    visit("pool", self.pool);
    visit("zone", self.zone);
    visit("region", self.region);
    visit("status", self.state);
    visit("incarnation", self.incarnation);
    visit("capacity", self.capacity);
    visit("load", self.load);
    visit("allowance", self.allowance);
    visit("grants", self.warmup_grants);
    visit("seal_key", self.seal_key);
  }
};

// One serving plan of the map.
struct PlanRow {
  static constexpr const char* wire_name = "PlanRow";

  PlanName name{};
  std::int64_t version = 0;
  // JSON.
  std::string body{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("name", self.name);
    visit("version", self.version);
    visit("body", self.body);
  }
};

// The sum over the runners of a pool in one region.
struct RegionRow {
  static constexpr const char* wire_name = "RegionRow";

  PoolName pool{};
  RegionName region{};
  std::int64_t capacity = 0;
  std::int64_t load = 0;
  // Requests may go to other regions.
  bool spills = false;

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("pool", self.pool);
    visit("region", self.region);
    visit("capacity", self.capacity);
    visit("load", self.load);
    visit("spills", self.spills);
  }
};

// One daemon that clients or daemons may connect to.
struct GatewayRow {
  static constexpr const char* wire_name = "GatewayRow";

  Address daemon{};
  std::string http_address{};
  ZoneName zone{};
  RegionName region{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("daemon", self.daemon);
    visit("http", self.http_address);
    visit("zone", self.zone);
    visit("region", self.region);
  }
};

// One row of a topic, encoded; see placement_slices.hpp.
struct SliceRow {
  static constexpr const char* wire_name = "SliceRow";

  std::string key{};
  Bytes body{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("key", self.key);
    visit("body", self.body);
  }
};

// What the master publishes.
struct PlacementMap {
  static constexpr const char* wire_name = "PlacementMap";

  MapVersion version{};
  // Of the configuration that the map was worked out from.
  std::int64_t config_revision = 0;
  Address master{};
  std::vector<PlanRow> plans{};
  // Of the configuration since which the route table is unchanged.
  std::int64_t routing_table_revision = 0;
  // The route table, cut into rows; left out for receivers that hold it.
  std::vector<SliceRow> routing_table{};
  std::vector<RunnerRow> runners{};
  std::vector<RegionRow> regions{};
  // The data daemons that clients may be sent to.
  std::vector<GatewayRow> gateways{};
  // The control daemons that follow the master.
  std::vector<GatewayRow> edges{};
  std::vector<ZoneName> evacuated_zones{};

  template <class Self, class Visitor>
  static void visit_fields(Self& self, Visitor&& visit) {
    visit("version", self.version);
    visit("config_revision", self.config_revision);
    visit("master", self.master);
    visit("plans", self.plans);
    visit("traffic_of", self.routing_table_revision);
    visit("traffic", self.routing_table);
    visit("runners", self.runners);
    visit("regions", self.regions);
    visit("gateways", self.gateways);
    visit("edges", self.edges);
    visit("emptied", self.evacuated_zones);
  }
};

}  // namespace emberdale