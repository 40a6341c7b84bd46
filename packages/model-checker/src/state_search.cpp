#include "emberdale/state_search.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace emberdale {
namespace {

// One state on the path under search, and which of its choices is next.
struct Frame {
  RegisterWorld world;
  std::vector<RegisterWorld::Action> actions;
  std::size_t next = 0;
};

class ExhaustiveSearch {
 public:
  explicit ExhaustiveSearch(const SearchBounds& bounds) : bounds_(bounds), depth_(bounds.depth) {}

  SearchResult run(const RegisterWorld& start) {
    enter(start);
    while (!path_.empty() && result_.states < bounds_.states) {
      Frame& top = path_.back();
      if (top.next == top.actions.size()) {
        path_.pop_back();
        continue;
      }
      RegisterWorld next = top.world;
      next.step(top.actions[top.next++]);
      ++result_.steps;
      enter(std::move(next));
    }
    result_.is_complete = result_.is_complete && path_.empty();
    return result_;
  }

 private:
  void enter(RegisterWorld world) {
    std::size_t depth = path_.size();
    if (!world.violation().empty()) {
      take_violation(world.violation());
      return;
    }
    if (!is_new(world.fingerprint(), depth))
      return;
    result_.deepest = std::max(result_.deepest, depth);
    if (!is_probed_well(world))
      return;
    auto actions = world.actions();
    if (depth >= depth_) {
      result_.is_complete = result_.is_complete && actions.empty();
      return;
    }
    path_.push_back({std::move(world), std::move(actions)});
  }

  // A state that was reached before by a path as short has been searched as deep as this one could be.
  bool is_new(std::uint64_t print, std::size_t depth) {
    auto [entry, is_first] = visited_.try_emplace(print, static_cast<std::uint16_t>(depth));
    result_.states += is_first ? 1 : 0;
    if (is_first)
      return true;
    // Paths that no bound has cut off need no second visit.
    if (entry->second <= depth || (result_.is_complete && !result_.violation))
      return false;
    entry->second = static_cast<std::uint16_t>(depth);
    return true;
  }

  bool is_probed_well(const RegisterWorld& world) {
    if (bounds_.probe_every == 0 || world.fingerprint() % bounds_.probe_every != 0)
      return true;
    ++result_.probes;
    std::string reason = world.check_majorities();
    if (!reason.empty())
      take_violation(reason);
    return reason.empty();
  }

  void take_violation(const std::string& reason) {
    Trace trace{reason, {}};
    for (const auto& frame : path_)
      trace.choices.push_back(frame.next - 1);
    depth_ = trace.choices.empty() ? 0 : trace.choices.size() - 1;
    result_.violation = std::move(trace);
  }

  SearchBounds bounds_;
  std::size_t depth_;
  std::vector<Frame> path_;
  absl::flat_hash_map<std::uint64_t, std::uint16_t> visited_;
  SearchResult result_;
};

}  // namespace

SearchResult search_exhaustively(const RegisterWorld& start, const SearchBounds& bounds) {
  return ExhaustiveSearch(bounds).run(start);
}

SearchResult walk_randomly(const RegisterWorld& start, std::uint64_t seed, std::uint64_t walks,
                           const SearchBounds& bounds) {
  SearchResult result;
  result.is_complete = false;
  RandomGenerator random(seed);
  for (std::uint64_t walk = 0; walk < walks && !result.violation; ++walk) {
    RegisterWorld world = start;
    std::vector<std::size_t> choices;
    std::string reason;
    while (choices.size() < bounds.depth && reason.empty()) {
      auto actions = world.actions();
      if (actions.empty())
        break;
      choices.push_back(static_cast<std::size_t>(random.below(static_cast<std::int64_t>(actions.size()))));
      world.step(actions[choices.back()]);
      ++result.steps;
      reason = world.violation();
      if (reason.empty() && bounds.probe_every != 0 && result.steps % bounds.probe_every == 0) {
        ++result.probes;
        reason = world.check_majorities();
      }
    }
    result.deepest = std::max(result.deepest, choices.size());
    if (!reason.empty())
      result.violation = Trace{reason, choices};
  }
  return result;
}

std::vector<std::string> tell(RegisterWorld world, const std::vector<std::size_t>& choices) {
  std::vector<std::string> lines;
  for (std::size_t choice : choices) {
    auto actions = world.actions();
    if (choice >= actions.size()) {
      lines.push_back("choice " + std::to_string(choice) + " is not among the " + std::to_string(actions.size()) +
                      " that are there: the trace belongs to another scenario");
      return lines;
    }
    std::string line = world.describe(actions[choice]);
    world.step(actions[choice]);
    for (const auto& event : world.events())
      line += "; " + event;
    lines.push_back(line);
  }
  std::string reason = world.violation().empty() ? world.check_majorities() : world.violation();
  lines.push_back(reason.empty() ? "no invariant is broken" : "VIOLATION: " + reason);
  return lines;
}

std::string show(const std::vector<std::size_t>& choices) {
  std::string text;
  for (std::size_t choice : choices)
    text += (text.empty() ? "" : ",") + std::to_string(choice);
  return text;
}

std::optional<std::vector<std::size_t>> read_choices(const std::string& text) {
  std::vector<std::size_t> choices;
  std::size_t at = 0;
  while (at < text.size()) {
    std::size_t end = std::min(text.find(',', at), text.size());
    std::string number = text.substr(at, end - at);
    bool is_number = !number.empty() && number.size() < 7 &&
                     std::all_of(number.begin(), number.end(), [](unsigned char digit) { return std::isdigit(digit); });
    if (!is_number)
      return std::nullopt;
    choices.push_back(std::stoul(number));
    at = end + 1;
  }
  return choices;
}

}  // namespace emberdale
