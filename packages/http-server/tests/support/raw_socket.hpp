// A TCP socket on loopback, read and written byte for byte.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace emberdale_test {

// Every read has a time limit; a connection that ends is told apart from one that stays silent.
class RawSocket {
 public:
  enum class End { none, closed, silent };  // why the last read gave less than it was asked for

  explicit RawSocket(int descriptor) : descriptor_(descriptor) {}
  RawSocket(RawSocket&& other) noexcept;
  RawSocket& operator=(RawSocket&& other) noexcept;
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { close(); }

  // Example: auto client = RawSocket::connect(8080);
  static RawSocket connect(std::uint16_t port);
  static RawSocket listen();
  std::uint16_t port() const;
  std::optional<RawSocket> accept() const;  // none: the listener was shut down

  // False: the other side has closed the connection.
  bool write(const std::string& bytes) const;
  // All up to the end of the mark, or "". Example: socket.read_to("\r\n\r\n", 1000)
  std::string read_to(const std::string& mark, int limit_ms);
  std::string read_size(std::size_t size, int limit_ms);
  // True: the other side closed the connection within the time; what it sent before is dropped.
  bool is_closed_within(int limit_ms);
  // Bytes that have come and were not read yet. Example: socket.pending(0).empty()
  std::string pending(int limit_ms);
  End end() const { return end_; }

  void end_sending() const;
  void shut_down() const;  // both ways; wakes a reader on another thread
  void reset();            // closes with a TCP reset
  void close();

 private:
  bool read_some(int limit_ms);
  int descriptor_ = -1;
  std::string buffer_;
  End end_ = End::none;
};

}  // namespace emberdale_test
