/// @file
/// Computes the use of accelerators and cores per time slot.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/accelerator_use.h"

#include <algorithm>
#include <utility>

namespace limeledge {

namespace {

constexpr double kMillisPerCore = 1000;

/// An interval of wall time.
struct Span {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

ResourceAmount operator*(const ResourceAmount& amount, double factor) {
  return {amount.accelerators * factor, amount.cores * factor};
}

ResourceAmount operator+(const ResourceAmount& a, const ResourceAmount& b) {
  return {a.accelerators + b.accelerators, a.cores + b.cores};
}

ResourceAmount ResourcesOf(const LoggedRun& run) {
  return {static_cast<double>(run.accelerators),
          static_cast<double>(run.cpu_millis) / kMillisPerCore};
}

ResourceAmount ElementwiseMax(const ResourceAmount& a,
                              const ResourceAmount& b) {
  return {std::max(a.accelerators, b.accelerators), std::max(a.cores, b.cores)};
}

/// Intervals in which runners were usable, by runner.
using RunnerSpans = std::map<std::string, std::vector<Span>>;

bool MakesUsable(const std::string& event) {
  return event == "runner_listed" || event == "runner_heard" ||
         event == "run_assigned";
}

bool MakesUnusable(const std::string& event) {
  return event == "runner_unlisted" || event == "runner_gone" ||
         event == "runner_silent" || event == "runner_lost" ||
         event == "runner_drains";
}

RunnerSpans UsableSpans(const std::vector<LogEntry>& entries) {
  RunnerSpans spans;
  // Runners that are usable now, and since when.
  std::map<std::string, std::int64_t> usable;
  for (const LogEntry& entry : entries) {
    const std::string& runner = entry.Field("runner");
    if (MakesUsable(entry.event)) usable.emplace(runner, entry.wall_ms);
    if (!MakesUnusable(entry.event)) continue;
    const auto found = usable.find(runner);
    if (found == usable.end()) continue;
    spans[runner].push_back({found->second, entry.wall_ms});
    usable.erase(found);
  }
  for (const auto& [runner, from_ms] : usable) {
    spans[runner].push_back({from_ms, entries.back().wall_ms});
  }
  return spans;
}

/// Computes the peak of the resources that the runs on each runner held at the
/// same time.
class RunnerPeaks {
 public:
  void Add(const LoggedRun& run, Span span) {
    Change(run.runner, span.from_ms, ResourcesOf(run));
    Change(run.runner, span.to_ms, ResourcesOf(run) * -1);
  }

  ResourceAmount PeakOf(const std::string& runner) const {
    const auto found = changes_.find(runner);
    if (found == changes_.end()) return {};
    ResourceAmount held;
    ResourceAmount peak;
    for (const auto& [at_ms, change] : found->second) {
      held = held + change;
      peak = ElementwiseMax(peak, held);
    }
    return peak;
  }

 private:
  void Change(const std::string& runner, std::int64_t at_ms,
              const ResourceAmount& delta) {
    ResourceAmount& change = changes_[runner][at_ms];
    change = change + delta;
  }

  /// Resources acquired minus resources released, by runner and time.
  std::map<std::string, std::map<std::int64_t, ResourceAmount>> changes_;
};

/// Time slots to which runs, runners and open jobs are added.
class SlotTable {
 public:
  SlotTable(Span log_span, Duration slot)
      : log_span_(log_span), slot_(slot), slots_(CountSlots(log_span, slot)) {
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      slots_[i].begin = slot * static_cast<std::int64_t>(i);
    }
  }

  void AddRun(const std::string& queue, const ResourceAmount& amount,
              Span span) {
    Spread(amount, span, [&queue](const ResourceAmount& mean, UseSlot* slot) {
      slot->used_by_queue[queue] += mean.accelerators;
      slot->used = slot->used + mean;
      slot->idle_at_least = slot->idle_at_least + mean * -1;
    });
  }

  void AddRunner(const ResourceAmount& amount, Span span) {
    Spread(amount, span, [](const ResourceAmount& mean, UseSlot* slot) {
      slot->idle_at_least = slot->idle_at_least + mean;
    });
  }

  void AddJob(const std::string& queue, Span span) {
    for (UseSlot& slot : slots_) {
      const std::int64_t begin_ms = log_span_.from_ms + slot.begin.ms();
      const bool open = span.from_ms <= begin_ms && begin_ms < span.to_ms;
      if (open) ++slot.open_jobs[queue];
    }
  }

  std::vector<UseSlot> Finish() {
    for (UseSlot& slot : slots_) {
      // A run on a draining runner counts as use, but the runner no longer
      // counts as usable, so the difference can be negative.
      slot.idle_at_least = ElementwiseMax(slot.idle_at_least, ResourceAmount());
    }
    return std::move(slots_);
  }

 private:
  static std::size_t CountSlots(Span log_span, Duration slot) {
    const std::int64_t length_ms = log_span.to_ms - log_span.from_ms;
    return static_cast<std::size_t>((length_ms + slot.ms() - 1) / slot.ms());
  }

  /// Calls `add` for each slot that overlaps the span, with the mean of the
  /// amount over that slot.
  template <typename Adder>
  void Spread(const ResourceAmount& amount, Span span, const Adder& add) {
    for (UseSlot& slot : slots_) {
      const std::int64_t begin_ms = log_span_.from_ms + slot.begin.ms();
      const std::int64_t end_ms =
          std::min(begin_ms + slot_.ms(), log_span_.to_ms);
      const std::int64_t overlap_ms =
          std::min(span.to_ms, end_ms) - std::max(span.from_ms, begin_ms);
      if (overlap_ms <= 0) continue;
      add(amount * (static_cast<double>(overlap_ms) /
                    static_cast<double>(end_ms - begin_ms)),
          &slot);
    }
  }

  Span log_span_;
  Duration slot_;
  std::vector<UseSlot> slots_;
};

}  // namespace

std::vector<UseSlot> MakeAcceleratorUse(const std::vector<LogEntry>& entries,
                                        const Histories& histories,
                                        Duration slot) {
  if (entries.empty()) return {};
  const Span log_span = {entries.front().wall_ms, entries.back().wall_ms};
  SlotTable table(log_span, slot);
  RunnerPeaks peaks;
  const auto make_span = [&log_span](std::int64_t from_ms, std::int64_t to_ms) {
    return Span{from_ms, to_ms == 0 ? log_span.to_ms : to_ms};
  };
  for (const auto& [id, job] : histories.jobs) {
    const std::string queue = GroupName(job.queue);
    for (const auto& [key, runs] : job.tasks) {
      for (const LoggedRun& run : runs) {
        const Span span = make_span(run.begun_ms, run.ended_ms);
        table.AddRun(queue, ResourcesOf(run), span);
        peaks.Add(run, span);
      }
    }
    if (job.accepted_ms == 0) continue;
    table.AddJob(queue, make_span(job.accepted_ms, job.settled_ms));
  }
  for (const auto& [runner, spans] : UsableSpans(entries)) {
    for (const Span& span : spans) {
      table.AddRunner(peaks.PeakOf(runner), span);
    }
  }
  return table.Finish();
}

}  // namespace limeledge
