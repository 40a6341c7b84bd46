#include "data_process.hpp"

#include <glog/logging.h>

#include "emberdale/program_settings.hpp"

namespace emberdale {

DataProcess::DataProcess(DaemonEntry self, std::vector<Address> seeds, Duration timer_interval)
    : self_(self),
      timer_interval_(timer_interval),
      daemon_(self, std::move(seeds), static_cast<std::uint64_t>(self.incarnation)) {
  daemon_.journal().on_event = [](const JournalEvent& event) {
    LOG(INFO) << event.kind << ": " << event.detail;
  };
  connections_ =
      std::make_unique<PeerConnections>(context_, self_.address, [this](const Address& from, Message message) {
        daemon_.on_message(from, message, steady_now());
        flush();
      });
  connections_->on_refused = [this](const Address& peer) {
    daemon_.on_refused(peer, steady_now());
    flush();
  };
}

Outcome<bool> DataProcess::open() {
  absl::Status listening = connections_->listen();
  if (!listening.ok())
    return failure(std::string(listening.message()));
  return true;
}

void DataProcess::start() {
  control_ = std::thread([this] {
    daemon_.start(steady_now());
    flush();
    tick();
    context_.run();
  });
}

void DataProcess::stop() {
  boost::asio::post(context_, [this] { context_.stop(); });
  control_.join();
}

void DataProcess::post(std::function<void(DataDaemon&)> act) {
  boost::asio::post(context_, [this, act = std::move(act)] {
    act(daemon_);
    flush();
  });
}

void DataProcess::flush() {
  snapshot_.put(daemon_.view(), daemon_.grant());
  bool is_new = seen_ != daemon_.view();
  seen_ = daemon_.view();
  if (is_new && on_change)
    on_change();
  for (auto& message : daemon_.drain_outbound())
    connections_->send(message.to, message.message);
}

void DataProcess::tick() {
  timer_.expires_after(std::chrono::milliseconds(timer_interval_.value));
  timer_.async_wait([this](boost::system::error_code fault) {
    if (fault)
      return;
    daemon_.on_timer(steady_now());
    flush();
    tick();
  });
}

}  // namespace emberdale
