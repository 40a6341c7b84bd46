// A server for tests that counts whole requests and answers by script, byte for byte.
#pragma once
#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace emberdale_test {

namespace asio = boost::asio;
using asio::ip::tcp;

struct ReceivedRequest {
  int number_on_connection = 0;
  std::string path, head, body;
  // Example: received.header("X-Emberdale-Call")
  std::string header(const std::string& name) const {
    auto mark = head.find("\r\n" + name + ":");
    if (mark == std::string::npos)
      return "";
    mark = head.find_first_not_of(' ', mark + name.size() + 3);
    return head.substr(mark, head.find("\r\n", mark) - mark);
  }
};

// Reads whole requests from each link and lets the script decide what comes back.
class CountingServer {
 public:
  // Gets a whole request; gives the bytes to send and whether to close the link then.
  using Script = std::function<std::pair<std::string, bool>(const ReceivedRequest&)>;
  explicit CountingServer(Script script)
      : script_(std::move(script)), acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    accept();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~CountingServer() {
    context_.stop();
    thread_.join();
  }
  std::string url() const { return "http://" + place(); }
  std::string place() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  int executions(const std::string& path) {
    std::lock_guard<std::mutex> guard(mutex_);
    return executions_[path];
  }

 private:
  struct Link {
    explicit Link(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    asio::streambuf in;
    int number = 0;
    std::string out;
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code fault, tcp::socket socket) {
      if (fault)
        return;
      read(std::make_shared<Link>(std::move(socket)));
      accept();
    });
  }
  void read(std::shared_ptr<Link> connection) {
    asio::async_read_until(
        connection->socket, connection->in, "\r\n\r\n",
        [this, connection](boost::system::error_code fault, std::size_t size) {
          if (fault)
            return;
          std::string head(asio::buffers_begin(connection->in.data()),
                           asio::buffers_begin(connection->in.data()) + static_cast<std::ptrdiff_t>(size));
          connection->in.consume(size);
          std::size_t body = 0;
          auto mark = head.find("Content-Length:");
          if (mark != std::string::npos)
            body = static_cast<std::size_t>(std::atoi(head.c_str() + mark + 15));
          std::size_t missing = body > connection->in.size() ? body - connection->in.size() : 0;
          asio::async_read(
              connection->socket, connection->in, asio::transfer_exactly(missing),
              [this, connection, head, body](boost::system::error_code broken, std::size_t) {
                if (broken)
                  return;
                ReceivedRequest received;
                received.body.assign(asio::buffers_begin(connection->in.data()),
                                     asio::buffers_begin(connection->in.data()) + static_cast<std::ptrdiff_t>(body));
                received.head = head;
                connection->in.consume(body);
                std::string path = head.substr(head.find(' ') + 1);
                path = path.substr(0, path.find(' '));
                {
                  std::lock_guard<std::mutex> guard(mutex_);
                  ++executions_[path];  // the whole call has arrived: a back end would run it now
                }
                received.path = path;
                received.number_on_connection = ++connection->number;
                auto [out, is_close] = script_(received);
                connection->out = out;
                asio::async_write(connection->socket, asio::buffer(connection->out),
                                  [this, connection, closes = is_close](boost::system::error_code, std::size_t) {
                                    if (closes) {
                                      boost::system::error_code ignored;
                                      connection->socket.shutdown(tcp::socket::shutdown_both, ignored);
                                      connection->socket.close(ignored);
                                    } else {
                                      read(connection);
                                    }
                                  });
              });
        });
  }
  Script script_;
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
  std::mutex mutex_;
  std::map<std::string, int> executions_;
};

}  // namespace emberdale_test
