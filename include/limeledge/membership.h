/// @file
/// Live and leaving members, from a lagging list and direct heartbeats.
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

enum class MemberState { kLive, kLeaving, kSuspect, kGone };

/// Returns a lower-case name such as "leaving". Safe from any thread.
const char* ToString(MemberState state);

/// One line of the platform's instance list.
struct ListedMember {
  InstanceId id;
  bool leaving = false;
};

struct MembershipOptions {
  /// A member unheard for this long is suspect.
  Duration suspect_after{5000};
  /// A new or unheard member counts as live for this long after its listing.
  Duration listing_grace{5000};
};

/// Merges the instance list, which lags, with heartbeats, which may be lost.
/// A sign of leaving from either side is believed at once; one that was heard
/// is never taken back within the same incarnation.
///
///     members.OnList(now, listed);
///     members.OnHeartbeat(now, id, incarnation, leaving);
///     for (const InstanceId& id : members.Live(now)) ...
///
/// Thread safety: none; use it from one thread.
class Membership {
 public:
  Membership(InstanceId self, MembershipOptions options);

  /// Changes how long silence is borne.
  void SetOptions(MembershipOptions options) { options_ = options; }

  /// Replaces what the list said. Members missing from it are gone unless
  /// they are still heard.
  void OnList(TimePoint now, const std::vector<ListedMember>& listed);

  /// Notes a heartbeat. A larger incarnation is a restarted member; a smaller
  /// one is ignored.
  void OnHeartbeat(TimePoint now, const InstanceId& id,
                   std::int64_t incarnation, bool leaving);

  /// Marks this instance as leaving, for good.
  void LeaveSelf() { self_leaving_ = true; }
  bool self_leaving() const { return self_leaving_; }

  MemberState StateOf(TimePoint now, const InstanceId& id) const;

  /// Live members in id order; includes this instance unless it is leaving.
  std::vector<InstanceId> Live(TimePoint now) const;
  /// Members that still serve, in id order: live ones, and leaving ones that
  /// are heard or are this instance.
  std::vector<InstanceId> Serving(TimePoint now) const;
  /// Every listed or heard member other than this one, in id order.
  std::vector<InstanceId> Peers() const;

  const InstanceId& self() const { return self_; }

 private:
  struct Entry {
    bool listed = false;
    bool listed_leaving = false;
    bool heard_leaving = false;
    bool heard = false;
    std::int64_t incarnation = 0;
    TimePoint listed_at;
    TimePoint heard_at;
  };

  MemberState StateOfEntry(TimePoint now, const Entry& entry) const;

  InstanceId self_;
  MembershipOptions options_;
  bool self_leaving_ = false;
  std::map<InstanceId, Entry> entries_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_MEMBERSHIP_H_
