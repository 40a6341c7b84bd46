// The command line of a soak, the same for each face of the system. See docs/soak.md.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "soak_face.hpp"

namespace emberdale::soak {

// Makes the face for one seed, with a fresh folder and so many data daemons in each zone, if the face lets them be
// chosen. Example: make_face("fleet-soak/seed-1", "build/bin", 2)
using FaceMaker =
    std::function<std::unique_ptr<SoakFace>(const std::string& folder, const std::string& programs, int data_daemons)>;

// Reads the arguments, plays the seeds and prints what was found; gives the exit status.
int run_soak_program(const std::string& program, int argc, char** argv, const FaceMaker& make_face);

}  // namespace emberdale::soak
