#include "soak_program.hpp"

#include <docopt/docopt.h>
#include <pplx/threadpool.h>
#include <sys/resource.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "emberdale/program_settings.hpp"
#include "soak.hpp"

namespace emberdale::soak {
namespace {

const char usage[] = R"(A whole fleet of real processes under seeded troubles that overlap.

Usage:
  soak [options]

Ends with 1 where a rule was violated; the folder of that seed is kept: schedule, records, logs.

Options:
  --seed N            First seed [default: 1].
  --count K           How many seeds, one after the other [default: 1].
  --seconds S         Length of the load of each seed [default: 25].
  --data-daemons N    Data daemons in each zone, on the platform [default: 2].
  --crowd N           Connections of a crowd at one port [default: 700].
  --folder FOLDER     Removed at the start [default: fleet-soak].
  --programs FOLDER   Where the programs are; else beside this one.
  --keep              Keep the folders of seeds without a violation, too.
  -h --help           Show this.
)";

constexpr int http_threads = 4;
constexpr std::size_t shown_violations = 20;
constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t fewer_descriptors = 200;  // of a daemon than connections in a crowd

void print_report(const SoakReport& report, const std::string& folder) {
  std::cout << report.figures.dump() << "\n";
  std::map<std::string, int> count_of_rule;
  for (const auto& violation : report.violations)
    ++count_of_rule[violation.rule];
  for (const auto& [rule, count] : count_of_rule)
    std::cout << "  VIOLATED " << count << " times: " << rule << "\n";
  for (std::size_t i = 0; i < std::min(shown_violations, report.violations.size()); ++i)
    std::cout << "    " << report.violations[i].rule << ": " << report.violations[i].what << "\n";
  if (!report.violations.empty())
    std::cout << "  kept: " << folder << "\n";
  std::cout << std::flush;
}

// For the connections of a crowd.
void raise_descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void write_violations(const SoakReport& report, const std::string& file) {
  std::ofstream stream(file);
  for (const auto& violation : report.violations)
    stream << violation.rule << ": " << violation.what << "\n";
}

}  // namespace

int run_soak_program(const std::string& program, int argc, char** argv, const FaceMaker& make_face) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, program);
  std::string self = argv[0];
  SoakOptions options;
  std::string programs =
      arguments["--programs"].isString() ? arguments["--programs"].asString() : self.substr(0, self.rfind('/'));
  options.crowd_connections = static_cast<std::size_t>(arguments["--crowd"].asLong());
  options.length = Duration{arguments["--seconds"].asLong() * ms_per_second};
  start_program(program.c_str());
  raise_descriptor_limit();
  crossplat::threadpool::initialize_with_threads(http_threads);
  std::filesystem::create_directories(arguments["--folder"].asString());
  auto first = arguments["--seed"].asLong(), count = arguments["--count"].asLong();
  int data_daemons = static_cast<int>(arguments["--data-daemons"].asLong());
  // A crowd that nobody bounds would take them all.
  auto max_descriptors = static_cast<std::int64_t>(options.crowd_connections) - fewer_descriptors;
  std::size_t violations = 0;
  for (auto seed = first; seed < first + count; ++seed) {
    options.seed = static_cast<std::uint64_t>(seed);
    options.folder = arguments["--folder"].asString() + "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(options.folder);  // an earlier run's records would count as this one's
    SoakReport report;
    {
      auto face = make_face({options.folder, programs, data_daemons, max_descriptors});
      report = Soak(*face, options).run();
    }
    print_report(report, options.folder);
    write_violations(report, options.folder + "/violations");
    violations += report.violations.size();
    if (report.violations.empty() && !arguments["--keep"].asBool())
      std::filesystem::remove_all(options.folder);
  }
  std::cout << count << " seeds, " << violations << " violations" << std::endl;
  return violations == 0 ? 0 : 1;
}

}  // namespace emberdale::soak
