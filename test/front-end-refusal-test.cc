/// @file
/// Tests of submits that the front end refuses because of the forecast.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/front_end.h"

namespace limeledge::dispatch {

// Submits under a forecast by which the job can never run.
TEST_GROUP(FrontEndRefusal) {
  StoreTimeout store_timeout;
  CatalogWatcher watcher;
  FrontEnd front_end{FrontEndOptions(), &store_timeout, &watcher,
                     AdmissionOptions{AdmissionUse::kAuto}};
  CapacitySummary summary;
  Ticket tickets;
  Effects effects;
  TimePoint now{10000};
  CallReceived call;

  void SetCatalog(const Queue& queue) {
    CatalogReceived answer;
    answer.outcome = StoreOutcome::kDone;
    answer.catalog = Catalog();
    answer.catalog->queues.push_back(queue);
    Context ctx(now, now.ms(), &tickets, &effects);
    watcher.Handle(ctx, answer);
  }

  void setup() override {
    Queue queue;
    queue.id = QueueId("q");
    queue.host = "h";
    queue.path_prefix = "/q/";
    queue.is_public = true;
    queue.policy.service = ServiceId("compute");
    SetCatalog(queue);
    summary.confirmed_wall_ms = now.ms();
    summary.services[ServiceId("compute")].largest = {64000, 65536, 8};
    summary.services[ServiceId("compute")].sum = {64000, 65536, 8};
    call.kind = CallKind::kSubmit;
    call.host = "h";
    call.path = "/q/00000000000000aa";
    StepSpec step;
    step.need = {1000, 1024, 9};
    call.spec.steps.push_back(step);
  }

  template <typename Kind>
  const Kind* Find() const {
    for (const Effect& effect : effects) {
      const auto* found = std::get_if<Kind>(&effect);
      if (found != nullptr) return found;
    }
    return nullptr;
  }

  void Submit(TimePoint written_after = TimePoint(9500)) {
    effects.clear();
    call.call = call.call.Next();
    Context ctx(now, now.ms(), &tickets, &effects);
    front_end.SetForecast({&summary, written_after});
    front_end.Handle(ctx, call, true);
  }

  /// Answers the read of the job row.
  void AnswerRead(StoreOutcome outcome, std::vector<Row> rows = {}) {
    ReadCompleted answer;
    answer.ticket = Find<ReadRows>()->ticket;
    answer.outcome = outcome;
    answer.rows = std::move(rows);
    effects.clear();
    Context ctx(now, now.ms(), &tickets, &effects);
    front_end.Handle(ctx, answer, true);
  }
};

TEST(FrontEndRefusal, JobThatCanNeverRunIsRefusedWithoutAWrite) {
  Submit();
  POINTERS_EQUAL(nullptr, Find<CommitRows>());
  AnswerRead(StoreOutcome::kDone);
  POINTERS_EQUAL(nullptr, Find<CommitRows>());
  CHECK_TRUE(Find<RespondToCall>()->result == CallResult::kNeverServable);
  CHECK_FALSE(Find<RespondToCall>()->retry_after.has_value());
  CHECK_TRUE(front_end.idle());
}

// Guards against "not run" for a job that an earlier attempt stored at another
// node, whose answer was lost.
TEST(FrontEndRefusal, StoredJobIsNotRefused) {
  Submit();
  AnswerRead(StoreOutcome::kDone, {Row()});
  CHECK_TRUE(Find<CommitRows>() != nullptr);
  POINTERS_EQUAL(nullptr, Find<RespondToCall>());
}

TEST(FrontEndRefusal, StoreThatDoesNotAnswerMeansAccept) {
  Submit();
  AnswerRead(StoreOutcome::kUnknown);
  CHECK_TRUE(Find<CommitRows>() != nullptr);
}

// Guards against a refusal by a summary that became too old during the read.
TEST(FrontEndRefusal, SlowReadMeansAccept) {
  Submit();
  now = now + Duration(2600);
  AnswerRead(StoreOutcome::kDone);
  CHECK_TRUE(Find<CommitRows>() != nullptr);
}

TEST(FrontEndRefusal, StaleSummaryMeansAccept) {
  Submit(TimePoint(7000));
  CHECK_TRUE(Find<CommitRows>() != nullptr);
}

TEST(FrontEndRefusal, ForwardedSubmitIsNotRefused) {
  call.forwarded = true;
  Submit();
  CHECK_TRUE(Find<CommitRows>() != nullptr);
}

// Guards against "not run" for an id that this node has sent to the store.
TEST(FrontEndRefusal, RepeatedIdIsNotRefused) {
  summary.services[ServiceId("compute")].largest.accelerators = 9;
  Submit();
  CHECK_TRUE(Find<CommitRows>() != nullptr);
  summary.services[ServiceId("compute")].largest.accelerators = 8;
  Submit();
  CHECK_TRUE(Find<CommitRows>() != nullptr);
}

}  // namespace limeledge::dispatch
