/// @file
/// Services and targets of the embedded stand-in.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/embedded_platform.h"

#include "absl/strings/str_cat.h"
#include "platform/declared_workers.h"

namespace limeledge {

namespace {

constexpr std::size_t kConnections = 32;
constexpr int kRunnerSlots = 8;
constexpr int kRunnerConnections = 60;

HttpServerOptions LoopbackOptions() {
  HttpServerOptions options;
  options.endpoint = {"127.0.0.1", 0};
  options.connections = kConnections;
  return options;
}

}  // namespace

EmbeddedPlatform::EmbeddedPlatform(const Settings& settings)
    : settings_(settings), services_(LoopbackOptions()) {}

absl::Status EmbeddedPlatform::Start() {
  absl::Status status = services_.Start();
  if (!status.ok()) return status;
  TargetHostOptions options;
  options.http = LoopbackOptions();
  options.platform = services_.address();
  targets_ = std::make_unique<TargetHost>(options);
  status = targets_->Start();
  if (!status.ok()) return status;
  return AddTargets();
}

void EmbeddedPlatform::Stop() {
  if (targets_ != nullptr) targets_->Stop();
  services_.Stop();
}

absl::Status EmbeddedPlatform::AddTargets() {
  for (const auto& [id, hall] : settings_.halls) {
    absl::Status status = AddHallTargets(id, hall, targets_.get());
    if (!status.ok()) return status;
    RunnerInfo runner;
    runner.id = RunnerId(absl::StrCat(id.value(), "-runner-1"));
    runner.hall = id;
    runner.slots = kRunnerSlots;
    runner.connections = kRunnerConnections;
    status = targets_->AddRunner(runner);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

absl::Status AddHallTargets(const HallId& id, const HallSettings& hall,
                            TargetHost* host) {
  for (const WorkerInfo& worker : DeclaredWorkers(id, hall)) {
    absl::Status status = host->AddWorker(worker);
    if (!status.ok()) return status;
  }
  return absl::OkStatus();
}

}  // namespace limeledge
