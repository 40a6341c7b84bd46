#include "scale_runs.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>

namespace emberdale::scale {
namespace {

// A straight line through the sizes, its spread, and how the last two sizes grow (1: in proportion).
struct Line {
  double slope = 0, error = 0, start = 0, fit = 0, power = 0;
};

Line fit_line(const std::vector<int>& sizes, const std::vector<double>& values) {
  Line line;
  auto count = static_cast<double>(sizes.size());
  if (sizes.size() < 2)
    return line;
  double mean_x = 0, mean_y = 0, xx = 0, xy = 0, yy = 0, rest = 0;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    mean_x += sizes[i] / count;
    mean_y += values[i] / count;
  }
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    xx += (sizes[i] - mean_x) * (sizes[i] - mean_x);
    xy += (sizes[i] - mean_x) * (values[i] - mean_y);
    yy += (values[i] - mean_y) * (values[i] - mean_y);
  }
  line.slope = xy / xx;
  line.start = mean_y - line.slope * mean_x;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    double off = values[i] - line.start - line.slope * sizes[i];
    rest += off * off;
  }
  line.fit = yy == 0 ? 1 : 1 - rest / yy;
  line.error = count > 2 ? std::sqrt(rest / (count - 2) / xx) : 0;
  std::size_t last = sizes.size() - 1;
  if (values[last] > 0 && values[last - 1] > 0)
    line.power =
        std::log(values[last] / values[last - 1]) / std::log(static_cast<double>(sizes[last]) / sizes[last - 1]);
  return line;
}

// One measured thing at every size, in the order in which it first came up.
class Table {
 public:
  void add(const std::string& what, std::size_t column, double value) {
    if (rows_.count(what) == 0)
      order_.push_back(what);
    auto& row = rows_[what];
    if (row.size() <= column)
      row.resize(column + 1, 0);
    row[column] = value;
  }
  void print(const std::string& title, const std::vector<int>& sizes) const {
    std::printf("-- %s\n%-56s", title.c_str(), "");
    for (int size : sizes)
      std::printf(" %11d", size);
    std::printf("   slope (+- error), R2, power of the last step\n");
    for (const auto& what : order_) {
      auto values = rows_.at(what);
      values.resize(sizes.size(), 0);
      std::printf("%-56s", what.c_str());
      for (double value : values)
        std::printf(value >= 1000 ? " %11.0f" : value >= 10 ? " %11.1f" : " %11.3f", value);
      Line line = fit_line(sizes, values);
      std::printf("   %.4g (+- %.2g), %.3f, %.2f\n", line.slope, line.error, line.fit, line.power);
    }
    std::fflush(stdout);
  }

 private:
  std::vector<std::string> order_;
  std::map<std::string, std::vector<double>> rows_;
};

struct Dimension {
  std::string what;
  std::vector<int> sizes;
  std::function<ScaleShape(int)> shape;
};

ScaleShape with_daemons(int daemons) {
  ScaleShape shape;
  shape.edges = (daemons - shape.cores) / 2;
  shape.gateways = daemons - shape.cores - shape.edges;
  return shape;
}

std::map<std::string, Dimension> dimensions() {
  std::map<std::string, Dimension> list;
  list["daemons"] = {
      "daemons: 3 core, the rest half edge, half data; 14 runners, 4 plans", {12, 48, 96, 192}, with_daemons};
  list["data"] = {"data daemons before 42 control daemons (3 core, 39 edge); 14 runners, 4 plans",
                  {12, 48, 192, 638},
                  [](int gateways) {
                    ScaleShape shape;
                    shape.edges = 39;
                    shape.gateways = gateways;
                    return shape;
                  }};
  list["runners"] = {"runners; 12 daemons, 4 plans", {14, 120, 400, 1000}, [](int runners) {
                       ScaleShape shape = with_daemons(12);
                       shape.runners = runners;
                       return shape;
                     }};
  list["idle-runners"] = {
      "runners whose load stands still; 12 daemons, 4 plans", {14, 120, 400, 1000}, [](int runners) {
        ScaleShape shape = with_daemons(12);
        shape.runners = runners;
        shape.is_busy = false;
        return shape;
      }};
  list["zones"] = {
      "zones; 295 daemons (3 core, 146 edge, 146 data), 292 runners, 4 plans", {3, 12, 48, 146}, [](int zones) {
        ScaleShape shape;
        shape.zones = zones;
        shape.edges = shape.gateways = 146;
        shape.runners = 292;
        return shape;
      }};
  list["bare-zones"] = {
      "zones, more of them than edge daemons; 188 daemons (3 core, 39 edge, 146 data), 292 runners, 4 plans",
      {3, 12, 39, 146},
      [](int zones) {
        ScaleShape shape;
        shape.zones = zones;
        shape.edges = 39;
        shape.gateways = 146;
        shape.runners = 292;
        return shape;
      }};
  list["plans"] = {"plans (each one route); 12 daemons, 14 runners", {10, 100, 400, 1000}, [](int plans) {
                     ScaleShape shape = with_daemons(12);
                     shape.plans = plans;
                     return shape;
                   }};
  list["changes"] = {"changes a minute; 21 daemons, 14 runners, 100 plans", {6, 60, 240, 600}, [](int changes) {
                       ScaleShape shape;
                       shape.changes_a_minute = changes;
                       shape.plans = 100;
                       return shape;
                     }};
  list["changes-in-a-fleet"] = {
      "changes a minute; 48 daemons, 200 runners, 250 plans", {6, 30, 63, 120}, [](int changes) {
        ScaleShape shape = with_daemons(48);
        shape.changes_a_minute = changes;
        shape.runners = 200;
        shape.plans = 250;
        return shape;
      }};
  list["enrolment"] = {
      "edge daemons that all enrol themselves at once; as many data daemons", {9, 24, 36, 48}, [](int edges) {
        ScaleShape shape;
        shape.edges = shape.gateways = edges;
        shape.is_enrolled = false;
        return shape;
      }};
  list["faults"] = {"daemons, as above, with one fault of each kind", {12, 24, 48, 96}, with_daemons};
  return list;
}

double median(std::vector<std::int64_t> values) {
  if (values.empty())
    return -1;
  std::sort(values.begin(), values.end());
  return static_cast<double>(values[values.size() / 2]);
}

double largest(const std::vector<std::int64_t>& values) {
  return values.empty() ? -1 : static_cast<double>(*std::max_element(values.begin(), values.end()));
}

// Loads of one role: of the busiest daemon of it, and of the mean one.
void add_loads(Table& table, ScaleFleet& fleet, std::size_t column, double seconds) {
  const auto& counts = fleet.counts();
  auto leader = fleet.master();
  for (const std::string role : {"core", "master", "edge", "data"}) {
    std::vector<std::size_t> list = role == "master"
                                        ? leader ? std::vector<std::size_t>{*leader} : std::vector<std::size_t>{}
                                        : fleet.of_role(role);
    if (role == "edge" && leader)
      list.erase(std::remove(list.begin(), list.end(), *leader), list.end());
    if (list.empty())
      continue;
    double in = 0, out = 0, bytes = 0, machine = 0, codec = 0, most_bytes = 0, most_ns = 0, most_in = 0;
    for (auto index : list) {
      const auto& at = counts.daemons[index];
      double its_bytes = static_cast<double>(at.bytes_in + at.bytes_out),
             its_ns = static_cast<double>(at.machine_ns + at.codec_ns);
      in += static_cast<double>(at.in);
      out += static_cast<double>(at.out);
      bytes += its_bytes;
      machine += static_cast<double>(at.machine_ns);
      codec += static_cast<double>(at.codec_ns);
      most_in = std::max(most_in, static_cast<double>(at.in));
      most_bytes = std::max(most_bytes, its_bytes);
      most_ns = std::max(most_ns, its_ns);
    }
    double share = seconds * static_cast<double>(list.size());
    bool is_many = role == "edge" || role == "data";
    table.add(role + ": messages in/s" + (is_many ? ", mean" : ""), column, in / share);
    table.add(role + ": messages out/s", column, out / share);
    if (is_many)
      table.add(role + ": messages in/s, busiest", column, most_in / seconds);
    table.add(role + ": KB/s, in and out" + (is_many ? ", mean" : ""), column, bytes / share / 1000);
    if (is_many)
      table.add(role + ": KB/s, busiest", column, most_bytes / seconds / 1000);
    table.add(role + ": % of a core, state machines", column, machine / share / 1e7);
    table.add(role + ": % of a core, with the codec", column, (machine + codec) / share / 1e7);
    if (is_many)
      table.add(role + ": % of a core, busiest", column, most_ns / seconds / 1e7);
  }
}

void add_sizes(Table& table, const ScaleFleet& fleet, std::size_t column) {
  auto sizes = fleet.sizes();
  table.add("register's value, KB", column, static_cast<double>(sizes.state) / 1000);
  table.add("map on the wire, KB", column, static_cast<double>(sizes.map) / 1000);
  table.add("slice of plans and daemons, KB", column, static_cast<double>(sizes.plans_slice) / 1000);
  table.add("slices of all pools, KB", column, static_cast<double>(sizes.pool_slices) / 1000);
}

// Heap of the first daemon of each role; this ends them.
void add_heaps(Table& table, ScaleFleet& fleet, std::size_t column) {
  auto leader = fleet.master();
  auto edges = fleet.of_role("edge");
  const auto& counts = fleet.counts();
  if (leader)
    edges.erase(std::remove(edges.begin(), edges.end(), *leader), edges.end());
  std::size_t busiest = *std::max_element(
      edges.begin(), edges.end(), [&](auto a, auto b) { return counts.daemons[a].out < counts.daemons[b].out; });
  std::size_t core = fleet.of_role("core").front(), gateway = fleet.of_role("data").front();
  table.add("heap of the master, KB", column, leader ? static_cast<double>(fleet.weigh(*leader)) / 1000 : -1);
  table.add("heap of the busiest edge, KB", column, static_cast<double>(fleet.weigh(busiest)) / 1000);
  table.add("heap of a core, KB", column, static_cast<double>(fleet.weigh(core)) / 1000);
  table.add("heap of a data daemon, KB", column, static_cast<double>(fleet.weigh(gateway)) / 1000);
}

void add_messages(Table& numbers, Table& bytes, Table& times, const ScaleCounts& counts, std::size_t column,
                  double seconds) {
  for (std::size_t from = 0; from < role_count; ++from)
    for (std::size_t to = 0; to < role_count; ++to)
      for (std::size_t kind = 0; kind < message_kinds; ++kind) {
        const auto& counter = counts.sent[from][to][kind];
        if (counter.number == 0)
          continue;
        std::string what = std::string(role_name(static_cast<int>(from))) + " -> " + role_name(static_cast<int>(to)) +
                           " " + message_name(kind);
        numbers.add(what, column, static_cast<double>(counter.number) / seconds);
        bytes.add(what, column, static_cast<double>(counter.bytes) / static_cast<double>(counter.number));
      }
  for (std::size_t role = 0; role < role_count; ++role)
    for (std::size_t kind = 0; kind < message_kinds + 2; ++kind) {
      const auto& counter = counts.handled[role][kind];
      if (counter.number < 4)
        continue;
      std::string what = kind == message_kinds       ? "alarm (40 a second)"
                         : kind == message_kinds + 1 ? "probe's answer"
                                                     : message_name(kind);
      times.add(std::string(role_name(static_cast<int>(role))) + " " + what, column,
                static_cast<double>(counter.ns) / static_cast<double>(counter.number));
    }
  for (std::size_t kind = 0; kind < message_kinds; ++kind) {
    const auto& out = counts.encoded[kind];
    const auto& in = counts.decoded[kind];
    if (out.number < 16)
      continue;
    times.add(std::string("encode ") + message_name(kind), column,
              static_cast<double>(out.ns) / static_cast<double>(out.number));
    double per_byte = in.bytes == 0 ? 0 : static_cast<double>(in.ns) / static_cast<double>(in.bytes);
    times.add(std::string("decode ") + message_name(kind), column,
              per_byte * static_cast<double>(out.bytes) / static_cast<double>(out.number));
  }
}

struct Fault {
  std::string what;
  std::function<void(ScaleFleet&)> bring, repair;
};

std::vector<Fault> faults() {
  auto of_zone = [](ScaleFleet& fleet, const ZoneName& zone) {
    std::vector<std::size_t> list;
    for (std::size_t i = 0; i < fleet.daemons().size(); ++i)
      if (fleet.daemons()[i].zone == zone)
        list.push_back(i);
    return list;
  };
  static std::size_t gone = 0;
  auto repair_one = [](ScaleFleet& fleet) {
    fleet.start(gone);
  };
  auto other_edge = [](ScaleFleet& fleet) {
    for (auto index : fleet.of_role("edge"))
      if (index != fleet.master())
        return index;
    return std::size_t{0};
  };
  auto last_zone = [](ScaleFleet& fleet) {
    return fleet.daemons()[2].zone;
  };
  return {
      {"none", [](ScaleFleet&) {},
       [](ScaleFleet&) {
       }},
      {"runner lost", [](ScaleFleet& fleet) { fleet.kill_runner("runner-100000"); },
       [](ScaleFleet& fleet) {
         fleet.start_runner("runner-100000");
       }},
      {"data daemon killed", [](ScaleFleet& fleet) { fleet.kill(gone = fleet.of_role("data").front()); }, repair_one},
      {"edge daemon killed", [other_edge](ScaleFleet& fleet) { fleet.kill(gone = other_edge(fleet)); }, repair_one},
      {"edge machine without power", [other_edge](ScaleFleet& fleet) { fleet.kill(gone = other_edge(fleet), true); },
       repair_one},
      {"core machine without power", [](ScaleFleet& fleet) { fleet.kill(gone = 0, true); }, repair_one},
      {"master killed", [](ScaleFleet& fleet) { fleet.kill(gone = *fleet.master()); }, repair_one},
      {"master without power", [](ScaleFleet& fleet) { fleet.kill(gone = *fleet.master(), true); }, repair_one},
      {"rack (a tenth of the daemons) without power",
       [](ScaleFleet& fleet) {
         for (std::size_t i = 3; i < fleet.daemons().size(); i += 10)
           fleet.kill(i, true);
       },
       [](ScaleFleet& fleet) {
         for (std::size_t i = 3; i < fleet.daemons().size(); i += 10)
           fleet.start(i);
       }},
      {"zone without power",
       [of_zone, last_zone](ScaleFleet& fleet) {
         for (auto index : of_zone(fleet, last_zone(fleet)))
           fleet.kill(index, true);
       },
       [of_zone, last_zone](ScaleFleet& fleet) {
         for (auto index : of_zone(fleet, last_zone(fleet)))
           fleet.start(index);
       }},
      {"regions apart", [](ScaleFleet& fleet) { fleet.cut_region(fleet.daemons()[2].region); },
       [](ScaleFleet& fleet) {
         fleet.heal();
       }},
  };
}

int run_faults(const Dimension& dimension, const std::vector<int>& sizes, Duration window) {
  Table table;
  for (std::size_t column = 0; column < sizes.size(); ++column) {
    ScaleFleet fleet(1, dimension.shape(sizes[column]));
    auto up = fleet.bring_up();
    if (!up) {
      std::cout << sizes[column] << ": " << up.reason << std::endl;
      return 1;
    }
    fleet.run(Duration{8000});
    double quiet = 0;
    for (const auto& fault : faults()) {
      std::int64_t term = fleet.term();
      fleet.reset();
      std::int64_t begun = fleet.now();
      fault.bring(fleet);
      std::int64_t led_again = -1;
      if (fault.what.find("master") == 0 && fleet.run_until([&] { return fleet.term() > term; }, window))
        led_again = fleet.now() - begun;
      fleet.run(Duration{window.value - (fleet.now() - begun)});
      double without = fleet.samples == 0 ? 0
                                          : 1000.0 * static_cast<double>(fleet.samples_without_grant) /
                                                static_cast<double>(fleet.samples);
      auto maps = fleet.maps_published;
      fault.repair(fleet);
      fleet.run(window);
      const auto& counts = fleet.counts();
      if (fault.what == "none")
        quiet = static_cast<double>(counts.messages);
      table.add(fault.what + ": messages more", column, static_cast<double>(counts.messages) - quiet);
      table.add(fault.what + ": register rounds", column, static_cast<double>(counts.register_rounds));
      table.add(fault.what + ": terms", column, static_cast<double>(fleet.term() - term));
      table.add(fault.what + ": maps until mended", column, static_cast<double>(maps));
      table.add(fault.what + ": no grant, of 1000", column, without);
      if (led_again >= 0)
        table.add(fault.what + ": ms to a new term", column, static_cast<double>(led_again));
      std::cerr << sizes[column] << " " << fault.what << std::endl;
      fleet.run(Duration{10000});
    }
  }
  std::printf("%s; %lld s of the fault and as long after its end\n", dimension.what.c_str(),
              static_cast<long long>(window.value / 1000));
  table.print("what one fault costs", sizes);
  return 0;
}

}  // namespace

std::vector<std::string> scale_dimensions() {
  std::vector<std::string> names;
  for (const auto& [name, dimension] : dimensions())
    names.push_back(name);
  return names;
}

int run_scale(const std::string& name, std::vector<int> sizes, Duration window) {
  auto list = dimensions();
  auto entry = list.find(name);
  if (entry == list.end()) {
    std::cerr << "emberdale-fleet-simulator: there is no dimension '" << name << "'\n";
    return 2;
  }
  const Dimension& dimension = entry->second;
  if (sizes.empty())
    sizes = dimension.sizes;
  if (name == "faults")
    return run_faults(dimension, sizes, window);
  Table loads, numbers, bytes, times;
  double seconds = static_cast<double>(window.value) / 1000;
  for (std::size_t column = 0; column < sizes.size(); ++column) {
    ScaleFleet fleet(1, dimension.shape(sizes[column]));
    auto up = fleet.bring_up();
    if (!up) {
      std::cout << name << " " << sizes[column] << ": " << up.reason << std::endl;
      return 1;
    }
    loads.add("brought up: virtual ms", column, static_cast<double>(fleet.now()));
    loads.add("brought up: messages", column, static_cast<double>(fleet.counts().messages));
    loads.add("brought up: register rounds", column, static_cast<double>(fleet.counts().register_rounds));
    fleet.run(std::min(window, Duration{5000}));
    fleet.reset();
    fleet.run(window);
    const auto& counts = fleet.counts();
    loads.add("all: messages/s", column, static_cast<double>(counts.messages) / seconds);
    loads.add("all: KB/s", column, static_cast<double>(counts.bytes) / seconds / 1000);
    loads.add("maps a second", column, static_cast<double>(fleet.maps_published) / seconds);
    loads.add("register rounds a second", column, static_cast<double>(counts.register_rounds) / seconds);
    if (dimension.shape(sizes[column]).changes_a_minute > 0) {
      loads.add("changes asked", column, static_cast<double>(fleet.changes_asked));
      loads.add("changes that failed", column, static_cast<double>(fleet.changes_failed));
      loads.add("change acknowledged, median ms", column, median(fleet.acknowledged_ms));
      loads.add("change acknowledged, longest ms", column, largest(fleet.acknowledged_ms));
      loads.add("change in force everywhere, median ms", column, median(fleet.in_force_ms));
      loads.add("change in force everywhere, longest ms", column, largest(fleet.in_force_ms));
      loads.add("changes in force", column, static_cast<double>(fleet.in_force_ms.size()));
    }
    add_loads(loads, fleet, column, seconds);
    add_messages(numbers, bytes, times, counts, column, seconds);
    add_sizes(loads, fleet, column);
    loads.add("disk of a core since the founding, KB", column, static_cast<double>(fleet.sizes().disk) / 1000);
    add_heaps(loads, fleet, column);
    std::cerr << name << " " << sizes[column] << std::endl;
  }
  std::printf("%s; %g virtual seconds each\n", dimension.what.c_str(), seconds);
  loads.print("loads, sizes and processor time", sizes);
  numbers.print("messages a second that arrive, by sender, receiver and kind", sizes);
  bytes.print("bytes of each, framed", sizes);
  times.print("ns of processor time for each: handled by a state machine; encoded; decoded", sizes);
  return 0;
}

}  // namespace emberdale::scale
