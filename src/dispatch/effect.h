/// @file
/// Everything that a dispatcher node has done for it, as data.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_EFFECT_H_
#define LIMELEDGE_SRC_DISPATCH_EFFECT_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/log_event.h"
#include "dispatch/event.h"

namespace limeledge::dispatch {

/// Which calls to the store may not wait for each other.
enum class StoreLane {
  kLeader,
  kCallers,
  kJobFeed,
  /// The scheduler's own calls about jobs, one lane for each part: a take-over
  /// must not wait behind callers' calls whose answers are lost.
  kScheduler,
  /// Rows of peers, which nothing waits for.
  kPeers,
};

struct CommitRows {
  Ticket ticket;
  StoreLane lane = StoreLane::kCallers;
  RowTransaction transaction;
  Duration timeout;
};

/// Reads the rows of a part of a table from `from` to before `to`.
struct ReadRows {
  Ticket ticket;
  StoreLane lane = StoreLane::kCallers;
  std::string table;
  std::string partition;
  std::string from;
  std::string to;
  int limit = 500;
  Duration timeout;
};

/// Waits for changes of a table after a revision.
struct AwaitChanges {
  Ticket ticket;
  std::string table;
  Revision after;
  Duration wait;
  /// An answer is waited for no longer than this, `wait` included.
  Duration timeout;
};

/// Reads the configuration.
struct ReadCatalog {};
/// Waits for a newer configuration than that of a revision.
struct AwaitCatalog {
  Revision after;
  Duration wait;
  Duration timeout;
};

/// Reads the list of runners whole, or waits for changes of it.
struct ListRunners {
  /// What changed after this revision is enough; 0 asks for the whole list.
  Revision after;
  /// How long a change is waited for.
  Duration wait;
  /// Of each page of the whole list, or of the wait for changes.
  Duration timeout;
};

/// Where an order goes: the life of a runner that is meant, at an address. A
/// next life under the same id obeys it as well.
struct OrderTarget {
  IncarnationId incarnation;
  std::string address;
  Epoch epoch;
};

/// Asks what runs and what ended; grants a lease on everything that runs.
struct PollRunner {
  OrderTarget target;
  PollNumber number;
  std::int64_t acknowledged_end = 0;
  /// End of the lease on the runner's clock; 0 grants none.
  std::int64_t until_ms = 0;
  /// The answer waits this long for an end.
  Duration wait;
};

struct StartRun {
  OrderTarget target;
  TaskName task;
  int run = 0;
  std::string payload;
  std::string checkpoint;
  /// Where the queue needs advice; else empty.
  std::string ticket;
  std::int64_t until_ms = 0;
};

struct StopRun {
  OrderTarget target;
  TaskName task;
  int run = 0;
};

/// Asks on which of the runners the step may run.
struct RequestAdvice {
  StepName step;
  std::vector<IncarnationId> runners;
};

/// Asks a peer whether the store answers it.
struct QueryPeer {
  std::string address;
  Duration timeout;
};

/// How a caller's call ended.
enum class CallResult {
  kDone,
  /// The job is not there.
  kUnknownJob,
  kUnknownKey,
  kUnknownQueue,
  /// The call is malformed; it changed nothing.
  kInvalid,
  /// The id names another job.
  kConflict,
  /// Not taken; it will never run by this call.
  kNotAccepted,
  /// It may have been taken.
  kUnknown,
};

struct RespondToCall {
  CallId call;
  CallResult result = CallResult::kDone;
  /// With a query: the job's state.
  std::string state;
  /// With a count: the number of waiting jobs; -1 for none.
  std::int64_t waiting = -1;
  std::string message;
  /// When to come back; nothing for no advice.
  std::optional<Duration> retry_after;
};

/// The state that was asked for, as JSON.
struct RespondWithState {
  CallId call;
  std::string text;
};

struct SetReady {
  bool ready = false;
};

struct WriteLog {
  LogLine line;
};

/// All is handed over; the process may end.
struct Exit {};

using Effect = std::variant<CommitRows, ReadRows, AwaitChanges, ReadCatalog,
                            AwaitCatalog, ListRunners, PollRunner, StartRun,
                            StopRun, RequestAdvice, QueryPeer, RespondToCall,
                            RespondWithState, SetReady, WriteLog, Exit>;
using Effects = std::vector<Effect>;

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_EFFECT_H_
