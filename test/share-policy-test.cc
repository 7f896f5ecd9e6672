/// @file
/// Tests of the policy `share` on an emulated system.
//
// The load: ten workspaces, one of which sends half of all jobs, ask for one
// and a half times the capacity. In the order of deadlines the small ones lose
// a third of what they ask for, although they ask for less than their share.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "scheduler-fixture.h"

namespace limeledge::emulator {

namespace {

constexpr int kWorkspaces = 10;
constexpr Duration kWork{2000};
constexpr std::int64_t kAccelerators = 4;
constexpr int kRunnerAccelerators = 8;
// The runners have capacity for eight such tasks per second.
constexpr Duration kInterval{1500};
constexpr int kIntervals = 16;

std::vector<WorkspaceId> TenWorkspaces() {
  std::vector<WorkspaceId> ids;
  for (int i = 0; i < kWorkspaces; ++i) {
    ids.emplace_back("w" + std::to_string(i));
  }
  return ids;
}

SystemOptions OptionsWith(const char* policy) {
  SystemOptions options;
  options.unguaranteed = TenWorkspaces();
  options.planner.policy = dispatch::FindPlanningPolicy(policy);
  options.planner.urgent_share = 0;
  return options;
}

}  // namespace

/// A system under the load.
class ShortSystem {
 public:
  explicit ShortSystem(const char* policy) : system_(OptionsWith(policy)) {
    system_.Run(Duration(3000));
  }

  EmulatedSystem& system() { return system_; }

  /// Submits a job whose tasks take the estimated time, or `work` if set.
  JobId Submit(const WorkspaceId& workspace, const dispatch::StepSpec& step,
               int priority = 1, Duration work = Duration(0)) {
    dispatch::JobSpec spec;
    spec.workspace = workspace;
    spec.steps.push_back(step);
    spec.policy.priority = priority;
    TaskTruth truth;
    truth.work = work > Duration(0) ? work : step.estimate;
    if (step.gang) truth.gang_size = step.count;
    return system_.Submit(std::move(spec), {truth});
  }

  /// Nine jobs of the first workspace, and one of each other one, in each of
  /// some intervals.
  void RunLoad(int intervals) {
    const std::vector<WorkspaceId> ids = TenWorkspaces();
    const dispatch::StepSpec step =
        SchedulerFixture::Step(1, kAccelerators, kWork);
    for (int i = 0; i < intervals; ++i) {
      for (int k = 1; k < kWorkspaces; ++k) {
        Submit(ids[0], step);
        Submit(ids[k], step);
      }
      system_.Run(kInterval);
    }
  }

  /// Tasks done of the workspace that got the fewest.
  std::size_t WorstServed() const {
    std::map<WorkspaceId, std::size_t> done;
    for (const WorkspaceId& id : TenWorkspaces()) done[id] = 0;
    for (const auto& [id, watch] : system_.jobs()) {
      done[watch.spec.workspace] += watch.done.size();
    }
    return std::min_element(
               done.begin(), done.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
        ->second;
  }

  /// Runs the load until the job has started, or for `longest`.
  bool StartsWithin(const JobId& job, Duration longest) {
    const TimePoint end = system_.now() + longest;
    while (system_.now() < end) {
      if (!system_.jobs().at(job).starts.empty()) return true;
      RunLoad(1);
    }
    return false;
  }

  void CheckNoViolation() {
    for (const std::string& error : system_.violations()) FAIL(error.c_str());
  }

 private:
  EmulatedSystem system_;
};

TEST_GROUP(SharePolicy){};

TEST(SharePolicy, WorstServedWorkspaceGetsMoreThanByDeadlines) {
  ShortSystem by_deadline("deadline");
  by_deadline.RunLoad(kIntervals);
  ShortSystem by_share("share");
  by_share.RunLoad(kIntervals);
  CHECK_COMPARE(by_share.WorstServed(), >, by_deadline.WorstServed());
  by_share.CheckNoViolation();
}

// Small tasks that fit into every gap could keep a large gang waiting.
TEST(SharePolicy, LargeGangOfTheLargestWorkspaceIsNotStarved) {
  ShortSystem shared("share");
  shared.RunLoad(8);
  dispatch::StepSpec gang =
      SchedulerFixture::Step(6, kRunnerAccelerators, kWork);
  gang.gang = true;
  const JobId job = shared.Submit(TenWorkspaces()[0], gang);
  // Overdue, and thus first, after twice its objective of 7 s.
  CHECK_TRUE(shared.StartsWithin(job, Duration(16000)));
  shared.CheckNoViolation();
}

TEST(SharePolicy, GuaranteeHoldsWhileCapacityIsShort) {
  ShortSystem shared("share");
  shared.RunLoad(8);
  dispatch::StepSpec gang =
      SchedulerFixture::Step(2, kRunnerAccelerators, kWork);
  gang.gang = true;
  // The workspace with a guarantee of 16 accelerators.
  const JobId job = shared.Submit(WorkspaceId(), gang, 0);
  CHECK_TRUE(shared.StartsWithin(job, Duration(2700)));
  shared.CheckNoViolation();
}

// Urgent gangs ask for about twice the capacity. A line per pass would drown
// all others.
TEST(SharePolicy, DeferredStepIsLoggedOnce) {
  ShortSystem shared("share");
  std::vector<std::string> lines;
  shared.system().SetTrace([&lines](const std::string& line) {
    const std::size_t at = line.find("step_deferred");
    if (at != std::string::npos) lines.push_back(line.substr(at));
  });
  for (int i = 0; i < 24; ++i) {
    dispatch::StepSpec gang =
        SchedulerFixture::Step(1 + i % 6, kRunnerAccelerators, kWork);
    gang.gang = true;
    shared.Submit(TenWorkspaces()[i % kWorkspaces], gang, 0);
    shared.system().Run(Duration(400));
  }
  const std::set<std::string> unique(lines.begin(), lines.end());
  CHECK_COMPARE(lines.size(), >, 0U);
  LONGS_EQUAL(unique.size(), lines.size());
}

// Urgent work that earned nothing any more stopped work that was in time.
TEST(SharePolicy, WorthlessUrgentGangPreemptsNothing) {
  for (const char* policy : {"deadline", "share"}) {
    ShortSystem shared(policy);
    const auto submit = [&shared](int tasks, int priority, Duration estimate) {
      dispatch::StepSpec step =
          SchedulerFixture::Step(tasks, kRunnerAccelerators, estimate);
      step.gang = true;
      return shared.Submit(TenWorkspaces()[0], step, priority, Duration(30000));
    };
    const JobId seven = submit(7, 0, Duration(30000));
    const JobId one = submit(1, 0, Duration(30000));
    shared.system().Run(Duration(1000));
    const JobId worthless = submit(8, 0, Duration(200));
    // Three times its objective of 1.6 s.
    shared.system().Run(Duration(8000));
    shared.system().Cancel(one);
    const JobId patient = submit(1, 1, Duration(30000));
    shared.system().Run(Duration(2000));
    LONGS_EQUAL(1, shared.system().jobs().at(patient).starts.size());
    shared.system().Cancel(seven);
    shared.system().Run(Duration(3000));
    const bool shares = std::string(policy) == "share";
    LONGS_EQUAL(shares ? 0 : 8,
                shared.system().jobs().at(worthless).starts.size());
    shared.CheckNoViolation();
  }
}

// The same, without preemption: it took capacity that became free.
TEST(SharePolicy, WorthlessUrgentWorkGoesAfterLowerPriorities) {
  for (const char* policy : {"deadline", "share"}) {
    ShortSystem shared(policy);
    dispatch::StepSpec urgent =
        SchedulerFixture::Step(8, kRunnerAccelerators, Duration(30000));
    const JobId filling = shared.Submit(TenWorkspaces()[0], urgent, 0);
    shared.system().Run(Duration(1000));
    urgent.estimate = Duration(200);
    const JobId worthless =
        shared.Submit(TenWorkspaces()[1], urgent, 0, Duration(30000));
    // Three times its objective of 1.6 s.
    shared.system().Run(Duration(8000));
    shared.system().Cancel(filling);
    const JobId patient = shared.Submit(
        TenWorkspaces()[2],
        SchedulerFixture::Step(8, kRunnerAccelerators, Duration(4000)));
    shared.system().Run(Duration(2000));
    const bool shares = std::string(policy) == "share";
    LONGS_EQUAL(shares ? 8 : 0,
                shared.system().jobs().at(patient).starts.size());
    LONGS_EQUAL(shares ? 0 : 8,
                shared.system().jobs().at(worthless).starts.size());
    shared.CheckNoViolation();
  }
}

}  // namespace limeledge::emulator
