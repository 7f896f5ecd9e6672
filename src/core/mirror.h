/// @file
/// This instance's copy of the rows that all instances share.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_MIRROR_H_
#define LIMELEDGE_SRC_CORE_MIRROR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "codec/row_codec.h"
#include "core/job.h"
#include "limeledge/base.h"
#include "limeledge/ownership.h"
#include "limeledge/table.h"

namespace limeledge {

inline constexpr char kJobPrefix[] = "job/";
inline constexpr char kHallPrefix[] = "hall/";
inline constexpr char kRenewalPrefix[] = "renewal/";
inline constexpr char kCurrentSettingsKey[] = "settings/current";

std::string HallKey(const HallId& hall);
std::string RenewalKey(const HallId& hall);

/// What one applied row changed.
struct MirrorChange {
  enum class Kind { kNothing, kJob, kHall, kSettings, kUnreadable };
  Kind kind = Kind::kNothing;
  /// The job before and after; empty where there was or is none.
  std::optional<JobRow> before;
  std::optional<JobRow> after;
  HallId hall;
  SettingsRow settings;
  /// What is wrong with the row, for `kUnreadable`.
  std::string error;
};

/// Copies of jobs, hall records and the current settings, each at its newest
/// known version. Rows may come in any order and from any reply: an older
/// version never replaces a newer one.
///
/// Thread safety: none; use it from one thread.
class Mirror {
 public:
  /// Takes one row as read or written. `erased` says that it was removed by
  /// the commit of its version.
  MirrorChange Apply(const Row& row, bool erased);

  /// Notes that every change up to `revision` has been applied.
  void ReadUpTo(Revision revision);
  Revision read_up_to() const { return read_up_to_; }
  /// True once the whole table has been read once.
  bool loaded() const { return loaded_; }
  void SetLoaded() { loaded_ = true; }

  const JobRow* FindJob(const JobId& id) const;
  const std::map<JobId, JobRow>& jobs() const { return jobs_; }
  /// Jobs of `hall` that have not ended, in id order.
  const std::set<JobId>& ActiveJobs(const HallId& hall) const;

  /// The record of `hall` with its renewal version.
  OwnershipRecord HallRecord(const HallId& hall) const;
  Revision settings_row_version() const { return settings_version_; }

 private:
  bool IsNews(const Row& row, bool erased);
  MirrorChange ApplyJob(const Row& row, bool erased);
  MirrorChange ApplyHall(const Row& row);
  MirrorChange ApplySettings(const Row& row);
  void Index(const JobRow& job);
  void Unindex(const JobRow& job);

  std::map<JobId, JobRow> jobs_;
  std::map<HallId, std::set<JobId>> active_;
  std::map<HallId, OwnershipRecord> halls_;
  std::map<HallId, Revision> renewals_;
  Revision settings_version_;
  /// Rows erased by commits that the reading has not passed yet.
  std::map<std::string, Revision> erased_;
  Revision read_up_to_;
  bool loaded_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_MIRROR_H_
