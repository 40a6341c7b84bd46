#include "emberdale/peer_connections.hpp"

#include <zlib.h>

#include <glog/logging.h>
#include <netinet/tcp.h>

#include <cstring>

#include "emberdale/avro_codec.hpp"

namespace emberdale {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t max_frame = 8u << 20;
constexpr std::size_t max_queued_frames = 512;
// A machine that can't be reached answers nothing, and the system would go on trying in ever longer steps: when
// the way is open again, a link must not wait for the last of them.
constexpr std::chrono::milliseconds dial_patience{500};
constexpr int unanswered_ms = 3000;
constexpr std::size_t large_frame = 8192;          // from here on a frame is packed, if that makes it smaller
constexpr std::uint32_t packed_mark = 0x80000000;  // in the size that goes before a frame
constexpr std::uint32_t hello_mark = 0x454d4244;   // "EMBD"

template <class T>
void put(std::string& out, T number) {
  for (std::size_t i = 0; i < sizeof(T); ++i)
    out.push_back(static_cast<char>(number >> (8 * i)));
}
template <class T>
T get(const char* start) {
  T number = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    number |= static_cast<T>(static_cast<unsigned char>(start[i])) << (8 * i);
  return number;
}
// zlib's format, with the full size before it. Nothing if it would not be smaller.
std::optional<std::string> pack(const std::string& body) {
  std::string packed(4 + compressBound(body.size()), 0);
  uLongf size = packed.size() - 4;
  int code = compress2(reinterpret_cast<Bytef*>(&packed[4]), &size, reinterpret_cast<const Bytef*>(body.data()),
                       body.size(), 1);
  if (code != Z_OK || size + 4 >= body.size())
    return std::nullopt;
  std::string head;
  put<std::uint32_t>(head, static_cast<std::uint32_t>(body.size()));
  packed.replace(0, 4, head);
  packed.resize(4 + size);
  return packed;
}
std::optional<std::string> unpack(const std::string& packed) {
  if (packed.size() < 4)
    return std::nullopt;
  auto wanted = get<std::uint32_t>(packed.data());
  if (wanted > max_frame)
    return std::nullopt;
  std::string body(wanted, 0);
  uLongf size = wanted;
  int code = uncompress(reinterpret_cast<Bytef*>(body.data()), &size, reinterpret_cast<const Bytef*>(packed.data() + 4),
                        packed.size() - 4);
  if (code != Z_OK || size != wanted)
    return std::nullopt;
  return body;
}
}  // namespace

Outcome<std::pair<std::string, int>> split_address(const std::string& text) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos)
    return failure("'" + text + "' is not IP:PORT");
  boost::system::error_code fault;
  asio::ip::make_address(text.substr(0, colon), fault);
  if (fault)
    return failure("'" + text + "' does not start with an IP number");
  int port = 0;
  for (char digit : text.substr(colon + 1)) {
    if (digit < '0' || digit > '9')
      return failure("'" + text + "' has no port number");
    port = port * 10 + (digit - '0');
    if (port > 65535)
      return failure("'" + text + "' has a port above 65535");
  }
  if (port == 0)
    return failure("'" + text + "' has no port number");
  return std::make_pair(text.substr(0, colon), port);
}

struct PeerConnections::OutboundConnection {
  explicit OutboundConnection(asio::io_context& context) : socket(context) {}
  Address to;
  tcp::socket socket;
  std::deque<std::shared_ptr<std::string>> queue;
  bool is_up = false, is_dialling = false, is_writing = false;
};

struct PeerConnections::InboundConnection {
  explicit InboundConnection(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  Address from;
  char head[4];
  std::string body;
};

PeerConnections::PeerConnections(asio::io_context& context, Address self, OnMessage on_message)
    : context_(context), self_(std::move(self)), on_message_(std::move(on_message)), acceptor_(context) {}

PeerConnections::~PeerConnections() {
  *alive_ = false;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (auto& [to, link] : outbound_connections_)
    link->socket.close(ignored);
}

Outcome<bool> PeerConnections::listen() {
  auto place = split_address(self_.text);
  if (!place)
    return failure(place.reason);
  boost::system::error_code fault;
  tcp::endpoint endpoint(asio::ip::make_address(place->first, fault), static_cast<unsigned short>(place->second));
  acceptor_.open(endpoint.protocol(), fault);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), fault);
  acceptor_.bind(endpoint, fault);
  if (!fault)
    acceptor_.listen(256, fault);
  if (fault)
    return failure("can't listen on " + self_.text + ": " + fault.message());
  accept_next();
  return true;
}

void PeerConnections::accept_next() {
  acceptor_.async_accept([this, alive = alive_](boost::system::error_code fault, tcp::socket socket) {
    if (!*alive)
      return;
    if (!fault) {
      boost::system::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      socket.set_option(asio::socket_base::keep_alive(true), ignored);  // one that vanished is let go in the end
      read_next(std::make_shared<InboundConnection>(std::move(socket)));
    }
    if (fault != asio::error::operation_aborted)
      accept_next();
  });
}

void PeerConnections::read_next(const std::shared_ptr<InboundConnection>& connection) {
  asio::async_read(connection->socket, asio::buffer(connection->head, 4),
                   [this, connection, alive = alive_](boost::system::error_code fault, std::size_t) {
                     if (fault || !*alive)
                       return;
                     auto size = get<std::uint32_t>(connection->head);
                     bool is_packed = (size & packed_mark) != 0;
                     size &= ~packed_mark;
                     if (size > max_frame) {
                       ++counts_.refused_frames;
                       return;  // the link closes as its last owner goes
                     }
                     connection->body.resize(size);
                     asio::async_read(
                         connection->socket, asio::buffer(connection->body.data(), size),
                         [this, connection, alive, is_packed](boost::system::error_code broken, std::size_t) {
                           if (broken || !*alive)
                             return;
                           if (is_packed) {
                             auto body = unpack(connection->body);
                             if (!body) {
                               ++counts_.refused_frames;
                               return;
                             }
                             connection->body = std::move(*body);
                           }
                           if (connection->from.empty()) {  // the first frame says who speaks, and in which protocol
                             if (connection->body.size() < 12 ||
                                 get<std::uint32_t>(connection->body.data()) != hello_mark ||
                                 get<std::uint64_t>(connection->body.data() + 4) != protocol_fingerprint()) {
                               ++counts_.refused_frames;
                               LOG(WARNING) << "link refused: other protocol";
                               return;
                             }
                             connection->from.text = connection->body.substr(12);
                             heard_from(connection->from);
                             return read_next(connection);
                           }
                           ++counts_.frames_in;
                           auto fault_entry = faults_.find(connection->from);
                           if (fault_entry == faults_.end() || !fault_entry->second.is_cut_in) {
                             auto message = decode_message(connection->body);
                             if (!message) {
                               ++counts_.refused_frames;
                               return;
                             }
                             on_message_(connection->from, std::move(*message));
                           }
                           read_next(connection);
                         });
                   });
}

// It lives: a dial that began while it was dark waits for a packet that was lost, for a second or more.
void PeerConnections::heard_from(const Address& peer) {
  auto entry = outbound_connections_.find(peer);
  if (entry == outbound_connections_.end() || !entry->second->is_dialling)
    return;
  auto fresh = std::make_shared<OutboundConnection>(context_);
  fresh->to = peer;
  fresh->queue.swap(entry->second->queue);
  auto stuck = std::exchange(entry->second, fresh);
  boost::system::error_code ignored;
  stuck->socket.close(ignored);
  dial(fresh);
}

void PeerConnections::send(const Address& to, const Message& message) {
  std::string body = encode_message(message);
  auto frame = std::make_shared<std::string>();
  std::optional<std::string> packed;
  if (body.size() >= large_frame)
    packed = pack(body);
  if (packed)
    put<std::uint32_t>(*frame, static_cast<std::uint32_t>(packed->size()) | packed_mark);
  else
    put<std::uint32_t>(*frame, static_cast<std::uint32_t>(body.size()));
  *frame += packed ? *packed : body;
  auto fault = faults_.find(to);
  if (fault != faults_.end()) {
    if (fault->second.is_cut_out) {
      ++counts_.frames_dropped;
      return;
    }
    if (fault->second.delay.value > 0) {
      auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(fault->second.delay.value));
      timer->async_wait([this, timer, to, frame, alive = alive_](boost::system::error_code) {
        if (*alive)
          queue_frame(to, frame);
      });
      return;
    }
  }
  queue_frame(to, std::move(frame));
}

void PeerConnections::queue_frame(const Address& to, std::shared_ptr<std::string> frame) {
  auto& connection = outbound_connections_[to];
  if (!connection) {
    connection = std::make_shared<OutboundConnection>(context_);
    connection->to = to;
  }
  if (connection->queue.size() >= max_queued_frames) {
    ++counts_.frames_dropped;
    return;
  }
  connection->queue.push_back(std::move(frame));
  if (!connection->is_up) {
    if (!connection->is_dialling)
      dial(connection);
  } else if (!connection->is_writing) {
    write_next(connection);
  }
}

void PeerConnections::dial(const std::shared_ptr<OutboundConnection>& connection) {
  auto place = split_address(connection->to.text);
  if (!place)
    return drop(connection);
  connection->is_dialling = true;
  boost::system::error_code ignored;
  tcp::endpoint endpoint(asio::ip::make_address(place->first, ignored), static_cast<unsigned short>(place->second));
  auto patience = std::make_shared<asio::steady_timer>(context_, dial_patience);
  patience->async_wait([connection, patience, alive = alive_](boost::system::error_code stopped) {
    boost::system::error_code ignored_fault;
    if (!stopped && *alive && connection->is_dialling)
      connection->socket.close(ignored_fault);  // ends the dialling with a fault
  });
  connection->socket.async_connect(
      endpoint, [this, connection, patience, alive = alive_](boost::system::error_code fault) {
        patience->cancel();
        if (!*alive)
          return;
        connection->is_dialling = false;
        auto current = outbound_connections_.find(connection->to);
        if (current == outbound_connections_.end() || current->second != connection)
          return;  // another dial has taken its place
        if (fault) {
          drop(connection);
          auto cut = faults_.find(connection->to);
          bool is_cut = cut != faults_.end() && cut->second.is_cut_out;
          if (fault == asio::error::connection_refused && on_refused && !is_cut)
            on_refused(connection->to);
          return;
        }
        boost::system::error_code ignored_fault;
        connection->socket.set_option(tcp::no_delay(true), ignored_fault);
        connection->socket.set_option(
            asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unanswered_ms), ignored_fault);
        connection->is_up = true;
        std::string hello;
        put<std::uint32_t>(hello, hello_mark);
        put<std::uint64_t>(hello, protocol_fingerprint());
        hello += self_.text;
        auto frame = std::make_shared<std::string>();
        put<std::uint32_t>(*frame, static_cast<std::uint32_t>(hello.size()));
        *frame += hello;
        connection->queue.push_front(frame);
        // Nothing is ever read on this side: an end of file tells that the peer has gone.
        auto byte = std::make_shared<char>();
        asio::async_read(connection->socket, asio::buffer(byte.get(), 1),
                         [this, connection, byte, alive](boost::system::error_code, std::size_t) {
                           if (!*alive)
                             return;
                           drop(connection);
                           look_again(connection->to);
                         });
        write_next(connection);
      });
}

void PeerConnections::write_next(const std::shared_ptr<OutboundConnection>& connection) {
  if (!connection->is_up || connection->queue.empty())
    return;
  connection->is_writing = true;
  auto frame = connection->queue.front();
  asio::async_write(connection->socket, asio::buffer(*frame),
                    [this, connection, frame, alive = alive_](boost::system::error_code fault, std::size_t size) {
                      if (!*alive)
                        return;
                      connection->is_writing = false;
                      if (fault)
                        return drop(connection);
                      ++counts_.frames_out;
                      counts_.bytes_out += static_cast<std::int64_t>(size);
                      if (!connection->queue.empty() && connection->queue.front() == frame)
                        connection->queue.pop_front();
                      write_next(connection);
                    });
}

void PeerConnections::drop(const std::shared_ptr<OutboundConnection>& connection) {
  auto entry = outbound_connections_.find(connection->to);
  if (entry == outbound_connections_.end() || entry->second != connection)
    return;
  counts_.frames_dropped += static_cast<std::int64_t>(connection->queue.size());
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  outbound_connections_.erase(entry);
}

// A link that ended may mean a peer that ended: dialling once more tells.
void PeerConnections::look_again(const Address& to) {
  auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(20));
  timer->async_wait([this, timer, to, alive = alive_](boost::system::error_code) {
    if (!*alive || outbound_connections_.count(to) != 0)
      return;
    auto connection = std::make_shared<OutboundConnection>(context_);
    connection->to = to;
    outbound_connections_[to] = connection;
    dial(connection);
  });
}

void PeerConnections::set_fault(const Address& peer, ConnectionFault fault) { faults_[peer] = fault; }
void PeerConnections::clear_faults() { faults_.clear(); }

}  // namespace emberdale
