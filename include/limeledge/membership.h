/// @file
/// Membership from the platform's instance list and from direct heartbeats.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_MEMBERSHIP_H_
#define LIMELEDGE_MEMBERSHIP_H_

#include <map>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// State of a member, as one instance sees it.
enum class MemberState {
  /// A heartbeat was received recently, or the member was listed recently and
  /// no heartbeat has been received from it.
  kLive,
  /// The member is shutting down, by the list or by its own heartbeat.
  kLeaving,
  /// The member is listed, but its heartbeats are missing.
  kSuspect,
  /// The member is not listed and its heartbeats are missing.
  kGone
};

/// Returns a lower-case name such as "leaving". Safe from any thread.
const char* ToString(MemberState state);

/// One entry of the platform's instance list.
struct ListedMember {
  InstanceId id;
  bool leaving = false;
};

/// Failure detection timeouts.
struct MembershipOptions {
  /// A member is suspect after this long without a heartbeat.
  Duration suspect_after{5000};
  /// A listed member that has never sent a heartbeat counts as live for this
  /// long after it was first listed.
  Duration listing_grace{5000};
};

/// Merges the instance list, which lags behind, with heartbeats, which may be
/// lost. A member counts as leaving as soon as either source reports it. A
/// leaving state from a heartbeat lasts until the member's next incarnation.
///
///     members.OnList(now, listed);
///     members.OnHeartbeat(now, id, incarnation, leaving);
///     for (const InstanceId& id : members.Live(now)) ...
///
/// Thread safety: none; use it from one thread.
class Membership {
 public:
  Membership(InstanceId self, MembershipOptions options);

  /// Changes the timeouts.
  void SetOptions(MembershipOptions options) { options_ = options; }

  /// Replaces the previous instance list. Members that are not in `listed` are
  /// gone unless a recent heartbeat shows that they run.
  void OnList(TimePoint now, const std::vector<ListedMember>& listed);

  /// Records a heartbeat. A larger incarnation than before means that the
  /// member restarted; heartbeats of smaller incarnations are ignored.
  void OnHeartbeat(TimePoint now, const InstanceId& id,
                   std::int64_t incarnation, bool leaving);

  /// Marks this instance as leaving. This cannot be undone.
  void LeaveSelf() { self_leaving_ = true; }
  /// True if this instance is leaving, by `LeaveSelf` or by the instance list.
  bool self_leaving() const { return self_leaving_; }

  /// Returns the state of a member or of this instance; `kGone` for unknown
  /// ids.
  MemberState StateOf(TimePoint now, const InstanceId& id) const;

  /// Returns the live members in id order, including this instance unless it is
  /// leaving.
  std::vector<InstanceId> Live(TimePoint now) const;
  /// Returns the members that can serve requests, in id order: this instance,
  /// live members, and leaving members with a recent heartbeat.
  std::vector<InstanceId> Serving(TimePoint now) const;
  /// Returns all known members except this instance, in id order and whatever
  /// their state.
  std::vector<InstanceId> Peers() const;

  const InstanceId& self() const { return self_; }

 private:
  struct Entry {
    bool listed = false;
    bool listed_leaving = false;
    bool sent_leaving = false;
    bool heartbeat_received = false;
    std::int64_t incarnation = 0;
    TimePoint listed_at;
    TimePoint last_heartbeat_at;
  };

  MemberState StateOfEntry(TimePoint now, const Entry& entry) const;

  InstanceId self_;
  MembershipOptions options_;
  bool self_leaving_ = false;
  std::map<InstanceId, Entry> entries_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_MEMBERSHIP_H_
