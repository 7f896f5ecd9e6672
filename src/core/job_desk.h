/// @file
/// Callers' jobs: submit, show, list, wait, cancel.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_JOB_DESK_H_
#define LIMELEDGE_SRC_CORE_JOB_DESK_H_

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/context.h"
#include "core/event.h"
#include "core/store_client.h"

namespace limeledge {

/// Explains in words why a job is in its state.
using JobExplainer = std::function<std::string(const Context&, const JobRow&)>;

/// Answers callers about jobs and writes what they ask for.
///
/// Thread safety: none; belongs to the reducer.
class JobDesk {
 public:
  void OnSubmitted(Context& ctx, const JobSubmitted& submitted);
  void OnAsked(Context& ctx, const JobAsked& asked,
               const JobExplainer& explain);
  void OnListAsked(Context& ctx, const JobsAsked& asked,
                   const JobExplainer& explain);
  void OnCancelAsked(Context& ctx, const JobCancelAsked& asked);

  void OnCreationFinished(Context& ctx, const JobCreation& creation,
                          const FinishedWrite& write);
  void OnCancellationFinished(Context& ctx, const JobCancellation& cancel,
                              const FinishedWrite& write);
  /// Answers those who wait for the job's end.
  void OnJobChanged(Context& ctx, const MirrorChange& change);
  /// Answers those whose job was not known until the last reading.
  void OnRowsRead(Context& ctx, const JobExplainer& explain);
  /// Gives up calls whose time is over.
  void OnTick(Context& ctx, const JobExplainer& explain);
  /// Answers every waiting caller with the present state.
  void AnswerWaiters(Context& ctx, const JobExplainer& explain);

  bool idle() const {
    return open_.empty() && waiters_.empty() && misses_.empty();
  }

 private:
  struct Waiter {
    CallId call;
    TimePoint until;
  };

  /// A call about a job that the mirror does not have: another instance may
  /// have stored it a moment ago, so a fresh reading decides.
  struct Miss {
    std::variant<JobAsked, JobCancelAsked> question;
    std::int64_t reading = 0;
    TimePoint until;
  };

  /// Returns the job if the scope allows it, or null.
  static const JobRow* Find(const Context& ctx, const AccessScope& scope,
                            const JobId& job);
  void Postpone(Context& ctx, std::variant<JobAsked, JobCancelAsked> question);
  /// Answers a postponed question if it can be; returns false to keep it.
  bool Settle(Context& ctx, const Miss& miss, const JobExplainer& explain);
  void AnswerAsked(Context& ctx, const JobAsked& asked, const JobRow& job,
                   const JobExplainer& explain);
  void AnswerCancel(Context& ctx, const JobCancelAsked& asked,
                    const JobRow& job);
  void AnswerCreated(Context& ctx, CallId call, const JobSpec& wanted,
                     const JobRow& existing);
  void PushCancel(Context& ctx, CallId call, const JobRow& job);
  /// Answers a call that waits for a write, once.
  bool TakeOpen(CallId call) { return open_.erase(call) != 0; }

  /// Calls that wait for a write, with the moment at which they are told that
  /// its fate is unknown.
  std::map<CallId, TimePoint> open_;
  std::map<JobId, std::vector<Waiter>> waiters_;
  std::vector<Miss> misses_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_JOB_DESK_H_
