/// @file
/// Keeps this node's copy of the catalog current.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_
#define LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_

#include <algorithm>
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
  /// A version that is known to exist is waited for this long before it is
  /// read: usually the watch is about to return it.
  Duration catch_up_grace{100};
};

/// Reads the catalog, then watches for changes. An older version never replaces
/// a newer one.
///
/// Thread safety: none; use it from one thread.
class CatalogWatcher {
 public:
  explicit CatalogWatcher(CatalogWatcherOptions options = {})
      : options_(options) {}

  /// Sends the calls that are due. `store_answers` is false while the store
  /// counts as unavailable.
  void Work(Context& ctx, bool store_answers);
  TimePoint next_at() const;
  void Handle(Context& ctx, const CatalogReceived& answer);
  /// Records a version that another node has used. If the watch does not return
  /// it, the catalog is read again.
  void SetKnownVersion(TimePoint now, CatalogVersion version);

  /// The same for a change of the catalog or of the drained halls.
  void SetKnownChange(TimePoint now, Revision revision);
  /// True while a change is known to exist that this node has not read.
  bool is_behind() const {
    return catalog_.has_value() && (known_version_ > catalog_->version ||
                                    known_change_ > watch_revision_);
  }
  /// The newest change that this node has read.
  Revision changed_at() const { return changed_at_; }

  /// Returns null until a first version has been read.
  const Catalog* catalog() const {
    return catalog_.has_value() ? &*catalog_ : nullptr;
  }
  /// The version of `catalog()`; 0 if there is none.
  CatalogVersion version() const {
    return catalog_.has_value() ? catalog_->version : CatalogVersion();
  }
  /// The newest version that is known to exist. While it is newer than
  /// `version()`, nothing may be decided by `catalog()`.
  CatalogVersion known_version() const {
    return std::max(known_version_, version());
  }
  /// When the store last confirmed that there is no newer version.
  TimePoint confirmed_at() const { return confirmed_at_; }
  /// Returns true if the last call succeeded.
  bool answers() const { return answers_; }

 private:
  /// When the catalog has to be read; `kNever` while the watch is enough.
  TimePoint ReadDueAt() const;
  void Read(Context& ctx);
  void Watch(Context& ctx);
  /// Updates the set of drained halls.
  void UpdateDrainedHalls(Context& ctx, const CatalogReceived& answer);

  CatalogWatcherOptions options_;
  std::optional<Catalog> catalog_;
  CatalogVersion known_version_;
  Revision known_change_;
  /// When this node began to be behind.
  TimePoint behind_since_;
  std::set<HallId> drained_halls_;
  bool read_in_flight_ = false;
  bool watch_in_flight_ = false;
  /// The store no longer keeps the changes after `watch_revision_`.
  bool history_lost_ = false;
  bool answers_ = false;
  bool store_answers_ = false;
  /// The earliest times of the next calls.
  TimePoint next_read_at_;
  TimePoint next_watch_at_;
  TimePoint confirmed_at_;
  /// All changes up to this revision have been read.
  Revision watch_revision_;
  Revision changed_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CATALOG_WATCHER_H_
