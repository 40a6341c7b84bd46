#include "emberdale/resume_barrier.hpp"

namespace emberdale {
namespace {
constexpr Duration pause_threshold{1000};  // this long without a timer or a message: the process was paused
constexpr Duration read_timeout{1000};     // how long the read of the register is awaited
}  // namespace

std::optional<Duration> ResumeBarrier::on_activity(TimePoint now) {
  Duration idle = now - active_at_;
  active_at_ = now;
  if (idle > pause_threshold)
    return idle;
  return std::nullopt;
}

void ResumeBarrier::wait_for(std::int64_t register_read, TimePoint now) {
  resumed_at_ = now;
  register_read_ = register_read;
}

bool ResumeBarrier::is_waiting(std::int64_t confirmed_read, TimePoint now) const {
  return confirmed_read < register_read_ && now - resumed_at_ <= read_timeout;
}

}  // namespace emberdale
