#include "data_process.hpp"

#include <glog/logging.h>

#include "emberdale/program_settings.hpp"

namespace emberdale {

DataProcess::DataProcess(DaemonEntry self, std::vector<Address> seeds, Duration timer_interval,
                         std::size_t max_inbound_peers)
    : self_(self),
      timer_interval_(timer_interval),
      daemon_(self, std::move(seeds), static_cast<std::uint64_t>(self.incarnation)) {
  daemon_.journal().on_event = [](const JournalEvent& event) {
    LOG(INFO) << event.kind << " " << event.detail;
  };
  auto on_message = [this](const Address& from, Message message) {
    daemon_.on_message(from, message, steady_now());
    flush();
  };
  connections_ = std::make_unique<PeerConnections>(context_, self_.address, std::move(on_message), max_inbound_peers);
  connections_->on_refused = [this](const Address& peer) {
    daemon_.on_refused(peer, steady_now());
    flush();
  };
}

absl::Status DataProcess::open() { return connections_->listen(); }

void DataProcess::start() {
  control_thread_ = std::thread([this] {
    daemon_.start(steady_now());
    flush();
    tick();
    context_.run();
  });
}

void DataProcess::stop() {
  boost::asio::post(context_, [this] { context_.stop(); });
  control_thread_.join();
}

void DataProcess::post(std::function<void(DataDaemon&)> action) {
  boost::asio::post(context_, [this, action = std::move(action)] {
    action(daemon_);
    flush();
  });
}

void DataProcess::flush() {
  snapshot_.put(daemon_.view(), daemon_.grant(), daemon_.sending_knowledge());
  bool is_new = published_view_ != daemon_.view();
  published_view_ = daemon_.view();
  if (is_new && on_change)
    on_change();
  for (auto& outbound : daemon_.drain_outbound())
    connections_->send(outbound.to, outbound.message);
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
