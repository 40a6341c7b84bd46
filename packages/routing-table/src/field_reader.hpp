// Reads the fields of JSON objects by their keys, and collects what is wrong with each.
// Without I/O, clock or threads.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "emberdale/serving_plans.hpp"

namespace emberdale {

// The greatest whole number that every JSON reader keeps exactly (2^53 - 1).
inline constexpr std::int64_t max_exact_integer = 9007199254740991;

// The place of one item of a list. Example: item_place("/routes", 4) == "/routes/4"
inline std::string item_place(const std::string& list, std::size_t index) { return list + "/" + std::to_string(index); }

// Each read function takes the object, the place of the object (a JSON pointer) and the key. A field of the wrong type
// or range is an error at its place, and reads as the default. The findings must outlive the reader; their lines and
// columns are given later (set_positions).
class FieldReader {
 public:
  using Json = nlohmann::json;

  explicit FieldReader(std::vector<Finding>& findings) : findings_(findings) {}

  // Whether no error has been found so far.
  bool is_sound() const { return error_count_ == 0; }
  void error(const std::string& place, const std::string& message);

  // The object's member, or null.
  static const Json* find(const Json& object, const char* key);
  // Text that is not empty.
  std::string text(const Json& object, const std::string& place, const char* key, bool is_required = true,
                   const std::string& default_value = "");
  bool boolean(const Json& object, const std::string& place, const char* key, bool default_value);
  // A whole number from `low` to `high`.
  std::int64_t integer(const Json& object, const std::string& place, const char* key, std::int64_t default_value,
                       std::int64_t low, std::int64_t high = max_exact_integer);
  std::int64_t required_integer(const Json& object, const std::string& place, const char* key,
                                std::int64_t default_value, std::int64_t low, std::int64_t high = max_exact_integer);
  // A finite number of seconds, or of something per second, from 0 up.
  double seconds(const Json& object, const std::string& place, const char* key, double default_value);
  // A list or an object; null if it is missing or (with a finding) of another type.
  const Json* part(const Json& object, const std::string& place, const char* key, Json::value_t type);
  const Json* required_part(const Json& object, const std::string& place, const char* key, Json::value_t type);

 private:
  std::vector<Finding>& findings_;
  int error_count_ = 0;
};

}  // namespace emberdale
