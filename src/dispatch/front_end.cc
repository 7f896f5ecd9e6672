/// @file
/// Submitting, asking for and cancelling jobs.
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

const char* ToString(CallResult result) {
  switch (result) {
    case CallResult::kDone:
      return "done";
    case CallResult::kUnknownJob:
      return "gone";
    case CallResult::kUnknownKey:
      return "unknown key";
    case CallResult::kUnknownQueue:
      return "no queue";
    case CallResult::kInvalid:
      return "invalid";
    case CallResult::kConflict:
      return "conflict";
    case CallResult::kNotAccepted:
      return "not taken";
    case CallResult::kUnknown:
      return "unknown";
  }
  return "";
}

/// True if both rows hold the same job, whenever it was handed in.
bool SameJob(const std::string& a, const std::string& b) {
  absl::StatusOr<JobSpec> first = DecodeJobSpec(a);
  absl::StatusOr<JobSpec> second = DecodeJobSpec(b);
  if (!first.ok() || !second.ok()) return false;
  // The queue's policy and the time are not the caller's.
  first->policy = second->policy;
  first->accepted_wall_ms = second->accepted_wall_ms;
  return EncodeJobSpec(*first) == EncodeJobSpec(*second);
}

}  // namespace

void FrontEnd::Answer(Context& ctx, const CallReceived& call, CallResult result,
                      const std::string& message, const std::string& state,
                      std::int64_t waiting) {
  const bool later =
      result == CallResult::kNotAccepted || result == CallResult::kUnknown;
  ctx.Log(LogId::kCallAnswered, {{"call", ToString(call.kind)},
                                 {"path", call.path},
                                 {"result", ToString(result)},
                                 {"state", state},
                                 {"reason", message}});
  RespondToCall answer{call.call, result,  state,
                       waiting,   message, std::nullopt};
  if (later) answer.retry_after = TimeToComeBack();
  ctx.Emit(std::move(answer));
}

Duration FrontEnd::TimeToComeBack() const {
  // Their next try reaches another node, and urgent work has a second or so to
  // lose. A store that serves nobody would see them use up their tries.
  const bool others_serve = loss_ == StoreOutage::kLocal;
  return others_serve ? Duration(0) : options_.retry_after;
}

const Queue* FrontEnd::FindQueue(Context& ctx, const CallReceived& call,
                                 const Catalog& catalog, bool fresh,
                                 WorkspaceId* workspace) {
  const Queue* queue = catalog.Match(call.host, call.path);
  const auto known = catalog.workspace_by_key.find(call.key);
  const bool has_key = known != catalog.workspace_by_key.end();
  if (has_key) *workspace = known->second;
  const bool refused = queue == nullptr || (!queue->is_public && !has_key);
  if (!refused) return queue;
  if (!fresh) {
    Answer(ctx, call, CallResult::kNotAccepted, "the configuration may be old");
  } else if (queue == nullptr) {
    Answer(ctx, call, CallResult::kUnknownQueue, "no such queue");
  } else {
    Answer(ctx, call, CallResult::kUnknownKey, "the key is not known");
  }
  return nullptr;
}

void FrontEnd::Handle(Context& ctx, const CallReceived& call,
                      const Catalog* catalog, TimePoint catalog_confirmed,
                      bool store_answers) {
  if (catalog == nullptr) {
    Answer(ctx, call, CallResult::kNotAccepted, "no configuration yet");
    return;
  }
  const bool fresh = ctx.now() - catalog_confirmed < options_.catalog_fresh;
  WorkspaceId workspace;
  const Queue* queue = FindQueue(ctx, call, *catalog, fresh, &workspace);
  if (queue == nullptr) return;
  const JobId id(call.path.substr(queue->path_prefix.size()));
  const bool counts = call.kind == CallKind::kQuery && id.empty();
  if (call.kind == CallKind::kOther || (!counts && !IsJobId(id.value()))) {
    Answer(ctx, call, CallResult::kInvalid, "not a call on a job");
    return;
  }
  if (!store_answers) {
    // Nothing was sent, so the refusal is certain.
    Answer(ctx, call, CallResult::kNotAccepted, "the store does not answer");
    return;
  }
  if (call.kind != CallKind::kSubmit) {
    BeginRead(ctx, call, *queue, id);
  } else if (!call.spec_error.empty()) {
    Answer(ctx, call, CallResult::kInvalid, call.spec_error);
  } else {
    Submit(ctx, call, *queue, workspace, id);
  }
}

void FrontEnd::BeginRead(Context& ctx, const CallReceived& call,
                         const Queue& queue, const JobId& id) {
  Pending pending;
  pending.call = call;
  pending.due = ctx.now() + call.deadline;
  pending.queue = queue.id;
  pending.job = id;
  if (call.kind == CallKind::kCancel) {
    Read(ctx, std::move(pending), Stage::kReadJob);
  } else {
    Read(ctx, std::move(pending),
         id.empty() ? Stage::kCount : Stage::kReadProgress);
  }
}

void FrontEnd::Submit(Context& ctx, const CallReceived& call,
                      const Queue& queue, const WorkspaceId& workspace,
                      const JobId& id) {
  JobSpec spec = call.spec;
  spec.id = id;
  spec.queue = queue.id;
  spec.workspace = workspace;
  spec.policy = queue.policy;
  spec.accepted_wall_ms = ctx.wall_ms();
  Pending pending;
  pending.call = call;
  pending.due = ctx.now() + call.deadline;
  pending.job = id;
  pending.queue = queue.id;
  pending.workspace = workspace;
  pending.stage = Stage::kSubmit;
  pending.stored_spec = EncodeJobSpec(spec);
  const RowKey key{kJobTable, id.value()};
  pending.transaction.partition = JobPartition(id.value());
  pending.transaction.conditions.push_back({key, Revision()});
  pending.transaction.puts.push_back({key, pending.stored_spec});
  Send(ctx, std::move(pending));
}

bool FrontEnd::MayResend(TimePoint now, const Pending& pending,
                         bool store_answers) const {
  if (!store_answers && pending.misses + 1 >= kMaxUnanswered) return false;
  if (pending.misses + 1 >= options_.most_tries) return false;
  return pending.due - now >= options_.least_try;
}

Duration FrontEnd::BoundOf(TimePoint now, const Pending& pending) const {
  return std::min(patience_->For(pending.misses),
                  std::max(pending.due - now, options_.least_try));
}

void FrontEnd::Send(Context& ctx, Pending pending) {
  const Ticket ticket = ctx.NewTicket();
  ctx.Emit(CommitRows{ticket, StoreLane::kCallers, pending.transaction,
                      BoundOf(ctx.now(), pending)});
  calls_[ticket] = std::move(pending);
}

void FrontEnd::Read(Context& ctx, Pending pending, Stage stage) {
  ReadRows read;
  if (stage == Stage::kCount) {
    read.table = kLeadershipTable;
    read.from = kWaitingKey;
  } else {
    const bool job = stage == Stage::kReadJob;
    read.table = job ? kJobTable : kProgressTable;
    if (job) read.partition = JobPartition(pending.job.value());
    read.from = pending.job.value();
  }
  // The job and its cancelling: keys go on with a sign below '/'.
  read.to = absl::StrCat(read.from, "/");
  read.limit = 2;
  pending.stage = stage;
  pending.read = std::move(read);
  pending.misses = 0;
  SendRead(ctx, std::move(pending));
}

void FrontEnd::SendRead(Context& ctx, Pending pending) {
  pending.read.ticket = ctx.NewTicket();
  pending.read.timeout = BoundOf(ctx.now(), pending);
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
    } else {
      Answer(ctx, pending.call, CallResult::kDone);
    }
    return;
  }
  if (answer.outcome == StoreOutcome::kConflict) {
    if (submit) {
      TakeSubmit(ctx, pending, answer);
    } else {
      // The job was cleared away meanwhile.
      Answer(ctx, pending.call, CallResult::kUnknownJob);
    }
    return;
  }
  const bool unknown = answer.outcome == StoreOutcome::kUnknown;
  pending.unsettled = pending.unsettled || unknown;
  if (unknown && MayResend(ctx.now(), pending, store_answers)) {
    // The condition makes a further sending harmless, and settles the first.
    ++pending.misses;
    Send(ctx, std::move(pending));
    return;
  }
  Answer(ctx, pending.call,
         pending.unsettled ? CallResult::kUnknown : CallResult::kNotAccepted,
         pending.unsettled ? "the store's answer was lost"
                           : "the store took nothing");
}

void FrontEnd::Accept(Context& ctx, const Pending& pending,
                      const std::string& message) {
  ctx.Log(LogId::kJobAccepted, {{"job", pending.job.value()},
                                {"queue", pending.queue.value()},
                                {"workspace", pending.workspace.value()}});
  Answer(ctx, pending.call, CallResult::kDone, message);
}

void FrontEnd::TakeSubmit(Context& ctx, const Pending& pending,
                          const CommitCompleted& answer) {
  for (const Row& row : answer.rows) {
    if (row.key.key != pending.job.value()) continue;
    if (SameJob(row.value, pending.stored_spec)) {
      Accept(ctx, pending, "known already");
    } else {
      Answer(ctx, pending.call, CallResult::kConflict,
             "another job has this id");
    }
    return;
  }
  Answer(ctx, pending.call, CallResult::kUnknown,
         "the job's row is unreadable");
}

void FrontEnd::Handle(Context& ctx, const ReadCompleted& answer,
                      bool store_answers) {
  auto entry = calls_.extract(answer.ticket);
  Pending pending = std::move(entry.mapped());
  const bool lost = answer.outcome == StoreOutcome::kUnknown;
  if (lost && MayResend(ctx.now(), pending, store_answers)) {
    ++pending.misses;
    SendRead(ctx, std::move(pending));
    return;
  }
  if (answer.outcome != StoreOutcome::kDone) {
    Answer(ctx, pending.call, CallResult::kNotAccepted,
           "the store does not answer");
    return;
  }
  switch (pending.stage) {
    case Stage::kReadProgress:
      TakeProgress(ctx, std::move(pending), answer);
      return;
    case Stage::kReadJob:
      TakeJob(ctx, std::move(pending), answer);
      return;
    default:
      TakeCount(ctx, pending, answer);
      return;
  }
}

void FrontEnd::TakeProgress(Context& ctx, Pending pending,
                            const ReadCompleted& answer) {
  if (answer.rows.empty()) {
    Read(ctx, std::move(pending), Stage::kReadJob);
    return;
  }
  const absl::StatusOr<JobState> state =
      DecodeProgressState(answer.rows.front().value);
  if (!state.ok()) {
    Answer(ctx, pending.call, CallResult::kNotAccepted, "unreadable progress");
    return;
  }
  Answer(ctx, pending.call, CallResult::kDone, "", ToString(*state));
}

void FrontEnd::TakeJob(Context& ctx, Pending pending,
                       const ReadCompleted& answer) {
  if (answer.rows.empty()) {
    Answer(ctx, pending.call, CallResult::kUnknownJob);
    return;
  }
  const bool cancelled = answer.rows.size() > 1;
  if (pending.call.kind == CallKind::kQuery) {
    const JobState state = cancelled ? JobState::kCancelled : JobState::kQueued;
    Answer(ctx, pending.call, CallResult::kDone, "", ToString(state));
    return;
  }
  if (cancelled) {
    Answer(ctx, pending.call, CallResult::kDone, "cancelled already");
    return;
  }
  pending.stage = Stage::kCancel;
  pending.misses = 0;
  const Row& job = answer.rows.front();
  pending.transaction.partition = JobPartition(pending.job.value());
  pending.transaction.conditions.push_back({job.key, job.revision});
  pending.transaction.puts.push_back(
      {{kJobTable, absl::StrCat(pending.job.value(), kCancelSuffix)}, "{}"});
  Send(ctx, std::move(pending));
}

void FrontEnd::TakeCount(Context& ctx, const Pending& pending,
                         const ReadCompleted& answer) {
  std::int64_t waiting = 0;
  if (!answer.rows.empty()) {
    const absl::StatusOr<WaitingCounts> counts =
        DecodeWaiting(answer.rows.front().value);
    if (!counts.ok()) {
      Answer(ctx, pending.call, CallResult::kNotAccepted, "unreadable counts");
      return;
    }
    const auto found = counts->find(pending.queue);
    if (found != counts->end()) waiting = found->second;
  }
  Answer(ctx, pending.call, CallResult::kDone, "", "", waiting);
}

}  // namespace limeledge::dispatch
