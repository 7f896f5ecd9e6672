/// @file
/// Keeps this node's copy of the catalog current.
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

/// Timing of reading and watching the catalog.
struct CatalogWatcherOptions {
  /// A watch call returns after this time if nothing changed. Its end is the
  /// only sign that its connection still works.
  Duration wait{2000};
  /// The same for a watch that repeats a failed one.
  Duration repeat_wait{10};
  /// Additional time allowed for the response to a watch call.
  Duration slack{500};
  /// Pause after a failed call.
  Duration retry_pause{250};
};

/// Reads the catalog, then watches for changes. An older version never replaces
/// a newer one.
///
/// Thread safety: none; use it from one thread.
class CatalogWatcher {
 public:
  explicit CatalogWatcher(CatalogWatcherOptions options = {})
      : options_(options) {}

  /// Sends the next call when it is due.
  void Work(Context& ctx);
  TimePoint next_at() const { return in_flight_ ? kNever : next_at_; }
  void Handle(Context& ctx, const CatalogReceived& answer);
  /// Records the version that another node knows. If it is newer than the one
  /// here, the watch has missed a change, and the catalog is read again.
  void SetKnownVersion(CatalogVersion version) { known_version_ = version; }

  /// Returns null until a first version has been read.
  const Catalog* catalog() const {
    return catalog_.has_value() ? &*catalog_ : nullptr;
  }
  /// When the store last confirmed that there is no newer version.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// Returns true if the last call succeeded.
  bool answers() const { return answers_; }

 private:
  /// Updates the set of drained halls.
  void UpdateDrainedHalls(Context& ctx, const CatalogReceived& answer);

  CatalogWatcherOptions options_;
  std::optional<Catalog> catalog_;
  CatalogVersion known_version_;
  std::set<HallId> drained_halls_;
  bool in_flight_ = false;
  /// The store no longer keeps the changes after `watch_revision_`.
  bool history_lost_ = false;
  bool answers_ = false;
  TimePoint next_at_;
  TimePoint confirmed_at_;
  Revision watch_revision_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_
