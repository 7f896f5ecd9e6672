/// @file
/// HTTP calls by Boost.Beast on one thread.
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
/// A peer that vanished without a word is noticed by unacknowledged bytes.
constexpr int kUserTimeoutMs = 3000;
/// Deadlines are looked at this seldom, so that a thousand calls under way do
/// not set a timer each.
constexpr Duration kDeadlineStep{10};
/// The system's timers stand still while the machine is suspended: none is
/// waited for longer than this at once, so that a deadline that went by
/// meanwhile is noticed so soon after.
constexpr std::chrono::milliseconds kLongestWait{500};
/// Kept connections that rested for too long are closed this often.
constexpr Duration kSweepInterval{1000};
constexpr int kHttp11 = 11;
/// An answer that is larger is lost: the store's pages hold 1 MB.
constexpr std::uint64_t kLargestBody = 4194304;

/// `SteadyClock` as timers take it.
struct TimerClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<TimerClock>;

  static time_point now() {
    return time_point(duration(SteadyClock().Now().ms()));
  }
};

/// How long the system is let wait for a timer.
struct TimerWait {
  static TimerClock::duration to_wait_duration(TimerClock::duration left) {
    return std::min(left, TimerClock::duration(kLongestWait));
  }
  static TimerClock::duration to_wait_duration(TimerClock::time_point at) {
    return to_wait_duration(at - TimerClock::now());
  }
};

using Timer = asio::basic_waitable_timer<TimerClock, TimerWait>;

/// An open connection. Deregisters itself from the count of open ones.
class Connection {
 public:
  Connection(asio::io_context* io, std::atomic<std::size_t>* open)
      : socket_(*io), open_(open) {
    ++*open_;
  }
  ~Connection() { --*open_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  tcp::socket& socket() { return socket_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }

  void SetOptions() {
    error_code ignored;  // Without them it works all the same, but slower.
    socket_.set_option(tcp::no_delay(true), ignored);
    setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUserTimeoutMs, sizeof(kUserTimeoutMs));
  }

  /// False if the peer has closed it, as far as is known here.
  bool IsOpen() {
    char byte = 0;
    const ssize_t read =
        recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes that nobody asked for are no answer to the next call either.
    return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  TimePoint kept_since;

 private:
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::atomic<std::size_t>* open_;
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

/// One call on its way.
struct Exchange {
  HttpCall call;
  HttpLoop::Done done;
  Request request;
  ConnectionPtr connection;
  /// The call is not sent after this; nothing for no such bound.
  std::optional<TimePoint> send_by;
  std::optional<http::response_parser<http::string_body>> parser;
  /// Where it stands among the deadlines.
  std::multimap<TimePoint, Exchange*>::iterator deadline;
};

using ExchangePtr = std::shared_ptr<Exchange>;

}  // namespace

class HttpLoop::Impl {
 public:
  explicit Impl(HttpLoopOptions options)
      : options_(options), deadline_timer_(io_), sweep_timer_(io_) {
    AwaitSweep();
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
    asked_.push_back(std::move(exchange));
    // One wake-up brings all that was asked for until then.
    if (asked_.size() == 1) asio::post(io_, [this] { TakeAsked(); });
  }

  std::size_t connections() const { return open_; }

 private:
  void TakeAsked() {
    std::vector<ExchangePtr> asked;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      asked.swap(asked_);
    }
    for (const ExchangePtr& exchange : asked) Begin(exchange);
  }

  void Begin(const ExchangePtr& exchange) {
    exchange->deadline = deadlines_.end();
    exchange->request = MakeRequest(&exchange->call);
    exchange->connection = Take(exchange->call.address);
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
    if (!endpoint.ok() || error || !MakePlace()) {
      Finish(exchange, HttpOutcome::kNotSent);
      return;
    }
    exchange->connection = std::make_unique<Connection>(&io_, &open_);
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
    http::async_write(exchange->connection->socket(), exchange->request,
                      [this, exchange](const error_code& failed, std::size_t) {
                        if (failed) {
                          Finish(exchange, HttpOutcome::kLost);
                        } else {
                          Receive(exchange);
                        }
                      });
  }

  void Receive(const ExchangePtr& exchange) {
    exchange->parser.emplace();
    exchange->parser->body_limit(kLargestBody);
    http::async_read(exchange->connection->socket(),
                     exchange->connection->buffer(), *exchange->parser,
                     [this, exchange](const error_code& failed, std::size_t) {
                       Finish(exchange, failed ? HttpOutcome::kLost
                                               : HttpOutcome::kAnswered);
                     });
  }

  void Finish(const ExchangePtr& exchange, HttpOutcome outcome) {
    DropDeadline(exchange.get());
    HttpReply reply;
    reply.outcome = outcome;
    if (outcome == HttpOutcome::kAnswered) {
      auto& message = exchange->parser->get();
      reply.status = static_cast<int>(message.result_int());
      for (const auto& field : message) {
        reply.headers.emplace(field.name_string(), field.value());
      }
      reply.body = std::move(message.body());
      if (exchange->parser->keep_alive()) {
        Keep(exchange->call.address, std::move(exchange->connection));
      }
    } else {
      // What silenced one connection may have silenced all, without a sign.
      kept_.erase(exchange->call.address);
    }
    exchange->connection = nullptr;
    exchange->done(std::move(reply));
  }

  // Kept connections.

  ConnectionPtr Take(const std::string& address) {
    const auto found = kept_.find(address);
    if (found == kept_.end()) return nullptr;
    std::vector<ConnectionPtr>& kept = found->second;
    while (!kept.empty()) {
      ConnectionPtr last = std::move(kept.back());
      kept.pop_back();
      const bool rested = clock_.Now() - last->kept_since >= options_.idle;
      if (!rested && last->IsOpen()) return last;
    }
    kept_.erase(found);
    return nullptr;
  }

  void Keep(const std::string& address, ConnectionPtr connection) {
    connection->kept_since = clock_.Now();
    kept_[address].push_back(std::move(connection));
  }

  /// Makes room for one more connection; false if all are in use.
  bool MakePlace() {
    if (open_ < options_.max_connections) return true;
    auto oldest = kept_.end();
    for (auto it = kept_.begin(); it != kept_.end(); ++it) {
      if (it->second.empty()) continue;
      const bool older =
          oldest == kept_.end() ||
          it->second.front()->kept_since < oldest->second.front()->kept_since;
      if (older) oldest = it;
    }
    if (oldest == kept_.end()) return false;
    oldest->second.erase(oldest->second.begin());
    return true;
  }

  void AwaitSweep() {
    sweep_timer_.expires_after(std::chrono::milliseconds(kSweepInterval.ms()));
    sweep_timer_.async_wait([this](const error_code& failed) {
      if (failed) return;
      Sweep();
      AwaitSweep();
    });
  }

  /// Closes what rested for too long.
  void Sweep() {
    const TimePoint now = clock_.Now();
    for (auto it = kept_.begin(); it != kept_.end();) {
      std::vector<ConnectionPtr>& kept = it->second;
      const auto rested = [this, now](const ConnectionPtr& connection) {
        return now - connection->kept_since >= options_.idle;
      };
      kept.erase(std::remove_if(kept.begin(), kept.end(), rested), kept.end());
      it = kept.empty() ? kept_.erase(it) : std::next(it);
    }
  }

  // Deadlines. One timer serves all calls.

  void SetDeadline(Exchange* exchange, Duration after) {
    DropDeadline(exchange);
    const TimePoint at = clock_.Now() + std::max(after, kDeadlineStep);
    exchange->deadline = deadlines_.emplace(at, exchange);
    if (!timer_at_.has_value() || at + kDeadlineStep <= *timer_at_) {
      AwaitDeadline();
    }
  }

  void DropDeadline(Exchange* exchange) {
    if (exchange->deadline == deadlines_.end()) return;
    deadlines_.erase(exchange->deadline);
    exchange->deadline = deadlines_.end();
  }

  void AwaitDeadline() {
    timer_at_.reset();
    if (deadlines_.empty()) return;
    const TimePoint at =
        std::max(deadlines_.begin()->first, clock_.Now() + kDeadlineStep);
    timer_at_ = at;
    deadline_timer_.expires_after(
        std::chrono::milliseconds((at - clock_.Now()).ms()));
    deadline_timer_.async_wait([this](const error_code& failed) {
      // It was set anew.
      if (failed) return;
      EndOverdue();
      AwaitDeadline();
    });
  }

  /// Closes the connections of calls whose time is over, which ends them.
  void EndOverdue() {
    const TimePoint now = clock_.Now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      Exchange* exchange = deadlines_.begin()->second;
      DropDeadline(exchange);
      error_code ignored;  // It is closed in any case.
      exchange->connection->socket().close(ignored);
    }
  }

  const HttpLoopOptions options_;
  SteadyClock clock_;
  std::atomic<std::size_t> open_ = 0;
  asio::io_context io_{1};
  Timer deadline_timer_;
  Timer sweep_timer_;
  std::optional<TimePoint> timer_at_;
  std::multimap<TimePoint, Exchange*> deadlines_;
  std::map<std::string, std::vector<ConnectionPtr>> kept_;
  std::mutex mutex_;
  /// Calls that the loop has not begun yet. Guarded by `mutex_`.
  std::vector<ExchangePtr> asked_;
  std::thread thread_;
};

HttpLoop::HttpLoop(HttpLoopOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

HttpLoop::~HttpLoop() = default;

void HttpLoop::Call(HttpCall call, Done done,
                    std::optional<Duration> send_within) {
  impl_->Call(std::move(call), std::move(done), send_within);
}

std::size_t HttpLoop::connections() const { return impl_->connections(); }

}  // namespace limeledge
