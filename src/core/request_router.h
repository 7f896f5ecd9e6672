/// @file
/// Serves requests: claims, queue, runner calls, retries, final answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_REQUEST_ROUTER_H_
#define LIMELEDGE_SRC_CORE_REQUEST_ROUTER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/context.h"
#include "core/event.h"
#include "core/request_queue.h"
#include "core/slot_table.h"
#include "core/store_client.h"
#include "limeledge/claims.h"
#include "limeledge/retry_budget.h"

namespace limeledge {

/// Gives every request exactly one final answer, and says "not run" only of
/// what certainly did not run.
///
/// Thread safety: none; belongs to the reducer.
class RequestRouter {
 public:
  explicit RequestRouter(SlotDivision division);

  void OnArrival(Context& ctx, const RequestArrived& arrived);
  void OnRunnerReply(Context& ctx, const RunnerReply& reply);
  void OnClaimCreated(Context& ctx, const ClaimCreation& creation,
                      const FinishedWrite& write);

  /// Notes that a peer knows the runner to be leaving.
  void MarkLeaving(const RunnerId& runner) { slots_.MarkLeaving(runner); }
  /// Takes up changed members, runners or settings.
  void UpdateSlots(Context& ctx);
  /// Gives up what is too old.
  void OnTick(Context& ctx);
  /// Sends what can be sent; call it after every event.
  void Dispatch(Context& ctx);

  /// True when no caller waits and nothing is at a runner.
  bool idle() const { return pending_.empty(); }
  std::size_t queued() const { return queue_.size(); }
  std::size_t pending() const { return pending_.size(); }
  /// Age of the request that has waited longest for a runner.
  Duration OldestQueued(TimePoint now) const;
  const SlotTable& slots() const { return slots_; }

 private:
  enum class Phase { kClaiming, kClaimWait, kQueued, kSent };

  struct Pending {
    RequestHandle handle;
    CallId call;
    RequestSpec spec;
    EffectiveSettings settings;
    TimePoint arrived;
    TimePoint deadline;
    TimePoint queue_until;
    Phase phase = Phase::kQueued;
    /// The caller has its final answer.
    bool answered = false;
    bool claimed = false;
    Revision claim_version;
    TimePoint claim_again_at;
    int attempts = 0;
    /// An earlier attempt was sent and its answer lost: from then on "not run"
    /// cannot be said any more.
    bool may_have_run = false;
    AttemptId attempt;
    RunnerId runner;
    TimePoint sent_at;
    std::set<RunnerId> tried;
  };

  /// Why a new request is refused at once; nothing when it is not.
  std::optional<RequestReason> RefusalOf(const Context& ctx,
                                         const Pending& request) const;
  Duration ExpectedWait(int priority) const;
  void PushClaim(Context& ctx, Pending* request);
  void JudgeConflict(Context& ctx, Pending* request, const Row& row);
  bool HolderAlive(const Context& ctx, const Claim& claim) const;
  void Enqueue(Pending* request, bool front);
  void Send(Context& ctx, Pending* request, const RunnerId& runner);

  void OnAnswered(Context& ctx, Pending* request, const RunnerReply& reply);
  void OnNotStarted(Context& ctx, Pending* request, const RunnerReply& reply);
  void OnLost(Context& ctx, Pending* request, RequestReason reason);

  void CheckAge(Context& ctx, Pending* request);
  void Retry(Pending* request);
  bool MayRetry(Context& ctx, const Pending& request);

  /// Answers the caller, unless it was answered before.
  void Answer(Context& ctx, Pending* request, RequestOutcome outcome,
              RequestReason reason, const std::string& text);
  /// Answers, settles the claim, and forgets the request.
  void Finish(Context& ctx, Pending* request, RequestOutcome outcome,
              RequestReason reason, const std::string& text);
  void RecordAnswer(Context& ctx, const Pending& request,
                    const std::string& text);
  void ReleaseClaim(Context& ctx, const Pending& request);
  Duration RetryAfter(RequestReason reason, int priority) const;
  Pending* Find(RequestHandle handle);

  std::map<RequestHandle, Pending> pending_;
  std::unordered_map<AttemptId, RequestHandle, IdHash> by_attempt_;
  RequestQueue queue_;
  SlotTable slots_;
  RetryBudget budget_;
  int budget_percent_ = 0;
  RequestHandle next_handle_{1};
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_REQUEST_ROUTER_H_
