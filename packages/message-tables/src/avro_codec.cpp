#include "emberdale/avro_codec.hpp"

#include <avro.h>

#include <cstring>
#include <set>
#include <stdexcept>

namespace emberdale {
namespace {

template <class T>
struct FieldCodec;  // schema text, writing and reading of one field type

template <class T>
std::string record_schema(std::set<std::string>& named) {
  if (!named.insert(T::record_name).second)
    return std::string("\"") + T::record_name + "\"";
  std::string text = std::string("{\"type\":\"record\",\"name\":\"") + T::record_name + "\",\"fields\":[";
  bool is_first = true;
  T blank{};
  T::each_field(blank, [&](const char* name, auto& field) {
    using Field = std::decay_t<decltype(field)>;
    if (!is_first)
      text += ",";
    is_first = false;
    text += std::string("{\"name\":\"") + name + "\",\"type\":" + FieldCodec<Field>::schema(named) + "}";
  });
  return text + "]}";
}

void must(int code) {
  if (code != 0)
    throw std::runtime_error(avro_strerror());
}

template <class T>
struct FieldCodec {
  static std::string schema(std::set<std::string>& named) { return record_schema<T>(named); }
  static void write(avro_value_t* slot, const T& record) {
    std::size_t index = 0;
    T::each_field(record, [&](const char*, const auto& field) {
      avro_value_t inner;
      must(avro_value_get_by_index(slot, index++, &inner, nullptr));
      FieldCodec<std::decay_t<decltype(field)>>::write(&inner, field);
    });
  }
  static void read(const avro_value_t* slot, T& record) {
    std::size_t index = 0;
    T::each_field(record, [&](const char*, auto& field) {
      avro_value_t inner;
      must(avro_value_get_by_index(slot, index++, &inner, nullptr));
      FieldCodec<std::decay_t<decltype(field)>>::read(&inner, field);
    });
  }
};

template <>
struct FieldCodec<std::int64_t> {
  static std::string schema(std::set<std::string>&) { return "\"long\""; }
  static void write(avro_value_t* slot, std::int64_t number) { must(avro_value_set_long(slot, number)); }
  static void read(const avro_value_t* slot, std::int64_t& number) { must(avro_value_get_long(slot, &number)); }
};

template <>
struct FieldCodec<bool> {
  static std::string schema(std::set<std::string>&) { return "\"boolean\""; }
  static void write(avro_value_t* slot, bool answer) { must(avro_value_set_boolean(slot, answer)); }
  static void read(const avro_value_t* slot, bool& answer) {
    int number = 0;
    must(avro_value_get_boolean(slot, &number));
    answer = number != 0;
  }
};

template <>
struct FieldCodec<std::string> {
  static std::string schema(std::set<std::string>&) { return "\"string\""; }
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
  static std::string schema(std::set<std::string>&) { return "\"bytes\""; }
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

template <class Tag>
struct FieldCodec<SmallText<Tag>> {
  static std::string schema(std::set<std::string>&) { return "\"string\""; }
  static void write(avro_value_t* slot, const SmallText<Tag>& name) { FieldCodec<std::string>::write(slot, name.text); }
  static void read(const avro_value_t* slot, SmallText<Tag>& name) { FieldCodec<std::string>::read(slot, name.text); }
};

template <class T>
struct FieldCodec<std::vector<T>> {
  static std::string schema(std::set<std::string>& named) {
    return "{\"type\":\"array\",\"items\":" + FieldCodec<T>::schema(named) + "}";
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

// The Avro class of a record type, one for each thread (avro-c values share it by count).
template <class T>
struct RecordClass {
  avro_schema_t schema{};
  avro_value_iface_t* face = nullptr;
  RecordClass() {
    std::set<std::string> named;
    std::string text = record_schema<T>(named);
    must(avro_schema_from_json_length(text.data(), text.size(), &schema));
    face = avro_generic_class_from_schema(schema);
  }
  ~RecordClass() {
    if (face != nullptr)
      avro_value_iface_decref(face);
    avro_schema_decref(schema);
  }
};

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

template <class T>
Outcome<T> decode_record(const char* start, std::size_t size) {
  try {
    HeldValue held(record_face<T>());
    avro_reader_t reader = avro_reader_memory(start, static_cast<std::int64_t>(size));
    int code = avro_value_read(reader, &held.value);
    avro_reader_free(reader);
    must(code);
    T record;
    FieldCodec<T>::read(&held.value, record);
    return record;
  } catch (const std::exception& fault) {
    return failure(std::string("not a ") + T::record_name + ": " + fault.what());
  }
}

template <std::size_t Index = 0>
Outcome<Message> decode_kind(std::size_t kind, const char* start, std::size_t size) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (kind != Index)
      return decode_kind<Index + 1>(kind, start, size);
    auto record = decode_record<std::variant_alternative_t<Index, Message>>(start, size);
    if (!record)
      return failure(record.reason);
    return Message{std::move(*record)};
  } else {
    return failure("unknown message kind " + std::to_string(kind));
  }
}

template <std::size_t Index = 0>
void add_schemas(std::string& text, std::set<std::string>& named) {
  if constexpr (Index < std::variant_size_v<Message>) {
    text += (Index == 0 ? "" : ",") + record_schema<std::variant_alternative_t<Index, Message>>(named);
    add_schemas<Index + 1>(text, named);
  }
}

}  // namespace

std::string protocol_schema() {
  std::set<std::string> named;
  std::string text = "[";
  add_schemas(text, named);
  return text + "]";
}

std::uint64_t protocol_fingerprint() {
  static const std::uint64_t fingerprint = stable_hash(protocol_schema());
  return fingerprint;
}

std::string encode_message(const Message& message) {
  std::string bytes(1, static_cast<char>(message.index()));
  std::visit([&](const auto& record) { bytes += encode_record(record); }, message);
  return bytes;
}

Outcome<Message> decode_message(const std::string& bytes) {
  if (bytes.empty())
    return failure("an empty frame");
  return decode_kind(static_cast<unsigned char>(bytes[0]), bytes.data() + 1, bytes.size() - 1);
}

#define EMBERDALE_CODEC(Type, word)                                               \
  std::string encode_##word(const Type& record) { return encode_record(record); } \
  Outcome<Type> decode_##word(const std::string& bytes) { return decode_record<Type>(bytes.data(), bytes.size()); }
EMBERDALE_CODEC(FleetState, state)
EMBERDALE_CODEC(RunnerRow, runner_row)
EMBERDALE_CODEC(PlanRow, plan_row)
EMBERDALE_CODEC(RegionRow, region_row)
EMBERDALE_CODEC(GatewayRow, gateway_row)

}  // namespace emberdale
