/// @file
/// The fixture of the promises' tests.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_PROMISE_FIXTURE_H_
#define LIMELEDGE_TEST_PROMISE_FIXTURE_H_

#include <memory>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "fuzz-course.h"
#include "trial/cluster.h"

namespace limeledge {

inline constexpr int kInstances = 3;

/// Three instances under the settings of fuzzed courses, and what tests ask of
/// them.
class PromiseFixture : public Utest {
 public:
  ClusterOptions options;
  std::unique_ptr<Cluster> cluster;
  int names = 0;

  void setup() override {
    options.instances = kInstances;
    options.settings = CourseSettings();
    options.runners = 2;
    Begin();
  }

  void Begin() {
    cluster = std::make_unique<Cluster>(options);
    AddDeclaredWorkers(options.settings, cluster.get());
    cluster->RunFor(Duration(4000));
  }

  JobSpec Job(const char* workspace, int members, int accelerators,
              int declared_ms) {
    JobSpec spec;
    spec.workspace = WorkspaceId(workspace);
    spec.job_class = ClassId("batch");
    spec.id = FullJobId(spec.workspace, "j" + std::to_string(++names));
    spec.members = members;
    spec.accelerators = accelerators;
    spec.cores = 1;
    spec.declared = Duration(declared_ms);
    spec.repeatable = true;
    return spec;
  }

  RequestSpec MakeRequest(const char* id, bool repeatable) {
    RequestSpec request;
    request.id = RequestId(id);
    request.workspace = WorkspaceId("w1");
    request.request_class = ClassId("check");
    request.repeatable = repeatable;
    request.deadline = Duration(3000);
    request.payload = "x";
    return request;
  }

  const JobRow* Row(const JobId& id) const {
    for (int i = 0; i < kInstances; ++i) {
      if (!cluster->IsAlive(i)) continue;
      return cluster->reducer(i).shared().mirror.FindJob(id);
    }
    return nullptr;
  }

  bool IsIn(const JobId& id, JobState state) const {
    const JobRow* row = Row(id);
    return row != nullptr && row->state == state;
  }

  /// Runs until the job is in the state; false when it takes too long.
  bool RunUntil(const JobId& id, JobState state, Duration limit) {
    for (Duration ran; ran < limit; ran = ran + Duration(20)) {
      if (IsIn(id, state)) return true;
      cluster->RunFor(Duration(20));
    }
    return IsIn(id, state);
  }

  /// The instance that plans the hall, or -1.
  int PlannerOf(const char* hall) const {
    for (int i = 0; i < kInstances; ++i) {
      if (!cluster->IsAlive(i)) continue;
      const auto& planners = cluster->reducer(i).planners();
      const auto it = planners.find(HallId(hall));
      if (it != planners.end() && it->second.HoldsAt(cluster->now())) return i;
    }
    return -1;
  }

  const RequestResult* Result(std::size_t call) const {
    const auto& answer = cluster->call(call).answer;
    return answer.has_value() ? std::get_if<RequestResult>(&*answer) : nullptr;
  }

  int Runs(const char* key) const {
    int runs = 0;
    for (const auto& [id, runner] : cluster->runners()) {
      const auto it = runner.runs().find(key);
      if (it != runner.runs().end()) runs += it->second;
    }
    return runs;
  }

  int RunningTasks() const {
    int running = 0;
    for (const auto& [id, worker] : cluster->workers()) {
      running += static_cast<int>(worker.Running().size());
    }
    return running;
  }

  /// Fills hall a with borrowed jobs of w3.
  std::vector<JobId> FillHall(int declared_ms) {
    std::vector<JobId> jobs;
    for (int i = 0; i < 6; ++i) {
      const JobSpec spec = Job("w3", 1, 4, declared_ms);
      jobs.push_back(spec.id);
      cluster->Submit(0, spec);
      cluster->RunFor(Duration(200));
    }
    cluster->RunFor(Duration(1000));
    return jobs;
  }

  void CheckReclaimed(Duration bound) {
    const JobSpec mine = Job("w1", 2, 4, 1000);
    cluster->Submit(1, mine);
    CHECK_TRUE(RunUntil(mine.id, JobState::kRunning, bound));
    CHECK_FALSE(Row(mine.id)->placement.borrowed);
  }
};

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_PROMISE_FIXTURE_H_
