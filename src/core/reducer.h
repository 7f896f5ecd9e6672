/// @file
/// The one reducer over all events: no input or output, no clock.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_REDUCER_H_
#define LIMELEDGE_SRC_CORE_REDUCER_H_

#include <map>
#include <string>
#include <vector>

#include "core/context.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/hall_planner.h"
#include "core/janitor.h"
#include "core/job_desk.h"
#include "core/peers.h"
#include "core/request_router.h"
#include "core/settings_keeper.h"
#include "core/store_client.h"

namespace limeledge {

struct ReducerOptions {
  Identity self;
  /// Settings tree that is written when the table has none; may be empty.
  std::string initial_settings;
  SlotDivision slot_division = SlotDivision::kBySlot;
};

/// Turns events into effects. The same events always give the same effects.
///
///     Reducer reducer(options);
///     for (const Effect& effect : reducer.Reduce(event)) Perform(effect);
///
/// Thread safety: none; use it from one thread.
class Reducer {
 public:
  explicit Reducer(ReducerOptions options);

  /// Handles one event. Precondition: `event.at` does not go back.
  Effects Reduce(const Event& event);

  const Shared& shared() const { return shared_; }
  const std::map<HallId, HallPlanner>& planners() const { return planners_; }
  const RequestRouter& requests() const { return requests_; }
  const StoreClient& store() const { return store_; }
  bool ready() const { return ready_; }

 private:
  friend class EventHandler;

  void HandleWrites(Context& ctx, const std::vector<FinishedWrite>& writes);
  void ApplyRow(Context& ctx, const Row& row, bool erased);
  void NoteEnd(Context& ctx, const MirrorChange& change);
  void OnSettingsChanged(Context& ctx);
  void OnTargetsChanged(Context& ctx);
  void UpdatePlanners(Context& ctx);
  void Advance(Context& ctx, bool tick);
  void AdvanceStop(Context& ctx);
  void UpdateReady(Context& ctx);
  std::string Explain(const Context& ctx, const JobRow& job) const;
  JobExplainer Explainer() const;

  Shared shared_;
  StoreClient store_;
  SettingsKeeper settings_;
  Peers peers_;
  JobDesk jobs_;
  RequestRouter requests_;
  Janitor janitor_;
  std::map<HallId, HallPlanner> planners_;
  bool ready_ = false;
  bool told_ready_ = false;
  bool exited_ = false;
  TimePoint checked_at_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_REDUCER_H_
