// JSON as text, whatever bytes its strings hold.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

namespace emberdale {

// Bytes that are no UTF-8 (a name or a reason that quotes what came from outside) are replaced, never thrown at.
// Example: json_text({{"reason", "caf\xe9"}}) is valid JSON
inline std::string json_text(const nlohmann::json& value, int indent = -1) {
  return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace emberdale
