#include "emberdale/program_runtime.hpp"

#include <dirent.h>
#include <glog/logging.h>
#include <glog/raw_logging.h>
#include <signal.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iomanip>
#include <random>
#include <typeinfo>

namespace emberdale {

namespace {

constexpr std::int64_t entries_of_no_descriptor = 3;  // of a listing: "." and "..", and the listing's own descriptor
constexpr long open_interval_ms = 100;
constexpr int waits_per_log_line = 50;

// The signals that wait_for_stop() waits for.
sigset_t awaited_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Names the exception; the handler of the signal that follows writes the stack.
void log_exception_and_abort() {
  try {
    if (std::exception_ptr unhandled = std::current_exception())
      std::rethrow_exception(unhandled);
    RAW_LOG(ERROR, "terminated without an exception");
  } catch (const std::exception& error) {
    RAW_LOG(ERROR, "unhandled_exception type=%s reason=%s", typeid(error).name(), error.what());
  } catch (...) {
    RAW_LOG(ERROR, "unhandled_exception of an unknown type");
  }
  std::abort();
}

std::mt19937_64 seeded_engine() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

}  // namespace

TimePoint steady_now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint{static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000};
}

std::int64_t resident_bytes() {
  std::ifstream statistics("/proc/self/statm");
  std::int64_t all_pages = 0, resident_pages = 0;
  if (!(statistics >> all_pages >> resident_pages))
    return 0;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

std::string random_id() {
  static thread_local std::mt19937_64 engine = seeded_engine();
  static constexpr char digits[] = "0123456789abcdef";
  constexpr int digits_per_number = 16;
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t number = engine();
    for (int i = 0; i < digits_per_number; ++i)
      id += digits[(number >> (4 * i)) & 15];
  }
  return id;
}

std::int64_t open_descriptors() {
  DIR* folder = ::opendir("/proc/self/fd");
  if (folder == nullptr)
    return 0;
  std::int64_t count = 0;
  while (::readdir(folder) != nullptr)
    ++count;
  ::closedir(folder);
  return std::max<std::int64_t>(0, count - entries_of_no_descriptor);
}

std::int64_t descriptor_limit() {
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::int64_t>(limit.rlim_cur) : 0;
}

void limit_descriptors(std::int64_t count) {
  rlimit limit{};
  bool is_lower = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && count > 0 && static_cast<rlim_t>(count) < limit.rlim_cur;
  if (!is_lower)
    return;
  limit.rlim_cur = static_cast<rlim_t>(count);
  if (::setrlimit(RLIMIT_NOFILE, &limit) != 0)
    PLOG(WARNING) << "descriptor_limit_refused count=" << count;
}

absl::Status open_patiently(const std::function<absl::Status()>& open) {
  const sigset_t signals = awaited_signals();
  const timespec interval{0, open_interval_ms * 1000000};
  for (;;) {
    absl::Status status = open();
    if (!absl::IsUnavailable(status))
      return status;
    LOG_EVERY_N(WARNING, waits_per_log_line) << "start_waits reason=" << std::quoted(std::string(status.message()));
    int signal = ::sigtimedwait(&signals, nullptr, &interval);
    if (signal == SIGTERM || signal == SIGINT)
      return absl::CancelledError("stopped before it had started");
  }
}

void start_program(const char* name) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name);
  google::InstallFailureSignalHandler();
  signal(SIGTERM, SIG_DFL);  // that handler takes it for a failure
  std::set_terminate(log_exception_and_abort);
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals = awaited_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void end_program(int status) {
  google::FlushLogFiles(google::INFO);
  std::fflush(nullptr);
  std::_Exit(status);
}

int wait_for_stop(const std::function<void()>& on_hang_up) {
  sigset_t signals = awaited_signals();
  for (;;) {
    int signal = 0;
    sigwait(&signals, &signal);
    if (signal == SIGTERM || signal == SIGINT)
      return signal;
    if (signal == SIGHUP && on_hang_up)
      on_hang_up();
  }
}

std::string counters_text(const std::string& prefix, const std::map<std::string, std::int64_t>& counters) {
  std::string text;
  for (const auto& [name, value] : counters) {
    text += "# TYPE " + prefix + "_" + name + " gauge\n";
    text += prefix + "_" + name + " " + std::to_string(value) + "\n";
  }
  return text;
}

std::string histogram_text(const std::string& name, const DurationHistogram& histogram) {
  std::string text = "# TYPE " + name + " histogram\n";
  for (std::size_t i = 0; i < DurationHistogram::bounds_ms.size(); ++i)
    text += name + "_bucket{le=\"" + std::to_string(DurationHistogram::bounds_ms[i]) + "\"} " +
            std::to_string(histogram.cumulative_count(i)) + "\n";
  text += name + "_bucket{le=\"+Inf\"} " + std::to_string(histogram.count()) + "\n";
  text += name + "_sum " + std::to_string(histogram.sum_ms()) + "\n";
  text += name + "_count " + std::to_string(histogram.count()) + "\n";
  text += "# TYPE " + name + "_max gauge\n";
  text += name + "_max " + std::to_string(histogram.maximum().value) + "\n";
  return text;
}

}  // namespace emberdale
