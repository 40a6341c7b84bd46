// Connections between the processes of the fleet: framed messages over TCP, best effort.
//
// Each connection carries messages in one direction only, from the process that opened it. One is opened with the first
// message to a peer; nothing is acknowledged or repeated here, the state machines do that themselves.
#pragma once
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "emberdale/message_limits.hpp"
#include "emberdale/messages.hpp"
#include "emberdale/socket_address.hpp"

namespace emberdale {

// A fault that a test injects into the connections with one peer (only under --allow-link-faults).
struct ConnectionFault {
  bool is_cut_out = false;  // messages to that peer are lost
  bool is_cut_in = false;   // messages from that peer are lost
  Duration delay{0};        // messages to that peer are held back this long
};

// Totals since the start of the process.
struct ConnectionCounts {
  std::int64_t frames_out = 0;
  std::int64_t frames_in = 0;
  std::int64_t frames_dropped = 0;  // not sent: the queue was full, the connection failed, or a fault was injected
  std::int64_t bytes_out = 0;
  std::int64_t refused_frames = 0;   // malformed, too large, too slow or of another protocol; each ended its connection
  std::int64_t inbound_evicted = 0;  // connections of others that were closed for newer ones
  std::int64_t accept_failed = 0;    // e.g. without a free descriptor; tried again
};

// The connections of one process.
//
// Has one owner: the thread that runs the io_context. All calls are made on it, and so are all callbacks, so there is
// no lock. May be destroyed while operations are pending; their handlers then do nothing.
//
// Example:
//   PeerConnections connections(context, {"127.0.0.1:7000"}, on_message);
//   absl::Status listening = connections.listen();
//   connections.send({"127.0.0.1:7001"}, message);
class PeerConnections {
 public:
  using OnMessage = std::function<void(const Address& from, Message message)>;

  static constexpr std::size_t default_max_inbound = 1024;

  // `self` is the address to listen on, which peers are told in the handshake. Of connections that others have opened
  // at most `max_inbound` are held: the oldest without a handshake gives way, or else the newest is closed.
  PeerConnections(boost::asio::io_context& context, Address self, OnMessage on_message,
                  std::size_t max_inbound = default_max_inbound);
  ~PeerConnections();

  // Begins to accept connections. InvalidArgument if the own address is malformed, Unavailable if the system refuses
  // it.
  absl::Status listen();

  // Queues a message and returns at once. It is dropped and counted if the peer can't be reached or its queue is full.
  void send(const Address& to, const Message& message);

  // Replaces the faults with one peer. Example: connections.set_fault({"127.0.0.1:7001"}, {true, false, Duration{0}});
  void set_fault(const Address& peer, ConnectionFault fault);
  void clear_faults();

  // Called when a peer's address refuses connections: no process listens there, so the peer has ended. A frozen
  // process or a machine that can't be reached is never reported. May be left empty.
  std::function<void(const Address&)> on_refused;

  const ConnectionCounts& counts() const { return counts_; }

 private:
  struct OutboundConnection;
  struct InboundConnection;

  // Inbound: handshake, then one message after the other.
  void accept_next();
  void add_inbound(boost::asio::ip::tcp::socket socket);
  // False if there is no room for one more.
  bool make_room();
  // A peer that has connected again has given its former connections up; the last of them may still hold messages.
  void close_former_connections(const InboundConnection& newest);
  void sweep_inbound();
  void refuse(LimitFault fault);
  void read_next(const std::shared_ptr<InboundConnection>& connection);
  void read_body(const std::shared_ptr<InboundConnection>& connection);
  bool handle_body(InboundConnection& connection);
  bool handle_handshake(InboundConnection& connection);
  bool handle_message(const InboundConnection& connection);
  void restart_stuck_connect(const Address& peer);

  // Outbound.
  void enqueue(const Address& to, std::shared_ptr<const std::string> frame);
  std::shared_ptr<OutboundConnection> add_outbound_connection(const Address& to);
  bool is_current(const std::shared_ptr<OutboundConnection>& connection) const;
  void connect(const std::shared_ptr<OutboundConnection>& connection);
  void on_connected(const std::shared_ptr<OutboundConnection>& connection);
  void on_connect_failed(const std::shared_ptr<OutboundConnection>& connection, boost::system::error_code error);
  void watch_for_close(const std::shared_ptr<OutboundConnection>& connection);
  void write_next(const std::shared_ptr<OutboundConnection>& connection);
  void drop(const std::shared_ptr<OutboundConnection>& connection);
  void reconnect_later(const Address& to);
  void call_later(std::chrono::milliseconds delay, std::function<void()> action);

  boost::asio::io_context& context_;
  Address self_;
  OnMessage on_message_;
  const std::size_t max_inbound_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<InboundConnection>> inbound_connections_;            // in the order of their accepts
  std::map<Address, std::shared_ptr<OutboundConnection>> outbound_connections_;  // the current one of each peer
  std::map<Address, ConnectionFault> faults_;
  ConnectionCounts counts_;
  // Shared with pending handlers: false once this object is destroyed.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace emberdale
