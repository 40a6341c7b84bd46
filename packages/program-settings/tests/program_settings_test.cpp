// Tests of the settings of a daemon, with the texts that operators see.
#include "emberdale/program_settings.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "emberdale/descriptor_budget.hpp"

namespace emberdale {
namespace {

using Arguments = std::map<std::string, docopt::value>;

// A settings file that goes with the test.
class SettingsFile {
 public:
  explicit SettingsFile(const std::string& text) : name_(testing::TempDir() + "settings-" + random_id() + ".json") {
    std::ofstream(name_) << text;
  }
  SettingsFile(const SettingsFile&) = delete;
  SettingsFile& operator=(const SettingsFile&) = delete;
  ~SettingsFile() { std::remove(name_.c_str()); }
  const std::string& name() const { return name_; }

 private:
  std::string name_;
};

docopt::value text_value(const std::string& text) { return docopt::value(text); }

TEST(ProgramSettings, FlagsTakePrecedenceOverTheFile) {
  SettingsFile file(R"({"link":"10.0.0.1:70","http":"10.0.0.1:80","zone":"a","region":"north",)"
                    R"("seeds":["10.0.0.2:70","10.0.0.3:70"],"allow_link_faults":true,"data_folder":"/data"})");
  std::vector<std::string> findings;
  Arguments arguments{{"--settings", text_value(file.name())}, {"--zone", text_value("b")}};
  ProgramSettings settings = read_settings(arguments, DaemonRole::edge, findings);
  EXPECT_TRUE(findings.empty());
  EXPECT_EQ(settings.self.role, DaemonRole::edge);
  EXPECT_EQ(settings.self.address.text, "10.0.0.1:70");
  EXPECT_EQ(settings.self.http_address, "10.0.0.1:80");
  EXPECT_EQ(settings.self.zone.text, "b");
  EXPECT_EQ(settings.self.region.text, "north");
  EXPECT_EQ(settings.seeds, (std::vector<Address>{{"10.0.0.2:70"}, {"10.0.0.3:70"}}));
  EXPECT_TRUE(settings.may_fault_connections);
  EXPECT_EQ(settings.data_folder, "");  // this program has no flag for it
}

TEST(ProgramSettings, AllThatIsWrongIsFoundAtOnce) {
  SettingsFile file(R"({"link":7,"http":"x:80","region":"","seeds":"a,,10.0.0.1:70,10.0.0.2:70",)"
                    R"("allow_link_faults":1,"colour":"red"})");
  std::vector<std::string> findings;
  read_settings({{"--settings", text_value(file.name())}}, DaemonRole::data, findings);
  const std::string place = file.name() + ": /";
  EXPECT_EQ(
      findings,
      (std::vector<std::string>{
          place + "colour: is not a known setting", place + "link: must be text", place + "link: is required (IP:PORT)",
          place + "http: 'x:80' does not start with an IP number", "--zone: is required", place + "region: is required",
          place + "seeds: 'a' is not IP:PORT", place + "seeds: '' is not IP:PORT",
          place + "seeds: three seed addresses at most", place + "allow_link_faults: must be true or false"}));
}

TEST(ProgramSettings, AFileThatCanNotBeReadIsNamed) {
  SettingsFile list("[]");
  SettingsFile broken("{\"link\"");
  struct Case {
    std::string name;
    std::string finding;
  };
  for (const Case& wrong :
       {Case{"/none/here", "/none/here: can't be read"}, Case{list.name(), list.name() + ": must be a JSON object"},
        Case{broken.name(), broken.name() + ": not JSON at byte 8"}}) {
    std::vector<std::string> findings;
    read_settings({{"--settings", text_value(wrong.name)}}, DaemonRole::data, findings);
    ASSERT_FALSE(findings.empty());
    EXPECT_EQ(findings.front(), wrong.finding);
  }
}

TEST(ProgramSettings, BothAddressesMustDiffer) {
  std::vector<std::string> findings;
  Arguments arguments{{"--link", text_value("10.0.0.1:70")},
                      {"--http", text_value("10.0.0.1:70")},
                      {"--zone", text_value("a")},
                      {"--region", text_value("north")},
                      {"--seeds", text_value("10.0.0.1:70")}};
  read_settings(arguments, DaemonRole::edge, findings);
  EXPECT_EQ(findings, std::vector<std::string>{"--http: must differ from the link address"});
}

// Guards against issue 33: a start whose port or folder a former process still held ended the process.
TEST(ProgramRuntime, AStartWaitsForWhatCannotBeHadYet) {
  int asked = 0;
  absl::Status opened = open_patiently(
      [&asked] { return ++asked < 4 ? absl::UnavailableError("a former process holds it") : absl::OkStatus(); });
  EXPECT_TRUE(opened.ok());
  EXPECT_EQ(asked, 4);
}

TEST(ProgramRuntime, AStartDoesNotWaitForWhatCanNeverBeHad) {
  absl::Status opened = open_patiently([] { return absl::InvalidArgumentError("no address"); });
  EXPECT_EQ(opened.code(), absl::StatusCode::kInvalidArgument);
}

TEST(ProgramRuntime, AStartThatWaitsEndsWithASignalToStop) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ::kill(::getpid(), SIGTERM);
  absl::Status opened = open_patiently([] { return absl::UnavailableError("for ever"); });
  EXPECT_EQ(opened.code(), absl::StatusCode::kCancelled);
}

TEST(DescriptorBudget, WhatPortsMayHoldTogetherLeavesRoomForFilesAndPeers) {
  for (std::int64_t limit : {0, 300, 600, 1024, 4100, 1000000}) {
    const DescriptorBudget budget(limit);
    const std::size_t peers = budget.connections(DescriptorUse::peers);
    const std::size_t of_control =
        budget.connections(DescriptorUse::operators) + budget.connections(DescriptorUse::directory) + peers;
    // Each request in progress may have a connection to a runner.
    const std::size_t of_data =
        2 * budget.connections(DescriptorUse::clients) + budget.connections(DescriptorUse::readiness);
    const auto usable = static_cast<std::size_t>((limit == 0 ? 1024 : limit) - 200);
    EXPECT_LE(of_control * 10, usable * 8) << limit;
    EXPECT_LE(of_data * 10, usable * 9) << limit;
    EXPECT_GT(peers, 0u);
  }
}

TEST(ProgramRuntime, CountersAreInTheFormatOfPrometheus) {
  EXPECT_EQ(counters_text("emberdale", {{"calls", 3}}), "# TYPE emberdale_calls gauge\nemberdale_calls 3\n");
}

TEST(ProgramRuntime, RandomIdsAreOf32DigitsAndDiffer) {
  EXPECT_EQ(random_id().size(), 32u);
  EXPECT_NE(random_id(), random_id());
}

}  // namespace
}  // namespace emberdale
