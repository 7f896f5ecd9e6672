/// @file
/// Tests of what planning passes look at on a full fleet with many waiting
/// steps.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "dispatch/planner.h"

namespace limeledge::dispatch {

/// The load: every runner is full of small tasks, and many urgent steps wait.
TEST_GROUP(BusyPlanner) {
  static constexpr int kRunners = 200;
  static constexpr int kRunsPerRunner = 8;

  StoreTimeout store_timeout;
  JobRegistry registry{&store_timeout};
  Fleet fleet{FleetOptions()};
  Catalog catalog;
  RunTimeEstimator times;
  TicketCache advice;
  Ticket tickets;
  Effects effects;
  TimePoint now{100000};
  Planner planner;
  std::vector<JobSpec> jobs;

  void setup() override {
    catalog.services[ServiceId("compute")].enforces_capacity = true;
    RunnersListed list;
    list.ok = true;
    for (int i = 0; i < kRunners; ++i) {
      RunnerInfo info;
      info.id = RunnerId(absl::StrCat("i-", absl::Dec(i, absl::kZeroPad4)));
      info.service = ServiceId("compute");
      info.address = absl::StrCat("10.0.0.", i, ":80");
      info.room = {64000, 262144, kRunsPerRunner};
      info.rack = absl::StrCat("r1-", i / 8);
      info.labels = {info.rack};
      list.runners.push_back(info);
    }
    Context ctx(now, 0, &tickets, &effects);
    fleet.Handle(ctx, list);
    for (const auto& [id, runner] : fleet.runners()) {
      runner->RecordAnswer(now, 0);
    }
  }

  JobSpec& AddJob(int priority, int tasks, std::int64_t accelerators) {
    JobSpec spec;
    spec.id = JobId(absl::StrCat(absl::Hex(jobs.size(), absl::kZeroPad16)));
    spec.policy.service = ServiceId("compute");
    spec.policy.priority = priority;
    spec.policy.stretch = 3;
    spec.steps.resize(1);
    spec.steps[0].count = tasks;
    spec.steps[0].need = {1000, 1024, accelerators};
    spec.steps[0].estimate = Duration(2000);
    jobs.push_back(spec);
    return jobs.back();
  }

  /// Makes the jobs known to the registry.
  void ReadJobs() {
    for (int stage = 0; stage < 2; ++stage) {
      Effects reads;
      Context ctx(now, 0, &tickets, &reads);
      registry.Work(ctx);
      for (const Effect& effect : reads) {
        const auto* read = std::get_if<ReadRows>(&effect);
        if (read != nullptr) AnswerRead(ctx, *read, stage);
      }
    }
  }

  void AnswerRead(Context & ctx, const ReadRows& read, int stage) {
    ReadCompleted answer;
    answer.outcome = StoreOutcome::kDone;
    answer.ticket = read.ticket;
    answer.newest = Revision(10);
    for (const JobSpec& spec : jobs) {
      const std::string& id = spec.id.value();
      if (stage == 0 || read.partition != JobPartition(id)) continue;
      answer.rows.push_back(
          {{kJobTable, id}, EncodeJobSpec(spec), Revision(1)});
    }
    registry.Handle(ctx, answer);
  }

  /// Fills every runner with runs of the first job. Precondition: it has a task
  /// for each of them.
  void FillRunners() {
    Job* job = registry.Find(jobs.front().id);
    int index = 0;
    for (const auto& [id, runner] : fleet.runners()) {
      for (int i = 0; i < kRunsPerRunner; ++i) {
        const TaskName name{jobs.front().id, 0, 0, index++};
        job->Assign(name, 1, runner->incarnation(), runner->info().address,
                    now);
        Run run;
        run.number = 1;
        run.need = jobs.front().steps[0].need;
        run.phase = RunPhase::kRunning;
        run.expected = Duration(20000);
        run.started_at = now;
        runner->Add(name, run);
      }
    }
  }

  Plan Decide() {
    now = now + Duration(1000);
    return planner.Decide(now, 0, catalog, times, nullptr, advice, &registry,
                          &fleet);
  }

  /// The looks of a pass beside that many urgent gangs, each of which preempts
  /// others.
  std::int64_t LooksBeside(int gangs) {
    jobs.clear();
    AddJob(1, kRunners * kRunsPerRunner, 1);
    for (int i = 0; i < gangs; ++i) AddJob(0, 4, 2).steps[0].gang = true;
    ReadJobs();
    FillRunners();
    const Plan plan = Decide();
    std::set<std::string> preemptors;
    for (const Preemption& preemption : plan.preemptions) {
      preemptors.insert(preemption.preemptor.value());
    }
    LONGS_EQUAL(gangs, preemptors.size());
    return plan.looks;
  }
};

// Guards against passes whose time grows with the product of waiting steps and
// active runs.
TEST(BusyPlanner, FurtherStepLooksAtEachCandidateAFewTimes) {
  constexpr int kGangs = 40;
  constexpr int kLooksAtACandidate = 4;
  const std::int64_t looks = LooksBeside(kGangs);
  constexpr int kRuns = kRunners * kRunsPerRunner;
  constexpr int kSteps = kGangs + 2;
  constexpr int kMostLooks = 2 * kRuns + kSteps * kLooksAtACandidate * kRunners;
  CHECK_TRUE(looks <= kMostLooks);
}

// Guards against steps that are never tried because the passes have no time.
TEST(BusyPlanner, PassGoesOnWithStepsThatThePreviousOneDidNotTry) {
  constexpr int kGangs = 12;
  AddJob(1, kRunners * kRunsPerRunner, 1);
  for (int i = 0; i < kGangs; ++i) AddJob(0, 4, 2).steps[0].gang = true;
  ReadJobs();
  FillRunners();
  // Enough for a few steps, most of them the first ones in order.
  constexpr int kFewSteps = 2 * kRunners * kRunsPerRunner;
  planner.SetMaxLooks(kFewSteps);
  std::set<std::string> served;
  for (int pass = 0; pass < 3 * kGangs; ++pass) {
    for (const Preemption& preemption : Decide().preemptions) {
      served.insert(preemption.preemptor.value());
    }
  }
  LONGS_EQUAL(kGangs, served.size());
}

// Guards against capacity that was freed for a step and is taken by others,
// because a pass did not get to the step.
TEST(BusyPlanner, ReservedCapacityIsKeptWithoutTime) {
  AddJob(1, kRunners * kRunsPerRunner, 1);
  AddJob(0, 4, 2).steps[0].gang = true;
  ReadJobs();
  FillRunners();
  const Plan first = Decide();
  CHECK_FALSE(first.preemptions.empty());
  for (const Preemption& preemption : first.preemptions) {
    fleet.Find(preemption.incarnation)->Remove(preemption.task);
  }
  planner.SetMaxLooks(1);
  LONGS_EQUAL(4, Decide().assignments.size());
}

// Guards against urgent work within its guarantee that waits for a later pass.
TEST(BusyPlanner, StepWithinItsGuaranteeIsTriedWhateverItTakes) {
  AddJob(1, kRunners * kRunsPerRunner, 1);
  for (int i = 0; i < 12; ++i) AddJob(0, 4, 2).steps[0].gang = true;
  JobSpec& guaranteed = AddJob(0, 4, 2);
  guaranteed.steps[0].gang = true;
  guaranteed.workspace = WorkspaceId("roads");
  const JobId id = guaranteed.id;
  catalog.workspaces[WorkspaceId("roads")].guaranteed_accelerators = 8;
  ReadJobs();
  FillRunners();
  planner.SetMaxLooks(1);
  const Plan plan = Decide();
  CHECK_TRUE(std::any_of(plan.preemptions.begin(), plan.preemptions.end(),
                         [&id](const Preemption& preempted) {
                           return preempted.preemptor == id;
                         }));
}

}  // namespace limeledge::dispatch
