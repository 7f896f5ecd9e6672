/// @file
/// Computes the totals over jobs, runs and seconds.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/work_report.h"

#include <algorithm>

namespace limeledge {

namespace {

constexpr std::int64_t kMillisPerSecond = 1000;

/// Sums the delays of one job by cause.
std::map<std::string, Duration> SumByCause(const std::vector<Delay>& delays) {
  std::map<std::string, Duration> causes;
  for (const Delay& delay : delays) {
    Duration& length = causes[delay.cause];
    length = length + delay.length;
  }
  return causes;
}

void AddJob(const JobHistory& job,
            const std::map<std::string, Duration>& causes, GroupTotal* group) {
  ++group->jobs;
  for (const auto& [cause, length] : causes) {
    group->length = group->length + length;
    CauseTotal& total = group->causes[cause];
    total.length = total.length + length;
    ++total.jobs;
    total.top_jobs.Add(static_cast<double>(length.ms()), job.id);
  }
}

/// Totals of one second while jobs are being added.
struct SecondAccumulator {
  SecondTotal total;
  std::map<std::string, Duration> causes;
};

void AddJob(const JobHistory& job,
            const std::map<std::string, Duration>& causes,
            SecondAccumulator* second) {
  ++second->total.jobs;
  Duration lost;
  for (const auto& [cause, length] : causes) {
    if (cause == kCauseWork) continue;
    lost = lost + length;
    Duration& sum = second->causes[cause];
    sum = sum + length;
  }
  second->total.lost = second->total.lost + lost;
  second->total.top_jobs.Add(static_cast<double>(lost.ms()), job.id);
}

std::string MainCause(const std::map<std::string, Duration>& causes) {
  const auto main = std::max_element(
      causes.begin(), causes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return main == causes.end() ? "" : main->first;
}

std::vector<SecondTotal> WorstSeconds(
    const std::map<std::int64_t, SecondAccumulator>& seconds,
    std::size_t max_seconds) {
  std::vector<SecondTotal> worst;
  for (const auto& [second, accumulator] : seconds) {
    worst.push_back(accumulator.total);
    worst.back().second = second;
    worst.back().main_cause = MainCause(accumulator.causes);
  }
  std::stable_sort(worst.begin(), worst.end(),
                   [](const SecondTotal& a, const SecondTotal& b) {
                     return a.lost > b.lost;
                   });
  if (worst.size() > max_seconds) worst.resize(max_seconds);
  return worst;
}

double AcceleratorSeconds(const LoggedRun& run) {
  return static_cast<double>(run.accelerators * run.length().ms()) /
         kMillisPerSecond;
}

double CoreSeconds(const LoggedRun& run) {
  return static_cast<double>(run.cpu_millis * run.length().ms()) /
         (kMillisPerSecond * kMillisPerSecond);
}

void AddWaste(const JobHistory& job, const LoggedRun& run, WorkReport* report) {
  const bool lost = run.ended_ms != 0 && run.fate != RunFate::kDone &&
                    run.fate != RunFate::kRejected;
  if (!lost) return;
  WasteTotal& total = report->waste[run.fate];
  ++total.runs;
  ++total.runs_by_queue[GroupName(job.queue)];
  if (run.saved) {
    ++total.saved;
    return;
  }
  total.accelerator_seconds += AcceleratorSeconds(run);
  total.core_seconds += CoreSeconds(run);
  total.top_jobs.Add(AcceleratorSeconds(run), job.id);
}

void AddDecisions(const JobHistory& job, WorkReport* report) {
  std::map<std::string, int> counts;
  for (const LoggedDecision& decision : job.decisions) ++counts[decision.text];
  for (const auto& [text, count] : counts) {
    DecisionTotal& total = report->decisions[text];
    total.decisions += count;
    ++total.jobs;
    total.top_jobs.Add(count, job.id);
  }
}

/// Returns the job's first run that starts at or after `from_ms`; null if there
/// is none. `runner`: the runner of the run; any runner if empty.
const LoggedRun* FirstStartFrom(const JobHistory& job, std::int64_t from_ms,
                                const std::string& runner) {
  const LoggedRun* first = nullptr;
  for (const auto& [key, runs] : job.tasks) {
    for (const LoggedRun& run : runs) {
      if (run.begun_ms < from_ms) continue;
      if (!runner.empty() && run.runner != runner) continue;
      if (first == nullptr || run.begun_ms < first->begun_ms) first = &run;
    }
  }
  return first;
}

/// Returns all runs that were preempted, by the job that they were preempted
/// for.
std::map<std::string, std::vector<const LoggedRun*>> PreemptedRuns(
    const Histories& histories) {
  std::map<std::string, std::vector<const LoggedRun*>> preempted_runs;
  for (const auto& [id, job] : histories.jobs) {
    for (const auto& [key, runs] : job.tasks) {
      for (const LoggedRun& run : runs) {
        const bool preempted =
            run.fate == RunFate::kPreempted && run.ended_ms != 0;
        if (preempted) preempted_runs[run.preempted_for].push_back(&run);
      }
    }
  }
  return preempted_runs;
}

void AddPreemptions(const Histories& histories, WorkReport* report) {
  for (const auto& [id, runs] : PreemptedRuns(histories)) {
    const auto found = histories.jobs.find(id);
    if (found == histories.jobs.end()) continue;
    const JobHistory& job = found->second;
    PreemptionTotal& total = report->preemptions[GroupName(job.queue)];
    ++total.jobs;
    std::int64_t first_ms = runs.front()->ended_ms;
    for (const LoggedRun* run : runs) {
      ++total.runs;
      total.accelerator_seconds += AcceleratorSeconds(*run);
      first_ms = std::min(first_ms, run->ended_ms);
      const bool used =
          FirstStartFrom(job, run->ended_ms, run->runner) != nullptr;
      if (used) ++total.used_runs;
    }
    const LoggedRun* start = FirstStartFrom(job, first_ms, "");
    if (start == nullptr) continue;
    total.wait = total.wait + Duration(start->begun_ms - first_ms);
    ++total.waits;
  }
}

}  // namespace

WorkReport MakeWorkReport(const std::vector<LogEntry>& entries,
                          std::size_t max_seconds, Duration slot) {
  WorkReport report;
  if (entries.empty()) return report;
  report.begin_ms = entries.front().wall_ms;
  const Histories histories = ReadHistories(entries);
  std::map<std::int64_t, SecondAccumulator> seconds;
  for (const auto& [id, job] : histories.jobs) {
    for (const auto& [key, runs] : job.tasks) {
      for (const LoggedRun& run : runs) AddWaste(job, run, &report);
    }
    AddDecisions(job, &report);
    const bool open = job.accepted_ms != 0 && job.settled_ms == 0;
    if (open) report.open_jobs.push_back(id);
    // The caller decided how long a cancelled job lasted, so its time is not
    // attributed to causes.
    if (job.state == kStateCancelled) continue;
    const std::vector<Delay> delays = DelaysOf(job, histories.leadership_terms);
    if (delays.empty()) continue;
    ++report.settled_jobs;
    const std::map<std::string, Duration> causes = SumByCause(delays);
    AddJob(job, causes, &report.queues[GroupName(job.queue)]);
    AddJob(job, causes, &report.workspaces[GroupName(job.workspace)]);
    const std::int64_t second =
        (job.first_submit_ms - report.begin_ms) / kMillisPerSecond;
    AddJob(job, causes, &seconds[second]);
  }
  AddPreemptions(histories, &report);
  report.worst_seconds = WorstSeconds(seconds, max_seconds);
  report.queue_summaries = SummarizeQueues(histories, entries.back().wall_ms);
  report.use = MakeAcceleratorUse(entries, histories, slot);
  return report;
}

}  // namespace limeledge
