/// @file
/// Tests of how the front end uses the store for API calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "dispatch/front_end.h"

namespace limeledge::dispatch {

TEST_GROUP(FrontEnd) {
  StoreTimeout store_timeout;
  CatalogWatcher watcher;
  FrontEnd front_end{FrontEndOptions(), &store_timeout, &watcher};
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};
  CallId last_call;

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
    SetCatalog(queue);
  }

  /// Sends a call for the number of waiting jobs; true if it reads the store.
  bool CountCallReads() {
    effects.clear();
    Context ctx(now, now.ms(), &tickets, &effects);
    CallReceived call;
    call.call = last_call = last_call.Next();
    call.kind = CallKind::kQuery;
    call.host = "h";
    call.path = "/q/";
    front_end.Handle(ctx, call, true);
    for (const Effect& effect : effects) {
      if (std::holds_alternative<ReadRows>(effect)) return true;
    }
    return false;
  }

  /// Answers the read in `effects` with a number of waiting jobs.
  void AnswerRead(std::int64_t waiting) {
    ReadCompleted answer;
    answer.outcome = StoreOutcome::kDone;
    for (const Effect& effect : effects) {
      const auto* read = std::get_if<ReadRows>(&effect);
      if (read != nullptr) answer.ticket = read->ticket;
    }
    Row row;
    row.value = EncodeWaiting({{QueueId("q"), waiting}});
    answer.rows.push_back(row);
    effects.clear();
    Context ctx(now, now.ms(), &tickets, &effects);
    front_end.Handle(ctx, answer, true);
  }

  std::int64_t Response() const {
    for (const Effect& effect : effects) {
      const auto* response = std::get_if<RespondToCall>(&effect);
      if (response != nullptr) return response->waiting;
    }
    return -1;
  }
};

// Each node of a fleet is asked for the counts of every new route.
TEST(FrontEnd, CountsThatWereJustReadAreNotReadAgain) {
  CHECK_TRUE(CountCallReads());
  AnswerRead(12);
  LONGS_EQUAL(12, Response());
  now = now + Duration(400);
  CHECK_FALSE(CountCallReads());
  LONGS_EQUAL(12, Response());
}

TEST(FrontEnd, CountsAreReadAgainBeforeTheyAreTooOld) {
  CHECK_TRUE(CountCallReads());
  AnswerRead(12);
  now = now + FrontEndOptions().max_counts_age;
  CHECK_TRUE(CountCallReads());
  AnswerRead(3);
  LONGS_EQUAL(3, Response());
}

// Guards against a job that is accepted and then refused again and again,
// because its own row is larger than what the store accepts.
TEST(FrontEnd, JobThatDoesNotFitIntoARowIsRefusedAtOnce) {
  CallReceived call;
  call.call = CallId(7);
  call.kind = CallKind::kSubmit;
  call.host = "h";
  call.path = "/q/0123456789abcdef";
  call.spec.steps.resize(1);
  call.spec.payload.assign(FrontEndOptions().store_limits.max_row_bytes, 'x');
  effects.clear();
  Context ctx(now, now.ms(), &tickets, &effects);
  front_end.Handle(ctx, call, true);
  const RespondToCall* response = nullptr;
  for (const Effect& effect : effects) {
    CHECK_FALSE(std::holds_alternative<CommitRows>(effect));
    const auto* found = std::get_if<RespondToCall>(&effect);
    if (found != nullptr) response = found;
  }
  CHECK_TRUE(response->result == CallResult::kNeverServable);
  CHECK_TRUE(response->message.find("65536") != std::string::npos);
  CHECK_FALSE(response->retry_after.has_value());
}

}  // namespace limeledge::dispatch
