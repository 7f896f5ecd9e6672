/// @file
/// Reads and watches the catalog.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/catalog_watcher.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

void CatalogWatcher::Work(Context& ctx) {
  if (in_flight_ || ctx.now() < next_at_) return;
  in_flight_ = true;
  const bool behind =
      catalog_.has_value() && known_version_ > catalog_->version;
  if (!catalog_.has_value() || history_lost_ || behind) {
    ctx.Emit(ReadCatalog{});
    return;
  }
  // A watch that repeats a failed one returns the changes since then, and shows
  // at once that the store answers again.
  const Duration wait = answers_ ? options_.wait : options_.repeat_wait;
  ctx.Emit(AwaitCatalog{watch_revision_, wait, wait + options_.slack});
}

void CatalogWatcher::Handle(Context& ctx, const CatalogReceived& answer) {
  in_flight_ = false;
  next_at_ = ctx.now();
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
    next_at_ = ctx.now() + options_.retry_pause;
    return;
  }
  history_lost_ = false;
  confirmed_at_ = ctx.now();
  if (answer.newest > watch_revision_) watch_revision_ = answer.newest;
  UpdateDrainedHalls(ctx, answer);
  if (!answer.catalog.has_value()) {
    // No catalog has been written so far: read again after a pause. Watching
    // for a change would work as well.
    if (!catalog_.has_value()) next_at_ = ctx.now() + options_.retry_pause;
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
