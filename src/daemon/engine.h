/// @file
/// The reducer and its outside interfaces as CAF actors.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_ENGINE_H_
#define LIMELEDGE_SRC_DAEMON_ENGINE_H_

#include <functional>
#include <memory>

#include "core/event.h"
#include "core/reducer.h"
#include "daemon/interfaces.h"

namespace limeledge {

/// The interfaces that an engine calls. All outlive the engine.
struct EngineInterfaces {
  TableService* table = nullptr;
  InstanceLister* lister = nullptr;
  WorkerCaller* workers = nullptr;
  RunnerCaller* runners = nullptr;
  PeerCaller* peers = nullptr;
};

/// What the engine tells its owner. Called from the reducer's thread: each
/// must return soon.
struct EngineCallbacks {
  std::function<void(const Answer&)> answer;
  std::function<void(const SettingsInForce&)> settings;
  std::function<void(const SetReady&)> ready;
  std::function<void(const LogLine&)> log;
  /// Every event before it is reduced; may be empty.
  std::function<void(const Event&)> record;
  std::function<void()> exit;
};

struct EngineOptions {
  ReducerOptions reducer;
  /// Threads that call runners, and so the most calls at once.
  int runner_lanes = 64;
  int worker_lanes = 8;
  int peer_lanes = 4;
};

/// Runs one reducer in one actor and every blocking call in other actors.
///
/// Thread safety: `Post` from any thread; the rest from one thread.
class Engine {
 public:
  Engine(EngineOptions options, EngineInterfaces interfaces,
         EngineCallbacks callbacks);
  /// Ends all actors; calls that are under way are waited for.
  ~Engine();
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  /// Hands an event to the reducer.
  void Post(EventBody body);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_ENGINE_H_
