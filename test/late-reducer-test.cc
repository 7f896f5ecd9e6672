/// @file
/// Tests of a scheduler whose reducer takes time: promises with time limits on
/// a busy fleet.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {
namespace {

/// A job of a workspace within its guarantee has to have begun by then, at the
/// site with the longest stops.
constexpr Duration kGuaranteeTime{3400};
constexpr Duration kStep{10};

}  // namespace

TEST_GROUP(LateReducer) {
  SystemOptions options;
  std::optional<EmulatedSystem> system;
  /// The workspace of callers that name none; it has a guarantee.
  const WorkspaceId guaranteed{""};
  const WorkspaceId other{"parks"};
  /// Gang runs that ended because not all members started.
  std::vector<std::string> incomplete;
  /// Jobs within the guarantee, and when they were first seen to be accepted.
  std::map<JobId, std::optional<TimePoint>> accepted_at;
  std::map<JobId, Duration> began_after;

  void setup() override {
    options.nodes = 1;
    options.runners = 350;
    options.admission.use = dispatch::AdmissionUse::kOff;
    options.runners_per_rack = 8;
    options.unguaranteed = {other};
    // In milliseconds: a busy small machine.
    options.reducer_cost.per_event = 0.6;
    options.reducer_cost.per_look = 0.003;
  }

  void Start() {
    system.emplace(options);
    system->SetTrace([this](const std::string& line) {
      if (absl::StrContains(line, "end=alone")) incomplete.push_back(line);
    });
    system->Run(Duration(3000));
  }

  JobId Submit(const WorkspaceId& workspace, int priority, int tasks, bool gang,
               const dispatch::Resources& need, Duration work) {
    dispatch::StepSpec step;
    step.count = tasks;
    step.need = need;
    step.estimate = work;
    step.gang = gang;
    dispatch::JobSpec spec;
    spec.workspace = workspace;
    spec.steps.push_back(step);
    spec.policy.priority = priority;
    TaskTruth truth;
    truth.work = work;
    if (gang) truth.gang_size = tasks;
    return system->Submit(std::move(spec), {truth});
  }

  /// Fills all runners with work that is not urgent, and keeps more waiting.
  void FillRunners() {
    const int jobs = options.runners / 8;
    for (int i = 0; i < jobs; ++i) {
      Submit(other, 1, 78, false, {5600, 4096, 1}, Duration(6000 + 100 * i));
    }
    for (int i = 0; i < jobs / 2; ++i) {
      Submit(other, 1, 26, true, {26000, 4096, 2}, Duration(11000));
    }
    system->Run(Duration(2500));
  }

  void SubmitWithinGuarantee() {
    // Two accelerators for each of eight tasks: the whole guarantee.
    const JobId id =
        Submit(guaranteed, 0, 8, true, {7500, 4096, 2}, Duration(1000));
    accepted_at[id] = std::nullopt;
  }

  void ObserveBegins() {
    for (auto& [id, accepted] : accepted_at) {
      const JobWatch& watch = system->jobs().at(id);
      if (!accepted.has_value() && watch.accepted) accepted = system->now();
      const bool began = watch.starts.size() == 8;
      if (accepted.has_value() && began) {
        began_after.emplace(id, system->now() - *accepted);
      }
    }
  }

  void Run(Duration time) {
    for (Duration ran; ran < time; ran = ran + kStep) {
      system->Run(kStep);
      ObserveBegins();
    }
  }

  void CheckAllBeganInTime() {
    for (const auto& [id, accepted] : accepted_at) {
      CHECK_TEXT(accepted.has_value(), "not accepted");
      const auto began = began_after.find(id);
      CHECK_TEXT(began != began_after.end(), "did not begin");
      CHECK_TEXT(
          began->second <= kGuaranteeTime,
          absl::StrCat(id.value(), " began after ", began->second.ms(), " ms")
              .c_str());
    }
  }

  /// Urgent gangs of a workspace without a guarantee compete for the runners,
  /// and one job within its guarantee comes every other second.
  void PlayBusyFleet() {
    Start();
    FillRunners();
    for (int second = 0; second < 10; ++second) {
      for (int i = 0; i < 16; ++i) {
        Submit(other, 0, 8, true, {7500, 4096, 1 + i % 8}, Duration(2500));
        if (i % 4 == 0) {
          Submit(other, 1, 78, false, {5600, 4096, 1}, Duration(6000));
        }
        Run(Duration(50));
      }
      if (second % 2 == 0) SubmitWithinGuarantee();
      Run(Duration(200));
    }
    Run(Duration(5000));
  }
};

// Guards against passes that keep an urgent job within its guarantee waiting.
TEST(LateReducer, JobWithinItsGuaranteeBeginsInTime) {
  PlayBusyFleet();
  CheckAllBeganInTime();
}

// Guards against members of a gang that wait in vain for the others, whose
// starts wait for the reducer.
TEST(LateReducer, GangsStartWithAllTheirMembers) {
  PlayBusyFleet();
  CHECK_TEXT(incomplete.empty(),
             incomplete.empty() ? "" : incomplete.front().c_str());
}

}  // namespace limeledge::emulator
