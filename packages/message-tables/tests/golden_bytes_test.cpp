// The bytes of every record on the wire and on disk, as golden_bytes.txt keeps them from commit 6c60447.
//
// C++ names may change; wire names, field order, schemas and bytes may not. Each line of the data file is
// "<label>: <value>"; records are in hex. To write the file anew, after a change of the protocol that is meant:
//   EMBERDALE_WRITE_GOLDEN=packages/message-tables/tests/golden_bytes.txt build/bin/message-tables-test
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "emberdale/avro_codec.hpp"
#include "emberdale/avro_record_codec.hpp"
#include "emberdale/content_digest.hpp"

using namespace emberdale;

namespace {

const char* const golden_file = EMBERDALE_TEST_DATA "/golden_bytes.txt";
const char* const write_variable = "EMBERDALE_WRITE_GOLDEN";

// Gives every field, in field order, a value that differs from its default and from the other fields' values.
class RecordFiller {
 public:
  void fill(std::int64_t& number) { number = next() * 1001; }
  // The only other value; that a bool keeps its place among the others is proven by the schema.
  void fill(bool& flag) { flag = true; }
  void fill(DaemonRole& role) { role = DaemonRole::edge; }
  void fill(RunnerState& state) { state = RunnerState::warming_up; }
  void fill(EditAction& action) { action = EditAction::patch; }
  void fill(std::string& text) { text = "text-" + std::to_string(next()); }
  void fill(Bytes& bytes) { bytes.data = std::string("\0\xFF", 2) + "bytes-" + std::to_string(next()); }
  template <class Tag>
  void fill(SmallText<Tag>& name) {
    name.text = "name-" + std::to_string(next());
  }
  template <class Item>
  void fill(std::vector<Item>& items) {
    items.resize(2);
    for (Item& item : items)
      fill(item);
  }
  template <class Record>
  void fill(Record& record) {
    Record::visit_fields(record, [this](const char* name, auto& field) {
      if (!this->fill_with_known_text(name, field))
        this->fill(field);
    });
  }

 private:
  // Fields that have a fixed set of texts get one of these, so that they may become enumerations.
  static bool fill_with_known_text(const std::string& wire_name, std::string& field) {
    static const std::map<std::string, std::string> known_texts = {{"kind", "zone-orders"}};
    const auto known = known_texts.find(wire_name);
    if (known == known_texts.end())
      return false;
    field = known->second;
    return true;
  }
  template <class Field>
  static bool fill_with_known_text(const std::string&, Field&) {
    return false;
  }

  std::int64_t next() { return ++last_; }
  std::int64_t last_ = 0;
};

template <class Record>
Record filled() {
  Record record;
  RecordFiller().fill(record);
  return record;
}

std::string to_hex(const std::string& bytes) {
  constexpr char digits[] = "0123456789abcdef";
  std::string hex;
  for (unsigned char byte : bytes) {
    hex += digits[byte >> 4];
    hex += digits[byte & 15];
  }
  return hex;
}

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  return bytes;
}

struct GoldenLine {
  std::string label;
  std::string value;  // hex, where recode is set
  // Decodes the bytes and encodes the result again; null for a line that holds no record.
  std::function<Outcome<std::string>(const std::string& bytes)> recode;
};

template <class Encode, class Decode>
std::function<Outcome<std::string>(const std::string&)> recoder(Encode encode, Decode decode) {
  return [encode, decode](const std::string& bytes) -> Outcome<std::string> {
    auto record = decode(bytes);
    if (!record)
      return failure(record.reason);
    return encode(*record);
  };
}

template <class Record, class Encode, class Decode>
GoldenLine record_line(const std::string& kind, std::size_t number, Encode encode, Decode decode) {
  std::string label = kind + " " + std::to_string(number) + " " + Record::wire_name;
  return {label, to_hex(encode(filled<Record>())), recoder(encode, decode)};
}

template <std::size_t Index = 0>
void add_message_lines(std::vector<GoldenLine>& lines) {
  if constexpr (Index < std::variant_size_v<Message>) {
    using Record = std::variant_alternative_t<Index, Message>;
    lines.push_back(record_line<Record>("message", Index, encode_message, decode_message));
    add_message_lines<Index + 1>(lines);
  }
}

// The schema of a record that protocol_schema() does not hold.
template <class Record>
GoldenLine disk_schema_line(std::size_t number) {
  avro_records::SchemaWriter writer;
  std::string schema = avro_records::record_schema<Record>(writer);
  return {"disk schema " + std::to_string(number) + " " + Record::wire_name, content_digest(schema), nullptr};
}

// What the code of today gives.
std::vector<GoldenLine> current_lines() {
  std::vector<GoldenLine> lines;
  lines.push_back({"protocol fingerprint", std::to_string(protocol_fingerprint()), nullptr});
  lines.push_back({"protocol schema SHA-256", content_digest(protocol_schema()), nullptr});
  add_message_lines(lines);
  lines.push_back(disk_schema_line<FleetState>(0));
  lines.push_back(record_line<FleetState>("disk record", 0, encode_state, decode_state));
  lines.push_back(disk_schema_line<AcceptorRecord>(1));
  lines.push_back(record_line<AcceptorRecord>("disk record", 1, encode_acceptor_record, decode_acceptor_record));
  lines.push_back(record_line<RunnerRow>("row", 0, encode_runner_row, decode_runner_row));
  lines.push_back(record_line<PlanRow>("row", 1, encode_plan_row, decode_plan_row));
  lines.push_back(record_line<RegionRow>("row", 2, encode_region_row, decode_region_row));
  lines.push_back(record_line<GatewayRow>("row", 3, encode_gateway_row, decode_gateway_row));
  return lines;
}

std::vector<std::string> lines_of(const std::string& path) {
  std::vector<std::string> lines;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);)
    lines.push_back(line);
  return lines;
}

std::string file_line(const GoldenLine& line) { return line.label + ": " + line.value; }

}  // namespace

TEST(GoldenBytes, EveryRecordIsWrittenAsTheDataFileHasIt) {
  const std::vector<GoldenLine> current = current_lines();
  if (const char* path = std::getenv(write_variable)) {
    std::ofstream file(path);
    for (const GoldenLine& line : current)
      file << file_line(line) << "\n";
    ASSERT_TRUE(file.flush()) << path;
    return;  // nothing is compared
  }
  const std::vector<std::string> golden = lines_of(golden_file);
  ASSERT_EQ(golden.size(), current.size()) << golden_file;
  for (std::size_t i = 0; i < golden.size(); ++i)
    EXPECT_EQ(golden[i], file_line(current[i])) << golden_file << ":" << i + 1;
}

TEST(GoldenBytes, EveryRecordOfTheDataFileIsReadBack) {
  const std::vector<GoldenLine> current = current_lines();
  const std::vector<std::string> golden = lines_of(golden_file);
  ASSERT_EQ(golden.size(), current.size()) << golden_file;
  for (std::size_t i = 0; i < golden.size(); ++i) {
    if (current[i].recode == nullptr)
      continue;
    const std::string start = current[i].label + ": ";
    ASSERT_EQ(golden[i].substr(0, start.size()), start);
    const std::string bytes = from_hex(golden[i].substr(start.size()));
    auto again = current[i].recode(bytes);
    ASSERT_TRUE(again) << current[i].label << ": " << again.reason;
    EXPECT_EQ(to_hex(*again), to_hex(bytes)) << current[i].label;
  }
}
