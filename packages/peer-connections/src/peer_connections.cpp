#include "emberdale/peer_connections.hpp"

#include <glog/logging.h>
#include <netinet/tcp.h>

#include <algorithm>

#include "emberdale/avro_codec.hpp"
#include "frame_codec.hpp"

namespace emberdale {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t max_queued_frames = 512;
constexpr int listen_backlog = 256;
// A machine that can't be reached answers nothing, and the system would retry at ever longer intervals: once it can be
// reached again, a connection must not wait for the last of them.
constexpr std::chrono::milliseconds connect_timeout{500};
// The system ends a connection whose peer has acknowledged nothing for this long.
constexpr int unacknowledged_timeout_ms = 3000;
constexpr std::chrono::milliseconds reconnect_delay{20};
constexpr std::chrono::milliseconds accept_retry_interval{10};
// Of what a peer sends: the handshake from the connect on, a message from its size on.
constexpr std::chrono::milliseconds handshake_time{3000}, frame_time{10000};
constexpr std::chrono::milliseconds sweep_interval{1000};  // how late they may be noticed
constexpr const char* reader_name = "peers";               // in the counters of what went over a bound

tcp::endpoint endpoint_of(const SocketAddress& address) {
  boost::system::error_code ignored;  // the address has been parsed
  return {asio::ip::make_address(address.ip, ignored), static_cast<unsigned short>(address.port)};
}

}  // namespace

struct PeerConnections::OutboundConnection {
  OutboundConnection(asio::io_context& context, Address peer) : to(std::move(peer)), socket(context) {}

  Address to;
  tcp::socket socket;
  std::deque<std::shared_ptr<const std::string>> queue;  // the front is being written while is_writing
  bool is_connected = false;
  bool is_connecting = false;
  bool is_writing = false;
};

// Closes its socket with the last handler that holds it.
struct PeerConnections::InboundConnection {
  explicit InboundConnection(tcp::socket accepted) : socket(std::move(accepted)) {}

  using Clock = std::chrono::steady_clock;
  // The peer has so long for what it is to send next.
  void set_deadline(std::chrono::milliseconds time) { deadline = Clock::now() + time; }
  void clear_deadline() { deadline = Clock::time_point::max(); }
  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }
  std::size_t max_body_size() const { return from.empty() ? max_handshake_size : max_frame_size; }

  tcp::socket socket;
  Clock::time_point deadline = Clock::now() + handshake_time;
  Address from;  // empty until the handshake
  EncodedFrameHeader encoded_header{};
  FrameHeader header;
  std::string body;
};

PeerConnections::PeerConnections(asio::io_context& context, Address self, OnMessage on_message, std::size_t max_inbound)
    : context_(context),
      self_(std::move(self)),
      on_message_(std::move(on_message)),
      max_inbound_(max_inbound),
      acceptor_(context) {
  process_limit_counters().declare(reader_name);
}

PeerConnections::~PeerConnections() {
  *is_alive_ = false;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (auto& [to, connection] : outbound_connections_)
    connection->socket.close(ignored);
}

absl::Status PeerConnections::listen() {
  absl::StatusOr<SocketAddress> address = parse_socket_address(self_.text);
  if (!address.ok())
    return address.status();
  tcp::endpoint endpoint = endpoint_of(*address);
  boost::system::error_code error;
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(listen_backlog, error);
  if (error) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return absl::UnavailableError("can't listen on " + self_.text + ": " + error.message());
  }
  accept_next();
  sweep_inbound();
  return absl::OkStatus();
}

void PeerConnections::accept_next() {
  acceptor_.async_accept([this, is_alive = is_alive_](boost::system::error_code error, tcp::socket socket) {
    if (!*is_alive)
      return;
    if (error == asio::error::operation_aborted)
      return;
    if (error) {  // without a pause this thread would do nothing else
      ++counts_.accept_failed;
      return call_later(accept_retry_interval, [this] { accept_next(); });
    }
    add_inbound(std::move(socket));
    accept_next();
  });
}

void PeerConnections::add_inbound(tcp::socket socket) {
  if (!make_room()) {
    ++counts_.inbound_evicted;
    return;  // which closes it
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);  // ends connections whose peer has vanished
  auto connection = std::make_shared<InboundConnection>(std::move(socket));
  inbound_connections_.push_back(connection);
  read_next(connection);
}

bool PeerConnections::make_room() {
  if (inbound_connections_.size() < max_inbound_)
    return true;
  inbound_connections_.erase(std::remove_if(inbound_connections_.begin(), inbound_connections_.end(),
                                            [](const auto& entry) { return entry.expired(); }),
                             inbound_connections_.end());
  if (inbound_connections_.size() < max_inbound_)
    return true;
  for (auto entry = inbound_connections_.begin(); entry != inbound_connections_.end(); ++entry) {
    auto connection = entry->lock();
    if (!connection || !connection->from.empty())
      continue;
    connection->close();
    inbound_connections_.erase(entry);
    ++counts_.inbound_evicted;
    return true;
  }
  return false;
}

void PeerConnections::close_former_connections(const InboundConnection& newest) {
  int former = 0;
  for (auto entry = inbound_connections_.rbegin(); entry != inbound_connections_.rend(); ++entry) {
    auto connection = entry->lock();
    bool is_former = connection && connection.get() != &newest && connection->from == newest.from;
    if (is_former && ++former > 1)
      connection->close();
  }
}

// Closes the connections whose peers have taken longer than they may.
void PeerConnections::sweep_inbound() {
  const auto now = InboundConnection::Clock::now();
  std::vector<std::weak_ptr<InboundConnection>> open;
  for (const auto& entry : inbound_connections_) {
    auto connection = entry.lock();
    if (!connection)
      continue;
    open.push_back(connection);
    if (now <= connection->deadline)
      continue;
    connection->close();
    connection->clear_deadline();
    refuse(LimitFault::too_slow);
  }
  inbound_connections_ = std::move(open);
  call_later(sweep_interval, [this] { sweep_inbound(); });
}

void PeerConnections::refuse(LimitFault fault) {
  ++counts_.refused_frames;
  process_limit_counters().record(reader_name, fault);
}

void PeerConnections::read_next(const std::shared_ptr<InboundConnection>& connection) {
  asio::async_read(connection->socket, asio::buffer(connection->encoded_header),
                   [this, connection, is_alive = is_alive_](boost::system::error_code error, std::size_t) {
                     if (error || !*is_alive)
                       return;
                     connection->header = decode_frame_header(connection->encoded_header);
                     if (connection->header.body_size > connection->max_body_size())
                       refuse(LimitFault::body_too_large);
                     else
                       read_body(connection);
                   });
}

void PeerConnections::read_body(const std::shared_ptr<InboundConnection>& connection) {
  connection->body.resize(connection->header.body_size);
  if (!connection->from.empty())
    connection->set_deadline(frame_time);
  asio::async_read(connection->socket, asio::buffer(connection->body.data(), connection->body.size()),
                   [this, connection, is_alive = is_alive_](boost::system::error_code error, std::size_t) {
                     if (error || !*is_alive)
                       return;
                     connection->clear_deadline();
                     if (handle_body(*connection))
                       read_next(connection);
                     else
                       ++counts_.refused_frames;
                   });
}

// False if the frame is refused, which ends the connection.
bool PeerConnections::handle_body(InboundConnection& connection) {
  if (connection.header.is_compressed) {
    auto body = decompress_body(connection.body);
    if (!body)
      return false;
    connection.body = std::move(*body);
  }
  return connection.from.empty() ? handle_handshake(connection) : handle_message(connection);
}

bool PeerConnections::handle_handshake(InboundConnection& connection) {
  auto sender = decode_handshake_body(connection.body, protocol_fingerprint());
  if (!sender) {
    LOG(WARNING) << "link refused: other protocol";
    return false;
  }
  connection.from.text = std::move(*sender);
  close_former_connections(connection);
  restart_stuck_connect(connection.from);
  return true;
}

bool PeerConnections::handle_message(const InboundConnection& connection) {
  ++counts_.frames_in;
  auto fault = faults_.find(connection.from);
  if (fault != faults_.end() && fault->second.is_cut_in)
    return true;
  auto message = decode_message(connection.body);
  if (!message)
    return false;
  on_message_(connection.from, std::move(*message));
  return true;
}

// The peer can be reached again. A connect that began while it could not be would wait for the retry of a lost packet,
// for a second or more.
void PeerConnections::restart_stuck_connect(const Address& peer) {
  auto entry = outbound_connections_.find(peer);
  if (entry == outbound_connections_.end() || !entry->second->is_connecting)
    return;
  auto fresh = std::make_shared<OutboundConnection>(context_, peer);
  fresh->queue.swap(entry->second->queue);
  auto stuck = std::exchange(entry->second, fresh);
  boost::system::error_code ignored;
  stuck->socket.close(ignored);
  connect(fresh);
}

// Calls the action on the io_context unless this object is destroyed before.
void PeerConnections::call_later(std::chrono::milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(context_, delay);
  timer->async_wait([timer, action = std::move(action), is_alive = is_alive_](boost::system::error_code) {
    if (*is_alive)
      action();
  });
}

void PeerConnections::send(const Address& to, const Message& message) {
  auto frame = std::make_shared<const std::string>(encode_frame(encode_message(message)));
  auto fault = faults_.find(to);
  if (fault != faults_.end() && fault->second.is_cut_out) {
    ++counts_.frames_dropped;
    return;
  }
  if (fault != faults_.end() && fault->second.delay.value > 0) {
    call_later(std::chrono::milliseconds(fault->second.delay.value), [this, to, frame] { enqueue(to, frame); });
    return;
  }
  enqueue(to, std::move(frame));
}

std::shared_ptr<PeerConnections::OutboundConnection> PeerConnections::add_outbound_connection(const Address& to) {
  auto connection = std::make_shared<OutboundConnection>(context_, to);
  outbound_connections_[to] = connection;
  return connection;
}

void PeerConnections::enqueue(const Address& to, std::shared_ptr<const std::string> frame) {
  auto entry = outbound_connections_.find(to);
  auto connection = entry == outbound_connections_.end() ? add_outbound_connection(to) : entry->second;
  if (connection->queue.size() >= max_queued_frames) {
    ++counts_.frames_dropped;
    return;
  }
  connection->queue.push_back(std::move(frame));
  if (connection->is_connected && !connection->is_writing)
    write_next(connection);
  else if (!connection->is_connected && !connection->is_connecting)
    connect(connection);
}

bool PeerConnections::is_current(const std::shared_ptr<OutboundConnection>& connection) const {
  auto entry = outbound_connections_.find(connection->to);
  return entry != outbound_connections_.end() && entry->second == connection;
}

void PeerConnections::connect(const std::shared_ptr<OutboundConnection>& connection) {
  absl::StatusOr<SocketAddress> address = parse_socket_address(connection->to.text);
  if (!address.ok())
    return drop(connection);
  connection->is_connecting = true;
  auto timeout = std::make_shared<asio::steady_timer>(context_, connect_timeout);
  timeout->async_wait([connection, timeout, is_alive = is_alive_](boost::system::error_code cancelled) {
    boost::system::error_code ignored;
    if (!cancelled && *is_alive && connection->is_connecting)
      connection->socket.close(ignored);  // ends the connect with an error
  });
  connection->socket.async_connect(endpoint_of(*address),
                                   [this, connection, timeout, is_alive = is_alive_](boost::system::error_code error) {
                                     timeout->cancel();
                                     if (!*is_alive)
                                       return;
                                     connection->is_connecting = false;
                                     if (!is_current(connection))
                                       return;  // replaced by restart_stuck_connect()
                                     if (error)
                                       on_connect_failed(connection, error);
                                     else
                                       on_connected(connection);
                                   });
}

void PeerConnections::on_connect_failed(const std::shared_ptr<OutboundConnection>& connection,
                                        boost::system::error_code error) {
  drop(connection);
  auto fault = faults_.find(connection->to);
  bool is_cut = fault != faults_.end() && fault->second.is_cut_out;
  if (error == asio::error::connection_refused && on_refused && !is_cut)
    on_refused(connection->to);
}

void PeerConnections::on_connected(const std::shared_ptr<OutboundConnection>& connection) {
  using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  boost::system::error_code ignored;
  connection->socket.set_option(tcp::no_delay(true), ignored);
  connection->socket.set_option(UserTimeout(unacknowledged_timeout_ms), ignored);
  connection->is_connected = true;
  connection->queue.push_front(
      std::make_shared<const std::string>(encode_handshake_frame(protocol_fingerprint(), self_.text)));
  watch_for_close(connection);
  write_next(connection);
}

// The peer sends nothing on this connection: a read only ends when the peer closes it.
void PeerConnections::watch_for_close(const std::shared_ptr<OutboundConnection>& connection) {
  auto byte = std::make_shared<char>();
  asio::async_read(connection->socket, asio::buffer(byte.get(), 1),
                   [this, connection, byte, is_alive = is_alive_](boost::system::error_code, std::size_t) {
                     if (!*is_alive)
                       return;
                     drop(connection);
                     reconnect_later(connection->to);
                   });
}

void PeerConnections::write_next(const std::shared_ptr<OutboundConnection>& connection) {
  if (!connection->is_connected || connection->queue.empty())
    return;
  connection->is_writing = true;
  auto frame = connection->queue.front();
  asio::async_write(connection->socket, asio::buffer(*frame),
                    [this, connection, frame, is_alive = is_alive_](boost::system::error_code error, std::size_t size) {
                      if (!*is_alive)
                        return;
                      connection->is_writing = false;
                      if (error)
                        return drop(connection);
                      ++counts_.frames_out;
                      counts_.bytes_out += static_cast<std::int64_t>(size);
                      if (!connection->queue.empty() && connection->queue.front() == frame)
                        connection->queue.pop_front();
                      write_next(connection);
                    });
}

void PeerConnections::drop(const std::shared_ptr<OutboundConnection>& connection) {
  if (!is_current(connection))
    return;
  counts_.frames_dropped += static_cast<std::int64_t>(connection->queue.size());
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  outbound_connections_.erase(connection->to);
}

// A connection that the peer closed may mean that its process has ended: whether a new one is refused shows it.
void PeerConnections::reconnect_later(const Address& to) {
  call_later(reconnect_delay, [this, to] {
    if (outbound_connections_.count(to) == 0)
      connect(add_outbound_connection(to));
  });
}

void PeerConnections::set_fault(const Address& peer, ConnectionFault fault) { faults_[peer] = fault; }

void PeerConnections::clear_faults() { faults_.clear(); }

}  // namespace emberdale
