/// @file
/// The life of a request.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/request_router.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr Duration kShortestRetryAfter{100};
constexpr Duration kLongestRetryAfter{5000};
constexpr Duration kRetryAfterOutage{1000};
constexpr Duration kClaimPoll{100};
/// A recorded answer or a release waits this long for the store to return.
constexpr Duration kSettleClaim{3600000};
/// Retries that may be saved up.
constexpr double kRetryReserve = 20;
constexpr int kDefaultRetryPercent = 20;
/// Guess of the service time before any call was answered.
constexpr double kDefaultServiceMs = 50;

RetryBudget MakeBudget(int percent) {
  return RetryBudget(percent / 100.0, kRetryReserve);
}

}  // namespace

RequestRouter::RequestRouter(SlotDivision division)
    : slots_(division),
      budget_(MakeBudget(kDefaultRetryPercent)),
      budget_percent_(kDefaultRetryPercent) {}

void RequestRouter::OnArrival(Context& ctx, const RequestArrived& arrived) {
  const RequestHandle handle = next_handle_;
  next_handle_ = next_handle_.Next();
  Pending request;
  request.handle = handle;
  request.call = arrived.call;
  request.spec = arrived.request;
  request.arrived = ctx.now;
  if (ctx.shared.settings != nullptr) {
    request.settings = ctx.shared.settings->Effective(
        arrived.request.workspace, arrived.request.request_class);
  }
  const Duration allowed = arrived.request.deadline > Duration(0)
                               ? arrived.request.deadline
                               : request.settings.deadline;
  request.deadline = ctx.now + allowed;
  request.queue_until =
      std::min(request.deadline, ctx.now + request.settings.max_queue_age);
  Pending* stored = &(pending_[handle] = std::move(request));
  const std::optional<RequestReason> refusal = RefusalOf(ctx, *stored);
  if (refusal.has_value()) {
    Finish(ctx, stored, RequestOutcome::kNotRun, *refusal, "");
    return;
  }
  if (stored->spec.repeatable) {
    Enqueue(stored, false);
  } else {
    PushClaim(ctx, stored);
  }
}

void RequestRouter::OnRunnerReply(Context& ctx, const RunnerReply& reply) {
  const auto it = by_attempt_.find(reply.awaited);
  if (it == by_attempt_.end()) {
    ++ctx.shared.counters.late_answers;
    return;
  }
  Pending* request = Find(it->second);
  by_attempt_.erase(it);
  const bool avoided = slots_.OnReply(ctx.now, reply.runner, reply.outcome,
                                      ctx.now - request->sent_at);
  if (avoided) {
    ctx.Log(LogId::kRunnerAvoided, {{"runner", reply.runner.value()}});
  }
  if (reply.leaving) {
    slots_.MarkLeaving(reply.runner);
    ctx.Log(LogId::kRunnerLeaving, {{"runner", reply.runner.value()}});
  }
  switch (reply.outcome) {
    case RunnerOutcome::kAnswered:
      OnAnswered(ctx, request, reply);
      return;
    case RunnerOutcome::kRefused:
    case RunnerOutcome::kNotSent:
      OnNotStarted(ctx, request, reply);
      return;
    case RunnerOutcome::kLost:
      OnLost(ctx, request, RequestReason::kConnectionLost);
      return;
  }
}

void RequestRouter::OnClaimCreated(Context& ctx, const ClaimCreation& creation,
                                   const FinishedWrite& write) {
  Pending* request = Find(creation.request);
  if (request == nullptr) return;
  switch (write.outcome) {
    case IntentOutcome::kCommitted:
      request->claimed = true;
      request->claim_version = write.revision;
      if (request->answered) {
        Finish(ctx, request, RequestOutcome::kNotRun, RequestReason::kNone, "");
      } else {
        Enqueue(request, false);
      }
      return;
    case IntentOutcome::kConflict:
      JudgeConflict(ctx, request, write.current.front());
      return;
    case IntentOutcome::kNotWritten:
      Finish(ctx, request, RequestOutcome::kNotRun,
             RequestReason::kStoreUnavailable, "");
      return;
    case IntentOutcome::kUnknown:
      Finish(ctx, request, RequestOutcome::kUnknown,
             RequestReason::kClaimInDoubt, "");
      return;
  }
}

void RequestRouter::UpdateSlots(Context& ctx) {
  slots_.Update(ctx.now, ctx.shared.self.id,
                ctx.shared.members.Serving(ctx.now), ctx.shared.runners,
                ctx.shared.system.slot_handover);
  const int percent = ctx.shared.system.retry_share_percent;
  if (percent != budget_percent_) {
    budget_percent_ = percent;
    budget_ = MakeBudget(percent);
  }
}

void RequestRouter::OnTick(Context& ctx) {
  std::vector<RequestHandle> handles;
  handles.reserve(pending_.size());
  for (const auto& [handle, request] : pending_) handles.push_back(handle);
  for (const RequestHandle handle : handles) {
    Pending* request = Find(handle);
    if (request != nullptr) CheckAge(ctx, request);
  }
}

void RequestRouter::Dispatch(Context& ctx) {
  if (!ctx.ListIsFresh()) return;
  std::vector<Pending*> stuck;
  while (!queue_.empty() && slots_.FreeSlots(ctx.now) > 0) {
    Pending* request = Find(*queue_.Pop());
    std::optional<RunnerId> runner = slots_.Pick(ctx.now, request->tried);
    if (!runner.has_value()) {
      stuck.push_back(request);
      continue;
    }
    Send(ctx, request, *runner);
  }
  for (auto it = stuck.rbegin(); it != stuck.rend(); ++it) Enqueue(*it, true);
}

Duration RequestRouter::OldestQueued(TimePoint now) const {
  for (const auto& [handle, request] : pending_) {
    if (request.phase == Phase::kQueued) return now - request.arrived;
  }
  return Duration();
}

std::optional<RequestReason> RequestRouter::RefusalOf(
    const Context& ctx, const Pending& request) const {
  if (ctx.shared.settings == nullptr) return RequestReason::kNoRunner;
  const bool grace_over =
      ctx.shared.stopping &&
      ctx.now - ctx.shared.stop_asked_at >= ctx.shared.system.stop_grace;
  if (grace_over) return RequestReason::kLeaving;
  if (slots_.LiveRunners() == 0) return RequestReason::kNoRunner;
  const bool full = static_cast<int>(queue_.SizeOf(request.spec.workspace)) >=
                    request.settings.max_queue;
  if (full) return RequestReason::kOverloaded;
  const Duration wait = ExpectedWait(request.settings.priority);
  if (ctx.now + wait > request.queue_until) return RequestReason::kOverloaded;
  if (!request.spec.repeatable && !ctx.shared.store_reachable) {
    return RequestReason::kStoreUnavailable;
  }
  return std::nullopt;
}

Duration RequestRouter::ExpectedWait(int priority) const {
  const double ahead = static_cast<double>(queue_.AheadOf(priority));
  const double slots = std::max(1, slots_.OwnedSlots());
  const double mean = slots_.MeanServiceMs();
  const double service = mean > 0 ? mean : kDefaultServiceMs;
  return Duration(static_cast<std::int64_t>(ahead / slots * service));
}

void RequestRouter::PushClaim(Context& ctx, Pending* request) {
  request->phase = Phase::kClaiming;
  Claim claim;
  claim.holder = ctx.shared.self.id;
  claim.incarnation = ctx.shared.self.incarnation;
  claim.digest = ContentDigest(request->spec);
  claim.written_ms = ctx.wall_ms;
  const std::string key = ClaimKey(request->spec.workspace, request->spec.id);
  WriteRequest write;
  write.priority = WritePriority::kClaims;
  write.conditions = {{key, Revision(0)}};
  write.writes = {{key, EncodeClaim(claim), false}};
  write.give_up =
      std::min(request->queue_until, ctx.now + ctx.shared.system.store_wait);
  write.purpose = ClaimCreation{request->handle};
  ctx.store.Push(std::move(write));
}

void RequestRouter::JudgeConflict(Context& ctx, Pending* request,
                                  const Row& row) {
  const absl::StatusOr<Claim> claim = DecodeClaim(row.value);
  if (row.version == Revision(0) || !claim.ok()) {
    request->phase = Phase::kClaimWait;
    request->claim_again_at = ctx.now + kClaimPoll;
    return;
  }
  const ClaimVerdict verdict = JudgeClaim(*claim, ContentDigest(request->spec),
                                          HolderAlive(ctx, *claim));
  switch (verdict) {
    case ClaimVerdict::kReplay:
      ++ctx.shared.counters.claims_replayed;
      Finish(ctx, request, RequestOutcome::kAnswered, RequestReason::kNone,
             claim->answer);
      return;
    case ClaimVerdict::kMismatch:
      Finish(ctx, request, RequestOutcome::kNotRun, RequestReason::kIdReused,
             "");
      return;
    case ClaimVerdict::kUnknown:
      Finish(ctx, request, RequestOutcome::kUnknown,
             RequestReason::kClaimedEarlier, "");
      return;
    case ClaimVerdict::kWait:
      request->phase = Phase::kClaimWait;
      request->claim_again_at = ctx.now + kClaimPoll;
      return;
  }
}

bool RequestRouter::HolderAlive(const Context& ctx, const Claim& claim) const {
  if (claim.holder == ctx.shared.self.id) {
    return claim.incarnation == ctx.shared.self.incarnation;
  }
  const MemberState state = ctx.shared.members.StateOf(ctx.now, claim.holder);
  if (state == MemberState::kGone) return false;
  const auto heard = ctx.shared.heard.find(claim.holder);
  return heard == ctx.shared.heard.end() ||
         heard->second.incarnation == claim.incarnation;
}

void RequestRouter::Enqueue(Pending* request, bool front) {
  request->phase = Phase::kQueued;
  const EffectiveSettings& settings = request->settings;
  if (front) {
    queue_.PushFront(request->handle, settings.priority,
                     request->spec.workspace, settings.weight);
  } else {
    queue_.Push(request->handle, settings.priority, request->spec.workspace,
                settings.weight);
  }
}

void RequestRouter::Send(Context& ctx, Pending* request,
                         const RunnerId& runner) {
  const RunnerInfo& info = slots_.runners().at(runner).info;
  ++request->attempts;
  request->phase = Phase::kSent;
  request->runner = runner;
  request->sent_at = ctx.now;
  request->attempt = AttemptId(
      absl::StrCat(ctx.shared.self.id.value(), "-", ctx.shared.self.incarnation,
                   "-", request->handle.value(), "-", request->attempts));
  by_attempt_[request->attempt] = request->handle;
  slots_.OnSent(runner);
  if (request->attempts == 1) {
    budget_.OnFirstAttempt();
    ctx.shared.counters.queue_time.Add(ctx.now - request->arrived);
  }
  RunnerCall call;
  call.runner = runner;
  call.request = request->spec.id;
  call.attempt = request->attempt;
  call.workspace = request->spec.workspace;
  call.request_class = request->spec.request_class;
  call.timeout = request->deadline - ctx.now;
  call.payload = request->spec.payload;
  ctx.Emit(SendRunnerCall{info.address, info.connections, std::move(call)});
}

void RequestRouter::OnAnswered(Context& ctx, Pending* request,
                               const RunnerReply& reply) {
  const bool fits = reply.request == request->spec.id &&
                    reply.attempt == request->attempt &&
                    reply.workspace == request->spec.workspace;
  if (!fits) {
    ++ctx.shared.counters.foreign_answers;
    ctx.Log(LogId::kForeignAnswer, {{"runner", reply.runner.value()}});
    OnLost(ctx, request, RequestReason::kForeignAnswer);
    return;
  }
  if (request->answered) ++ctx.shared.counters.late_answers;
  Finish(ctx, request, RequestOutcome::kAnswered, RequestReason::kNone,
         reply.answer);
}

void RequestRouter::OnNotStarted(Context& ctx, Pending* request,
                                 const RunnerReply& reply) {
  request->tried.insert(reply.runner);
  const int live = slots_.LiveRunners();
  const bool all_tried = static_cast<int>(request->tried.size()) >= live;
  if (all_tried) request->tried.clear();
  if (live > 0 && MayRetry(ctx, *request)) {
    Retry(request);
    return;
  }
  Finish(ctx, request, RequestOutcome::kNotRun, RequestReason::kRefused, "");
}

void RequestRouter::OnLost(Context& ctx, Pending* request,
                           RequestReason reason) {
  request->tried.insert(request->runner);
  request->may_have_run = true;
  if (request->spec.repeatable && MayRetry(ctx, *request)) {
    Retry(request);
    return;
  }
  Finish(ctx, request, RequestOutcome::kUnknown, reason, "");
}

void RequestRouter::CheckAge(Context& ctx, Pending* request) {
  if (request->answered) return;
  switch (request->phase) {
    case Phase::kClaiming:
      if (ctx.now < request->deadline) return;
      Answer(ctx, request, RequestOutcome::kNotRun,
             RequestReason::kStoreUnavailable, "");
      return;
    case Phase::kClaimWait:
      if (ctx.now >= request->deadline) {
        Finish(ctx, request, RequestOutcome::kUnknown,
               RequestReason::kClaimedEarlier, "");
      } else if (ctx.now >= request->claim_again_at) {
        PushClaim(ctx, request);
      }
      return;
    case Phase::kQueued:
      if (ctx.now < request->queue_until) return;
      queue_.Remove(request->handle, request->settings.priority,
                    request->spec.workspace);
      Finish(ctx, request, RequestOutcome::kNotRun,
             ctx.now >= request->deadline ? RequestReason::kDeadlineBeforeSend
                                          : RequestReason::kOverloaded,
             "");
      return;
    case Phase::kSent:
      if (ctx.now < request->deadline) return;
      Answer(ctx, request, RequestOutcome::kUnknown,
             RequestReason::kDeadlineAfterSend, "");
      return;
  }
}

void RequestRouter::Retry(Pending* request) { Enqueue(request, true); }

bool RequestRouter::MayRetry(Context& ctx, const Pending& request) {
  if (request.answered || ctx.now >= request.deadline) return false;
  if (request.attempts >= request.settings.max_attempts) return false;
  if (!budget_.TakeRetry()) {
    ++ctx.shared.counters.retries_denied;
    return false;
  }
  ++ctx.shared.counters.retries;
  return true;
}

void RequestRouter::Answer(Context& ctx, Pending* request,
                           RequestOutcome outcome, RequestReason reason,
                           const std::string& text) {
  if (request->answered) return;
  request->answered = true;
  RequestCounts& counts =
      ctx.shared.counters
          .requests[{request->spec.workspace, request->spec.request_class}];
  switch (outcome) {
    case RequestOutcome::kAnswered:
      ++counts.answered;
      break;
    case RequestOutcome::kNotRun:
      ++counts.not_run;
      break;
    case RequestOutcome::kUnknown:
      ++counts.unknown;
      break;
  }
  ctx.shared.counters.request_time.Add(ctx.now - request->arrived);
  const bool may_ask_again =
      outcome == RequestOutcome::kNotRun && reason != RequestReason::kIdReused;
  RequestResult result{request->spec.id, outcome, text, reason, Duration()};
  if (may_ask_again) {
    result.retry_after = RetryAfter(reason, request->settings.priority);
  }
  ctx.Reply(request->call, std::move(result));
}

void RequestRouter::Finish(Context& ctx, Pending* request,
                           RequestOutcome outcome, RequestReason reason,
                           const std::string& text) {
  if (outcome == RequestOutcome::kNotRun && request->may_have_run) {
    outcome = RequestOutcome::kUnknown;
  }
  Answer(ctx, request, outcome, reason, text);
  if (request->claimed && outcome == RequestOutcome::kAnswered) {
    RecordAnswer(ctx, *request, text);
  }
  if (request->claimed && outcome == RequestOutcome::kNotRun) {
    ReleaseClaim(ctx, *request);
  }
  pending_.erase(request->handle);
}

void RequestRouter::RecordAnswer(Context& ctx, const Pending& request,
                                 const std::string& text) {
  Claim claim;
  claim.state = ClaimState::kAnswered;
  claim.holder = ctx.shared.self.id;
  claim.incarnation = ctx.shared.self.incarnation;
  claim.digest = ContentDigest(request.spec);
  claim.answer = text;
  claim.written_ms = ctx.wall_ms;
  const std::string key = ClaimKey(request.spec.workspace, request.spec.id);
  WriteRequest write;
  write.priority = WritePriority::kClaims;
  write.conditions = {{key, request.claim_version}};
  write.writes = {{key, EncodeClaim(claim), false}};
  write.give_up = ctx.now + kSettleClaim;
  write.purpose = ClaimAnswer{request.handle};
  ctx.store.Push(std::move(write));
}

void RequestRouter::ReleaseClaim(Context& ctx, const Pending& request) {
  const std::string key = ClaimKey(request.spec.workspace, request.spec.id);
  WriteRequest write;
  write.priority = WritePriority::kClaims;
  write.conditions = {{key, request.claim_version}};
  write.writes = {{key, "", true}};
  write.give_up = ctx.now + kSettleClaim;
  write.purpose = ClaimRelease{request.handle};
  ctx.store.Push(std::move(write));
}

Duration RequestRouter::RetryAfter(RequestReason reason, int priority) const {
  if (reason == RequestReason::kStoreUnavailable) return kRetryAfterOutage;
  const Duration wait = ExpectedWait(priority);
  return std::max(kShortestRetryAfter, std::min(kLongestRetryAfter, wait));
}

RequestRouter::Pending* RequestRouter::Find(RequestHandle handle) {
  const auto it = pending_.find(handle);
  return it == pending_.end() ? nullptr : &it->second;
}

}  // namespace limeledge
