// Searches of a world's space of states: every interleaving up to bounds, and seeded walks beyond them.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/register_world.hpp"

namespace emberdale {

struct SearchBounds {
  std::size_t depth = 60;         // choices on one path
  std::uint64_t states = 20000;   // different states visited; the search ends there, incomplete
  std::uint64_t probe_every = 0;  // about one state in so many is probed for its majorities; 0: none
};

// A path that breaks an invariant: the index of each choice among those that were there.
struct Trace {
  std::string reason;
  std::vector<std::size_t> choices;
};

struct SearchResult {
  std::uint64_t states = 0, steps = 0, probes = 0;
  std::size_t deepest = 0;
  bool is_complete = true;  // every path was followed to its end: no bound of depth or states cut one off
  std::optional<Trace> violation;
};

// Depth first over every choice, each state once. After a violation it goes on for a shorter trace, within bounds.
// Example: search_exhaustively(RegisterWorld(scenario), {60, 1000000, 0}).violation
SearchResult search_exhaustively(const RegisterWorld& start, const SearchBounds& bounds);

// So many walks of random choices. Example: walk_randomly(RegisterWorld(scenario), 7, 1000, {80, 0, 16}).violation
SearchResult walk_randomly(const RegisterWorld& start, std::uint64_t seed, std::uint64_t walks,
                           const SearchBounds& bounds);

// The steps of a trace in words, with what each brought about. Example: tell(world, trace.choices)
std::vector<std::string> tell(RegisterWorld world, const std::vector<std::size_t>& choices);

// Example: show(trace) == "1,4,0"; read_choices("1,4,0") gives the choices back, nothing if it is no such list.
std::string show(const std::vector<std::size_t>& choices);
std::optional<std::vector<std::size_t>> read_choices(const std::string& text);

}  // namespace emberdale
