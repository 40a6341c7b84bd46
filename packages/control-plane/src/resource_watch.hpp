// One watch of resources: a stream of lines over HTTP, one whenever the versions or what is applied have changed.
#pragma once
#include <cpprest/http_msg.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "control_documents.hpp"
#include "emberdale/control_daemon.hpp"

namespace emberdale {

// All methods run on the control thread. The watch keeps itself alive until the client has left, does not read, or
// `is_closed` becomes true.
class ResourceWatch : public std::enable_shared_from_this<ResourceWatch> {
 public:
  // What a watch needs of the program around it; the references outlive all watches.
  struct Environment {
    boost::asio::io_context& context;  // of the control thread
    ControlDaemon& daemon;
    const std::atomic<bool>& is_closed;
    const std::function<void()>& flush;  // carries out what the daemon wants done
  };
  ResourceWatch(Environment environment, ResourceSelector selector)
      : environment_(environment), selector_(std::move(selector)) {}

  void start(const web::http::http_request& request);

 private:
  void step();
  std::string next_output(const ViewResponse& view);
  void send(std::string output);
  void step_later();
  void close() { buffer_.close(std::ios_base::out); }

  Environment environment_;
  web::http::http_request request_;
  ResourceSelector selector_;
  std::string last_line_;
  int unchanged_steps_ = 0;
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer_;
  std::shared_ptr<std::atomic<bool>> has_client_left_ = std::make_shared<std::atomic<bool>>(false);
};

}  // namespace emberdale
