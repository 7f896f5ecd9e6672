/// @file
/// Injects the faults of a plan, and restarts processes that ended.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_FAULT_DRIVER_H_
#define LIMELEDGE_SOAK_FAULT_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "soak/experiment.h"
#include "soak/fault_log.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Injects the faults of a plan from outside the nodes.
///
/// Thread safety: none; use it from one thread.
class FaultDriver {
 public:
  /// All arguments must outlive this object.
  FaultDriver(SoakPlatform* platform, Nodes* nodes, FaultLog* log);

  /// Injects all faults of the plan; returns after `length`.
  void Run(const std::vector<Fault>& plan, Duration length);
  /// Ends all faults, and restarts everything that is down.
  void Heal();
  /// Restarts ended nodes when they are due, and checks how they ended.
  void TendNodes();

 private:
  void Schedule(const Fault& fault, TimePoint begin);
  /// Schedules a fault of the node that holds the scheduler lease at that time.
  void ScheduleLeader(const Fault& fault, TimePoint at);
  /// Returns the index of the node that schedules, or of the first node if none
  /// reports that it does.
  int FindLeader();
  /// Silences all open connections of nodes to the store and to runners.
  void SilenceAll();
  void SilenceRunners();
  /// Drops the responses to all orders to runners for 1 to 4 s, depending on
  /// the fault's target; the orders are carried out later by the fault's
  /// length.
  void DelayOrders(const Fault& fault);
  /// Holds all calls to a runner for the fault's length, and then delivers them
  /// although their callers have given them up.
  void HoldCalls(const Fault& fault);
  void SetRunnerLinks(const LinkFault& fault);
  /// Suspends or resumes the machine of a node.
  static void SetSuspended(NodeProcess* node, bool suspended);
  /// Asks a node to stop; if `replace`, its next incarnation is a different
  /// node.
  void StopNode(NodeProcess* node, bool replace);
  // Each schedules one group of fault kinds, and returns false for other kinds.
  bool ScheduleNode(const Fault& fault, TimePoint at);
  bool ScheduleNodeLink(const Fault& fault, TimePoint at);
  bool ScheduleStore(const Fault& fault, TimePoint at);
  bool ScheduleRunnerLink(const Fault& fault, TimePoint at);
  /// Schedules the faults of a runner itself; does nothing for other kinds.
  void ScheduleRunner(const Fault& fault, TimePoint at);
  void ScheduleDrain(const Fault& fault, TimePoint at);
  /// Cuts a runner off from the store, and from the nodes unless the fault is
  /// `kLapseEntry`.
  void SchedulePartition(const Fault& fault, TimePoint at);
  /// Returns the node, or the index of the runner, that a fault targets.
  NodeProcess* NodeOf(const Fault& fault);
  int PlaceOf(const Fault& fault) const;
  void At(TimePoint at, std::function<void()> run);
  /// Begins a fault at `at`, and ends it after the fault's length.
  void During(const Fault& fault, TimePoint at, const std::string& subject,
              std::function<void()> begin, std::function<void()> end);
  /// Like `During`, for a fault of a link.
  void DuringLink(const Fault& fault, TimePoint at, const std::string& subject,
                  TcpProxy* link);
  /// Reports an incarnation that ended by itself, once for each incarnation.
  void CheckEnd(NodeProcess* node);
  /// Kills and reports a node that did not stop in time after a request.
  void EndOverdue(NodeProcess* node, const NodeLife& incarnation);

  SoakPlatform* platform_;
  Nodes* nodes_;
  HttpClient client_;
  FaultLog* log_;
  SteadyClock clock_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  /// Number of incarnations of each node whose end was checked.
  std::map<std::string, std::size_t> checked_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_FAULT_DRIVER_H_
