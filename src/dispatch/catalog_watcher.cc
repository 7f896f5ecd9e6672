/// @file
/// Reads and watches the catalog.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/catalog_watcher.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

void CatalogWatcher::Work(Context& ctx, bool store_answers) {
  store_answers_ = store_answers;
  if (!read_in_flight_ && ctx.now() >= ReadDueAt()) Read(ctx);
  const bool can_watch = catalog_.has_value() && !history_lost_;
  const bool watch_due = !watch_in_flight_ && ctx.now() >= next_watch_at_;
  if (can_watch && watch_due) Watch(ctx);
}

TimePoint CatalogWatcher::next_at() const {
  TimePoint next = read_in_flight_ ? kNever : ReadDueAt();
  const bool can_watch = catalog_.has_value() && !history_lost_;
  if (can_watch && !watch_in_flight_) next = std::min(next, next_watch_at_);
  return next;
}

TimePoint CatalogWatcher::ReadDueAt() const {
  if (!catalog_.has_value() || history_lost_) return next_read_at_;
  // Without the store a read would only delay the next one.
  if (!is_behind() || !store_answers_) return kNever;
  return std::max(next_read_at_, behind_since_ + options_.catch_up_grace);
}

void CatalogWatcher::Read(Context& ctx) {
  read_in_flight_ = true;
  ctx.Emit(ReadCatalog{});
}

void CatalogWatcher::Watch(Context& ctx) {
  watch_in_flight_ = true;
  // A watch that repeats a failed one returns the changes since then, and shows
  // at once that the store answers again.
  const Duration wait = answers_ ? options_.wait : options_.repeat_wait;
  ctx.Emit(AwaitCatalog{watch_revision_, wait, wait + options_.slack});
}

void CatalogWatcher::SetKnownVersion(TimePoint now, CatalogVersion version) {
  if (version <= known_version()) return;
  if (!is_behind()) behind_since_ = now;
  known_version_ = version;
}

void CatalogWatcher::SetKnownChange(TimePoint now, Revision revision) {
  if (revision <= std::max(known_change_, watch_revision_)) return;
  if (!is_behind()) behind_since_ = now;
  known_change_ = revision;
}

void CatalogWatcher::Handle(Context& ctx, const CatalogReceived& answer) {
  (answer.from_watch ? watch_in_flight_ : read_in_flight_) = false;
  TimePoint& next_at = answer.from_watch ? next_watch_at_ : next_read_at_;
  next_at = ctx.now();
  const bool answered = answer.outcome == StoreOutcome::kDone;
  if (answered != answers_) {
    ctx.Log(answered ? LogId::kCatalogFollowed : LogId::kCatalogStale,
            {{"error", answer.error}});
  }
  answers_ = answered;
  if (answer.outcome == StoreOutcome::kHistoryCompacted) {
    history_lost_ = true;
    return;
  }
  if (!answered) {
    next_at = ctx.now() + options_.retry_pause;
    return;
  }
  if (!answer.from_watch) history_lost_ = false;
  confirmed_at_ = ctx.now();
  // A watch may return after a read that was sent later.
  if (answer.newest < watch_revision_) return;
  watch_revision_ = answer.newest;
  changed_at_ = std::max(changed_at_, answer.changed_at);
  UpdateDrainedHalls(ctx, answer);
  if (!answer.catalog.has_value()) {
    // No catalog has been written so far: read again after a pause. Watching
    // for a change would work as well.
    if (!catalog_.has_value()) next_at = ctx.now() + options_.retry_pause;
    return;
  }
  const bool newer =
      !catalog_.has_value() || answer.catalog->version > catalog_->version;
  if (!newer) return;
  catalog_ = answer.catalog;
  catalog_->drained_halls = drained_halls_;
  ctx.Log(LogId::kCatalogInForce,
          {{"version", std::to_string(catalog_->version.value())},
           {"queues", std::to_string(catalog_->queues.size())}});
}

void CatalogWatcher::UpdateDrainedHalls(Context& ctx,
                                        const CatalogReceived& answer) {
  const std::set<HallId> before = drained_halls_;
  if (answer.lists_all_halls) drained_halls_.clear();
  for (const auto& [hall, drained] : answer.halls) {
    if (drained) {
      drained_halls_.insert(hall);
    } else {
      drained_halls_.erase(hall);
    }
  }
  if (drained_halls_ == before) return;
  if (catalog_.has_value()) catalog_->drained_halls = drained_halls_;
  std::string halls;
  for (const HallId& hall : drained_halls_) {
    absl::StrAppend(&halls, halls.empty() ? "" : " ", hall.value());
  }
  ctx.Log(LogId::kHallsEmptied, {{"halls", halls}});
}

}  // namespace limeledge::dispatch
