/// @file
/// Tests of reading and following jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/job_registry.h"

namespace limeledge::dispatch {

// A book whose calls are answered one by one.
TEST_GROUP(JobBook) {
  StoreTimeout patience;
  JobBook book{&patience};
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};
  const std::string id = "00000000000000a1";

  /// What the book asks for now.
  Effects Work() {
    effects.clear();
    Context ctx(now, 0, &tickets, &effects);
    book.Work(ctx);
    return effects;
  }

  void Answer(const Effect& read, const std::vector<Row>& rows = {},
              int newest = 10, bool has_more = false) {
    ReadCompleted answer;
    answer.has_more = has_more;
    answer.outcome = StoreOutcome::kDone;
    answer.ticket = std::get<ReadRows>(read).ticket;
    answer.rows = rows;
    answer.newest = Revision(newest);
    Context ctx(now, 0, &tickets, &effects);
    book.Handle(ctx, answer);
  }

  /// The following call tells of changes.
  void Tell(const AwaitChanges& follow, const std::vector<Row>& rows,
            int newest) {
    ChangesReceived answer;
    answer.outcome = StoreOutcome::kDone;
    answer.ticket = follow.ticket;
    answer.rows = rows;
    answer.newest = Revision(newest);
    Context ctx(now, 0, &tickets, &effects);
    book.Handle(ctx, answer);
  }

  void Refuse(const Effect& read) {
    ReadCompleted answer;
    answer.outcome = StoreOutcome::kNotApplied;
    answer.ticket = std::get<ReadRows>(read).ticket;
    Context ctx(now, 0, &tickets, &effects);
    book.Handle(ctx, answer);
  }

  /// The following call's connection fell silent.
  void Lose(const AwaitChanges& follow) {
    ChangesReceived answer;
    answer.outcome = StoreOutcome::kUnknown;
    answer.ticket = follow.ticket;
    Context ctx(now, 0, &tickets, &effects);
    book.Handle(ctx, answer);
  }

  static Row MakeRow(const char* table, const std::string& key,
                     const std::string& value) {
    Row row;
    row.key = {table, key};
    row.value = value;
    row.revision = Revision(1);
    return row;
  }

  /// Reads progress and jobs whole: one job's rows.
  void ReadJob(const std::string& progress, const std::string& job) {
    Answer(Work().front(), {MakeRow(kProgressTable, id, progress)});
    for (const Effect& read : Work()) {
      const bool own = std::get<ReadRows>(read).partition == JobPartition(id);
      Answer(read, own ? std::vector<Row>{MakeRow(kJobTable, id, job)}
                       : std::vector<Row>{});
    }
    CHECK_TRUE(book.loaded());
  }

  static std::string EncodedJob() {
    JobSpec spec;
    spec.id = JobId("00000000000000a1");
    spec.steps.resize(1);
    return EncodeJobSpec(spec);
  }
};

// On a connection that fell silent, new jobs were not seen for 2.8 s, and later
// for 1.4 s: the call was waited for too long, and there was a pause after it.
TEST(JobBook, FollowingCallThatIsLostCostsLessThanASecond) {
  ReadJob(EncodeProgress(Job(*DecodeJobSpec(EncodedJob()))), EncodedJob());
  const auto first = std::get<AwaitChanges>(Work().front());
  CHECK_TRUE(first.timeout > first.wait);
  CHECK_TRUE(first.timeout < Duration(900));
  now = now + first.timeout;
  Lose(first);
  const auto second = std::get<AwaitChanges>(Work().front());
  LONGS_EQUAL(first.after.value(), second.after.value());
}

// A store that does not answer at all is not asked again at once.
TEST(JobBook, FollowingCallThatIsLostTwiceIsSentAfterAPause) {
  ReadJob(EncodeProgress(Job(*DecodeJobSpec(EncodedJob()))), EncodedJob());
  Lose(std::get<AwaitChanges>(Work().front()));
  const auto second = std::get<AwaitChanges>(Work().front());
  Lose(second);
  CHECK_TRUE(Work().empty());
  now = now + JobRegistryOptions().retry_pause;
  const auto third = std::get<AwaitChanges>(Work().front());
  CHECK_TRUE(third.timeout > second.timeout);
}

TEST(JobBook, JobsThatAreReadAreKnown) {
  CHECK_FALSE(book.HasReadPartitionOf(JobId(id)));
  ReadJob(EncodeProgress(Job(*DecodeJobSpec(EncodedJob()))), EncodedJob());
  CHECK_TRUE(book.HasReadPartitionOf(JobId(id)));
  CHECK_TRUE(book.HasReadAllPartitions());
  CHECK_TRUE(book.Find(JobId(id)) != nullptr);
  CHECK_TRUE(book.TakeOrphans().empty());
}

// With no part to be read, the book asked to be woken in the past: the process
// did not sleep until the store was back.
TEST(JobBook, BookThatCanReadNothingSleepsBetweenItsTries) {
  Answer(Work().front());
  for (int i = 0; i < 3; ++i) {
    now = now + JobRegistryOptions().partition_timeout;
    for (const Effect& read : Work()) Refuse(read);
    CHECK_TRUE(book.next_at() > now);
    CHECK_FALSE(book.loaded());
  }
}

TEST(JobBook, ProgressWithoutAJobIsToldOnce) {
  Answer(Work().front(), {MakeRow(kProgressTable, id, "{}")});
  for (const Effect& read : Work()) Answer(read);
  LONGS_EQUAL(1, book.TakeOrphans().size());
  CHECK_TRUE(book.TakeOrphans().empty());
}

// The job's row is there; without its progress it would begin anew one day.
TEST(JobBook, ProgressOfAJobThatCanNotBeReadIsKept) {
  ReadJob("{}", "no job");
  CHECK_TRUE(book.TakeOrphans().empty());
  CHECK_TRUE(book.Find(JobId(id)) == nullptr);
}

// Its tasks may have run and must not run again.
TEST(JobBook, JobWhoseProgressCanNotBeReadDoesNotBeginAnew) {
  ReadJob("no progress", EncodedJob());
  CHECK_TRUE(book.Find(JobId(id)) == nullptr);
  CHECK_TRUE(book.active().empty());
  CHECK_TRUE(book.TakeOrphans().empty());
}

TEST(JobBook, FinalJobIsClearedOnlyOnceItsStateIsStored) {
  ReadJob(EncodeProgress(Job(*DecodeJobSpec(EncodedJob()))), EncodedJob());
  book.MarkFinal(JobId(id));
  CHECK_TRUE(book.FinalizedBefore(now + Duration(1000000)).empty());
  book.RecordFinalStored(JobId(id), now);
  CHECK_TRUE(book.FinalizedBefore(now).empty());
  LONGS_EQUAL(1, book.FinalizedBefore(now + Duration(1)).size());
}

// A call that followed the table told of a cancelling before the second page of
// its part, which held the job as it had been before, was taken in: the
// cancelling was dropped as that of an unknown job, and never told again. The
// revision from which the next call follows proved it.
TEST(JobBook, CancellingThatIsFollowedBeforeItsJobIsReadIsNotLost) {
  Answer(Work().front());
  for (const Effect& read : Work()) {
    const bool own = std::get<ReadRows>(read).partition == JobPartition(id);
    if (own) {
      const Row before = MakeRow(kJobTable, "00000000000000a0", EncodedJob());
      Answer(read, {before}, 10, true);
    } else {
      Answer(read, {}, 10);
    }
  }
  now = now + JobRegistryOptions().partition_timeout;
  const Effects asked = Work();
  LONGS_EQUAL(2, asked.size());
  const Row cancel = MakeRow(kJobTable, id + kCancelSuffix, "{}");
  Tell(std::get<AwaitChanges>(asked[1]), {cancel}, 30);
  Answer(asked[0], {MakeRow(kJobTable, id, EncodedJob())}, 20);
  CHECK_FALSE(book.Find(JobId(id))->cancel_requested());
  const auto next = std::get<AwaitChanges>(Work().front());
  LONGS_EQUAL(20, next.after.value());
  Tell(next, {cancel}, 30);
  CHECK_TRUE(book.Find(JobId(id))->cancel_requested());
}

}  // namespace limeledge::dispatch
