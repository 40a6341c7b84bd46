// Records declared as tables: one macro line a field gives the struct, its Avro schema and its codec.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "emberdale/small_types.hpp"

namespace emberdale {

struct Bytes {
  std::string data;
  friend bool operator==(const Bytes& a, const Bytes& b) { return a.data == b.data; }
};

}  // namespace emberdale

#define EMBERDALE_FIELD_DECLARE(type, name) type name{};
#define EMBERDALE_FIELD_VISIT(type, name) visit(#name, self.name);

// Example:
//   #define POINT_FIELDS(F) F(std::int64_t, x) F(std::int64_t, y)
//   EMBERDALE_RECORD(Point, POINT_FIELDS)
#define EMBERDALE_RECORD(Name, TABLE)                                                     \
  struct Name {                                                                           \
    static constexpr const char* record_name = #Name;                                     \
    TABLE(EMBERDALE_FIELD_DECLARE)                                                        \
    template <class Self, class Visit>                                                    \
    static void each_field([[maybe_unused]] Self& self, [[maybe_unused]] Visit&& visit) { \
      TABLE(EMBERDALE_FIELD_VISIT)                                                        \
    }                                                                                     \
  };
