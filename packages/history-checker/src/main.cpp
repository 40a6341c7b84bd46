// emberdale-history-checker: judges a recorded history.
#include <docopt/docopt.h>

#include <chrono>
#include <fstream>
#include <iostream>

#include "emberdale/linearizability.hpp"

namespace emberdale::history {
namespace {

const char usage[] =
    R"(emberdale-history-checker: tells whether recorded calls of operators and readers are linearizable.

Usage:
  emberdale-history-checker FILE [--state-limit N]
  emberdale-history-checker (-h | --help)

FILE holds a JSON line for each call (docs/history-checker.md).

Options:
  --state-limit N  Give up for an object after so many states [default: 300000].
  -h --help        Show this.

Exit status: 0 linearizable; 1 not linearizable; 2 the file can't be read; 3 undecided.
)";

enum ExitStatus { linearizable = 0, not_linearizable = 1, unreadable = 2, undecided = 3 };

int exit_status(Verdict verdict) {
  if (verdict == Verdict::linearizable)
    return linearizable;
  return verdict == Verdict::not_linearizable ? not_linearizable : undecided;
}

int run(int argc, char** argv) {
  auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true, "emberdale-history-checker 0.1");
  std::ifstream file(arguments["FILE"].asString());
  if (!file) {
    std::cerr << arguments["FILE"].asString() << " can't be read\n";
    return unreadable;
  }
  auto history = read_history(file);
  if (!history) {
    std::cerr << history.reason << "\n";
    return unreadable;
  }
  std::int64_t state_limit = std::atoll(arguments["--state-limit"].asString().c_str());
  auto began = std::chrono::steady_clock::now();
  HistoryVerdict verdict = check_history(*history, state_limit);
  auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
  std::cout << report(verdict) << "took " << took.count() << " ms\n";
  return exit_status(verdict.verdict);
}

}  // namespace
}  // namespace emberdale::history

int main(int argc, char** argv) { return emberdale::history::run(argc, argv); }
