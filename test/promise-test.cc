/// @file
/// Focused tests of the promises, each with the faults it is for.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "CppUTest/TestHarness.h"
#include "fuzz-course.h"
#include "trial/cluster.h"

namespace limeledge {

namespace {

constexpr int kInstances = 3;

}  // namespace

TEST_GROUP(Promise) {
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

TEST(Promise, GuaranteeIsReclaimedFromFullRacks) {
  FillHall(600000);
  CheckReclaimed(Duration(3000));
}

TEST(Promise, GuaranteeIsReclaimedFromWorkersThatDoNotCheckpoint) {
  FillHall(600000);
  for (const auto& [id, worker] : cluster->workers()) {
    cluster->SetWorkerFaults(id, {false, true, false});
  }
  CheckReclaimed(Duration(6000));
}

TEST(Promise, GuaranteeIsReclaimedAlthoughThePlannerDies) {
  FillHall(600000);
  const JobSpec mine = Job("w1", 2, 4, 1000);
  cluster->Submit(0, mine);
  cluster->RunFor(Duration(30));
  const int planner = PlannerOf("a");
  CHECK_TRUE(planner >= 0);
  cluster->Kill(planner);
  CHECK_TRUE(RunUntil(mine.id, JobState::kRunning, Duration(14000)));
}

TEST(Promise, GuaranteeIsReclaimedPastABadWorker) {
  for (const auto& [id, worker] : cluster->workers()) {
    if (id.value() == "a-r1-w1") {
      cluster->SetWorkerFaults(id, {true, false, false});
    }
  }
  FillHall(600000);
  const JobSpec mine = Job("w1", 2, 4, 500);
  cluster->Submit(1, mine);
  CHECK_TRUE(RunUntil(mine.id, JobState::kDone, Duration(30000)));
}

TEST(Promise, GangStartsWholeAlthoughOneMemberRefuses) {
  cluster->SetWorkerFaults(WorkerId("a-r1-w1"), {false, false, true});
  const JobSpec gang = Job("w1", 2, 4, 500);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(20000)));
}

TEST(Promise, GangThatLosesAMemberStopsWholeAndRunsAgain) {
  const JobSpec gang = Job("w1", 2, 4, 5000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  const WorkerId lost = Row(gang.id)->placement.members[0].worker;
  cluster->RestartWorker(lost);
  cluster->RunFor(Duration(1500));
  CHECK_TRUE(Row(gang.id)->attempt >= 2);
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(30000)));
}

TEST(Promise, GangOfAnUnreachableMemberStopsWithinItsLease) {
  const JobSpec gang = Job("w1", 2, 4, 60000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->RunFor(Duration(200));
  LONGS_EQUAL(2, RunningTasks());
  cluster->CutWorker(Row(gang.id)->placement.members[0].worker, true);
  cluster->RunFor(Duration(6000));
  const JobRow* row = Row(gang.id);
  CHECK_TRUE(row->attempt >= 2 || row->state != JobState::kRunning);
}

TEST(Promise, GangOutlivesItsPlanner) {
  const JobSpec gang = Job("w1", 2, 4, 8000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->Kill(PlannerOf("a"));
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(20000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, NotRepeatableJobIsNeverStartedAgain) {
  JobSpec job = Job("w1", 1, 4, 60000);
  job.repeatable = false;
  cluster->Submit(0, job);
  CHECK_TRUE(RunUntil(job.id, JobState::kRunning, Duration(3000)));
  cluster->RestartWorker(Row(job.id)->placement.members[0].worker);
  CHECK_TRUE(RunUntil(job.id, JobState::kUnknown, Duration(10000)));
  LONGS_EQUAL(1, Row(job.id)->attempt);
}

TEST(Promise, KilledPlannersHallIsPlannedAgainWithinItsLeaseAndTwoSeconds) {
  const int planner = PlannerOf("a");
  cluster->Kill(planner);
  const TimePoint killed = cluster->now();
  while (PlannerOf("a") < 0 && cluster->now() - killed < Duration(10000)) {
    cluster->RunFor(Duration(20));
  }
  CHECK_TRUE(cluster->now() - killed <= Duration(2000 + 2000));
}

TEST(Promise, PausedPlannerDoesNothingHarmfulWhenItWakes) {
  const JobSpec gang = Job("w1", 2, 4, 30000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  const int planner = PlannerOf("a");
  cluster->Pause(planner);
  cluster->RunFor(Duration(8000));
  const int next = PlannerOf("a");
  CHECK_TRUE(next >= 0 && next != planner);
  cluster->Wake(planner);
  cluster->RunFor(Duration(40));
  CHECK_FALSE(cluster->reducer(planner)
                  .planners()
                  .at(HallId("a"))
                  .HoldsAt(cluster->now()));
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, OutageOfAnyLengthKeepsWhatRunsAndStartsNothingNew) {
  const JobSpec gang = Job("w1", 2, 4, 90000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  cluster->faults().store_down = true;
  cluster->RunFor(Duration(60000));
  LONGS_EQUAL(2, RunningTasks());
  const std::size_t refused = cluster->Submit(1, Job("w2", 1, 1, 100));
  cluster->RunFor(Duration(8000));
  const auto* failure = std::get_if<Failure>(&*cluster->call(refused).answer);
  CHECK_TRUE(failure != nullptr);
  cluster->faults().store_down = false;
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, SameIdAtTwoInstancesAtOnceRunsOnceAndAnswersBoth) {
  const RequestSpec request = MakeRequest("r", false);
  const std::size_t first = cluster->Request(0, request);
  const std::size_t second = cluster->Request(1, request);
  cluster->RunFor(Duration(2000));
  LONGS_EQUAL(1, Runs("w1/r"));
  CHECK_TRUE(Result(first)->outcome == RequestOutcome::kAnswered);
  CHECK_TRUE(Result(second)->outcome == RequestOutcome::kAnswered);
  STRCMP_EQUAL(Result(first)->answer.c_str(), Result(second)->answer.c_str());
}

TEST(Promise, SameIdAfterItsInstanceDiedIsUnknownNotRunAgain) {
  cluster->SetRunnerFaults(RunnerId("runner-1"), {false, true, false});
  cluster->SetRunnerFaults(RunnerId("runner-2"), {false, true, false});
  cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(30));
  cluster->Kill(0);
  cluster->Heal();
  cluster->RunFor(Duration(3000));
  const std::size_t again = cluster->Request(1, MakeRequest("r", false));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(again)->outcome == RequestOutcome::kUnknown);
  CHECK_TRUE(Runs("w1/r") <= 1);
}

TEST(Promise, NotRepeatableRequestInAnOutageDoesNotRun) {
  cluster->faults().store_down = true;
  cluster->RunFor(Duration(3000));
  const std::size_t call = cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(50));
  CHECK_TRUE(Result(call)->outcome == RequestOutcome::kNotRun);
  CHECK_TRUE(Result(call)->retry_after > Duration(0));
  LONGS_EQUAL(0, Runs("w1/r"));
}

TEST(Promise, ClaimWhoseAnswerWasLostRunsOnce) {
  cluster->faults().lose_commit_answer = 100;
  const std::size_t call = cluster->Request(0, MakeRequest("r", false));
  cluster->RunFor(Duration(2200));
  cluster->faults().lose_commit_answer = 0;
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(call) != nullptr);
  const std::size_t again = cluster->Request(1, MakeRequest("r", false));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Runs("w1/r") <= 1);
  CHECK_TRUE(Result(again) != nullptr);
}

TEST(Promise, ForeignAnswerIsNeverGiven) {
  for (const char* id : {"runner-1", "runner-2"}) {
    cluster->SetRunnerFaults(RunnerId(id), {false, false, true});
  }
  const std::size_t call = cluster->Request(0, MakeRequest("r", true));
  cluster->RunFor(Duration(4000));
  CHECK_TRUE(Result(call)->outcome == RequestOutcome::kUnknown);
  CHECK_TRUE(cluster->reducer(0).shared().counters.foreign_answers > 0);
}

TEST(Promise, RequestThatWasNotSentIsRetriedElsewhere) {
  cluster->SetRunnerFaults(RunnerId("runner-1"), {true, false, false});
  for (int i = 0; i < 6; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::size_t call =
        cluster->Request(0, MakeRequest(id.c_str(), false));
    cluster->RunFor(Duration(1000));
    CHECK_TRUE(Result(call)->outcome == RequestOutcome::kAnswered);
  }
}

TEST(Promise, OverloadIsRefusedAtOnceWithATimeToComeBack) {
  std::vector<std::size_t> calls;
  for (int i = 0; i < 400; ++i) {
    calls.push_back(cluster->Request(
        0, MakeRequest(("r" + std::to_string(i)).c_str(), true)));
  }
  cluster->RunFor(Duration(20));
  int refused = 0;
  for (const std::size_t call : calls) {
    const RequestResult* result = Result(call);
    if (result == nullptr) continue;
    if (result->outcome != RequestOutcome::kNotRun) continue;
    ++refused;
    CHECK_TRUE(result->retry_after > Duration(0));
  }
  CHECK_TRUE(refused > 200);
}

TEST(Promise, LeavingRunnerSeenByOneInstanceIsAvoidedByAll) {
  cluster->faults().list_lag = Duration(10000);
  cluster->LeaveRunner(RunnerId("runner-1"), false);
  const TimePoint left = cluster->now();
  for (int i = 0; i < 60; ++i) {
    cluster->Request(i % kInstances,
                     MakeRequest(("r" + std::to_string(i)).c_str(), true));
    cluster->RunFor(Duration(50));
  }
  for (int i = 0; i < kInstances; ++i) {
    const auto& runner = cluster->reducer(i).requests().slots().runners().at(
        RunnerId("runner-1"));
    CHECK_TRUE(runner.heard_leaving || runner.info.leaving);
  }
  const auto last = cluster->last_run().find(RunnerId("runner-1"));
  if (last != cluster->last_run().end()) CHECK_TRUE(last->second <= left);
}

TEST(Promise, LeavingWorkerGetsNoNewWork) {
  cluster->LeaveWorker(WorkerId("a-r1-w1"), true);
  const TimePoint left = cluster->now();
  cluster->RunFor(Duration(2000));
  for (int i = 0; i < 12; ++i) {
    cluster->Submit(0, Job("w3", 1, 2, 500));
    cluster->RunFor(Duration(300));
  }
  for (const TaskEvent& event :
       cluster->workers().at(WorkerId("a-r1-w1")).history()) {
    CHECK_TRUE(event.at <= left + Duration(2000));
  }
}

TEST(Promise, PlannedStopCutsNoRequestAndHandsTheHallOver) {
  const int planner = PlannerOf("a");
  std::vector<std::size_t> calls;
  for (int i = 0; i < 10; ++i) {
    calls.push_back(cluster->Request(
        planner, MakeRequest(("r" + std::to_string(i)).c_str(), false)));
  }
  cluster->RunFor(Duration(10));
  cluster->Stop(planner);
  cluster->Stop(planner);
  cluster->RunFor(Duration(300));
  const std::size_t late =
      cluster->Request(planner, MakeRequest("late", false));
  cluster->RunFor(Duration(3000));
  for (const std::size_t call : calls) {
    CHECK_TRUE(Result(call) != nullptr);
    CHECK_TRUE(Result(call)->outcome == RequestOutcome::kAnswered);
  }
  CHECK_TRUE(Result(late)->outcome == RequestOutcome::kAnswered);
  CHECK_TRUE(cluster->HasExited(planner));
  CHECK_TRUE(PlannerOf("a") >= 0);
}

TEST(Promise, AllInstancesReplacedOneAfterAnotherLoseNothing) {
  const JobSpec gang = Job("w1", 2, 4, 20000);
  cluster->Submit(0, gang);
  CHECK_TRUE(RunUntil(gang.id, JobState::kRunning, Duration(3000)));
  for (int i = 0; i < kInstances; ++i) {
    cluster->Stop(i);
    cluster->RunFor(Duration(2000));
    CHECK_TRUE(cluster->HasExited(i));
    cluster->Start(i);
    cluster->RunFor(Duration(2500));
  }
  CHECK_TRUE(RunUntil(gang.id, JobState::kDone, Duration(40000)));
  LONGS_EQUAL(1, Row(gang.id)->attempt);
}

TEST(Promise, RacingOperatorsGetOneVersionAndOneClearConflict) {
  const std::size_t first =
      cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  const std::size_t second =
      cluster->Propose(1, SettingsVersion(1), CourseSettings() + "\n# b\n");
  cluster->RunFor(Duration(1000));
  int accepted = 0;
  for (const std::size_t call : {first, second}) {
    const AnswerBody& answer = *cluster->call(call).answer;
    if (std::holds_alternative<SettingsView>(answer)) {
      ++accepted;
      continue;
    }
    CHECK_TRUE(std::get<Failure>(answer).status.code() ==
               absl::StatusCode::kAborted);
  }
  LONGS_EQUAL(1, accepted);
  for (int i = 0; i < kInstances; ++i) {
    LONGS_EQUAL(2, cluster->reducer(i).shared().follower.version().value());
  }
}

TEST(Promise, InstanceStartedInAnOutageTakesSettingsFromAPeer) {
  cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  cluster->RunFor(Duration(1000));
  cluster->Kill(2);
  cluster->faults().store_down = true;
  cluster->Start(2);
  cluster->RunFor(Duration(5000));
  LONGS_EQUAL(2, cluster->reducer(2).shared().follower.version().value());
}

TEST(Promise, JobThatSettingsMakeImpossibleEndsWithTheReason) {
  FillHall(600000);
  const JobSpec job = Job("w3", 4, 4, 1000);
  cluster->Submit(0, job);
  cluster->RunFor(Duration(1000));
  CHECK_TRUE(IsIn(job.id, JobState::kWaiting));
  std::string smaller = CourseSettings();
  const std::string racks = "a: {region: r1, racks: 2";
  smaller.replace(smaller.find(racks), racks.size(),
                  "a: {region: r1, racks: 1");
  const std::string big = "big: {hall: a, members: 2";
  smaller.replace(smaller.find(big), big.size(), "big: {hall: a, members: 1");
  cluster->Propose(0, SettingsVersion(1), smaller);
  CHECK_TRUE(RunUntil(job.id, JobState::kImpossible, Duration(3000)));
  CHECK_TRUE(Row(job.id)->reason.find("no hall can ever hold") == 0);
}

TEST(Promise, ShadowPolicyIsRecordedAndNotCarriedOut) {
  std::string shadowed = CourseSettings();
  const std::string queue = "max_queue: 50";
  shadowed.replace(shadowed.find(queue), queue.size(),
                   "max_queue: 50\n  shadow_placement: fifo");
  cluster->Propose(0, SettingsVersion(1), shadowed);
  cluster->RunFor(Duration(1000));
  FillHall(600000);
  cluster->Submit(0, Job("w3", 4, 4, 1000));
  cluster->RunFor(Duration(500));
  // fifo lets this one wait behind the large one.
  const JobSpec small = Job("w3", 1, 1, 300);
  cluster->Submit(0, small);
  cluster->RunFor(Duration(2000));
  std::int64_t agreed = 0;
  for (int i = 0; i < kInstances; ++i) {
    agreed += cluster->reducer(i).shared().counters.shadow_agreed;
  }
  CHECK_TRUE(agreed > 0);
}

TEST(Promise, OldClaimsAndJobsAreClearedYoungOnesStay) {
  std::string shorter = CourseSettings();
  const std::string grace = "stop_grace_ms: 500";
  shorter.replace(shorter.find(grace), grace.size(),
                  "stop_grace_ms: 500\n  claim_retention_ms: 20000\n  "
                  "job_retention_ms: 20000");
  cluster->Propose(0, SettingsVersion(1), shorter);
  cluster->RunFor(Duration(1000));
  const JobSpec job = Job("w1", 1, 1, 100);
  cluster->Submit(0, job);
  cluster->Request(0, MakeRequest("old", false));
  cluster->RunFor(Duration(30000));
  cluster->Request(0, MakeRequest("young", false));
  cluster->RunFor(Duration(11000));
  CHECK_TRUE(cluster->table().Read("claim/w1/old").version == Revision(0));
  CHECK_TRUE(cluster->table().Read("claim/w1/young").version > Revision(0));
  CHECK_TRUE(Row(job.id) == nullptr);
}

TEST(Promise, PausedInstanceCatchesUpAndNeverGoesBack) {
  cluster->Pause(2);
  cluster->Propose(0, SettingsVersion(1), CourseSettings() + "\n# a\n");
  cluster->RunFor(Duration(3000));
  cluster->Propose(0, SettingsVersion(2), CourseSettings() + "\n# b\n");
  cluster->RunFor(Duration(3000));
  cluster->Wake(2);
  cluster->RunFor(Duration(2000));
  LONGS_EQUAL(3, cluster->reducer(2).shared().follower.version().value());
}

TEST(Promise, WaveOfCancellationsIsCarriedOutInRounds) {
  std::vector<JobId> jobs;
  for (int i = 0; i < 1000; ++i) {
    const JobSpec spec = Job("w3", 1, 4, 600000);
    cluster->Submit(i % kInstances, spec);
    if (i % 50 == 0) cluster->RunFor(Duration(600));
    jobs.push_back(spec.id);
  }
  cluster->RunFor(Duration(10000));
  // Callers whose cancellation was refused as "not run" send it again.
  for (int round = 0; round < 10; ++round) {
    std::vector<std::size_t> calls;
    for (const JobId& job : jobs) {
      const JobRow* row = Row(job);
      const bool open = row != nullptr && !IsFinal(row->state);
      if (open) calls.push_back(cluster->Cancel(round % kInstances, job));
    }
    if (calls.empty()) break;
    cluster->RunFor(Duration(8000));
    for (const std::size_t call : calls) {
      CHECK_TRUE(cluster->call(call).answer.has_value());
    }
  }
  int stored = 0;
  for (const JobId& job : jobs) {
    const JobRow* row = Row(job);
    if (row == nullptr) continue;
    ++stored;
    CHECK_TRUE(IsFinal(row->state));
  }
  CHECK_TRUE(stored > 900);
}

}  // namespace limeledge
