/// @file
/// Accepts, follows and shows settings versions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_SETTINGS_KEEPER_H_
#define LIMELEDGE_SRC_CORE_SETTINGS_KEEPER_H_

#include <map>
#include <string>

#include "core/context.h"
#include "core/event.h"
#include "core/store_client.h"

namespace limeledge {

/// Writes what operators apply and puts newer versions in force, whether they
/// come from the table service or from a peer.
///
/// Thread safety: none; belongs to the reducer.
class SettingsKeeper {
 public:
  /// `initial_text` is written as version 1 when the table has no settings;
  /// empty for none.
  explicit SettingsKeeper(std::string initial_text);

  /// Takes a copy; returns true when a newer version took force.
  bool Offer(Context& ctx, const SettingsCopy& copy);

  void OnProposed(Context& ctx, const SettingsProposed& proposed);
  void OnWritten(Context& ctx, const SettingsWrite& write,
                 const FinishedWrite& finished);
  void OnAsked(Context& ctx, const SettingsAsked& asked) const;
  void OnHistoryAsked(Context& ctx, const SettingsHistoryAsked& asked) const;
  static void OnFetched(Context& ctx, const RowsFetched& fetched);
  void OnCopyAsked(Context& ctx, const SettingsCopyAsked& asked) const;
  /// Returns true when a newer version took force.
  bool OnCopyArrived(Context& ctx, const SettingsCopyArrived& arrived);

  /// Writes the initial settings and fetches from peers when behind.
  void OnTick(Context& ctx);

  bool idle() const { return open_.empty(); }

 private:
  void Push(Context& ctx, CallId call, const SettingsCopy& copy,
            const std::string& author, Revision base);

  std::string initial_text_;
  bool initial_in_flight_ = false;
  TimePoint fetched_at_;
  /// Operators' calls that wait for a write, with their last moment.
  std::map<CallId, TimePoint> open_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_SETTINGS_KEEPER_H_
