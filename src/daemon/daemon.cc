/// @file
/// A daemon's parts and their order of start and stop.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/daemon.h"

#include <chrono>
#include <fstream>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/event_codec.h"
#include "codec/message_codec.h"
#include "daemon/access.h"
#include "daemon/api_server.h"
#include "daemon/call_table.h"
#include "daemon/engine.h"
#include "daemon/http_interfaces.h"
#include "daemon/log_writer.h"
#include "daemon/rpc.h"
#include "platform/embedded_platform.h"
#include "settings/reader.h"

namespace limeledge {

namespace {

constexpr Duration kPeerAnswerLimit{1000};
constexpr std::size_t kPeerConnections = 16;
constexpr std::size_t kMaxPeerBody = 4 << 20;

std::int64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

HttpServerOptions ApiOptions(const ProcessConfig& config) {
  HttpServerOptions options;
  options.endpoint = config.listen;
  options.connections = config.connections;
  options.max_body_bytes = config.max_body_bytes;
  options.read_timeout = config.read_timeout;
  return options;
}

HttpServerOptions PeerOptions(const ProcessConfig& config) {
  HttpServerOptions options;
  options.endpoint = config.peer_listen;
  options.connections = kPeerConnections;
  options.max_body_bytes = kMaxPeerBody;
  return options;
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(ProcessConfig config, std::function<void()> on_exit)
      : config_(std::move(config)),
        on_exit_(std::move(on_exit)),
        rpc_(
            [this](const std::string& message, std::string* result) {
              return OnHeartbeat(message, result);
            },
            [this](const std::string&, std::string* result) {
              return OnSettingsCopy(result);
            }),
        api_(ApiOptions(config_), &access_, &calls_,
             [this](EventBody body) { Post(std::move(body)); }),
        peer_server_(PeerOptions(config_)) {
    peer_server_.routes().Post(kRpcPath, [this](const httplib::Request& request,
                                                httplib::Response& response) {
      response.set_content(rpc_.Handle(request.body), "application/json");
    });
  }

  ~Impl() {
    // The engine goes last: handlers that still run post to it.
    api_.Stop();
    peer_server_.Stop();
    engine_.reset();
    if (embedded_ != nullptr) embedded_->Stop();
  }

  absl::Status Start() {
    // The reducer must be there before the first call comes in, and learns the
    // address for workers' notices, which may be a free port, at its start.
    absl::Status status = peer_server_.Start();
    if (status.ok()) status = api_.Start();
    if (status.ok() && config_.platform == PlatformKind::kEmbedded) {
      status = StartEmbedded();
    }
    if (!status.ok()) return status;
    StartEngine();
    Log({LogId::kStarted,
         {{"listen", api_.address()},
          {"peer_listen", peer_server_.address()}}});
    return absl::OkStatus();
  }

  void AskStop() { Post(StopAsked{}); }

  std::string api_address() const { return api_.address(); }
  std::string peer_address() const { return peer_server_.address(); }

 private:
  absl::Status StartEmbedded() {
    Findings findings("settings");
    std::shared_ptr<const Settings> settings =
        ReadSettings(config_.initial_settings, &findings);
    if (settings == nullptr) return findings.ToStatus();
    embedded_ = std::make_unique<EmbeddedPlatform>(*settings);
    absl::Status status = embedded_->Start();
    if (!status.ok()) return status;
    embedded_->AddEntry(
        {config_.id, Address(peer_server_.address()), config_.hall, false});
    config_.platform_address = embedded_->address();
    return absl::OkStatus();
  }

  void StartEngine() {
    table_.emplace(config_.platform_address, &client_);
    lister_.emplace(config_.platform_address, &client_);
    EngineOptions options;
    options.runner_lanes = config_.runner_lanes;
    options.worker_lanes = config_.worker_lanes;
    options.reducer.self = {config_.id, NewIncarnation(), config_.hall,
                            api_.address()};
    options.reducer.initial_settings = config_.initial_settings;
    options.reducer.slot_division = config_.slot_division;
    EngineInterfaces interfaces;
    interfaces.table = &*table_;
    interfaces.lister = &*lister_;
    interfaces.workers = &workers_;
    interfaces.runners = &runners_;
    interfaces.peers = &peers_;
    EngineCallbacks callbacks;
    callbacks.answer = [this](const Answer& answer) {
      calls_.Deliver(answer.call, answer.body);
    };
    callbacks.settings = [this](const SettingsInForce& effect) {
      access_.SetSettings(effect.settings);
    };
    callbacks.ready = [this](const SetReady& effect) {
      api_.SetReady(effect.ready);
    };
    callbacks.log = [this](const LogLine& line) { Log(line); };
    callbacks.exit = [this] { on_exit_(); };
    if (!config_.record.empty()) {
      record_.open(config_.record, std::ios::trunc);
      record_ << EncodeSessionHeader(options.reducer) << "\n";
      callbacks.record = [this](const Event& event) {
        record_ << EncodeEvent(event) << "\n";
      };
    }
    auto engine = std::make_unique<Engine>(std::move(options), interfaces,
                                           std::move(callbacks));
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    engine_ = std::move(engine);
  }

  void Post(EventBody body) {
    const std::lock_guard<std::mutex> lock(engine_mutex_);
    if (engine_ != nullptr) engine_->Post(std::move(body));
  }

  bool OnHeartbeat(const std::string& message, std::string* result) {
    const absl::StatusOr<Heartbeat> heartbeat = DecodeHeartbeat(message);
    if (!heartbeat.ok()) return false;
    const std::optional<AnswerBody> answer = Ask([&](CallId call) {
      return HeartbeatArrived{call, *heartbeat};
    });
    const auto* own =
        answer.has_value() ? std::get_if<Heartbeat>(&*answer) : nullptr;
    if (own == nullptr) return false;
    *result = EncodeHeartbeat(*own);
    return true;
  }

  bool OnSettingsCopy(std::string* result) {
    const std::optional<AnswerBody> answer =
        Ask([](CallId call) { return SettingsCopyAsked{call}; });
    const auto* copy =
        answer.has_value() ? std::get_if<SettingsCopy>(&*answer) : nullptr;
    if (copy == nullptr) return false;
    *result = EncodeSettingsCopy(*copy);
    return true;
  }

  std::optional<AnswerBody> Ask(const std::function<EventBody(CallId)>& make) {
    CallTable::Opened opened = calls_.Open();
    Post(make(opened.call));
    return calls_.Wait(std::move(opened), kPeerAnswerLimit);
  }

  void Log(const LogLine& line) { WriteLogLine(line, config_.id.value()); }

  ProcessConfig config_;
  std::function<void()> on_exit_;
  Access access_;
  CallTable calls_;
  HttpClient client_;
  std::optional<HttpTableService> table_;
  std::optional<HttpInstanceLister> lister_;
  HttpWorkerCaller workers_{&client_};
  HttpRunnerCaller runners_{&client_};
  RpcPeerCaller peers_{&client_};
  RpcServer rpc_;
  std::ofstream record_;
  std::unique_ptr<EmbeddedPlatform> embedded_;
  std::mutex engine_mutex_;
  std::unique_ptr<Engine> engine_;
  ApiServer api_;
  HttpServer peer_server_;
};

Daemon::Daemon(ProcessConfig config, std::function<void()> on_exit)
    : impl_(std::make_unique<Impl>(std::move(config), std::move(on_exit))) {}

Daemon::~Daemon() = default;

absl::Status Daemon::Start() { return impl_->Start(); }

void Daemon::AskStop() { impl_->AskStop(); }

std::string Daemon::api_address() const { return impl_->api_address(); }

std::string Daemon::peer_address() const { return impl_->peer_address(); }

}  // namespace limeledge
