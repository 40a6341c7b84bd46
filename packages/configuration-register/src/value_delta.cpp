#include "emberdale/value_delta.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace emberdale {
namespace {

constexpr std::size_t result_bound = std::size_t{64} << 20;
constexpr std::size_t chunk_bound = 1024;

// A delta is a row of steps: bytes to copy from the base, then bytes of its own.
struct Step {
  std::uint64_t from = 0, size = 0;
  std::string_view own;
};

// The end of the chunk that begins at `start`: behind the next '}', the end of a row in most of what a value holds.
std::size_t chunk_end(const std::string& text, std::size_t start) {
  std::size_t bound = std::min(start + chunk_bound, text.size());
  std::size_t brace = text.find('}', start);
  return brace == std::string::npos || brace + 1 > bound ? bound : brace + 1;
}

std::unordered_map<std::string_view, std::size_t> index_chunks(const std::string& base) {
  std::unordered_map<std::string_view, std::size_t> places;
  for (std::size_t start = 0; start < base.size();) {
    std::size_t end = chunk_end(base, start);
    places.emplace(std::string_view(base).substr(start, end - start), start);
    start = end;
  }
  return places;
}

std::size_t common_prefix(std::string_view a, std::string_view b) {
  std::size_t bound = std::min(a.size(), b.size());
  return static_cast<std::size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(bound), b.begin()).first - a.begin());
}

std::vector<Step> find_steps(const std::string& base, const std::string& target) {
  const auto places = index_chunks(base);
  const std::string_view held(base), wanted(target);
  // As far as both begin alike; then row by row, each as far as it goes on alike.
  std::vector<Step> steps{{0, common_prefix(held, wanted), {}}};
  std::size_t at = steps[0].size, own_start = at;
  while (at < target.size()) {
    std::size_t end = chunk_end(target, at);
    auto place = places.find(wanted.substr(at, end - at));
    if (place == places.end()) {
      at = end;
      steps.back().own = wanted.substr(own_start, at - own_start);
      continue;
    }
    std::size_t size = common_prefix(held.substr(place->second), wanted.substr(at));
    steps.push_back({place->second, size, {}});
    at += size;
    own_start = at;
  }
  return steps;
}

void put_number(std::string& out, std::uint64_t number) {
  for (; number >= 128; number >>= 7)
    out += static_cast<char>(128 | (number & 127));
  out += static_cast<char>(number);
}

std::optional<std::uint64_t> get_number(const std::string& bytes, std::size_t& at) {
  std::uint64_t number = 0;
  for (int shift = 0; shift < 63 && at < bytes.size(); shift += 7) {
    auto byte = static_cast<unsigned char>(bytes[at++]);
    number |= static_cast<std::uint64_t>(byte & 127) << shift;
    if (byte < 128)
      return number;
  }
  return std::nullopt;
}

}  // namespace

std::string make_delta(const std::string& base, const std::string& target) {
  std::string delta;
  for (const Step& step : find_steps(base, target)) {
    put_number(delta, step.from);
    put_number(delta, step.size);
    put_number(delta, step.own.size());
    delta += step.own;
  }
  return delta;
}

std::optional<std::string> apply_delta(const std::string& base, const std::string& delta) {
  std::string result;
  for (std::size_t at = 0; at < delta.size();) {
    auto from = get_number(delta, at), size = get_number(delta, at), own = get_number(delta, at);
    if (!from || !size || !own)
      return std::nullopt;
    bool is_inside = *from <= base.size() && *size <= base.size() - *from && *own <= delta.size() - at;
    if (!is_inside || result.size() + *size + *own > result_bound)
      return std::nullopt;
    result.append(base, *from, *size);
    result.append(delta, at, *own);
    at += *own;
  }
  return result;
}

}  // namespace emberdale
