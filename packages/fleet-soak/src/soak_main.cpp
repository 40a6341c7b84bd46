// emberdale-fleet-soak: the soak of our own interface.
#include "own_face.hpp"
#include "soak_program.hpp"

int main(int argc, char** argv) {
  using namespace emberdale::soak;
  return run_soak_program("emberdale-fleet-soak", argc, argv, [](const FaceOptions& options) {
    return std::make_unique<OwnFace>(options.folder, options.programs);
  });
}
