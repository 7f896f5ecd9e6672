/// @file
/// Tests of the scheduler while the store or runners are away.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "scheduler-fixture.h"

namespace limeledge::emulator {

TEST_GROUP_BASE(Outage, SchedulerFixture){};

TEST(Outage, LostAnswersOfTheStoreDoNotDeposeALivingScheduler) {
  const int leader = system.leader();
  system.faults().store_answers_lost = 0.35;
  const JobId job = Submit(Step(4, 1, Duration(2000)));
  system.Run(Duration(8000));
  LONGS_EQUAL(leader, system.leader());
  LONGS_EQUAL(4, Watch(job).listed_done.size());
  system.faults().store_answers_lost = 0;
  // A node that has just lost two answers refuses the question.
  system.Run(Duration(1000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

TEST(Outage, RunsGoOnThroughAnOutageOfTheStore) {
  const JobId job = Submit(Step(4, 1, Duration(7000)));
  system.Run(Duration(1000));
  system.faults().store_down = true;
  system.Run(Duration(9000));
  system.faults().store_down = false;
  system.Run(Duration(4000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  for (const auto& [task, starts] : Watch(job).starts) LONGS_EQUAL(1, starts);
  CheckNoViolation();
}

// While the jobs were read again, runners were not looked at: their leases ran
// out if the store went away just then.
TEST(Outage, BookThatReadsItsJobsAgainStaysLoaded) {
  const dispatch::StoreTimeout patience;
  dispatch::JobRegistry book(&patience);
  dispatch::Ticket tickets;
  dispatch::Effects effects;
  dispatch::Context ctx(TimePoint(1000), 0, &tickets, &effects);
  // Answers every reading that the book asks for: there is nothing.
  const auto read_nothing = [&] {
    effects.clear();
    book.Work(ctx);
    const dispatch::Effects asked = effects;
    for (const dispatch::Effect& effect : asked) {
      dispatch::ReadCompleted empty;
      empty.outcome = dispatch::StoreOutcome::kDone;
      empty.ticket = std::get<dispatch::ReadRows>(effect).ticket;
      CHECK_TRUE(book.Owns(empty.ticket));
      CHECK_FALSE(book.loaded());
      book.Handle(ctx, empty);
    }
    return asked.size();
  };
  // Progress lies in one part, jobs in several.
  LONGS_EQUAL(1, read_nothing());
  CHECK_FALSE(book.loaded());
  LONGS_EQUAL(dispatch::kJobPartitions, read_nothing());
  CHECK_TRUE(book.loaded());
  book.Work(ctx);
  dispatch::ChangesReceived gone;
  gone.outcome = dispatch::StoreOutcome::kHistoryCompacted;
  book.Handle(ctx, gone);
  CHECK_TRUE(book.loaded());
}

TEST(Outage, TasksOfARunnerThatIsCutOffStartElsewhereAfterItsLease) {
  const JobId job = Submit(Step(1, 8, Duration(4000)));
  system.Run(Duration(1000));
  const Duration lease = dispatch::FleetOptions().run_lease;
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->ForEachRun(
        [this, &id](const dispatch::TaskName&, int) {
          system.faults().unreachable_runners.insert(id);
        });
  }
  system.Run(lease / 2);
  LONGS_EQUAL(1, Watch(job).starts.begin()->second);
  system.Run(lease);
  LONGS_EQUAL(2, Watch(job).starts.begin()->second);
  system.Run(Duration(6000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// Some runners count a late order's lease from its arrival: a start that got no
// answer may then begin long after the lease that it names.
TEST(Outage, StartThatMayStillBeCarriedOutIsNotMadeElsewhere) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    SystemOptions options;
    options.seed = seed;
    options.bounds.lease_from_arrival = Duration(5000);
    EmulatedSystem late(options);
    late.Run(Duration(3000));
    dispatch::JobSpec spec;
    spec.steps = {Step(6, 1, Duration(20000))};
    spec.policy.priority = 1;
    TaskTruth truth;
    truth.work = Duration(20000);
    late.Submit(spec, {truth});
    late.faults().orders_lost = 1;
    late.faults().late_order = Duration(12000);
    late.Run(Duration(300));
    // The starts are on their way; now their runners fall silent.
    for (const RunnerId& id : late.RunnerIds()) {
      if (id.value() >= "i-4") late.faults().unreachable_runners.insert(id);
    }
    late.faults().orders_lost = 0;
    late.Run(Duration(7500));
    late.faults().unreachable_runners.clear();
    late.Run(Duration(12000));
    for (const std::string& what : late.violations()) FAIL(what.c_str());
  }
}

// All rows lay in one part, whose transactions wait for each other: of a store
// that was eighty times as slow, callers got refusals for seconds.
TEST(Outage, CallersAreServedByASlowStore) {
  constexpr int kJobs = 12;
  system.faults().store_slowness = 80;
  system.Run(Duration(2000));
  std::vector<JobId> jobs;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(Submit(Step(1, 1, Duration(500))));
    system.Run(Duration(200));
  }
  system.Run(Duration(1500));
  int accepted = 0;
  for (const JobId& job : jobs) accepted += Watch(job).accepted ? 1 : 0;
  LONGS_EQUAL(kJobs, accepted);
  CheckNoViolation();
}

// New jobs are seen while a part is away.
TEST(Outage, JobsOfOtherPartsStartWhileAPartOfTheStoreIsAway) {
  system.faults().parts_down = {dispatch::AllJobPartitions()[0]};
  system.KillNode(system.leader(), Duration(500));
  system.Run(Duration(5000));
  std::vector<JobId> jobs;
  for (int i = 0; i < 8; ++i) {
    jobs.push_back(Submit(Step(1, 1, Duration(300))));
  }
  system.Run(Duration(3000));
  for (const JobId& job : jobs) {
    const bool away =
        dispatch::JobPartition(job.value()) == dispatch::AllJobPartitions()[0];
    STRCMP_EQUAL(away ? "" : "done", system.StateOf(job).c_str());
  }
  CheckNoViolation();
}

// A part's rows came late, as they had been before a following call began: jobs
// of that part that were handed in between were never seen.
TEST(Outage, PartThatIsReadLateIsFollowedFromWhereItWasRead) {
  const dispatch::StoreTimeout patience;
  dispatch::JobRegistry book(&patience);
  dispatch::Ticket tickets;
  dispatch::Effects effects;
  TimePoint now(1000);
  const auto work = [&] {
    effects.clear();
    dispatch::Context ctx(now, 0, &tickets, &effects);
    book.Work(ctx);
    return effects;
  };
  const auto answer = [&](const dispatch::Effect& read, int newest) {
    dispatch::ReadCompleted rows;
    rows.outcome = dispatch::StoreOutcome::kDone;
    rows.ticket = std::get<dispatch::ReadRows>(read).ticket;
    rows.newest = Revision(newest);
    dispatch::Context ctx(now, 0, &tickets, &effects);
    book.Handle(ctx, rows);
  };
  answer(work().front(), 10);
  const dispatch::Effects reads = work();
  for (std::size_t i = 1; i < reads.size(); ++i) answer(reads[i], 100);
  now = now + dispatch::JobRegistryOptions().partition_timeout;
  const auto first = std::get<dispatch::AwaitChanges>(work().front());
  LONGS_EQUAL(100, first.after.value());
  answer(reads[0], 50);
  dispatch::ChangesReceived changes;
  changes.outcome = dispatch::StoreOutcome::kDone;
  changes.ticket = first.ticket;
  changes.newest = Revision(120);
  dispatch::Context ctx(now, 0, &tickets, &effects);
  book.Handle(ctx, changes);
  const auto second = std::get<dispatch::AwaitChanges>(work().front());
  LONGS_EQUAL(50, second.after.value());
}

// A scheduler that could not store a job's end cleared the job away by its own
// clock; the next one then knew nothing of it.
TEST(Outage, JobWhoseEndIsNotStoredIsNeverClearedAway) {
  const JobId job = Submit(Step(2, 1, Duration(1500)));
  system.Run(Duration(700));
  // The part with the scheduler's own rows is away; the jobs' parts are there.
  system.faults().parts_down = {""};
  system.Run(Duration(200000));
  system.KillNode(system.leader(), Duration(500));
  system.faults().parts_down.clear();
  system.Run(Duration(40000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  CheckNoViolation();
}

// Leases were only renewed on runners with runs of jobs that were known.
TEST(Outage, RunsOfAPartThatIsAwayKeepTheirLeases) {
  const JobId job = Submit(Step(1, 8, Duration(12000)));
  system.Run(Duration(1000));
  system.faults().parts_down = {dispatch::JobPartition(job.value())};
  system.KillNode(system.leader(), Duration(500));
  system.Run(Duration(9000));
  system.faults().parts_down.clear();
  system.Run(Duration(6000));
  STRCMP_EQUAL("done", system.StateOf(job).c_str());
  for (const auto& [task, starts] : Watch(job).starts) LONGS_EQUAL(1, starts);
  CheckNoViolation();
}

// While the stop of a run in doubt was under way, looks at its runner followed
// each other at once, though none could settle the doubt: 500 a second of
// virtual time, each a call for the runner and work for the scheduler. A count
// of the looks proved it.
TEST(Outage, RunnerThatLeavesOrdersUnansweredIsNotLookedAtAllTheTime) {
  SystemOptions options;
  options.runners = 1;
  EmulatedSystem one(options);
  one.Run(Duration(3000));
  one.faults().orders_lost = 1;
  one.faults().late_order = Duration(60000);
  SubmitTo(&one, Step(1, 0, Duration(60000)));
  const int before = one.polls();
  one.Run(Duration(5000));
  constexpr int kMostPolls = 100;
  CHECK_TRUE(one.polls() - before <= kMostPolls);
}

}  // namespace limeledge::emulator
