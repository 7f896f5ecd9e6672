/// @file
/// CAF actors around the reducer.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/engine.h"

#include <atomic>
#include <caf/all.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "limeledge/clock.h"

namespace limeledge {

/// An event on its way to the reducer.
struct PostedEvent {
  EventBody body;
};

/// A blocking call on its way to a lane.
struct LaneTask {
  std::function<void()> run;
};

struct TickTime {};

}  // namespace limeledge

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limeledge::PostedEvent)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limeledge::LaneTask)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limeledge::TickTime)

namespace limeledge {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};

std::int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

caf::behavior LaneBehavior(caf::event_based_actor*) {
  return {[](const LaneTask& task) { task.run(); }};
}

/// Actors with a thread each that carry out blocking calls.
class LanePool {
 public:
  LanePool(caf::actor_system& system, int lanes) {
    for (int i = 0; i < lanes; ++i) {
      lanes_.push_back({system.spawn<caf::detached>(LaneBehavior),
                        std::make_shared<std::atomic<int>>(0)});
    }
  }

  /// Hands the task to the lane with the least to do.
  /// Precondition: called from one thread.
  void Run(std::function<void()> task) {
    Lane* least = &lanes_.front();
    for (Lane& lane : lanes_) {
      if (*lane.waiting < *least->waiting) least = &lane;
      if (*least->waiting == 0) break;
    }
    const std::shared_ptr<std::atomic<int>> waiting = least->waiting;
    ++*waiting;
    caf::anon_send(least->actor, LaneTask{[waiting, task = std::move(task)] {
                     task();
                     --*waiting;
                   }});
  }

  void Stop() {
    for (Lane& lane : lanes_) {
      caf::anon_send_exit(lane.actor, caf::exit_reason::user_shutdown);
    }
    lanes_.clear();
  }

 private:
  struct Lane {
    caf::actor actor;
    std::shared_ptr<std::atomic<int>> waiting;
  };
  std::vector<Lane> lanes_;
};

class Config : public caf::actor_system_config {
 public:
  Config() {
    // Everything that waits has a thread of its own; the shared scheduler has
    // next to nothing to do.
    set("scheduler.max-threads", 1);
    set("scheduler.policy", caf::atom("sharing"));
  }
};

}  // namespace

class Engine::Impl {
 public:
  Impl(EngineOptions options, EngineInterfaces interfaces,
       EngineCallbacks callbacks)
      : system_(config_),
        reducer_(std::move(options.reducer)),
        interfaces_(interfaces),
        callbacks_(std::move(callbacks)),
        table_writer_(system_, 1),
        table_reader_(system_, 1),
        lister_(system_, 1),
        peers_(system_, options.peer_lanes),
        workers_(system_, options.worker_lanes),
        runners_(system_, options.runner_lanes) {
    actor_ = system_.spawn<caf::detached>(
        [this](caf::event_based_actor* self) -> caf::behavior {
          self->delayed_send(self, kTickInterval, TickTime{});
          return {[this](const PostedEvent& event) { Reduce(event.body); },
                  [this, self](const TickTime&) {
                    self->delayed_send(self, kTickInterval, TickTime{});
                    Reduce(Tick{});
                  }};
        });
  }

  ~Impl() {
    caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
    actor_ = nullptr;
    for (LanePool* pool : {&table_writer_, &table_reader_, &lister_, &peers_,
                           &workers_, &runners_}) {
      pool->Stop();
    }
    system_.await_all_actors_done();
  }

  void Post(EventBody body) {
    caf::anon_send(actor_, PostedEvent{std::move(body)});
  }

 private:
  void Reduce(const EventBody& body) {
    const Event event{clock_.Now(), WallMs(), body};
    if (callbacks_.record) callbacks_.record(event);
    Effects effects = reducer_.Reduce(event);
    for (Effect& effect : effects) {
      std::visit([this](auto& e) { Perform(std::move(e)); }, effect);
    }
  }

  void Perform(SendTransaction effect) {
    table_writer_.Run([this, effect = std::move(effect)] {
      Post(TransactionReplied{interfaces_.table->Commit(effect.transaction)});
    });
  }
  void Perform(ReadRows effect) {
    table_reader_.Run([this, effect] {
      Post(RowsRead{interfaces_.table->Changes(effect.since)});
    });
  }
  void Perform(ReadClaims effect) {
    table_reader_.Run([this, effect] {
      Post(ClaimsRead{interfaces_.table->Claims(effect.since, kClaimsAtOnce)});
    });
  }
  void Perform(FetchRows effect) {
    table_reader_.Run([this, effect = std::move(effect)] {
      Post(RowsFetched{effect.call, interfaces_.table->Read(effect.keys)});
    });
  }
  void Perform(ReadInstanceList) {
    lister_.Run([this] { Post(InstanceListRead{interfaces_.lister->List()}); });
  }
  void Perform(SendHeartbeat effect) {
    peers_.Run([this, effect = std::move(effect)] {
      Post(HeartbeatAnswered{
          effect.peer,
          interfaces_.peers->SendHeartbeat(effect.address, effect.heartbeat)});
    });
  }
  void Perform(FetchSettings effect) {
    peers_.Run([this, effect = std::move(effect)] {
      Post(SettingsCopyArrived{
          effect.peer, interfaces_.peers->FetchSettings(effect.address)});
    });
  }
  void Perform(SendExchange effect) {
    workers_.Run([this, effect = std::move(effect)] {
      const WorkerExchange& exchange = effect.exchange;
      Post(WorkerReplied{
          exchange.worker, exchange.hall, exchange.epoch, exchange.sequence,
          interfaces_.workers->Exchange(effect.address, exchange)});
    });
  }
  void Perform(SendRunnerCall effect) {
    runners_.Run([this, effect = std::move(effect)] {
      Post(RunnerReplied{
          interfaces_.runners->Call(effect.address, effect.call)});
    });
  }
  void Perform(const Answer& effect) { callbacks_.answer(effect); }
  void Perform(const SettingsInForce& effect) { callbacks_.settings(effect); }
  void Perform(const SetReady& effect) { callbacks_.ready(effect); }
  void Perform(const WriteLog& effect) { callbacks_.log(effect.line); }
  void Perform(Exit) { callbacks_.exit(); }

  Config config_;
  caf::actor_system system_;
  SteadyClock clock_;
  Reducer reducer_;
  EngineInterfaces interfaces_;
  EngineCallbacks callbacks_;
  LanePool table_writer_;
  LanePool table_reader_;
  LanePool lister_;
  LanePool peers_;
  LanePool workers_;
  LanePool runners_;
  caf::actor actor_;
};

Engine::Engine(EngineOptions options, EngineInterfaces interfaces,
               EngineCallbacks callbacks)
    : impl_(std::make_unique<Impl>(std::move(options), interfaces,
                                   std::move(callbacks))) {}

Engine::~Engine() = default;

void Engine::Post(EventBody body) { impl_->Post(std::move(body)); }

}  // namespace limeledge
