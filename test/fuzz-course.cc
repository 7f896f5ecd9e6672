/// @file
/// Steps of fuzzed courses.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "fuzz-course.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "oracle.h"
#include "trial/cluster.h"

namespace limeledge {

namespace {

constexpr int kInstances = 3;
constexpr Duration kTaskLease{4000};
constexpr Duration kStep{50};
constexpr Duration kRest{150000};
constexpr int kMostRepeats = 8;

constexpr const char* kNames[kActionKinds] = {"run",
                                              "submit",
                                              "request",
                                              "repeat_request",
                                              "cancel",
                                              "kill",
                                              "start",
                                              "pause",
                                              "wake",
                                              "cut_store",
                                              "cut_peers",
                                              "cut_targets",
                                              "store_down",
                                              "lose_commits",
                                              "late_commits",
                                              "late_exchanges",
                                              "lose_exchanges",
                                              "lose_heartbeats",
                                              "runner_not_sent",
                                              "runner_lost",
                                              "worker_faults",
                                              "restart_worker",
                                              "cut_worker",
                                              "runner_faults",
                                              "propose",
                                              "planned_stop",
                                              "list_lag",
                                              "leave_runner",
                                              "leave_worker",
                                              "late_settings"};

int Pick(int value, int count) { return std::abs(value % std::max(1, count)); }

/// A course under way.
class Course {
 public:
  explicit Course(std::uint64_t seed)
      : cluster_(Options(seed)), oracle_(&cluster_, kTaskLease) {
    AddDeclaredWorkers(CourseSettings(), &cluster_);
    Run(Duration(4000));
  }

  void Do(const Action& action) {
    Carry(action);
    Run(Duration(std::abs(action.run_ms)));
  }

  CourseResult End() {
    cluster_.Heal();
    Run(kRest);
    oracle_.ObserveEnd();
    return {oracle_.violation(), cluster_.events()};
  }

  bool broken() const { return !oracle_.violation().empty(); }

 private:
  static ClusterOptions Options(std::uint64_t seed) {
    ClusterOptions options;
    options.seed = seed;
    options.instances = kInstances;
    options.settings = CourseSettings();
    options.tick = kStep;
    options.runners = 3;
    options.runner_slots = 3;
    options.service_time = Duration(60);
    return options;
  }

  void Run(Duration duration) {
    for (Duration ran; ran < duration; ran = ran + kStep) {
      cluster_.RunFor(std::min(kStep, duration - ran));
      oracle_.Observe();
      ReplaceStopped();
    }
  }

  /// The platform replaces an instance that ended a planned stop.
  void ReplaceStopped() {
    for (int i = 0; i < kInstances; ++i) {
      if (cluster_.HasExited(i)) cluster_.Start(i);
    }
  }

  WorkerId PickWorker(int value) const {
    auto it = cluster_.workers().begin();
    std::advance(it, Pick(value, static_cast<int>(cluster_.workers().size())));
    return it->first;
  }

  RunnerId PickRunner(int value) const {
    auto it = cluster_.runners().begin();
    std::advance(it, Pick(value, static_cast<int>(cluster_.runners().size())));
    return it->first;
  }

  static WorkspaceId PickWorkspace(int value) {
    return WorkspaceId(absl::StrCat("w", Pick(value, 3) + 1));
  }

  void Submit(const Action& action) {
    JobSpec spec;
    spec.workspace = PickWorkspace(action.a);
    spec.job_class = ClassId(Pick(action.b, 5) == 0 ? "urgent" : "batch");
    spec.id = FullJobId(spec.workspace, absl::StrCat("j", ++jobs_));
    spec.members = 1 + Pick(action.b, 3);
    spec.accelerators = Pick(action.a / 3, 5);
    spec.cores = 1;
    spec.declared = Duration(200 + 40LL * Pick(action.b, 150));
    spec.repeatable = Pick(action.a / 7, 2) == 0;
    Remember(spec, cluster_.Submit(Pick(action.b, kInstances), spec));
  }

  void Remember(const JobSpec& spec, std::size_t call) {
    specs_.push_back(spec);
    oracle_.OnJob(spec, call);
  }

  void Request(const Action& action) {
    RequestSpec spec;
    spec.workspace = PickWorkspace(action.a);
    spec.request_class = ClassId("check");
    spec.id = RequestId(absl::StrCat("r", ++ids_));
    spec.repeatable = Pick(action.a / 3, 3) == 0;
    spec.deadline = Duration(300 + 100LL * Pick(action.b, 30));
    spec.payload = absl::StrCat("payload of ", spec.id.value());
    requests_.push_back(spec);
    Send(spec, action.b);
  }

  void Send(const RequestSpec& spec, int instance) {
    const std::size_t call = cluster_.Request(Pick(instance, kInstances), spec);
    oracle_.OnRequest(spec, call);
  }

  void RepeatRequest(const Action& action) {
    if (requests_.empty()) return;
    const int back =
        Pick(action.a,
             std::min<int>(kMostRepeats, static_cast<int>(requests_.size())));
    const RequestSpec spec =
        requests_[requests_.size() - 1 - static_cast<std::size_t>(back)];
    Send(spec, action.b);
  }

  void Cancel(const Action& action) {
    if (specs_.empty()) return;
    const std::size_t index = static_cast<std::size_t>(
        Pick(action.a, static_cast<int>(specs_.size())));
    cluster_.Cancel(Pick(action.b, kInstances), specs_[index].id);
  }

  void Propose(const Action& action) {
    const int instance = Pick(action.a, kInstances);
    if (!cluster_.IsAlive(instance)) return;
    const SettingsVersion base =
        cluster_.reducer(instance).shared().follower.version();
    const std::string text = absl::StrReplaceAll(
        CourseSettings(),
        {{"max_queue: 50", absl::StrCat("max_queue: ", 20 + ++proposals_)}});
    cluster_.Propose(instance, base, text);
  }

  void LeaveWorker(const Action& action) {
    if (worker_left_) return;
    worker_left_ = true;
    cluster_.LeaveWorker(PickWorker(action.a), Pick(action.b, 2) == 0);
  }

  void LeaveRunner(const Action& action) {
    if (runner_left_) return;
    runner_left_ = true;
    cluster_.LeaveRunner(PickRunner(action.a), Pick(action.b, 2) == 0);
  }

  void Carry(const Action& action) {
    ClusterFaults& faults = cluster_.faults();
    const int instance = Pick(action.a, kInstances);
    const bool on = Pick(action.b, 2) == 0;
    const int percent = 20 * Pick(action.b, 5);
    switch (action.kind) {
      case ActionKind::kRun:
        return;
      case ActionKind::kSubmit:
        return Submit(action);
      case ActionKind::kRequest:
        return Request(action);
      case ActionKind::kRepeatRequest:
        return RepeatRequest(action);
      case ActionKind::kCancel:
        return Cancel(action);
      case ActionKind::kKill:
        return cluster_.Kill(instance);
      case ActionKind::kStart:
        return cluster_.Start(instance);
      case ActionKind::kPause:
        oracle_.OnPaused(instance);
        return cluster_.Pause(instance);
      case ActionKind::kWake:
        return cluster_.Wake(instance);
      case ActionKind::kCutStore:
        return cluster_.CutStore(instance, on);
      case ActionKind::kCutPeers:
        return cluster_.CutPeers(instance, on);
      case ActionKind::kCutTargets:
        return cluster_.CutTargets(instance, on);
      case ActionKind::kStoreDown:
        faults.store_down = on;
        return;
      case ActionKind::kLoseCommits:
        faults.lose_commit_answer = percent;
        return;
      case ActionKind::kLateCommits:
        faults.late_commit = percent;
        return;
      case ActionKind::kLateExchanges:
        faults.late_exchange = percent;
        return;
      case ActionKind::kLoseExchanges:
        faults.lose_exchange_reply = percent;
        return;
      case ActionKind::kLoseHeartbeats:
        faults.lose_heartbeat = percent;
        return;
      case ActionKind::kRunnerNotSent:
        faults.runner_not_sent = percent;
        return;
      case ActionKind::kRunnerLost:
        faults.runner_lost = percent;
        return;
      case ActionKind::kWorkerFaults:
        return cluster_.SetWorkerFaults(
            PickWorker(action.a),
            {Pick(action.b, 4) == 1, Pick(action.b, 4) == 2,
             Pick(action.b, 4) == 3});
      case ActionKind::kRestartWorker:
        return cluster_.RestartWorker(PickWorker(action.a));
      case ActionKind::kCutWorker:
        return cluster_.CutWorker(PickWorker(action.a), on);
      case ActionKind::kRunnerFaults:
        return cluster_.SetRunnerFaults(
            PickRunner(action.a),
            {Pick(action.b, 4) == 1, Pick(action.b, 4) == 2,
             Pick(action.b, 4) == 3});
      case ActionKind::kPropose:
        return Propose(action);
      case ActionKind::kPlannedStop:
        return cluster_.Stop(instance);
      case ActionKind::kListLag:
        faults.list_lag = Duration(1000LL * Pick(action.b, 4));
        return;
      case ActionKind::kLeaveRunner:
        return LeaveRunner(action);
      case ActionKind::kLeaveWorker:
        return LeaveWorker(action);
      case ActionKind::kLateSettings:
        faults.late_settings = percent;
        return;
    }
  }

  Cluster cluster_;
  Oracle oracle_;
  std::vector<JobSpec> specs_;
  std::vector<RequestSpec> requests_;
  int jobs_ = 0;
  int ids_ = 0;
  int proposals_ = 0;
  bool worker_left_ = false;
  bool runner_left_ = false;
};

}  // namespace

const char* ToString(ActionKind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << "{ActionKind(" << static_cast<int>(action.kind) << "/*"
             << ToString(action.kind) << "*/), " << action.a << ", " << action.b
             << ", " << action.run_ms << "}";
}

CourseResult RunCourse(std::uint64_t seed, const std::vector<Action>& actions) {
  Course course(seed);
  for (const Action& action : actions) {
    course.Do(action);
    if (course.broken()) break;
  }
  return course.End();
}

const std::string& CourseSettings() {
  static const std::string text = R"(
system:
  hall_lease_ms: 2000
  hall_lease_margin_ms: 400
  task_lease_ms: 4000
  exchange_ms: 1000
  heartbeat_ms: 300
  suspect_ms: 1000
  list_poll_ms: 500
  store_poll_ms: 250
  store_wait_ms: 2500
  slot_handover_ms: 500
  quarantine_ms: 3000
  stop_grace_ms: 500
halls:
  a: {region: r1, racks: 2, workers_per_rack: 2, accelerators_per_worker: 4, cores_per_worker: 16, memory_mb_per_worker: 1000}
  b: {region: r2, racks: 1, workers_per_rack: 2, accelerators_per_worker: 4, cores_per_worker: 16, memory_mb_per_worker: 1000}
defaults:
  max_queue: 50
  max_attempts: 4
  reclaim_ms: 6000
  prepare_ms: 5000
  reserve_after_ms: 15000
classes:
  check: {kind: request, priority: 1}
  batch: {kind: job, priority: 6}
  urgent: {kind: job, priority: 2}
workspaces:
  w1:
    guarantees:
      big: {hall: a, members: 2, accelerators: 4}
  w2:
    guarantees:
      small: {hall: a, members: 1, accelerators: 4}
      far: {hall: b, members: 1, accelerators: 4}
  w3:
    weight: 50
)";
  return text;
}

}  // namespace limeledge
