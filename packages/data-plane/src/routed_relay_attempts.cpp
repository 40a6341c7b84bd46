// Attempts: requests to runners, connections, and how an attempt ends.
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>

#include "emberdale/program_settings.hpp"
#include "routed_relay_state.hpp"

namespace emberdale {

using web::http::http_request;
using web::http::http_response;

namespace {

constexpr int silent_connection_ms = 3000;
// After the begin of an attempt; a connection that had been closed before shows it sooner.
constexpr Duration resend_limit{300};
constexpr Duration connect_time{250};                 // a runner that is up accepts sooner than that
constexpr Duration refused_connection_bound{1000};    // a machine that is up refuses sooner than that
constexpr std::chrono::seconds library_timeout{600};  // the deadline is kept by the dispatcher

bool never_sent(const std::string& fault) {
  return fault.find("Failed to connect") != std::string::npos || fault.find("Error resolving") != std::string::npos;
}

// Called before the library opens the socket, which takes one that is open already.
void prepare_socket(boost::asio::ip::tcp::socket& socket, bool is_number) {
  boost::system::error_code fault;
  if (!socket.is_open() && is_number)
    socket.open(boost::asio::ip::tcp::v4(), fault);
  if (!socket.is_open())
    return;
  int on = 1, silent_ms = silent_connection_ms;
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
}

web::http::client::http_client_config config_for(const std::string& place) {
  web::http::client::http_client_config config;
  config.set_timeout(library_timeout);
  config.set_max_redirects(0);                                                    // a redirect is the runner's response
  bool is_number = place.find_first_not_of("0123456789.:") == std::string::npos;  // an address, not a name
  config.set_nativehandle_options([is_number](web::http::client::native_handle handle) {
    prepare_socket(*static_cast<boost::asio::ip::tcp::socket*>(handle), is_number);
  });
  return config;
}

// The body is not copied.
void set_body(http_request& request, const std::vector<std::uint8_t>& body) {
  if (body.empty())
    return;
  bool has_type = request.headers().has("Content-Type");
  request.set_body(concurrency::streams::rawptr_stream<std::uint8_t>::open_istream(body.data(), body.size()),
                   body.size());
  if (!has_type)
    request.headers().remove("Content-Type");
}

}  // namespace

// True unless the whole request surely has not been handed to the connection. Without a body nothing tells.
bool RoutedRelay::has_left(const ActiveAttempt& active) {
  return active.handle->body->empty() || *active.times_written > 0;
}

void RoutedRelay::drop_connections(const RoutingView& view) {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    auto row = view.runners.find(entry->first.second);
    bool is_listed = row != view.runners.end() && row->second.http_address == entry->first.first;
    entry = is_listed ? std::next(entry) : connections_.erase(entry);
  }
}

// A request whose connection hangs would reach its runner later, when that has left: it goes to another one. What has
// happened to it shows once the library has ended the attempt.
void RoutedRelay::abandon_unsent_attempts(const RoutingView& view, TimePoint now) {
  for (auto& [index, call] : calls_) {
    if (!call.active || call.active->is_abandoned || now - call.active->sent_at < connect_time)
      continue;
    auto row = view.runners.find(call.active->attempt.runner);
    bool is_in_service = row != view.runners.end() &&
                         (row->second.state == RunnerState::warm || row->second.state == RunnerState::warming_up);
    if (is_in_service || has_left(*call.active))
      continue;
    ++relay_counts_.attempts_abandoned;
    call.active->is_abandoned = true;
    call.active->stop.cancel();
  }
}

std::shared_ptr<RoutedRelay::RunnerConnection> RoutedRelay::connection_to(const RoutedAttempt& attempt) {
  // A call that must not run twice never goes over a connection that was used before: the library would
  // send it again by itself when such a connection turns out closed (HttpClientBehaviour shows it).
  if (!attempt.is_repeatable)
    return std::make_shared<RunnerConnection>(attempt.http_address, config_for(attempt.http_address));
  auto& connection = connections_[{attempt.http_address, attempt.runner}];
  if (!connection || connection->is_unusable)
    connection = std::make_shared<RunnerConnection>(attempt.http_address, config_for(attempt.http_address));
  return connection;
}

void RoutedRelay::start_attempt(const RoutedAttempt& attempt, TimePoint now) {
  auto entry = calls_.find(attempt.call);
  if (entry == calls_.end())
    return;
  auto handle = entry->second.handle;
  cancel_attempt(entry->second);
  std::string last = attempt.resume_after;
  bool is_finished = false, is_unresumable = false;
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    handle->attempt_number = attempt.attempt_number;
    is_finished = handle->is_finished;  // the response of a cancelled attempt had just gone out
    if (handle->is_stream_open)
      last = handle->last_event;
    is_unresumable = handle->is_stream_open && last.empty();
  }
  auto started = std::make_shared<ActiveAttempt>(attempt, handle, last);
  entry->second.active = started;
  if (is_finished)
    return finish_attempt(started, RoutedAttemptOutcome::completed, "");
  if (is_unresumable)
    return finish_attempt(started, RoutedAttemptOutcome::broken, "the stream has no ids to go on after");
  std::optional<http_request> request;
  try {
    request = request_to_runner(*started, last, now);
    started->connection = connection_to(attempt);
  } catch (const std::exception& fault) {
    return finish_attempt(started, RoutedAttemptOutcome::not_sent, fault.what());
  }
  started->sent_at = now;
  departed_callers_.on_attempt_started(attempt.call, now);
  send_request(started, *request);
}

http_request RoutedRelay::request_to_runner(const ActiveAttempt& active, const std::string& resume_after,
                                            TimePoint now) const {
  const auto& handle = *active.handle;
  http_request request(handle.method);
  request.set_request_uri(handle.target);
  auto& headers = request.headers();
  for (const auto& [name, value] : handle.headers)
    headers.add(name, value);
  if (!header_names_.expected_incarnation.empty())
    headers.add(header_names_.expected_incarnation, active.attempt.runner.text);
  if (!header_names_.rank.empty())
    headers.add(header_names_.rank, std::to_string(active.attempt.rank));
  if (!header_names_.deadline.empty())
    headers.add(header_names_.deadline,
                std::to_string(std::max<std::int64_t>(1, (active.attempt.deadline - now).value)));
  if (!resume_after.empty() && !header_names_.resume.empty())
    headers[header_names_.resume] = resume_after;
  set_body(request, *handle.body);
  // Keeps the body as long as the request lives. Over a connection that turns out closed the library sends the request
  // again by itself, which shows here alone. It may do so at once; later the runner may have worked on it and may take
  // no more requests, so that the attempt fails and the dispatcher decides.
  request.set_progress_handler([body = handle.body, times_written = active.times_written, begun = now](
                                   web::http::message_direction::direction direction, utility::size64_t bytes) {
    if (direction != web::http::message_direction::upload)
      return;
    bool is_sent_again = bytes == 0 && *times_written > 0;
    if (is_sent_again && steady_now() - begun > resend_limit)
      throw std::runtime_error("the connection closed without a response");
    if (bytes == body->size())
      ++*times_written;
  });
  return request;
}

void RoutedRelay::send_request(const std::shared_ptr<ActiveAttempt>& active, const http_request& request) {
  try {
    active->connection->client.request(request, active->stop.get_token())
        .then([this, active](pplx::task<http_response> responding) {
          try {
            active->response = responding.get();
          } catch (const std::exception& fault) {
            return on_attempt_failed(active, fault);
          }
          on_response_headers(active);
        });
  } catch (const std::exception& fault) {
    finish_attempt(active, RoutedAttemptOutcome::lost, fault.what());
  }
}

void RoutedRelay::on_attempt_failed(const std::shared_ptr<ActiveAttempt>& active, const std::exception& fault) {
  bool is_unsent = never_sent(fault.what()) || (active->is_abandoned && !has_left(*active));
  RoutedAttemptResult result =
      result_of(*active, is_unsent ? RoutedAttemptOutcome::not_sent : RoutedAttemptOutcome::lost,
                is_unsent ? "no link" : "the link broke");
  if (const auto* http_fault = dynamic_cast<const web::http::http_exception*>(&fault);
      http_fault != nullptr && is_unsent && !active->is_abandoned) {
    // The library reports a refused connection as an unreachable host; a real one takes its time.
    auto code = http_fault->error_code();
    bool was_quick = steady_now() - active->sent_at < refused_connection_bound;
    result.was_connection_refused =
        code == std::errc::connection_refused || (code == std::errc::host_unreachable && was_quick);
    result.was_slow_to_connect = !result.was_connection_refused;
  }
  if (!is_unsent)
    ++relay_counts_.connections_broken;
  std::lock_guard<std::mutex> guard(active->handle->mutex);
  if (active->handle->attempt_number != active->attempt.attempt_number)
    return;
  if (!is_unsent && active->handle->is_stream_open)
    result.outcome = RoutedAttemptOutcome::broken;
  result.last_event = active->handle->last_event;
  active->handle->attempt_number = 0;
  events_.force(result);
}

RoutedAttemptResult RoutedRelay::result_of(const ActiveAttempt& active, RoutedAttemptOutcome outcome,
                                           const std::string& reason) const {
  RoutedAttemptResult result;
  result.call = active.attempt.call;
  result.attempt_number = active.attempt.attempt_number;
  result.outcome = outcome;
  result.reason = reason;
  result.may_have_run = *active.times_written > (outcome == RoutedAttemptOutcome::not_sent ? 0 : 1);
  std::string load = header_value(active.response.headers(), header_names_.load);
  if (!load.empty()) {
    auto [running, waiting, slots] = read_numbers<3>(load);
    result.has_report = true;
    result.running = running;
    result.waiting = waiting;
    result.slots = slots;
  }
  return result;
}

// An attempt ends once, and only while it is the current one.
void RoutedRelay::finish_attempt(const std::shared_ptr<ActiveAttempt>& active, RoutedAttemptOutcome outcome,
                                 const std::string& reason) {
  auto result = result_of(*active, outcome, reason);
  std::lock_guard<std::mutex> guard(active->handle->mutex);
  if (active->handle->attempt_number != active->attempt.attempt_number)
    return;
  active->handle->attempt_number = 0;
  // Events have gone to the client: the dispatcher resumes the stream after the last of them, or breaks it off.
  if (result.outcome == RoutedAttemptOutcome::lost && active->handle->is_stream_open)
    result.outcome = RoutedAttemptOutcome::broken;
  result.last_event = active->handle->last_event;
  events_.force(result);
}

}  // namespace emberdale
