// The command line of a soak, the same for each face of the system. See docs/soak.md.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "soak_face.hpp"

namespace emberdale::soak {

// Of the fleet for one seed. Faces whose fleet can't be chosen pass over the counts.
struct FaceOptions {
  std::string folder;                // fresh, e.g. "fleet-soak/seed-1"
  std::string programs;              // where they are, e.g. "build/bin"
  int data_daemons = 2;              // in each zone
  std::int64_t max_descriptors = 0;  // of a process
};
using FaceMaker = std::function<std::unique_ptr<SoakFace>(const FaceOptions& options)>;

// Reads the arguments, plays the seeds and prints what was found; gives the exit status.
int run_soak_program(const std::string& program, int argc, char** argv, const FaceMaker& make_face);

}  // namespace emberdale::soak
