/// @file
/// Simulated callers that submit and cancel jobs and query their states.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::CallResult;

namespace {

/// A call without a response after this time counts as unanswered.
constexpr Duration kCallerDeadline{3000};
constexpr Duration kCallerRetry{800};

}  // namespace

CallId EmulatedSystem::SendCall(dispatch::CallReceived call, CallDone done) {
  const int first = static_cast<int>(random_() % processes_.size());
  int node = first;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const int other =
        (first + static_cast<int>(i)) % static_cast<int>(processes_.size());
    if (!processes_[other].ready) continue;
    node = other;
    break;
  }
  return SendCallTo(node, std::move(call), std::move(done));
}

CallId EmulatedSystem::SendCallTo(int node, dispatch::CallReceived call,
                                  CallDone done) {
  last_call_ = last_call_.Next();
  const CallId id = last_call_;
  call.call = id;
  if (call.key.empty()) call.key = kKey;
  call.host = kHost;
  calls_[id] = std::move(done);
  const int incarnation = processes_[node].incarnation;
  RunAt(now_ + options_.network,
        [this, node, incarnation, call] { Deliver(node, incarnation, call); });
  RunAt(now_ + kCallerDeadline, [this, id] {
    forwarded_calls_.erase(id);
    const auto open = calls_.find(id);
    if (open == calls_.end()) return;
    const auto unanswered = std::move(open->second);
    calls_.erase(open);
    unanswered(nullptr);
  });
  return id;
}

void EmulatedSystem::HandleResponse(const dispatch::RespondToCall& answer) {
  const auto open = calls_.find(answer.call);
  if (open == calls_.end()) return;
  const auto done = std::move(open->second);
  calls_.erase(open);
  done(&answer);
}

JobId EmulatedSystem::Submit(dispatch::JobSpec spec,
                             std::vector<TaskTruth> truths) {
  spec.id = JobId(absl::StrFormat("%016x", ++last_job_));
  oracle_.Watch(spec, std::move(truths));
  SendSubmit(spec.id);
  return spec.id;
}

JobId EmulatedSystem::SubmitOnce(int node, dispatch::JobSpec spec,
                                 std::vector<TaskTruth> truths) {
  spec.id = JobId(absl::StrFormat("%016x", ++last_job_));
  oracle_.Watch(spec, std::move(truths));
  SubmitAgain(node, spec.id);
  return spec.id;
}

void EmulatedSystem::SubmitAgain(int node, const JobId& job) {
  SendCallTo(node, MakeJobCall(dispatch::CallKind::kSubmit, job),
             [this, job](const dispatch::RespondToCall* answer) {
               RecordSubmitted(job, answer);
             });
}

dispatch::CallReceived EmulatedSystem::MakeJobCall(dispatch::CallKind kind,
                                                   const JobId& job) const {
  const JobWatch& watch = oracle_.jobs().at(job);
  dispatch::CallReceived call;
  call.kind = kind;
  call.path = absl::StrCat(PrefixOf(watch.spec.policy.priority), job.value());
  if (kind != dispatch::CallKind::kSubmit) return call;
  call.spec = watch.spec;
  const WorkspaceId& workspace = watch.spec.workspace;
  if (!workspace.value().empty()) call.key = KeyOf(workspace);
  return call;
}

bool EmulatedSystem::RecordSubmitted(const JobId& job,
                                     const dispatch::RespondToCall* answer) {
  JobWatch& submitted = *oracle_.Find(job);
  if (answer != nullptr && answer->result == CallResult::kDone) {
    submitted.accepted = true;
    submitted.may_be_accepted = true;
    return true;
  }
  const bool refused =
      answer != nullptr && (answer->result == CallResult::kNotAccepted ||
                            answer->result == CallResult::kPastUse ||
                            answer->result == CallResult::kCancelled ||
                            answer->result == CallResult::kNeverServable);
  if (!refused) submitted.may_be_accepted = true;
  return false;
}

void EmulatedSystem::SendSubmit(const JobId& job) {
  SendCall(MakeJobCall(dispatch::CallKind::kSubmit, job),
           [this, job](const dispatch::RespondToCall* answer) {
             if (RecordSubmitted(job, answer)) return;
             RunAt(now_ + kCallerRetry, [this, job] {
               if (!oracle_.Find(job)->given_up) SendSubmit(job);
             });
           });
}

void EmulatedSystem::Cancel(const JobId& job) {
  oracle_.Find(job)->cancel_sent = true;
  SendCancel(job);
}

void EmulatedSystem::GiveUp(const JobId& job) {
  oracle_.Find(job)->given_up = true;
  Cancel(job);
}

std::optional<CallResult> EmulatedSystem::CancelAt(int node, const JobId& job) {
  oracle_.Find(job)->cancel_sent = true;
  std::optional<CallResult> result;
  bool ended = false;
  SendCallTo(node, MakeJobCall(dispatch::CallKind::kCancel, job),
             [&](const dispatch::RespondToCall* answer) {
               ended = true;
               if (answer != nullptr) result = answer->result;
               RecordCancelled(job, answer);
             });
  while (!ended) Run(Duration(10));
  return result;
}

bool EmulatedSystem::RecordCancelled(const JobId& job,
                                     const dispatch::RespondToCall* answer) {
  if (answer == nullptr) return false;
  const bool unknown = answer->result == CallResult::kUnknownJob;
  if (answer->result != CallResult::kDone && !unknown) return false;
  Trace(absl::StrCat("cancelled ", job.value(), unknown ? ", not stored" : ""));
  oracle_.RecordCancellation(job, now_);
  if (unknown) oracle_.RecordCancelledBeforeStored(job);
  return true;
}

void EmulatedSystem::SendCancel(const JobId& job) {
  SendCall(MakeJobCall(dispatch::CallKind::kCancel, job),
           [this, job](const dispatch::RespondToCall* answer) {
             if (RecordCancelled(job, answer)) return;
             RunAt(now_ + kCallerRetry, [this, job] { SendCancel(job); });
           });
}

std::int64_t EmulatedSystem::CountWaitingJobs() {
  constexpr int kOrdinaryPriority = 1;
  dispatch::CallReceived call;
  call.kind = dispatch::CallKind::kQuery;
  call.path = PrefixOf(kOrdinaryPriority);
  std::int64_t waiting = -1;
  bool answered = false;
  SendCall(call, [&](const dispatch::RespondToCall* answer) {
    answered = true;
    if (answer != nullptr) waiting = answer->waiting;
  });
  while (!answered) Run(Duration(50));
  return waiting;
}

std::string EmulatedSystem::StateOf(const JobId& job) {
  dispatch::CallReceived call;
  call.kind = dispatch::CallKind::kQuery;
  call.path = absl::StrCat(PrefixOf(oracle_.Find(job)->spec.policy.priority),
                           job.value());
  std::string state;
  bool answered = false;
  SendCall(call, [&](const dispatch::RespondToCall* answer) {
    answered = true;
    if (answer == nullptr) return;
    state = answer->result == CallResult::kUnknownJob ? "gone" : answer->state;
  });
  while (!answered) Run(Duration(50));
  return state;
}

}  // namespace limeledge::emulator
