#include "call_relay.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"
#include "http_fields.hpp"

namespace emberdale {

using Json = nlohmann::json;
using web::http::http_request;
using web::http::http_response;
using web::http::methods;

namespace {
constexpr std::size_t max_being_read = 512;  // calls whose bodies are still coming in
constexpr std::size_t max_in_hand = 2048;    // calls taken in and not yet answered
constexpr std::size_t max_headers = 64, max_header_bytes = 16384;
constexpr std::size_t stream_bound = 256U << 10;  // what a caller may lag behind its stream
constexpr std::size_t max_answer = 16 << 20;

constexpr std::size_t max_digits = 18;  // of a number in a header

std::int64_t number_or_zero(const std::string& text) { return number_of(text, max_digits).value_or(0); }

void reply_quietly(const http_request& request, const http_response& response) {
  send_reply(request, response, [](bool) {});
}

void refuse(const http_request& request, int code, const std::string& reason, int retry_after = 0) {
  http_response response(static_cast<web::http::status_code>(code));
  if (retry_after > 0)
    response.headers().add("Retry-After", std::to_string(retry_after));
  response.set_body(json_text(Json{{"reason", reason}, {"outcome", "refused"}}), "application/json");
  reply_quietly(request, response);
}
}  // namespace

CallRelay::CallRelay(DispatcherSettings settings, const ControlSnapshot& snapshot, const std::string& http)
    : settings_(settings), snapshot_(snapshot), listener_("http://" + http + "/"), dispatcher_(settings) {
  listener_.support([this](http_request request) { handle(std::move(request)); });
}

CallRelay::~CallRelay() {
  events_.close();
  if (traffic_.joinable())
    traffic_.join();
}

Outcome<bool> CallRelay::open() {
  try {
    listener_.open().wait();
  } catch (const std::exception& fault) {
    return failure(std::string("can't listen for HTTP: ") + fault.what());
  }
  traffic_ = std::thread([this] { run_routed_requests(); });
  return true;
}

void CallRelay::stop(Duration patience) {
  is_stopping_ = true;
  TimePoint end = steady_now() + patience;
  while ((in_hand_ > 0 || being_read_ > 0) && steady_now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  try {
    listener_.close().wait();
  } catch (const std::exception&) {
  }
  events_.close();
  if (traffic_.joinable())
    traffic_.join();
}

CallDispatcher::Counts CallRelay::counts() const {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  return counts_;
}

// --- accept ------------------------------------------------------------------------------------

void CallRelay::handle(http_request request) {
  std::string path = web::uri::decode(request.relative_uri().path());
  if (path.rfind("/emberdale", 0) == 0 && on_own_path)
    return on_own_path(std::move(request));
  const auto& headers = request.headers();
  std::size_t header_bytes = 0;
  for (const auto& [name, value] : headers)
    header_bytes += name.size() + value.size();
  if (headers.size() > max_headers || header_bytes > max_header_bytes)
    return refuse(request, 431, "too many or too large headers");
  if (is_stopping_)
    return refuse(request, 503, "this daemon is stopping", 1);
  bool has_body = request.method() == methods::POST || request.method() == methods::PUT;
  if (has_body && !headers.has("Content-Length"))
    return refuse(request, 411, "a Content-Length is required");
  std::size_t length = headers.content_length();
  if (length > static_cast<std::size_t>(largest_body_))
    return refuse(request, 413, "the body is larger than any plan takes");
  std::string content_type = header_of(headers, "Content-Type");
  if (has_body && content_type.rfind("application/json", 0) != 0)
    return refuse(request, 415, "the body must be application/json");
  if (being_read_ >= max_being_read || in_hand_ >= max_in_hand) {
    ++relay_counts_.accept_refused;
    return refuse(request, 503, "too many calls are in hand here", 1);
  }
  ArrivingCall call;
  call.method = request.method();
  call.path = path;
  for (const auto& [name, value] : headers) {
    std::string lower = name;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    call.headers[lower] = value;
  }
  auto handle = std::make_shared<CallHandle>();
  handle->id = random_id();
  handle->caller_id = header_of(headers, "X-Call-Id");
  if (handle->caller_id.size() > 128)
    return refuse(request, 400, "X-Call-Id is longer than 128");
  if (std::any_of(handle->caller_id.begin(), handle->caller_id.end(),
                  [](unsigned char letter) { return letter < 0x20 || letter > 0x7e; }))
    return refuse(request, 400, "X-Call-Id must be printable ASCII");
  std::string deadline = header_of(headers, "X-Horizon-Ms");
  if (!deadline.empty() && number_or_zero(deadline) <= 0)
    return refuse(request, 400, "X-Horizon-Ms must be a number of milliseconds");
  call.deadline = Duration{number_or_zero(deadline)};
  call.id.text = handle->id;
  call.body_bytes = static_cast<std::int64_t>(length);
  handle->request = request;
  handle->content_type = content_type;
  ++being_read_;
  request.extract_vector().then([this, handle, call, length](pplx::task<std::vector<unsigned char>> reading) mutable {
    try {
      handle->body = reading.get();
    } catch (const std::exception&) {
      --being_read_;
      return;  // the caller left, or broke off within its body: the call never was
    }
    --being_read_;
    if (handle->body.size() != length)
      return refuse(handle->request, 400, "the body is not as long as its Content-Length");
    call.prefix.assign(handle->body.begin(),
                       handle->body.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(
                                                  handle->body.size(), static_cast<std::size_t>(widest_prefix_))));
    handle->index = ++last_index_;
    ++in_hand_;
    if (!events_.offer(Arrived{handle, std::move(call)})) {
      --in_hand_;
      ++relay_counts_.accept_refused;
      refuse(handle->request, 503, "the traffic queue is full", 1);
    }
  });
}

// --- gate and match: the traffic thread -----------------------------------------------------------

void CallRelay::run_routed_requests() {
  std::shared_ptr<const RoutingView> seen;
  TimePoint timer_next = steady_now();
  auto refresh = [&](TimePoint now) {
    auto [view, grant] = snapshot_.get();
    dispatcher_.set_grant(grant);
    if (view == seen)
      return;
    seen = view;
    widest_prefix_ = 0;
    std::int64_t largest = 1 << 20;
    for (const auto& plan : view->plans) {
      widest_prefix_ = std::max<std::int64_t>(widest_prefix_, plan.prefix_bytes);
      largest = std::max(largest, plan.max_body_bytes);
    }
    largest_body_ = largest;
    dispatcher_.see(view, now);
  };
  for (;;) {
    auto event = events_.take_within(std::chrono::milliseconds(10));
    TimePoint now = steady_now();
    refresh(now);
    if (event) {
      if (auto* arrived = std::get_if<Arrived>(&*event)) {
        CallIndex index = arrived->handle->index;
        handles_[index] = arrived->handle;
        if (auto refusal = dispatcher_.admit(arrived->call, now, index)) {
          answer_final(*refusal, arrived->handle);
          handles_.erase(index);
        }
      } else if (auto* ended = std::get_if<Ended>(&*event)) {
        sent_.erase(ended->end.call);
        dispatcher_.on_attempt_finished(ended->end, now);
        if (ended->end.kind == SendEndKind::answered || ended->end.kind == SendEndKind::caller_gone) {
          handles_.erase(ended->end.call);
        }
      } else if (auto* gone = std::get_if<Gone>(&*event)) {
        auto sent = sent_.find(gone->index);
        if (sent != sent_.end())
          sent->second.stop.cancel();
        else
          dispatcher_.caller_gone(gone->index, now);
      } else if (auto* piece = std::get_if<Piece>(&*event)) {
        dispatcher_.first_piece(piece->index);
      }
    }
    if (timer_next <= now) {
      timer_next = now + Duration{10};
      for (auto& [index, sent] : sent_)
        if (!sent.is_stopped && sent.deadline <= now) {
          sent.is_stopped = true;
          ++relay_counts_.deadlines_passed;
          sent.stop.cancel();
        }
      dispatcher_.on_timer(now);
      std::lock_guard<std::mutex> guard(counts_mutex_);
      counts_ = dispatcher_.counts();
    }
    act(now);
    if (!event && is_stopping_ && in_hand_ == 0 && being_read_ == 0) {
      std::lock_guard<std::mutex> guard(counts_mutex_);
      counts_ = dispatcher_.counts();
      return;
    }
  }
}

void CallRelay::act(TimePoint now) {
  for (const auto& wish : dispatcher_.take_sends())
    send(wish, now);
  for (const auto& final_act : dispatcher_.take_finals()) {
    auto entry = handles_.find(final_act.call);
    if (entry == handles_.end())
      continue;
    auto handle = entry->second;
    handles_.erase(entry);
    answer_final(final_act, handle);
  }
}

void CallRelay::answer_final(const FinalAct& act, const std::shared_ptr<CallHandle>& handle) {
  --in_hand_;
  if (handle->is_answered.exchange(true))
    return;
  http_response response(static_cast<web::http::status_code>(act.code));
  Json body{{"reason", act.reason}, {"outcome", act.may_have_run ? "unknown" : "refused"}};
  if (!act.homes.empty())
    body["homes"] = act.homes;
  if (act.retry_after.value > 0) {
    response.headers().add("Retry-After", std::to_string((act.retry_after.value + 999) / 1000));
    body["retry_after_ms"] = act.retry_after.value;
  }
  if (!handle->caller_id.empty())
    response.headers().add("X-Call-Id", handle->caller_id);
  response.set_body(json_text(body), "application/json");
  reply_quietly(handle->request, response);
}

// --- send ------------------------------------------------------------------------------------------

std::shared_ptr<web::http::client::http_client> CallRelay::client_for(const SendAct& act) {
  web::http::client::http_client_config config;
  config.set_timeout(std::chrono::seconds(600));  // the deadline is kept by the timer
  // A call that must not run twice never goes over a link that was used before: the library would
  // send it again by itself when such a link turns out closed (HttpClientBehaviour shows it).
  if (!act.is_repeatable)
    return std::make_shared<web::http::client::http_client>("http://" + act.http, config);
  auto& client = clients_[act.http];
  if (!client)
    client = std::make_shared<web::http::client::http_client>("http://" + act.http, config);
  return client;
}

void CallRelay::send(const SendAct& act, TimePoint now) {
  auto entry = handles_.find(act.call);
  if (entry == handles_.end())
    return;
  auto handle = entry->second;
  // Checked once more, at the moment of send: the grant may have run out since the gate.
  if (!dispatcher_.is_granted(steady_now())) {
    end(act.call, SendEndKind::unsent, "the grant ran out", nullptr);
    return;
  }
  http_request request(act.method);
  request.set_request_uri(act.path);
  request.headers().add("X-Emberdale-Call", act.id.text);
  if (!handle->caller_id.empty())
    request.headers().add("X-Call-Id", handle->caller_id);
  request.headers().add("X-Emberdale-Incarnation", std::to_string(act.incarnation));
  request.headers().add("X-Emberdale-Config", std::to_string(act.config_revision));
  request.headers().add("X-Emberdale-Horizon-Ms", std::to_string((act.deadline - now).value));
  if (act.method != "GET") {
    request.set_body(handle->body);
    request.headers().set_content_type("application/json");
  }
  Sent& sent = sent_[act.call];
  sent.handle = handle;
  sent.deadline = act.deadline;
  auto stop = sent.stop;
  auto client = client_for(act);
  client->request(request, stop.get_token())
      .then([this, act, handle, stop, client](pplx::task<http_response> answering) {
        http_response response;
        try {
          response = answering.get();
        } catch (const web::http::http_exception& fault) {
          std::string what = fault.what();
          bool is_unsent =
              what.find("Failed to connect") != std::string::npos || what.find("Error resolving") != std::string::npos;
          if (handle->is_caller_gone)
            return end(act.call, SendEndKind::caller_gone, "caller left", nullptr);
          if (stop.get_token().is_canceled())
            return end(act.call, SendEndKind::lost, "no answer within the deadline", nullptr);
          ++relay_counts_.connections_broken;
          return end(act.call, is_unsent ? SendEndKind::unsent : SendEndKind::lost,
                     is_unsent ? "no link" : "link broke", nullptr);
        } catch (const std::exception&) {
          if (handle->is_caller_gone)
            return end(act.call, SendEndKind::caller_gone, "caller left", nullptr);
          return end(act.call, SendEndKind::lost, "no answer within the deadline", nullptr);
        }
        if (header_of(response.headers(), "X-Runner") == act.runner.text &&
            response.headers().has("X-Runner-Refused")) {
          std::string why = header_of(response.headers(), "X-Runner-Refused");
          read_off(response);
          return end(act.call, SendEndKind::refused, why, &response);
        }
        std::string type = header_of(response.headers(), "Content-Type");
        if (act.is_streaming && response.status_code() == 200 && type.rfind("text/event-stream", 0) == 0)
          take_stream(act, handle, response, stop);
        else
          accept_response(act, handle, response, stop.get_token());
      });
}

void CallRelay::end(CallIndex index, SendEndKind kind, const std::string& reason, const http_response* response) {
  SendEnd done;
  done.call = index;
  done.kind = kind;
  done.reason = reason;
  if (response != nullptr && response->headers().has("X-Runner-Incarnation")) {
    const auto& headers = response->headers();
    done.has_report = true;
    done.incarnation = number_or_zero(header_of(headers, "X-Runner-Incarnation"));
    done.load = number_or_zero(header_of(headers, "X-Runner-Burden"));
    done.capacity = number_or_zero(header_of(headers, "X-Runner-Capacity"));
    done.is_warming_up = header_of(headers, "X-Runner-Cold") == "true";
  }
  if (kind == SendEndKind::answered || kind == SendEndKind::caller_gone)
    --in_hand_;
  events_.force(Ended{done});
}

// --- relay -----------------------------------------------------------------------------------------

// A short answer is complete and its seal is checked before the first byte goes to the caller.
void CallRelay::accept_response(const SendAct& act, std::shared_ptr<CallHandle> handle, http_response response,
                                pplx::cancellation_token stop) {
  if (response.headers().content_length() > max_answer)
    return end(act.call, SendEndKind::lost, "the answer is too large", &response);
  response.extract_vector().then([this, act, handle, response, stop](pplx::task<std::vector<unsigned char>> reading) {
    std::string body;
    try {
      auto bytes = reading.get();
      body.assign(bytes.begin(), bytes.end());
    } catch (const std::exception&) {
      if (handle->is_caller_gone)
        return end(act.call, SendEndKind::caller_gone, "caller left", nullptr);
      if (stop.is_canceled())
        return end(act.call, SendEndKind::lost, "no whole answer within the deadline", nullptr);
      ++relay_counts_.connections_broken;
      return end(act.call, SendEndKind::lost, "link broke", nullptr);
    }
    const auto& headers = response.headers();
    std::int64_t incarnation = number_or_zero(header_of(headers, "X-Runner-Incarnation"));
    std::string seal = header_of(headers, "X-Runner-Seal");
    std::string sealed_text = std::to_string(response.status_code()) + "\n" + body;
    if (header_of(headers, "X-Runner") != act.runner.text ||
        seal != seal_of(act.seal_key, act.id.text, act.runner.text, incarnation, sealed_text)) {
      ++relay_counts_.bad_seals;
      return end(act.call, SendEndKind::lost, "the answer lacks the runner's seal", &response);
    }
    if (handle->is_answered.exchange(true))
      return end(act.call, SendEndKind::answered, "", &response);
    http_response out(response.status_code());
    std::string type = header_of(headers, "Content-Type");
    out.set_body(body, type.empty() ? "application/json" : type);
    out.headers().add("X-Runner", act.runner.text);
    out.headers().add("X-Runner-Incarnation", std::to_string(incarnation));
    out.headers().add("X-Runner-Seal", seal);
    out.headers().add("X-Emberdale-Call", act.id.text);
    if (!handle->caller_id.empty())
      out.headers().add("X-Call-Id", handle->caller_id);
    reply_quietly(handle->request, out);
    end(act.call, SendEndKind::answered, "", &response);
  });
}

struct CallRelay::Relay {
  SendAct act;
  std::shared_ptr<CallHandle> handle;
  http_response response;
  pplx::cancellation_token_source stop;
  concurrency::streams::streambuf<std::uint8_t> source;
  EventCutter cutter;
  StreamCheck check;
  std::vector<std::uint8_t> bytes = std::vector<std::uint8_t>(16384);
  Relay(const SendAct& a, std::int64_t incarnation)
      : act(a), check(a.seal_key, a.id.text, a.runner.text, incarnation) {}
};

void CallRelay::take_stream(const SendAct& act, std::shared_ptr<CallHandle> handle, http_response response,
                            pplx::cancellation_token_source stop) {
  if (header_of(response.headers(), "X-Runner") != act.runner.text) {
    ++relay_counts_.bad_seals;
    stop.cancel();
    return end(act.call, SendEndKind::lost, "the stream comes from another runner", nullptr);
  }
  auto relay = std::make_shared<Relay>(act, number_or_zero(header_of(response.headers(), "X-Runner-Incarnation")));
  relay->handle = handle;
  relay->response = response;
  relay->stop = stop;
  relay->source = response.body().streambuf();
  relay_next(relay);
}

void CallRelay::relay_next(std::shared_ptr<Relay> relay) {
  // One byte is awaited, then whatever came with it is taken along.
  relay->source.getn(relay->bytes.data(), 1).then([this, relay](pplx::task<std::size_t> reading) {
    std::size_t size = 0;
    bool is_broken = false;
    try {
      size = reading.get();
      if (size == 1) {
        std::size_t more = std::min(relay->source.in_avail(), relay->bytes.size() - 1);
        for (; more > 0; --more)
          relay->bytes[size++] = static_cast<std::uint8_t>(relay->source.sbumpc());  // there already
      }
    } catch (const std::exception&) {
      is_broken = true;
    }
    auto& handle = relay->handle;
    std::string out;
    bool is_sealed = false;
    std::string trouble;
    if (size > 0) {
      for (const auto& event : relay->cutter.feed(
               std::string(relay->bytes.begin(), relay->bytes.begin() + static_cast<std::ptrdiff_t>(size)))) {
        auto step = relay->check.take(event);
        if (step == StreamCheck::Step::broken) {
          trouble = relay->check.reason();
          break;
        }
        out += event_text(event);
        ++relay_counts_.pieces;
        is_sealed = is_sealed || step == StreamCheck::Step::sealed;
      }
      if (relay->cutter.waiting() > stream_bound)
        trouble = "a piece is too large";
    } else {
      trouble = is_broken ? "the runner's link broke" : "the runner ended without its seal";
    }
    if (handle->is_caller_gone) {
      relay->stop.cancel();
      return end(relay->act.call, SendEndKind::caller_gone, "caller left", nullptr);
    }
    if (relay->stop.get_token().is_canceled() && !is_sealed && trouble.empty())
      trouble = "not ended within the deadline";
    // Before the first piece nothing has been told to the caller: the dispatcher decides what comes.
    if (!handle->is_stream_open && out.empty() && !trouble.empty()) {
      relay->stop.cancel();
      ++relay_counts_.streams_broken;
      return end(relay->act.call, SendEndKind::lost, trouble, &relay->response);
    }
    if (!handle->is_stream_open && !out.empty()) {
      handle->is_stream_open = true;
      handle->is_answered = true;
      events_.force(Piece{relay->act.call});
      http_response response(web::http::status_codes::OK);
      response.headers().add("X-Runner", relay->act.runner.text);
      response.headers().add("X-Runner-Incarnation", header_of(relay->response.headers(), "X-Runner-Incarnation"));
      response.headers().add("X-Emberdale-Call", relay->act.id.text);
      if (!handle->caller_id.empty())
        response.headers().add("X-Call-Id", handle->caller_id);
      response.set_body(handle->pieces.create_istream(), "text/event-stream");
      CallIndex index = relay->act.call;
      send_reply(handle->request, response, [this, handle, index](bool was_sent) {
        if (!was_sent) {  // the caller left: its runner slot is freed
          handle->is_caller_gone = true;
          ++relay_counts_.callers_gone;
          events_.force(Gone{index});
        }
      });
    }
    if (!trouble.empty() && !is_sealed)
      out += event_text({"error", "", json_text(Json{{"reason", trouble}, {"outcome", "unknown"}})});
    if (handle->pieces.in_avail() > stream_bound) {
      trouble = "the caller reads too slowly";
      is_sealed = false;
    }
    if (!out.empty()) {
      // The buffer takes a copy at once. Nothing is waited for here: this is one of the few threads that
      // serve all links, and a wait needs another of them.
      handle->pieces.putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
      handle->pieces.sync();
    }
    if (is_sealed || !trouble.empty()) {
      handle->pieces.close(std::ios_base::out);
      if (!is_sealed) {
        ++relay_counts_.streams_broken;
        relay->stop.cancel();
      }
      // Either way the caller has its end; a broken one was told as such.
      return end(relay->act.call, SendEndKind::answered, trouble, &relay->response);
    }
    relay_next(relay);
  });
}

}  // namespace emberdale
