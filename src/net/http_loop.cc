/// @file
/// Implementation of `HttpLoop` with Boost.Beast.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "net/http_loop.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "net/http_server.h"

namespace limeledge {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr char kJsonType[] = "application/json";
/// The kernel closes a connection whose data stays unacknowledged for this
/// long, so that a peer that vanished without closing it is detected.
constexpr int kUserTimeoutMs = 3000;
/// The resolution of deadlines. Deadlines that are close together share a timer
/// expiry, so that a thousand calls in progress do not each set the timer.
constexpr Duration kDeadlineResolution{10};
/// The longest single wait for a timer. System timers do not advance while the
/// machine is suspended, so a longer wait is split: a deadline that passed
/// during a suspension is noticed at most this long after it.
constexpr std::chrono::milliseconds kMaxTimerWait{500};
/// How often connections are closed that exceed the idle timeout.
constexpr Duration kSweepInterval{1000};
constexpr int kHttp11 = 11;
/// A larger response counts as lost. The store's pages are at most 1 MB.
constexpr std::uint64_t kMaxResponseBytes = 4194304;

/// Adapts `SteadyClock` to the clock requirements of Asio timers.
struct TimerClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<TimerClock>;

  static time_point now() {
    return time_point(duration(SteadyClock().Now().ms()));
  }
};

/// Limits each wait of an Asio timer to `kMaxTimerWait`.
struct TimerWait {
  static TimerClock::duration to_wait_duration(TimerClock::duration left) {
    return std::min(left, TimerClock::duration(kMaxTimerWait));
  }
  static TimerClock::duration to_wait_duration(TimerClock::time_point at) {
    return to_wait_duration(at - TimerClock::now());
  }
};

using Timer = asio::basic_waitable_timer<TimerClock, TimerWait>;

/// A connection, counted in `open` for as long as it exists.
class Connection {
 public:
  Connection(asio::io_context* io, std::atomic<std::size_t>* open)
      : socket_(*io), open_connections_(open) {
    ++*open_connections_;
  }
  ~Connection() { --*open_connections_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }

  void SetOptions() {
    error_code ignored;  // Calls also work without these options, but slower.
    socket_.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  }

  /// Returns false if the peer's close or unsolicited data has already arrived:
  /// the data would be read as the response to the next request.
  bool IsReusable() {
    // Data behind the previous response may have been read with it.
    if (buffer_.size() != 0) return false;
    char byte = 0;
    const ssize_t read =
        recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  TimePoint idle_since;

 private:
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::atomic<std::size_t>* open_connections_;
};

using ConnectionPtr = std::unique_ptr<Connection>;
using Request = http::request<http::string_body>;

Request MakeRequest(HttpCall* call) {
  Request request(http::string_to_verb(call->method), call->path, kHttp11);
  request.set(http::field::host, call->address);
  for (const auto& [name, value] : call->headers) request.set(name, value);
  if (!call->token.empty()) {
    request.set(http::field::authorization,
                absl::StrCat("Bearer ", call->token));
  }
  if (!call->if_match.empty()) {
    request.set(http::field::if_match, call->if_match);
  }
  if (!call->if_none_match.empty()) {
    request.set(http::field::if_none_match, call->if_none_match);
  }
  if (!call->body.empty()) request.set(http::field::content_type, kJsonType);
  request.body() = std::move(call->body);
  request.prepare_payload();
  return request;
}

/// A call in progress.
struct Exchange {
  HttpCall call;
  HttpLoop::Done done;
  Request request;
  ConnectionPtr connection;
  bool refused = false;
  /// The call is not sent after this time, if there is one.
  std::optional<TimePoint> send_by;
  std::optional<http::response_parser<http::string_body>> parser;
  HttpTraffic traffic;
  /// The entry of this exchange in `Impl::deadlines_`, or its end.
  std::multimap<TimePoint, Exchange*>::iterator deadline;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace

class HttpLoop::Impl {
 public:
  Impl(HttpLoopOptions options, TrafficObserver observer)
      : options_(options),
        observer_(std::move(observer)),
        deadline_timer_(io_),
        sweep_timer_(io_) {
    ScheduleSweep();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~Impl() {
    io_.stop();
    thread_.join();
  }

  void Call(HttpCall call, Done done, std::optional<Duration> send_within) {
    auto exchange = std::make_shared<Exchange>();
    exchange->call = std::move(call);
    exchange->done = std::move(done);
    if (send_within.has_value()) {
      exchange->send_by = clock_.Now() + *send_within;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_.push_back(std::move(exchange));
    // One handler starts all calls that are queued before it runs.
    if (pending_.size() == 1) asio::post(io_, [this] { StartPending(); });
  }

  std::size_t connections() const { return open_connections_; }

 private:
  void StartPending() {
    std::vector<ExchangePtr> pending;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      pending.swap(pending_);
    }
    for (const ExchangePtr& exchange : pending) Start(exchange);
  }

  void Start(const ExchangePtr& exchange) {
    exchange->deadline = deadlines_.end();
    exchange->request = MakeRequest(&exchange->call);
    exchange->connection = AcquireIdle(exchange->call.address);
    if (exchange->connection != nullptr) {
      Send(exchange);
    } else {
      Connect(exchange);
    }
  }

  void Connect(const ExchangePtr& exchange) {
    const absl::StatusOr<Endpoint> endpoint =
        ParseEndpoint(exchange->call.address);
    error_code error;
    tcp::endpoint peer;
    if (endpoint.ok()) {
      peer = tcp::endpoint(asio::ip::make_address_v4(endpoint->host, error),
                           static_cast<unsigned short>(endpoint->port));
    }
    if (!endpoint.ok() || error || !EvictIdleIfFull()) {
      Finish(exchange, HttpOutcome::kNotSent);
      return;
    }
    exchange->connection =
        std::make_unique<Connection>(&io_, &open_connections_);
    exchange->connection->socket().open(tcp::v4(), error);
    if (error) {
      Finish(exchange, HttpOutcome::kNotSent);
      return;
    }
    exchange->connection->SetOptions();
    SetDeadline(exchange.get(), exchange->call.connect_timeout);
    tcp::socket& socket = exchange->connection->socket();
    socket.async_connect(peer, [this, exchange](const error_code& failed) {
      if (failed) {
        exchange->refused = failed == asio::error::connection_refused;
        Finish(exchange, HttpOutcome::kNotSent);
      } else {
        Send(exchange);
      }
    });
  }

  void Send(const ExchangePtr& exchange) {
    const std::optional<TimePoint>& send_by = exchange->send_by;
    if (send_by.has_value() && clock_.Now() > *send_by) {
      Finish(exchange, HttpOutcome::kNotSent);
      return;
    }
    SetDeadline(exchange.get(), exchange->call.timeout);
    http::async_write(
        exchange->connection->socket(), exchange->request,
        [this, exchange](const error_code& failed, std::size_t bytes) {
          exchange->traffic.sent_bytes = bytes;
          if (failed) {
            Finish(exchange, HttpOutcome::kLost);
          } else {
            Receive(exchange);
          }
        });
  }

  void Receive(const ExchangePtr& exchange) {
    exchange->parser.emplace();
    exchange->parser->body_limit(kMaxResponseBytes);
    http::async_read(
        exchange->connection->socket(), exchange->connection->buffer(),
        *exchange->parser,
        [this, exchange](const error_code& failed, std::size_t bytes) {
          exchange->traffic.received_bytes = bytes;
          Finish(exchange,
                 failed ? HttpOutcome::kLost : HttpOutcome::kAnswered);
        });
  }

  void Finish(const ExchangePtr& exchange, HttpOutcome outcome) {
    ClearDeadline(exchange.get());
    HttpReply reply;
    reply.outcome = outcome;
    reply.refused = exchange->refused;
    if (outcome == HttpOutcome::kAnswered) {
      auto& message = exchange->parser->get();
      reply.status = static_cast<int>(message.result_int());
      for (const auto& field : message) {
        reply.headers.emplace(field.name_string(), field.value());
      }
      reply.body = std::move(message.body());
      if (exchange->parser->keep_alive()) {
        Release(exchange->call.address, std::move(exchange->connection));
      }
    } else {
      // The same fault may have broken the other connections to this address
      // without closing them.
      idle_connections_.erase(exchange->call.address);
    }
    exchange->connection = nullptr;
    if (observer_) {
      exchange->traffic.kind = exchange->call.kind;
      exchange->traffic.outcome = outcome;
      observer_(exchange->traffic);
    }
    exchange->done(std::move(reply));
  }

  // Idle connections.

  /// Returns an idle connection to an address, or null if there is none.
  ConnectionPtr AcquireIdle(const std::string& address) {
    const auto found = idle_connections_.find(address);
    if (found == idle_connections_.end()) return nullptr;
    std::vector<ConnectionPtr>& connections = found->second;
    while (!connections.empty()) {
      ConnectionPtr last = std::move(connections.back());
      connections.pop_back();
      const bool expired =
          clock_.Now() - last->idle_since >= options_.idle_timeout;
      if (!expired && last->IsReusable()) return last;
    }
    idle_connections_.erase(found);
    return nullptr;
  }

  /// Adds a connection to the idle ones.
  void Release(const std::string& address, ConnectionPtr connection) {
    connection->idle_since = clock_.Now();
    idle_connections_[address].push_back(std::move(connection));
  }

  /// Closes the longest idle connection if the limit is reached. Returns false
  /// if the limit is reached and no connection is idle.
  bool EvictIdleIfFull() {
    if (open_connections_ < options_.max_connections) return true;
    auto oldest = idle_connections_.end();
    for (auto it = idle_connections_.begin(); it != idle_connections_.end();
         ++it) {
      if (it->second.empty()) continue;
      const bool older =
          oldest == idle_connections_.end() ||
          it->second.front()->idle_since < oldest->second.front()->idle_since;
      if (older) oldest = it;
    }
    if (oldest == idle_connections_.end()) return false;
    oldest->second.erase(oldest->second.begin());
    return true;
  }

  void ScheduleSweep() {
    sweep_timer_.expires_after(std::chrono::milliseconds(kSweepInterval.ms()));
    sweep_timer_.async_wait([this](const error_code& failed) {
      if (failed) return;
      CloseExpired();
      ScheduleSweep();
    });
  }

  /// Closes the connections that exceed the idle timeout.
  void CloseExpired() {
    const TimePoint now = clock_.Now();
    for (auto it = idle_connections_.begin(); it != idle_connections_.end();) {
      std::vector<ConnectionPtr>& connections = it->second;
      const auto expired = [this, now](const ConnectionPtr& connection) {
        return now - connection->idle_since >= options_.idle_timeout;
      };
      connections.erase(
          std::remove_if(connections.begin(), connections.end(), expired),
          connections.end());
      it = connections.empty() ? idle_connections_.erase(it) : std::next(it);
    }
  }

  // Deadlines. All calls share one timer.

  void SetDeadline(Exchange* exchange, Duration timeout) {
    ClearDeadline(exchange);
    const TimePoint deadline =
        clock_.Now() + std::max(timeout, kDeadlineResolution);
    exchange->deadline = deadlines_.emplace(deadline, exchange);
    if (!timer_expiry_.has_value() ||
        deadline + kDeadlineResolution <= *timer_expiry_) {
      ScheduleDeadlineTimer();
    }
  }

  void ClearDeadline(Exchange* exchange) {
    if (exchange->deadline == deadlines_.end()) return;
    deadlines_.erase(exchange->deadline);
    exchange->deadline = deadlines_.end();
  }

  void ScheduleDeadlineTimer() {
    timer_expiry_.reset();
    if (deadlines_.empty()) return;
    const TimePoint expiry =
        std::max(deadlines_.begin()->first, clock_.Now() + kDeadlineResolution);
    timer_expiry_ = expiry;
    deadline_timer_.expires_after(
        std::chrono::milliseconds((expiry - clock_.Now()).ms()));
    deadline_timer_.async_wait([this](const error_code& failed) {
      // Canceled, because the timer was set again.
      if (failed) return;
      AbortOverdue();
      ScheduleDeadlineTimer();
    });
  }

  /// Closes the connections of calls whose deadline has passed. Their pending
  /// operations then fail, which finishes the calls.
  void AbortOverdue() {
    const TimePoint now = clock_.Now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      Exchange* exchange = deadlines_.begin()->second;
      ClearDeadline(exchange);
      error_code ignored;  // The socket is closed even on an error.
      exchange->connection->socket().close(ignored);
    }
  }

  const HttpLoopOptions options_;
  const TrafficObserver observer_;
  SteadyClock clock_;
  std::atomic<std::size_t> open_connections_ = 0;
  asio::io_context io_{1};
  Timer deadline_timer_;
  Timer sweep_timer_;
  /// When `deadline_timer_` expires, if it is set.
  std::optional<TimePoint> timer_expiry_;
  std::multimap<TimePoint, Exchange*> deadlines_;
  /// Idle connections by address, each list in the order of `idle_since`.
  std::map<std::string, std::vector<ConnectionPtr>> idle_connections_;
  std::mutex mutex_;
  /// Calls that the event loop has not started yet. Guarded by `mutex_`.
  std::vector<ExchangePtr> pending_;
  std::thread thread_;
};

HttpLoop::HttpLoop(HttpLoopOptions options, TrafficObserver observer)
    : impl_(std::make_unique<Impl>(options, std::move(observer))) {}

HttpLoop::~HttpLoop() = default;

void HttpLoop::Call(HttpCall call, Done done,
                    std::optional<Duration> send_within) {
  impl_->Call(std::move(call), std::move(done), send_within);
}

std::size_t HttpLoop::connections() const { return impl_->connections(); }

}  // namespace limeledge
