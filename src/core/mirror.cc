/// @file
/// Applies rows to the mirror.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/mirror.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace limeledge {

namespace {

/// The id that follows `prefix` in a key.
std::string Suffix(const std::string& key, const char* prefix) {
  return std::string(absl::StripPrefix(key, prefix));
}

MirrorChange Unreadable(const Row& row, const absl::Status& status) {
  MirrorChange change;
  change.kind = MirrorChange::Kind::kUnreadable;
  change.error = absl::StrCat(row.key, ": ", status.message());
  return change;
}

}  // namespace

std::string HallKey(const HallId& hall) {
  return absl::StrCat(kHallPrefix, hall.value());
}

std::string RenewalKey(const HallId& hall) {
  return absl::StrCat(kRenewalPrefix, hall.value());
}

MirrorChange Mirror::Apply(const Row& row, bool erased) {
  if (!IsNews(row, erased)) return {};
  if (absl::StartsWith(row.key, kJobPrefix)) return ApplyJob(row, erased);
  if (erased) return {};
  if (absl::StartsWith(row.key, kHallPrefix)) return ApplyHall(row);
  if (row.key == kCurrentSettingsKey) return ApplySettings(row);
  if (absl::StartsWith(row.key, kRenewalPrefix)) {
    MirrorChange change;
    change.kind = MirrorChange::Kind::kHall;
    change.hall = HallId(Suffix(row.key, kRenewalPrefix));
    Revision& renewal = renewals_[change.hall];
    if (row.version <= renewal) return {};
    renewal = row.version;
    return change;
  }
  return {};
}

void Mirror::ReadUpTo(Revision revision) {
  if (revision <= read_up_to_) return;
  read_up_to_ = revision;
  for (auto it = erased_.begin(); it != erased_.end();) {
    it = it->second <= revision ? erased_.erase(it) : std::next(it);
  }
}

const JobRow* Mirror::FindJob(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const std::set<JobId>& Mirror::ActiveJobs(const HallId& hall) const {
  static const std::set<JobId> none;
  const auto it = active_.find(hall);
  return it == active_.end() ? none : it->second;
}

OwnershipRecord Mirror::HallRecord(const HallId& hall) const {
  OwnershipRecord record;
  const auto it = halls_.find(hall);
  if (it != halls_.end()) record = it->second;
  const auto renewal = renewals_.find(hall);
  if (renewal != renewals_.end()) record.renewal = renewal->second;
  return record;
}

bool Mirror::IsNews(const Row& row, bool erased) {
  if (row.version == Revision(0)) return false;
  const auto it = erased_.find(row.key);
  if (it != erased_.end() && row.version <= it->second) return false;
  if (erased) {
    erased_[row.key] = row.version;
  } else if (it != erased_.end()) {
    erased_.erase(it);
  }
  return true;
}

MirrorChange Mirror::ApplyJob(const Row& row, bool erased) {
  const JobId id(Suffix(row.key, kJobPrefix));
  const auto known = jobs_.find(id);
  if (known != jobs_.end() && row.version <= known->second.version) return {};
  MirrorChange change;
  change.kind = MirrorChange::Kind::kJob;
  if (!erased) {
    absl::StatusOr<JobRow> job = DecodeJobRow(row);
    if (!job.ok()) return Unreadable(row, job.status());
    change.after = *std::move(job);
  }
  if (known != jobs_.end()) {
    Unindex(known->second);
    change.before = std::move(known->second);
    jobs_.erase(known);
  }
  if (change.after.has_value()) {
    Index(*change.after);
    jobs_[id] = *change.after;
  }
  return change;
}

MirrorChange Mirror::ApplyHall(const Row& row) {
  MirrorChange change;
  change.kind = MirrorChange::Kind::kHall;
  change.hall = HallId(Suffix(row.key, kHallPrefix));
  const auto known = halls_.find(change.hall);
  if (known != halls_.end() && row.version <= known->second.version) return {};
  const absl::StatusOr<OwnershipRecord> record = DecodeOwnership(row);
  if (!record.ok()) return Unreadable(row, record.status());
  halls_[change.hall] = *record;
  return change;
}

MirrorChange Mirror::ApplySettings(const Row& row) {
  if (row.version <= settings_version_) return {};
  const absl::StatusOr<SettingsRow> settings = DecodeSettingsRow(row);
  if (!settings.ok()) return Unreadable(row, settings.status());
  settings_version_ = row.version;
  MirrorChange change;
  change.kind = MirrorChange::Kind::kSettings;
  change.settings = *settings;
  return change;
}

void Mirror::Index(const JobRow& job) {
  if (!IsFinal(job.state)) active_[job.hall].insert(job.spec.id);
}

void Mirror::Unindex(const JobRow& job) {
  const auto it = active_.find(job.hall);
  if (it != active_.end()) it->second.erase(job.spec.id);
}

}  // namespace limeledge
