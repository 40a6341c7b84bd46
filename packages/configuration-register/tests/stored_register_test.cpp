// A register's folder as commit 6c60447 wrote it is read by every later version, and is still written byte for byte.
//
// tests/data/store-6c60447 was made by write_store() below. To make it anew, after a change of the format that is
// meant, name a folder that does not exist yet:
//   EMBERDALE_WRITE_STORE=packages/configuration-register/tests/data/store-NEW build/bin/stored-register-test
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "emberdale/avro_codec.hpp"
#include "emberdale/content_digest.hpp"
#include "emberdale/register_acceptor.hpp"
#include "emberdale/segmented_log.hpp"
#include "emberdale/value_delta.hpp"

using namespace emberdale;
namespace fs = std::filesystem;

namespace {

const char* const stored_folder = EMBERDALE_TEST_DATA "/store-6c60447";
const char* const write_variable = "EMBERDALE_WRITE_STORE";

constexpr std::size_t segment_bound = 1 << 20;
constexpr std::size_t torn_bytes = 40;  // cut from the end of the last record
const std::string lock_file = "lock";   // empty, made by each opening

const StoreId store{"store-1"};
const Address first_proposer{"10.0.0.1:7000"};
const Address second_proposer{"10.0.0.2:7000"};
const TimePoint now{1000};

const Ballot whole_ballot{4, first_proposer};      // of the value that came whole
const Ballot delta_ballot{6, first_proposer};      // of the newest value, which came as a delta
const Ballot promised_ballot{9, second_proposer};  // promised, and nothing accepted under it
const Ballot torn_ballot{9, second_proposer};      // of the value whose record is cut short

FleetState founding_state() {
  FleetState state;
  state.fleet_name = "fleet-1";
  state.version = 1;
  state.acceptors = {{store, first_proposer}, {StoreId{"store-2"}, second_proposer}};
  return state;
}

// Every field differs from its default.
FleetState whole_state() {
  FleetState state = founding_state();
  state.version = 41;
  state.config_revision = 17;
  state.resources = {{"serving-plans", "plan-1", 38, 15, R"({"model":"m1","regions":["eu","us"]})"},
                     {"zone-orders", "eu-1", 40, 16, R"({"state":"emptied"})"},
                     {"runners", "runner-1", 41, 17, R"({"pool":"p1","zone":"eu-1"})"}};
  state.deleted_version = 12;
  state.roster = {
      {first_proposer, "10.0.0.1:8000", DaemonRole::core, ZoneName{"eu-1"}, RegionName{"eu"}, 1234567890123},
      {second_proposer, "10.0.0.2:8000", DaemonRole::core, ZoneName{"us-1"}, RegionName{"us"}, 1234567890456},
      {Address{"10.0.0.3:7000"}, "10.0.0.3:8000", DaemonRole::data, ZoneName{"us-1"}, RegionName{"us"}, 77}};
  state.term = 5;
  state.master = first_proposer;
  state.acknowledgement_wait_ms = 1300;
  state.minimum_version = {4, 211};
  state.lease_roster = {first_proposer, second_proposer};
  state.next_acceptors = {{store, first_proposer}, {StoreId{"store-3"}, Address{"10.0.0.3:7000"}}};
  state.completed_changes = {{"change-1", 40, 16, {content_digest_bytes("change-1")}}, {"change-2", 41, 17, {}}};
  return state;
}

FleetState newest_state() {
  FleetState state = whole_state();
  state.version = 42;
  state.config_revision = 18;
  state.resources[0] = {"serving-plans", "plan-1", 42, 18, R"({"model":"m2","regions":["eu"]})"};
  state.completed_changes.push_back({"change-3", 42, 18, {content_digest_bytes("change-3")}});
  return state;
}

FleetState torn_state() {
  FleetState state = newest_state();
  state.version = 43;
  return state;
}

// A register's copy on a folder of the real disk, each message's records written as the control process writes them.
class StoredCopy {
 public:
  explicit StoredCopy(const fs::path& folder) {
    files = value_of(open_disk_folder(folder.string()));
    log = std::make_unique<SegmentedLog>(files, segment_bound);
    opening = value_of(log->open(store.text));
    acceptor = std::make_unique<RegisterAcceptor>(opening.store);
    value_of(acceptor->restore(opening.records));
  }

  // Returns the answer, which leaves once the write is on disk.
  Message ask(const Address& from, const Message& message) {
    acceptor->on_message(from, message, now);
    for (const LogWrite& log_write : acceptor->drain_writes()) {
      value_of(log->append({log_write.record}));
      value_of(log->sync());
      acceptor->synced(log_write.token);
    }
    return acceptor->drain_outbound().at(0).message;
  }
  void prepare(const Ballot& ballot) {
    auto answer = ask(ballot.proposer, Prepare{1, store, ballot, {}});
    EXPECT_TRUE(std::get<Promise>(answer).granted);
  }
  void accept(const Ballot& ballot, const FleetState& state) {
    auto answer = ask(ballot.proposer, Accept{1, store, ballot, {encode_state(state)}, {}, {}});
    EXPECT_TRUE(std::get<Accepted>(answer).granted);
  }
  void accept_delta(const Ballot& ballot, const FleetState& state, const Ballot& base, const FleetState& base_state) {
    const std::string value = encode_state(state);
    const Bytes delta{make_delta(encode_state(base_state), value)};
    auto answer = ask(ballot.proposer, Accept{1, store, ballot, delta, base, {content_digest_bytes(value)}});
    EXPECT_TRUE(std::get<Accepted>(answer).granted);
  }
  Ballot promised() const { return decode_acceptor_record(acceptor->snapshot())->promised; }

  template <class Value>
  static Value value_of(Outcome<Value> outcome) {
    if (!outcome)
      throw std::runtime_error(outcome.reason);
    return std::move(*outcome);
  }

  std::shared_ptr<FileSystem> files;
  std::unique_ptr<SegmentedLog> log;
  LogOpening opening;
  std::unique_ptr<RegisterAcceptor> acceptor;
};

// Leaves: the identity; a snapshot with the segment after it, whose last record is cut short; and the segment before
// the snapshot, as if the process had stopped ahead of its removal.
void write_store(const fs::path& folder) {
  {
    StoredCopy copy(folder);
    copy.ask(first_proposer, BootstrapRequest{1, store, {encode_state(founding_state())}});
    copy.prepare(whole_ballot);
    copy.accept(whole_ballot, whole_state());
    const std::string covered = StoredCopy::value_of(copy.files->read("segment-1"));
    StoredCopy::value_of(copy.log->snapshot(copy.acceptor->snapshot()));
    StoredCopy::value_of(copy.files->append("segment-1", covered));
    copy.prepare(delta_ballot);
    copy.accept_delta(delta_ballot, newest_state(), whole_ballot, whole_state());
    copy.prepare(promised_ballot);
    copy.accept(torn_ballot, torn_state());
    const std::size_t size = StoredCopy::value_of(copy.files->read("segment-2")).size();
    StoredCopy::value_of(copy.files->truncate("segment-2", size - torn_bytes));
  }
  fs::remove(folder / lock_file);
}

// The content of each file of the folder, by its name.
std::map<std::string, std::string> read_folder(const fs::path& folder) {
  std::map<std::string, std::string> contents;
  for (const auto& entry : fs::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    contents[entry.path().filename().string()] = {std::istreambuf_iterator<char>(file), {}};
  }
  return contents;
}

// The size of the records that are whole.
constexpr std::size_t record_head_size = 12;
std::size_t stored_size(const std::vector<std::string>& records) {
  std::size_t size = 0;
  for (const std::string& record : records)
    size += record_head_size + record.size();
  return size;
}

class TemporaryFolder : public testing::Test {
 protected:
  void SetUp() override {
    std::string name = (fs::temp_directory_path() / "emberdale-store-XXXXXX").string();
    ASSERT_NE(mkdtemp(name.data()), nullptr);
    temporary_ = name;
  }
  void TearDown() override { fs::remove_all(temporary_); }
  fs::path folder() const { return temporary_ / "store"; }

 private:
  fs::path temporary_;
};

// Has a copy of the stored folder.
class StoredRegister : public TemporaryFolder {
 protected:
  void SetUp() override {
    TemporaryFolder::SetUp();
    fs::copy(stored_folder, folder());
  }
};

using RegisterWriter = TemporaryFolder;

// The content of the stored folder, under a promise that may have grown since.
void expect_newest_value(const StoredCopy& copy) {
  EXPECT_EQ(copy.acceptor->store(), store);
  EXPECT_FALSE(copy.acceptor->is_blank());
  EXPECT_TRUE(copy.acceptor->accepted() == delta_ballot);
  const FleetState& state = copy.acceptor->state();
  EXPECT_EQ(state.fleet_name, "fleet-1");
  EXPECT_EQ(state.version, 42);
  ASSERT_EQ(state.resources.size(), 3u);
  EXPECT_EQ(state.resources[0].body, R"({"model":"m2","regions":["eu"]})");
  EXPECT_EQ(encode_state(state), encode_state(newest_state()));
}

}  // namespace

TEST_F(StoredRegister, IsReadWithAllItsContentAndWithoutItsTornTail) {
  const std::size_t size_before = fs::file_size(folder() / "segment-2");
  StoredCopy copy(folder());
  EXPECT_EQ(copy.opening.store, store);
  EXPECT_FALSE(copy.opening.is_new);
  EXPECT_FALSE(copy.opening.was_corrupt);
  ASSERT_EQ(copy.opening.records.size(), 4u);  // the snapshot, a promise, a value, a promise
  const std::vector<std::string> after_snapshot(copy.opening.records.begin() + 1, copy.opening.records.end());
  const std::size_t size = stored_size(after_snapshot);
  EXPECT_EQ(copy.opening.finding, "segment-2: torn tail of " + std::to_string(size_before - size) + " bytes dropped");
  EXPECT_GT(size_before, size);
  EXPECT_EQ(fs::file_size(folder() / "segment-2"), size);
  EXPECT_FALSE(fs::exists(folder() / "segment-1"));  // covered by the snapshot
  EXPECT_TRUE(copy.promised() == promised_ballot);
  expect_newest_value(copy);
}

TEST_F(StoredRegister, TheSnapshotHoldsTheValueBeforeTheLog) {
  StoredCopy copy(folder());
  RegisterAcceptor acceptor(store);
  ASSERT_TRUE(acceptor.restore({copy.opening.records.at(0)}));
  EXPECT_TRUE(acceptor.accepted() == whole_ballot);
  EXPECT_TRUE(decode_acceptor_record(acceptor.snapshot())->promised == whole_ballot);
  EXPECT_EQ(encode_state(acceptor.state()), encode_state(whole_state()));
}

TEST_F(StoredRegister, GoesOnWhereItStopped) {
  const Ballot next_ballot{11, first_proposer};
  {
    StoredCopy copy(folder());
    copy.prepare(next_ballot);
  }
  {
    StoredCopy copy(folder());
    EXPECT_EQ(copy.opening.finding, "");
    EXPECT_EQ(copy.opening.records.size(), 5u);
    EXPECT_TRUE(copy.promised() == next_ballot);
    expect_newest_value(copy);
    copy.accept_delta(next_ballot, torn_state(), delta_ballot, newest_state());
  }
  {
    StoredCopy copy(folder());
    EXPECT_EQ(copy.opening.records.size(), 6u);
    EXPECT_TRUE(copy.acceptor->accepted() == next_ballot);
    ASSERT_TRUE(copy.log->snapshot(copy.acceptor->snapshot()));
  }
  StoredCopy copy(folder());
  EXPECT_EQ(copy.opening.store, store);
  EXPECT_EQ(copy.opening.records.size(), 1u);
  EXPECT_TRUE(copy.promised() == next_ballot);
  EXPECT_TRUE(copy.acceptor->accepted() == next_ballot);
  EXPECT_EQ(encode_state(copy.acceptor->state()), encode_state(torn_state()));
}

TEST_F(RegisterWriter, WritesTheStoredFolderByteForByte) {
  if (const char* path = std::getenv(write_variable)) {
    ASSERT_FALSE(fs::exists(path)) << path;
    write_store(path);
    return;  // nothing is compared
  }
  write_store(folder());
  const auto stored = read_folder(stored_folder), fresh = read_folder(folder());
  ASSERT_EQ(stored.size(), 4u);
  ASSERT_EQ(fresh.size(), stored.size());
  for (const auto& [name, content] : stored) {
    ASSERT_EQ(fresh.count(name), 1u) << name;
    EXPECT_TRUE(fresh.at(name) == content) << name << " is not written as it is stored";
  }
}
