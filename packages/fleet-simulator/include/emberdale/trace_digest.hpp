// A running SHA-256 over what a simulated fleet does, to show that a change of the sources left its behaviour alone.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>

namespace emberdale {

// What an event of the trace is. The values are part of the digest: they stay when an enumerator is renamed.
enum class TraceEvent : char {
  message_delivered = 'm',
  probe_answered = 'p',
  disk_write = 'w',
  disk_snapshot = 's',
  call_sent = 'c',
  call_refused = 'r',
  edit_answered = 'e',
  totals = 't'
};

// Collects events in the order in which they happen. Only values that outlive a refactoring belong into it: virtual
// times, names of simulated machines, encoded bytes and counts; no names of types and no wording of logs.
// Example:
//   TraceDigest trace; trace.record(TraceEvent::disk_write, 1200, "a0", record); trace.digest().size() == 64
class TraceDigest {
 public:
  // Adds one event: its kind, its virtual time, then its fields, which are strings or integers.
  template <class... Fields>
  void record(TraceEvent event, std::int64_t time, const Fields&... fields) {
    pending_ += static_cast<char>(event);
    add(time);
    (add(fields), ...);
    if (pending_.size() >= block_size)
      fold_pending();
  }

  // The digest of all events so far, as lower-case hex.
  std::string digest();

 private:
  // Events gather up to this many bytes and are then folded into the chain at once.
  static constexpr std::size_t block_size = 1 << 16;

  void add(std::int64_t value);
  void add(std::string_view text);  // with its length before it, so that fields can't run into each other
  void fold_pending();

  std::string chain_;    // the digest of all blocks before `pending_`
  std::string pending_;  // encoded events that are not yet in the chain
};

}  // namespace emberdale
