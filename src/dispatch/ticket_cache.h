/// @file
/// Caches tickets of the advice service, which decides where steps may run.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_
#define LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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
  /// The same for gangs, all of whose tickets must be valid at the same time:
  /// the most that the service takes.
  std::size_t runners_per_gang_call = 100;
  /// The time that the service may take for a request, as the requests of other
  /// steps wait meanwhile. Gangs are exempt.
  Duration max_service_time{1000};
  /// A request names so many runners that the chance that none of them is
  /// allowed is at most this.
  double max_denial_chance = 0.1;
  /// Minimum remaining validity of a ticket that is used. Covers a write to the
  /// store and the start of the run.
  Duration ticket_margin{500};
  /// Delay after a failed request.
  Duration retry_pause{250};
};

/// A runner to ask about, and how many tasks of the step fit there.
struct AdviceCandidate {
  IncarnationId runner;
  int tasks = 1;
};

/// A step that waits and needs tickets.
struct AdviceRequest {
  StepName step;
  /// Number of tasks that wait.
  int tasks = 1;
  /// The tasks start together or not at all.
  bool gang = false;
  /// All members of the gang must be placed in one rack if possible, so that
  /// tickets for any of the runners may be needed.
  bool same_rack = false;
  /// Only tickets are missing: the step would start on runners that allow it,
  /// at once or after a preemption. Otherwise the request is made in advance.
  bool can_start = false;
  /// Best first.
  std::vector<AdviceCandidate> runners;
  /// The service's times for requests of this step's queue.
  Duration service_time;
  Duration service_time_per_runner;
};

/// Caches the runners that each step may run on, and decides which step is
/// asked about next. Whether a runner may run a step never changes, but its
/// ticket expires.
///
/// The service handles one request at a time and takes long for each. Steps
/// that only lack tickets go before steps that do not fit. Every second request
/// is made for the first of them in the planner's order, the others in turn, so
/// that no step waits for those ahead of it that keep asking.
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
  /// Runners on which the service does not allow the step to run. The reference
  /// is valid until the next change of the cache.
  const std::set<IncarnationId>& DeniedRunners(const StepName& step) const;

  /// Requests tickets for one of the steps, in the planner's order, unless
  /// another request is in flight. Runners with tickets that are valid for a
  /// while are not asked about again.
  void RequestTickets(Context& ctx, const std::vector<AdviceRequest>& requests);
  void Handle(Context& ctx, const AdviceReceived& answer);
  /// Removes the job's steps.
  void Forget(const JobId& job);
  /// Accounts for a pause of the process: tickets of the request in flight are
  /// older by `time` than their arrival suggests.
  void HandleProcessPause(Duration time) {
    if (request_in_flight_) paused_ = paused_ + time;
  }

 private:
  struct Grant {
    std::string ticket;
    TimePoint valid_until;
  };
  struct StepEntry {
    std::map<IncarnationId, Grant> grants;
    std::set<IncarnationId> denied;
    /// Orders the steps by when they were last asked about, or first needed
    /// tickets; 0 if the step has not needed any.
    std::int64_t turn = 0;
    bool asked = false;
  };

  /// The request to send for the step; nothing if it needs none.
  std::optional<RequestAdvice> RequestFor(TimePoint now,
                                          const AdviceRequest& request);
  /// True if there is a ticket that needs no renewal so far.
  bool HasLastingGrant(const StepEntry& step, const IncarnationId& runner,
                       TimePoint now) const;
  /// Maximum number of runners to ask about.
  std::size_t LimitOf(const AdviceRequest& request) const;
  /// The first of `unknown`, as many as probably allow that many tasks.
  std::vector<IncarnationId> SelectRunners(
      const AdviceRequest& request, const std::vector<AdviceCandidate>& unknown,
      int tasks, bool asked) const;
  /// Estimate of the share of runners that may run a step.
  double PermittedShare() const {
    return (recently_permitted_ + 1) / (recently_asked_ + 2);
  }

  AdviceOptions options_;
  bool request_in_flight_ = false;
  /// Number of other steps that needed tickets when it was sent.
  std::size_t others_waiting_ = 0;
  /// Total pause of the process since the request in flight was sent.
  Duration paused_;
  TimePoint next_request_at_;
  std::map<StepName, StepEntry> entries_;
  std::int64_t turns_ = 0;
  /// The next request is made for the step that has waited longest.
  bool longest_wait_is_next_ = false;
  /// Runners that were asked about and those allowed, recent ones weighted
  /// higher.
  double recently_asked_ = 0;
  double recently_permitted_ = 0;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_TICKET_CACHE_H_
