// HTTP/1.1 on plain sockets, for peers that leave at any byte: what the HTTP library's client and listener can't do.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "emberdale/small_types.hpp"

namespace emberdale::soak {

enum class ReadResult { data, closed, timeout };

// A TCP connection that this object owns. Not safe for use by several threads.
class Connection {
 public:
  explicit Connection(int handle) : handle_(handle) {}
  Connection(Connection&& other) noexcept : handle_(other.handle_) { other.handle_ = -1; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection& operator=(Connection&&) = delete;
  ~Connection() { close(); }

  // Example: auto connection = Connection::open("127.0.0.1:8080", Duration{300});
  static std::optional<Connection> open(const std::string& address, Duration timeout);
  // False: the peer is gone, or took nothing more before the deadline.
  bool send(const std::string& bytes, TimePoint deadline);
  // Appends what has arrived to `into`, and waits for it until the deadline.
  ReadResult read(std::string& into, TimePoint deadline);
  // Waits until the deadline; true: the peer closed its side, or reset the connection, before that.
  bool is_closed_before(TimePoint deadline) const;
  // Has only a few bytes of an answer fit into this side.
  void shrink_receive_buffer() const;
  void close();
  // Closes so that the peer receives a reset and not an end of the stream.
  void reset();

 private:
  int handle_;
};

// A socket that listens at an address; -1 if it can't. Example: int listener = listen_at("127.0.0.1:8080");
int listen_at(const std::string& address);
// Ends accept_from() in another thread.
void stop_listening(int listener);
// The next connection of a listening socket; nothing after an error.
std::optional<Connection> accept_from(int listener);

// A request or a response while it arrives. A chunked body stays as it came.
class Message {
 public:
  // Reads until the message is complete; anything but `data` says why it is not.
  ReadResult read_from(Connection& connection, TimePoint deadline);
  // Reads once, where it is not complete yet.
  ReadResult read_once(Connection& connection, TimePoint deadline);
  bool has_head() const { return head_size_ > 0; }
  bool has_body_bytes() const { return has_head() && bytes_.size() > head_size_; }
  bool is_complete() const;
  // The first line, split at its spaces. Example: word(0) == "POST" of a request, word(1) == "200" of a response.
  std::string word(int index) const;
  std::string field(const std::string& lower_case_name) const;  // empty: there is none
  std::string body() const { return has_head() ? bytes_.substr(head_size_) : ""; }

 private:
  void parse_head();

  std::string bytes_;
  std::size_t head_size_ = 0;
  std::string first_line_;
  std::map<std::string, std::string> fields_;
};

// Example: lower_case("X-Call-Id") == "x-call-id"
std::string lower_case(std::string text);

struct Response {
  int status = 0;
  std::string body;
};

// Sends one request and reads its response; nothing if there is none before the deadline.
// Example: exchange("127.0.0.1:8080", request_text("GET", "/health", {}, ""), Duration{500})
std::optional<Response> exchange(const std::string& address, const std::string& request, Duration timeout);

// A whole request with a JSON body. `fields` are further header lines, each with its line end.
std::string request_text(const std::string& method, const std::string& path, const std::string& fields,
                         const std::string& body);

}  // namespace emberdale::soak
