/// @file
/// The steps of an attempt.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/gang.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

using State = GangMemberState;

/// Failures on bad workers do not count against a job; this bounds them.
constexpr int kAttemptsPerFailure = 3;

bool All(const GangView& view, State state) {
  return std::all_of(
      view.members.begin(), view.members.end(),
      [state](const MemberView& member) { return member.state == state; });
}

bool IsBroken(State state) {
  return state == State::kFailed || state == State::kAbsent ||
         state == State::kLapsed;
}

bool IsGone(State state) {
  return state != State::kUnheard && state != State::kPrepared &&
         state != State::kRunning;
}

const char* Describe(State state) {
  switch (state) {
    case State::kFailed:
      return "failed";
    case State::kLapsed:
      return "was lost with its lease";
    default:
      return "stopped before its end";
  }
}

std::string Describe(const GangView& view, std::size_t index) {
  const MemberView& member = view.members[index];
  std::string text =
      absl::StrCat("member ", index, " on ",
                   view.job->placement.members[index].worker.value(), " ",
                   Describe(member.state));
  if (!member.detail.empty()) absl::StrAppend(&text, ": ", member.detail);
  return text;
}

std::vector<std::size_t> BrokenMembers(const GangView& view) {
  std::vector<std::size_t> broken;
  for (std::size_t i = 0; i < view.members.size(); ++i) {
    if (IsBroken(view.members[i].state)) broken.push_back(i);
  }
  return broken;
}

GangStep Stop(JobState next, std::string reason) {
  GangStep step;
  step.action = GangAction::kStop;
  step.next = next;
  step.reason = std::move(reason);
  return step;
}

GangStep Finish() {
  GangStep step;
  step.action = GangAction::kFinish;
  step.next = JobState::kDone;
  return step;
}

/// What follows an attempt that may have run and did not end by itself.
JobState AfterInterrupted(const JobRow& job) {
  return job.spec.repeatable ? JobState::kWaiting : JobState::kUnknown;
}

GangStep DecideStarting(const GangView& view) {
  if (view.job->cancel_requested) {
    return Stop(JobState::kCancelled, "cancelled before it ran");
  }
  if (view.reclaim) {
    return Stop(JobState::kWaiting, "made way before it ran");
  }
  const std::vector<std::size_t> broken = BrokenMembers(view);
  if (!broken.empty()) {
    GangStep step = Stop(JobState::kWaiting, Describe(view, broken.front()));
    step.blamed = broken;
    return step;
  }
  for (const MemberView& member : view.members) {
    if (member.leaving) {
      return Stop(JobState::kWaiting, "a worker of the gang is leaving");
    }
  }
  if (All(view, State::kPrepared)) {
    GangStep step;
    step.action = GangAction::kRun;
    return step;
  }
  if (view.in_state >= view.settings.prepare) {
    GangStep step =
        Stop(JobState::kWaiting, "not every member was prepared in time");
    for (std::size_t i = 0; i < view.members.size(); ++i) {
      if (view.members[i].state == State::kUnheard) step.blamed.push_back(i);
    }
    return step;
  }
  return {};
}

GangStep StopBroken(const GangView& view,
                    const std::vector<std::size_t>& broken) {
  const JobRow& job = *view.job;
  const bool failed =
      std::any_of(broken.begin(), broken.end(), [&view](std::size_t index) {
        return view.members[index].state == State::kFailed;
      });
  JobState next = AfterInterrupted(job);
  if (failed) {
    const bool again =
        job.spec.repeatable && job.failures + 1 < view.settings.max_attempts &&
        job.attempt < view.settings.max_attempts * kAttemptsPerFailure;
    next = again ? JobState::kWaiting : JobState::kFailed;
  }
  GangStep step = Stop(next, Describe(view, broken.front()));
  step.job_failure = failed;
  step.blamed = broken;
  return step;
}

GangStep DecideRunning(const GangView& view) {
  const JobRow& job = *view.job;
  if (All(view, State::kDone)) return Finish();
  if (job.cancel_requested) {
    return Stop(JobState::kCancelled, "cancelled while it ran");
  }
  const std::vector<std::size_t> broken = BrokenMembers(view);
  if (!broken.empty()) return StopBroken(view, broken);
  if (view.running >= view.settings.max_run) {
    GangStep step = Stop(JobState::kFailed, "ran longer than max_run_ms");
    step.job_failure = true;
    return step;
  }
  const bool leaving =
      std::any_of(view.members.begin(), view.members.end(),
                  [](const MemberView& member) { return member.leaving; });
  if (leaving && view.settings.checkpoint) {
    GangStep step;
    step.action = GangAction::kCheckpoint;
    step.reason = "a worker of the gang is leaving";
    return step;
  }
  if (!view.reclaim) return {};
  if (view.settings.checkpoint) {
    GangStep step;
    step.action = GangAction::kCheckpoint;
    step.reason = "makes way for a guarantee";
    return step;
  }
  return Stop(AfterInterrupted(job), "makes way for a guarantee");
}

GangStep DecideCheckpointing(const GangView& view) {
  const JobRow& job = *view.job;
  if (All(view, State::kDone)) return Finish();
  if (job.cancel_requested) {
    return Stop(JobState::kCancelled, "cancelled while it made way");
  }
  const std::vector<std::size_t> broken = BrokenMembers(view);
  if (!broken.empty()) return StopBroken(view, broken);
  const bool saved = std::all_of(
      view.members.begin(), view.members.end(), [](const MemberView& member) {
        return member.state == State::kCheckpointed ||
               member.state == State::kDone;
      });
  if (saved) {
    GangStep step;
    step.action = GangAction::kRelease;
    step.next = JobState::kWaiting;
    step.reason = "made way with its progress saved";
    return step;
  }
  // Half of the stated time is left for stopping members that do not save.
  if (view.in_state >= view.settings.reclaim / 2) {
    return Stop(AfterInterrupted(job), "did not save its progress in time");
  }
  return {};
}

GangStep DecideStopping(const GangView& view) {
  const bool gone = std::all_of(
      view.members.begin(), view.members.end(),
      [](const MemberView& member) { return IsGone(member.state); });
  GangStep step;
  if (!gone) return step;
  step.action = GangAction::kRelease;
  step.next = view.job->next;
  if (view.job->cancel_requested && step.next == JobState::kWaiting) {
    step.next = JobState::kCancelled;
  }
  step.reason = view.job->reason;
  return step;
}

}  // namespace

GangStep DecideGang(const GangView& view) {
  switch (view.job->state) {
    case JobState::kStarting:
      return DecideStarting(view);
    case JobState::kRunning:
      return DecideRunning(view);
    case JobState::kCheckpointing:
      return DecideCheckpointing(view);
    case JobState::kStopping:
      return DecideStopping(view);
    default:
      return {};
  }
}

}  // namespace limeledge
