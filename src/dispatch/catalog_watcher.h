/// @file
/// Keeps the newest configuration in force on this node.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_
#define LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_

#include <optional>
#include <set>

#include "dispatch/catalog.h"
#include "dispatch/context.h"

namespace limeledge::dispatch {

/// Timing of following the configuration.
struct CatalogWatcherOptions {
  /// A following call is answered after this long without a change.
  Duration wait{2000};
  /// Its answer may come this much later.
  Duration slack{500};
  /// Pause after a call that failed.
  Duration retry_pause{250};
  /// The configuration is read whole again after this, since a following call
  /// may miss a change without a sign.
  Duration reread_interval{6000};
};

/// Reads the configuration, then waits for changes. An older version never
/// replaces a newer one.
///
/// Thread safety: none; use it from one thread.
class CatalogWatcher {
 public:
  explicit CatalogWatcher(CatalogWatcherOptions options = {})
      : options_(options) {}

  /// Sends the next call when it is due.
  void Work(Context& ctx);
  TimePoint next_at() const { return under_way_ ? kNever : next_at_; }
  void Handle(Context& ctx, const CatalogReceived& answer);

  /// Null before the first version.
  const Catalog* catalog() const {
    return catalog_.has_value() ? &*catalog_ : nullptr;
  }
  /// When the store last confirmed that there is no newer version.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// True if the newest call was answered.
  bool answers() const { return answers_; }

 private:
  /// Takes in which halls are to be emptied.
  void TakeHalls(Context& ctx, const CatalogReceived& answer);

  CatalogWatcherOptions options_;
  std::optional<Catalog> catalog_;
  std::set<HallId> emptied_halls_;
  bool under_way_ = false;
  bool read_next_ = true;
  bool answers_ = false;
  TimePoint read_at_;
  TimePoint next_at_;
  TimePoint confirmed_at_;
  Revision seen_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_
