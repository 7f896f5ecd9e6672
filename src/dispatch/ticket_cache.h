/// @file
/// Tickets of the service that says on which runners a step may run.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_
#define LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_

#include <map>
#include <string>
#include <vector>

#include "dispatch/context.h"
#include "dispatch/job_spec.h"

namespace limeledge::dispatch {

/// Sizes and times of asking for advice.
struct AdviceOptions {
  /// Runners that one call asks about; callers' objectives count such a call.
  std::size_t runners_per_call = 30;
  /// A ticket is used only if it holds this much longer: a write to the store
  /// and a start lie between.
  Duration ticket_margin{500};
  /// Pause after a call that failed.
  Duration retry_pause{250};
};

/// What is known of the runners that each step may run on. Whether a runner
/// may run a step never changes; tickets run out.
///
/// Thread safety: none; use it from one thread.
class TicketCache {
 public:
  explicit TicketCache(AdviceOptions options = {}) : options_(options) {}

  /// The ticket with which the step may start at the runner now; empty for
  /// none.
  std::string TicketFor(const StepName& step, const IncarnationId& runner,
                        TimePoint now) const;
  /// Runners that `step` may start on now.
  std::set<IncarnationId> AllowedRunners(const StepName& step,
                                         TimePoint now) const;

  /// Asks about some of `runners` for `step`, if no call is under way and
  /// something is to be learnt. Runners in front go first.
  void RequestTickets(Context& ctx, const StepName& step,
                      const std::vector<IncarnationId>& runners);
  void Handle(Context& ctx, const AdviceReceived& answer);
  /// Forgets the job's steps.
  void Forget(const JobId& job);
  /// The process stood still for `time`: tickets that were under way are as
  /// much older than they seem.
  void HandleProcessPause(Duration time) {
    if (request_in_flight_) paused_ = paused_ + time;
  }

 private:
  struct Entry {
    /// False for ever if the runner may not run the step.
    bool permitted = false;
    std::string ticket;
    TimePoint valid_until;
  };

  AdviceOptions options_;
  bool request_in_flight_ = false;
  /// How long the process stood still since the call under way was sent.
  Duration paused_;
  TimePoint next_request_at_;
  std::map<StepName, std::map<IncarnationId, Entry>> entries_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_
