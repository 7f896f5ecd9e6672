/// @file
/// Decides when an instance claims, renews and releases a resource.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/ownership.h"

#include <algorithm>
#include <utility>

namespace limeledge {

namespace {

bool IsOlder(const OwnershipRecord& a, const OwnershipRecord& b) {
  return a.version < b.version ||
         (a.version == b.version && a.renewal < b.renewal);
}

Revision NewestVersion(const OwnershipRecord& record) {
  return std::max(record.version, record.renewal);
}

}  // namespace

Ownership::Ownership(InstanceId self, std::int64_t incarnation,
                     OwnershipOptions options)
    : self_(std::move(self)),
      incarnation_(incarnation),
      held_(options.lease, options.margin),
      watched_(options.lease) {}

void Ownership::SetOptions(OwnershipOptions options) {
  held_.SetLength(options.lease, options.margin);
  watched_.SetLength(options.lease);
}

void Ownership::OnRead(TimePoint now, const OwnershipRecord& record) {
  if (IsOlder(record, record_)) return;
  const Epoch previous_epoch = record_.epoch;
  record_ = record;
  watched_.Observe(now, NewestVersion(record));
  if (!named() || record_.epoch != previous_epoch) held_.Drop();
  RecordEpoch(now);
}

void Ownership::OnWritten(TimePoint sent_at, const OwnershipRecord& record) {
  if (IsOlder(record, record_)) return;
  record_ = record;
  RecordEpoch(sent_at);
  watched_.Observe(sent_at, NewestVersion(record));
  if (named()) {
    held_.Renewed(sent_at);
  } else {
    held_.Drop();
  }
}

void Ownership::RecordEpoch(TimePoint now) {
  if (!named() || record_.epoch == claimed_epoch_) return;
  claimed_epoch_ = record_.epoch;
  since_ = now;
}

OwnershipAction Ownership::Decide(TimePoint now, bool preferred,
                                  bool stopping) const {
  if (named()) {
    if (stopping) return OwnershipAction::kRelease;
    if (!preferred && held_.ValidAt(now)) return OwnershipAction::kRelease;
    return held_.DueAt(now) ? OwnershipAction::kRenew : OwnershipAction::kNone;
  }
  if (stopping || !preferred) return OwnershipAction::kNone;
  if (record_.holder.empty()) return OwnershipAction::kClaim;
  return watched_.LapsedAt(now) ? OwnershipAction::kClaim
                                : OwnershipAction::kNone;
}

OwnershipRecord Ownership::Proposal(OwnershipAction action) const {
  OwnershipRecord next = record_;
  if (action == OwnershipAction::kClaim) {
    next.epoch = record_.epoch.Next();
    next.holder = self_;
    next.incarnation = incarnation_;
  }
  if (action == OwnershipAction::kRelease) next.holder = InstanceId();
  return next;
}

bool Ownership::HoldsAt(TimePoint now) const {
  return named() && held_.ValidAt(now);
}

}  // namespace limeledge
