// Reading of a body piece by piece, as the bytes come.
#pragma once
#include <cpprest/streams.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace emberdale {

// Reads a stream buffer to its end without blocking a thread: one byte is awaited, then whatever came with it is read
// along. The reader keeps itself alive until then.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
 public:
  concurrency::streams::streambuf<std::uint8_t> source;
  std::function<bool(const std::string&)> on_bytes;  // false: no more is wanted
  std::function<void(bool is_broken)> on_end;

  // Reads the next piece, and all that follow.
  void next() {
    auto self = shared_from_this();
    source.getn(&first_, 1).then([self](pplx::task<std::size_t> reading) { self->on_read(reading); });
  }

 private:
  void on_read(const pplx::task<std::size_t>& reading) {
    bool is_broken = false;
    bytes_.clear();
    try {
      if (reading.get() == 1)
        take_available();
    } catch (const std::exception&) {  // how it broke off makes no difference
      is_broken = true;
    }
    if (is_broken || bytes_.empty())
      return on_end(is_broken);
    if (on_bytes(bytes_))
      next();
  }

  void take_available() {
    bytes_.push_back(static_cast<char>(first_));
    std::uint8_t* piece = nullptr;
    std::size_t size = 0;
    while (source.acquire(piece, size) && size > 0) {
      bytes_.append(reinterpret_cast<const char*>(piece), size);
      source.release(piece, size);
    }
  }

  std::uint8_t first_ = 0;
  std::string bytes_;
};

}  // namespace emberdale
