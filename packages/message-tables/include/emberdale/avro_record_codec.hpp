// The templates behind avro_codec.hpp: a record table's Avro schema, its bytes, and its bytes on disk with a version.
#pragma once
#include <avro.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "emberdale/bytes.hpp"
#include "emberdale/record_enumerations.hpp"

namespace emberdale::avro_records {

// Record types by name, each with the number of its fields.
using RecordShape = std::map<std::string, std::size_t>;

template <class T>
struct FieldCodec;  // schema text, writing and reading of one field type

// Collects a schema's text; a record type is written out where it stands first, and named from then on.
struct SchemaWriter {
  const RecordShape* shape = nullptr;  // the fields that the writer of the bytes knew; null: all
  RecordShape named;                   // the record types written out, with their number of fields
  std::string fault;                   // why the shape can't be read
};

template <class T>
std::string record_schema(SchemaWriter& writer) {
  if (writer.named.count(T::wire_name) != 0)
    return std::string("\"") + T::wire_name + "\"";
  std::size_t& count = writer.named[T::wire_name];
  std::size_t bound = SIZE_MAX;
  if (writer.shape != nullptr) {
    auto known = writer.shape->find(T::wire_name);
    bound = known == writer.shape->end() ? 0 : known->second;
  }
  std::string text = std::string("{\"type\":\"record\",\"name\":\"") + T::wire_name + "\",\"fields\":[";
  std::size_t all = 0;
  T blank{};
  T::visit_fields(blank, [&](const char* name, auto& field) {
    using Field = std::decay_t<decltype(field)>;
    if (++all > bound)
      return;
    text += std::string(all == 1 ? "" : ",") + "{\"name\":\"" + name +
            "\",\"type\":" + FieldCodec<Field>::schema(writer) + "}";
  });
  count = std::min(all, bound);
  if (writer.shape != nullptr && bound == 0)
    writer.fault = std::string("names no fields of ") + T::wire_name;
  if (writer.shape != nullptr && bound > all)
    writer.fault = std::string(T::wire_name) + " has " + std::to_string(bound) + " fields, " + std::to_string(all) +
                   " are known here: written by a newer version";
  return text + "]}";
}

inline void must(int code) {
  if (code != 0)
    throw std::runtime_error(avro_strerror());
}

template <class T>
struct FieldCodec {
  static std::string schema(SchemaWriter& writer) { return record_schema<T>(writer); }
  static void write(avro_value_t* slot, const T& record) {
    std::size_t index = 0;
    T::visit_fields(record, [&](const char*, const auto& field) {
      avro_value_t inner;
      must(avro_value_get_by_index(slot, index++, &inner, nullptr));
      FieldCodec<std::decay_t<decltype(field)>>::write(&inner, field);
    });
  }
  // Fields that the bytes' writer did not know keep their defaults.
  static void read(const avro_value_t* slot, T& record) {
    std::size_t index = 0, count = 0;
    must(avro_value_get_size(slot, &count));
    T::visit_fields(record, [&](const char*, auto& field) {
      if (index >= count)
        return;
      avro_value_t inner;
      must(avro_value_get_by_index(slot, index++, &inner, nullptr));
      FieldCodec<std::decay_t<decltype(field)>>::read(&inner, field);
    });
  }
};

template <>
struct FieldCodec<std::int64_t> {
  static std::string schema(SchemaWriter&) { return "\"long\""; }
  static void write(avro_value_t* slot, std::int64_t number) { must(avro_value_set_long(slot, number)); }
  static void read(const avro_value_t* slot, std::int64_t& number) { must(avro_value_get_long(slot, &number)); }
};

template <>
struct FieldCodec<bool> {
  static std::string schema(SchemaWriter&) { return "\"boolean\""; }
  static void write(avro_value_t* slot, bool answer) { must(avro_value_set_boolean(slot, answer)); }
  static void read(const avro_value_t* slot, bool& answer) {
    int number = 0;
    must(avro_value_get_boolean(slot, &number));
    answer = number != 0;
  }
};

template <>
struct FieldCodec<std::string> {
  static std::string schema(SchemaWriter&) { return "\"string\""; }
  static void write(avro_value_t* slot, const std::string& text) {
    must(avro_value_set_string_len(slot, text.c_str(), text.size() + 1));
  }
  static void read(const avro_value_t* slot, std::string& text) {
    const char* start = nullptr;
    std::size_t size = 0;
    must(avro_value_get_string(slot, &start, &size));
    text.assign(start, size == 0 ? 0 : size - 1);
  }
};

template <>
struct FieldCodec<Bytes> {
  static std::string schema(SchemaWriter&) { return "\"bytes\""; }
  static void write(avro_value_t* slot, const Bytes& bytes) {
    must(avro_value_set_bytes(slot, const_cast<char*>(bytes.data.data()), bytes.data.size()));
  }
  static void read(const avro_value_t* slot, Bytes& bytes) {
    const void* start = nullptr;
    std::size_t size = 0;
    must(avro_value_get_bytes(slot, &start, &size));
    bytes.data.assign(static_cast<const char*>(start), size);
  }
};

// A field with a fixed set of texts; see record_enumerations.hpp.
template <class Enumeration, std::optional<Enumeration> (*Parse)(const std::string&)>
struct EnumerationCodec {
  static std::string schema(SchemaWriter&) { return "\"string\""; }
  static void write(avro_value_t* slot, Enumeration value) { FieldCodec<std::string>::write(slot, to_string(value)); }
  static void read(const avro_value_t* slot, Enumeration& value) {
    constexpr std::size_t shown_bound = 32;
    std::string text;
    FieldCodec<std::string>::read(slot, text);
    std::optional<Enumeration> known = Parse(text);
    if (!known)
      throw std::runtime_error("the text '" + absl::CHexEscape(text.substr(0, shown_bound)) + "' is not known here");
    value = *known;
  }
};

template <>
struct FieldCodec<DaemonRole> : EnumerationCodec<DaemonRole, parse_daemon_role> {};
template <>
struct FieldCodec<RunnerState> : EnumerationCodec<RunnerState, parse_runner_state> {};
template <>
struct FieldCodec<EditAction> : EnumerationCodec<EditAction, parse_edit_action> {};

template <class Tag>
struct FieldCodec<SmallText<Tag>> {
  static std::string schema(SchemaWriter&) { return "\"string\""; }
  static void write(avro_value_t* slot, const SmallText<Tag>& name) { FieldCodec<std::string>::write(slot, name.text); }
  static void read(const avro_value_t* slot, SmallText<Tag>& name) { FieldCodec<std::string>::read(slot, name.text); }
};

template <class T>
struct FieldCodec<std::vector<T>> {
  static std::string schema(SchemaWriter& writer) {
    return "{\"type\":\"array\",\"items\":" + FieldCodec<T>::schema(writer) + "}";
  }
  static void write(avro_value_t* slot, const std::vector<T>& items) {
    for (const T& item : items) {
      avro_value_t inner;
      must(avro_value_append(slot, &inner, nullptr));
      FieldCodec<T>::write(&inner, item);
    }
  }
  static void read(const avro_value_t* slot, std::vector<T>& items) {
    std::size_t size = 0;
    must(avro_value_get_size(slot, &size));
    items.clear();
    items.reserve(size);
    for (std::size_t index = 0; index < size; ++index) {
      avro_value_t inner;
      must(avro_value_get_by_index(slot, index, &inner, nullptr));
      items.emplace_back();
      FieldCodec<T>::read(&inner, items.back());
    }
  }
};

// The Avro class of a record type as a writer knew it (avro-c values share it by count).
template <class T>
struct RecordClass {
  avro_schema_t schema{};
  avro_value_iface_t* face = nullptr;
  explicit RecordClass(const RecordShape* shape = nullptr) {
    SchemaWriter writer;
    writer.shape = shape;
    std::string text = record_schema<T>(writer);
    if (!writer.fault.empty())
      throw std::runtime_error(writer.fault);
    must(avro_schema_from_json_length(text.data(), text.size(), &schema));
    face = avro_generic_class_from_schema(schema);
  }
  RecordClass(const RecordClass&) = delete;
  RecordClass& operator=(const RecordClass&) = delete;
  ~RecordClass() {
    if (face != nullptr)
      avro_value_iface_decref(face);
    avro_schema_decref(schema);
  }
};

// The class for all fields that are known here, one for each thread.
template <class T>
avro_value_iface_t* record_face() {
  static thread_local RecordClass<T> record_class;
  return record_class.face;
}

struct HeldValue {
  avro_value_t value{};
  explicit HeldValue(avro_value_iface_t* face) { must(avro_generic_value_new(face, &value)); }
  ~HeldValue() { avro_value_decref(&value); }
};

template <class T>
std::string encode_record(const T& record) {
  HeldValue held(record_face<T>());
  FieldCodec<T>::write(&held.value, record);
  std::size_t size = 0;
  must(avro_value_sizeof(&held.value, &size));
  std::string bytes(size, '\0');
  avro_writer_t writer = avro_writer_memory(bytes.data(), static_cast<std::int64_t>(size));
  int code = avro_value_write(writer, &held.value);
  avro_writer_free(writer);
  must(code);
  return bytes;
}

// must_fill: the bytes hold the record and nothing else.
template <class T>
T read_record(avro_value_iface_t* face, const char* start, std::size_t size, bool must_fill = false) {
  HeldValue held(face);
  avro_reader_t reader = avro_reader_memory(start, static_cast<std::int64_t>(size));
  int code = avro_value_read(reader, &held.value);
  avro_reader_free(reader);
  must(code);
  std::size_t used = size;
  if (must_fill)
    must(avro_value_sizeof(&held.value, &used));
  if (used != size)
    throw std::runtime_error(used > size ? "cut short" : "bytes are left over");
  T record;
  FieldCodec<T>::read(&held.value, record);
  return record;
}

template <class T>
Outcome<T> decode_record(const char* start, std::size_t size) {
  try {
    return read_record<T>(record_face<T>(), start, size);
  } catch (const std::exception& fault) {
    return failure(std::string("not a ") + T::wire_name + ": " + fault.what());
  }
}

// Records that lie on disk are read by later versions. They are written as
//   0xC3, the format's number (1), the length of the shape (2 bytes, low one first), the shape, the Avro body;
// the shape names each record type within and the number of its fields, e.g. "FleetState:14,Resource:5,...".
// What may change from version to version: fields are added at the END of a record, and only there; their types may be
// new records. Nothing is removed, renamed, moved or retyped. Then
//   - bytes of an earlier version are read, and fields that it did not know keep their defaults;
//   - bytes with a field that is not known here are refused with a reason, never cut down to what is known;
//   - bytes without the header are of the versions before it, which had the `legacy` shape.
// The first byte can't begin such older bytes: they begin with a length or a ballot number, which are never negative.
constexpr unsigned char versioned_mark = 0xC3;
constexpr unsigned char versioned_format = 1;
constexpr std::size_t versioned_head = 4;

// Example: shape_text({{"Ballot", 2}}) == "Ballot:2"
inline std::string shape_text(const RecordShape& shape) {
  std::string text;
  for (const auto& [name, count] : shape)
    text += (text.empty() ? "" : ",") + name + ":" + std::to_string(count);
  return text;
}

// Nothing if the text is not one that shape_text() gives. Example: read_shape("Ballot:2")->at("Ballot") == 2
inline std::optional<RecordShape> read_shape(const std::string& text) {
  constexpr std::size_t digits_bound = 4;
  RecordShape shape;
  for (std::size_t start = 0; start <= text.size();) {
    std::size_t end = std::min(text.find(',', start), text.size());
    std::string part = text.substr(start, end - start);
    std::size_t colon = part.find(':');
    if (colon == std::string::npos || colon == 0)
      return std::nullopt;
    std::string digits = part.substr(colon + 1);
    if (digits.empty() || digits.size() > digits_bound || digits.find_first_not_of("0123456789") != std::string::npos)
      return std::nullopt;
    shape[part.substr(0, colon)] = std::stoul(digits);
    start = end + 1;
  }
  return shape_text(shape) == text ? std::optional(shape) : std::nullopt;
}

// The record types within T as they are known here.
template <class T>
const RecordShape& own_shape() {
  static const RecordShape shape = [] {
    SchemaWriter writer;
    record_schema<T>(writer);
    return writer.named;
  }();
  return shape;
}

// The class for the fields that an earlier version knew, one for each thread and shape.
template <class T>
avro_value_iface_t* record_face(const RecordShape& shape) {
  if (shape == own_shape<T>())
    return record_face<T>();
  for (const auto& [name, count] : shape)
    if (own_shape<T>().count(name) == 0)
      throw std::runtime_error("holds a " + name + ", which is not known here: written by a newer version");
  constexpr std::size_t shape_bound = 8;  // far more than the versions that one disk has seen
  static thread_local std::map<std::string, std::unique_ptr<RecordClass<T>>> classes;
  std::string text = shape_text(shape);
  auto known = classes.find(text);
  if (known != classes.end())
    return known->second->face;
  if (classes.size() >= shape_bound)
    classes.clear();
  return classes.emplace(text, std::make_unique<RecordClass<T>>(&shape)).first->second->face;
}

// Example: decode_versioned<FleetState>(encode_versioned(state), legacy)->version == state.version
template <class T>
std::string encode_versioned(const T& record) {
  static const std::string head = [] {
    std::string shape = shape_text(own_shape<T>());
    std::string bytes{static_cast<char>(versioned_mark), static_cast<char>(versioned_format)};
    bytes += static_cast<char>(shape.size() & 255);
    bytes += static_cast<char>(shape.size() >> 8);
    return bytes + shape;
  }();
  return head + encode_record(record);
}

inline bool is_versioned(const std::string& bytes) {
  return !bytes.empty() && static_cast<unsigned char>(bytes[0]) == versioned_mark;
}

template <class T>
Outcome<T> decode_versioned(const std::string& bytes, const RecordShape& legacy) {
  auto refuse = [](const std::string& reason) {
    return failure(std::string("not a ") + T::wire_name + ": " + reason);
  };
  try {
    if (!is_versioned(bytes))
      return read_record<T>(record_face<T>(legacy), bytes.data(), bytes.size(), true);
    if (bytes.size() < versioned_head)
      return refuse("cut short");
    auto byte_at = [&](std::size_t at) {
      return static_cast<unsigned char>(bytes[at]);
    };
    if (byte_at(1) != versioned_format)
      return refuse("format " + std::to_string(byte_at(1)) + " is not known here: written by a newer version");
    std::size_t body = versioned_head + byte_at(2) + (std::size_t{byte_at(3)} << 8);
    if (bytes.size() < body)
      return refuse("cut short");
    auto shape = read_shape(bytes.substr(versioned_head, body - versioned_head));
    if (!shape)
      return refuse("its shape can't be read");
    return read_record<T>(record_face<T>(*shape), bytes.data() + body, bytes.size() - body, true);
  } catch (const std::exception& fault) {
    return refuse(fault.what());
  }
}

}  // namespace emberdale::avro_records
