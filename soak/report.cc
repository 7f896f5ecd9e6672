/// @file
/// Texts and plots of a run.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/report.h"

#include <fmt/format.h>

#include <algorithm>

namespace limeledge::soak {

namespace {

constexpr int kWidth = 900;
constexpr int kHeight = 320;
constexpr int kMargin = 40;
constexpr int kFaultHeight = 4;
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
  const std::int64_t width =
      std::max<std::int64_t>(1, run.experiment.length.ms());
  const std::int64_t most =
      std::max<std::int64_t>(1, Percentile(Times(run), kPercent).ms());
  const auto x = [width](std::int64_t ms) {
    return kMargin + (kWidth - 2 * kMargin) * ms / width;
  };
  const auto y = [most](std::int64_t ms) {
    return kHeight - kMargin - (kHeight - 2 * kMargin) * ms / most;
  };
  std::string plot = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      "<text x=\"{}\" y=\"15\">Time of accepted submits, up to {} ms, over {} "
      "s; bars are faults</text>\n",
      kWidth, kHeight, kMargin, most, width / 1000);
  for (std::size_t i = 0; i < run.plan.size(); ++i) {
    const Fault& fault = run.plan[i];
    plot += fmt::format(
        "<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"#d9a\" "
        "opacity=\"0.5\"><title>{} {}</title></rect>\n",
        x(fault.at.ms()), 20 + i * (kFaultHeight + 1) % (kHeight - kMargin),
        x(fault.length.ms()) - kMargin + 1, kFaultHeight, ToString(fault.kind),
        fault.target);
  }
  for (const SubmitTiming& timing : run.timings) {
    plot +=
        fmt::format("<circle cx=\"{}\" cy=\"{}\" r=\"2\" fill=\"#247\"/>\n",
                    x((timing.at - run.began_at).ms()), y(timing.took.ms()));
  }
  return plot + "</svg>\n";
}

}  // namespace limeledge::soak
