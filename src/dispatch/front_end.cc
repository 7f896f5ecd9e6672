/// @file
/// Submits, queries and cancels jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/front_end.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"

namespace limeledge::dispatch {

namespace {

constexpr std::size_t kJobIdLength = 16;

bool IsJobId(const std::string& text) {
  if (text.size() != kJobIdLength) return false;
  for (const char c : text) {
    const bool hex = absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f');
    if (!hex) return false;
  }
  return true;
}

const char* ToString(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return "submit";
    case CallKind::kQuery:
      return "query";
    case CallKind::kCancel:
      return "cancel";
    case CallKind::kOther:
      return "other";
  }
  return "";
}

const char* YesOrNo(bool value) { return value ? "yes" : "no"; }

/// Returns the version's number in logs; empty if there is none.
std::string ToString(CatalogVersion version) {
  if (version == CatalogVersion()) return "";
  return std::to_string(version.value());
}

/// True if both rows hold the same job, regardless of when it was submitted.
bool SameJob(const std::string& a, const std::string& b) {
  absl::StatusOr<JobSpec> first = DecodeJobSpec(a);
  absl::StatusOr<JobSpec> second = DecodeJobSpec(b);
  if (!first.ok() || !second.ok()) return false;
  // The policy and the time are set by the server, not by the caller.
  first->policy = second->policy;
  first->accepted_wall_ms = second->accepted_wall_ms;
  return EncodeJobSpec(*first) == EncodeJobSpec(*second);
}

/// True if the row holds the job of a submit, by whatever queue it came.
bool HoldsRequest(const std::string& row, const JobSpec& request) {
  const absl::StatusOr<JobSpec> stored = DecodeJobSpec(row);
  if (!stored.ok()) return false;
  JobSpec requested = request;
  requested.id = stored->id;
  requested.queue = stored->queue;
  requested.workspace = stored->workspace;
  return SameJob(row, EncodeJobSpec(requested));
}

/// The row with this key among rows that exist; null if there is none.
const Row* FindRow(const std::vector<Row>& rows, const RowKey& key) {
  for (const Row& row : rows) {
    const bool exists = !row.removed && row.revision != Revision();
    if (exists && row.key == key) return &row;
  }
  return nullptr;
}

/// The id at the end of a job's path; nothing if there is none.
std::optional<JobId> JobIdIn(const std::string& path) {
  if (path.size() < kJobIdLength) return std::nullopt;
  const std::string id = path.substr(path.size() - kJobIdLength);
  if (!IsJobId(id)) return std::nullopt;
  return JobId(id);
}

}  // namespace

void FrontEnd::Respond(Context& ctx, const CallReceived& call,
                       CallResult decision, const std::string& message,
                       const std::string& state, std::int64_t waiting,
                       std::optional<Duration> retry_after) {
  const CallResult result = call.may_be_applied
                                ? ResultAfterUncertainWrite(call.kind, decision)
                                : decision;
  const bool should_retry =
      result == CallResult::kNotAccepted || result == CallResult::kUnknown;
  ctx.Log(LogId::kCallAnswered, {{"call", ToString(call.kind)},
                                 {"path", call.path},
                                 {"result", ToString(result)},
                                 {"decision", ToString(decision)},
                                 {"state", state},
                                 {"reason", message},
                                 {"version", ToString(call.version)}});
  RespondToCall answer{call.call, result,      state,       waiting,
                       message,   retry_after, call.version};
  if (should_retry) answer.retry_after = RetryAfter();
  ctx.Emit(std::move(answer));
}

Duration FrontEnd::RetryAfter() const {
  // If other nodes reach the store, the next attempt will succeed there, and
  // urgent work can ill afford to wait a second. During a global outage callers
  // would only use up their retries.
  const bool others_reach_store = outage_ == StoreOutage::kLocal;
  return others_reach_store ? Duration(0) : options_.retry_after;
}

const Queue* FrontEnd::FindQueue(Context& ctx, const CallReceived& call,
                                 const Catalog& catalog, bool fresh,
                                 WorkspaceId* workspace) {
  const Queue* queue = catalog.Match(call.host, call.path);
  const auto workspace_of_key = catalog.workspace_by_key.find(call.key);
  const bool has_key = workspace_of_key != catalog.workspace_by_key.end();
  if (has_key) *workspace = workspace_of_key->second;
  const bool refused = queue == nullptr || (!queue->is_public && !has_key);
  if (!refused) return queue;
  if (!fresh) {
    Respond(ctx, call, CallResult::kNotAccepted,
            "the configuration may be old");
  } else if (queue == nullptr) {
    Respond(ctx, call, CallResult::kUnknownQueue, "no such queue");
  } else {
    Respond(ctx, call, CallResult::kUnknownKey, "the key is not known");
  }
  return nullptr;
}

void FrontEnd::Handle(Context& ctx, CallReceived call, bool store_answers) {
  const bool outdated = IsOutdatedFor(call);
  call.version = catalog_->version();
  if ((!store_answers || outdated) && CanForward(call)) {
    Forward(ctx, std::move(call));
    return;
  }
  const bool may_be_stored =
      call.kind == CallKind::kSubmit && call.may_be_applied;
  if (may_be_stored && store_answers && JobIdIn(call.path).has_value()) {
    LookUp(ctx, call);
  } else {
    Decide(ctx, call, store_answers);
  }
}

void FrontEnd::Decide(Context& ctx, const CallReceived& call,
                      bool store_answers) {
  const Catalog* catalog = catalog_->catalog();
  if (catalog == nullptr) {
    Respond(ctx, call, CallResult::kNotAccepted, "no configuration yet");
    return;
  }
  if (IsOutdatedFor(call)) {
    Respond(ctx, call, CallResult::kNotAccepted,
            "a newer configuration is in force");
    return;
  }
  const bool fresh =
      ctx.now() - catalog_->confirmed_at() < options_.max_catalog_age;
  WorkspaceId workspace;
  const Queue* queue = FindQueue(ctx, call, *catalog, fresh, &workspace);
  if (queue == nullptr) return;
  const JobId id(call.path.substr(queue->path_prefix.size()));
  const bool counts = call.kind == CallKind::kQuery && id.empty();
  if (call.kind == CallKind::kOther || (!counts && !IsJobId(id.value()))) {
    Respond(ctx, call, CallResult::kInvalid, "not a call on a job");
    return;
  }
  if (!store_answers) {
    // No request was sent, so the call certainly had no effect.
    Respond(ctx, call, CallResult::kNotAccepted, "the store does not answer");
    return;
  }
  if (call.kind != CallKind::kSubmit) {
    StartRead(ctx, call, *queue, workspace, id);
  } else if (!call.spec_error.empty()) {
    Respond(
        ctx, call,
        call.spec_too_large ? CallResult::kNeverServable : CallResult::kInvalid,
        call.spec_error);
  } else {
    Submit(ctx, call, *catalog, *queue, workspace, id);
  }
}

void FrontEnd::Forward(Context& ctx, CallReceived call) {
  call.required_version = catalog_->known_version();
  ctx.Log(LogId::kCallForwarded,
          {{"call", ToString(call.kind)},
           {"path", call.path},
           {"to", *serving_peer_},
           {"may_be_applied", YesOrNo(call.may_be_applied)},
           {"version", ToString(call.version)}});
  const Duration timeout = std::min(options_.forward_timeout, call.deadline);
  ctx.Emit(ForwardCall{std::move(call), *serving_peer_, timeout});
}

void FrontEnd::Handle(Context& ctx, const ForwardCompleted& outcome) {
  const bool responded = outcome.result.has_value();
  ctx.Log(LogId::kForwardCompleted,
          {{"path", outcome.path},
           {"from", outcome.address},
           {"result", responded ? ToString(*outcome.result) : "no response"},
           {"may_be_applied", YesOrNo(outcome.may_be_applied)},
           {"told", ToString(outcome.told)},
           {"version", ToString(outcome.version)}});
}

void FrontEnd::ForwardPending(Context& ctx, const Pending& pending) {
  CallReceived call = pending.call;
  call.deadline = pending.deadline - ctx.now();
  Forward(ctx, std::move(call));
}

void FrontEnd::LookUp(Context& ctx, const CallReceived& call) {
  Pending pending;
  pending.call = call;
  pending.deadline = ctx.now() + call.deadline;
  pending.job = *JobIdIn(call.path);
  Read(ctx, std::move(pending), Stage::kReadBeforeDecision);
}

void FrontEnd::HandleReadBeforeDecision(Context& ctx, const Pending& pending,
                                        const ReadCompleted& answer,
                                        bool store_answers) {
  const bool stored =
      answer.outcome == StoreOutcome::kDone && !answer.rows.empty() &&
      HoldsRequest(answer.rows.front().value, pending.call.spec);
  if (stored) {
    Accept(ctx, pending, "known already");
    return;
  }
  CallReceived call = pending.call;
  call.deadline = pending.deadline - ctx.now();
  call.version = catalog_->version();
  Decide(ctx, call, store_answers);
}

void FrontEnd::StartRead(Context& ctx, const CallReceived& call,
                         const Queue& queue, const WorkspaceId& workspace,
                         const JobId& id) {
  const bool counts_known =
      counts_read_at_.has_value() &&
      ctx.now() - *counts_read_at_ < options_.max_counts_age;
  if (call.kind == CallKind::kQuery && id.empty() && counts_known) {
    RespondWithCount(ctx, call, queue.id);
    return;
  }
  Pending pending;
  pending.call = call;
  pending.deadline = ctx.now() + call.deadline;
  pending.queue = queue.id;
  pending.workspace = workspace;
  pending.job = id;
  if (call.kind == CallKind::kCancel) {
    Read(ctx, std::move(pending), Stage::kReadJob);
  } else {
    Read(ctx, std::move(pending),
         id.empty() ? Stage::kCount : Stage::kReadProgress);
  }
}

bool FrontEnd::MayBeOlderThanTombstones(TimePoint now) const {
  const Duration since_pause = now - pause_ended_at_;
  return since_pause < options_.pause_backlog_time &&
         pause_time_ + since_pause > options_.max_submit_age;
}

void FrontEnd::Submit(Context& ctx, const CallReceived& call,
                      const Catalog& catalog, const Queue& queue,
                      const WorkspaceId& workspace, const JobId& id) {
  JobSpec spec = call.spec;
  spec.id = id;
  spec.queue = queue.id;
  spec.workspace = workspace;
  spec.policy = queue.policy;
  spec.accepted_wall_ms = ctx.wall_ms();
  Pending pending;
  pending.call = call;
  pending.deadline = ctx.now() + call.deadline;
  pending.job = id;
  pending.queue = queue.id;
  pending.workspace = workspace;
  pending.stage = Stage::kSubmit;
  pending.encoded_spec = EncodeJobSpec(spec);
  if (pending.encoded_spec.size() > options_.store_limits.max_row_bytes) {
    Respond(ctx, call, CallResult::kNeverServable,
            absl::StrCat("the job takes ", pending.encoded_spec.size(),
                         " bytes in the store, which accepts at most ",
                         options_.store_limits.max_row_bytes));
    return;
  }
  const RowKey key{kJobTable, id.value()};
  pending.transaction.partition = JobPartition(id.value());
  pending.transaction.conditions.push_back({key, Revision()});
  pending.transaction.conditions.push_back(
      {TombstoneKey(id.value()), Revision()});
  pending.transaction.puts.push_back({key, pending.encoded_spec});
  // A call that was passed on may have been sent to the store before.
  const bool may_be_stored = call.forwarded || stored_id_set_.count(id) != 0;
  if (!may_be_stored) {
    pending.refusal =
        admission_.Judge(ctx.now(), ctx.wall_ms(), spec, catalog, forecast_);
  }
  if (pending.refusal.has_value()) {
    Read(ctx, std::move(pending), Stage::kReadBeforeRefusal);
  } else {
    Store(ctx, std::move(pending));
  }
}

void FrontEnd::Store(Context& ctx, Pending pending) {
  if (MayBeOlderThanTombstones(ctx.now())) {
    Respond(ctx, pending.call, CallResult::kNotAccepted,
            "the node was paused, and the job may have been cancelled since");
    return;
  }
  pending.stage = Stage::kSubmit;
  pending.unanswered = 0;
  if (stored_id_set_.insert(pending.job).second) {
    stored_ids_.push_back(pending.job);
  }
  if (stored_ids_.size() > options_.max_remembered_ids) {
    stored_id_set_.erase(stored_ids_.front());
    stored_ids_.pop_front();
  }
  SendCommit(ctx, std::move(pending));
}

void FrontEnd::HandleReadBeforeRefusal(Context& ctx, Pending pending,
                                       const ReadCompleted& answer) {
  const bool absent =
      answer.outcome == StoreOutcome::kDone && answer.rows.empty();
  // A job that is stored is answered like any repeated submit.
  if (!absent || ctx.now() >= pending.refusal->valid_until) {
    Store(ctx, std::move(pending));
  } else {
    Refuse(ctx, pending);
  }
}

void FrontEnd::Refuse(Context& ctx, const Pending& pending) {
  const Refusal& refusal = *pending.refusal;
  const bool for_load = refusal.reason == RefusalReason::kPastUse;
  std::vector<LogField> fields = {{"job", pending.job.value()},
                                  {"queue", pending.queue.value()},
                                  {"workspace", pending.workspace.value()},
                                  {"reason", ToString(refusal.reason)}};
  if (for_load) {
    admission_.RecordRefusal(ctx.now());
    fields.push_back({"earliest_ms", std::to_string(refusal.earliest.ms())});
    fields.push_back({"bearable_ms", std::to_string(refusal.bearable.ms())});
  }
  if (refusal.retry_after.has_value()) {
    fields.push_back(
        {"retry_after_ms", std::to_string(refusal.retry_after->ms())});
  }
  ctx.Log(LogId::kSubmitRefused, std::move(fields));
  Respond(ctx, pending.call,
          for_load ? CallResult::kPastUse : CallResult::kNeverServable,
          refusal.message, "", -1, refusal.retry_after);
}

bool FrontEnd::CanRetry(TimePoint now, const Pending& pending,
                        bool store_answers) const {
  if (!store_answers && pending.unanswered + 1 >= kMaxUnanswered) return false;
  if (pending.unanswered + 1 >= options_.max_attempts) return false;
  return pending.deadline - now >= options_.min_attempt_time;
}

Duration FrontEnd::AttemptTimeout(TimePoint now, const Pending& pending) const {
  return std::min(store_timeout_->For(pending.unanswered),
                  std::max(pending.deadline - now, options_.min_attempt_time));
}

void FrontEnd::SendCommit(Context& ctx, Pending pending) {
  const Ticket ticket = ctx.NewTicket();
  ctx.Emit(CommitRows{ticket, StoreLane::kCallers, pending.transaction,
                      AttemptTimeout(ctx.now(), pending)});
  calls_[ticket] = std::move(pending);
}

void FrontEnd::Read(Context& ctx, Pending pending, Stage stage) {
  ReadRows read;
  if (stage == Stage::kCount) {
    read.table = kLeadershipTable;
    read.from = kWaitingKey;
  } else {
    const bool job = stage == Stage::kReadJob ||
                     stage == Stage::kReadBeforeRefusal ||
                     stage == Stage::kReadBeforeDecision;
    read.table = job ? kJobTable : kProgressTable;
    if (job) read.partition = JobPartition(pending.job.value());
    read.from = pending.job.value();
  }
  // Covers the row and its derived rows, such as the cancel marker: their
  // suffixes start with a character below '/'. Only the tombstone's starts with
  // that one, and '0' follows it.
  const bool with_tombstone = pending.call.kind == CallKind::kCancel;
  read.to = absl::StrCat(read.from, with_tombstone ? "0" : "/");
  read.limit = with_tombstone ? 3 : 2;
  pending.stage = stage;
  pending.read = std::move(read);
  pending.unanswered = 0;
  SendRead(ctx, std::move(pending));
}

void FrontEnd::SendRead(Context& ctx, Pending pending) {
  pending.read.ticket = ctx.NewTicket();
  pending.read.timeout = AttemptTimeout(ctx.now(), pending);
  pending.sent_at = ctx.now();
  ctx.Emit(pending.read);
  calls_[pending.read.ticket] = std::move(pending);
}

void FrontEnd::Handle(Context& ctx, const CommitCompleted& answer,
                      bool store_answers) {
  auto entry = calls_.extract(answer.ticket);
  Pending pending = std::move(entry.mapped());
  const bool submit = pending.stage == Stage::kSubmit;
  if (answer.outcome == StoreOutcome::kDone) {
    if (submit) {
      Accept(ctx, pending, "");
    } else if (pending.stage == Stage::kTombstone) {
      Respond(ctx, pending.call, CallResult::kUnknownJob,
              "not stored; later submits are refused");
    } else {
      Respond(ctx, pending.call, CallResult::kDone);
    }
    return;
  }
  if (answer.outcome == StoreOutcome::kConflict) {
    if (submit) {
      HandleSubmitConflict(ctx, pending, answer);
    } else {
      HandleCancelConflict(ctx, std::move(pending), answer);
    }
    return;
  }
  if (answer.outcome == StoreOutcome::kRejected) {
    Respond(ctx, pending.call, CallResult::kNeverServable,
            "the store does not accept the write");
    return;
  }
  const bool unknown = answer.outcome == StoreOutcome::kUnknown;
  if (unknown) {
    ctx.Log(LogId::kCallInDoubt,
            {{"call", ToString(pending.call.kind)},
             {"path", pending.call.path},
             {"attempt", std::to_string(pending.unanswered + 1)}});
    pending.call.may_be_applied = true;
  }
  if (CanForward(pending.call) &&
      pending.deadline - ctx.now() >= options_.min_attempt_time) {
    ForwardPending(ctx, pending);
    return;
  }
  if (unknown && CanRetry(ctx.now(), pending, store_answers)) {
    // The conditions make the retry idempotent, and its response tells whether
    // an earlier attempt was applied.
    ++pending.unanswered;
    SendCommit(ctx, std::move(pending));
    return;
  }
  Respond(ctx, pending.call, CallResult::kNotAccepted,
          pending.call.may_be_applied ? "the store's answer was lost"
                                      : "the store took nothing");
}

void FrontEnd::Accept(Context& ctx, const Pending& pending,
                      const std::string& message) {
  ctx.Log(LogId::kJobAccepted, {{"job", pending.job.value()},
                                {"queue", pending.queue.value()},
                                {"workspace", pending.workspace.value()}});
  Respond(ctx, pending.call, CallResult::kDone, message);
}

void FrontEnd::HandleSubmitConflict(Context& ctx, const Pending& pending,
                                    const CommitCompleted& answer) {
  const Row* job = FindRow(answer.rows, {kJobTable, pending.job.value()});
  if (job != nullptr) {
    if (SameJob(job->value, pending.encoded_spec)) {
      Accept(ctx, pending, "known already");
    } else {
      Respond(ctx, pending.call, CallResult::kConflict,
              "another job has this id");
    }
    return;
  }
  if (FindRow(answer.rows, TombstoneKey(pending.job.value())) != nullptr) {
    Respond(ctx, pending.call, CallResult::kCancelled,
            "the job was cancelled before it was stored", "", -1,
            options_.cancelled_retry_after);
    return;
  }
  Respond(ctx, pending.call, CallResult::kUnknown,
          "the job's row is unreadable");
}

void FrontEnd::Handle(Context& ctx, const ReadCompleted& answer,
                      bool store_answers) {
  auto entry = calls_.extract(answer.ticket);
  Pending pending = std::move(entry.mapped());
  if (pending.stage == Stage::kReadBeforeRefusal) {
    HandleReadBeforeRefusal(ctx, std::move(pending), answer);
    return;
  }
  if (pending.stage == Stage::kReadBeforeDecision) {
    HandleReadBeforeDecision(ctx, pending, answer, store_answers);
    return;
  }
  const bool no_response = answer.outcome == StoreOutcome::kUnknown;
  const bool forwards =
      answer.outcome != StoreOutcome::kDone && CanForward(pending.call) &&
      pending.deadline - ctx.now() >= options_.min_attempt_time;
  if (forwards) {
    ForwardPending(ctx, pending);
    return;
  }
  if (no_response && CanRetry(ctx.now(), pending, store_answers)) {
    ++pending.unanswered;
    SendRead(ctx, std::move(pending));
    return;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    Respond(ctx, pending.call, CallResult::kNotAccepted,
            "the store does not answer");
    return;
  }
  switch (pending.stage) {
    case Stage::kReadProgress:
      HandleProgress(ctx, std::move(pending), answer);
      return;
    case Stage::kReadJob:
      HandleJob(ctx, std::move(pending), answer);
      return;
    default:
      HandleCount(ctx, pending, answer);
      return;
  }
}

void FrontEnd::HandleProgress(Context& ctx, Pending pending,
                              const ReadCompleted& answer) {
  if (answer.rows.empty()) {
    Read(ctx, std::move(pending), Stage::kReadJob);
    return;
  }
  const absl::StatusOr<JobState> state =
      DecodeProgressState(answer.rows.front().value);
  if (!state.ok()) {
    Respond(ctx, pending.call, CallResult::kNotAccepted, "unreadable progress");
    return;
  }
  Respond(ctx, pending.call, CallResult::kDone, "", ToString(*state));
}

void FrontEnd::HandleJob(Context& ctx, Pending pending,
                         const ReadCompleted& answer) {
  if (pending.call.kind == CallKind::kCancel) {
    CancelJob(ctx, std::move(pending), answer.rows);
    return;
  }
  if (answer.rows.empty()) {
    Respond(ctx, pending.call, CallResult::kUnknownJob);
    return;
  }
  const bool cancelled = answer.rows.size() > 1;
  const JobState state = cancelled ? JobState::kCancelled : JobState::kQueued;
  Respond(ctx, pending.call, CallResult::kDone, "", ToString(state));
}

void FrontEnd::CancelJob(Context& ctx, Pending pending,
                         const std::vector<Row>& rows) {
  const std::string& id = pending.job.value();
  const RowKey cancel_key{kJobTable, absl::StrCat(id, kCancelSuffix)};
  const Row* job = FindRow(rows, {kJobTable, id});
  if (job == nullptr) {
    const Row* tombstone = FindRow(rows, TombstoneKey(id));
    WriteTombstone(ctx, std::move(pending),
                   tombstone == nullptr ? Revision() : tombstone->revision);
    return;
  }
  if (FindRow(rows, cancel_key) != nullptr) {
    Respond(ctx, pending.call, CallResult::kDone, "cancelled already");
    return;
  }
  pending.stage = Stage::kCancel;
  pending.unanswered = 0;
  pending.transaction = RowTransaction();
  pending.transaction.partition = JobPartition(id);
  pending.transaction.conditions.push_back({job->key, job->revision});
  pending.transaction.puts.push_back({cancel_key, "{}"});
  SendCommit(ctx, std::move(pending));
}

void FrontEnd::WriteTombstone(Context& ctx, Pending pending, Revision seen) {
  if (!tombstone_quota_.Take(ctx.now(), pending.workspace)) {
    Respond(ctx, pending.call, CallResult::kNotAccepted,
            "too many cancels of jobs that are not stored");
    return;
  }
  const std::string& id = pending.job.value();
  const RowKey key = TombstoneKey(id);
  pending.stage = Stage::kTombstone;
  pending.unanswered = 0;
  pending.transaction = RowTransaction();
  pending.transaction.partition = JobPartition(id);
  pending.transaction.conditions.push_back({{kJobTable, id}, Revision()});
  pending.transaction.conditions.push_back({key, seen});
  pending.transaction.puts.push_back({key, "{}"});
  SendCommit(ctx, std::move(pending));
}

void FrontEnd::HandleCancelConflict(Context& ctx, Pending pending,
                                    const CommitCompleted& answer) {
  const bool rewritten =
      pending.stage == Stage::kTombstone &&
      FindRow(answer.rows, {kJobTable, pending.job.value()}) == nullptr &&
      FindRow(answer.rows, TombstoneKey(pending.job.value())) != nullptr;
  if (rewritten) {
    // By an earlier attempt of this call, or by a cancel that came after it.
    Respond(ctx, pending.call, CallResult::kUnknownJob,
            "not stored; later submits are refused");
    return;
  }
  CancelJob(ctx, std::move(pending), answer.rows);
}

void FrontEnd::HandleCount(Context& ctx, const Pending& pending,
                           const ReadCompleted& answer) {
  WaitingCounts counts;
  if (!answer.rows.empty()) {
    absl::StatusOr<WaitingCounts> decoded =
        DecodeWaiting(answer.rows.front().value);
    if (!decoded.ok()) {
      Respond(ctx, pending.call, CallResult::kNotAccepted, "unreadable counts");
      return;
    }
    counts = *std::move(decoded);
  }
  waiting_counts_ = std::move(counts);
  counts_read_at_ = pending.sent_at;
  RespondWithCount(ctx, pending.call, pending.queue);
}

void FrontEnd::RespondWithCount(Context& ctx, const CallReceived& call,
                                const QueueId& queue) {
  const auto found = waiting_counts_.find(queue);
  const std::int64_t waiting =
      found == waiting_counts_.end() ? 0 : found->second;
  Respond(ctx, call, CallResult::kDone, "", "", waiting);
}

}  // namespace limeledge::dispatch
