/// @file
/// Tests of the decision on submits.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <set>
#include <string>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_format.h"
#include "dispatch/admission.h"

namespace limeledge::dispatch {

TEST_GROUP(DispatchAdmission) {
  AdmissionOptions options{AdmissionUse::kAuto};
  Catalog catalog;
  CapacitySummary summary;
  TimePoint now{10000};
  std::int64_t wall_ms = 1700000000000;
  TimePoint written_after{9000};
  JobSpec spec;

  void setup() override {
    for (int priority = 0; priority < 2; ++priority) {
      Queue queue;
      queue.id = QueueId(priority == 0 ? "urgent" : "middle");
      queue.policy.service = ServiceId("compute");
      queue.policy.priority = priority;
      queue.policy.stretch = priority == 0 ? 1.5 : 3;
      queue.policy.slack = Duration(500);
      catalog.queues.push_back(queue);
    }
    catalog.workspaces[WorkspaceId("large")] = {WorkspaceId("large"), 40};
    catalog.workspaces[WorkspaceId("small")] = {WorkspaceId("small"), 10};
    ServiceCapacity& capacity = summary.services[ServiceId("compute")];
    capacity.largest = {64000, 131072, 8};
    capacity.sum = {22400000, 45875200, 2800};  // 350 runners.
    capacity.labels = {"gpu"};
    summary.confirmed_wall_ms = wall_ms - 1000;
    spec.id = JobId("00000000000000aa");
    spec.workspace = WorkspaceId("small");
    UseQueue(0);
    // A gang of five tasks of four accelerators.
    StepSpec step;
    step.count = 5;
    step.need = {4000, 4096, 4};
    step.estimate = Duration(2500);
    step.gang = true;
    spec.steps = {step};
  }

  void UseQueue(int priority) {
    spec.queue = catalog.queues[priority].id;
    spec.policy = catalog.queues[priority].policy;
  }

  /// All capacity is taken, and work for that long goes first.
  void SetWait(const char* queue, Duration expected) {
    QueueWait& wait = summary.waits[QueueId(queue)];
    wait.expected.fill(expected);
    wait.earliest.fill(expected * 6 / 10);
    wait.estimate_factor = 1.44;
  }

  std::optional<Refusal> Judge() const {
    return Admission(options).Judge(now, wall_ms, spec, catalog,
                                    {&summary, written_after});
  }
  bool IsRefusedAs(RefusalReason reason) const {
    const std::optional<Refusal> refusal = Judge();
    return refusal.has_value() && refusal->reason == reason;
  }
};

// Load: a job that needs a label that nobody has.
TEST(DispatchAdmission, LabelThatNobodyHasIsNeverServable) {
  spec.steps[0].required_label = "tpu";
  CHECK_TRUE(IsRefusedAs(RefusalReason::kNoRunnerWithLabel));
  CHECK_FALSE(Judge()->retry_after.has_value());
  spec.steps[0].required_label = "gpu";
  CHECK_FALSE(Judge().has_value());
}

// Load: scale-out adds the label a second later.
TEST(DispatchAdmission, LabelThatWasAddedIsAccepted) {
  spec.steps[0].required_label = "tpu";
  CHECK_TRUE(Judge().has_value());
  summary.services[ServiceId("compute")].labels.insert("tpu");
  CHECK_FALSE(Judge().has_value());
}

// Load: more labels than the row holds. Guards against refusing for a label
// that was only omitted.
TEST(DispatchAdmission, OmittedLabelsRefuseNothing) {
  spec.steps[0].required_label = "tpu";
  summary.services[ServiceId("compute")].has_all_labels = false;
  CHECK_FALSE(Judge().has_value());
}

// Load: a job wider than the whole fleet, and a task larger than any runner.
TEST(DispatchAdmission, JobWiderThanTheFleetIsNeverServable) {
  spec.steps[0].count = 701;
  CHECK_TRUE(IsRefusedAs(RefusalReason::kGangTooLarge));
  spec.steps[0].gang = false;
  CHECK_FALSE(Judge().has_value());
  spec.steps[0].need.memory_mb = 131073;
  CHECK_TRUE(IsRefusedAs(RefusalReason::kStepTooLarge));
}

// Load: a list that was never read, or is empty after an outage.
TEST(DispatchAdmission, UnknownServiceRefusesNothing) {
  spec.steps[0].need.accelerators = 99;
  summary.services.clear();
  CHECK_FALSE(Judge().has_value());
}

// Load: a summary that is too old by either clock, or missing. Guards against
// refusals by a lost scheduler, a lost link or a lost store.
TEST(DispatchAdmission, StaleSummaryRefusesNothing) {
  spec.steps[0].need.accelerators = 99;
  CHECK_TRUE(Judge().has_value());
  written_after = now - options.max_age;
  CHECK_FALSE(Judge().has_value());
  written_after = now;
  summary.confirmed_wall_ms = wall_ms - options.max_age.ms();
  CHECK_FALSE(Judge().has_value());
  summary.confirmed_wall_ms = wall_ms + options.max_age.ms();
  CHECK_FALSE(Judge().has_value());
  CHECK_FALSE(Admission().Judge(now, wall_ms, spec, catalog, {}).has_value());
}

// Load: a burst of urgent work that exceeds all capacity for a minute.
TEST(DispatchAdmission, JobPastThreeTimesItsObjectiveIsRefused) {
  SetWait("urgent", Duration(60000));
  CHECK_TRUE(IsRefusedAs(RefusalReason::kPastUse));
  // It bears three times 500 ms, and 3.5 times a run that takes 1.44 times the
  // estimate.
  LONGS_EQUAL(1500 + 12600, Judge()->bearable.ms());
  SetWait("urgent", Duration(23500));
  CHECK_FALSE(Judge().has_value());
  SetWait("urgent", Duration(23502));
  CHECK_TRUE(Judge().has_value());
}

// Load: the same burst. Guards against refusing work that fits into a gap.
TEST(DispatchAdmission, JobThatFitsFreeCapacityIsAccepted) {
  SetWait("urgent", Duration(60000));
  summary.waits[QueueId("urgent")].free = {100000, 100000, 20};
  summary.waits[QueueId("urgent")].largest_free = {9000, 9000, 3};
  CHECK_TRUE(Judge().has_value());
  summary.waits[QueueId("urgent")].largest_free.accelerators = 4;
  CHECK_FALSE(Judge().has_value());
  summary.waits[QueueId("urgent")].free.accelerators = 19;
  CHECK_TRUE(Judge().has_value());
}

// Load: the same burst while a tenant stays within its guarantee.
TEST(DispatchAdmission, TenantWithinItsGuaranteeIsAccepted) {
  SetWait("urgent", Duration(60000));
  spec.workspace = WorkspaceId("large");
  CHECK_FALSE(Judge().has_value());
  spec.steps[0].count = 11;
  CHECK_TRUE(Judge().has_value());
}

// Load: the same burst. Guards against refusing jobs whose time has not come,
// and jobs without an end.
TEST(DispatchAdmission, FutureAndLongRunningJobsAreJudgedByResourcesOnly) {
  SetWait("urgent", Duration(60000));
  spec.recurrence.times = 2;
  spec.recurrence.first_wall_ms = wall_ms + 1;
  CHECK_FALSE(Judge().has_value());
  spec.recurrence.first_wall_ms = wall_ms;
  CHECK_TRUE(Judge().has_value());
  spec.recurrence = Recurrence();
  spec.steps[0].long_running = true;
  CHECK_FALSE(Judge().has_value());
  spec.steps[0].need.accelerators = 9;
  CHECK_TRUE(IsRefusedAs(RefusalReason::kStepTooLarge));
}

// Load: the same burst under each value of the switch and each configuration.
TEST(DispatchAdmission, SwitchDecidesWhatIsRefused) {
  SetWait("urgent", Duration(60000));
  catalog.workspaces.clear();
  CHECK_FALSE(Judge().has_value());
  options.use = AdmissionUse::kOn;
  CHECK_TRUE(Judge().has_value());
  spec.policy.slack = Duration(0);
  CHECK_FALSE(Judge().has_value());
  spec.steps[0].need.accelerators = 9;
  CHECK_TRUE(Judge().has_value());
  options.use = AdmissionUse::kOff;
  CHECK_FALSE(Judge().has_value());
}

// Load: a thousand refused callers of two queues. Guards against a return of
// all at the same time, and of less urgent callers before urgent ones.
TEST(DispatchAdmission, RefusedCallersReturnSpreadAndUrgentOnesFirst) {
  // The urgent wait is just past use, so that a return is of use.
  SetWait("urgent", Duration(180000));
  SetWait("middle", Duration(400000));
  spec.steps[0].estimate = Duration(20000);
  Admission admission(options);
  std::map<std::int64_t, int> urgent;
  std::map<std::int64_t, int> middle;
  for (int i = 0; i < 1000; ++i) {
    spec.id = JobId(absl::StrFormat("%016x", i * 7919));
    UseQueue(i % 2);
    const auto refusal =
        admission.Judge(now, wall_ms, spec, catalog, {&summary, written_after});
    CHECK_TRUE(refusal.has_value());
    const auto again =
        admission.Judge(now, wall_ms, spec, catalog, {&summary, written_after});
    CHECK_TRUE(refusal->retry_after == again->retry_after);
    admission.RecordRefusal(now);
    if (!refusal->retry_after.has_value()) continue;
    LONGS_EQUAL(0, refusal->retry_after->ms() % 1000);
    ++(i % 2 == 0 ? urgent : middle)[refusal->retry_after->ms() / 1000];
  }
  CHECK_TRUE(urgent.size() >= 10);
  CHECK_FALSE(middle.empty());
  CHECK_TRUE(middle.begin()->first > urgent.rbegin()->first);
  for (const auto& [seconds, callers] : urgent) CHECK_TRUE(callers <= 100);
  // No use of a job lasts longer than three objectives.
  CHECK_TRUE(urgent.rbegin()->first * 1000 <= 91500);
}

// Load: refusals at ten per second. Guards against an interval that does not
// grow with the number of refused callers.
TEST(DispatchAdmission, ReturnIntervalGrowsWithRefusals) {
  UseQueue(1);
  SetWait("middle", Duration(390000));
  spec.steps[0].estimate = Duration(20000);
  Admission admission(options);
  std::map<int, std::set<std::int64_t>> returns;
  for (int i = 0; i < 100; ++i) {
    spec.id = JobId(absl::StrFormat("%016x", i * 104729));
    const auto refusal =
        admission.Judge(now, wall_ms, spec, catalog, {&summary, written_after});
    admission.RecordRefusal(now);
    if (refusal->retry_after.has_value()) {
      returns[i / 50].insert(refusal->retry_after->ms());
    }
  }
  CHECK_TRUE(*returns[1].rbegin() > *returns[0].rbegin());
  CHECK_TRUE(returns[1].size() > returns[0].size());
  // The count starts again after the window.
  now = now + options.refusal_window;
  written_after = now;
  const auto later =
      admission.Judge(now, wall_ms, spec, catalog, {&summary, written_after});
  LONGS_EQUAL(*returns[0].begin(), later->retry_after->ms());
}

// Load: an hour of backlog. Guards against sending callers away until their job
// is of no use.
TEST(DispatchAdmission, NoReturnAfterTheJobsUse) {
  SetWait("urgent", Duration(3600000));
  CHECK_TRUE(Judge().has_value());
  CHECK_FALSE(Judge()->retry_after.has_value());
}

}  // namespace limeledge::dispatch
