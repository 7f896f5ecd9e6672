/// @file
/// Markdown and SVG output of a run.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/report.h"

#include <fmt/format.h>

#include <algorithm>

namespace limeledge::soak {

namespace {

// Dimensions of the plot, in pixels.
constexpr int kWidth = 900;
constexpr int kHeight = 320;
constexpr int kMargin = 40;
constexpr int kTitleBase = 15;
constexpr int kFirstFault = 20;
constexpr int kFaultHeight = 4;
constexpr int kFaultGap = 1;
constexpr int kMsPerSecond = 1000;
constexpr int kPercent = 100;
constexpr int kHighPercentile = 95;

Duration Percentile(std::vector<Duration> values, int percent) {
  if (values.empty()) return Duration(0);
  std::sort(values.begin(), values.end());
  return values[(values.size() - 1) * percent / kPercent];
}

std::vector<Duration> Times(const RunSummary& run) {
  std::vector<Duration> times;
  for (const SubmitTiming& timing : run.timings) times.push_back(timing.took);
  return times;
}

std::string StateCounts(const Verdict& verdict) {
  std::string text;
  for (const auto& [state, count] : verdict.jobs_by_state) {
    text += fmt::format("{}{} {}", text.empty() ? "" : ", ", count, state);
  }
  return text;
}

/// Maps times of a run to pixel coordinates.
class Scale {
 public:
  explicit Scale(const RunSummary& run)
      : length_ms_(std::max<std::int64_t>(1, run.experiment.length.ms())),
        slowest_ms_(
            std::max<std::int64_t>(1, Percentile(Times(run), kPercent).ms())) {}

  std::int64_t length_ms() const { return length_ms_; }
  std::int64_t slowest_ms() const { return slowest_ms_; }
  /// Returns the width of a time span in pixels.
  std::int64_t Width(Duration part) const {
    return (kWidth - 2 * kMargin) * part.ms() / length_ms_;
  }
  /// Returns the x coordinate of a moment of the run.
  std::int64_t X(Duration since_begin) const {
    return kMargin + Width(since_begin);
  }
  /// Returns the y coordinate of a call latency.
  std::int64_t Y(Duration took) const {
    return kHeight - kMargin -
           (kHeight - 2 * kMargin) * took.ms() / slowest_ms_;
  }

 private:
  std::int64_t length_ms_;
  std::int64_t slowest_ms_;
};

std::string PlotHead(const Scale& scale) {
  return fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      "<text x=\"{}\" y=\"{}\">Time of accepted submits, up to {} ms, over {} "
      "s; bars are faults</text>\n",
      kWidth, kHeight, kMargin, kTitleBase, scale.slowest_ms(),
      scale.length_ms() / kMsPerSecond);
}

/// Returns the bar of a fault; `index` is its position in the plan and selects
/// the row.
std::string FaultBar(const Scale& scale, const Fault& fault,
                     std::size_t index) {
  return fmt::format(
      "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"#d9a\" "
      "opacity=\"0.5\"><title>{} {}</title></rect>\n",
      scale.X(fault.at),
      kFirstFault + index * (kFaultHeight + kFaultGap) % (kHeight - kMargin),
      scale.Width(fault.length) + 1, kFaultHeight, ToString(fault.kind),
      fault.target);
}

std::string StartGapTable(const RunSummary& run) {
  if (run.start_gaps.empty()) return "";
  std::string table =
      "\n## Longest time without a start\n\n| after | at ms | longest ms | "
      "bound "
      "ms |\n| --- | --- | --- | --- |\n";
  for (const StartGap& gap : run.start_gaps) {
    table += fmt::format("| {} | {} | {} | {} |\n", ToString(gap.fault.kind),
                         gap.fault.at.ms(), gap.longest.ms(),
                         gap.fault.starts_within.ms());
  }
  return table;
}

std::string CancelTable(const CancelTimes& times) {
  return fmt::format(
      "\n## Cancelled jobs\n\n{} cancels were acknowledged. Longest times "
      "from there:\n\n| until | ms | ms at calm |\n| --- | --- | --- |\n"
      "| the last run ended | {} | {} |\n| the last start | {} | {} |\n",
      times.acknowledged, times.last_run.ms(), times.last_run_calm.ms(),
      times.last_start.ms(), times.last_start_calm.ms());
}

}  // namespace

std::string TableHead() {
  return "| seed | faults | jobs | accepted | refused, unknown | states | "
         "starts | submit p50, p95 ms | urgent start ms | violations |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
}

std::string TableRow(const RunSummary& run) {
  const std::vector<Duration> times = Times(run);
  return fmt::format(
      "| {} | {} | {} | {} | {}, {} | {} | {} | {}, {} | {} | {} |\n", run.seed,
      run.plan.size(), run.submitted, run.accepted, run.refused, run.unknown,
      StateCounts(run.verdict), run.starts,
      Percentile(times, kPercent / 2).ms(),
      Percentile(times, kHighPercentile).ms(), run.verdict.urgent_start.ms(),
      run.violations.size());
}

std::string Page(const RunSummary& run) {
  std::string page = fmt::format("# Soak, seed {}\n\n", run.seed);
  page += TableHead() + TableRow(run);
  page += fmt::format(
      "\n{} nodes, {} runners, {} callers, {} ms under load; all jobs were "
      "final {} ms after the last fault.\n\n![times](times.svg)\n",
      run.experiment.nodes, run.experiment.runners, run.experiment.callers,
      run.experiment.length.ms(), run.verdict.settled_after.ms());
  page += "\n## Violations\n\n";
  if (run.violations.empty()) page += "None.\n";
  for (const std::string& violation : run.violations) {
    page += fmt::format("- {}\n", violation);
  }
  page += CancelTable(run.cancels);
  page += StartGapTable(run);
  page +=
      "\n## Faults\n\n| at ms | kind | target | length ms |\n"
      "| --- | --- | --- | --- |\n";
  for (const Fault& fault : run.plan) {
    page += fmt::format("| {} | {} | {} | {} |\n", fault.at.ms(),
                        ToString(fault.kind), fault.target, fault.length.ms());
  }
  return page;
}

std::string Plot(const RunSummary& run) {
  const Scale scale(run);
  std::string plot = PlotHead(scale);
  for (std::size_t i = 0; i < run.plan.size(); ++i) {
    plot += FaultBar(scale, run.plan[i], i);
  }
  for (const SubmitTiming& timing : run.timings) {
    plot +=
        fmt::format("<circle cx=\"{}\" cy=\"{}\" r=\"2\" fill=\"#247\"/>\n",
                    scale.X(timing.at - run.began_at), scale.Y(timing.took));
  }
  return plot + "</svg>\n";
}

}  // namespace limeledge::soak
