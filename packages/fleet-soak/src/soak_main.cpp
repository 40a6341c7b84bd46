// emberdale-fleet-soak: the soak of our own interface.
#include "own_face.hpp"
#include "soak_program.hpp"

int main(int argc, char** argv) {
  return emberdale::soak::run_soak_program("emberdale-fleet-soak", argc, argv,
                                           [](const auto& folder, const auto& programs, int) {
                                             return std::make_unique<emberdale::soak::OwnFace>(folder, programs);
                                           });
}
