/// @file
/// Following the configuration.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/catalog_watcher.h"

#include <string>

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

void CatalogWatcher::Work(Context& ctx) {
  if (under_way_ || ctx.now() < next_at_) return;
  under_way_ = true;
  const bool reread = ctx.now() - read_at_ >= options_.reread_interval;
  if (read_next_ || reread) {
    read_at_ = ctx.now();
    ctx.Emit(ReadCatalog{});
  } else {
    ctx.Emit(
        AwaitCatalog{seen_, options_.wait, options_.wait + options_.slack});
  }
}

void CatalogWatcher::Handle(Context& ctx, const CatalogReceived& answer) {
  under_way_ = false;
  next_at_ = ctx.now();
  const bool answered = answer.outcome == StoreOutcome::kDone;
  if (answered != answers_) {
    ctx.Log(answered ? LogId::kCatalogFollowed : LogId::kCatalogStale,
            {{"error", answer.error}});
  }
  answers_ = answered;
  // Changes may have been missed unless the wait ended well.
  read_next_ = !answered;
  if (!answered) {
    const bool at_once = answer.outcome == StoreOutcome::kHistoryCompacted;
    if (!at_once) next_at_ = ctx.now() + options_.retry_pause;
    return;
  }
  confirmed_at_ = ctx.now();
  if (answer.newest > seen_) seen_ = answer.newest;
  TakeHalls(ctx, answer);
  if (!answer.catalog.has_value()) {
    // Nothing was written yet; waiting for a change would do as well.
    if (!catalog_.has_value()) next_at_ = ctx.now() + options_.retry_pause;
    read_next_ = !catalog_.has_value();
    return;
  }
  const bool newer =
      !catalog_.has_value() || answer.catalog->version > catalog_->version;
  if (!newer) return;
  catalog_ = answer.catalog;
  catalog_->drained_halls = emptied_halls_;
  ctx.Log(LogId::kCatalogInForce,
          {{"version", std::to_string(catalog_->version.value())},
           {"queues", std::to_string(catalog_->queues.size())}});
}

void CatalogWatcher::TakeHalls(Context& ctx, const CatalogReceived& answer) {
  const std::set<HallId> before = emptied_halls_;
  if (answer.lists_all_halls) emptied_halls_.clear();
  for (const auto& [hall, emptied] : answer.halls) {
    if (emptied) {
      emptied_halls_.insert(hall);
    } else {
      emptied_halls_.erase(hall);
    }
  }
  if (emptied_halls_ == before) return;
  if (catalog_.has_value()) catalog_->drained_halls = emptied_halls_;
  std::string halls;
  for (const HallId& hall : emptied_halls_) {
    absl::StrAppend(&halls, halls.empty() ? "" : " ", hall.value());
  }
  ctx.Log(LogId::kHallsEmptied, {{"halls", halls}});
}

}  // namespace limeledge::dispatch
