#include "control_process.hpp"

#include <glog/logging.h>

#include <future>

#include "emberdale/program_settings.hpp"

namespace emberdale {

ControlProcess::ControlProcess(ControlProcessSettings settings) : settings_(std::move(settings)) {}

Outcome<bool> ControlProcess::open() {
  std::unique_ptr<RegisterAcceptor> acceptor;
  if (!settings_.data_folder.empty()) {
    auto files = open_disk_folder(settings_.data_folder);
    if (!files)
      return failure(files.reason);
    std::shared_ptr<FileSystem> disk = *files;
    if (settings_.may_fault_connections)
      disk = faulty_disk_ = std::make_shared<FaultyFileSystem>(disk);
    log_ = std::make_unique<SegmentedLog>(disk, 1 << 20);
    auto opening = log_->open(random_id());
    if (!opening)
      return failure(opening.reason);
    if (!opening->finding.empty())
      LOG(WARNING) << opening->finding;
    LOG(INFO) << "store " << opening->store << (opening->is_new ? " (new)" : "") << ", " << opening->records.size()
              << " records";
    acceptor = std::make_unique<RegisterAcceptor>(opening->store);
    auto restored = acceptor->restore(opening->records);
    if (!restored)
      return failure("the log can't be replayed: " + restored.reason);
  }
  const Address self = settings_.daemon.self.address;
  daemon_ = std::make_unique<ControlDaemon>(settings_.daemon, std::move(acceptor));
  daemon_->journal().on_event = [](const JournalEvent& event) {
    LOG(INFO) << event.kind << ": " << event.detail;
  };
  connections_ = std::make_unique<PeerConnections>(context_, self, [this](const Address& from, Message message) {
    daemon_->on_message(from, message, steady_now());
    flush();
  });
  connections_->on_refused = [this](const Address& peer) {
    daemon_->on_refused(peer, steady_now());
    flush();
  };
  absl::Status listening = connections_->listen();
  if (!listening.ok())
    return failure(std::string(listening.message()));
  return true;
}

void ControlProcess::start() {
  if (log_)
    disk_ = std::thread([this] { run_disk(); });
  control_ = std::thread([this] {
    daemon_->start(steady_now());
    flush();
    tick();
    context_.run();
  });
}

void ControlProcess::stop(Duration patience, std::function<void()> before_end) {
  post([](ControlDaemon& daemon) { daemon.stop(steady_now()); });
  wait_until_ready_to_end();
  // Edits in hand get their answer before the links go.
  std::this_thread::sleep_for(std::chrono::milliseconds(patience.value));
  std::promise<void> answered;
  post([&answered](ControlDaemon& daemon) {
    daemon.answer_all(steady_now());
    answered.set_value();
  });
  answered.get_future().wait();
  before_end();
  boost::asio::post(context_, [this] { context_.stop(); });
  control_.join();
  jobs_.close();
  if (disk_.joinable())
    disk_.join();
}

// A replica hands its place over first; the daemon bounds that time by its own patience.
void ControlProcess::wait_until_ready_to_end() {
  const TimePoint end = steady_now() + settings_.daemon.hand_over_patience + Duration{500};
  while (steady_now() < end) {
    auto asked = std::make_shared<std::promise<bool>>();
    auto answer = asked->get_future();
    post([asked](ControlDaemon& daemon) { asked->set_value(daemon.is_ready_to_end()); });
    if (answer.wait_for(std::chrono::seconds(1)) == std::future_status::ready && answer.get())
      return;
    std::this_thread::sleep_for(std::chrono::milliseconds(settings_.timer_interval.value));
  }
}

void ControlProcess::post(std::function<void(ControlDaemon&)> act) {
  boost::asio::post(context_, [this, act = std::move(act)] {
    act(*daemon_);
    flush();
  });
}

void ControlProcess::tick() {
  timer_.expires_after(std::chrono::milliseconds(settings_.timer_interval.value));
  timer_.async_wait([this](boost::system::error_code fault) {
    if (fault)
      return;
    daemon_->set_wall_clock(static_cast<std::int64_t>(::time(nullptr)));
    daemon_->on_timer(steady_now());
    flush();
    if (on_timer)
      on_timer();
    tick();
  });
}

// Everything the state machine wishes for is carried out here, on the control thread.
void ControlProcess::flush() {
  const Address self = settings_.daemon.self.address;
  for (int round = 0; round < 64; ++round) {
    bool was_quiet = true;
    auto writes = daemon_->drain_writes();
    if (!writes.empty()) {
      was_quiet = false;
      if (!jobs_.offer({std::move(writes), epoch_}))
        LOG(FATAL) << "the disk is " << 4096 << " writes behind";
    }
    for (auto& outbound : daemon_->drain_outbound()) {
      was_quiet = false;
      if (outbound.to == self) {
        boost::asio::post(context_, [this, self, message = std::move(outbound.message)] {
          daemon_->on_message(self, message, steady_now());
          flush();
        });
      } else {
        connections_->send(outbound.to, outbound.message);
      }
    }
    for (auto& probe : daemon_->drain_probes())
      if (on_probe_request)
        on_probe_request(probe);
    if (was_quiet)
      return;
  }
}

// The disk thread: what has gathered is written and synced together.
void ControlProcess::run_disk() {
  while (auto job = jobs_.take()) {
    std::vector<std::string> records;
    for (auto& write : job->writes)
      records.push_back(std::move(write.record));
    std::int64_t last = job->writes.back().token;
    if (job->epoch <= refused_epoch_)
      continue;
    auto written = log_->append(records);
    if (written) {
      auto synced = log_->sync();
      if (!synced)
        LOG(FATAL) << "the data folder can't be synced, nothing is known of it: " << synced.reason;
      disk_writes_ += static_cast<std::int64_t>(records.size());
      post([last](ControlDaemon& daemon) { daemon.synced(last, steady_now()); });
      if (log_->wants_snapshot()) {
        // The picture was taken before this job: it is taken anew once the job is settled.
        auto fresh = std::make_shared<std::promise<std::string>>();
        auto result = fresh->get_future();
        boost::asio::post(context_, [this, fresh] { fresh->set_value(daemon_->acceptor()->picture()); });
        if (result.wait_for(std::chrono::seconds(5)) != std::future_status::ready)
          continue;
        auto taken = log_->snapshot(result.get());
        if (!taken)
          LOG(WARNING) << "no snapshot: " << taken.reason;
      }
    } else {
      ++disk_refused_;
      LOG_EVERY_N(WARNING, 100) << "the data folder refuses writes: " << written.reason;
      refused_epoch_ = job->epoch;
      boost::asio::post(context_, [this, last] {
        daemon_->write_refused(last);
        ++epoch_;
      });
    }
    if (log_->must_stop())
      LOG(FATAL) << "the data folder can't be trusted any more: stopping";
  }
}

}  // namespace emberdale
