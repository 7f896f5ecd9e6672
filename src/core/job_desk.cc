/// @file
/// Job calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/job_desk.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/row_codec.h"
#include "core/admission.h"

namespace limeledge {

namespace {

constexpr Duration kRetryAfter{1000};
/// How much longer than a write's own time a caller waits for its fate.
constexpr Duration kDoubt{1000};

Failure NotReady() {
  return {absl::UnavailableError(
              "not run: this instance has not read the table yet"),
          {},
          kRetryAfter};
}

Failure NoSuchJob(const JobId& job) {
  return {absl::NotFoundError(
              absl::StrCat("no job '", JobName(job), "' in this workspace")),
          {},
          Duration()};
}

Failure InDoubt() {
  return {absl::DeadlineExceededError(
              "unknown: the table service did not answer; send the same id "
              "again to learn the outcome"),
          {},
          kRetryAfter};
}

JobView ViewOf(const Context& ctx, const JobRow& job,
               const JobExplainer& explain) {
  return {job, explain(ctx, job)};
}

}  // namespace

void JobDesk::OnSubmitted(Context& ctx, const JobSubmitted& submitted) {
  const Shared& shared = ctx.shared;
  if (!shared.mirror.loaded() || shared.settings == nullptr) {
    ctx.Reply(submitted.call, NotReady());
    return;
  }
  const JobSpec& spec = submitted.spec;
  const JobRow* existing = shared.mirror.FindJob(spec.id);
  if (existing != nullptr) {
    AnswerCreated(ctx, submitted.call, spec, *existing);
    return;
  }
  Findings findings("job");
  CheckAdmission(*shared.settings, spec, &findings);
  if (!findings.empty()) {
    ctx.Reply(submitted.call,
              Failure{absl::FailedPreconditionError("the job can never run"),
                      findings.all(), Duration()});
    return;
  }
  JobRow job;
  job.spec = spec;
  job.hall = ChooseHall(shared, spec);
  job.submitted_ms = ctx.wall_ms;
  job.waiting_since_ms = ctx.wall_ms;
  WriteRequest write;
  write.priority = WritePriority::kJobs;
  write.conditions = {{JobKey(spec.id), Revision(0)}};
  write.writes = {{JobKey(spec.id), EncodeJobRow(job), false}};
  write.give_up = ctx.now + shared.system.store_wait;
  write.purpose = JobCreation{submitted.call, std::move(job)};
  open_[submitted.call] = write.give_up + kDoubt;
  ctx.store.Push(std::move(write));
}

void JobDesk::OnAsked(Context& ctx, const JobAsked& asked,
                      const JobExplainer& explain) {
  if (!ctx.shared.mirror.loaded()) {
    ctx.Reply(asked.call, NotReady());
    return;
  }
  const JobRow* job = Find(ctx, asked.scope, asked.job);
  if (job == nullptr) {
    Postpone(ctx, asked);
    return;
  }
  AnswerAsked(ctx, asked, *job, explain);
}

void JobDesk::OnListAsked(Context& ctx, const JobsAsked& asked,
                          const JobExplainer& explain) {
  if (!ctx.shared.mirror.loaded()) {
    ctx.Reply(asked.call, NotReady());
    return;
  }
  JobList list;
  for (const auto& [id, job] : ctx.shared.mirror.jobs()) {
    if (!asked.scope.Allows(job.spec.workspace)) continue;
    const bool wanted =
        asked.workspace.empty() || asked.workspace == job.spec.workspace;
    if (wanted) list.jobs.push_back(ViewOf(ctx, job, explain));
  }
  ctx.Reply(asked.call, std::move(list));
}

void JobDesk::OnCancelAsked(Context& ctx, const JobCancelAsked& asked) {
  if (!ctx.shared.mirror.loaded()) {
    ctx.Reply(asked.call, NotReady());
    return;
  }
  const JobRow* job = Find(ctx, asked.scope, asked.job);
  if (job == nullptr) {
    Postpone(ctx, asked);
    return;
  }
  AnswerCancel(ctx, asked, *job);
}

void JobDesk::OnCreationFinished(Context& ctx, const JobCreation& creation,
                                 const FinishedWrite& write) {
  if (!TakeOpen(creation.call)) return;
  switch (write.outcome) {
    case IntentOutcome::kCommitted:
      ctx.Reply(creation.call, JobView{creation.job, ""});
      return;
    case IntentOutcome::kConflict: {
      const JobRow* existing = ctx.shared.mirror.FindJob(creation.job.spec.id);
      if (existing == nullptr) {
        ctx.Reply(creation.call, InDoubt());
        return;
      }
      AnswerCreated(ctx, creation.call, creation.job.spec, *existing);
      return;
    }
    case IntentOutcome::kNotWritten:
      ctx.Reply(creation.call,
                Failure{absl::UnavailableError(
                            "not run: the table service is unavailable, the "
                            "job was not stored"),
                        {},
                        kRetryAfter});
      return;
    case IntentOutcome::kUnknown:
      ctx.Reply(creation.call, InDoubt());
      return;
  }
}

void JobDesk::OnCancellationFinished(Context& ctx,
                                     const JobCancellation& cancel,
                                     const FinishedWrite& write) {
  if (open_.count(cancel.call) == 0) return;
  const JobRow* job = ctx.shared.mirror.FindJob(cancel.job);
  if (write.outcome == IntentOutcome::kConflict && job != nullptr &&
      !IsFinal(job->state) && !job->cancel_requested) {
    PushCancel(ctx, cancel.call, *job);
    return;
  }
  TakeOpen(cancel.call);
  if (write.outcome == IntentOutcome::kNotWritten) {
    ctx.Reply(cancel.call,
              Failure{absl::UnavailableError(
                          "not run: the table service is unavailable, the job "
                          "was not cancelled"),
                      {},
                      kRetryAfter});
  } else if (write.outcome == IntentOutcome::kUnknown || job == nullptr) {
    ctx.Reply(cancel.call, InDoubt());
  } else {
    ctx.Reply(cancel.call, JobView{*job, ""});
  }
}

void JobDesk::OnJobChanged(Context& ctx, const MirrorChange& change) {
  if (!change.after.has_value() || !IsFinal(change.after->state)) return;
  const auto it = waiters_.find(change.after->spec.id);
  if (it == waiters_.end()) return;
  for (const Waiter& waiter : it->second) {
    ctx.Reply(waiter.call, JobView{*change.after, ""});
  }
  waiters_.erase(it);
}

void JobDesk::OnRowsRead(Context& ctx, const JobExplainer& explain) {
  std::vector<Miss> kept;
  for (Miss& miss : misses_) {
    if (!Settle(ctx, miss, explain)) kept.push_back(std::move(miss));
  }
  misses_ = std::move(kept);
}

void JobDesk::OnTick(Context& ctx, const JobExplainer& explain) {
  if (!misses_.empty()) OnRowsRead(ctx, explain);
  for (auto it = open_.begin(); it != open_.end();) {
    if (ctx.now < it->second) {
      ++it;
      continue;
    }
    ctx.Reply(it->first, InDoubt());
    it = open_.erase(it);
  }
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    std::vector<Waiter>& waiters = it->second;
    const JobRow* job = ctx.shared.mirror.FindJob(it->first);
    const auto over = std::stable_partition(
        waiters.begin(), waiters.end(),
        [&](const Waiter& waiter) { return ctx.now < waiter.until; });
    for (auto late = over; late != waiters.end(); ++late) {
      if (job == nullptr) {
        ctx.Reply(late->call, NoSuchJob(it->first));
      } else {
        ctx.Reply(late->call, ViewOf(ctx, *job, explain));
      }
    }
    waiters.erase(over, waiters.end());
    it = waiters.empty() ? waiters_.erase(it) : std::next(it);
  }
}

void JobDesk::AnswerWaiters(Context& ctx, const JobExplainer& explain) {
  for (auto& [job, waiters] : waiters_) {
    for (Waiter& waiter : waiters) waiter.until = ctx.now;
  }
  OnTick(ctx, explain);
}

const JobRow* JobDesk::Find(const Context& ctx, const AccessScope& scope,
                            const JobId& job) {
  const JobRow* row = ctx.shared.mirror.FindJob(job);
  const bool visible = row != nullptr && scope.Allows(row->spec.workspace);
  return visible ? row : nullptr;
}

void JobDesk::Postpone(Context& ctx,
                       std::variant<JobAsked, JobCancelAsked> question) {
  misses_.push_back({std::move(question), ctx.store.ReadSoon(),
                     ctx.now + ctx.shared.system.store_wait});
}

bool JobDesk::Settle(Context& ctx, const Miss& miss,
                     const JobExplainer& explain) {
  const auto* asked = std::get_if<JobAsked>(&miss.question);
  const auto* cancel = std::get_if<JobCancelAsked>(&miss.question);
  const CallId call = asked != nullptr ? asked->call : cancel->call;
  const JobId& id = asked != nullptr ? asked->job : cancel->job;
  const AccessScope& scope = asked != nullptr ? asked->scope : cancel->scope;
  const JobRow* job = Find(ctx, scope, id);
  if (job != nullptr && asked != nullptr) {
    AnswerAsked(ctx, *asked, *job, explain);
  } else if (job != nullptr) {
    AnswerCancel(ctx, *cancel, *job);
  } else if (ctx.store.readings() >= miss.reading) {
    ctx.Reply(call, NoSuchJob(id));
  } else if (ctx.now >= miss.until) {
    ctx.Reply(call, Failure{absl::UnavailableError(
                                "the job is not known here, and the table "
                                "service is unavailable"),
                            {},
                            kRetryAfter});
  } else {
    return false;
  }
  return true;
}

void JobDesk::AnswerAsked(Context& ctx, const JobAsked& asked,
                          const JobRow& job, const JobExplainer& explain) {
  const bool at_once =
      IsFinal(job.state) || asked.wait <= Duration(0) || ctx.shared.stopping;
  if (at_once) {
    ctx.Reply(asked.call, ViewOf(ctx, job, explain));
    return;
  }
  waiters_[asked.job].push_back({asked.call, ctx.now + asked.wait});
}

void JobDesk::AnswerCancel(Context& ctx, const JobCancelAsked& asked,
                           const JobRow& job) {
  if (IsFinal(job.state) || job.cancel_requested) {
    ctx.Reply(asked.call, JobView{job, ""});
    return;
  }
  open_[asked.call] = ctx.now + ctx.shared.system.store_wait + kDoubt;
  PushCancel(ctx, asked.call, job);
}

void JobDesk::AnswerCreated(Context& ctx, CallId call, const JobSpec& wanted,
                            const JobRow& existing) {
  if (existing.spec == wanted) {
    ctx.Reply(call, JobView{existing, ""});
    return;
  }
  ctx.Fail(call,
           absl::AlreadyExistsError(absl::StrCat(
               "job '", JobName(wanted.id), "' exists with other content")));
}

void JobDesk::PushCancel(Context& ctx, CallId call, const JobRow& job) {
  JobRow next = job;
  next.cancel_requested = true;
  if (job.state == JobState::kWaiting) {
    next.state = JobState::kCancelled;
    next.reason = "cancelled before it ran";
    next.ended_ms = ctx.wall_ms;
  }
  WriteRequest write;
  write.priority = WritePriority::kJobs;
  write.conditions = {{JobKey(job.spec.id), job.version}};
  write.writes = {{JobKey(job.spec.id), EncodeJobRow(next), false}};
  write.give_up = ctx.now + ctx.shared.system.store_wait;
  write.purpose = JobCancellation{call, job.spec.id};
  ctx.store.Push(std::move(write));
}

}  // namespace limeledge
