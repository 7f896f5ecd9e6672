/// @file
/// Spreading runs and runners over slots of time.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/accelerator_use.h"

#include <algorithm>
#include <utility>

namespace limeledge {

namespace {

constexpr double kMillisPerCore = 1000;

/// A stretch of wall time.
struct Span {
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

ResourceAmount operator*(const ResourceAmount& room, double factor) {
  return {room.accelerators * factor, room.cores * factor};
}

ResourceAmount operator+(const ResourceAmount& a, const ResourceAmount& b) {
  return {a.accelerators + b.accelerators, a.cores + b.cores};
}

ResourceAmount RoomOf(const LoggedRun& run) {
  return {static_cast<double>(run.accelerators),
          static_cast<double>(run.cpu_millis) / kMillisPerCore};
}

ResourceAmount MostOf(const ResourceAmount& a, const ResourceAmount& b) {
  return {std::max(a.accelerators, b.accelerators), std::max(a.cores, b.cores)};
}

/// Times in which runners could be used, by runner.
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
  // Runners that can be used, and since when.
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

/// Takes up runs and tells the most that each runner held at once.
class RunnerPeaks {
 public:
  void Add(const LoggedRun& run, Span span) {
    Change(run.runner, span.from_ms, RoomOf(run));
    Change(run.runner, span.to_ms, RoomOf(run) * -1);
  }

  ResourceAmount PeakOf(const std::string& runner) const {
    const auto found = changes_.find(runner);
    if (found == changes_.end()) return {};
    ResourceAmount held;
    ResourceAmount peak;
    for (const auto& [at_ms, change] : found->second) {
      held = held + change;
      peak = MostOf(peak, held);
    }
    return peak;
  }

 private:
  void Change(const std::string& runner, std::int64_t at_ms,
              const ResourceAmount& by) {
    ResourceAmount& change = changes_[runner][at_ms];
    change = change + by;
  }

  /// Room taken less what was given back, by runner and moment.
  std::map<std::string, std::map<std::int64_t, ResourceAmount>> changes_;
};

/// The slots, with what is added to them.
class SlotTable {
 public:
  SlotTable(Span whole, Duration slot)
      : whole_(whole), slot_(slot), slots_(Number(whole, slot)) {
    for (std::size_t i = 0; i < slots_.size(); ++i) {
      slots_[i].begin = slot * static_cast<std::int64_t>(i);
    }
  }

  void AddRun(const std::string& queue, const ResourceAmount& room, Span span) {
    Spread(room, span, [&queue](const ResourceAmount& mean, UseSlot* slot) {
      slot->used_by_queue[queue] += mean.accelerators;
      slot->used = slot->used + mean;
      slot->idle_at_least = slot->idle_at_least + mean * -1;
    });
  }

  void AddRunner(const ResourceAmount& room, Span span) {
    Spread(room, span, [](const ResourceAmount& mean, UseSlot* slot) {
      slot->idle_at_least = slot->idle_at_least + mean;
    });
  }

  void AddJob(const std::string& queue, Span span) {
    for (UseSlot& slot : slots_) {
      const std::int64_t begin_ms = whole_.from_ms + slot.begin.ms();
      const bool open = span.from_ms <= begin_ms && begin_ms < span.to_ms;
      if (open) ++slot.open_jobs[queue];
    }
  }

  std::vector<UseSlot> Finish() {
    for (UseSlot& slot : slots_) {
      // Runs on runners that are about to leave hold more than counts as room.
      slot.idle_at_least = MostOf(slot.idle_at_least, ResourceAmount());
    }
    return std::move(slots_);
  }

 private:
  static std::size_t Number(Span whole, Duration slot) {
    const std::int64_t length_ms = whole.to_ms - whole.from_ms;
    return static_cast<std::size_t>((length_ms + slot.ms() - 1) / slot.ms());
  }

  /// Calls `add` with the mean over each slot that the span touches.
  template <typename Adder>
  void Spread(const ResourceAmount& room, Span span, const Adder& add) {
    for (UseSlot& slot : slots_) {
      const std::int64_t begin_ms = whole_.from_ms + slot.begin.ms();
      const std::int64_t end_ms = std::min(begin_ms + slot_.ms(), whole_.to_ms);
      const std::int64_t common_ms =
          std::min(span.to_ms, end_ms) - std::max(span.from_ms, begin_ms);
      if (common_ms <= 0) continue;
      add(room * (static_cast<double>(common_ms) /
                  static_cast<double>(end_ms - begin_ms)),
          &slot);
    }
  }

  Span whole_;
  Duration slot_;
  std::vector<UseSlot> slots_;
};

}  // namespace

std::vector<UseSlot> MakeAcceleratorUse(const std::vector<LogEntry>& entries,
                                        const Histories& histories,
                                        Duration slot) {
  if (entries.empty()) return {};
  const Span whole = {entries.front().wall_ms, entries.back().wall_ms};
  SlotTable table(whole, slot);
  RunnerPeaks peaks;
  const auto until = [&whole](std::int64_t from_ms, std::int64_t to_ms) {
    return Span{from_ms, to_ms == 0 ? whole.to_ms : to_ms};
  };
  for (const auto& [id, job] : histories.jobs) {
    const std::string queue = GroupName(job.queue);
    for (const auto& [key, runs] : job.tasks) {
      for (const LoggedRun& run : runs) {
        const Span span = until(run.begun_ms, run.ended_ms);
        table.AddRun(queue, RoomOf(run), span);
        peaks.Add(run, span);
      }
    }
    if (job.accepted_ms == 0) continue;
    table.AddJob(queue, until(job.accepted_ms, job.settled_ms));
  }
  for (const auto& [runner, spans] : UsableSpans(entries)) {
    for (const Span& span : spans) {
      table.AddRunner(peaks.PeakOf(runner), span);
    }
  }
  return table.Finish();
}

}  // namespace limeledge
