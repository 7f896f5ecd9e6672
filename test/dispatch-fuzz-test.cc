/// @file
/// Random courses of a whole emulated system, with faults, against its oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "course-settings.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

namespace {

/// Courses of one run, unless more are asked for.
constexpr int kCourses = 30;

/// One random course over a system.
class Course {
 public:
  Course(int seed, const dispatch::PlanningPolicy& policy)
      : random_(static_cast<std::uint64_t>(seed)),
        system_(OptionsFor(seed, policy)) {
    TraceIfAsked(&system_);
  }

  /// Plays jobs and faults, then lets all come to rest. Returns what went
  /// wrong.
  std::vector<std::string> Play() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      Step();
      system_.Run(Duration(Pick(100, 700)));
    }
    Heal();
    system_.Run(Duration(60000));
    std::vector<std::string> wrong = system_.violations();
    for (const auto& [id, watch] : system_.jobs()) CheckEnd(id, watch, &wrong);
    return wrong;
  }

 private:
  static constexpr int kSteps = 60;

  static SystemOptions OptionsFor(int seed,
                                  const dispatch::PlanningPolicy& policy) {
    SystemOptions options;
    options.planner.policy = &policy;
    options.seed = static_cast<std::uint64_t>(seed);
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }

  void Step() {
    if (!OneIn(3)) Submit();
    if (OneIn(12)) CancelOne();
    if (OneIn(4)) Fault();
  }

  dispatch::StepSpec MakeStep(TaskTruth* truth) {
    dispatch::StepSpec step;
    step.count = Pick(1, 6);
    constexpr std::int64_t kMillisPerCore = 1000;
    step.need = {Pick(1, 8) * kMillisPerCore, 4096, Pick(0, 4)};
    step.estimate = Duration(Pick(200, 3000));
    step.gang = OneIn(3);
    step.same_rack = step.gang && OneIn(2);
    step.saves_progress = OneIn(2);
    if (OneIn(6)) step.max_per_runner = Pick(1, 3);
    truth->work = step.estimate * Pick(50, 200) / 100;
    truth->always_fails = OneIn(15);
    return step;
  }

  void Submit() {
    dispatch::JobSpec spec;
    std::vector<TaskTruth> truths;
    const int steps = OneIn(3) ? 2 : 1;
    for (int i = 0; i < steps; ++i) {
      TaskTruth truth;
      spec.steps.push_back(MakeStep(&truth));
      truths.push_back(truth);
    }
    if (steps == 2) spec.steps[1].after.push_back(0);
    // 0 is urgent, 2 needs advice.
    spec.policy.priority = OneIn(3) ? 0 : OneIn(4) ? 2 : 1;
    if (spec.policy.priority == 2) {
      // Half of the runners may run a step; it must be possible there.
      for (dispatch::StepSpec& step : spec.steps) {
        step.max_per_runner = 0;
        step.need.accelerators =
            std::min<std::int64_t>(step.need.accelerators, 1);
      }
    }
    system_.Submit(spec, truths);
  }

  void CancelOne() {
    if (system_.jobs().empty()) return;
    auto job = system_.jobs().begin();
    std::advance(job, Pick(0, static_cast<int>(system_.jobs().size()) - 1));
    if (job->second.accepted) system_.Cancel(job->first);
  }

  RunnerId AnyRunner() {
    const std::vector<RunnerId> ids = system_.RunnerIds();
    return ids.empty() ? RunnerId("none")
                       : ids[Pick(0, static_cast<int>(ids.size()) - 1)];
  }

  int LeaderOrAny() {
    const int leader = system_.leader();
    return leader >= 0 ? leader : Pick(0, 2);
  }

  void Fault() {
    Faults& faults = system_.faults();
    switch (Pick(0, 12)) {
      case 0:
        system_.KillNode(LeaderOrAny(), Duration(Pick(100, 4000)));
        break;
      case 1:
        system_.FreezeNode(LeaderOrAny(), Duration(Pick(500, 8000)));
        break;
      case 2:
        system_.StopNode(LeaderOrAny());
        break;
      case 3:
        system_.KillRunner(AnyRunner(), Duration(Pick(500, 8000)));
        break;
      case 4:
        system_.DrainRunner(AnyRunner(), Duration(Pick(2000, 6000)));
        break;
      case 5:
        faults.store_down = !faults.store_down;
        break;
      case 6:
        faults.store_answers_lost = faults.store_answers_lost > 0 ? 0 : 0.3;
        break;
      case 7:
        faults.orders_lost = faults.orders_lost > 0 ? 0 : 0.2;
        faults.late_order = Duration(Pick(500, 12000));
        break;
      case 8:
        faults.store_slowness = faults.store_slowness > 1 ? 1 : Pick(10, 80);
        break;
      case 9:
        faults.nodes_without_store = {LeaderOrAny()};
        break;
      case 10:
        faults.unreachable_runners.insert(AnyRunner());
        break;
      case 11:
        system_.store().ForgetHistory();
        break;
      default:
        Heal();
        if (OneIn(2)) break;
        faults.parts_down = {
            dispatch::AllJobParts()[Pick(0, dispatch::kJobParts - 1)]};
    }
  }

  void Heal() { system_.faults() = Faults(); }

  /// Every accepted job has come to the end that it should.
  void CheckEnd(const JobId& id, const JobWatch& watch,
                std::vector<std::string>* wrong) {
    const std::string state = system_.StateOf(id);
    bool poison = false;
    for (const TaskTruth& truth : watch.truths) {
      poison = poison || truth.always_fails;
    }
    const bool cancelled = state == "cancelled" && watch.cancel_sent;
    const bool failed = state == "failed" && poison;
    if (state == "done" && !poison) return;
    if (cancelled || failed) return;
    wrong->push_back("job " + id.value() + " ends as '" + state + "'" +
                     (poison ? ", can not be done" : ""));
  }

  std::mt19937_64 random_;
  EmulatedSystem system_;
};

}  // namespace

TEST_GROUP(DispatchFuzz){
    /// Plays courses under a policy; each that breaks a promise is printed.
    static int CountBroken(int first, int courses,
                           const dispatch::PlanningPolicy& policy){
        int broken = 0;
for (int seed = first; seed < first + courses; ++seed) {
  const std::vector<std::string> wrong = Course(seed, policy).Play();
  if (wrong.empty()) continue;
  ++broken;
  UT_PRINT(("seed " + std::to_string(seed) + ": " + wrong.front() + " (" +
            std::to_string(wrong.size()) + " in all)")
               .c_str());
}
return broken;
}  // namespace limeledge::emulator
}
;

TEST(DispatchFuzz, RandomCoursesBreakNoPromise) {
  LONGS_EQUAL(0, CountBroken(FirstSeed(), CoursesOr(kCourses),
                             dispatch::DefaultPlanningPolicy()));
}

TEST(DispatchFuzz, RandomCoursesUnderEachPolicyBreakNoPromise) {
  constexpr int kShareOfCourses = 4;
  for (const std::string& name : dispatch::PlanningPolicyNames()) {
    LONGS_EQUAL(0,
                CountBroken(FirstSeed(), CoursesOr(kCourses) / kShareOfCourses,
                            *dispatch::FindPlanningPolicy(name)));
  }
}

}  // namespace limeledge::emulator
