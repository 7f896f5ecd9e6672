/// @file
/// Caches tickets of the advice service, which decides where steps may run.
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

/// Limits and delays of requests to the advice service.
struct AdviceOptions {
  /// Maximum number of runners in one request. Requests count towards the
  /// objectives of callers.
  std::size_t runners_per_call = 30;
  /// Minimum remaining validity of a ticket that is used. Covers a write to the
  /// store and the start of the run.
  Duration ticket_margin{500};
  /// Delay after a failed request.
  Duration retry_pause{250};
};

/// Caches the runners that each step may run on. Whether a runner may run a
/// step never changes, but its ticket expires.
///
/// Thread safety: none; use it from one thread.
class TicketCache {
 public:
  explicit TicketCache(AdviceOptions options = {}) : options_(options) {}

  /// The ticket for starting the step on the runner; empty if there is none.
  std::string TicketFor(const StepName& step, const IncarnationId& runner,
                        TimePoint now) const;
  /// Runners where `step` may start now.
  std::set<IncarnationId> AllowedRunners(const StepName& step,
                                         TimePoint now) const;

  /// Requests tickets for `step` from the first of `runners` that have none or
  /// whose tickets expire soon, unless another request is in flight.
  void RequestTickets(Context& ctx, const StepName& step,
                      const std::vector<IncarnationId>& runners);
  void Handle(Context& ctx, const AdviceReceived& answer);
  /// Removes the job's steps.
  void Forget(const JobId& job);
  /// Accounts for a pause of the process: tickets of the request in flight are
  /// older by `time` than their arrival suggests.
  void HandleProcessPause(Duration time) {
    if (request_in_flight_) paused_ = paused_ + time;
  }

 private:
  struct Entry {
    /// False if the runner may not run the step; this never changes.
    bool permitted = false;
    std::string ticket;
    TimePoint valid_until;
  };

  AdviceOptions options_;
  bool request_in_flight_ = false;
  /// Total pause of the process since the request in flight was sent.
  Duration paused_;
  TimePoint next_request_at_;
  std::map<StepName, std::map<IncarnationId, Entry>> entries_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_
