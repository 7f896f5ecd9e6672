/// @file
/// Parameters of a soak test: sizes, load and faults, read from a file.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_EXPERIMENT_H_
#define LIMELEDGE_SOAK_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limeledge/clock.h"
#include "limeledge/finding.h"

namespace limeledge::soak {

/// Faults that a soak test can inject. Files use the names of `ToString`.
enum class FaultKind {
  kKillNode,
  kStopNode,
  kPauseNode,
  kReloadNode,
  kCutStore,
  kResetStore,
  kSilenceNode,
  kSilenceRunners,
  kSilenceAll,
  kStoreDown,
  kStoreSlow,
  kStoreAnswersLost,
  kStoreForgets,
  kKillRunner,
  kDrainRunner,
  kCutRunner,
  kHoldAnswers,
  kDelayRunner,
  kSlowRunner,
  kFailingRunner,
  kResetCallers,
  kDelayCallers,
  kChangeConfig,
  kReplaceNode,
  kLoseNode,
  kLateOrders,
  kShrinkRoom,
  kSuspendNode,
  kPartitionRunner,
  kIsolateRunner,
  kLapseEntry,
  kStoreWritesLate,
  kOverwriteEntry,
  kAliasEntry,
  kHoldCalls,
  /// In random plans, the runner is cut off some time after its restart.
  kRestartRunnerDark,
};

const char* ToString(FaultKind kind);
/// Returns the default fault kinds of random plans: all but `kSilenceAll` and
/// those from `kReplaceNode` on, so that existing seeds still give the same
/// plans.
const std::vector<FaultKind>& RandomFaultKinds();

/// Target that stands for the node that schedules when the fault begins.
inline constexpr int kLeaderTarget = -1;

/// One fault of a run.
struct Fault {
  /// Time since the start of the load.
  Duration at;
  FaultKind kind = FaultKind::kKillNode;
  /// Index of the node or runner; ignored for faults of the store.
  int target = 0;
  Duration length;
  /// Maximum time without a start while the fault may have an effect; 0: not
  /// checked.
  Duration starts_within;
};

/// Sizes, load and faults of a run.
struct Experiment {
  int nodes = 4;
  int runners = 8;
  int callers = 6;
  /// Maximum number of jobs that each caller submits per second.
  double jobs_per_caller = 1;
  /// Number of jobs that a caller submits one after the other and cancels
  /// together.
  int jobs_at_once = 1;
  /// Minimum and maximum work of a task.
  Duration shortest_work{200};
  Duration longest_work{2500};
  /// Maximum number of accelerators of a task.
  int most_accelerators = 8;
  /// Maximum time between the acceptance of a job and its cancellation, if any.
  Duration latest_cancel{1500};
  /// Duration of load and faults.
  Duration length{30000};
  /// Mean time between two faults; 0 for none.
  Duration fault_interval{700};
  /// Maximum duration of a fault.
  Duration longest_fault{6000};
  /// Latest start of a random fault; 0: the end of the load.
  Duration faults_until;
  /// Share of random faults that follow one of the same kind within a moment.
  double series_share = 0.2;
  /// Share of random node faults that hit the node that schedules.
  double leader_share = 0;
  /// Share of the cuts of restarted runners before which the node that
  /// schedules is killed.
  double take_over_share = 0;
  std::vector<FaultKind> faults = RandomFaultKinds();
  /// If not empty, these faults are injected in order of time, and no random
  /// ones.
  std::vector<Fault> plan;
  /// False disables all checks of time bounds, for machines that are busy with
  /// other work.
  bool checks_times = true;
  /// Shares of the kinds of jobs.
  double gang_share = 0.25;
  double urgent_share = 0.25;
  double failing_share = 0.05;
  /// Share of jobs whose tasks crash their runners.
  double crashing_share = 0;
  /// Runners refuse tasks that exceed their capacity.
  bool guards_room = true;
  /// Restarted runners keep their ids and report a new start time.
  bool keeps_ids = false;
  double cancelled_share = 0.15;
  /// Share of jobs whose caller leaves soon after it sent the submit, and
  /// cancels the job at another node.
  double given_up_share = 0;
};

/// Parses an experiment (YAML); omitted fields keep their defaults. Errors are
/// added to `findings`. Safe from any thread.
Experiment ReadExperiment(const std::string& text, Findings* findings);

/// Returns all faults of a run in order of time: single, overlapping and in
/// series. The same seed gives the same plan. Safe from any thread.
std::vector<Fault> PlanFaults(const Experiment& experiment, std::uint64_t seed);

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_EXPERIMENT_H_
