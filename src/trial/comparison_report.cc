/// @file
/// Comparisons as a table, as JSON and as a page.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "trial/comparison.h"

namespace limeledge {

namespace {

constexpr double kMsPerMinute = 60000.0;
constexpr int kPlotWidth = 720;
constexpr int kPlotHeight = 160;
/// Points of a plot; more samples are thinned out.
constexpr std::size_t kPlotPoints = 360;
constexpr const char* kColours[] = {"#1b6ca8", "#c44536", "#5b8c5a", "#8d6a9f"};

double Minutes(Duration duration) {
  return static_cast<double>(duration.ms()) / kMsPerMinute;
}

Json::Value ToJson(const PolicyOutcome& outcome) {
  Json::Value json(Json::objectValue);
  json["policy"] = outcome.policy;
  json["done"] = outcome.done;
  json["cancelled"] = outcome.cancelled;
  json["failed"] = outcome.failed;
  json["unfinished"] = outcome.unfinished;
  json["mean_ms"] = Json::Int64(outcome.mean.ms());
  json["p50_ms"] = Json::Int64(outcome.p50.ms());
  json["p95_ms"] = Json::Int64(outcome.p95.ms());
  json["p99_ms"] = Json::Int64(outcome.p99.ms());
  json["slowdown"] = outcome.slowdown;
  json["fragmentation"] = outcome.fragmentation;
  json["longest_reclaim_ms"] = Json::Int64(outcome.longest_reclaim.ms());
  json["longest_large_wait_ms"] = Json::Int64(outcome.longest_large_wait.ms());
  json["preemptions"] = outcome.preemptions;
  json["over_bound"] = outcome.over_bound;
  json["crash_score"] = outcome.crash_score;
  json["materials_score"] = outcome.materials_score;
  return json;
}

/// A line of one value over time.
std::string PlotLine(const PolicyOutcome& outcome, double longest,
                     double highest, int (*value)(const TrialSample&),
                     const char* colour) {
  std::string points;
  const std::size_t step =
      std::max<std::size_t>(1, outcome.samples.size() / kPlotPoints);
  for (std::size_t i = 0; i < outcome.samples.size(); i += step) {
    const TrialSample& sample = outcome.samples[i];
    const double x = static_cast<double>(sample.at.ms()) / longest * kPlotWidth;
    const double y = kPlotHeight * (1 - value(sample) / highest);
    absl::StrAppend(&points, fmt::format("{:.1f},{:.1f} ", x, y));
  }
  return fmt::format(
      "<polyline fill='none' stroke='{}' stroke-width='1.2' points='{}'/>",
      colour, points);
}

std::string Plot(const Comparison& comparison, const std::string& title,
                 int (*value)(const TrialSample&)) {
  double longest = 1;
  double highest = 1;
  for (const PolicyOutcome& outcome : comparison.outcomes) {
    for (const TrialSample& sample : outcome.samples) {
      longest = std::max(longest, static_cast<double>(sample.at.ms()));
      highest = std::max<double>(highest, value(sample));
    }
  }
  std::string html = fmt::format(
      "<h2>{}</h2><svg viewBox='0 -6 {} {}' role='img'>"
      "<rect width='{}' height='{}' fill='#f6f6f2'/>",
      title, kPlotWidth, kPlotHeight + 24, kPlotWidth, kPlotHeight);
  std::size_t number = 0;
  for (const PolicyOutcome& outcome : comparison.outcomes) {
    const char* colour = kColours[number++ % std::size(kColours)];
    absl::StrAppend(&html, PlotLine(outcome, longest, highest, value, colour));
  }
  absl::StrAppend(
      &html, fmt::format("<text x='4' y='12'>{:.0f}</text>"
                         "<text x='{}' y='{}' text-anchor='end'>{:.0f} h</text>"
                         "</svg>",
                         highest, kPlotWidth, kPlotHeight + 14,
                         longest / kMsPerMinute / 60));
  return html;
}

std::string Legend(const Comparison& comparison) {
  std::string html = "<p>";
  std::size_t number = 0;
  for (const PolicyOutcome& outcome : comparison.outcomes) {
    absl::StrAppend(
        &html,
        fmt::format("<span style='color:{}'>&#9644;</span> {} ",
                    kColours[number++ % std::size(kColours)], outcome.policy));
  }
  return absl::StrCat(html, "</p>");
}

}  // namespace

std::string FormatTable(const Comparison& comparison) {
  const WorkloadOptions& workload = comparison.workload;
  std::string text = fmt::format(
      "{} jobs at {}% load on {} accelerators, seed {}; least mean possible "
      "{:.1f} min\n\n",
      workload.jobs, workload.load_percent, workload.accelerators(),
      workload.seed, Minutes(comparison.lower_bound));
  text += fmt::format(
      "{:<10} {:>5} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6} {:>9} {:>9} {:>7} "
      "{:>6} {:>9}\n",
      "policy", "done", "mean", "p50", "p95", "p99", "slowdown", "frag",
      "reclaim", "largewait", "bound", "crash", "materials");
  for (const PolicyOutcome& o : comparison.outcomes) {
    text += fmt::format(
        "{:<10} {:>5} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.2f} {:>6.3f} "
        "{:>8.1f}s {:>9.1f} {:>6.2f}x {:>6.2f} {:>9.2f}\n",
        o.policy, o.done, Minutes(o.mean), Minutes(o.p50), Minutes(o.p95),
        Minutes(o.p99), o.slowdown, o.fragmentation,
        static_cast<double>(o.longest_reclaim.ms()) / 1000.0,
        Minutes(o.longest_large_wait), o.over_bound, o.crash_score,
        o.materials_score);
  }
  return text +
         "\nTimes in minutes. Scores are relative to the first policy; less is "
         "better.\n";
}

std::string FormatJson(const Comparison& comparison) {
  Json::Value json(Json::objectValue);
  json["seed"] = Json::UInt64(comparison.workload.seed);
  json["jobs"] = comparison.workload.jobs;
  json["load_percent"] = comparison.workload.load_percent;
  json["accelerators"] = comparison.workload.accelerators();
  json["lower_bound_ms"] = Json::Int64(comparison.lower_bound.ms());
  Json::Value policies(Json::arrayValue);
  for (const PolicyOutcome& outcome : comparison.outcomes) {
    policies.append(ToJson(outcome));
  }
  json["policies"] = policies;
  return WriteJson(json);
}

std::string FormatHtml(const Comparison& comparison) {
  return absl::StrCat(
      "<!doctype html><html lang='en'><meta charset='utf-8'>"
      "<title>limeledge: policies compared</title>"
      "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}"
      "pre{overflow-x:auto;background:#f6f6f2;padding:1em}"
      "svg{width:100%}text{font:11px sans-serif}</style>"
      "<h1>Policies compared</h1><pre>",
      FormatTable(comparison), "</pre>", Legend(comparison),
      Plot(comparison, "Jobs that wait",
           [](const TrialSample& sample) { return sample.waiting; }),
      Plot(comparison, "Free accelerators",
           [](const TrialSample& sample) { return sample.free; }),
      Plot(comparison,
           "Free accelerators that the largest waiting gang cannot "
           "use",
           [](const TrialSample& sample) { return sample.stranded; }),
      "</html>\n");
}

}  // namespace limeledge
