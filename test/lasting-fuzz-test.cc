/// @file
/// Fuzz test: random courses with tasks that last, jobs that can never start, a
/// slow advice service and runners that reject starts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"
#include "simulation-settings.h"

namespace limeledge::emulator {

namespace {

constexpr int kDefaultRunCount = 30;
constexpr Duration kForever{1'000'000'000};
/// Jobs that have waited for longer must be counted as waiting.
constexpr Duration kCountedAfter{5000};
/// A job must start within this time while most capacity is idle.
constexpr Duration kOwedWithin{3000};
/// The same for a job that needs advice, beside some others.
constexpr Duration kAdvisedWithin{12000};
/// A workspace gets its guaranteed capacity within this time.
constexpr Duration kReclaimTime{3400};
/// A disturbance excuses what follows within this time.
constexpr Duration kCalmAfter{7000};
constexpr std::int64_t kGuaranteed = 16;
constexpr std::int64_t kAccelerators = 64;

/// One random course on eight runners of eight accelerators. Nothing but the
/// scheduler ends a run that has begun, and the network is sound.
class LastingCourse {
 public:
  explicit LastingCourse(int seed)
      : random_(static_cast<std::uint64_t>(seed)), system_(Options(seed)) {
    TraceIfRequested(&system_);
    // Little, or nearly all.
    most_lasting_accelerators_ = OneIn(2) ? 8 : 56;
    has_limits_ = OneIn(2);
    is_calm_ = OneIn(2);
  }

  /// Returns what went wrong.
  std::vector<std::string> Run() {
    system_.Run(Duration(3000));
    for (int i = 0; i < kSteps; ++i) {
      Submit();
      Disturb();
      RunAndCheck(Duration(Pick(200, 900)));
      if (i % 5 == 0) CheckCount();
    }
    system_.faults() = Faults();
    RunAndCheck(Duration(10000));
    for (const JobId& job : endless_) system_.Cancel(job);
    system_.Run(Duration(90000));
    for (const auto& [job, accepted_at] : finite_) {
      const std::string state = system_.StateOf(job);
      if (state != "done") Report(absl::StrCat(job.value(), " is ", state));
    }
    for (const std::string& error : system_.violations()) Report(error);
    return errors_;
  }

 private:
  static constexpr int kSteps = 100;

  static SystemOptions Options(int seed) {
    SystemOptions options;
    options.seed = static_cast<std::uint64_t>(seed);
    options.unguaranteed = {WorkspaceId("visitors")};
    // No racks are left to urgent work alone.
    options.planner.urgent_share = 0;
    options.advice_time = Duration(150);
    options.advice_time_per_runner = Duration(100);
    return options;
  }

  int Pick(int from, int to) {
    return from + static_cast<int>(random_() % (to - from + 1));
  }
  bool OneIn(int n) { return Pick(1, n) == 1; }
  void Report(const std::string& error) { errors_.push_back(error); }

  JobId Send(const dispatch::StepSpec& step, int priority, Duration work,
             const char* workspace = "") {
    dispatch::JobSpec spec;
    spec.steps = {step};
    spec.policy.priority = priority;
    spec.workspace = WorkspaceId(workspace);
    TaskTruth truth;
    truth.work = work;
    return system_.Submit(std::move(spec), {truth});
  }

  static dispatch::StepSpec Step(int count, std::int64_t accelerators,
                                 Duration estimate) {
    dispatch::StepSpec step;
    step.count = count;
    step.need = {1000, 1024, accelerators};
    step.estimate = estimate;
    return step;
  }

  void Submit() {
    if (OneIn(6)) SubmitLasting();
    if (OneIn(10)) SubmitHopeless();
    if (OneIn(8)) SubmitUrgent();
    if (!OneIn(2)) return;
    const Duration work(Pick(200, 3000));
    const int priority = OneIn(2) ? kAdvisedPriority : 1;
    const dispatch::StepSpec step = Step(Pick(1, 3), Pick(0, 2), work);
    finite_[Send(step, priority, work)] = system_.now();
  }

  void SubmitLasting() {
    dispatch::StepSpec step = Step(Pick(1, 4), Pick(1, 8), Duration(1000));
    const std::int64_t accelerators = step.count * step.need.accelerators;
    if (lasting_accelerators_ + accelerators > most_lasting_accelerators_) {
      return;
    }
    lasting_accelerators_ += accelerators;
    step.long_running = true;
    if (has_limits_) step.max_unavailable = Pick(-1, 1);
    const JobId job = Send(step, 1, kForever, OneIn(2) ? "visitors" : "");
    endless_.insert(job);
    if (step.limits_unavailability()) limited_[job] = step;
  }

  /// Submits a job that is too large for any runner, or a gang for all of them,
  /// which does not fit beside lasting tasks.
  void SubmitHopeless() {
    dispatch::StepSpec step = Step(1, 16, Duration(60000));
    if (OneIn(2)) {
      step = Step(8, 8, Duration(20000));
      step.gang = true;
    }
    const int priority = OneIn(2) ? kAdvisedPriority : 1;
    endless_.insert(Send(step, priority, Duration(1000)));
  }

  void SubmitUrgent() {
    const Duration work(Pick(500, 2500));
    dispatch::StepSpec step = Step(Pick(1, 2), 8, work);
    step.gang = OneIn(2);
    finite_[Send(step, 0, work)] = system_.now();
  }

  void Disturb() {
    if (is_calm_) return;
    std::set<RunnerId>& rejecting = system_.faults().rejecting_runners;
    if (OneIn(4)) rejecting.clear();
    if (OneIn(25)) {
      const std::vector<RunnerId> ids = system_.RunnerIds();
      for (int i = Pick(1, 8); i > 0; --i) {
        rejecting.insert(ids[Pick(0, static_cast<int>(ids.size()) - 1)]);
      }
    }
    if (OneIn(40) && system_.leader() >= 0) {
      system_.KillNode(system_.leader(), Duration(500));
      disturbed_at_ = system_.now();
    }
    if (!rejecting.empty()) disturbed_at_ = system_.now();
  }

  void RunAndCheck(Duration time) {
    for (const TimePoint end = system_.now() + time; system_.now() < end;) {
      system_.Run(Duration(50));
      CheckLimits();
      CheckWaits();
      CheckGuarantee();
    }
  }

  /// Checks that no step has more tasks away than it allows, once all of them
  /// have run.
  void CheckLimits() {
    std::map<JobId, int> running;
    for (const RunnerId& id : system_.RunnerIds()) {
      system_.FindRunner(id)->ForEachRun(
          [&running](const dispatch::TaskName& name, int) {
            ++running[name.job];
          });
    }
    for (const auto& [job, step] : limited_) {
      if (running[job] == step.count) complete_.insert(job);
      const int away = step.count - running[job];
      if (complete_.count(job) == 0 || away <= step.max_unavailable) continue;
      Report(absl::StrCat(job.value(), " has ", away, " tasks away"));
    }
  }

  std::int64_t UsedOn(const RunnerId& id) {
    std::int64_t used = 0;
    system_.FindRunner(id)->ForEachRun(
        [&](const dispatch::TaskName& name, int) {
          used += SpecOf(name.job).need.accelerators;
        });
    return used;
  }

  const dispatch::StepSpec& SpecOf(const JobId& job) {
    return system_.jobs().at(job).spec.steps.front();
  }

  bool HasStarted(const JobId& job) {
    const auto started = static_cast<int>(system_.jobs().at(job).starts.size());
    return started == SpecOf(job).count;
  }

  bool IsCalmSince(TimePoint moment) const {
    return disturbed_at_ + kCalmAfter < moment;
  }

  /// Checks that no job waits for long while most capacity is idle.
  void CheckWaits() {
    std::int64_t used = 0;
    std::vector<std::int64_t> free;
    for (const RunnerId& id : system_.RunnerIds()) {
      used += UsedOn(id);
      free.push_back(kAccelerators / 8 - UsedOn(id));
    }
    const TimePoint now = system_.now();
    if (2 * used >= kAccelerators || !IsCalmSince(now)) idle_since_ = now;
    for (const auto& [job, accepted_at] : finite_) {
      const dispatch::StepSpec& step = SpecOf(job);
      const bool advised =
          system_.jobs().at(job).spec.policy.priority == kAdvisedPriority;
      const Duration owed = advised ? kAdvisedWithin : kOwedWithin;
      const TimePoint from = std::max(accepted_at, idle_since_);
      if (now - from <= owed || HasStarted(job)) continue;
      std::int64_t places = 0;
      // Every second runner is allowed by the advice service.
      for (std::size_t i = 0; i < free.size(); i += advised ? 2 : 1) {
        places += free[i] / std::max<std::int64_t>(1, step.need.accelerators);
      }
      if (places < std::int64_t{2} * step.count) continue;
      Report(absl::StrCat(job.value(), " waits beside idle runners"));
    }
  }

  /// Checks that urgent jobs start in time while all of them are within the
  /// guarantee. A limit on unavailable tasks may leave too little to stop.
  void CheckGuarantee() {
    const TimePoint now = system_.now();
    std::int64_t needed = 0;
    for (const auto& [job, accepted_at] : finite_) {
      const JobWatch& watch = system_.jobs().at(job);
      const dispatch::StepSpec& step = SpecOf(job);
      const bool ended = static_cast<int>(watch.done.size()) == step.count;
      if (watch.spec.policy.priority != 0 || ended) continue;
      needed += step.count * step.need.accelerators;
      const bool excused = !limited_.empty() || !IsCalmSince(accepted_at) ||
                           accepted_at <= beyond_guarantee_at_;
      if (excused || now - accepted_at <= kReclaimTime) continue;
      if (HasStarted(job)) continue;
      Report(absl::StrCat(job.value(), " is not started within its guarantee"));
    }
    if (needed > kGuaranteed) beyond_guarantee_at_ = now;
  }

  void CheckCount() {
    int not_started = 0;
    for (const auto& [job, accepted_at] : finite_) {
      const JobWatch& watch = system_.jobs().at(job);
      const bool counts = watch.spec.policy.priority == 1 &&
                          system_.now() - accepted_at > kCountedAfter;
      if (counts && watch.starts.empty()) ++not_started;
    }
    if (2 * system_.CountWaitingJobs() < not_started) {
      Report(absl::StrCat("fewer than half of ", not_started,
                          " jobs count as waiting"));
    }
  }

  std::mt19937_64 random_;
  EmulatedSystem system_;
  /// Jobs that end by themselves, and when they were submitted.
  std::map<JobId, TimePoint> finite_;
  /// Lasting and hopeless jobs.
  std::set<JobId> endless_;
  std::int64_t most_lasting_accelerators_ = 0;
  std::int64_t lasting_accelerators_ = 0;
  bool has_limits_ = false;
  bool is_calm_ = false;
  std::map<JobId, dispatch::StepSpec> limited_;
  std::set<JobId> complete_;
  TimePoint disturbed_at_;
  TimePoint idle_since_;
  TimePoint beyond_guarantee_at_;
  std::vector<std::string> errors_;
};

}  // namespace

TEST_GROUP(LastingFuzz){};

// Guards against jobs that never start beside lasting and hopeless ones, tasks
// that are stopped beyond a limit, and wrong counts of waiting jobs.
TEST(LastingFuzz, RandomCoursesLeaveNoJobWaitingForGood) {
  int failed = 0;
  const int first = FirstSeed();
  for (int seed = first; seed < first + RunCountOr(kDefaultRunCount); ++seed) {
    const std::vector<std::string> errors = LastingCourse(seed).Run();
    if (errors.empty()) continue;
    ++failed;
    UT_PRINT(absl::StrCat("seed ", seed, ": ", errors.front(), " (",
                          errors.size(), " in total)")
                 .c_str());
  }
  LONGS_EQUAL(0, failed);
}

}  // namespace limeledge::emulator
