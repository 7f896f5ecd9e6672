/// @file
/// Tests of the estimates of the lasting speeds of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cmath>
#include <limits>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/runner_speeds.h"

namespace limeledge::dispatch {

// Half the logarithm of the smallest stretch of urgent queues, 1.5: above this
// spread, speeds influence decisions.
constexpr double kSpreadLimit = 0.2027;
constexpr double kSlowFactor = 1.6;

TEST_GROUP(RunnerSpeeds) {
  const QueueId queue{"sweep"};
  const Duration estimate{5000};
  RunnerSpeeds speeds;
  std::mt19937 random{1};
  int jobs = 0;
  TimePoint now{1000};

  static IncarnationId RunnerAt(int index) {
    return {RunnerId("i-" + std::to_string(index)), StartTime(index + 1)};
  }
  static std::vector<IncarnationId> RunnersFrom(int first, int count) {
    std::vector<IncarnationId> runners;
    for (int i = first; i < first + count; ++i) runners.push_back(RunnerAt(i));
    return runners;
  }
  JobId NewJob() { return JobId("job-" + std::to_string(++jobs)); }
  Duration Times(double factor) const {
    return Duration(std::llround(static_cast<double>(estimate.ms()) * factor));
  }
  double Normal(double deviation) {
    return std::normal_distribution<double>(0, deviation)(random);
  }
  int Below(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random);
  }
  /// Three tasks in a hundred take seven times as long.
  double Tail() { return Below(100) < 3 ? 7 : 1; }

  void RecordTask(const JobId& job, int task, int runner, double factor) {
    speeds.RecordTask(now, {job, 0, 0, task}, queue, RunnerAt(runner), estimate,
                      Times(factor));
  }
  JobId RecordGang(const std::vector<IncarnationId>& runners, double factor) {
    JobId job = NewJob();
    speeds.RecordGang(now, {job, 0, 0}, queue, runners, estimate,
                      Times(factor));
    return job;
  }
  /// Gangs on runners from number 1000 on, which teach the estimates' error.
  void RecordUsualGangs(int count) {
    for (int i = 0; i < count; ++i) {
      RecordGang(RunnersFrom(1000 + 5 * i, 5), std::exp(Normal(0.1)));
    }
  }
  /// A step of 39 tasks, packed eight to a runner, on runners with these
  /// factors.
  JobId RecordStep(const std::vector<int>& runners,
                   const std::vector<double>& factors, double error = 0.47) {
    JobId job = NewJob();
    const double common = std::exp(Normal(error));
    for (int task = 0; task < 39; ++task) {
      const std::size_t place = static_cast<std::size_t>(task) / 8;
      const double factor = common * factors[place] * Tail();
      RecordTask(job, task, runners[place], factor * std::exp(Normal(0.3)));
    }
    return job;
  }
  /// Steps and gangs on random runners of a fleet whose factors repeat.
  void RunFleet(int runners, const std::vector<double>& classes, int steps) {
    const auto factor_of = [&classes](int runner) {
      return classes[static_cast<std::size_t>(runner) % classes.size()];
    };
    for (int i = 0; i < steps; ++i) {
      now = now + Duration(700);
      std::vector<int> packed;
      std::vector<double> factors;
      for (int k = 0; k < 5; ++k) {
        packed.push_back(Below(runners));
        factors.push_back(factor_of(packed.back()));
      }
      const JobId job = RecordStep(packed, factors);
      const int first = Below(runners - 4);
      double slowest = 0;
      for (int k = first; k < first + 5; ++k) {
        slowest = std::max(slowest, factor_of(k));
      }
      const JobId gang =
          RecordGang(RunnersFrom(first, 5), slowest * std::exp(Normal(0.2)));
      speeds.Forget(job);
      speeds.Forget(gang);
    }
  }
  double LogPace(int runner) const {
    return speeds.EstimateOf(RunnerAt(runner)).log_pace;
  }
  double Deviation(int runner) const {
    return speeds.EstimateOf(RunnerAt(runner)).deviation;
  }
  /// Probability that the runner takes at least 1.35 times as long.
  double ChanceOfSlow(int runner) const {
    const PaceDistribution& pace = speeds.PaceOf(RunnerAt(runner));
    double chance = 0;
    for (std::size_t bin = 0; bin < kPaceBins; ++bin) {
      if (LogPaceOf(bin) > 0.25) chance += pace[bin];
    }
    return chance;
  }
};

// Guards against slow runners that are not told apart although one step has
// tasks on all of them.
TEST(RunnerSpeeds, TasksOfOneStepSeparateSlowFromFastRunners) {
  const std::vector<int> runners{0, 1, 2, 3, 4};
  const std::vector<double> factors{1, 0.6, 1, kSlowFactor, 1};
  for (int i = 0; i < 3; ++i) RecordStep(runners, factors);
  CHECK_TRUE(LogPace(3) > 0.25);
  CHECK_TRUE(LogPace(1) < -0.25);
  CHECK_TRUE(std::abs(LogPace(0)) < 0.2);
}

// Guards against the comparison of a runner with itself, which made it look
// average with certainty.
TEST(RunnerSpeeds, TasksOfOneStepOnOneRunnerOnlyGiveNoCertainty) {
  const double before = Deviation(0);
  const JobId job = NewJob();
  for (int task = 0; task < 8; ++task) RecordTask(job, task, 0, kSlowFactor);
  CHECK_TRUE(Deviation(0) > 0.8 * before);
  CHECK_TRUE(LogPace(0) > 0);
}

// Guards against gangs that are ignored as measurements.
TEST(RunnerSpeeds, SlowGangShowsThatOneOfItsRunnersIsSlow) {
  RecordUsualGangs(40);
  RecordGang(RunnersFrom(0, 5), 1.8);
  const double alone = ChanceOfSlow(4);
  CHECK_TRUE(alone > 1.5 * ChanceOfSlow(2000));
  CHECK_TRUE(alone < 0.7);
  DOUBLES_EQUAL(alone, ChanceOfSlow(0), 1e-3);
  // The other members prove to be fast in a gang without the fifth.
  for (int i = 0; i < 3; ++i) RecordGang(RunnersFrom(0, 4), 0.8);
  RecordGang(RunnersFrom(0, 5), 1.8);
  CHECK_TRUE(ChanceOfSlow(4) > 0.8);
  CHECK_TRUE(ChanceOfSlow(0) < 0.1);
}

// Guards against members that stay suspect after a gang was not slow.
TEST(RunnerSpeeds, GangThatIsNotSlowShowsThatNoneOfItsRunnersIs) {
  RecordUsualGangs(40);
  const double unknown = ChanceOfSlow(2000);
  RecordGang(RunnersFrom(0, 5), 0.8);
  for (int i = 0; i < 5; ++i) CHECK_TRUE(ChanceOfSlow(i) < unknown / 2);
}

// Guards against a gang that counts as often as its progress is reported.
TEST(RunnerSpeeds, RepeatedRecordOfAGangReplacesTheFirst) {
  RecordUsualGangs(40);
  const JobId job = RecordGang(RunnersFrom(0, 5), 1.8);
  const double once = ChanceOfSlow(0);
  for (int i = 0; i < 10; ++i) {
    speeds.RecordGang(now, {job, 0, 0}, queue, RunnersFrom(0, 5), estimate,
                      Times(1.8));
  }
  // The error of the queue's estimates, which the gang taught, remains.
  DOUBLES_EQUAL(once, ChanceOfSlow(0), 0.01);
  LONGS_EQUAL(1, speeds.EstimateOf(RunnerAt(0)).runs);
}

// Guards against a runner that is avoided since one of its tasks was long.
TEST(RunnerSpeeds, TaskThatTakesSevenTimesAsLongDoesNotMakeItsRunnerSlow) {
  const JobId job = NewJob();
  for (int task = 0; task < 39; ++task) {
    RecordTask(job, task, task / 8, task == 20 ? 7 : std::exp(Normal(0.3)));
  }
  CHECK_TRUE(std::abs(LogPace(2)) < 0.2);
}

// Guards against a runner that is avoided for good since all of its tasks of
// one step were slow.
TEST(RunnerSpeeds, RunnerThatWasSlowForSomeSecondsIsNotSlowForGood) {
  const std::vector<int> runners{0, 1, 2, 3, 4};
  RecordStep(runners, {1, 1, 4, 1, 1});
  for (int i = 0; i < 2; ++i) RecordStep(runners, {1, 1, 1, 1, 1});
  CHECK_TRUE(LogPace(2) < 0.2);
}

// Guards against the weight of a long past: a runner that is slow since its
// thousandth task stayed fast for hundreds more.
TEST(RunnerSpeeds, RunnerThatBecomesSlowIsRecognized) {
  const std::vector<int> runners{0, 1, 2, 3, 4};
  for (int i = 0; i < 200; ++i) {
    speeds.Forget(RecordStep(runners, {1, 1, 1, 1, 1}));
  }
  for (int i = 0; i < 30; ++i) {
    speeds.Forget(RecordStep(runners, {1, 1, kSlowFactor, 1, 1}));
  }
  CHECK_TRUE(LogPace(2) - LogPace(0) > 0.25);
}

// Guards against estimates of a random fleet that are no better than none.
TEST(RunnerSpeeds, UnevenFleetIsMeasuredWithinAThirdOfItsSpread) {
  RunFleet(350, {0.6, 1, kSlowFactor}, 300);
  double squares = 0;
  int runners = 0;
  for (int i = 0; i < 350; ++i) {
    if (speeds.EstimateOf(RunnerAt(i)).runs < 16) continue;
    const double factors[] = {0.6, 1, kSlowFactor};
    const double error = LogPace(i) - std::log(factors[i % 3]);
    squares += error * error;
    ++runners;
  }
  CHECK_TRUE(runners > 250);
  CHECK_TRUE(std::sqrt(squares / runners) < 0.14);
}

// Guards against speeds in use on a fleet where they do not matter, and against
// ones that are not in use where they do.
TEST(RunnerSpeeds, SpreadExceedsTheLimitOnlyInAnUnevenFleet) {
  RunFleet(350, {0.6, 1, kSlowFactor}, 40);
  CHECK_TRUE(speeds.Spread() > kSpreadLimit);
  speeds = RunnerSpeeds();
  RunFleet(350, {1, 1, 1.3}, 40);
  CHECK_TRUE(speeds.Spread() < kSpreadLimit);
  speeds = RunnerSpeeds();
  RunFleet(350, {1}, 40);
  CHECK_TRUE(speeds.Spread() < kSpreadLimit / 2);
}

// Guards against seconds of slowness, as most fleets have them, that count as
// lasting differences.
TEST(RunnerSpeeds, PassingSlownessOfAnEvenFleetKeepsTheSpreadBelowTheLimit) {
  for (int i = 0; i < 150; ++i) {
    std::vector<int> runners;
    std::vector<double> factors;
    for (int k = 0; k < 5; ++k) {
      runners.push_back(Below(60));
      factors.push_back(Below(100) < 8 ? 3 : 1);
    }
    speeds.Forget(RecordStep(runners, factors));
  }
  CHECK_TRUE(speeds.Spread() < kSpreadLimit);
}

// Guards against a spread that describes runners replaced long ago.
TEST(RunnerSpeeds, SpreadFollowsAFleetThatBecomesEven) {
  RunFleet(350, {0.6, 1, kSlowFactor}, 300);
  RunFleet(350, {1}, 1500);
  CHECK_TRUE(speeds.Spread() < kSpreadLimit);
}

// Guards against a queue of single tasks whose estimates are always too low: it
// made all its runners slow.
TEST(RunnerSpeeds, QueueWithLowEstimatesDoesNotMakeItsRunnersSlow) {
  for (int i = 0; i < 200; ++i) {
    const JobId job = NewJob();
    RecordTask(job, 0, i % 20, 2 * std::exp(Normal(0.2)));
    speeds.Forget(job);
  }
  for (int i = 0; i < 20; ++i) CHECK_TRUE(std::abs(LogPace(i)) < 0.25);
}

// Guards against a few long gangs that make all predictions of a queue vague.
TEST(RunnerSpeeds, LongGangsDoNotWidenThePredictionOfTheirQueue) {
  for (int i = 0; i < 100; ++i) {
    RecordGang(RunnersFrom(5 * i, 5),
               (i % 25 == 24 ? 7 : 1) * std::exp(Normal(0.1)));
  }
  CHECK_TRUE(speeds.Predict(queue, estimate).deviation < 0.25);
}

// Guards against values that are not numbers after many runs on one runner.
TEST(RunnerSpeeds, ThousandTasksOnOneRunnerGiveFiniteEstimates) {
  const JobId job = NewJob();
  for (int task = 0; task < 1000; ++task) {
    RecordTask(job, task, task % 2, task % 2 == 0 ? 1 : 3);
  }
  CHECK_TRUE(std::isfinite(LogPace(0)) && std::isfinite(LogPace(1)));
  CHECK_TRUE(LogPace(1) > LogPace(0));
}

TEST(RunnerSpeeds, RestoredEstimateIsUsedUnlessTheRunnerWasMeasured) {
  SpeedEstimate stored;
  stored.log_pace = 0.45;
  stored.deviation = 0.1;
  stored.runs = 9;
  speeds.Restore(RunnerAt(0), stored);
  DOUBLES_EQUAL(0.45, LogPace(0), 0.05);
  DOUBLES_EQUAL(0.1, Deviation(0), 0.05);
  LONGS_EQUAL(9, speeds.EstimateOf(RunnerAt(0)).runs);
  RecordStep({1, 2, 3, 4, 5}, {1, 1, 1, 1, 1});
  const double measured = LogPace(1);
  speeds.Restore(RunnerAt(1), stored);
  DOUBLES_EQUAL(measured, LogPace(1), 1e-6);
}

// Guards against stored values that make the estimates of a runner, and with
// the prior those of all runners, not a number.
TEST(RunnerSpeeds, UnusableRestoredValuesAreBoundedOrIgnored) {
  SpeedEstimate stored;
  stored.log_pace = 0.2;
  stored.deviation = 0;
  speeds.Restore(RunnerAt(0), stored);
  DOUBLES_EQUAL(0.2, LogPace(0), 0.05);
  stored.log_pace = 30;
  speeds.Restore(RunnerAt(1), stored);
  CHECK_TRUE(LogPace(1) > 1);
  stored.log_pace = std::numeric_limits<double>::quiet_NaN();
  speeds.Restore(RunnerAt(2), stored);
  CHECK_TRUE(std::isfinite(LogPace(2)));
  RecordStep({5, 6, 7, 8, 9}, {1, 1, 1, 1, 1});
  CHECK_TRUE(std::isfinite(LogPace(5)));
}

// Guards against a prior of 0, whose logarithm made restored runners unusable.
TEST(RunnerSpeeds, NarrowPriorGivesFiniteEstimates) {
  RunnerSpeedOptions options;
  options.initial_deviation = 0.05;
  speeds = RunnerSpeeds(options);
  SpeedEstimate stored;
  stored.deviation = 0.1;
  speeds.Restore(RunnerAt(0), stored);
  CHECK_TRUE(std::isfinite(LogPace(0)));
}

TEST(RunnerSpeeds, ForgottenJobKeepsWhatItTold) {
  const std::vector<int> runners{0, 1, 2, 3, 4};
  const JobId job = RecordStep(runners, {1, 1, 2.5, 1, 1});
  const double before = LogPace(2);
  speeds.Forget(job);
  DOUBLES_EQUAL(before, LogPace(2), 0.1);
  CHECK_TRUE(speeds.open_comparisons() == 0);
}

// Guards against records of dropped incarnations that are taken back from
// nothing when their step or gang is evaluated again.
TEST(RunnerSpeeds, DroppedIncarnationsStayUnknown) {
  const JobId step = NewJob();
  for (int task = 0; task < 16; ++task) {
    RecordTask(step, task, task / 4, task / 4 == 3 ? 2 : 1);
  }
  const JobId gang = RecordGang(RunnersFrom(0, 5), 2);
  const auto present = RunnersFrom(0, 3);
  speeds.RetainOnly({present.begin(), present.end()});
  LONGS_EQUAL(3, speeds.measured_runners());
  for (int task = 0; task < 12; ++task) RecordTask(step, task, task / 4, 1.1);
  speeds.Forget(step);
  speeds.Forget(gang);
  LONGS_EQUAL(3, speeds.measured_runners());
  DOUBLES_EQUAL(LogPace(2000), LogPace(3), 1e-6);
  LONGS_EQUAL(0, speeds.EstimateOf(RunnerAt(3)).runs);
}

// Guards against memory that grows with each occurrence of a job that recurs
// for days.
TEST(RunnerSpeeds, OccurrencesOfLongAgoAreNoLongerCompared) {
  const JobId job = NewJob();
  for (int occurrence = 0; occurrence < 2000; ++occurrence) {
    now = now + Duration(1000);
    speeds.RecordTask(now, {job, occurrence, 0, 0}, queue, RunnerAt(0),
                      estimate, estimate);
    speeds.RecordGang(now, {job, occurrence, 1}, queue, RunnersFrom(0, 2),
                      estimate, estimate);
  }
  CHECK_TRUE(speeds.open_comparisons() < 1300);
}

}  // namespace limeledge::dispatch
