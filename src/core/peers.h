/// @file
/// Talks with the other instances and follows the instance list.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_PEERS_H_
#define LIMELEDGE_SRC_CORE_PEERS_H_

#include <map>
#include <vector>

#include "core/context.h"
#include "core/event.h"

namespace limeledge {

/// Sends heartbeats, takes those of others, and keeps what the list says of
/// workers, runners and instances. Signs of leaving spread with heartbeats, so
/// that one instance that saw one is enough.
///
/// Thread safety: none; belongs to the reducer.
class Peers {
 public:
  /// `digests` are those of the halls that this instance plans.
  void OnTick(Context& ctx, const std::vector<HallDigest>& digests,
              const std::vector<RunnerId>& leaving_runners);
  void OnHeartbeatArrived(Context& ctx, const HeartbeatArrived& arrived);
  void OnHeartbeatAnswered(Context& ctx, const HeartbeatAnswered& answered);
  /// Returns true when workers, runners or members may have changed.
  bool OnList(Context& ctx, const InstanceListRead& read);

  /// Sends to every peer at the next tick, as when leaving.
  void SendSoon() { send_now_ = true; }
  /// Returns true once after something heard changed members or runners.
  bool TakeChanged();

 private:
  struct Link {
    bool in_flight = false;
    TimePoint sent_at;
    bool suspect = false;
  };

  Heartbeat Compose(const Context& ctx) const;
  void Hear(Context& ctx, const Heartbeat& heartbeat);
  void WatchSuspects(Context& ctx);

  /// The list as it was read last.
  InstanceList list_;
  std::map<InstanceId, Link> links_;
  std::vector<HallDigest> digests_;
  std::vector<RunnerId> leaving_runners_;
  bool send_now_ = false;
  bool changed_ = false;
  bool list_in_flight_ = false;
  bool list_failed_ = false;
  TimePoint list_asked_at_;
  bool list_asked_ = false;
  /// Workers that a heartbeat named as leaving while the list did not.
  std::map<WorkerId, TimePoint> heard_leaving_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_PEERS_H_
