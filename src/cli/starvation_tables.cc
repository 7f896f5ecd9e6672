/// @file
/// Formats summaries of queues and the use of accelerators.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/starvation_tables.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "cli/report_values.h"

namespace limeledge {

namespace {

// Maximum number of causes of an age band in the text; the JSON has them all.
constexpr std::size_t kMaxCauses = 4;

Json::Value ToJson(const PreemptionCounts& counts) {
  Json::Value json(Json::arrayValue);
  for (const int jobs : counts) json.append(jobs);
  return json;
}

Json::Value ToJson(const ResourceAmount& amount) {
  Json::Value json;
  json["accelerators"] = amount.accelerators;
  json["cores"] = amount.cores;
  return json;
}

Json::Value ToJson(const AgeBand& band) {
  Json::Value json;
  json["from_seconds"] = Seconds(band.from);
  json["jobs"] = band.jobs;
  json["tasks_not_done"] = band.tasks_not_done;
  json["seconds_by_cause"] = Json::Value(Json::objectValue);
  for (const auto& [cause, length] : band.causes) {
    json["seconds_by_cause"][cause] = Seconds(length);
  }
  json["jobs_by_times_displaced"] = ToJson(band.preemption_counts);
  json["worst"] = limeledge::ToJson(band.worst);
  return json;
}

Json::Value ToJson(const QueueSummary& summary) {
  Json::Value json;
  json["settled_jobs"] = summary.settled;
  json["open_jobs"] = summary.open;
  json["jobs_by_times_displaced"] = ToJson(summary.preemption_counts);
  json["longest_idle_seconds"] = Seconds(summary.longest_idle);
  json["longest_idle_job"] = summary.longest_idle_job;
  json["open_by_age"] = Json::Value(Json::arrayValue);
  for (const AgeBand& band : summary.ages) {
    json["open_by_age"].append(ToJson(band));
  }
  return json;
}

/// Returns the label of an age band, such as "5 to 10 s".
std::string NameOfBand(const QueueSummary& summary, std::size_t band) {
  const double from = Seconds(summary.ages[band].from);
  if (band + 1 == summary.ages.size()) return fmt::format("over {} s", from);
  const double to = Seconds(summary.ages[band + 1].from);
  return fmt::format("{} to {} s", from, to);
}

/// Returns the causes with the longest times, in descending order.
std::vector<std::pair<std::string, Duration>> MainCauses(const AgeBand& band) {
  std::vector<std::pair<std::string, Duration>> causes(band.causes.begin(),
                                                       band.causes.end());
  std::stable_sort(
      causes.begin(), causes.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
  if (causes.size() > kMaxCauses) causes.resize(kMaxCauses);
  return causes;
}

void PrintBand(const std::string& name, const AgeBand& band) {
  const PreemptionCounts& preemption_counts = band.preemption_counts;
  fmt::print("  {:<10} {:>5} {:>6}  {:>5} {:>4} {:>5} {:>8}  {}\n", name,
             band.jobs, band.tasks_not_done, preemption_counts[0],
             preemption_counts[1], preemption_counts[2], preemption_counts[3],
             JoinJobs(band.worst));
  for (const auto& [cause, length] : MainCauses(band)) {
    fmt::print("  {:>22.1f} s  {}\n", Seconds(length), cause);
  }
}

void PrintOpenJobs(const std::string& queue, const QueueSummary& summary) {
  if (summary.open == 0) return;
  fmt::print("\nOpen jobs of queue {}, by age\n", queue);
  fmt::print("  {:<10} {:>5} {:>6}  {:>5} {:>4} {:>5} {:>8}  {}\n", "AGE",
             "JOBS", "TASKS", "NEVER", "ONCE", "TWICE", "3 TIMES+", "WORST");
  for (std::size_t band = 0; band < summary.ages.size(); ++band) {
    if (summary.ages[band].jobs == 0) continue;
    PrintBand(NameOfBand(summary, band), summary.ages[band]);
  }
}

void PrintQueues(const std::map<std::string, QueueSummary>& queue_summaries) {
  fmt::print("\nJobs by how often their runs made way, and the longest wait\n");
  fmt::print("  {:>7} {:>5}  {:>5} {:>4} {:>5} {:>8}  {:>9}  {:<20} {}\n",
             "SETTLED", "OPEN", "NEVER", "ONCE", "TWICE", "3 TIMES+",
             "NO RUN S", "OF JOB", "QUEUE");
  for (const auto& [queue, summary] : queue_summaries) {
    const PreemptionCounts& preemption_counts = summary.preemption_counts;
    fmt::print("  {:>7} {:>5}  {:>5} {:>4} {:>5} {:>8}  {:>9.1f}  {:<20} {}\n",
               summary.settled, summary.open, preemption_counts[0],
               preemption_counts[1], preemption_counts[2], preemption_counts[3],
               Seconds(summary.longest_idle), summary.longest_idle_job, queue);
  }
}

std::set<std::string> QueuesOf(const std::vector<UseSlot>& use) {
  std::set<std::string> queues;
  for (const UseSlot& slot : use) {
    for (const auto& [queue, used] : slot.used_by_queue) queues.insert(queue);
    for (const auto& [queue, jobs] : slot.open_jobs) queues.insert(queue);
  }
  return queues;
}

template <typename Value>
Value ValueOf(const std::map<std::string, Value>& values,
              const std::string& queue) {
  const auto found = values.find(queue);
  return found == values.end() ? Value() : found->second;
}

void PrintSlot(const UseSlot& slot, const std::set<std::string>& queues) {
  fmt::print("  {:>6.0f} {:>7.1f} {:>7.1f} {:>8.0f} {:>10.0f}",
             Seconds(slot.begin), slot.used.accelerators,
             slot.idle_at_least.accelerators, slot.used.cores,
             slot.idle_at_least.cores);
  for (const std::string& queue : queues) {
    fmt::print("  {:>9.1f} {:>5}", ValueOf(slot.used_by_queue, queue),
               ValueOf(slot.open_jobs, queue));
  }
  fmt::print("\n");
}

}  // namespace

Json::Value ToJson(const std::map<std::string, QueueSummary>& queue_summaries) {
  Json::Value json(Json::objectValue);
  for (const auto& [queue, summary] : queue_summaries) {
    json[queue] = ToJson(summary);
  }
  return json;
}

Json::Value ToJson(const std::vector<UseSlot>& use) {
  Json::Value json(Json::arrayValue);
  for (const UseSlot& slot : use) {
    Json::Value row;
    row["begin_seconds"] = Seconds(slot.begin);
    row["used"] = ToJson(slot.used);
    row["idle_at_least"] = ToJson(slot.idle_at_least);
    for (const auto& [queue, used] : slot.used_by_queue) {
      row["queues"][queue]["used"] = used;
    }
    for (const auto& [queue, jobs] : slot.open_jobs) {
      row["queues"][queue]["open_jobs"] = jobs;
    }
    json.append(std::move(row));
  }
  return json;
}

void PrintQueueSummaries(
    const std::map<std::string, QueueSummary>& queue_summaries) {
  if (queue_summaries.empty()) return;
  PrintQueues(queue_summaries);
  for (const auto& [queue, summary] : queue_summaries) {
    PrintOpenJobs(queue, summary);
  }
}

void PrintUse(const std::vector<UseSlot>& use) {
  if (use.empty()) return;
  const std::set<std::string> queues = QueuesOf(use);
  fmt::print("\nAccelerators in use, and open jobs at each slot's beginning\n");
  fmt::print("  {:>6} {:>7} {:>7} {:>8} {:>10}", "SECOND", "IN USE", "IDLE",
             "CORES", "IDLE CORES");
  for (const std::string& queue : queues) fmt::print("  {:>15}", queue);
  fmt::print("\n");
  for (const UseSlot& slot : use) PrintSlot(slot, queues);
}

}  // namespace limeledge
