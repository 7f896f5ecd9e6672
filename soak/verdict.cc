/// @file
/// Checks final job states against what runners executed.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/verdict.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "absl/strings/str_cat.h"

namespace limeledge::soak {

namespace {

// Time for the longest job with all its attempts in sequence on one rack, plus
// what a previous scheduler may have left behind (16 s).
constexpr Duration kLongestSettling{90000};
constexpr std::chrono::milliseconds kPause{100};
// Urgent work must start within this time at the size that limeledge is built
// for.
constexpr Duration kUrgentBound{5900};
// Starts are checked for this long after a fault that limits the time without
// one.
constexpr Duration kStartCheckWindow{4000};
// The platform allows a task to fail after this many runners crashed while
// running it.
constexpr int kCrashesToGiveUp = 2;
constexpr int kGangMembers = 2;
constexpr int kGangAccelerators = 8;
constexpr int kFillerTasks = 4;
constexpr int kFillerAccelerators = 8;
constexpr Duration kFillerWork{8000};
// Runner that is about to leave at the end, and the time after which no task
// may start on it: the bound and the slack of the check in the platform.
constexpr Duration kLeavesIn{60000};
constexpr std::chrono::milliseconds kDrainSettling{4600};
// Time for the filler tasks to start on all runners.
constexpr std::chrono::milliseconds kFilling{2500};

bool IsFinalState(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled" ||
         state == "gone";
}

std::string Complaint(const emulator::JobWatch& watch,
                      const std::string& state) {
  const bool started = !watch.starts.empty();
  if (!watch.may_be_accepted && started) return "ran, though it was refused";
  if (!watch.accepted) return "";
  if (state.empty()) return "is not answered for";
  if (state == "gone") return "was accepted and is not known";
  if (!IsFinalState(state)) return absl::StrCat("is still ", state);
  if (state == "cancelled" && !watch.cancel_sent) {
    return "was cancelled by nobody";
  }
  const bool may_be_given_up = std::any_of(
      watch.observed_crashes.begin(), watch.observed_crashes.end(),
      [](const auto& task) { return task.second >= kCrashesToGiveUp; });
  if (state == "failed" && watch.reported_failures < kMaxAttempts &&
      !may_be_given_up) {
    return absl::StrCat("failed after ", watch.reported_failures, " attempts");
  }
  if (state != "done") return "";
  std::size_t tasks = 0;
  for (const dispatch::StepSpec& step : watch.spec.steps) tasks += step.count;
  if (watch.reported_done.size() == tasks) return "";
  return absl::StrCat("is done with ", watch.reported_done.size(), " of ",
                      tasks, " tasks");
}

void Settle(SoakPlatform* platform, Callers* callers, FaultDriver* driver,
            Verdict* verdict) {
  SteadyClock clock;
  const TimePoint begin = clock.Now();
  std::map<JobId, std::string> states;
  for (bool open = true; open;) {
    open = false;
    driver->TendNodes();
    for (const auto& [id, path] : callers->paths()) {
      std::string& state = states[id];
      if (IsFinalState(state)) continue;
      state = callers->StateOf(path);
      open = open || !IsFinalState(state);
    }
    if (clock.Now() - begin > kLongestSettling) break;
    if (open) std::this_thread::sleep_for(kPause);
  }
  verdict->settled_after = clock.Now() - begin;
  platform->WithOracle([&](emulator::PromiseOracle& oracle) {
    for (const auto& [id, state] : states) {
      ++verdict->jobs_by_state[state.empty() ? "unknown" : state];
      const std::string complaint = Complaint(*oracle.Find(id), state);
      if (complaint.empty()) continue;
      oracle.Violate(absl::StrCat("job ", id.value(), " ", complaint));
    }
  });
}

void Reclaim(SoakPlatform* platform, Callers* callers, JobMaker* maker,
             Verdict* verdict) {
  SteadyClock clock;
  for (int i = 0; i * kFillerTasks < platform->runners(); ++i) {
    callers->Submit(
        maker->MakeFiller(kFillerTasks, kFillerAccelerators, kFillerWork));
  }
  std::this_thread::sleep_for(kFilling);
  const DraftJob urgent =
      maker->MakeUrgentGang(kGangMembers, kGangAccelerators);
  const TimePoint handed_in = clock.Now();
  if (!callers->Submit(urgent)) {
    platform->Violate("an urgent job was not taken though all is calm");
    return;
  }
  while (platform->FirstStart(urgent.spec.id) == TimePoint() &&
         clock.Now() - handed_in < kUrgentBound) {
    std::this_thread::sleep_for(kPause / 10);
  }
  verdict->urgent_start = clock.Now() - handed_in;
  if (verdict->urgent_start < kUrgentBound) return;
  platform->Violate(
      absl::StrCat("urgent job ", urgent.spec.id.value(),
                   " within its guarantee did not start in time"));
}

}  // namespace

std::vector<StartGap> JudgeStartGaps(const std::vector<Fault>& plan,
                                     TimePoint began_at,
                                     SoakPlatform* platform) {
  std::vector<StartGap> gaps;
  for (const Fault& fault : plan) {
    if (fault.starts_within == Duration(0)) continue;
    const TimePoint from = began_at + fault.at;
    StartGap gap;
    gap.fault = fault;
    gap.longest =
        platform->LongestTimeWithoutStart(from, from + kStartCheckWindow);
    if (gap.longest > fault.starts_within) {
      platform->Violate(absl::StrCat("nothing started for ", gap.longest.ms(),
                                     " ms after ", ToString(fault.kind), " at ",
                                     fault.at.ms(), " ms"));
    }
    gaps.push_back(gap);
  }
  return gaps;
}

Verdict Judge(const Experiment& experiment, SoakPlatform* platform,
              Callers* callers, FaultDriver* driver, JobMaker* maker) {
  Verdict verdict;
  Settle(platform, callers, driver, &verdict);
  if (!experiment.checks_times) return verdict;
  // Jobs submitted next must not start there: the check in the platform applies
  // only while no fault is near.
  platform->DrainRunner(0, kLeavesIn);
  std::this_thread::sleep_for(kDrainSettling);
  Reclaim(platform, callers, maker, &verdict);
  return verdict;
}

}  // namespace limeledge::soak
