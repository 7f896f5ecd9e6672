/// @file
/// Metric families by prometheus-cpp.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/metrics.h"

#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/metric_type.h>
#include <prometheus/text_serializer.h>

#include <utility>
#include <vector>

namespace limeledge {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;
using Labels = std::vector<ClientMetric::Label>;

constexpr double kMsPerSecond = 1000.0;

/// Collects families with one line for each metric.
class MetricsPage {
 public:
  MetricFamily& Family(const std::string& name, const std::string& help,
                       MetricType type) {
    MetricFamily family;
    family.name = "limeledge_" + name;
    family.help = help;
    family.type = type;
    families_.push_back(std::move(family));
    return families_.back();
  }

  void Counter(const std::string& name, const std::string& help,
               std::int64_t value) {
    AddCounter(&Family(name, help, MetricType::Counter), {}, value);
  }

  void Gauge(const std::string& name, const std::string& help, double value) {
    AddGauge(&Family(name, help, MetricType::Gauge), {}, value);
  }

  void Histogram(const std::string& name, const std::string& help,
                 const DurationCounts& counts) {
    MetricFamily& family = Family(name, help, MetricType::Histogram);
    ClientMetric metric;
    std::uint64_t below = 0;
    for (std::size_t i = 0; i + 1 < DurationCounts::kBuckets; ++i) {
      below += static_cast<std::uint64_t>(counts.buckets[i]);
      const double bound = static_cast<double>(std::int64_t{1} << i);
      metric.histogram.bucket.push_back({below, bound / kMsPerSecond});
    }
    metric.histogram.sample_count = static_cast<std::uint64_t>(counts.count);
    metric.histogram.sample_sum =
        static_cast<double>(counts.sum_ms) / kMsPerSecond;
    family.metric.push_back(std::move(metric));
  }

  static void AddCounter(MetricFamily* family, Labels labels,
                         std::int64_t value) {
    ClientMetric metric;
    metric.label = std::move(labels);
    metric.counter.value = static_cast<double>(value);
    family->metric.push_back(std::move(metric));
  }

  static void AddGauge(MetricFamily* family, Labels labels, double value) {
    ClientMetric metric;
    metric.label = std::move(labels);
    metric.gauge.value = value;
    family->metric.push_back(std::move(metric));
  }

  std::string Format() const {
    return prometheus::TextSerializer().Serialize(families_);
  }

 private:
  std::vector<MetricFamily> families_;
};

void AddRequests(const MetricsSnapshot& snapshot, MetricsPage* page) {
  const Counters& counters = snapshot.counters;
  MetricFamily& requests = page->Family(
      "requests_total", "Requests by outcome.", MetricType::Counter);
  for (const auto& [key, counts] : counters.requests) {
    const auto labels = [&key = key](const char* outcome) {
      return Labels{{"workspace", key.workspace.value()},
                    {"class", key.work_class.value()},
                    {"outcome", outcome}};
    };
    MetricsPage::AddCounter(&requests, labels("answered"), counts.answered);
    MetricsPage::AddCounter(&requests, labels("not_run"), counts.not_run);
    MetricsPage::AddCounter(&requests, labels("unknown"), counts.unknown);
  }
  page->Histogram("request_seconds", "Time from arrival to the final answer.",
                  counters.request_time);
  page->Histogram("request_queue_seconds",
                  "Time from arrival to first sending.", counters.queue_time);
  page->Gauge("requests_pending", "Requests without a final answer.",
              snapshot.pending_requests);
  page->Gauge("requests_queued", "Requests that wait for a runner.",
              snapshot.queued_requests);
  page->Gauge("request_queue_age_seconds",
              "Age of the request that has waited longest.",
              static_cast<double>(snapshot.oldest_queued.ms()) / kMsPerSecond);
  page->Gauge("runner_slots_owned", "Runner slots of this instance.",
              snapshot.owned_slots);
  page->Gauge("runner_slots_free", "Free runner slots of this instance.",
              snapshot.free_slots);
  page->Counter("retries_total", "Retried attempts.", counters.retries);
  page->Counter("retries_denied_total", "Retries that the budget denied.",
                counters.retries_denied);
  page->Counter("foreign_answers_total", "Answers that fitted no request.",
                counters.foreign_answers);
  page->Counter("late_answers_total", "Answers that nobody waited for.",
                counters.late_answers);
  page->Counter("claims_replayed_total", "Recorded answers given again.",
                counters.claims_replayed);
}

void AddJobs(const MetricsSnapshot& snapshot, MetricsPage* page) {
  const Counters& counters = snapshot.counters;
  MetricFamily& ended = page->Family(
      "jobs_ended_total", "Jobs ended here, by state.", MetricType::Counter);
  for (const auto& [state, count] : counters.jobs_ended) {
    MetricsPage::AddCounter(&ended, {{"state", ToString(state)}}, count);
  }
  page->Histogram("job_wait_seconds", "Time from waiting to placement.",
                  counters.job_wait_time);
  page->Histogram("reclaim_seconds",
                  "Time from the need of a guarantee to its placement.",
                  counters.reclaim_time);
  page->Counter("preemptions_total", "Borrowed placements asked to make way.",
                counters.preemptions);
  page->Counter("shadow_agreed_total",
                "Decisions in which the shadow policy agreed.",
                counters.shadow_agreed);
  page->Counter("shadow_differed_total",
                "Decisions in which the shadow policy differed.",
                counters.shadow_differed);
  page->Gauge("jobs_known", "Jobs in the table, ended ones too.",
              snapshot.jobs);
  page->Counter("exchanges_total", "Exchanges sent to workers.",
                counters.exchanges);
  page->Counter("exchanges_failed_total", "Exchanges without a reply.",
                counters.exchanges_failed);
  page->Counter("stale_epochs_total", "Exchanges that a newer epoch refused.",
                counters.stale_epochs);
}

void AddHalls(const MetricsSnapshot& snapshot, MetricsPage* page) {
  struct HallGauge {
    const char* name;
    const char* help;
    double (*value)(const HallMetrics&);
  };
  static constexpr HallGauge kGauges[] = {
      {"hall_lease_held", "1 while the lease on the hall runs.",
       [](const HallMetrics& hall) { return hall.held ? 1.0 : 0.0; }},
      {"hall_accelerators_free", "Free accelerators.",
       [](const HallMetrics& hall) { return 1.0 * hall.free_accelerators; }},
      {"hall_accelerators_usable", "Accelerators of usable workers.",
       [](const HallMetrics& hall) { return 1.0 * hall.usable_accelerators; }},
      {"hall_accelerators_stranded",
       "Free accelerators in pieces too small for the largest waiting gang.",
       [](const HallMetrics& hall) {
         return 1.0 * hall.stranded_accelerators;
       }},
      {"hall_fragmentation", "Share of the free accelerators that is stranded.",
       [](const HallMetrics& hall) {
         return hall.free_accelerators == 0
                    ? 0.0
                    : 1.0 * hall.stranded_accelerators / hall.free_accelerators;
       }},
      {"hall_jobs_waiting", "Jobs that wait in the hall.",
       [](const HallMetrics& hall) { return 1.0 * hall.waiting_jobs; }},
      {"hall_jobs_placed", "Jobs that hold workers of the hall.",
       [](const HallMetrics& hall) { return 1.0 * hall.placed_jobs; }},
      {"hall_guarantees_at_risk",
       "1 when lost workers leave too little for all guarantees.",
       [](const HallMetrics& hall) {
         return hall.guarantees_at_risk ? 1.0 : 0.0;
       }},
  };
  for (const HallGauge& gauge : kGauges) {
    MetricFamily& family =
        page->Family(gauge.name, gauge.help, MetricType::Gauge);
    for (const HallMetrics& hall : snapshot.halls) {
      MetricsPage::AddGauge(&family, {{"hall", hall.hall.value()}},
                            gauge.value(hall));
    }
  }
}

void AddProcess(const MetricsSnapshot& snapshot, MetricsPage* page) {
  const Counters& counters = snapshot.counters;
  page->Gauge("ready", "1 when the instance takes work.",
              snapshot.ready ? 1 : 0);
  page->Gauge("settings_version", "Settings version in force.",
              static_cast<double>(snapshot.settings.value()));
  page->Gauge("members_live", "Live instances as seen from here.",
              snapshot.live_members);
  page->Gauge("store_reachable", "1 while the table service answers.",
              snapshot.store_reachable ? 1 : 0);
  page->Gauge("store_revision", "Newest revision read.",
              static_cast<double>(snapshot.read_up_to.value()));
  page->Gauge("store_writes_waiting", "Writes whose fate is not known.",
              snapshot.waiting_writes);
  page->Counter("store_transactions_total", "Transactions sent.",
                counters.transactions);
  page->Counter("store_rows_written_total", "Rows sent in transactions.",
                counters.rows_written);
  page->Counter("store_rows_read_total", "Changed rows read.",
                counters.rows_read);
  page->Counter("store_conflicts_total", "Transactions that conflicted.",
                counters.conflicts);
  page->Counter("store_lost_answers_total", "Transactions without an answer.",
                counters.lost_answers);
  page->Histogram("store_seconds", "Round trips of transactions.",
                  counters.store_time);
  page->Counter("heartbeats_total", "Heartbeats sent to peers.",
                counters.heartbeats);
}

}  // namespace

std::string FormatMetrics(const MetricsSnapshot& snapshot) {
  MetricsPage page;
  AddProcess(snapshot, &page);
  AddRequests(snapshot, &page);
  AddJobs(snapshot, &page);
  AddHalls(snapshot, &page);
  return page.Format();
}

}  // namespace limeledge
