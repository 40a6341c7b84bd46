#include "soak_operators.hpp"

#include <algorithm>
#include <utility>

#include "emberdale/program_settings.hpp"
#include "plain_http.hpp"

namespace emberdale::soak {
namespace {

constexpr Duration operator_patience{4000};
constexpr Duration edit_interval{100}, retry_interval{200}, unread_interval{1500}, unread_time{2500};
constexpr Duration marked_time{8000}, unmarked_time{500}, poll_interval{20};
constexpr int markers = 2;
constexpr int final_reads = 20, mark_attempts = 20;
constexpr std::int64_t smallest_deadline_ms = 1000;
}  // namespace

void EditHistory::on_acknowledged(const EditedVersion& edited) {
  ++acknowledged_;
  latest_ = edited;
  unknown_values_.clear();  // each change names the version that it replaces: older ones can't be made any more
}

std::string EditHistory::on_read(const EditedVersion& read) {
  std::string seen = "version " + std::to_string(read.version) + " value " + std::to_string(read.value);
  std::string known = "version " + std::to_string(latest_.version) + " value " + std::to_string(latest_.value);
  bool is_latest = read.version == latest_.version && read.value == latest_.value;
  bool is_unknown = read.version > latest_.version &&
                    std::find(unknown_values_.begin(), unknown_values_.end(), read.value) != unknown_values_.end();
  if (!is_latest && !is_unknown)
    return "read " + seen + " after " + known;
  latest_ = read;
  return "";
}

SoakOperators::SoakOperators(SoakFace& face, std::vector<ProcessAddress> controls, std::vector<std::string> runners,
                             std::uint64_t seed)
    : face_(face), controls_(std::move(controls)), runners_(std::move(runners)) {
  threads_.emplace_back([this, seed] { edit(seed); });
  for (int marker = 0; marker < markers; ++marker)
    threads_.emplace_back([this, marker, seed] { mark(marker, seed); });
  threads_.emplace_back([this, seed] { leave_unread(seed); });
}

OperatorRecords SoakOperators::stop() {
  is_over_ = true;
  for (auto& thread : threads_)
    thread.join();
  threads_.clear();
  return records_;
}

void SoakOperators::wait(Duration time) const {
  TimePoint end = steady_now() + time;
  while (!is_over_ && steady_now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(poll_interval.value));
}

const ProcessAddress& SoakOperators::draw_control(RandomGenerator& random) const {
  return controls_[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(controls_.size())))];
}

void SoakOperators::edit(std::uint64_t seed) {
  RandomGenerator random(seed);
  EditHistory history;
  for (std::int64_t value = smallest_deadline_ms; !is_over_; ++value) {
    edit_once(history, value, draw_control(random).http);
    read_back(history, draw_control(random).http);
    wait(edit_interval);
  }
  std::int64_t reads = records_.reads;
  for (int attempt = 0; attempt < final_reads && records_.reads == reads; ++attempt)
    read_back(history, draw_control(random).http);
  if (records_.reads == reads)
    records_.lost_changes.push_back("the configuration could not be read at the end");
  records_.acknowledged = history.acknowledged();
}

void SoakOperators::edit_once(EditHistory& history, std::int64_t value, const std::string& control) {
  auto response = exchange(control, face_.edit_request(history.latest().version, value), operator_patience);
  auto edited = response ? face_.acknowledged_edit(*response, value) : std::nullopt;
  bool is_certainly_not = response && (response->status == 503 || response->status == 412);
  if (edited)
    history.on_acknowledged(*edited);
  else if (!is_certainly_not)
    history.on_unknown(value);
}

void SoakOperators::read_back(EditHistory& history, const std::string& control) {
  auto response = exchange(control, face_.read_request(), operator_patience);
  auto read = response ? face_.read_resource(*response) : std::nullopt;
  if (!read)
    return;
  ++records_.reads;
  std::string finding = history.on_read(*read);
  if (!finding.empty())
    records_.lost_changes.push_back(finding);
}

// The mark as it was acknowledged; nothing where no daemon did so.
std::optional<DrainRecord> SoakOperators::set_mark(const std::string& runner, bool is_draining,
                                                   RandomGenerator& random) {
  for (int attempt = 0; attempt < mark_attempts; ++attempt) {
    const ProcessAddress& control = draw_control(random);
    TimePoint asked = steady_now();
    auto acknowledged_by = face_.set_mark(runner, is_draining, control);
    if (acknowledged_by)
      return DrainRecord{runner, *acknowledged_by, {asked, {}}};
    std::this_thread::sleep_for(std::chrono::milliseconds(retry_interval.value));
  }
  return std::nullopt;
}

// Each marker has runners of its own, so that none takes back the other's mark.
void SoakOperators::mark(int marker, std::uint64_t seed) {
  RandomGenerator random(stable_hash("marker " + std::to_string(marker), seed));
  std::vector<std::string> own;
  for (std::size_t i = static_cast<std::size_t>(marker); i < runners_.size(); i += markers)
    own.push_back(runners_[i]);
  wait(Duration{random.below(marked_time.value / 2)});
  while (!is_over_) {
    const std::string& runner = own[static_cast<std::size_t>(random.below(static_cast<std::int64_t>(own.size())))];
    auto drain = set_mark(runner, true, random);
    if (!drain)
      continue;
    wait(marked_time);
    drain->time.until = steady_now();
    set_mark(runner, false, random);
    {
      std::lock_guard<std::mutex> lock(mutex_);
      records_.drains.push_back(*drain);
    }
    wait(unmarked_time);
  }
}

void SoakOperators::leave_unread(std::uint64_t seed) {
  RandomGenerator random(seed + 2);
  for (std::int64_t value = smallest_deadline_ms; !is_over_; ++value) {
    std::string request = face_.unread_request(value);
    auto connection = Connection::open(draw_control(random).http, retry_interval);
    if (connection) {
      connection->shrink_receive_buffer();
      connection->send(request, steady_now() + retry_interval);
      ++records_.unread;
      wait(unread_time);
    }
    wait(unread_interval);
  }
}

}  // namespace emberdale::soak
