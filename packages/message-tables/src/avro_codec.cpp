#include "emberdale/avro_codec.hpp"

#include "emberdale/avro_record_codec.hpp"

namespace emberdale {
namespace {

using namespace avro_records;

// What the versions before the header wrote; never to be changed.
const RecordShape legacy_state{{"AcceptorEntry", 2}, {"DaemonEntry", 6}, {"DoneChange", 3},
                               {"FleetState", 14},   {"MapVersion", 2},  {"Resource", 5}};
// An acceptor's record was the message Promise, with its kind before it.
const RecordShape legacy_promise{{"Ballot", 2}, {"Promise", 6}};
constexpr char legacy_promise_kind = 1;

Outcome<AcceptorRecord> decode_legacy_acceptor_record(const std::string& bytes) {
  if (bytes.empty() || bytes[0] != legacy_promise_kind)
    return failure("not an AcceptorRecord: neither this format nor an earlier one");
  auto promise = decode_versioned<Promise>(bytes.substr(1), legacy_promise);
  if (!promise)
    return failure(promise.reason);
  return AcceptorRecord{promise->promised, promise->granted, promise->accepted, promise->value};
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
void add_schemas(std::string& text, SchemaWriter& writer) {
  if constexpr (Index < std::variant_size_v<Message>) {
    text += (Index == 0 ? "" : ",") + record_schema<std::variant_alternative_t<Index, Message>>(writer);
    add_schemas<Index + 1>(text, writer);
  }
}

}  // namespace

std::string protocol_schema() {
  SchemaWriter writer;
  std::string text = "[";
  add_schemas(text, writer);
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

std::string encode_state(const FleetState& state) { return encode_versioned(state); }
Outcome<FleetState> decode_state(const std::string& bytes) { return decode_versioned<FleetState>(bytes, legacy_state); }
std::string encode_acceptor_record(const AcceptorRecord& record) { return encode_versioned(record); }
Outcome<AcceptorRecord> decode_acceptor_record(const std::string& bytes) {
  if (!is_versioned(bytes))
    return decode_legacy_acceptor_record(bytes);
  return decode_versioned<AcceptorRecord>(bytes, RecordShape{});
}

#define EMBERDALE_CODEC(Type, word)                                               \
  std::string encode_##word(const Type& record) { return encode_record(record); } \
  Outcome<Type> decode_##word(const std::string& bytes) { return decode_record<Type>(bytes.data(), bytes.size()); }
EMBERDALE_CODEC(RunnerRow, runner_row)
EMBERDALE_CODEC(PlanRow, plan_row)
EMBERDALE_CODEC(RegionRow, region_row)
EMBERDALE_CODEC(GatewayRow, gateway_row)

}  // namespace emberdale
