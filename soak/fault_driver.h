/// @file
/// Carries a plan of faults out, and restarts what ended.
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

/// Makes the troubles of a plan, from outside of the nodes.
///
/// Thread safety: none; use it from one thread.
class FaultDriver {
 public:
  /// All that is given outlives this object.
  FaultDriver(SoakPlatform* platform, Nodes* nodes, FaultLog* log);

  /// Makes all troubles of the plan; returns after `length`.
  void Run(const std::vector<Fault>& plan, Duration length);
  /// Ends all troubles, and starts again what is down.
  void Heal();
  /// Restarts nodes that ended and are due again; checks how they ended.
  void TendNodes();

 private:
  void Schedule(const Fault& fault, TimePoint begin);
  /// Makes a fault of the node that schedules then.
  void ScheduleLeader(const Fault& fault, TimePoint at);
  /// The number of the node that schedules; of the first if none says so.
  int FindLeader();
  /// Silences what is open between nodes, the store and runners.
  void SilenceAll();
  void SilenceRunners();
  /// For 1 to 4 s, by the fault's target, orders to all runners get no answer;
  /// they are carried out the fault's length later.
  void DelayOrders(const Fault& fault);
  void SetRunnerLinks(const LinkFault& fault);
  /// Suspends a node's machine, or wakes it.
  static void SetSuspended(NodeProcess* node, bool suspended);
  /// Asks a node to stop; the next life there is another node if `replace`.
  void StopNode(NodeProcess* node, bool replace);
  // Each plans the troubles of one sort, and returns false for other kinds.
  bool ScheduleNode(const Fault& fault, TimePoint at);
  bool ScheduleNodeLink(const Fault& fault, TimePoint at);
  bool ScheduleStore(const Fault& fault, TimePoint at);
  bool ScheduleRunnerLink(const Fault& fault, TimePoint at);
  /// Plans the troubles of a runner itself; nothing for other kinds.
  void ScheduleRunner(const Fault& fault, TimePoint at);
  void ScheduleDrain(const Fault& fault, TimePoint at);
  /// The node, and the runner's place, that a trouble is meant for.
  NodeProcess* NodeOf(const Fault& fault);
  int PlaceOf(const Fault& fault) const;
  void At(TimePoint at, std::function<void()> run);
  /// Begins a trouble now and ends it after the fault's length.
  void During(const Fault& fault, TimePoint at, const std::string& subject,
              std::function<void()> begin, std::function<void()> end);
  /// The same for a trouble of a link.
  void DuringLink(const Fault& fault, TimePoint at, const std::string& subject,
                  TcpProxy* link);
  /// Reports a life that ended by itself; once for each life.
  void CheckEnd(NodeProcess* node);
  /// Kills and reports a node that was asked to stop and does not.
  void EndOverdue(NodeProcess* node, const NodeLife& incarnation);

  SoakPlatform* platform_;
  Nodes* nodes_;
  HttpClient client_;
  FaultLog* log_;
  SteadyClock clock_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  /// Lives of each node whose end was checked.
  std::map<std::string, std::size_t> checked_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_FAULT_DRIVER_H_
