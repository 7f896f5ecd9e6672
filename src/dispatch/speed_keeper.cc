/// @file
/// Reads and writes the speeds of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/speed_keeper.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

// A narrower distribution would fall between two points of the grid.
constexpr double kMinDeviation = kPaceStep / 2;

}  // namespace

void SpeedKeeper::Read(Context& ctx) {
  if (read_finished_ || read_in_flight_ || ctx.now() < read_at_) return;
  if (ctx.now() - started_at_ > options_.max_age) {
    read_finished_ = true;
    return;
  }
  read_in_flight_ = true;
  ticket_ = ctx.NewTicket();
  // Not in the lane of the scheduler's other reads, which must not wait for
  // this one.
  ctx.Emit(ReadRows{ticket_, StoreLane::kPeers, kSpeedTable, "", next_key_, "",
                    options_.page_rows, store_timeout_->For(failed_reads_)});
}

TimePoint SpeedKeeper::next_at() const {
  return read_finished_ || read_in_flight_ ? kNever : read_at_;
}

void SpeedKeeper::Handle(Context& ctx, const ReadCompleted& answer) {
  read_in_flight_ = false;
  if (answer.outcome != StoreOutcome::kDone) {
    Duration pause = options_.retry_pause;
    for (int i = 0; i < failed_reads_ && pause < options_.max_retry_pause;
         ++i) {
      pause = pause * 2;
    }
    ++failed_reads_;
    read_at_ = ctx.now() + std::min(pause, options_.max_retry_pause);
    return;
  }
  failed_reads_ = 0;
  for (const Row& row : answer.rows) HandleRow(ctx, row);
  if (answer.has_more && !answer.rows.empty()) {
    // Keys contain no spaces, so this is the smallest key after the last one.
    next_key_ = absl::StrCat(answer.rows.back().key.key, " ");
  } else {
    read_finished_ = true;
  }
}

void SpeedKeeper::HandleRow(Context& ctx, const Row& row) {
  // An unreadable row is replaced, or removed if its rack is gone.
  StoredRow& stored = rows_[row.key.key];
  const absl::StatusOr<SpeedRow> decoded = DecodeSpeedRow(row.value);
  if (!decoded.ok()) {
    ctx.Log(LogId::kSpeedRowUnreadable,
            {{"row", row.key.key}, {"error", decoded.status().ToString()}});
    return;
  }
  // The clock of the previous scheduler may have been ahead of this one's.
  const Duration row_age(
      std::max<std::int64_t>(0, ctx.wall_ms() - decoded->written_wall_ms));
  for (const StoredSpeed& speed : decoded->runners) {
    // Compared before they are added: the sum could overflow.
    if (row_age > options_.max_age || speed.age > options_.max_age) continue;
    const TimePoint measured_at = ctx.now() - (row_age + speed.age);
    const SpeedEstimate estimate{speed.log_pace, speed.deviation, speed.runs,
                                 measured_at};
    stored.runners[speed.runner] = estimate;
    unmatched_[speed.runner] = estimate;
  }
}

SpeedEstimate SpeedKeeper::Aged(TimePoint now,
                                const SpeedEstimate& stored) const {
  const double age = static_cast<double>((now - stored.measured_at).ms()) /
                     static_cast<double>(options_.max_age.ms());
  const double added = options_.aging_deviation * options_.aging_deviation;
  SpeedEstimate aged = stored;
  aged.deviation =
      std::max(kMinDeviation,
               std::sqrt(stored.deviation * stored.deviation + added * age));
  return aged;
}

void SpeedKeeper::Restore(Context& ctx, const Fleet& fleet,
                          RunnerSpeeds* speeds) {
  int matched = 0;
  Duration oldest;
  for (auto it = unmatched_.begin(); it != unmatched_.end();) {
    const Duration age = ctx.now() - it->second.measured_at;
    const auto found = fleet.runners().find(it->first.runner);
    // A runner that reports start times may not have answered so far.
    const bool known = found != fleet.runners().end() &&
                       (!IsReported(it->first.start_time) ||
                        IsReported(found->second->incarnation().start_time));
    if (!known && age <= options_.max_age) {
      ++it;
      continue;
    }
    const bool usable = known && age <= options_.max_age &&
                        found->second->incarnation() == it->first;
    if (usable) {
      speeds->Restore(it->first, Aged(ctx.now(), it->second));
      ++matched;
      oldest = std::max(oldest, age);
    }
    it = unmatched_.erase(it);
  }
  if (matched == 0) return;
  restored_ = true;
  ctx.Log(LogId::kSpeedsRestored,
          {{"runners", std::to_string(matched)},
           {"oldest_ms", std::to_string(oldest.ms())},
           {"unmatched", std::to_string(unmatched_.size())}});
}

std::optional<SpeedEstimate> SpeedKeeper::EstimateToStore(
    TimePoint now, const RunnerSpeeds& speeds,
    const IncarnationId& runner) const {
  if (!speeds.IsMeasured(runner)) return std::nullopt;
  const SpeedEstimate estimate = speeds.EstimateOf(runner);
  if (now - estimate.measured_at > options_.max_age) return std::nullopt;
  return estimate;
}

bool SpeedKeeper::MustWrite(TimePoint now, const IncarnationId& runner,
                            const SpeedEstimate& estimate,
                            const StoredRow& stored) const {
  const auto found = stored.runners.find(runner);
  if (found == stored.runners.end()) return true;
  const SpeedEstimate& before = found->second;
  const double change = std::abs(estimate.log_pace - before.log_pace);
  const bool moved =
      change > options_.min_change &&
      change > options_.min_change_deviations * estimate.deviation;
  const bool more_certain =
      estimate.deviation < options_.min_deviation_ratio * before.deviation;
  const bool too_old = now - before.measured_at > options_.refresh_age &&
                       estimate.measured_at > before.measured_at;
  return moved || more_certain || too_old;
}

void SpeedKeeper::FindDueRows(TimePoint now, const Fleet& fleet,
                              RunnerSpeeds* speeds) {
  const auto check = [&](const Runner& runner) {
    const IncarnationId& incarnation = runner.incarnation();
    const std::optional<SpeedEstimate> estimate =
        EstimateToStore(now, *speeds, incarnation);
    if (!estimate.has_value()) return;
    std::string key = SpeedRowKey(runner.rack());
    if (due_.count(key) != 0) return;
    const auto stored = rows_.find(key);
    const bool must_write =
        stored == rows_.end() ||
        MustWrite(now, incarnation, *estimate, stored->second);
    if (must_write) due_.insert(std::move(key));
  };
  const std::set<IncarnationId> changed = speeds->TakeChanged();
  if (std::exchange(all_changed_, false)) {
    for (const auto& [id, runner] : fleet.runners()) check(*runner);
    return;
  }
  for (const IncarnationId& incarnation : changed) {
    const auto found = fleet.runners().find(incarnation.runner);
    const bool present = found != fleet.runners().end() &&
                         found->second->incarnation() == incarnation;
    if (present) check(*found->second);
  }
}

std::map<std::string, SpeedKeeper::Estimates> SpeedKeeper::ComposeRows(
    TimePoint now, const Fleet& fleet, const RunnerSpeeds& speeds,
    const std::set<std::string>& keys) const {
  std::map<std::string, Estimates> rows;
  for (const auto& [id, runner] : fleet.runners()) {
    const std::string key = SpeedRowKey(runner->rack());
    if (keys.count(key) == 0) continue;
    const IncarnationId incarnation = runner->incarnation();
    const std::optional<SpeedEstimate> estimate =
        EstimateToStore(now, speeds, incarnation);
    if (estimate.has_value()) rows[key][incarnation] = *estimate;
  }
  return rows;
}

void SpeedKeeper::RemoveUnused(TimePoint now, const Fleet& fleet,
                               const RunnerSpeeds& speeds, bool in_use,
                               StateWriter* writer) {
  if (now < removal_check_at_) return;
  removal_check_at_ = now + options_.removal_check_interval;
  std::set<std::string> used;
  if (in_use) {
    for (const auto& [id, runner] : fleet.runners()) {
      if (!speeds.IsMeasured(runner->incarnation())) continue;
      used.insert(SpeedRowKey(runner->rack()));
    }
  }
  int removed = 0;
  for (auto it = rows_.begin(); it != rows_.end();) {
    std::optional<TimePoint>& unused_since = it->second.unused_since;
    if (used.count(it->first) != 0) {
      unused_since = std::nullopt;
    } else if (!unused_since.has_value()) {
      unused_since = now;
    }
    const RowKey key{kSpeedTable, it->first};
    const bool due = unused_since.has_value() &&
                     now - *unused_since >= options_.removal_delay &&
                     removed < options_.max_removed_rows &&
                     !writer->IsPending(key);
    if (!due) {
      ++it;
      continue;
    }
    writer->Remove(key);
    ++removed;
    due_.erase(it->first);
    it = rows_.erase(it);
  }
}

void SpeedKeeper::MarkRow(Context& ctx, const std::string& key,
                          Estimates present, StateWriter* writer) {
  SpeedRow row;
  row.written_wall_ms = ctx.wall_ms();
  for (const auto& [runner, estimate] : present) {
    row.runners.push_back({runner, estimate.log_pace, estimate.deviation,
                           estimate.runs, ctx.now() - estimate.measured_at});
  }
  const RowKey row_key{kSpeedTable, key};
  const std::size_t max_bytes = options_.store_limits.max_row_bytes;
  writer->Mark(row_key,
               [text = EncodeSpeedRow(row, max_bytes)] { return text; });
  // The writer repeats the write until it is stored or this node is deposed.
  // Until then the row is pending and not marked again.
  StoredRow& stored = rows_[key];
  stored.runners = std::move(present);
  stored.written_at = ctx.now();
}

void SpeedKeeper::Write(Context& ctx, const Fleet& fleet, bool in_use,
                        RunnerSpeeds* speeds, StateWriter* writer) {
  if (!read_finished_ || !fleet.listed_once() || ctx.now() < write_at_) return;
  write_at_ = ctx.now() + options_.write_interval;
  RemoveUnused(ctx.now(), fleet, *speeds, in_use, writer);
  if (!in_use) {
    due_.clear();
    all_changed_ = true;
    return;
  }
  FindDueRows(ctx.now(), fleet, speeds);
  // Rows that were never written come first, then those written longest ago.
  std::vector<std::pair<TimePoint, std::string>> order;
  for (const std::string& key : due_) {
    // Marking a row whose removal is pending would not store it.
    if (writer->IsPending({kSpeedTable, key})) continue;
    const TimePoint written_at = rows_[key].written_at;
    const bool recent = written_at != TimePoint() &&
                        ctx.now() - written_at < options_.row_interval;
    if (!recent) order.emplace_back(written_at, key);
  }
  if (order.empty()) return;
  std::sort(order.begin(), order.end());
  if (order.size() > options_.max_rows) order.resize(options_.max_rows);
  std::set<std::string> keys;
  for (const auto& [written_at, key] : order) {
    keys.insert(key);
    due_.erase(key);
  }
  // A row whose runners are gone meanwhile is not composed.
  for (auto& [key, row] : ComposeRows(ctx.now(), fleet, *speeds, keys)) {
    MarkRow(ctx, key, std::move(row), writer);
  }
}

}  // namespace limeledge::dispatch
