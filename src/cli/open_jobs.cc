/// @file
/// Summarizes settled and open jobs by queue.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/open_jobs.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cli/delays.h"

namespace limeledge {

namespace {

int TasksNotDone(const JobHistory& job) {
  int tasks = 0;
  for (const auto& [step, count] : CountTasks(job)) {
    tasks += count.known - count.done;
  }
  return tasks;
}

void AddPreemptions(const JobHistory& job, PreemptionCounts* counts) {
  ++(*counts)[std::min(CountPreemptions(job), counts->size() - 1)];
}

AgeBand& BandOf(Duration age, QueueSummary* summary) {
  std::size_t band = kAgeBandsMs.size() - 1;
  while (band > 0 && age < Duration(kAgeBandsMs[band])) --band;
  return summary->ages[band];
}

void AddOpenJob(const JobHistory& job,
                const std::vector<LeadershipTerm>& leadership_terms,
                std::int64_t end_ms, QueueSummary* summary) {
  AgeBand& band = BandOf(Duration(end_ms - job.first_submit_ms), summary);
  ++summary->open;
  ++band.jobs;
  band.tasks_not_done += TasksNotDone(job);
  AddPreemptions(job, &band.preemption_counts);
  Duration delayed;
  for (const Delay& delay : DelaysUntil(job, leadership_terms, end_ms)) {
    Duration& length = band.causes[delay.cause];
    length = length + delay.length;
    if (delay.cause != kCauseWork) delayed = delayed + delay.length;
  }
  band.worst.Add(static_cast<double>(delayed.ms()), job.id);
}

void AddIdle(const JobHistory& job, std::int64_t end_ms,
             QueueSummary* summary) {
  const Duration idle = LongestIdle(job, end_ms);
  if (idle <= summary->longest_idle) return;
  summary->longest_idle = idle;
  summary->longest_idle_job = job.id;
}

QueueSummary EmptySummary() {
  QueueSummary summary;
  for (std::size_t band = 0; band < kAgeBandsMs.size(); ++band) {
    summary.ages[band].from = Duration(kAgeBandsMs[band]);
  }
  return summary;
}

}  // namespace

std::size_t CountPreemptions(const JobHistory& job) {
  std::set<std::int64_t> stop_times;
  for (const auto& [key, runs] : job.tasks) {
    for (const LoggedRun& run : runs) {
      if (run.fate == RunFate::kPreempted) stop_times.insert(run.stopped_ms);
    }
  }
  return stop_times.size();
}

Duration LongestIdle(const JobHistory& job, std::int64_t end_ms) {
  if (job.accepted_ms == 0) return Duration(0);
  const std::int64_t job_end_ms = job.settled_ms == 0 ? end_ms : job.settled_ms;
  std::vector<std::pair<std::int64_t, std::int64_t>> busy;
  for (const auto& [key, runs] : job.tasks) {
    for (const LoggedRun& run : runs) {
      busy.emplace_back(run.begun_ms,
                        run.ended_ms == 0 ? job_end_ms : run.ended_ms);
    }
  }
  busy.emplace_back(job_end_ms, job_end_ms);
  std::sort(busy.begin(), busy.end());
  std::int64_t idle_from_ms = job.accepted_ms;
  std::int64_t longest_ms = 0;
  for (const auto& [from_ms, to_ms] : busy) {
    longest_ms = std::max(longest_ms, from_ms - idle_from_ms);
    idle_from_ms = std::max(idle_from_ms, to_ms);
  }
  return Duration(longest_ms);
}

std::map<std::string, QueueSummary> SummarizeQueues(const Histories& histories,
                                                    std::int64_t end_ms) {
  std::map<std::string, QueueSummary> queue_summaries;
  for (const auto& [id, job] : histories.jobs) {
    const bool included = job.accepted_ms != 0 && job.state != kStateCancelled;
    if (!included) continue;
    QueueSummary& summary =
        queue_summaries.try_emplace(GroupName(job.queue), EmptySummary())
            .first->second;
    if (job.settled_ms == 0) {
      AddOpenJob(job, histories.leadership_terms, end_ms, &summary);
    } else {
      ++summary.settled;
    }
    AddPreemptions(job, &summary.preemption_counts);
    AddIdle(job, end_ms, &summary);
  }
  return queue_summaries;
}

}  // namespace limeledge
