// Reading of a body piece by piece, as the bytes come.
#pragma once
#include <cpprest/streams.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace emberdale {

// Reads bytes as they come: one is awaited, then whatever came with it is taken along.
struct PieceReader : std::enable_shared_from_this<PieceReader> {
  concurrency::streams::streambuf<std::uint8_t> source;
  std::function<bool(const std::string&)> on_bytes;  // false: no more is wanted
  std::function<void(bool is_broken)> on_end;
  std::uint8_t first = 0;
  std::string bytes;
  void next() {
    auto self = shared_from_this();
    source.getn(&first, 1).then([self](pplx::task<std::size_t> reading) {
      bool is_broken = false;
      self->bytes.clear();
      try {
        if (reading.get() == 1) {
          self->bytes.push_back(static_cast<char>(self->first));
          std::uint8_t* piece = nullptr;
          std::size_t size = 0;
          while (self->source.acquire(piece, size) && size > 0) {
            self->bytes.append(reinterpret_cast<const char*>(piece), size);
            self->source.release(piece, size);
          }
        }
      } catch (const std::exception&) {
        is_broken = true;
      }
      if (is_broken || self->bytes.empty())
        return self->on_end(is_broken);
      if (self->on_bytes(self->bytes))
        self->next();
    });
  }
};

}  // namespace emberdale
