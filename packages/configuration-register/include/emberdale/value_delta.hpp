// What one value of the register has that another has not, for a receiver that holds the other one.
#pragma once
#include <optional>
#include <string>

namespace emberdale {

// Example: apply_delta(base, make_delta(base, target)) == target
std::string make_delta(const std::string& base, const std::string& target);

// Nothing if the delta is not one, or does not fit a base of this size. That it was made for this very base is proven
// by the digest of the result alone. Example: auto whole = apply_delta(base, delta)
std::optional<std::string> apply_delta(const std::string& base, const std::string& delta);

}  // namespace emberdale
