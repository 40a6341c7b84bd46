// Records what emberdale-client was told to do and what it said, as calls of a history (docs/history-checker.md).
#pragma once
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "emberdale/history.hpp"

namespace emberdale {

// May be used by several threads. Example:
//   ClientCallRecorder recorder("history.jsonl"); auto call = recorder.began({"evacuate", "b"});
//   if (call) recorder.ended(*call, status, out);
class ClientCallRecorder {
 public:
  explicit ClientCallRecorder(const std::string& file) : file_(file) {}

  // Nothing for words that neither change nor read a resource.
  std::optional<history::Operation> began(const std::vector<std::string>& words);
  // `status` and `out` as the client left them. A list that was read is a read of each resource in it.
  void ended(history::Operation call, int status, const std::string& out);

 private:
  void write(const history::Operation& call);

  std::mutex mutex_;
  std::ofstream file_;
  int last_call_ = 0;
};

}  // namespace emberdale
