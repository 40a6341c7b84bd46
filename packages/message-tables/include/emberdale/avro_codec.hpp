// Avro, through avro-c, for every record of the tables.
//
// Messages and the rows of slices carry no version: both ends of a link share protocol_fingerprint(), or there is no
// link. What lies on disk (FleetState, which is the register's value, and AcceptorRecord) is read by later versions,
// and carries its shape, see encode_versioned(): a field may be added at the end of FleetState, of any record within
// it, and of AcceptorRecord, and is its type's default where earlier bytes lack it. Nothing else about them may change.
#pragma once
#include <optional>
#include <string>

#include "emberdale/messages.hpp"

namespace emberdale {

// The Avro schema of the whole message table, and a hash both ends of a link must share.
// Example: protocol_fingerprint() is equal in two daemons of one build.
std::string protocol_schema();
std::uint64_t protocol_fingerprint();

// Example: std::string bytes = encode_message(Message{Leave{}}); decode_message(bytes) gives it back.
std::string encode_message(const Message& message);
Outcome<Message> decode_message(const std::string& bytes);

// Versioned. Example: std::string bytes = encode_state(state); decode_state(bytes)->version == state.version
std::string encode_state(const FleetState& state);
Outcome<FleetState> decode_state(const std::string& bytes);
// Versioned. Example: decode_acceptor_record(encode_acceptor_record(record))->promised == record.promised
std::string encode_acceptor_record(const AcceptorRecord& record);
Outcome<AcceptorRecord> decode_acceptor_record(const std::string& bytes);

// Example: decode_runner_row(encode_runner_row(row))->name == row.name
std::string encode_runner_row(const RunnerRow& row);
Outcome<RunnerRow> decode_runner_row(const std::string& bytes);
std::string encode_plan_row(const PlanRow& row);
Outcome<PlanRow> decode_plan_row(const std::string& bytes);
std::string encode_region_row(const RegionRow& row);
Outcome<RegionRow> decode_region_row(const std::string& bytes);
std::string encode_gateway_row(const GatewayRow& row);
Outcome<GatewayRow> decode_gateway_row(const std::string& bytes);

}  // namespace emberdale
