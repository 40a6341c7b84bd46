// Sending calls to runners: requests, links, and how a send ends.
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
constexpr Duration refused_connection_bound{1000};    // a refusal by a living machine comes sooner than that
constexpr std::chrono::seconds library_timeout{600};  // the deadline is kept by the dispatcher

bool never_left(const std::string& fault) {
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
  config.set_max_redirects(0);                                                    // a redirect is the runner's answer
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

void RoutedRelay::drop_connections(const RoutingView& view) {
  for (auto entry = connections_.begin(); entry != connections_.end();) {
    auto row = view.runners.find(entry->first.second);
    bool is_listed = row != view.runners.end() && row->second.http_address == entry->first.first;
    entry = is_listed ? std::next(entry) : connections_.erase(entry);
  }
}

std::shared_ptr<RoutedRelay::RunnerConnection> RoutedRelay::connection_to(const RoutedSend& act) {
  // A call that must not run twice never goes over a link that was used before: the library would
  // send it again by itself when such a link turns out closed (HttpClientBehaviour shows it).
  if (!act.is_repeatable)
    return std::make_shared<RunnerConnection>(act.http, config_for(act.http));
  auto& connection = connections_[{act.http, act.runner}];
  if (!connection || connection->is_spoilt)
    connection = std::make_shared<RunnerConnection>(act.http, config_for(act.http));
  return connection;
}

void RoutedRelay::send(const RoutedSend& act, TimePoint now) {
  auto entry = calls_.find(act.call);
  if (entry == calls_.end())
    return;
  auto handle = entry->second.handle;
  give_up(entry->second);
  std::string last = act.resume_after;
  bool is_over = false, is_unresumable = false;
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    handle->turn = act.turn;
    is_over = handle->is_over;  // the answer of a send that was given up had just gone out
    if (handle->is_stream_open)
      last = handle->last_event;
    is_unresumable = handle->is_stream_open && last.empty();
  }
  auto sending = std::make_shared<Send>(act, handle, last);
  entry->second.send = sending;
  if (is_over)
    return end(sending, RoutedEndKind::answered, "");
  if (is_unresumable)
    return end(sending, RoutedEndKind::broken, "the stream has no ids to go on after");
  std::optional<http_request> request;
  try {
    request = request_to_runner(*sending, last, now);
    sending->connection = connection_to(act);
  } catch (const std::exception& fault) {
    return end(sending, RoutedEndKind::unsent, fault.what());
  }
  sending->begun = now;
  begin(sending, *request);
}

http_request RoutedRelay::request_to_runner(const Send& send, const std::string& resume_after, TimePoint now) const {
  const auto& handle = *send.handle;
  http_request request(handle.method);
  request.set_request_uri(handle.target);
  auto& headers = request.headers();
  for (const auto& [name, value] : handle.headers)
    headers.add(name, value);
  if (!words_.expected_incarnation.empty())
    headers.add(words_.expected_incarnation, send.act.runner.text);
  if (!words_.rank.empty())
    headers.add(words_.rank, std::to_string(send.act.rank));
  if (!words_.deadline.empty())
    headers.add(words_.deadline, std::to_string(std::max<std::int64_t>(1, (send.act.deadline - now).value)));
  if (!resume_after.empty() && !words_.resume.empty())
    headers[words_.resume] = resume_after;
  set_body(request, *handle.body);
  // Keeps the body as long as the request lives. Over a link that turns out closed the library sends the request
  // again by itself, which shows here alone.
  request.set_progress_handler([body = handle.body, times_written = send.times_written](
                                   web::http::message_direction::direction direction, utility::size64_t bytes) {
    if (direction == web::http::message_direction::upload && bytes == body->size())
      ++*times_written;
  });
  return request;
}

void RoutedRelay::begin(const std::shared_ptr<Send>& send, const http_request& request) {
  try {
    send->connection->client.request(request, send->stop.get_token())
        .then([this, send](pplx::task<http_response> answering) {
          try {
            send->response = answering.get();
          } catch (const std::exception& fault) {
            return take_fault(send, fault);
          }
          take_head(send);
        });
  } catch (const std::exception& fault) {
    end(send, RoutedEndKind::lost, fault.what());
  }
}

void RoutedRelay::take_fault(const std::shared_ptr<Send>& send, const std::exception& fault) {
  bool is_unsent = never_left(fault.what());
  RoutedEnd over =
      end_of(*send, is_unsent ? RoutedEndKind::unsent : RoutedEndKind::lost, is_unsent ? "no link" : "the link broke");
  if (const auto* http_fault = dynamic_cast<const web::http::http_exception*>(&fault);
      http_fault != nullptr && is_unsent) {
    // The library tells a refused connection as an unreachable host; a real one takes its time.
    auto code = http_fault->error_code();
    bool was_quick = steady_now() - send->begun < refused_connection_bound;
    over.was_connection_refused =
        code == std::errc::connection_refused || (code == std::errc::host_unreachable && was_quick);
    over.was_slow_to_connect = !over.was_connection_refused;
  }
  if (!is_unsent)
    ++relay_counts_.connections_broken;
  std::lock_guard<std::mutex> guard(send->handle->mutex);
  if (send->handle->turn != send->act.turn)
    return;
  if (!is_unsent && send->handle->is_stream_open)
    over.kind = RoutedEndKind::broken;
  over.last_event = send->handle->last_event;
  send->handle->turn = 0;
  events_.force(over);
}

RoutedEnd RoutedRelay::end_of(const Send& send, RoutedEndKind kind, const std::string& reason) const {
  RoutedEnd over;
  over.call = send.act.call;
  over.turn = send.act.turn;
  over.kind = kind;
  over.reason = reason;
  over.may_have_run = *send.times_written > (kind == RoutedEndKind::unsent ? 0 : 1);
  std::string load = header_of(send.response.headers(), words_.load);
  if (!load.empty()) {
    auto [running, waiting, slots] = read_numbers<3>(load);
    over.has_report = true;
    over.running = running;
    over.waiting = waiting;
    over.slots = slots;
  }
  return over;
}

// A send ends once, and only while it is the current one.
void RoutedRelay::end(const std::shared_ptr<Send>& send, RoutedEndKind kind, const std::string& reason) {
  auto over = end_of(*send, kind, reason);
  std::lock_guard<std::mutex> guard(send->handle->mutex);
  if (send->handle->turn != send->act.turn)
    return;
  send->handle->turn = 0;
  // After events went out there is no way back: the dispatcher goes on from the last of them, or breaks off.
  if (over.kind == RoutedEndKind::lost && send->handle->is_stream_open)
    over.kind = RoutedEndKind::broken;
  over.last_event = send->handle->last_event;
  events_.force(over);
}

}  // namespace emberdale
