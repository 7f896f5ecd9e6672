/// @file
/// Tests of what lost runs tell against their tasks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/loss_tracker.h"
#include "dispatch/row_codec.h"
#include "dispatch/run_loss.h"

namespace limeledge::dispatch {

class RunLossFixture : public Utest {
 public:
  LossRules rules;
  LossTracker book{rules};
  const TaskName task{JobId("j"), 0, 0, 0};

  /// A life of a runner that tells no births, unless one is given.
  static IncarnationId Life(const char* id,
                            StartTime start_time = StartTime()) {
    return {RunnerId(id), start_time};
  }

  static RunLoss Loss(int run, bool crashed, bool suspicious,
                      Duration lasted = Duration(10)) {
    RunLoss loss;
    loss.run = run;
    loss.incarnation.runner = RunnerId("i-" + std::to_string(run));
    loss.address = "10.0.0." + std::to_string(run) + ":80";
    loss.lasted = lasted;
    loss.crashed = crashed;
    loss.suspicious = suspicious;
    return loss;
  }

  void CheckVerdict(LossVerdict expected, const std::vector<RunLoss>& losses,
                    int newest_run = 0) {
    LONGS_EQUAL(static_cast<int>(expected),
                static_cast<int>(EvaluateLosses(losses, newest_run, rules)));
  }
};

TEST_GROUP_BASE(RunLoss, RunLossFixture){};

TEST(RunLoss, TaskWithoutLossesMayStart) {
  CheckVerdict(LossVerdict::kMayStart, {});
}

TEST(RunLoss, TwoSuspiciousCrashesGiveATaskUp) {
  CheckVerdict(LossVerdict::kMayStart, {Loss(1, true, true)});
  CheckVerdict(LossVerdict::kGivenUp,
               {Loss(1, true, true), Loss(2, true, true)});
}

TEST(RunLoss, CrashesOfAnyKindGiveATaskUpLater) {
  std::vector<RunLoss> losses;
  for (int run = 1; run < rules.crashes; ++run) {
    losses.push_back(Loss(run, true, false));
  }
  CheckVerdict(LossVerdict::kMayStart, losses);
  losses.push_back(Loss(rules.crashes, true, false));
  CheckVerdict(LossVerdict::kGivenUp, losses);
}

TEST(RunLoss, StartsInVainAfterThreeCrashesGiveATaskUp) {
  const std::vector<RunLoss> losses = {
      Loss(1, true, false), Loss(2, true, false), Loss(4, true, false)};
  CheckVerdict(LossVerdict::kMayStart, losses, 5);
  CheckVerdict(LossVerdict::kGivenUp, losses, 6);
}

TEST(RunLoss, SilentRunnersAreNoCrashesButAreWaitedFor) {
  std::vector<RunLoss> losses;
  for (int run = 1; run <= rules.crashes; ++run) {
    losses.push_back(Loss(run, false, true));
  }
  CheckVerdict(LossVerdict::kMustWait, losses);
}

TEST(RunLoss, RunThatIsWellForLongOutlivesTheLossesBefore) {
  std::vector<RunLoss> losses = {Loss(1, true, true, Duration(10)),
                                 Loss(2, true, false, Duration(6000))};
  ForgetOutlived(Duration(8000), rules, &losses);
  LONGS_EQUAL(1, losses.size());
  LONGS_EQUAL(2, losses[0].run);
  ForgetOutlived(Duration(16000), rules, &losses);
  LONGS_EQUAL(0, losses.size());
}

// The platform counts starts after the third crash, whenever it is learnt of.
TEST(RunLoss, StartsAfterThreeLossesOfWhichOneIsInDoubtMustWait) {
  const std::vector<RunLoss> losses = {
      Loss(1, false, false), Loss(2, true, false), Loss(3, true, false)};
  CheckVerdict(LossVerdict::kMayStart, losses, 4);
  CheckVerdict(LossVerdict::kMustWait, losses, 5);
}

TEST(RunLoss, BookKnowsTheTasksOfASilentRunnerUntilItsFateIsKnown) {
  const RunLoss loss = Loss(1, false, true);
  book.AddUnresolved(task, loss, StartTime(), TimePoint(1000));
  book.AddUnresolved(task, loss, StartTime(), TimePoint(5000));
  LONGS_EQUAL(1, book.ReplacedAt(loss.address, Life("i-9")).size());
  LONGS_EQUAL(0, book.ReplacedAt(loss.address, loss.incarnation).size());
  LONGS_EQUAL(0, book.ReplacedAt("", Life("i-9")).size());
  LONGS_EQUAL(0, book.Overdue(TimePoint(20999)).size());
  LONGS_EQUAL(1, book.Overdue(TimePoint(21000)).size());
  LONGS_EQUAL(1, book.Resolve(loss.incarnation).size());
  CHECK_FALSE(book.HasUnresolved());
}

TEST(RunLoss, BookTellsWhoWasLostAboutAMoment) {
  book.AddLostRunner({Life("i-1"), TimePoint(1000), false, {}});
  book.AddLostRunner({Life("i-2"), TimePoint(1900), true, {}});
  book.AddLostRunner({Life("i-3"), TimePoint(2100), false, {}});
  LONGS_EQUAL(2, book.LostNear(TimePoint(1000)).size());
  LONGS_EQUAL(3, book.LostNear(TimePoint(1500)).size());
}

TEST(RunLoss, RunnersWithAStartToBlameAreExplained) {
  const JobId common("j");
  LONGS_EQUAL(2, CountUnexplained({{Life("i-1"), TimePoint(), false, {}},
                                   {Life("i-2"), TimePoint(), false, {}}}));
  LONGS_EQUAL(1, CountUnexplained({{Life("i-1"), TimePoint(), true, {}},
                                   {Life("i-2"), TimePoint(), false, {}}}));
  LONGS_EQUAL(1, CountUnexplained({{Life("i-1"), TimePoint(), false, {common}},
                                   {Life("i-2"), TimePoint(), false, {common}},
                                   {Life("i-3"), TimePoint(), false, {}}}));
}

TEST(RunLoss, LossesAreStoredWithTheirTask) {
  JobSpec spec;
  spec.id = JobId("j");
  spec.steps.emplace_back();
  Job job(spec);
  job.Assign(task, 3, Life("i-3"), TimePoint(0));
  CHECK_TRUE(job.RecordLoss(task, Loss(3, true, true, Duration(17))));
  CHECK_FALSE(job.RecordLoss(task, Loss(2, true, true)));
  Job read(spec);
  CHECK_TRUE(DecodeProgress(EncodeProgress(job), &read).ok());
  const std::vector<RunLoss>& losses = read.Find(task)->losses;
  LONGS_EQUAL(1, losses.size());
  LONGS_EQUAL(3, losses[0].run);
  STRCMP_EQUAL("i-3", losses[0].incarnation.runner.value().c_str());
  STRCMP_EQUAL("10.0.0.3:80", losses[0].address.c_str());
  LONGS_EQUAL(17, losses[0].lasted.ms());
  CHECK_TRUE(losses[0].crashed && losses[0].suspicious);
}

TEST(RunLoss, NextLifeAtTheAddressTellsThatTheOneBeforeIsOver) {
  RunLoss loss = Loss(1, false, true);
  loss.incarnation.start_time = StartTime(100);
  book.AddUnresolved(task, loss, StartTime(100), TimePoint(1000));
  LONGS_EQUAL(0, book.ReplacedAt(loss.address, loss.incarnation).size());
  LONGS_EQUAL(1,
              book.ReplacedAt(loss.address, Life("i-1", StartTime(50))).size());
}

// An entry may lag behind what the runner itself has answered.
TEST(RunLoss, EntryOfAnEarlierLifeTellsNothingOfALaterOne) {
  RunLoss loss = Loss(1, false, true);
  loss.incarnation.start_time = StartTime(100);
  book.AddUnresolved(task, loss, StartTime(50), TimePoint(1000));
  LONGS_EQUAL(0,
              book.ReplacedAt(loss.address, Life("i-1", StartTime(50))).size());
  LONGS_EQUAL(1, book.EarlierIncarnations(Life("i-1", StartTime(200))).size());
  LONGS_EQUAL(0, book.EarlierIncarnations(loss.incarnation).size());
}

TEST(RunLoss, LivesOfARunAndOfALossAreStored) {
  JobSpec spec;
  spec.id = JobId("j");
  spec.steps.emplace_back();
  Job job(spec);
  job.Assign(task, 3, Life("i-3", StartTime(1700)), TimePoint(0));
  RunLoss loss = Loss(3, true, true);
  loss.incarnation.start_time = StartTime(1600);
  CHECK_TRUE(job.RecordLoss(task, loss));
  Job read(spec);
  CHECK_TRUE(DecodeProgress(EncodeProgress(job), &read).ok());
  CHECK_TRUE(read.Find(task)->incarnation == Life("i-3", StartTime(1700)));
  CHECK_TRUE(read.Find(task)->losses[0].incarnation == loss.incarnation);
}

// The version before reads the first seven of a task and the first six of a
// loss, and passes over what follows.
TEST(RunLoss, RowKeepsThePlacesThatTheVersionBeforeReads) {
  JobSpec spec;
  spec.id = JobId("j");
  spec.steps.emplace_back();
  Job job(spec);
  job.Assign(task, 4, Life("i-4", StartTime(1700)), TimePoint(0));
  STRCMP_CONTAINS(R"([0,1,4,0,"i-4","",[],1700])", EncodeProgress(job).c_str());
  Job old(spec);
  old.Assign(task, 4, Life("i-4"), TimePoint(0));
  STRCMP_CONTAINS(R"([0,1,4,0,"i-4",""])", EncodeProgress(old).c_str());
}

TEST(RunLoss, RowsOfVersionsThatCountedNoLossesAreRead) {
  JobSpec spec;
  spec.id = JobId("j");
  spec.steps.emplace_back();
  Job read(spec);
  const std::string row =
      R"({"state":1,"steps":[{"k":0,"step":0,"tasks":[[0,1,4,1,"i-4",""]]}]})";
  CHECK_TRUE(DecodeProgress(row, &read).ok());
  LONGS_EQUAL(4, read.Find(task)->run);
  LONGS_EQUAL(0, read.Find(task)->losses.size());
  CHECK_TRUE(read.Find(task)->incarnation == Life("i-4"));
}

}  // namespace limeledge::dispatch
