/// @file
/// Tests of the runners that the planner reserves for urgent work.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "dispatch/planner.h"

namespace limeledge::dispatch {

/// The load: urgent gangs of five members with four accelerators each, which a
/// slow runner makes late, beside independent tasks that would fill every
/// runner. Two racks have twelve runners with eight accelerators each.
TEST_GROUP(PlannerPlacement) {
  static constexpr int kRacks = 2;
  static constexpr int kPerRack = 12;
  static constexpr double kFast = -0.4;
  static constexpr double kSlow = 0.3;

  StoreTimeout store_timeout;
  JobRegistry registry{&store_timeout};
  Fleet fleet{FleetOptions()};
  Catalog catalog;
  RunTimeEstimator times;
  TicketCache advice;
  Ticket tickets;
  Effects effects;
  TimePoint now{100000};
  PlannerOptions options;
  std::vector<JobSpec> jobs;
  /// The log paces of runners that are not slow.
  std::map<std::string, double> paces;

  void setup() override {
    // Other work must never use what is reserved.
    options.idle_share = 0;
    options.urgent_headroom = 2;
    options.late_headroom = 2;
    options.urgent_share = 0.5;
    RunnersListed list;
    list.ok = true;
    for (int i = 0; i < kRacks * kPerRack; ++i) {
      RunnerInfo info;
      info.id = RunnerId(IdOf(i / kPerRack, i % kPerRack));
      info.service = ServiceId("compute");
      info.address = absl::StrCat("10.0.0.", i);
      info.room = {128000, 524288, 8};
      info.rack = absl::StrCat("r1-", i / kPerRack);
      info.labels = {info.rack};
      list.runners.push_back(info);
    }
    Context ctx(now, 0, &tickets, &effects);
    fleet.Handle(ctx, list);
    for (const auto& [id, runner] : fleet.runners()) {
      runner->RecordAnswer(now, 0);
    }
  }

  static std::string IdOf(int rack, int number) {
    return absl::StrCat("i-", rack, "-", absl::Dec(number, absl::kZeroPad2));
  }

  JobSpec& AddJob(const char* id, int priority) {
    JobSpec spec;
    spec.id = JobId(id);
    spec.policy.service = ServiceId("compute");
    spec.policy.priority = priority;
    spec.policy.stretch = 3;
    spec.steps.resize(1);
    spec.steps[0].need = {1000, 1024, 8};
    spec.steps[0].estimate = Duration(2000);
    jobs.push_back(spec);
    return jobs.back();
  }
  /// Tasks for every runner.
  void AddBatch() { AddJob("00000000000000b1", 2).steps[0].count = 64; }
  /// A gang that waits for a label that no runner has, so that it takes nothing
  /// away.
  void AddWaitingUrgentGang() {
    StepSpec& step = AddJob("00000000000000a1", 0).steps[0];
    step.count = 5;
    step.need.accelerators = 4;
    step.gang = true;
    step.required_label = "none";
  }

  /// Makes the jobs known to the registry.
  void ReadJobs() {
    for (int stage = 0; stage < 2; ++stage) {
      Effects reads;
      Context ctx(now, 0, &tickets, &reads);
      registry.Work(ctx);
      for (const Effect& effect : reads) {
        const auto* read = std::get_if<ReadRows>(&effect);
        if (read == nullptr) continue;
        ReadCompleted answer;
        answer.outcome = StoreOutcome::kDone;
        answer.ticket = read->ticket;
        answer.newest = Revision(10);
        for (const JobSpec& spec : jobs) {
          const std::string& id = spec.id.value();
          if (stage == 0 || read->partition != JobPartition(id)) continue;
          Row row;
          row.key = {kJobTable, id};
          row.value = EncodeJobSpec(spec);
          row.revision = Revision(1);
          answer.rows.push_back(row);
        }
        registry.Handle(ctx, answer);
      }
    }
    CHECK_TRUE(registry.HasReadAllPartitions());
    LONGS_EQUAL(jobs.size(), registry.active().size());
  }

  RunnerSpeeds Speeds() const {
    RunnerSpeeds speeds;
    for (const auto& [id, runner] : fleet.runners()) {
      const auto found = paces.find(id.value());
      const double log_pace = found == paces.end() ? kSlow : found->second;
      speeds.Restore(runner->incarnation(), {log_pace, 0.1, 3, now});
    }
    return speeds;
  }

  Plan Decide(Planner * planner, const RunnerSpeeds* speeds) {
    return planner->Decide(now, 0, catalog, times, speeds, advice, &registry,
                           &fleet);
  }

  /// Runners on which the batch places nothing.
  std::set<std::string> ReservedBy(Planner * planner,
                                   const RunnerSpeeds* speeds) {
    std::set<std::string> reserved;
    for (const auto& [id, runner] : fleet.runners()) {
      reserved.insert(id.value());
    }
    for (const Assignment& assignment : Decide(planner, speeds).assignments) {
      reserved.erase(assignment.runner->id().value());
    }
    return reserved;
  }
};

// Guards against whole racks that are reserved although half of their runners
// are slow, and against fewer fast runners than the gangs need.
TEST(PlannerPlacement, FastRunnersOfEachRackAreReservedForGangsOfTheUsualSize) {
  AddBatch();
  AddWaitingUrgentGang();
  ReadJobs();
  std::set<std::string> fast;
  for (int rack = 0; rack < kRacks; ++rack) {
    // Two gangs of the usual size fit on five runners.
    for (int number = 7; number < kPerRack; ++number) {
      paces[IdOf(rack, number)] = kFast;
      fast.insert(IdOf(rack, number));
    }
  }
  const RunnerSpeeds speeds = Speeds();
  Planner planner(options);
  // The usual size is an average over some passes.
  for (int i = 0; i < 200; ++i) Decide(&planner, &speeds);
  CHECK_TRUE(ReservedBy(&planner, &speeds) == fast);
}

// Guards against a reservation that leaves nothing to other work.
TEST(PlannerPlacement, ReservedRunnersAreLimitedByTheShareOfUrgentWork) {
  AddBatch();
  AddWaitingUrgentGang();
  ReadJobs();
  options.urgent_share = 0.25;
  const RunnerSpeeds speeds = Speeds();
  Planner planner(options);
  for (int i = 0; i < 200; ++i) Decide(&planner, &speeds);
  LONGS_EQUAL(6, ReservedBy(&planner, &speeds).size());
}

// A runner that is reserved anew is full of other work, so small changes of the
// estimates must not replace one that urgent work finds free.
TEST(PlannerPlacement, ReservedRunnerIsKeptUntilAnotherIsClearlyFaster) {
  AddBatch();
  ReadJobs();
  paces[IdOf(0, 3)] = -0.3;
  paces[IdOf(1, 3)] = -0.3;
  Planner planner(options);
  const std::set<std::string> before = {IdOf(0, 3), IdOf(1, 3)};
  RunnerSpeeds speeds = Speeds();
  CHECK_TRUE(ReservedBy(&planner, &speeds) == before);
  paces[IdOf(0, 5)] = -0.4;
  speeds = Speeds();
  CHECK_TRUE(ReservedBy(&planner, &speeds) == before);
  paces[IdOf(0, 5)] = -0.5;
  speeds = Speeds();
  CHECK_TRUE(ReservedBy(&planner, &speeds) ==
             (std::set<std::string>{IdOf(0, 5), IdOf(1, 3)}));
}

// Guards against deployments with even runners that lose the racks kept for
// urgent work, also after speeds have been in use for a while.
TEST(PlannerPlacement, WholeRacksAreReservedWhileSpeedsAreNotInUse) {
  AddBatch();
  ReadJobs();
  paces[IdOf(1, 3)] = kFast;
  std::set<std::string> rack;
  for (int number = 0; number < kPerRack; ++number) {
    rack.insert(IdOf(0, number));
  }
  Planner planner(options);
  CHECK_TRUE(ReservedBy(&planner, nullptr) == rack);
  const RunnerSpeeds speeds = Speeds();
  CHECK_FALSE(ReservedBy(&planner, &speeds) == rack);
  CHECK_TRUE(ReservedBy(&planner, nullptr) == rack);
}

// Runs that resume from a checkpoint yield no measurement, so they must not use
// the reserved runners. Each pass placed one more of them there.
TEST(PlannerPlacement, TaskWithACheckpointMeasuresNoReservedRunner) {
  AddBatch();
  ReadJobs();
  RunnerSpeeds speeds;
  Planner planner(options);
  const std::size_t open = kRacks * kPerRack - kRacks;
  // All runners are unmeasured, so the reserved ones are measured too.
  LONGS_EQUAL(open + kRacks, Decide(&planner, &speeds).assignments.size());
  Job* job = registry.Find(JobId("00000000000000b1"));
  for (Task& task : job->occurrences()[0].steps[0].tasks) {
    task.checkpoint = "saved";
  }
  LONGS_EQUAL(open, Decide(&planner, &speeds).assignments.size());
}

}  // namespace limeledge::dispatch
