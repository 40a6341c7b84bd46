#include "routed_relay.hpp"

#include <glog/logging.h>
#include <netinet/tcp.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "emberdale/json_text.hpp"
#include "emberdale/program_settings.hpp"

namespace emberdale {

using Json = nlohmann::json;
using concurrency::streams::producer_consumer_buffer;
using web::http::http_headers;
using web::http::http_request;
using web::http::http_response;

namespace {
constexpr std::size_t max_in_hand = 2048;            // calls taken in and not yet over
constexpr std::size_t max_bytes_in_hand = 16 << 20;  // of their bodies
constexpr std::size_t stream_bound = 1 << 20;        // what a caller may lag behind its stream; also the largest event
constexpr std::size_t max_answer = 16 << 20;
constexpr std::size_t max_parts = 256;
constexpr Span piece_pace{50};  // the dispatcher hears that often of a stream that goes on
constexpr Span stopped_retry_after{250};
constexpr int silent_link_ms = 3000;

std::string header_of(const http_headers& headers, const std::string& name) {
  if (name.empty())
    return "";
  auto entry = headers.find(name);
  return entry == headers.end() ? "" : entry->second;
}

bool has_header(const http_headers& headers, const std::string& name) { return !name.empty() && headers.has(name); }

std::string_view trimmed(std::string_view text) {
  auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos)
    return {};
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::optional<std::int64_t> number_of(std::string_view text) {
  if (text.empty() || text.size() > 15)
    return std::nullopt;
  std::int64_t number = 0;
  for (char letter : text) {
    if (letter < '0' || letter > '9')
      return std::nullopt;
    number = number * 10 + (letter - '0');
  }
  return number;
}

std::optional<std::uint64_t> hex_of(std::string_view text) {
  if (text.empty() || text.size() > 16)
    return std::nullopt;
  std::uint64_t number = 0;
  for (char letter : text) {
    int digit = letter >= '0' && letter <= '9'   ? letter - '0'
                : letter >= 'a' && letter <= 'f' ? letter - 'a' + 10
                : letter >= 'A' && letter <= 'F' ? letter - 'A' + 10
                                                 : -1;
    if (digit < 0)
      return std::nullopt;
    number = number << 4 | static_cast<std::uint64_t>(digit);
  }
  return number;
}

// Cuts at commas. Example: each_part("a, b", use) calls use("a"), use("b"), until use gives false
template <class Use>
void each_part(std::string_view text, Use use) {
  for (;;) {
    auto comma = text.find(',');
    if (!use(trimmed(text.substr(0, comma))) || comma == std::string_view::npos)
      return;
    text.remove_prefix(comma + 1);
  }
}

// Headers of one link, not of the call. What a Connection header names is one as well.
bool is_of_link(const std::string& name, const std::string& named) {
  static const std::array<const char*, 8> names{"Connection", "Keep-Alive", "Transfer-Encoding", "TE",
                                                "Trailer",    "Upgrade",    "Content-Length",    "Expect"};
  for (const char* known : names)
    if (strcasecmp(name.c_str(), known) == 0)
      return true;
  if (strncasecmp(name.c_str(), "Proxy-", 6) == 0)
    return true;
  bool is_named = false;
  each_part(named, [&](std::string_view part) {
    is_named = part.size() == name.size() && strncasecmp(part.data(), name.data(), name.size()) == 0;
    return !is_named;
  });
  return is_named;
}

// Two readers that see the end of a body at different places could find a second request in it.
bool has_clear_length(const http_headers& headers) {
  bool has_length = headers.has("Content-Length");
  if (headers.has("Transfer-Encoding")) {
    std::string encoding = header_of(headers, "Transfer-Encoding");
    return !has_length && strcasecmp(std::string(trimmed(encoding)).c_str(), "chunked") == 0;
  }
  return !has_length || number_of(trimmed(header_of(headers, "Content-Length")));
}

// With these a caller is promised that its call did not run and never will.
bool promises_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

bool is_final_status(int status) { return status >= 200 && status <= 599; }

// Numbers are compared as such, however long; other ids only as equal or not.
bool is_above(const std::string& id, const std::string& last) {
  auto digits_of = [](const std::string& text) -> std::optional<std::string> {
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos)
      return std::nullopt;
    auto begin = text.find_first_not_of('0');
    return begin == std::string::npos ? "" : text.substr(begin);
  };
  auto a = digits_of(id), b = digits_of(last);
  if (!a || !b)
    return id != last;
  return a->size() != b->size() ? a->size() > b->size() : *a > *b;
}

// The library takes a body in whole, without bound, and sends no answer before: both end here. Closing alone is
// not enough: without a fault it goes on writing nothing to the closed buffer, for ever.
void read_no_further(const http_request& request) {
  auto fault = std::make_exception_ptr(std::runtime_error("the body is not wanted"));
  request.body().streambuf().close(std::ios_base::in | std::ios_base::out, fault);
  request._get_impl()->_complete(0);
}

// Reads bytes as they come: one is awaited, then whatever came with it is taken along.
struct PieceReader : std::enable_shared_from_this<PieceReader> {
  concurrency::streams::streambuf<std::uint8_t> source;
  std::function<bool(const std::string&)> on_bytes;  // false: no more is wanted
  std::function<void(bool is_broken)> on_end;
  std::uint8_t first = 0;
  std::string bytes;
  void next() {
    auto self = shared_from_this();
    source.getn(&first, 1).then([self](pplx::task<std::size_t> reading) {
      bool is_broken = false;
      self->bytes.clear();
      try {
        if (reading.get() == 1) {
          self->bytes.push_back(static_cast<char>(self->first));
          std::uint8_t* piece = nullptr;
          std::size_t size = 0;
          while (self->source.acquire(piece, size) && size > 0) {
            self->bytes.append(reinterpret_cast<const char*>(piece), size);
            self->source.release(piece, size);
          }
        }
      } catch (const std::exception&) {
        is_broken = true;
      }
      if (is_broken || self->bytes.empty())
        return self->on_end(is_broken);
      if (self->on_bytes(self->bytes))
        self->next();
    });
  }
};

}  // namespace

// --- small readers ---------------------------------------------------------------------------------

std::vector<PromptPart> read_prompt(const std::string& text) {
  std::vector<PromptPart> parts;
  each_part(text, [&](std::string_view part) {
    auto colon = part.find(':');
    if (colon == std::string_view::npos)
      return false;
    auto id = hex_of(trimmed(part.substr(0, colon)));
    auto tokens = number_of(trimmed(part.substr(colon + 1)));
    if (!id || !tokens)
      return false;
    parts.push_back({*id, *tokens});
    return parts.size() < max_parts;
  });
  return parts;
}

template <std::size_t Count>
std::array<Integer, Count> read_numbers(const std::string& text) {
  std::array<Integer, Count> numbers{};
  std::size_t at = 0;
  each_part(text, [&](std::string_view part) {
    numbers[at++] = number_of(part).value_or(0);
    return at < Count;
  });
  return numbers;
}
template std::array<Integer, 2> read_numbers<2>(const std::string&);
template std::array<Integer, 3> read_numbers<3>(const std::string&);

std::optional<Span> read_deadline(const std::string& text) {
  auto number = number_of(trimmed(text));
  if (!number || *number <= 0)
    return std::nullopt;
  return Span{*number};
}

std::string retry_after_text(Span span) {
  std::string fraction = std::to_string(1000 + span.value % 1000);
  return std::to_string(span.value / 1000) + "." + fraction.substr(1);
}

std::vector<RawEvent> RawCutter::feed(const std::string& bytes) {
  std::vector<RawEvent> events;
  rest_ += bytes;
  RawEvent event;
  std::size_t begin = 0;
  auto look = [&](std::size_t from, std::size_t size) {
    std::string_view line = std::string_view(rest_).substr(from, size);
    if (line.rfind("id:", 0) == 0) {
      line.remove_prefix(3);
      if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
      event.id = std::string(line);
    } else if (line.rfind("data", 0) == 0) {
      event.has_data = true;
    }
  };
  for (std::size_t end; (end = rest_.find('\n', line_begin_)) != std::string::npos; line_begin_ = end + 1) {
    std::size_t size = end - line_begin_;
    if (size > 0 && rest_[end - 1] == '\r')
      --size;
    if (size > 0)
      continue;
    for (std::size_t at = begin; at <= end;) {  // the lines of this event
      std::size_t stop = rest_.find('\n', at);
      look(at, stop - at - (stop > at && rest_[stop - 1] == '\r' ? 1 : 0));
      at = stop + 1;
    }
    event.bytes = rest_.substr(begin, end + 1 - begin);
    events.push_back(std::exchange(event, {}));
    begin = end + 1;
  }
  rest_.erase(0, begin);
  line_begin_ -= begin;
  return events;
}

std::string EventSieve::pass(const RawEvent& event) {
  if (is_resumed_ && !event.id.empty() && !is_above(event.id, last_)) {
    held_.clear();  // what came before it went out before, too
    return "";
  }
  bool is_waiting = !has_passed_ && (is_resumed_ ? event.id.empty() : !event.has_data);
  held_ += event.bytes;
  if (is_waiting)
    return "";
  has_passed_ = true;
  if (!event.id.empty())
    last_ = event.id;
  return std::exchange(held_, {});
}

// --- what is in hand -------------------------------------------------------------------------------

struct RoutedRelay::Handle {
  explicit Handle(std::shared_ptr<InHand> counted) : in_hand(std::move(counted)) {}
  ~Handle() {
    std::lock_guard<std::mutex> guard(in_hand->mutex);
    --in_hand->calls;
    in_hand->bytes -= bytes;
    in_hand->changed.notify_all();
  }
  std::shared_ptr<InHand> in_hand;
  std::size_t bytes = 0;  // of the body, as counted in in_hand
  CallIndex index = 0;
  std::string id, method;
  web::uri target;       // path and query as they came
  http_headers headers;  // that are passed on
  http_request request;
  Bytes body = std::make_shared<std::vector<std::uint8_t>>();

  std::mutex mutex;  // of all below
  int turn = 0;      // the send whose answer may go to the caller; 0: none
  bool is_stream_open = false, is_over = false;
  std::string last_event;  // the last id that went to the caller
  Moment told_at{-1000};   // when the dispatcher last heard of this stream
  std::optional<producer_consumer_buffer<std::uint8_t>> pieces;
  std::optional<http_response> kept;  // a runner's own answer, given if no other comes
};

struct RoutedRelay::RunnerLink {
  explicit RunnerLink(const std::string& http, const web::http::client::http_client_config& config)
      : client("http://" + http, config) {}
  web::http::client::http_client client;
  std::atomic<bool> is_spoilt{false};  // bytes of another call came over it
};

struct RoutedRelay::Send {
  Send(RoutedSend a, std::shared_ptr<Handle> h, std::string last)
      : act(std::move(a)), handle(std::move(h)), sieve(std::move(last)) {}
  RoutedSend act;
  std::shared_ptr<Handle> handle;
  std::shared_ptr<RunnerLink> link;
  pplx::cancellation_token_source stop;
  Moment begun;
  http_response response{0};
  RawCutter cutter;
  EventSieve sieve;
};

// --- life ------------------------------------------------------------------------------------------

RoutedRelay::RoutedRelay(RouteDispatcherSettings settings, RelayWords words, const ControlSnapshot& snapshot,
                         const std::string& http)
    : settings_(settings),
      words_(std::move(words)),
      snapshot_(snapshot),
      listener_("http://" + http + "/"),
      dispatcher_(std::move(settings)) {
  listener_.support([this](http_request request) { handle(std::move(request)); });
}

RoutedRelay::~RoutedRelay() { stop(Span{0}); }

Outcome<bool> RoutedRelay::open() {
  try {
    listener_.open().wait();
  } catch (const std::exception& fault) {
    return failure(std::string("can't listen for HTTP: ") + fault.what());
  }
  is_open_ = true;
  traffic_ = std::thread([this] { run_traffic(); });
  return true;
}

void RoutedRelay::wake() {
  if (!is_woken_.exchange(true))
    events_.force(Woken{});
}

void RoutedRelay::stop(Span patience) {
  begin_stopping();
  if (!is_open_.exchange(false))
    return;
  auto wait_empty = [&](Span span) {
    std::unique_lock<std::mutex> guard(in_hand_->mutex);
    return in_hand_->changed.wait_for(guard, std::chrono::milliseconds(span.value),
                                      [&] { return in_hand_->calls == 0; });
  };
  wait_empty(patience);
  is_closing_ = true;
  wake();
  if (traffic_.joinable())
    traffic_.join();  // what is left was broken off
  wait_empty(Span{300});
  try {
    listener_.close().wait();
  } catch (const std::exception&) {
  }
  events_.close();
  if (!wait_empty(Span{10000}))
    LOG(ERROR) << "calls are still in hand after the end";
}

RouteDispatcher::Counts RoutedRelay::counts() const {
  std::lock_guard<std::mutex> guard(counts_mutex_);
  return counts_;
}

std::size_t RoutedRelay::in_hand() const {
  std::lock_guard<std::mutex> guard(in_hand_->mutex);
  return in_hand_->calls;
}

// --- answers to the caller ---------------------------------------------------------------------------

void RoutedRelay::reply(const http_request& request, http_response response, std::function<void(bool)> on_end) {
  if (is_stopping_)
    response.headers()["Connection"] = "close";
  try {
    request.reply(response).then([on_end](pplx::task<void> ended) {
      bool was_sent = true;
      try {
        ended.get();
      } catch (const std::exception&) {  // the caller left
        was_sent = false;
      }
      if (on_end)
        on_end(was_sent);
    });
  } catch (const std::exception&) {
    if (on_end)
      on_end(false);
  }
}

// Refused here: it surely did not run.
void RoutedRelay::refuse(const http_request& request, int code, const std::string& reason, const std::string& call_id,
                         Span retry_after, bool is_link_closed, std::shared_ptr<Handle> held) {
  http_response response(static_cast<web::http::status_code>(code));
  if (!words_.not_run.empty())
    response.headers().add(words_.not_run, words_.not_run_value);
  if (!call_id.empty())
    response.headers().add(words_.call_id, call_id);
  if (retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(retry_after));
  if (is_link_closed)
    response.headers().add("Connection", "close");
  response.set_body(json_text(Json{{"reason", reason}}), "application/json");
  reply(request, response, [held = std::move(held)](bool) {});
}

void RoutedRelay::answer_final(const FinalAct& act, const std::shared_ptr<Handle>& handle) {
  std::unique_lock<std::mutex> guard(handle->mutex);
  handle->turn = 0;
  if (std::exchange(handle->is_over, true))
    return;
  if (handle->is_stream_open) {  // its end must not look like one
    ++relay_counts_.streams_broken;
    handle->pieces->close(std::ios_base::out, std::make_exception_ptr(std::runtime_error(act.reason)));
    return;
  }
  auto on_end = [handle](bool) {
  };
  if (handle->kept) {
    http_response response = *handle->kept;
    handle->kept.reset();
    guard.unlock();
    return reply(handle->request, response, on_end);
  }
  guard.unlock();
  http_response response(static_cast<web::http::status_code>(act.code));
  if (!act.may_have_run && !words_.not_run.empty())
    response.headers().add(words_.not_run, words_.not_run_value);
  if (!handle->id.empty())
    response.headers().add(words_.call_id, handle->id);
  if (act.retry_after.value > 0)
    response.headers().add("Retry-After", retry_after_text(act.retry_after));
  Json body{{"reason", act.reason}};
  if (!act.homes.empty())
    body["homes"] = act.homes;
  response.set_body(json_text(body), "application/json");
  reply(handle->request, response, on_end);
}

void RoutedRelay::copy_answer_headers(const http_headers& from, http_headers& to) const {
  std::string named = header_of(from, "Connection");
  for (const auto& [name, value] : from)
    if (!is_of_link(name, named))
      to.add(name, value);
}

// --- accept ------------------------------------------------------------------------------------------

void RoutedRelay::handle(http_request request) {
  const auto& headers = request.headers();
  std::string id = header_of(headers, words_.call_id);
  std::size_t header_bytes = 0;
  for (const auto& [name, value] : headers)
    header_bytes += name.size() + value.size() + 4;
  bool is_chunked = headers.has("Transfer-Encoding");
  std::size_t length = is_chunked ? 0 : headers.content_length();
  auto refuse_unread = [&](int code, const std::string& reason, Span retry_after = Span{0}) {
    // Whatever is still coming of the body is not read: this link has no use afterwards.
    bool has_body = is_chunked || length > 0;
    refuse(request, code, reason, id, retry_after, has_body);
    if (has_body)
      read_no_further(request);
  };
  if (!has_clear_length(headers)) {
    refuse(request, 400, "the end of the body is not clear", id, Span{0}, true);
    return read_no_further(request);
  }
  if (header_bytes > static_cast<std::size_t>(max_header_bytes_))
    return refuse_unread(431, "the headers are too large");
  if (id.empty())
    return refuse_unread(400, "the header " + words_.call_id + " is missing");
  if (length > static_cast<std::size_t>(max_body_bytes_))
    return refuse_unread(413, "the body is too large");
  {
    std::unique_lock<std::mutex> guard(in_hand_->mutex);
    if (in_hand_->calls >= max_in_hand || in_hand_->bytes + length > max_bytes_in_hand) {
      guard.unlock();
      ++relay_counts_.accept_refused;
      return refuse_unread(503, "too many calls are in hand here", Span{250});
    }
    ++in_hand_->calls;
    in_hand_->bytes += length;
  }
  auto handle = std::make_shared<Handle>(in_hand_);
  handle->bytes = length;
  handle->index = ++last_index_;
  handle->id = id;
  handle->method = request.method();
  handle->target = request.request_uri();
  std::string named = header_of(headers, "Connection");
  for (const auto& [name, value] : headers)
    if (!is_of_link(name, named))
      handle->headers.add(name, value);
  for (const auto* name : {&words_.life_expected, &words_.rank, &words_.deadline})
    if (!name->empty())
      handle->headers.remove(*name);
  handle->request = request;
  RoutedCall call;
  call.id.text = id;
  call.host = header_of(headers, "Host");
  call.path = request.request_uri().path();
  call.deadline = read_deadline(header_of(headers, words_.deadline)).value_or(Span{0});
  call.prompt = read_prompt(header_of(headers, words_.prompt));
  auto [tokens_in, tokens_out] = read_numbers<2>(header_of(headers, words_.tokens));
  call.tokens_in = tokens_in;
  call.tokens_out = tokens_out;
  call.resume_after = header_of(headers, words_.resume);
  if (is_chunked)
    return read_chunked(std::move(handle), std::move(call));
  if (length == 0)
    return take_in(std::move(handle), std::move(call));
  request.extract_vector().then([this, handle, call, length](pplx::task<std::vector<std::uint8_t>> reading) mutable {
    try {
      *handle->body = reading.get();
    } catch (const std::exception&) {
      return;  // the caller left, or broke off within its body: the call never was
    }
    if (handle->body->size() != length)
      return refuse(handle->request, 400, "the body is not as long as its Content-Length", handle->id);
    take_in(std::move(handle), std::move(call));
  });
}

void RoutedRelay::read_chunked(std::shared_ptr<Handle> handle, RoutedCall call) {
  auto reader = std::make_shared<PieceReader>();
  reader->source = handle->request.body().streambuf();
  reader->on_bytes = [this, handle](const std::string& bytes) {
    std::size_t limit = static_cast<std::size_t>(max_body_bytes_);
    bool is_too_large = handle->body->size() + bytes.size() > limit;
    if (!is_too_large) {
      std::lock_guard<std::mutex> guard(in_hand_->mutex);
      is_too_large = in_hand_->bytes + bytes.size() > max_bytes_in_hand;
      if (!is_too_large) {
        in_hand_->bytes += bytes.size();
        handle->bytes += bytes.size();
      }
    }
    if (is_too_large) {
      refuse(handle->request, 413, "the body is too large", handle->id, Span{0}, true);
      read_no_further(handle->request);
      return false;
    }
    handle->body->insert(handle->body->end(), bytes.begin(), bytes.end());
    return true;
  };
  reader->on_end = [this, handle, call = std::move(call)](bool is_broken) {
    if (!is_broken)
      take_in(handle, call);
  };
  reader->next();
}

void RoutedRelay::take_in(std::shared_ptr<Handle> handle, RoutedCall call) {
  if (events_.offer(Arrived{handle, std::move(call)}))
    return;
  ++relay_counts_.accept_refused;
  refuse(handle->request, 503, "too many calls are in hand here", handle->id, Span{250}, false, handle);
}

// --- gate and match: the traffic thread --------------------------------------------------------------

void RoutedRelay::run_traffic() {
  Moment now = steady_now();
  Moment timer_at = now;
  while (!is_closing_) {
    Span wait = std::min(Span{500}, std::max(Span{0}, timer_at - now));
    auto event = events_.take_within(std::chrono::milliseconds(wait.value));
    now = steady_now();
    is_woken_ = false;  // before the word is read: a later change wakes again
    auto [view, grant] = snapshot_.get();
    dispatcher_.set_cold_until(grant.cold_until);
    if (view != view_) {
      view_ = view;
      max_header_bytes_ = view->limits.max_header_bytes;
      max_body_bytes_ = view->limits.max_body_bytes;
      drop_links(*view);
      dispatcher_.see(view, now);
    }
    for (int taken = 0; event && taken < 64; ++taken) {
      on_event(*event, now);
      event = events_.take_within(std::chrono::milliseconds(0));
    }
    if (event)
      on_event(*event, now);
    if (timer_at <= now) {
      dispatcher_.on_timer(now);
      timer_at = std::max(dispatcher_.timer_next(now), now + Span{1});
    }
    act(now);
    timer_at = std::min(timer_at, std::max(dispatcher_.timer_next(now), now + Span{1}));
    std::lock_guard<std::mutex> guard(counts_mutex_);
    counts_ = dispatcher_.counts();
  }
  events_.close();  // a call that arrives from here on is refused there
  refuse_arrived();
  break_off("this daemon stops");
}

// Those that no one takes up any more.
void RoutedRelay::refuse_arrived() {
  while (auto event = events_.take_within(std::chrono::milliseconds(0)))
    if (auto* arrived = std::get_if<Arrived>(&*event))
      refuse(arrived->handle->request, 503, "this daemon stops", arrived->handle->id, stopped_retry_after, false,
             arrived->handle);
}

void RoutedRelay::on_event(TrafficEvent& event, Moment now) {
  if (auto* arrived = std::get_if<Arrived>(&event)) {
    CallIndex index = arrived->handle->index;
    calls_[index].handle = arrived->handle;
    if (auto refusal = dispatcher_.arrive(arrived->call, now, index)) {
      answer_final(*refusal, arrived->handle);
      calls_.erase(index);
    }
  } else if (auto* ended = std::get_if<RoutedEnd>(&event)) {
    auto entry = calls_.find(ended->call);
    if (entry == calls_.end() || !entry->second.send || entry->second.send->act.turn != ended->turn)
      return;  // of a send given up
    entry->second.send.reset();
    entry->second.may_have_run |= ended->kind == RoutedEndKind::lost || ended->kind == RoutedEndKind::broken;
    bool is_over = ended->kind == RoutedEndKind::answered || ended->kind == RoutedEndKind::caller_gone;
    if (is_over)
      calls_.erase(entry);
    dispatcher_.end_send(*ended, now);
  } else if (auto* begun = std::get_if<Begun>(&event)) {
    dispatcher_.answer_begun(begun->index, begun->turn, now);
  } else if (auto* piece = std::get_if<Piece>(&event)) {
    dispatcher_.first_piece(piece->index, piece->turn, now);
  } else if (auto* gone = std::get_if<Gone>(&event)) {
    auto entry = calls_.find(gone->index);
    if (entry == calls_.end())
      return;
    ++relay_counts_.callers_gone;
    give_up(entry->second);
    calls_.erase(entry);
    dispatcher_.caller_gone(gone->index, now);
  }
}

// Closes the link of the current send. Nothing of it is handed on from here.
void RoutedRelay::give_up(Entry& entry) {
  if (!entry.send)
    return;
  {
    std::lock_guard<std::mutex> guard(entry.handle->mutex);
    entry.handle->turn = 0;
  }
  entry.send->stop.cancel();
  entry.send.reset();
}

void RoutedRelay::act(Moment now) {
  for (const auto& stopped : dispatcher_.take_stops()) {
    auto entry = calls_.find(stopped.call);
    if (entry == calls_.end() || !entry->second.send || entry->second.send->act.turn != stopped.turn)
      continue;
    ++relay_counts_.stops;
    entry->second.may_have_run = true;
    give_up(entry->second);
  }
  for (const auto& wish : dispatcher_.take_sends())
    send(wish, now);
  for (const auto& final_act : dispatcher_.take_finals()) {
    auto found = calls_.find(final_act.call);
    if (found == calls_.end())
      continue;
    Entry entry = found->second;
    calls_.erase(found);
    give_up(entry);
    answer_final(final_act, entry.handle);
  }
}

void RoutedRelay::break_off(const std::string& reason) {
  while (!calls_.empty()) {
    Entry entry = calls_.begin()->second;
    calls_.erase(calls_.begin());
    bool may_have_run = entry.may_have_run || entry.send != nullptr;
    give_up(entry);
    FinalAct act{entry.handle->index, 503, reason, may_have_run, stopped_retry_after, {}};
    if (may_have_run) {  // 503 would be a promise
      act.code = 502;
      act.retry_after = Span{0};
    }
    answer_final(act, entry.handle);
  }
  links_.clear();
}

// --- send --------------------------------------------------------------------------------------------

void RoutedRelay::drop_links(const TrafficView& view) {
  for (auto entry = links_.begin(); entry != links_.end();) {
    auto row = view.runners.find(entry->first.second);
    bool is_listed = row != view.runners.end() && row->second.http == entry->first.first;
    entry = is_listed ? std::next(entry) : links_.erase(entry);
  }
}

std::shared_ptr<RoutedRelay::RunnerLink> RoutedRelay::link_to(const RoutedSend& act) {
  web::http::client::http_client_config config;
  config.set_timeout(std::chrono::seconds(600));  // the deadline is kept by the dispatcher
  config.set_max_redirects(0);                    // a redirect is the runner's answer
  bool is_number = act.http.find_first_not_of("0123456789.:") == std::string::npos;  // an address, not a name
  config.set_nativehandle_options([is_number](web::http::client::native_handle handle) {
    // Called before the library opens the socket, which takes one that is open already.
    auto* socket = static_cast<boost::asio::ip::tcp::socket*>(handle);
    boost::system::error_code fault;
    if (!socket->is_open() && is_number)
      socket->open(boost::asio::ip::tcp::v4(), fault);
    if (!socket->is_open())
      return;
    int on = 1, silent_ms = silent_link_ms;
    setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  });
  // A call that must not run twice never goes over a link that was used before: the library would
  // send it again by itself when such a link turns out closed (HttpClientBehaviour shows it).
  if (!act.is_repeatable)
    return std::make_shared<RunnerLink>(act.http, config);
  auto& link = links_[{act.http, act.runner}];
  if (!link || link->is_spoilt)
    link = std::make_shared<RunnerLink>(act.http, config);
  return link;
}

void RoutedRelay::send(const RoutedSend& act, Moment now) {
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
  http_request request(handle->method);
  try {
    request.set_request_uri(handle->target);
    for (const auto& [name, value] : handle->headers)
      request.headers().add(name, value);
    if (!words_.life_expected.empty())
      request.headers().add(words_.life_expected, act.runner.text);
    if (!words_.rank.empty())
      request.headers().add(words_.rank, std::to_string(act.rank));
    if (!words_.deadline.empty())
      request.headers().add(words_.deadline, std::to_string(std::max<std::int64_t>(1, (act.deadline - now).value)));
    if (!last.empty() && !words_.resume.empty())
      request.headers()[words_.resume] = last;
    if (!handle->body->empty()) {
      bool has_type = request.headers().has("Content-Type");
      const auto& body = *handle->body;
      request.set_body(concurrency::streams::rawptr_stream<std::uint8_t>::open_istream(body.data(), body.size()),
                       body.size());
      if (!has_type)
        request.headers().remove("Content-Type");
      // The body is not copied: it lives as long as the request, through this handler.
      request.set_progress_handler(
          [kept = handle->body](web::http::message_direction::direction, utility::size64_t) {});
    }
    sending->link = link_to(act);
  } catch (const std::exception& fault) {
    return end(sending, RoutedEndKind::unsent, fault.what());
  }
  sending->begun = now;
  try {
    sending->link->client.request(request, sending->stop.get_token())
        .then([this, sending](pplx::task<http_response> answering) {
          try {
            sending->response = answering.get();
          } catch (const std::exception& fault) {
            return take_fault(sending, fault);
          }
          take_head(sending);
        });
  } catch (const std::exception& fault) {
    end(sending, RoutedEndKind::lost, fault.what());
  }
}

void RoutedRelay::take_fault(const std::shared_ptr<Send>& send, const std::exception& fault) {
  std::string what = fault.what();
  bool is_unsent =
      what.find("Failed to connect") != std::string::npos || what.find("Error resolving") != std::string::npos;
  RoutedEnd over =
      end_of(*send, is_unsent ? RoutedEndKind::unsent : RoutedEndKind::lost, is_unsent ? "no link" : "the link broke");
  if (const auto* http_fault = dynamic_cast<const web::http::http_exception*>(&fault);
      http_fault != nullptr && is_unsent) {
    // The library tells a refused connection as an unreachable host; a real one takes its time.
    auto code = http_fault->error_code();
    bool was_quick = steady_now() - send->begun < Span{1000};
    over.was_link_refused = code == std::errc::connection_refused || (code == std::errc::host_unreachable && was_quick);
    over.was_slow_to_connect = !over.was_link_refused;
  }
  if (!is_unsent)
    ++relay_counts_.links_broken;
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

// --- relay -------------------------------------------------------------------------------------------

void RoutedRelay::take_head(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  auto discard = [&](RoutedEndKind kind, const std::string& reason) {
    end(send, kind, reason);
    send->stop.cancel();  // closes the link: what else comes of it is of no use
  };
  std::string id = header_of(headers, words_.call_id);
  if (!id.empty() && id != send->handle->id) {
    ++relay_counts_.foreign_answers;
    send->link->is_spoilt = true;
    return discard(RoutedEndKind::lost, "the answer is of another call");
  }
  bool was_not_run = status == 421 || has_header(headers, words_.not_run);
  if (was_not_run) {
    end(send, status == 421 ? RoutedEndKind::wrong_life : RoutedEndKind::refused, "status " + std::to_string(status));
    // A short body is read off, so that the link can be used again.
    if (!headers.has("Content-Length") || headers.content_length() > 65536)
      return send->stop.cancel();
    send->response.content_ready().then([link = send->link](pplx::task<http_response> done) {
      try {
        done.get();
      } catch (const std::exception&) {
      }
    });
    return;
  }
  if (!is_final_status(status))
    return discard(RoutedEndKind::lost, "no status of an answer");
  if (promises_not_run(status))
    return discard(RoutedEndKind::lost, "status " + std::to_string(status) + " without a word that it did not run");
  std::string life = header_of(headers, words_.life);
  if (!life.empty() && life != send->act.runner.text) {
    ++relay_counts_.foreign_answers;
    send->link->is_spoilt = true;
    return discard(RoutedEndKind::lost, "the answer is of another runner");
  }
  bool is_good = status >= 200 && status < 300;
  // Runners repeat the call's id. An answer without it may be one too many to an earlier call on this link;
  // a failure on a link of the call's own can't be.
  bool is_link_shared = send->act.is_repeatable;
  if (id.empty() && (is_good || is_link_shared)) {
    ++relay_counts_.foreign_answers;
    send->link->is_spoilt = true;
    return discard(RoutedEndKind::lost, "the answer does not name its call");
  }
  if (is_good && !words_.seal.empty() && !headers.has(words_.seal)) {
    ++relay_counts_.unsealed;
    return discard(RoutedEndKind::lost, "the answer lacks the runner's seal");
  }
  if (send->act.is_repeatable && headers.has("Content-Encoding"))
    return discard(RoutedEndKind::lost, "the answer is encoded");
  events_.force(Begun{send->act.call, send->act.turn});
  bool is_stream = is_good && strncasecmp(header_of(headers, "Content-Type").c_str(), "text/event-stream", 17) == 0;
  if (is_stream)
    return take_stream(send);
  bool is_stream_open = false;
  {
    std::lock_guard<std::mutex> guard(send->handle->mutex);
    is_stream_open = send->handle->is_stream_open;
  }
  if (is_stream_open)
    return discard(RoutedEndKind::broken, "the next runner gave no stream");
  take_answer(send);
}

// An answer is whole before its first byte goes to the caller.
void RoutedRelay::take_answer(const std::shared_ptr<Send>& send) {
  const auto& headers = send->response.headers();
  int status = send->response.status_code();
  bool is_framed = headers.has("Content-Length") || headers.has("Transfer-Encoding");
  if (send->handle->method == "HEAD" || status == 204 || status == 304) {
    hand_on(send, std::make_shared<std::vector<std::uint8_t>>());
    if (!is_framed)
      send->stop.cancel();
    return;
  }
  if (!is_framed || (headers.has("Content-Length") && headers.content_length() > max_answer)) {
    end(send, RoutedEndKind::lost, is_framed ? "the answer is too large" : "the answer does not tell its length");
    return send->stop.cancel();
  }
  send->response.extract_vector().then([this, send](pplx::task<std::vector<std::uint8_t>> reading) {
    auto body = std::make_shared<std::vector<std::uint8_t>>();
    bool is_whole = true;
    try {
      *body = reading.get();
      const auto& got = send->response.headers();
      is_whole = got.has("Transfer-Encoding") || body->size() == got.content_length();
    } catch (const std::exception&) {
      is_whole = false;
    }
    if (is_whole)
      return hand_on(send, body);
    ++relay_counts_.links_broken;
    end(send, RoutedEndKind::lost, "the answer was cut off");
  });
}

void RoutedRelay::hand_on(const std::shared_ptr<Send>& send, const Bytes& body) {
  auto& handle = send->handle;
  http_response response(send->response.status_code());
  response.set_reason_phrase(send->response.reason_phrase());
  copy_answer_headers(send->response.headers(), response.headers());
  if (!body->empty()) {
    bool has_type = response.headers().has("Content-Type");
    std::size_t size = body->size();
    response.set_body(concurrency::streams::bytestream::open_istream(std::move(*body)), size);
    if (!has_type)
      response.headers().remove("Content-Type");
  }
  bool is_failure = send->act.is_repeatable && send->response.status_code() >= 500;
  auto over = end_of(*send, is_failure ? RoutedEndKind::lost : RoutedEndKind::answered, is_failure ? "status" : "");
  {
    std::lock_guard<std::mutex> guard(handle->mutex);
    if (handle->turn != send->act.turn || handle->is_over)
      return;
    handle->turn = 0;
    handle->is_over = !is_failure;
    if (is_failure) {
      ++relay_counts_.own_answers_kept;
      handle->kept = response;
    }
    events_.force(over);
  }
  if (!is_failure)
    reply(handle->request, response, [handle](bool) {});
}

void RoutedRelay::take_stream(const std::shared_ptr<Send>& send) {
  auto reader = std::make_shared<PieceReader>();
  reader->source = send->response.body().streambuf();
  reader->on_bytes = [this, send](const std::string& bytes) {
    return pass_events(send, bytes);
  };
  reader->on_end = [this, send](bool is_broken) {
    end_stream(send, is_broken);
  };
  reader->next();
}

// Whole events only. False: no more is wanted.
bool RoutedRelay::pass_events(const std::shared_ptr<Send>& send, const std::string& bytes) {
  auto& handle = send->handle;
  auto events = send->cutter.feed(bytes);
  std::unique_lock<std::mutex> guard(handle->mutex);
  if (handle->turn != send->act.turn)
    return false;
  std::string out;
  for (const auto& event : events) {
    out += send->sieve.pass(event);
    ++relay_counts_.pieces;
  }
  if (send->cutter.rest().size() + send->sieve.waiting() > stream_bound) {
    guard.unlock();
    end(send, RoutedEndKind::lost, "an event is too large");
    send->stop.cancel();
    return false;
  }
  if (out.empty())
    return true;
  bool is_first = !handle->is_stream_open;
  if (is_first)
    open_stream(send);
  if (handle->pieces->in_avail() > stream_bound) {
    handle->is_over = true;
    handle->turn = 0;
    handle->pieces->close(std::ios_base::out,
                          std::make_exception_ptr(std::runtime_error("the caller reads too slowly")));
    events_.force(Gone{handle->index});
    guard.unlock();
    send->stop.cancel();
    return false;
  }
  // The buffer takes a copy at once; nothing is waited for.
  handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->sync();
  handle->last_event = send->sieve.last();
  Moment now = steady_now();
  if (now - handle->told_at >= piece_pace || is_first) {
    handle->told_at = now;
    events_.force(Piece{send->act.call, send->act.turn});
  }
  return true;
}

// The head goes out with the first event. The handle's mutex is held.
void RoutedRelay::open_stream(const std::shared_ptr<Send>& send) {
  auto& handle = send->handle;
  handle->is_stream_open = true;
  handle->pieces.emplace();
  http_response response(send->response.status_code());
  response.set_reason_phrase(send->response.reason_phrase());
  copy_answer_headers(send->response.headers(), response.headers());
  response.set_body(handle->pieces->create_istream(), header_of(send->response.headers(), "Content-Type"));
  reply(handle->request, response, [this, handle](bool was_sent) {
    if (was_sent)
      return;
    events_.force(Gone{handle->index});
  });
}

void RoutedRelay::end_stream(const std::shared_ptr<Send>& send, bool is_broken) {
  auto& handle = send->handle;
  const auto& headers = send->response.headers();
  bool is_clean = !is_broken && (headers.has("Content-Length") || headers.has("Transfer-Encoding"));
  if (!is_clean) {
    ++relay_counts_.links_broken;
    end(send, RoutedEndKind::lost, "the stream broke");
    return;
  }
  std::lock_guard<std::mutex> guard(handle->mutex);
  if (handle->turn != send->act.turn)
    return;
  // A whole answer whose last event lacks its blank line is passed on as it is.
  std::string out = send->sieve.finish() + send->cutter.rest();
  if (!handle->is_stream_open)
    open_stream(send);
  if (!out.empty())
    handle->pieces->putn_nocopy(reinterpret_cast<const std::uint8_t*>(out.data()), out.size());
  handle->pieces->close(std::ios_base::out);
  handle->is_over = true;
  handle->turn = 0;
  events_.force(end_of(*send, RoutedEndKind::answered, ""));
}

}  // namespace emberdale
