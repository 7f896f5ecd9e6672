/// @file
/// Tests of the stored speeds of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cmath>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "dispatch/speed_keeper.h"
#include "scheduler-fixture.h"

namespace limeledge::dispatch {

namespace {

constexpr std::int64_t kWallMs = 1764780000000;
constexpr std::int64_t kStartMs = kWallMs - 3600000;
constexpr Duration kSecond{1000};

/// A store with the speed table, and the parts of one scheduler that use it.
struct Harness {
  std::map<std::string, std::string> table;
  TimePoint now{1000};
  /// Wall-clock time minus steady time; differs between processes.
  std::int64_t wall_offset = kWallMs;
  Ticket tickets;
  Effects effects;
  StoreTimeout store_timeout;
  std::unique_ptr<StateWriter> writer;
  std::unique_ptr<SpeedKeeper> keeper;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<RunnerSpeeds> speeds;
  std::map<IncarnationId, SpeedEstimate> estimates;
  std::int64_t revision = 40;
  // Rows written or removed, bytes written, write calls with at least one row
  // of the speed table, and read calls.
  int rows = 0;
  int removes = 0;
  std::size_t bytes = 0;
  int writes = 0;
  int reads = 0;

  Harness() { BecomeScheduler(TimePoint(1000)); }

  /// Replaces the scheduler with a new one, whose steady clock shows `at`.
  void BecomeScheduler(TimePoint at, SpeedKeeperOptions options = {}) {
    wall_offset += now.ms() - at.ms();
    now = at;
    Leadership::Claimed claimed;
    claimed.record.epoch = Epoch(7);
    claimed.record.holder = "e1/1";
    claimed.revision = Revision(revision);
    writer = std::make_unique<StateWriter>(StateWriterOptions(), claimed,
                                           &store_timeout, now);
    keeper = std::make_unique<SpeedKeeper>(&store_timeout, now, options);
    fleet = std::make_unique<Fleet>(FleetOptions());
    speeds = std::make_unique<RunnerSpeeds>();
    estimates.clear();
    effects.clear();
  }

  Context MakeContext() {
    return Context(now, now.ms() + wall_offset, &tickets, &effects);
  }

  /// Ids and start times are as long as those of the platform.
  static IncarnationId Runner(int i, std::int64_t start_time = kStartMs) {
    return {RunnerId(absl::StrCat("i-", absl::Hex(i, absl::kZeroPad10))),
            StartTime(start_time)};
  }

  /// Lists `count` runners.
  void List(int count, int per_rack, const std::string& rack_prefix = "rack-",
            StartTime start_time = StartTime(kStartMs)) {
    RunnersListed list;
    list.ok = true;
    for (int i = 0; i < count; ++i) {
      RunnerInfo info;
      info.id = Runner(i).runner;
      info.start_time = start_time;
      info.address = absl::StrCat("10.0.0.", i);
      info.rack = absl::StrCat(rack_prefix, i / per_rack);
      list.runners.push_back(info);
    }
    Context ctx = MakeContext();
    fleet->Handle(ctx, list);
    keeper->Restore(ctx, *fleet, speeds.get());
  }

  /// Sets the estimate of a runner; it takes effect with `Measure`.
  void Set(const IncarnationId& runner, double log_pace,
           double deviation = 0.1) {
    estimates[runner] = {log_pace, deviation, 3, now};
  }
  /// Makes the estimator hold exactly the estimates that were set.
  void Measure() {
    speeds = std::make_unique<RunnerSpeeds>();
    for (const auto& [runner, estimate] : estimates) {
      speeds->Restore(runner, estimate);
    }
  }

  /// Sends the read that is due; nothing if none is.
  std::optional<ReadRows> SendRead() {
    Effects sent;
    Context ctx(now, now.ms() + wall_offset, &tickets, &sent);
    keeper->Read(ctx);
    if (sent.empty()) return std::nullopt;
    ++reads;
    return std::get<ReadRows>(sent.front());
  }
  void AnswerRead(const ReadRows& read, StoreOutcome outcome) {
    ReadCompleted answer;
    answer.ticket = read.ticket;
    answer.outcome = outcome;
    if (outcome == StoreOutcome::kDone) {
      for (auto it = table.lower_bound(read.from); it != table.end(); ++it) {
        answer.has_more = static_cast<int>(answer.rows.size()) == read.limit;
        if (answer.has_more) break;
        Row row;
        row.key = {kSpeedTable, it->first};
        row.value = it->second;
        answer.rows.push_back(std::move(row));
      }
    }
    CHECK_TRUE(keeper->Owns(read.ticket));
    Context ctx = MakeContext();
    keeper->Handle(ctx, answer);
    keeper->Restore(ctx, *fleet, speeds.get());
  }
  /// Reads the whole table.
  void ReadAll() {
    while (const std::optional<ReadRows> read = SendRead()) {
      AnswerRead(*read, StoreOutcome::kDone);
    }
  }

  void Mark(bool in_use = true) {
    Context ctx = MakeContext();
    keeper->Write(ctx, *fleet, in_use, speeds.get(), writer.get());
  }
  /// Sends the write that is due; nothing if none is.
  std::optional<CommitRows> SendWrite() {
    Effects sent;
    Context ctx(now, now.ms() + wall_offset, &tickets, &sent);
    writer->Flush(ctx);
    if (sent.empty()) return std::nullopt;
    return std::get<CommitRows>(sent.back());
  }
  /// Applies the write to the table.
  void Apply(const CommitRows& commit) {
    int changed = 0;
    for (const RowWrite& put : commit.transaction.puts) {
      if (put.key.table != kSpeedTable) continue;
      table[put.key.key] = put.value;
      bytes += put.key.key.size() + put.value.size();
      ++rows;
      ++changed;
    }
    for (const RowKey& key : commit.transaction.removes) {
      table.erase(key.key);
      ++removes;
      ++changed;
    }
    if (changed > 0) ++writes;
  }
  StateWriter::LeaseStatus AnswerWrite(const CommitRows& commit,
                                       StoreOutcome outcome) {
    CommitCompleted answer;
    answer.ticket = commit.ticket;
    answer.outcome = outcome;
    answer.revision = Revision(++revision);
    Context ctx = MakeContext();
    return writer->Handle(ctx, answer);
  }
  /// Marks and stores rows; returns how many rows were written.
  int Store(bool in_use = true) {
    const int before = rows;
    Mark(in_use);
    while (const std::optional<CommitRows> commit = SendWrite()) {
      Apply(*commit);
      AnswerWrite(*commit, StoreOutcome::kDone);
    }
    return rows - before;
  }
  /// Lets time pass while marking and storing rows each second.
  void Run(Duration time, bool in_use = true) {
    for (const TimePoint end = now + time; now < end;) {
      now = now + kSecond;
      Store(in_use);
    }
  }

  int CountLines(LogId id) const {
    int count = 0;
    for (const Effect& effect : effects) {
      const auto* log = std::get_if<WriteLog>(&effect);
      if (log != nullptr && log->line.id == id) ++count;
    }
    return count;
  }
  double PaceOf(int i) const { return speeds->EstimateOf(Runner(i)).log_pace; }
};

SpeedRow RowOfOne() {
  SpeedRow row;
  row.written_wall_ms = kWallMs;
  row.runners.push_back({Harness::Runner(1), -0.4, 0.12, 7, Duration(1500)});
  return row;
}

}  // namespace

TEST_GROUP(SpeedKeeper) { Harness harness; };

TEST(SpeedKeeper, RowIsTheSameAfterEncodingAndDecoding) {
  const absl::StatusOr<SpeedRow> row =
      DecodeSpeedRow(EncodeSpeedRow(RowOfOne()));
  CHECK_TRUE(row.ok());
  LONGS_EQUAL(kWallMs, row->written_wall_ms);
  LONGS_EQUAL(1, row->runners.size());
  const StoredSpeed& speed = row->runners.front();
  CHECK_TRUE(Harness::Runner(1) == speed.runner);
  DOUBLES_EQUAL(-0.4, speed.log_pace, 1e-9);
  DOUBLES_EQUAL(0.12, speed.deviation, 1e-9);
  LONGS_EQUAL(7, speed.runs);
  LONGS_EQUAL(1500, speed.age.ms());
}

// Guards against a crash or a wrong speed when a row was damaged or written by
// another version.
TEST(SpeedKeeper, MalformedRowsAreRejected) {
  for (const char* text : {
           "",
           "[]",
           "{}",
           R"({"v":2,"at":1,"runners":[]})",
           R"({"v":"1","at":1,"runners":[]})",
           R"({"v":1,"runners":[]})",
           R"({"v":1,"at":-1,"runners":[]})",
           R"({"v":1,"at":99999999999999999999,"runners":[]})",
           R"({"v":1,"at":1})",
           R"({"v":1,"at":1,"runners":{}})",
           R"({"v":1,"at":1,"runners":[7]})",
           R"({"v":1,"at":1,"runners":[["i",5,0,100,1]]})",
           R"({"v":1,"at":1,"runners":[["",5,0,100,1,0]]})",
           R"({"v":1,"at":1,"runners":[["i",-1,0,100,1,0]]})",
           R"({"v":1,"at":1,"runners":[["i",5,"x",100,1,0]]})",
           R"({"v":1,"at":1,"runners":[["i",5,-2147483648,100,1,0]]})",
           R"({"v":1,"at":1,"runners":[["i",5,0,0,1,0]]})",
           R"({"v":1,"at":1,"runners":[["i",5,0,100,0,0]]})",
           R"({"v":1,"at":1,"runners":[["i",5,0,100,1,-1]]})",
           R"({"v":1,"at":1,"runners":[["i",5,0,1e300,1,0]]})",
       }) {
    CHECK_TRUE_TEXT(!DecodeSpeedRow(text).ok(), text);
  }
}

// The store refuses longer keys, and with them the whole transaction, which
// also renews the scheduler's lease.
TEST(SpeedKeeper, KeysKeepWithinTheLimitsOfTheStore) {
  STRCMP_EQUAL("hall-1/rack-7", SpeedRowKey("hall-1/rack-7").c_str());
  LONGS_EQUAL(kMaxSpeedKeyBytes, SpeedRowKey(std::string(300, 'r')).size());
  STRCMP_EQUAL("a_b__c", SpeedRowKey("a b\xc3\xa4"
                                     "c")
                             .c_str());
  STRCMP_EQUAL("_", SpeedRowKey("").c_str());
}

TEST(SpeedKeeper, RowThatIsTooLargeKeepsTheBestKnownRunners) {
  SpeedRow row;
  for (int i = 0; i < 3000; ++i) {
    row.runners.push_back(
        {Harness::Runner(i), 0.1, i % 2 == 0 ? 0.3 : 0.1, 3, Duration(0)});
  }
  const std::string text = EncodeSpeedRow(row);
  CHECK_TRUE(text.size() <= kMaxSpeedRowBytes);
  CHECK_TRUE(text.size() > kMaxSpeedRowBytes - 100);
  const absl::StatusOr<SpeedRow> decoded = DecodeSpeedRow(text);
  CHECK_TRUE(decoded.ok());
  CHECK_TRUE(decoded->runners.size() > 1500);
  for (int i = 0; i < 1500; ++i) {
    DOUBLES_EQUAL(0.1, decoded->runners[i].deviation, 1e-9);
  }
}

// The steady clocks of two processes have different origins.
TEST(SpeedKeeper, SuccessorKnowsTheSpeedsWithTheirAge) {
  harness.List(40, 20);
  harness.ReadAll();
  harness.now = harness.now + Duration(60000);
  for (int i = 0; i < 40; ++i) {
    harness.Set(Harness::Runner(i), i % 2 == 0 ? 0.4 : -0.5);
  }
  harness.Measure();
  harness.now = harness.now + Duration(2000);
  LONGS_EQUAL(2, harness.Store());
  harness.now = harness.now + Duration(3000);
  harness.BecomeScheduler(TimePoint(77));
  harness.List(40, 20);
  harness.ReadAll();
  LONGS_EQUAL(1, harness.CountLines(LogId::kSpeedsRestored));
  CHECK_TRUE(harness.keeper->restored());
  DOUBLES_EQUAL(0.4, harness.PaceOf(0), 0.02);
  DOUBLES_EQUAL(-0.5, harness.PaceOf(1), 0.02);
  const SpeedEstimate estimate = harness.speeds->EstimateOf(Harness::Runner(0));
  LONGS_EQUAL(3, estimate.runs);
  LONGS_EQUAL(5000, (harness.now - estimate.measured_at).ms());
}

// The list of runners may be read after the stored speeds.
TEST(SpeedKeeper, SpeedsAreRestoredOnceTheirRunnersAreListed) {
  harness.table["rack-0"] = EncodeSpeedRow(RowOfOne());
  harness.ReadAll();
  LONGS_EQUAL(0, harness.speeds->measured_runners());
  harness.List(2, 20);
  LONGS_EQUAL(1, harness.speeds->measured_runners());
  DOUBLES_EQUAL(-0.4, harness.PaceOf(1), 0.02);
}

TEST(SpeedKeeper, StoredSpeedLosesCertaintyWithAge) {
  harness.table["rack-0"] = EncodeSpeedRow(RowOfOne());
  std::vector<double> deviations;
  for (const int age_ms : {2000, 300000, 880000}) {
    harness.BecomeScheduler(TimePoint(1000));
    harness.wall_offset = kWallMs - 1000 + age_ms;
    harness.List(2, 20);
    harness.ReadAll();
    deviations.push_back(
        harness.speeds->EstimateOf(Harness::Runner(1)).deviation);
  }
  DOUBLES_EQUAL(0.12, deviations[0], 0.01);
  CHECK_TRUE(deviations[1] > deviations[0] + 0.02);
  CHECK_TRUE(deviations[2] > deviations[1] + 0.04);
}

// A restarted runner may be another machine.
TEST(SpeedKeeper, SpeedsOfOtherIncarnationsAndOldSpeedsAreDropped) {
  SpeedRow row = RowOfOne();
  row.runners.push_back(
      {Harness::Runner(2, kStartMs - 1), 0.5, 0.1, 3, Duration(0)});
  row.runners.push_back({Harness::Runner(3), 0.5, 0.1, 3, Duration(899000)});
  harness.table["rack-0"] = EncodeSpeedRow(row);
  row.written_wall_ms = kWallMs - 901000;
  row.runners = {{Harness::Runner(4), 0.5, 0.1, 3, Duration(0)}};
  harness.table["rack-1"] = EncodeSpeedRow(row);
  row.written_wall_ms = kWallMs;
  row.runners = {{Harness::Runner(5), 0.5, 0.1, 3,
                  Duration(std::numeric_limits<std::int64_t>::max())}};
  harness.table["rack-2"] = EncodeSpeedRow(row);
  harness.wall_offset = kWallMs + 1000;
  harness.List(6, 20);
  harness.ReadAll();
  LONGS_EQUAL(1, harness.speeds->measured_runners());
  DOUBLES_EQUAL(-0.4, harness.PaceOf(1), 0.02);
}

// Such a runner gets a new id with each start. Its speeds were stored by none,
// and rejected by the decoder, so that take-overs lost all of them.
TEST(SpeedKeeper, SpeedsOfRunnersWithoutStartTimesAreStoredAndRestored) {
  const IncarnationId runner = Harness::Runner(1, StartTime().value());
  CHECK_FALSE(IsReported(runner.start_time));
  harness.List(2, 20, "rack-", StartTime());
  harness.ReadAll();
  harness.Set(runner, 0.4);
  harness.Measure();
  harness.now = harness.now + kSecond;
  LONGS_EQUAL(1, harness.Store());
  harness.BecomeScheduler(TimePoint(77));
  harness.List(2, 20, "rack-", StartTime());
  harness.ReadAll();
  CHECK_TRUE(harness.keeper->restored());
  LONGS_EQUAL(1, harness.speeds->measured_runners());
  DOUBLES_EQUAL(0.4, harness.speeds->EstimateOf(runner).log_pace, 0.02);
}

// It may have been restarted in between, and be another machine.
TEST(SpeedKeeper, RunnerThatReportsAStartTimeLaterIsNotGivenStoredSpeeds) {
  SpeedRow row;
  row.written_wall_ms = kWallMs;
  row.runners.push_back(
      {Harness::Runner(1, StartTime().value()), 0.4, 0.1, 3, Duration(0)});
  harness.table["rack-0"] = EncodeSpeedRow(row);
  harness.List(2, 20);
  harness.ReadAll();
  LONGS_EQUAL(0, harness.speeds->measured_runners());
  // They are not kept for a runner that is listed without a start time again.
  harness.List(2, 20, "rack-", StartTime());
  LONGS_EQUAL(0, harness.speeds->measured_runners());
  CHECK_FALSE(harness.keeper->restored());
}

// The wall clocks of nodes differ. An age below zero would make the estimate
// more certain than it is.
TEST(SpeedKeeper, RowFromAClockThatIsAheadCountsAsNew) {
  SpeedRow row = RowOfOne();
  row.written_wall_ms = kWallMs + 3600000;
  harness.table["rack-0"] = EncodeSpeedRow(row);
  harness.List(2, 20);
  harness.ReadAll();
  const SpeedEstimate estimate = harness.speeds->EstimateOf(Harness::Runner(1));
  LONGS_EQUAL(1500, (harness.now - estimate.measured_at).ms());
}

TEST(SpeedKeeper, UnreadableRowIsLoggedAndSkipped) {
  harness.table["rack-0"] = EncodeSpeedRow(RowOfOne());
  harness.table["rack-1"] = R"({"v":2})";
  harness.List(2, 20);
  harness.ReadAll();
  LONGS_EQUAL(1, harness.speeds->measured_runners());
  LONGS_EQUAL(1, harness.CountLines(LogId::kSpeedRowUnreadable));
}

TEST(SpeedKeeper, EmptyTableTakesOneCall) {
  harness.ReadAll();
  LONGS_EQUAL(1, harness.reads);
  CHECK_TRUE(harness.keeper->next_at() == kNever);
  CHECK_FALSE(harness.keeper->restored());
}

TEST(SpeedKeeper, LargeTableIsReadPageByPage) {
  for (int i = 0; i < 1200; ++i) {
    SpeedRow row = RowOfOne();
    row.runners.front().runner = Harness::Runner(i);
    harness.table[absl::StrCat("rack-", i)] = EncodeSpeedRow(row);
  }
  harness.List(1200, 1);
  harness.ReadAll();
  LONGS_EQUAL(3, harness.reads);
  LONGS_EQUAL(1200, harness.speeds->measured_runners());
}

// Guards against writes for each measurement, which would cost as much as the
// progress of jobs.
TEST(SpeedKeeper, RowIsWrittenOnlyIfAPlacementWouldChange) {
  harness.List(40, 20);
  harness.ReadAll();
  harness.Run(Duration(10000));
  LONGS_EQUAL(0, harness.rows);
  // A runner becomes known.
  harness.Set(Harness::Runner(0), 0.2);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(1, harness.rows);
  // Less than half of the grid's step.
  harness.Set(Harness::Runner(0), 0.24);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(1, harness.rows);
  // Less than half of the deviation.
  harness.Set(Harness::Runner(0), 0.3, 0.3);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(1, harness.rows);
  harness.Set(Harness::Runner(0), 0.3);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(2, harness.rows);
  // A runner of the other rack becomes known, and then better known.
  harness.Set(Harness::Runner(30), 0, 0.3);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(3, harness.rows);
  harness.Set(Harness::Runner(30), 0, 0.1);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(4, harness.rows);
}

// The rows of runners that do not change would become too old to be restored.
TEST(SpeedKeeper, RowOfMeasuredRunnersIsRefreshedBeforeItIsTooOld) {
  harness.List(20, 20);
  harness.ReadAll();
  for (int minute = 0; minute < 60; ++minute) {
    harness.Set(Harness::Runner(0), 0.2);
    harness.Measure();
    harness.Run(Duration(60000));
  }
  CHECK_TRUE(harness.rows >= 5 && harness.rows <= 9);
  harness.BecomeScheduler(TimePoint(5));
  harness.List(20, 20);
  harness.ReadAll();
  LONGS_EQUAL(1, harness.speeds->measured_runners());
}

// Rows that the previous scheduler wrote need not be written again.
TEST(SpeedKeeper, SuccessorDoesNotRepeatUnchangedRows) {
  harness.List(40, 20);
  harness.ReadAll();
  for (int i = 0; i < 40; ++i) harness.Set(Harness::Runner(i), 0.4);
  harness.Measure();
  LONGS_EQUAL(2, harness.Store());
  harness.BecomeScheduler(TimePoint(77));
  harness.List(40, 20);
  harness.ReadAll();
  harness.Run(Duration(30000));
  LONGS_EQUAL(2, harness.rows);
}

// The successor's first measurements would replace all that its predecessor
// knew.
TEST(SpeedKeeper, NothingIsWrittenBeforeTheTableIsRead) {
  harness.List(20, 20);
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Run(Duration(10000));
  LONGS_EQUAL(0, harness.rows);
  harness.ReadAll();
  harness.Run(Duration(1000));
  LONGS_EQUAL(1, harness.rows);
}

// A few writes a second are a share of the store that does not grow with the
// number of runners.
TEST(SpeedKeeper, RowsPerSecondAreBoundedIfAllRunnersChange) {
  constexpr int kRunners = 6000;
  constexpr int kSeconds = 80;
  constexpr int kMaxRows = static_cast<int>(SpeedKeeperOptions().max_rows);
  harness.List(kRunners, 20);
  harness.ReadAll();
  for (int second = 0; second < kSeconds; ++second) {
    for (int i = 0; i < kRunners; ++i) {
      harness.Set(Harness::Runner(i), (i + second) % 2 == 0 ? 0.5 : -0.5);
    }
    harness.Measure();
    const int before = harness.rows;
    harness.Run(Duration(1000));
    CHECK_TRUE(harness.rows - before <= kMaxRows);
  }
  LONGS_EQUAL(kSeconds * kMaxRows, harness.rows);
  // All rows get their turn.
  LONGS_EQUAL(kRunners / 20, harness.table.size());
}

TEST(SpeedKeeper, OneRackIsNotWrittenEverySecond) {
  harness.List(20, 20);
  harness.ReadAll();
  for (int second = 0; second < 60; ++second) {
    harness.Set(Harness::Runner(0), second % 2 == 0 ? 0.5 : -0.5);
    harness.Measure();
    harness.Run(Duration(1000));
  }
  CHECK_TRUE(harness.rows >= 6 && harness.rows <= 12);
}

// A row whose runners do not all fit would otherwise be written again and
// again for those left out.
TEST(SpeedKeeper, RowThatIsTooLargeIsWrittenOnce) {
  constexpr int kRunners = 3000;
  harness.List(kRunners, kRunners);
  harness.ReadAll();
  for (int i = 0; i < kRunners; ++i) harness.Set(Harness::Runner(i), 0.4);
  harness.Measure();
  harness.Run(Duration(60000));
  LONGS_EQUAL(1, harness.rows);
  CHECK_TRUE(harness.bytes < kMaxSpeedRowBytes + kMaxSpeedKeyBytes);
}

TEST(SpeedKeeper, RefusedWriteIsRepeatedWithTheLeaseAsItsCondition) {
  harness.List(20, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Mark();
  const std::optional<CommitRows> refused = harness.SendWrite();
  CHECK_TRUE(refused.has_value());
  LONGS_EQUAL(1, refused->transaction.conditions.size());
  STRCMP_EQUAL(kLeadershipTable,
               refused->transaction.conditions.front().key.table.c_str());
  harness.AnswerWrite(*refused, StoreOutcome::kNotApplied);
  harness.Run(Duration(1000));
  LONGS_EQUAL(1, harness.rows);
  harness.Run(Duration(10000));
  LONGS_EQUAL(1, harness.rows);
}

// The answer may be lost although the write was applied, and a repeated write
// may be applied late. Neither may lose a row or write it twice.
TEST(SpeedKeeper, LostWriteIsRepeatedUnchangedWhileTheSpeedChanges) {
  harness.List(20, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Mark();
  const std::optional<CommitRows> lost = harness.SendWrite();
  harness.AnswerWrite(*lost, StoreOutcome::kUnknown);
  harness.Set(Harness::Runner(0), -0.4);
  harness.Measure();
  harness.now = harness.now + Duration(6000);
  harness.Mark();
  const std::optional<CommitRows> again = harness.SendWrite();
  CHECK_TRUE(again.has_value());
  STRCMP_EQUAL(lost->transaction.puts.front().value.c_str(),
               again->transaction.puts.front().value.c_str());
  harness.Apply(*again);
  harness.AnswerWrite(*again, StoreOutcome::kDone);
  harness.Run(Duration(2000));
  LONGS_EQUAL(2, harness.rows);
  const absl::StatusOr<SpeedRow> row = DecodeSpeedRow(harness.table["rack-0"]);
  DOUBLES_EQUAL(-0.4, row->runners.front().log_pace, 0.02);
}

// A deposed scheduler must not replace the rows of its successor.
TEST(SpeedKeeper, LateWriteOfADeposedSchedulerIsRefused) {
  harness.List(20, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Mark();
  const std::optional<CommitRows> late = harness.SendWrite();
  LONGS_EQUAL(40, late->transaction.conditions.front().revision.value());
  CHECK_TRUE(harness.AnswerWrite(*late, StoreOutcome::kConflict) ==
             StateWriter::LeaseStatus::kDeposed);
}

TEST(SpeedKeeper, FailedReadIsRepeatedWithIncreasingPauses) {
  harness.table["rack-0"] = EncodeSpeedRow(RowOfOne());
  harness.List(2, 20);
  std::vector<std::int64_t> pauses;
  for (int i = 0; i < 9; ++i) {
    const std::optional<ReadRows> read = harness.SendRead();
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(harness.keeper->next_at() == kNever);
    harness.AnswerRead(
        *read, i % 2 == 0 ? StoreOutcome::kUnknown : StoreOutcome::kNotApplied);
    CHECK_FALSE(harness.SendRead().has_value());
    pauses.push_back((harness.keeper->next_at() - harness.now).ms());
    harness.now = harness.keeper->next_at();
  }
  LONGS_EQUAL(200, pauses[0]);
  LONGS_EQUAL(400, pauses[1]);
  LONGS_EQUAL(10000, pauses[8]);
  harness.ReadAll();
  LONGS_EQUAL(1, harness.speeds->measured_runners());
}

TEST(SpeedKeeper, ReadEndsWhenTheRowsWouldBeTooOld) {
  harness.List(20, 20);
  int calls = 0;
  while (const std::optional<ReadRows> read = harness.SendRead()) {
    harness.AnswerRead(*read, StoreOutcome::kUnknown);
    harness.now = harness.keeper->next_at();
    ++calls;
    CHECK_TRUE(calls < 200);
  }
  CHECK_TRUE(harness.keeper->next_at() == kNever);
  // Its own measurements are written from then on.
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Run(Duration(1000));
  LONGS_EQUAL(1, harness.rows);
}

TEST(SpeedKeeper, LateReadDoesNotReplaceMeasurements) {
  harness.table["rack-0"] = EncodeSpeedRow(RowOfOne());
  harness.List(2, 20);
  const std::optional<ReadRows> read = harness.SendRead();
  harness.Set(Harness::Runner(1), 0.6);
  harness.Measure();
  harness.now = harness.now + Duration(3000);
  harness.AnswerRead(*read, StoreOutcome::kDone);
  DOUBLES_EQUAL(0.6, harness.PaceOf(1), 0.02);
  // A second answer to the same read belongs to nobody.
  CHECK_FALSE(harness.keeper->Owns(read->ticket));
}

TEST(SpeedKeeper, RowsOfRacksThatAreGoneAreRemoved) {
  harness.table["gone"] = EncodeSpeedRow(RowOfOne());
  harness.table["unreadable"] = "?";
  harness.List(20, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Run(Duration(60000));
  LONGS_EQUAL(0, harness.removes);
  harness.Run(Duration(10000));
  LONGS_EQUAL(2, harness.removes);
  LONGS_EQUAL(1, harness.table.count("rack-0"));
  LONGS_EQUAL(1, harness.table.size());
}

// Otherwise the next scheduler would use speeds because of the rows.
TEST(SpeedKeeper, RowsAreRemovedWhenSpeedsAreNoLongerInUse) {
  harness.List(40, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Set(Harness::Runner(39), 0.4);
  harness.Measure();
  harness.Run(Duration(5000));
  LONGS_EQUAL(2, harness.table.size());
  harness.Run(Duration(70000), false);
  LONGS_EQUAL(0, harness.table.size());
  // They are written again when speeds are in use again.
  harness.Run(Duration(10000));
  LONGS_EQUAL(2, harness.table.size());
}

TEST(SpeedKeeper, NothingIsWrittenWhileSpeedsAreNotInUse) {
  harness.List(40, 20);
  harness.ReadAll();
  harness.Set(Harness::Runner(0), 0.4);
  harness.Measure();
  harness.Run(Duration(120000), false);
  LONGS_EQUAL(0, harness.writes);
}

// One rack's row would otherwise replace the other's.
TEST(SpeedKeeper, RacksWithTheSameKeyShareARow) {
  const std::string prefix(300, 'r');
  harness.List(4, 2, prefix);
  harness.ReadAll();
  for (int i = 0; i < 4; ++i) {
    harness.Set(Harness::Runner(i), i < 2 ? 0.4 : -0.4);
  }
  harness.Measure();
  harness.Run(Duration(20000));
  LONGS_EQUAL(1, harness.rows);
  LONGS_EQUAL(1, harness.table.count(std::string(200, 'r')));
  harness.BecomeScheduler(TimePoint(77));
  harness.List(4, 2, prefix);
  harness.ReadAll();
  for (int i = 0; i < 4; ++i) {
    DOUBLES_EQUAL(i < 2 ? 0.4 : -0.4, harness.PaceOf(i), 0.02);
  }
}

// Prints the figures in docs/CAPACITY.md. Each runner becomes known, then
// better known, and is measured again every minute for half an hour.
TEST(SpeedKeeper, CostOfAWholeFleetIsBounded) {
  struct Size {
    int runners;
    int per_rack;
  };
  for (const Size& size : {Size{350, 20}, Size{350, 12}, Size{6000, 20}}) {
    Harness site;
    site.List(size.runners, size.per_rack);
    site.ReadAll();
    const auto measure = [&site, &size](double deviation) {
      for (int i = 0; i < size.runners; ++i) {
        site.Set(Harness::Runner(i), i % 3 == 0 ? -0.5 : 0.2, deviation);
      }
      site.Measure();
    };
    measure(0.25);
    site.Run(Duration(10000));
    measure(0.1);
    site.Run(Duration(290000));
    const int first_rows = site.rows;
    const int first_writes = site.writes;
    const std::size_t first_bytes = site.bytes;
    for (int minute = 5; minute < 30; ++minute) {
      measure(0.1);
      site.Run(Duration(60000));
    }
    std::size_t table_bytes = 0;
    for (const auto& [key, value] : site.table) {
      table_bytes += key.size() + value.size();
    }
    const int reads_before = site.reads;
    site.BecomeScheduler(TimePoint(77));
    site.List(size.runners, size.per_rack);
    site.ReadAll();
    const int read_calls = site.reads - reads_before;
    LONGS_EQUAL(size.runners, site.speeds->measured_runners());
    const int racks = (size.runners + size.per_rack - 1) / size.per_rack;
    LONGS_EQUAL(racks, site.table.size());
    LONGS_EQUAL(1, read_calls);
    UT_PRINT(absl::StrCat(size.runners, " runners, ", size.per_rack,
                          " per rack: table ", site.table.size(), " rows, ",
                          table_bytes, " bytes, read in ", read_calls,
                          " calls; first 5 min ", first_rows, " rows, ",
                          first_bytes, " bytes in ", first_writes,
                          " writes; next 25 min ", site.rows - first_rows,
                          " rows, ", site.bytes - first_bytes, " bytes in ",
                          site.writes - first_writes, " writes")
                 .c_str());
  }
}

namespace {

/// Submits independent tasks for most of a small fleet again and again.
void WorkFor(emulator::EmulatedSystem* system, Duration time) {
  constexpr Duration kInterval{2000};
  for (Duration passed; passed < time; passed = passed + kInterval) {
    emulator::SchedulerFixture::SubmitTo(
        system, emulator::SchedulerFixture::Step(100, 1, Duration(1000)));
    system->Run(kInterval);
  }
}

/// Runs batch work on a fleet with fast and slow runners, ends the scheduler,
/// and returns how long its successor takes to use speeds, in milliseconds.
std::int64_t TimeToUseSpeeds(bool keep_rows) {
  emulator::SystemOptions options;
  options.runners = 16;
  emulator::EmulatedSystem system(options);
  std::optional<TimePoint> in_use_at;
  bool ended_use = false;
  system.SetTrace([&](const std::string& line) {
    const bool begins = absl::StrContains(line, "speeds_in_use in_use=yes");
    if (begins && !in_use_at.has_value()) in_use_at = system.now();
    ended_use = ended_use || absl::StrContains(line, "in_use=no");
  });
  system.Run(Duration(3000));
  bool slow = false;
  for (const RunnerId& id : system.RunnerIds()) {
    system.FindRunner(id)->SetSlowness(slow ? 1.5 : 0.2);
    slow = !slow;
  }
  WorkFor(&system, Duration(30000));
  CHECK_TRUE(in_use_at.has_value());
  if (!keep_rows) {
    RowTransaction transaction;
    for (const Row& row :
         system.store().Read(kSpeedTable, "", "", "", 500).rows) {
      transaction.removes.push_back(row.key);
    }
    CHECK_FALSE(transaction.removes.empty());
    system.store().Commit(transaction);
  }
  in_use_at.reset();
  const TimePoint ended_at = system.now();
  const int ended = system.leader();
  system.KillNode(ended, Duration(60000));
  WorkFor(&system, Duration(30000));
  CHECK_TRUE(system.leader() != ended);
  // The successor's first measurements must not end the use of speeds.
  CHECK_FALSE(ended_use);
  for (const std::string& error : system.violations()) FAIL(error.c_str());
  CHECK_TRUE(in_use_at.has_value());
  return (*in_use_at - ended_at).ms();
}

}  // namespace

// Deployments with even runners, or with speeds switched off, pay nothing for
// the rows.
TEST(SpeedKeeper, RowsAreReadAndWrittenOnlyAsTheOptionSays) {
  struct Expected {
    RunnerSpeedUse use;
    bool read;
    bool written;
  };
  for (const Expected& expected : {Expected{RunnerSpeedUse::kOff, false, false},
                                   Expected{RunnerSpeedUse::kAuto, true, false},
                                   Expected{RunnerSpeedUse::kOn, true, true}}) {
    emulator::SystemOptions options;
    options.runner_speeds = expected.use;
    emulator::EmulatedSystem system(options);
    RowTransaction transaction;
    transaction.puts.push_back({{kSpeedTable, "unreadable"}, "?"});
    system.store().Commit(transaction);
    bool read = false;
    system.SetTrace([&read](const std::string& line) {
      read = read || absl::StrContains(line, "speed_row_unreadable");
    });
    system.Run(Duration(3000));
    WorkFor(&system, Duration(20000));
    CHECK_EQUAL(expected.read, read);
    const ReadCompleted rows = system.store().Read(kSpeedTable, "", "", "", 9);
    CHECK_EQUAL(expected.written, rows.rows.size() > 1);
  }
}

// Each change of the scheduler used to lose all that was known about runners.
TEST(SpeedKeeper, SuccessorUsesStoredSpeedsAtOnce) {
  const std::int64_t stored = TimeToUseSpeeds(true);
  const std::int64_t anew = TimeToUseSpeeds(false);
  UT_PRINT(absl::StrCat("speeds in use after ", stored,
                        " ms with stored rows, ", anew, " ms without")
               .c_str());
  // A take-over takes up to two seconds.
  CHECK_TRUE(stored < 2500);
  CHECK_TRUE(stored + 1000 < anew);
}

}  // namespace limeledge::dispatch
