/// @file
/// Derives member states from the instance list and heartbeats.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/membership.h"

#include <algorithm>
#include <utility>

namespace limeledge {

const char* ToString(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kGone:
      return "gone";
  }
  return "gone";
}

Membership::Membership(InstanceId self, MembershipOptions options)
    : self_(std::move(self)), options_(options) {}

void Membership::OnList(TimePoint now,
                        const std::vector<ListedMember>& listed) {
  for (auto& [id, entry] : entries_) entry.listed = false;
  for (const ListedMember& member : listed) {
    if (member.id == self_) {
      self_leaving_ = self_leaving_ || member.leaving;
      continue;
    }
    const bool known = entries_.count(member.id) != 0;
    Entry& entry = entries_[member.id];
    entry.listed = true;
    if (!known) entry.listed_at = now;
    entry.listed_leaving = member.leaving;
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    const bool gone = StateOfEntry(now, it->second) == MemberState::kGone;
    it = gone ? entries_.erase(it) : std::next(it);
  }
}

void Membership::OnHeartbeat(TimePoint now, const InstanceId& id,
                             std::int64_t incarnation, bool leaving) {
  if (id == self_) return;
  Entry& entry = entries_[id];
  if (incarnation < entry.incarnation) return;
  if (incarnation > entry.incarnation) entry.sent_leaving = false;
  entry.incarnation = incarnation;
  entry.sent_leaving = entry.sent_leaving || leaving;
  entry.heartbeat_received = true;
  entry.last_heartbeat_at = now;
}

MemberState Membership::StateOf(TimePoint now, const InstanceId& id) const {
  if (id == self_) {
    return self_leaving_ ? MemberState::kLeaving : MemberState::kLive;
  }
  const auto it = entries_.find(id);
  if (it == entries_.end()) return MemberState::kGone;
  return StateOfEntry(now, it->second);
}

std::vector<InstanceId> Membership::Live(TimePoint now) const {
  std::vector<InstanceId> live;
  if (!self_leaving_) live.push_back(self_);
  for (const auto& [id, entry] : entries_) {
    if (StateOfEntry(now, entry) == MemberState::kLive) live.push_back(id);
  }
  std::sort(live.begin(), live.end());
  return live;
}

std::vector<InstanceId> Membership::Serving(TimePoint now) const {
  std::vector<InstanceId> serving = {self_};
  for (const auto& [id, entry] : entries_) {
    const MemberState state = StateOfEntry(now, entry);
    const bool has_recent_heartbeat =
        entry.heartbeat_received &&
        now - entry.last_heartbeat_at < options_.suspect_after;
    const bool still_serving =
        state == MemberState::kLeaving && has_recent_heartbeat;
    if (state == MemberState::kLive || still_serving) serving.push_back(id);
  }
  std::sort(serving.begin(), serving.end());
  return serving;
}

std::vector<InstanceId> Membership::Peers() const {
  std::vector<InstanceId> peers;
  peers.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) peers.push_back(id);
  return peers;
}

MemberState Membership::StateOfEntry(TimePoint now, const Entry& entry) const {
  const bool has_recent_heartbeat =
      entry.heartbeat_received &&
      now - entry.last_heartbeat_at < options_.suspect_after;
  const bool newly_listed = entry.listed && !entry.heartbeat_received &&
                            now - entry.listed_at < options_.listing_grace;
  if (!entry.listed && !has_recent_heartbeat) return MemberState::kGone;
  if (entry.listed_leaving || entry.sent_leaving) return MemberState::kLeaving;
  return has_recent_heartbeat || newly_listed ? MemberState::kLive
                                              : MemberState::kSuspect;
}

}  // namespace limeledge
