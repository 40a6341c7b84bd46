#include "emberdale/program_runtime.hpp"

#include <glog/logging.h>
#include <signal.h>
#include <time.h>
#include <unistd.h>

#include <fstream>
#include <random>

namespace emberdale {

namespace {

// The signals that wait_for_stop() waits for.
sigset_t awaited_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
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

void start_program(const char* name) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(name);
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals = awaited_signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
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
