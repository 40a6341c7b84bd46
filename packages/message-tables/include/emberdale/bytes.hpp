// A byte string, told apart from text by the codec.
#pragma once
#include <string>

namespace emberdale {

struct Bytes {
  std::string data;
  friend bool operator==(const Bytes& a, const Bytes& b) { return a.data == b.data; }
};

}  // namespace emberdale
