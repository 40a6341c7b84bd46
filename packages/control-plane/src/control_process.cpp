#include "control_process.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <future>

#include "emberdale/program_settings.hpp"

namespace emberdale {
namespace {
constexpr std::size_t segment_bytes = 1 << 20;
constexpr Duration stop_margin{500};  // over the daemon's own timeout of the hand-over
constexpr std::chrono::seconds control_thread_timeout{1};
constexpr std::chrono::seconds snapshot_timeout{5};
// What is done may cause more to be done; what is left after so many rounds waits for the next timer.
constexpr int most_flush_rounds = 64;
constexpr int refusals_per_log_line = 100;
constexpr std::size_t unique_digits = 16;  // of the id of a store that has a seat
}  // namespace

ControlProcess::ControlProcess(ControlProcessSettings settings) : settings_(std::move(settings)) {}

absl::Status ControlProcess::open_store() {
  std::unique_ptr<RegisterAcceptor> acceptor;
  if (!settings_.data_folder.empty()) {
    auto opened = open_replica();
    if (!opened.ok())
      return opened.status();
    acceptor = *std::move(opened);
  }
  daemon_ = std::make_unique<ControlDaemon>(settings_.daemon, std::move(acceptor));
  daemon_->journal().on_event = [](const JournalEvent& event) {
    LOG(INFO) << event.kind << ": " << event.detail;
  };
  connect_peers();
  return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<RegisterAcceptor>> ControlProcess::open_replica() {
  log_.reset();  // of an attempt before, with its lock
  faulty_disk_.reset();
  auto files = open_disk_folder(settings_.data_folder);
  if (!files)
    return absl::UnavailableError(files.reason);
  std::shared_ptr<FileSystem> disk = *files;
  if (settings_.may_fault_connections)
    disk = faulty_disk_ = std::make_shared<FaultyFileSystem>(disk);
  log_ = std::make_unique<SegmentedLog>(disk, segment_bytes);
  auto opening = log_->open(first_store_id().text, random_id());
  if (!opening)
    return absl::UnavailableError(opening.reason);
  if (!opening->finding.empty())
    LOG(WARNING) << opening->finding;
  LOG(INFO) << "store " << opening->store << (opening->is_new ? " (new)" : "") << ", " << opening->records.size()
            << " records";
  auto acceptor = std::make_unique<RegisterAcceptor>(opening->store);
  auto restored = acceptor->restore(opening->records);
  if (!restored)
    return absl::DataLossError("the log can't be replayed: " + restored.reason);
  return acceptor;
}

StoreId ControlProcess::first_store_id() const {
  const auto& seeds = settings_.daemon.seeds;
  const Address& self = settings_.daemon.self.address;
  bool is_seed = std::find(seeds.begin(), seeds.end(), self) != seeds.end();
  if (!settings_.daemon.bootstraps_itself || !is_seed)
    return StoreId{random_id()};
  return FoundingElectorate(seeds).make_store(self, random_id().substr(0, unique_digits));
}

void ControlProcess::connect_peers() {
  connections_ = std::make_unique<PeerConnections>(
      context_, settings_.daemon.self.address,
      [this](const Address& from, Message message) {
        daemon_->on_message(from, message, steady_now());
        flush();
      },
      settings_.max_inbound_peers);
  connections_->on_refused = [this](const Address& peer) {
    daemon_->on_refused(peer, steady_now());
    flush();
  };
}

void ControlProcess::start() {
  if (log_)
    disk_ = std::thread([this] { run_disk(); });
  control_ = std::thread([this] { run_control(); });
}

void ControlProcess::run_control() {
  daemon_->start(steady_now());
  flush();
  schedule_timer();
  context_.run();
}

void ControlProcess::stop(Duration grace, std::function<void()> before_end) {
  post([](ControlDaemon& daemon) { daemon.stop(steady_now()); });
  wait_until_ready_to_end();
  std::this_thread::sleep_for(std::chrono::milliseconds(grace.value));
  end_all_requests();  // before the connections go
  before_end();
  boost::asio::post(context_, [this] { context_.stop(); });
  control_.join();
  jobs_.close();
  if (disk_.joinable())
    disk_.join();
}

// A replica hands its place over first; the daemon limits the time for that itself.
void ControlProcess::wait_until_ready_to_end() {
  const TimePoint end = steady_now() + settings_.daemon.hand_over_timeout + stop_margin;
  while (steady_now() < end) {
    auto is_ready = std::make_shared<std::promise<bool>>();
    auto response = is_ready->get_future();
    post([is_ready](ControlDaemon& daemon) { is_ready->set_value(daemon.is_ready_to_end()); });
    if (response.wait_for(control_thread_timeout) == std::future_status::ready && response.get())
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(settings_.timer_interval.value));
  }
}

void ControlProcess::end_all_requests() {
  std::promise<void> ended;
  post([&ended](ControlDaemon& daemon) {
    daemon.end_all_requests(steady_now());
    ended.set_value();
  });
  ended.get_future().wait();
}

void ControlProcess::post(std::function<void(ControlDaemon&)> act) {
  boost::asio::post(context_, [this, act = std::move(act)] {
    act(*daemon_);
    flush();
  });
}

void ControlProcess::schedule_timer() {
  timer_.expires_after(std::chrono::milliseconds(settings_.timer_interval.value));
  timer_.async_wait([this](boost::system::error_code fault) {
    if (fault)
      return;
    daemon_->set_wall_clock(static_cast<std::int64_t>(::time(nullptr)));
    daemon_->on_timer(steady_now());
    flush();
    if (on_timer)
      on_timer();
    schedule_timer();
  });
}

void ControlProcess::flush() {
  for (int round = 0; round < most_flush_rounds; ++round) {
    bool had_writes = flush_writes();
    bool had_messages = flush_outbound();
    flush_probes();
    if (!had_writes && !had_messages)
      return;
  }
}

bool ControlProcess::flush_writes() {
  auto writes = daemon_->drain_writes();
  if (writes.empty())
    return false;
  const std::int64_t last_token = writes.back().token;
  if (!jobs_.offer({std::move(writes), epoch_})) {
    ++disk_refused_;
    daemon_->write_refused(last_token);  // the disk is too far behind
  }
  return true;
}

bool ControlProcess::flush_outbound() {
  auto messages = daemon_->drain_outbound();
  for (auto& outbound : messages) {
    if (outbound.to == settings_.daemon.self.address)
      deliver_to_self(std::move(outbound.message));
    else
      connections_->send(outbound.to, outbound.message);
  }
  return !messages.empty();
}

void ControlProcess::flush_probes() {
  for (auto& probe : daemon_->drain_probes())
    if (on_probe_request)
      on_probe_request(probe);
}

void ControlProcess::deliver_to_self(Message message) {
  boost::asio::post(context_, [this, message = std::move(message)] {
    daemon_->on_message(settings_.daemon.self.address, message, steady_now());
    flush();
  });
}

void ControlProcess::run_disk() {
  while (auto job = jobs_.take()) {
    if (job->epoch <= refused_epoch_)
      continue;
    write_job(*job);
    // A restart reads from the disk what it really holds: the answers that this process has given rest on it.
    if (log_->must_stop())
      LOG(FATAL) << "the data folder can't be trusted any more: stopping";
  }
}

// What has gathered is written and synced together.
void ControlProcess::write_job(DiskJob& job) {
  std::vector<std::string> records;
  for (auto& write : job.writes)
    records.push_back(std::move(write.record));
  auto written = log_->append(records);
  if (!written)
    return on_write_refused(job, written.reason);
  auto synced = log_->sync();
  if (!synced)
    return on_write_refused(job, synced.reason);
  on_written(job.writes.back().token, records.size());
}

void ControlProcess::on_written(std::int64_t last_token, std::size_t records) {
  disk_writes_ += static_cast<std::int64_t>(records);
  post([last_token](ControlDaemon& daemon) { daemon.synced(last_token, steady_now()); });
  if (log_->wants_snapshot())
    take_snapshot();
}

void ControlProcess::on_write_refused(const DiskJob& job, const std::string& reason) {
  ++disk_refused_;
  LOG_EVERY_N(WARNING, refusals_per_log_line) << "the data folder refuses writes: " << reason;
  refused_epoch_ = job.epoch;
  boost::asio::post(context_, [this, last_token = job.writes.back().token] {
    daemon_->write_refused(last_token);
    ++epoch_;
  });
}

// The state is copied on the control thread after what was just written there has been confirmed.
void ControlProcess::take_snapshot() {
  auto state = std::make_shared<std::promise<std::string>>();
  auto copied = state->get_future();
  boost::asio::post(context_, [this, state] { state->set_value(daemon_->acceptor()->snapshot()); });
  if (copied.wait_for(snapshot_timeout) != std::future_status::ready)
    return;
  auto taken = log_->snapshot(copied.get());
  if (!taken)
    LOG(WARNING) << "no snapshot: " << taken.reason;
}

}  // namespace emberdale
