// Connections to one server, and the pool of those that are idle.
#pragma once
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace emberdale {

using ClientStrand = boost::asio::strand<boost::asio::io_context::executor_type>;
using ClientSocket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, ClientStrand>;

// One connection; used by one exchange at a time, on its strand.
struct ClientConnection {
  explicit ClientConnection(const ClientStrand& strand) : socket(strand) {}
  // Opens the socket with its options; they hold for the connect as well.
  void prepare(const boost::asio::ip::tcp& protocol);
  // True if the server has neither closed the idle connection nor sent bytes that no request asked for.
  bool is_idle_and_open();

  ClientSocket socket;
  boost::beast::flat_buffer unparsed;
  bool was_used = false;                             // it has carried a whole exchange
  std::chrono::steady_clock::time_point idle_until;  // the server may close it afterwards
};

// The idle connections to one server, which are closed at the end of their idle time. Safe for use by several threads.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
 public:
  ConnectionPool(std::string address, std::string reader);
  const std::string& address() const { return address_; }
  const std::string& reader() const { return reader_; }

  // The connection that was used last and is still open; null if there is none.
  std::unique_ptr<ClientConnection> take();
  void put(std::unique_ptr<ClientConnection> connection);

 private:
  void sweep_later();
  void sweep();
  void drop_expired(std::chrono::steady_clock::time_point now);

  const std::string address_;
  const std::string reader_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<ClientConnection>> idle_;  // in the order of their last use
  boost::asio::steady_timer sweep_timer_;                // runs while a connection is idle
  bool is_sweeping_ = false;
};

// A connection on a strand of its own that is not open yet.
std::unique_ptr<ClientConnection> make_connection();

}  // namespace emberdale
