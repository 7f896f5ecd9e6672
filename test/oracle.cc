/// @file
/// Checks of the promises.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "oracle.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "codec/row_codec.h"

namespace limeledge {

namespace {

/// Beyond its lease a task may go on for an exchange and its delivery.
constexpr Duration kGangSlack{2500};
constexpr Duration kLeaveBound{5000};
constexpr Duration kAnswerSlack{400};

/// The parts of a task's id.
struct TaskName {
  JobId job;
  int attempt = 0;
  std::size_t member = 0;
};

TaskName ParseTask(const TaskId& id) {
  const std::vector<std::string> parts = absl::StrSplit(id.value(), '#');
  TaskName name;
  name.job = JobId(parts[0]);
  if (!absl::SimpleAtoi(parts[1], &name.attempt) ||
      !absl::SimpleAtoi(parts[2], &name.member)) {
    name.job = JobId();
  }
  return name;
}

bool Ended(TaskState state) {
  return state == TaskState::kDone || state == TaskState::kCheckpointed;
}

bool Overlaps(const Placement& a, const Placement& b) {
  for (const Member& x : a.members) {
    for (const Member& y : b.members) {
      if (x.worker == y.worker && (x.accelerators & y.accelerators) != 0) {
        return true;
      }
    }
  }
  return false;
}

const RequestResult* ResultOf(const CallRecord& call) {
  if (!call.answer.has_value()) return nullptr;
  return std::get_if<RequestResult>(&*call.answer);
}

/// True when the call was refused as without any effect.
bool SaidNotRun(const CallRecord& call) {
  if (!call.answer.has_value()) return false;
  const auto* failure = std::get_if<Failure>(&*call.answer);
  return failure != nullptr &&
         failure->status.code() == absl::StatusCode::kUnavailable;
}

}  // namespace

Oracle::Oracle(Cluster* cluster, Duration task_lease)
    : cluster_(cluster), task_lease_(task_lease) {
  cluster_->OnCommit(
      [this](const Transaction& transaction) { OnCommit(transaction); });
  cluster_->OnReduce(
      [this](int instance, const Event&, const Effects& effects) {
        OnReduce(instance, effects);
      });
}

void Oracle::OnJob(const JobSpec& spec, std::size_t call) {
  specs_.emplace(spec.id, spec);
  job_calls_.emplace(spec.id, call);
}

void Oracle::OnRequest(const RequestSpec& spec, std::size_t call) {
  requests_.push_back({spec, call});
}

void Oracle::Observe() {
  FollowTasks();
  CheckGangs();
  CheckLeaving();
}

void Oracle::ObserveEnd() {
  Observe();
  CheckRequests();
  CheckCalls();
  CheckJobs();
  CheckSettings();
}

void Oracle::OnCommit(const Transaction& transaction) {
  for (const Write& write : transaction.writes) {
    if (!absl::StartsWith(write.key, kJobPrefix)) continue;
    const JobId id(write.key.substr(sizeof(kJobPrefix) - 1));
    const auto before = rows_.find(id);
    if (write.erase) {
      rows_.erase(id);
      continue;
    }
    const auto row = DecodeJobRow({write.key, write.value, Revision(1)});
    if (!row.ok()) {
      Fail(absl::StrCat("unreadable row ", write.key));
      return;
    }
    const bool was_final =
        before != rows_.end() && IsFinal(before->second.state);
    if (was_final && before->second.state != row->state) {
      Fail(absl::StrCat("job ", id.value(), " left its final state ",
                        ToString(before->second.state), " for ",
                        ToString(row->state)));
    }
    rows_[id] = *row;
    if (HoldsPlacement(row->state)) CheckOverlap(*row);
  }
}

void Oracle::OnReduce(int instance, const Effects& effects) {
  const Identity& self = cluster_->reducer(instance).shared().self;
  for (const Effect& effect : effects) {
    const auto* in_force = std::get_if<SettingsInForce>(&effect);
    if (in_force == nullptr) continue;
    const bool restarted = in_force_incarnation_[self.id] != self.incarnation;
    if (!restarted && in_force->version <= in_force_[self.id]) {
      Fail(absl::StrCat("settings went back at ", self.id.value()));
    }
    in_force_incarnation_[self.id] = self.incarnation;
    in_force_[self.id] = in_force->version;
  }
}

void Oracle::CheckOverlap(const JobRow& job) {
  for (const auto& [id, other] : rows_) {
    if (id == job.spec.id || !HoldsPlacement(other.state)) continue;
    if (Overlaps(job.placement, other.placement)) {
      Fail(absl::StrCat("jobs ", id.value(), " and ", job.spec.id.value(),
                        " hold the same accelerator"));
    }
  }
}

void Oracle::FollowTasks() {
  std::vector<std::pair<TaskEvent, const WorkerModel*>> news;
  for (const auto& [id, worker] : cluster_->workers()) {
    std::size_t& seen = followed_[id];
    const std::vector<TaskEvent>& history = worker.history();
    for (; seen < history.size(); ++seen) {
      news.emplace_back(history[seen], &worker);
    }
  }
  std::stable_sort(news.begin(), news.end(), [](const auto& a, const auto& b) {
    return a.first.at < b.first.at;
  });
  for (const auto& [event, worker] : news) OnTask(*worker, event);
}

void Oracle::OnTask(const WorkerModel& worker, const TaskEvent& event) {
  const TaskName name = ParseTask(event.task);
  const auto spec = specs_.find(name.job);
  if (spec == specs_.end()) {
    Fail(absl::StrCat("unknown task ", event.task.value()));
    return;
  }
  Attempt& attempt = attempts_[name.job][name.attempt];
  attempt.state[name.member] = event.state;
  if (event.state == TaskState::kPrepared) {
    attempt.prepared.insert(name.member);
    const auto left = cluster_->left_at().find(worker.info().id.value());
    const bool late = left != cluster_->left_at().end() &&
                      event.at > left->second + kLeaveBound;
    if (late) Fail(absl::StrCat("leaving worker got ", event.task.value()));
  }
  const bool began =
      event.state == TaskState::kRunning || event.state == TaskState::kFailed;
  if (!began) return;
  attempt.ran.insert(name.member);
  const std::size_t members = static_cast<std::size_t>(spec->second.members);
  if (attempt.prepared.size() < members) {
    Fail(absl::StrCat("gang ", event.task.value(),
                      " ran before all members were prepared"));
  }
  CheckSingleRun(name.job, name.attempt);
}

void Oracle::CheckSingleRun(const JobId& job, int attempt) {
  if (specs_.at(job).repeatable) return;
  for (const auto& [number, other] : attempts_[job]) {
    if (number == attempt || other.ran.empty()) continue;
    const bool saved =
        std::all_of(other.state.begin(), other.state.end(),
                    [](const auto& member) { return Ended(member.second); });
    if (!saved) {
      Fail(absl::StrCat("job ", job.value(), " is not repeatable and ran in ",
                        "attempts ", number, " and ", attempt));
    }
  }
}

void Oracle::CheckGangs() {
  const TimePoint now = cluster_->now();
  for (auto& [job, attempts] : attempts_) {
    const std::size_t members =
        static_cast<std::size_t>(specs_.at(job).members);
    for (auto& [number, attempt] : attempts) {
      std::size_t running = 0;
      std::size_t ended = 0;
      for (const auto& [member, state] : attempt.state) {
        if (state == TaskState::kRunning) ++running;
        if (Ended(state)) ++ended;
      }
      const bool partial = running > 0 && running + ended < members;
      if (partial && !attempt.partial) attempt.partial_since = now;
      attempt.partial = partial;
      const bool too_long =
          partial && now - attempt.partial_since > task_lease_ + kGangSlack;
      if (too_long) {
        Fail(absl::StrCat("attempt ", number, " of gang ", job.value(),
                          " runs with ", running, " of ", members, " members"));
      }
    }
  }
}

void Oracle::CheckLeaving() {
  for (const auto& [runner, at] : cluster_->last_run()) {
    const auto left = cluster_->left_at().find(runner.value());
    if (left == cluster_->left_at().end()) continue;
    if (at > left->second + kLeaveBound) {
      Fail(absl::StrCat("leaving runner ", runner.value(), " got work"));
    }
  }
}

bool Oracle::CanStillRun(const JobSpec& spec) const {
  std::map<HallId, int> fits;
  for (const auto& [id, worker] : cluster_->workers()) {
    if (cluster_->left_at().count(id.value()) != 0) continue;
    const int each = std::max(1, spec.accelerators);
    fits[worker.info().hall] += worker.info().accelerators / each;
  }
  return std::any_of(fits.begin(), fits.end(), [&spec](const auto& hall) {
    return hall.second >= spec.members;
  });
}

int Oracle::Runs(const RequestSpec& spec) const {
  const std::string key =
      absl::StrCat(spec.workspace.value(), "/", spec.id.value());
  int runs = 0;
  for (const auto& [id, runner] : cluster_->runners()) {
    const auto it = runner.runs().find(key);
    if (it != runner.runs().end()) runs += it->second;
  }
  return runs;
}

void Oracle::CheckRequests() {
  /// Calls of one id: all of them said "not run".
  std::map<RequestId, bool> all_not_run;
  for (const SentRequest& sent : requests_) {
    const CallRecord& call = cluster_->call(sent.call);
    const RequestResult* result = ResultOf(call);
    const bool not_run =
        result != nullptr && result->outcome == RequestOutcome::kNotRun;
    const auto [it, is_new] = all_not_run.emplace(sent.spec.id, true);
    it->second = it->second && not_run;
    if (result == nullptr) continue;
    RunnerCall wanted;
    wanted.workspace = sent.spec.workspace;
    wanted.request = sent.spec.id;
    wanted.payload = sent.spec.payload;
    const bool wrong = result->outcome == RequestOutcome::kAnswered &&
                       result->answer != RunnerResult(wanted);
    if (wrong) {
      Fail(absl::StrCat("request ", sent.spec.id.value(),
                        " got another answer: ", result->answer));
    }
    if (!sent.spec.repeatable && Runs(sent.spec) > 1) {
      Fail(absl::StrCat("request ", sent.spec.id.value(),
                        " is not repeatable and ran ", Runs(sent.spec),
                        " times"));
    }
  }
  for (const SentRequest& sent : requests_) {
    if (all_not_run[sent.spec.id] && Runs(sent.spec) > 0) {
      Fail(absl::StrCat("request ", sent.spec.id.value(),
                        " ran although every call said not_run"));
    }
  }
}

void Oracle::CheckCalls() {
  for (const SentRequest& sent : requests_) {
    const CallRecord& call = cluster_->call(sent.call);
    if (call.cut) continue;
    if (!call.answer.has_value()) {
      Fail(absl::StrCat("request ", sent.spec.id.value(), " got no answer"));
      continue;
    }
    const Duration took = call.answered_at - call.at;
    const bool late = took > sent.spec.deadline + kAnswerSlack;
    if (late && paused_.count(call.instance) == 0) {
      Fail(absl::StrCat("request ", sent.spec.id.value(),
                        " was answered after ", took.ms(), " ms"));
    }
  }
}

void Oracle::CheckJobs() {
  for (const auto& [id, call_index] : job_calls_) {
    const CallRecord& call = cluster_->call(call_index);
    const bool accepted = call.answer.has_value() &&
                          std::holds_alternative<JobView>(*call.answer);
    const auto row = rows_.find(id);
    if (SaidNotRun(call) && row != rows_.end()) {
      Fail(absl::StrCat("job ", id.value(),
                        " is stored although its call said not run"));
    }
    if (accepted && row == rows_.end()) {
      Fail(absl::StrCat("accepted job ", id.value(), " is lost"));
    }
    if (row == rows_.end()) continue;
    const JobRow& job = row->second;
    if (!IsFinal(job.state) && CanStillRun(job.spec)) {
      Fail(absl::StrCat("job ", id.value(), " is still ", ToString(job.state),
                        " long after all faults ended: ", job.reason));
    }
    if (job.state != JobState::kDone) continue;
    const Attempt& attempt = attempts_[id][job.attempt];
    for (const auto& [member, state] : attempt.state) {
      if (state != TaskState::kDone) {
        Fail(absl::StrCat("job ", id.value(), " is done, but member ", member,
                          " is not"));
      }
    }
    if (job.results.size() != static_cast<std::size_t>(job.spec.members)) {
      Fail(absl::StrCat("job ", id.value(), " has ", job.results.size(),
                        " results"));
    }
  }
}

void Oracle::CheckSettings() {
  SettingsVersion newest;
  for (int i = 0; i < cluster_->instances(); ++i) {
    if (!cluster_->IsAlive(i)) continue;
    newest = std::max(newest, cluster_->reducer(i).shared().follower.version());
  }
  const auto row =
      DecodeSettingsRow(cluster_->table().Read("settings/current"));
  if (row.ok()) newest = std::max(newest, row->copy.version);
  for (int i = 0; i < cluster_->instances(); ++i) {
    if (!cluster_->IsAlive(i)) continue;
    const Shared& shared = cluster_->reducer(i).shared();
    if (shared.follower.version() != newest) {
      Fail(absl::StrCat(shared.self.id.value(), " has settings ",
                        shared.follower.version().value(), " in force, not ",
                        newest.value()));
    }
  }
}

void Oracle::Fail(const std::string& what) {
  if (violation_.empty()) {
    violation_ = absl::StrCat("at ", cluster_->now().ms(), " ms: ", what);
  }
}

}  // namespace limeledge
