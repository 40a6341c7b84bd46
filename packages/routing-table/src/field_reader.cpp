#include "field_reader.hpp"

#include <cmath>
#include <limits>

#include "routing_document.hpp"

namespace emberdale {
namespace {

using Json = nlohmann::json;

bool fits_signed(const Json& value) {
  if (!value.is_number_integer())
    return false;
  constexpr auto max_signed = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  return !value.is_number_unsigned() || value.get<std::uint64_t>() <= max_signed;
}

}  // namespace

void FieldReader::error(const std::string& place, const std::string& message) {
  ++error_count_;
  findings_.push_back({"error", routing_document_name(), place, 0, 0, message});
}

const Json* FieldReader::find(const Json& object, const char* key) {
  auto entry = object.find(key);
  return entry == object.end() ? nullptr : &*entry;
}

std::string FieldReader::text(const Json& object, const std::string& place, const char* key, bool is_required,
                              const std::string& default_value) {
  const Json* value = find(object, key);
  if (value == nullptr) {
    if (is_required)
      error(place + "/" + key, "is required");
    return default_value;
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    error(place + "/" + key, "must be text that is not empty");
    return default_value;
  }
  return value->get<std::string>();
}

bool FieldReader::boolean(const Json& object, const std::string& place, const char* key, bool default_value) {
  const Json* value = find(object, key);
  if (value == nullptr)
    return default_value;
  if (!value->is_boolean()) {
    error(place + "/" + key, "must be true or false");
    return default_value;
  }
  return value->get<bool>();
}

std::int64_t FieldReader::integer(const Json& object, const std::string& place, const char* key,
                                  std::int64_t default_value, std::int64_t low, std::int64_t high) {
  const Json* value = find(object, key);
  if (value == nullptr)
    return default_value;
  if (!fits_signed(*value) || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
    error(place + "/" + key, "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    return default_value;
  }
  return value->get<std::int64_t>();
}

std::int64_t FieldReader::required_integer(const Json& object, const std::string& place, const char* key,
                                           std::int64_t default_value, std::int64_t low, std::int64_t high) {
  if (find(object, key) == nullptr)
    error(place + "/" + key, "is required");
  return integer(object, place, key, default_value, low, high);
}

double FieldReader::seconds(const Json& object, const std::string& place, const char* key, double default_value) {
  const Json* value = find(object, key);
  if (value == nullptr)
    return default_value;
  if (!value->is_number() || !std::isfinite(value->get<double>()) || value->get<double>() < 0) {
    error(place + "/" + key, "must be a number of seconds from 0 up");
    return default_value;
  }
  return value->get<double>();
}

const Json* FieldReader::part(const Json& object, const std::string& place, const char* key, Json::value_t type) {
  const Json* value = find(object, key);
  if (value == nullptr || value->type() == type)
    return value;
  error(place + "/" + key, type == Json::value_t::array ? "must be a list" : "must be an object");
  return nullptr;
}

const Json* FieldReader::required_part(const Json& object, const std::string& place, const char* key,
                                       Json::value_t type) {
  if (find(object, key) == nullptr)
    error(place + "/" + key, "is required");
  return part(object, place, key, type);
}

}  // namespace emberdale
