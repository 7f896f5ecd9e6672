/// @file
/// Reads jobs, runs and leadership terms from log lines.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/job_history.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace limeledge {

namespace {

// A task is logged as JOB.OCCURRENCE.STEP.INDEX, a step as JOB.OCCURRENCE.STEP.
constexpr std::size_t kTaskParts = 4;
constexpr std::size_t kStepParts = 3;

constexpr char kUnknownGroup[] = "(not told)";

std::int64_t IntFieldOf(const LogEntry& entry, const char* field) {
  std::int64_t number = 0;
  // A field that is missing, as in logs of older versions, counts as 0.
  return absl::SimpleAtoi(entry.Field(field), &number) ? number : 0;
}

/// Returns the fate that a stop event implies; `kOngoing` for other events.
RunFate FateOfStop(const std::string& event) {
  if (event == "run_displaced") return RunFate::kPreempted;
  if (event == "run_moved") return RunFate::kMovedOffSlow;
  if (event == "run_stalled") return RunFate::kStalled;
  if (event == "run_evacuated") return RunFate::kEvacuated;
  return RunFate::kOngoing;
}

/// Returns the fate for a logged end; `kStopped` if another line has the
/// reason.
RunFate FateOfEnd(const std::string& end) {
  if (end == "done") return RunFate::kDone;
  if (end == "failed") return RunFate::kFailed;
  if (end == "lapsed") return RunFate::kRunnerLost;
  if (end == "rejected") return RunFate::kRejected;
  return RunFate::kStopped;
}

/// Returns the decision about a job that an event records; empty for other
/// events.
std::string DecisionOf(const std::string& event) {
  if (event == "submit_refused") return "submit refused";
  if (event == "step_deferred") return "step placed after the others";
  if (event == "move_declined") return "run not moved";
  if (event == "preemption_delayed") return "waited instead of preempting";
  return "";
}

/// Builds the histories from log lines that are added in order of time.
class HistoryReader {
 public:
  void Add(const LogEntry& entry);
  Histories Finish();

 private:
  struct Task {
    JobHistory* job = nullptr;
    std::vector<LoggedRun>* runs = nullptr;
    TaskKey key;
  };

  JobHistory* JobOf(const std::string& id);
  /// Returns the task that the line names; `job` is null if it names none.
  Task TaskOf(const LogEntry& entry);
  void AddCall(const LogEntry& entry);
  void AddAssignment(const LogEntry& entry);
  void AddStop(const LogEntry& entry, RunFate fate);
  void AddEnd(const LogEntry& entry);
  void AddWait(const LogEntry& entry);
  void AddDecision(const LogEntry& entry, const std::string& decision);
  void AddSettled(const LogEntry& entry);
  void AddLeadership(const LogEntry& entry);
  void EndLeadershipTerm(const std::string& instance, std::int64_t at_ms);
  /// Gives gang members that ended because another member ended first the fate
  /// of that member.
  static void ShareFates(JobHistory* job);

  Histories histories_;
  /// Start of the current leadership term, by instance.
  std::map<std::string, std::int64_t> terms_;
  /// Time of the newest line, by instance.
  std::map<std::string, std::int64_t> last_line_ms_;
};

JobHistory* HistoryReader::JobOf(const std::string& id) {
  JobHistory& job = histories_.jobs[id];
  job.id = id;
  return &job;
}

HistoryReader::Task HistoryReader::TaskOf(const LogEntry& entry) {
  const std::vector<std::string> parts =
      absl::StrSplit(entry.Field("task"), '.');
  Task task;
  const bool valid = parts.size() == kTaskParts &&
                     absl::SimpleAtoi(parts[1], &task.key.occurrence) &&
                     absl::SimpleAtoi(parts[2], &task.key.step) &&
                     absl::SimpleAtoi(parts[3], &task.key.index);
  if (!valid) return task;
  task.job = JobOf(parts[0]);
  task.runs = &task.job->tasks[task.key];
  return task;
}

void HistoryReader::AddCall(const LogEntry& entry) {
  if (entry.Field("call") != "submit") return;
  const std::string& path = entry.Field("path");
  JobHistory* job = JobOf(path.substr(path.rfind('/') + 1));
  if (job->first_submit_ms == 0) job->first_submit_ms = entry.wall_ms;
  const bool done = entry.Field("result") == "done";
  if (done && job->accepted_ms == 0) job->accepted_ms = entry.wall_ms;
}

void HistoryReader::AddAssignment(const LogEntry& entry) {
  const Task task = TaskOf(entry);
  if (task.job == nullptr) return;
  LoggedRun run;
  run.number = static_cast<int>(IntFieldOf(entry, "run"));
  run.runner = entry.Field("runner");
  run.begun_ms = entry.wall_ms;
  run.expected = Duration(IntFieldOf(entry, "expected_ms"));
  const bool far = !entry.Field("near_ms").empty();
  run.expected_near =
      far ? Duration(IntFieldOf(entry, "near_ms")) : run.expected;
  run.accelerators = IntFieldOf(entry, "accelerators");
  run.cpu_millis = IntFieldOf(entry, "cpu_millis");
  // A decision that was not stored is repeated under the same run number.
  const bool repeated =
      !task.runs->empty() && task.runs->back().number == run.number;
  if (repeated) task.runs->pop_back();
  task.runs->push_back(run);
}

void HistoryReader::AddStop(const LogEntry& entry, RunFate fate) {
  const Task task = TaskOf(entry);
  if (task.job == nullptr || task.runs->empty()) return;
  LoggedRun& run = task.runs->back();
  if (run.ended_ms != 0 || run.fate != RunFate::kOngoing) return;
  run.fate = fate;
  run.stopped_ms = entry.wall_ms;
  run.preempted_for = entry.Field("for");
}

void HistoryReader::AddEnd(const LogEntry& entry) {
  const Task task = TaskOf(entry);
  if (task.job == nullptr) return;
  const auto number = static_cast<int>(IntFieldOf(entry, "run"));
  for (LoggedRun& run : *task.runs) {
    if (run.number != number || run.ended_ms != 0) continue;
    run.ended_ms = entry.wall_ms;
    run.saved = entry.Field("saved") == "yes";
    const RunFate reported = FateOfEnd(entry.Field("end"));
    // The reason of a stop is more specific than `kStopped`.
    if (reported != RunFate::kStopped || run.fate == RunFate::kOngoing) {
      run.fate = reported;
    }
    const bool taken_over =
        !histories_.leadership_terms.empty() &&
        histories_.leadership_terms.back().to_ms >= run.begun_ms;
    if (run.fate == RunFate::kRunnerLost && taken_over) {
      run.fate = RunFate::kLostInFailover;
    }
  }
}

void HistoryReader::AddWait(const LogEntry& entry) {
  const std::vector<std::string> parts =
      absl::StrSplit(entry.Field("step"), '.');
  int occurrence = 0;
  int step = 0;
  const bool valid = parts.size() == kStepParts &&
                     absl::SimpleAtoi(parts[1], &occurrence) &&
                     absl::SimpleAtoi(parts[2], &step);
  if (!valid) return;
  JobOf(parts[0])->waits[{occurrence, step}].push_back(
      {entry.wall_ms, entry.Field("reason"),
       static_cast<int>(IntFieldOf(entry, "tasks"))});
}

void HistoryReader::AddDecision(const LogEntry& entry,
                                const std::string& decision) {
  // Lines about runs name the task and not the job.
  const std::string& id = entry.Field("job");
  JobHistory* job = id.empty() ? TaskOf(entry).job : JobOf(id);
  if (job == nullptr) return;
  const std::string& reason = entry.Field("reason");
  job->decisions.push_back(
      {entry.wall_ms, reason.empty() ? decision : decision + ": " + reason});
}

void HistoryReader::AddSettled(const LogEntry& entry) {
  JobHistory* job = JobOf(entry.Field("job"));
  // A new scheduler may settle the job again if the first time was not stored.
  job->settled_ms = entry.wall_ms;
  job->state = entry.Field("state");
}

void HistoryReader::EndLeadershipTerm(const std::string& instance,
                                      std::int64_t at_ms) {
  const auto found = terms_.find(instance);
  if (found == terms_.end()) return;
  histories_.leadership_terms.push_back({instance, found->second, at_ms});
  terms_.erase(found);
}

void HistoryReader::AddLeadership(const LogEntry& entry) {
  if (entry.event == "leader_lost") {
    EndLeadershipTerm(entry.instance, entry.wall_ms);
    return;
  }
  // A previous scheduler that logged no end of its term counts as the scheduler
  // until its last line.
  const std::map<std::string, std::int64_t> before = terms_;
  for (const auto& [instance, from_ms] : before) {
    if (entry.event == "started" && instance != entry.instance) continue;
    EndLeadershipTerm(instance, std::max(from_ms, last_line_ms_[instance]));
  }
  if (entry.event == "leader_claimed") terms_[entry.instance] = entry.wall_ms;
}

void HistoryReader::Add(const LogEntry& entry) {
  const std::string& event = entry.event;
  const RunFate stop = FateOfStop(event);
  const std::string decision = DecisionOf(event);
  if (event == "call_answered") {
    AddCall(entry);
  } else if (event == "job_accepted") {
    JobHistory* job = JobOf(entry.Field("job"));
    job->queue = entry.Field("queue");
    job->workspace = entry.Field("workspace");
  } else if (event == "run_assigned") {
    AddAssignment(entry);
  } else if (stop != RunFate::kOngoing) {
    AddStop(entry, stop);
  } else if (event == "run_ended") {
    AddEnd(entry);
  } else if (event == "step_waits") {
    AddWait(entry);
  } else if (!decision.empty()) {
    AddDecision(entry, decision);
  } else if (event == "job_settled") {
    AddSettled(entry);
  } else if (event == "leader_claimed" || event == "leader_lost" ||
             event == "started") {
    AddLeadership(entry);
  }
  last_line_ms_[entry.instance] = entry.wall_ms;
}

void HistoryReader::ShareFates(JobHistory* job) {
  // Members of a gang start at the same time with the same run number, so step,
  // run number and start time identify a gang. `first` holds the member of each
  // gang that ended first.
  using Group = std::tuple<int, int, int, std::int64_t>;
  const auto group_of = [](const TaskKey& key, const LoggedRun& run) {
    return Group(key.occurrence, key.step, run.number, run.begun_ms);
  };
  std::map<Group, const LoggedRun*> first;
  const auto has_known_fate = [](const LoggedRun& run) {
    return run.fate != RunFate::kStopped && run.fate != RunFate::kOngoing &&
           run.fate != RunFate::kDone;
  };
  for (const auto& [key, runs] : job->tasks) {
    for (const LoggedRun& run : runs) {
      if (!has_known_fate(run) || run.ended_ms == 0) continue;
      const LoggedRun*& member = first[group_of(key, run)];
      if (member == nullptr || run.ended_ms < member->ended_ms) member = &run;
    }
  }
  for (auto& [key, runs] : job->tasks) {
    for (LoggedRun& run : runs) {
      if (run.fate != RunFate::kStopped) continue;
      const bool settled =
          job->settled_ms != 0 && run.ended_ms >= job->settled_ms;
      const auto found = first.find(group_of(key, run));
      if (settled) {
        run.fate = RunFate::kCancelled;
      } else if (found != first.end()) {
        run.fate = found->second->fate;
        run.preempted_for = found->second->preempted_for;
        run.stopped_ms = found->second->stopped_ms;
        run.ended_with_gang = true;
      }
    }
  }
}

Histories HistoryReader::Finish() {
  const std::map<std::string, std::int64_t> open = terms_;
  for (const auto& [instance, from_ms] : open) {
    EndLeadershipTerm(instance, std::max(from_ms, last_line_ms_[instance]));
  }
  for (auto& [id, job] : histories_.jobs) ShareFates(&job);
  return std::move(histories_);
}

/// True if the task was done or running at `at_ms`.
bool WasBusy(const std::vector<LoggedRun>& runs, std::int64_t at_ms) {
  return std::any_of(runs.begin(), runs.end(), [at_ms](const LoggedRun& run) {
    const bool over = run.ended_ms != 0 && run.ended_ms <= at_ms &&
                      run.fate != RunFate::kDone;
    return run.begun_ms <= at_ms && !over;
  });
}

int BusyTasks(const JobHistory& job, StepKey step, std::int64_t at_ms) {
  int busy = 0;
  for (const auto& [key, runs] : job.tasks) {
    const bool counts =
        step == StepKey(key.occurrence, key.step) && WasBusy(runs, at_ms);
    if (counts) ++busy;
  }
  return busy;
}

}  // namespace

const char* ToString(RunFate fate) {
  switch (fate) {
    case RunFate::kOngoing:
      return "goes on";
    case RunFate::kDone:
      return "done";
    case RunFate::kFailed:
      return "failed";
    case RunFate::kPreempted:
      return "made way for urgent work";
    case RunFate::kMovedOffSlow:
      return "moved off a slow runner";
    case RunFate::kStalled:
      return "stood still";
    case RunFate::kEvacuated:
      return "its runner leaves";
    case RunFate::kRunnerLost:
      return "its runner was lost";
    case RunFate::kLostInFailover:
      return "lost at a take-over";
    case RunFate::kCancelled:
      return "its job was cancelled or failed";
    case RunFate::kRejected:
      return "never began";
    case RunFate::kStopped:
      return "stopped";
  }
  return "";
}

std::map<StepKey, StepTasks> CountTasks(const JobHistory& job) {
  std::map<StepKey, StepTasks> steps;
  for (const auto& [key, runs] : job.tasks) {
    StepTasks& step = steps[{key.occurrence, key.step}];
    step.known = std::max(step.known, key.index + 1);
    if (runs.empty()) continue;
    ++step.started;
    if (runs.back().fate == RunFate::kDone) ++step.done;
  }
  for (const auto& [key, waits] : job.waits) {
    StepTasks& step = steps[key];
    for (const LoggedWait& wait : waits) {
      const int tasks = wait.tasks + BusyTasks(job, key, wait.from_ms);
      step.known = std::max(step.known, tasks);
    }
  }
  return steps;
}

std::string GroupName(const std::string& name) {
  return name.empty() ? kUnknownGroup : name;
}

Histories ReadHistories(const std::vector<LogEntry>& entries) {
  HistoryReader reader;
  for (const LogEntry& entry : entries) reader.Add(entry);
  return reader.Finish();
}

}  // namespace limeledge
