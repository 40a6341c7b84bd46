// Links between the system's own processes: framed Avro over TCP, one way a link, best effort.
#pragma once
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "emberdale/messages.hpp"

namespace emberdale {

// What a test does to the links of one process (only under --allow-link-faults).
struct ConnectionFault {
  bool is_cut_out = false;  // frames to that peer vanish
  bool is_cut_in = false;   // frames from that peer vanish
  Duration delay{0};        // frames to that peer wait this long
};

struct ConnectionCounts {
  std::int64_t frames_out = 0, frames_in = 0, frames_dropped = 0, bytes_out = 0, refused_frames = 0;
};

// All calls on the one control thread that runs the io_context.
// Example: PeerConnections links(context, {"127.0.0.1:7000"}, on_message); links.listen(); links.send(to, message);
class PeerConnections {
 public:
  using OnMessage = std::function<void(const Address& from, Message message)>;
  PeerConnections(boost::asio::io_context& context, Address self, OnMessage on_message);
  ~PeerConnections();

  // Example: auto listens = links.listen(); if (!listens) LOG(ERROR) << listens.reason;
  Outcome<bool> listen();

  // Never blocks; a frame that can't leave is dropped and counted. Example: links.send(peer, Ping{});
  void send(const Address& to, const Message& message);

  // Example: links.set_fault({"127.0.0.1:7001"}, {true, false, Duration{0}});
  void set_fault(const Address& peer, ConnectionFault fault);
  void clear_faults();

  // A definite word that no process listens there: it is not asleep, it is gone.
  // Example: links.on_refused = [&](const Address& peer) { daemon.on_refused(peer, steady_now()); };
  std::function<void(const Address&)> on_refused;

  const ConnectionCounts& counts() const { return counts_; }

 private:
  struct OutboundConnection;
  struct InboundConnection;
  void accept_next();
  void dial(const std::shared_ptr<OutboundConnection>& connection);
  void write_next(const std::shared_ptr<OutboundConnection>& connection);
  void drop(const std::shared_ptr<OutboundConnection>& connection);
  void look_again(const Address& to);
  void heard_from(const Address& peer);
  void read_next(const std::shared_ptr<InboundConnection>& connection);
  void queue_frame(const Address& to, std::shared_ptr<std::string> frame);

  boost::asio::io_context& context_;
  Address self_;
  OnMessage on_message_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<Address, std::shared_ptr<OutboundConnection>> outbound_connections_;
  std::map<Address, ConnectionFault> faults_;
  ConnectionCounts counts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Example: split_address("127.0.0.1:80")->second == 80
Outcome<std::pair<std::string, int>> split_address(const std::string& text);

}  // namespace emberdale
