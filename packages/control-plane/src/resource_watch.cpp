#include "resource_watch.hpp"

#include "emberdale/http_listener.hpp"
#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {
namespace {
constexpr std::chrono::milliseconds step_interval{100};
constexpr int steps_between_blank_lines = 20;  // a blank line is the sign that the connection is alive
// A client that lets more than this wait unread is disconnected.
constexpr std::size_t most_unread_bytes = 1 << 20;
}  // namespace

void ResourceWatch::start(const web::http::http_request& request) {
  request_ = request;
  web::http::http_response response(web::http::status_codes::OK);
  response.set_body(buffer_.create_istream(), "application/x-ndjson");
  reply_to(request, response, [has_client_left = has_client_left_](bool) { *has_client_left = true; });
  step();
}

void ResourceWatch::step() {
  if (*has_client_left_ || environment_.is_closed)
    return close();
  environment_.daemon.view(
      [self = shared_from_this()](const ViewResponse& view) {
        std::string output = self->next_output(view);
        if (output.empty())
          self->step_later();
        else
          self->send(std::move(output));
      },
      steady_now());
}

std::string ResourceWatch::next_output(const ViewResponse& view) {
  std::string line = json_text(watch_document(selector_, environment_.daemon.proposer().state(), view));
  if (line != last_line_) {
    last_line_ = line;
    return line + "\n";
  }
  return ++unchanged_steps_ % steps_between_blank_lines == 0 ? "\n" : "";
}

void ResourceWatch::send(std::string output) {
  if (buffer_.in_avail() > most_unread_bytes)
    return close();
  auto bytes = std::make_shared<std::string>(std::move(output));
  buffer_.putn_nocopy(reinterpret_cast<const std::uint8_t*>(bytes->data()), bytes->size())
      .then([self = shared_from_this(), bytes](pplx::task<std::size_t> put) {
        try {
          put.get();
          self->buffer_.sync();
        } catch (const std::exception&) {
          // The stream is closed: the next step ends the watch.
        }
        boost::asio::post(self->environment_.context, [self] { self->step_later(); });
      });
}

void ResourceWatch::step_later() {
  auto timer = std::make_shared<boost::asio::steady_timer>(environment_.context, step_interval);
  timer->async_wait([self = shared_from_this(), timer](boost::system::error_code) {
    self->step();
    self->environment_.flush();
  });
}

}  // namespace emberdale
