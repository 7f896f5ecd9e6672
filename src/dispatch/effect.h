/// @file
/// The effects that a dispatcher node requests, as data.
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
#include "dispatch/fencing_token.h"

namespace limeledge::dispatch {

/// Independent lanes of store requests: a request never queues behind requests
/// of another lane.
enum class StoreLane {
  kLeader,
  kCallers,
  kJobFeed,
  /// Requests of the scheduler about jobs, with one lane for each partition. A
  /// take-over must not queue behind requests of callers that get no response.
  kScheduler,
  /// Rows with the addresses of peers or with speeds of runners; never urgent.
  kPeers,
};

/// Executes a transaction.
struct CommitRows {
  Ticket ticket;
  StoreLane lane = StoreLane::kCallers;
  RowTransaction transaction;
  Duration timeout;
};

/// Reads the rows of one partition of a table with keys in [`from`, `to`).
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

/// Long-polls for changes of a table after a revision.
struct AwaitChanges {
  Ticket ticket;
  std::string table;
  Revision after;
  Duration wait;
  /// Timeout of the request, including `wait`.
  Duration timeout;
};

/// Reads the configuration.
struct ReadCatalog {};

/// Long-polls for a configuration newer than a revision.
struct AwaitCatalog {
  Revision after;
  Duration wait;
  Duration timeout;
};

/// Reads the full list of runners, or long-polls for changes of it.
struct ListRunners {
  /// Changes after this revision are requested; 0 requests the full list.
  Revision after;
  /// How long the store may hold the request until something changes.
  Duration wait;
  /// Timeout of each page of the full list, or of the long poll.
  Duration timeout;
};

/// The recipient of an order. Incarnations share the address of their runner:
/// the order is also executed by a later incarnation with the same id, unless
/// that one has seen a higher fencing token.
struct OrderTarget {
  IncarnationId incarnation;
  std::string address;
  FencingToken fence;
};

/// Asks a runner which runs are in progress and which ended, and grants a lease
/// on those in progress.
struct PollRunner {
  OrderTarget target;
  PollNumber number;
  /// Number of the newest end that the scheduler has processed.
  std::int64_t acknowledged_end = 0;
  /// End of the lease by the runner's clock; 0 grants none.
  std::int64_t until_ms = 0;
  /// How long the runner may hold the response until a run ends.
  Duration wait;
};

/// Orders a runner to start a run of a task.
struct StartRun {
  OrderTarget target;
  TaskName task;
  int run = 0;
  std::string payload;
  std::string checkpoint;
  /// Ticket of the advice service; empty if the queue needs none.
  std::string ticket;
  /// End of the lease by the runner's clock.
  std::int64_t until_ms = 0;
};

/// Orders a runner to stop a run.
struct StopRun {
  OrderTarget target;
  TaskName task;
  int run = 0;
};

/// Asks the advice service on which of the runners a step may run.
struct RequestAdvice {
  StepName step;
  std::vector<IncarnationId> runners;
  /// The time that the service is expected to take.
  Duration service_time;
};

/// Asks a peer whether it can reach the store.
struct QueryPeer {
  std::string address;
  Duration timeout;
  PeerRequest request = PeerRequest::kNone;
  /// Epoch of the lease that is offered.
  Epoch epoch;
};

/// Responds to `PeerQueried`.
struct RespondToPeer {
  CallId call;
  bool store_answers = false;
  /// Time since the store last responded to this node.
  Duration store_answer_age;
};

/// Responds to an API call.
struct RespondToCall {
  CallId call;
  CallResult result = CallResult::kDone;
  /// For a query of a job: its state.
  std::string state;
  /// For a query of a queue: the number of waiting jobs; otherwise -1.
  std::int64_t waiting = -1;
  std::string message;
  /// How long the caller should wait before a retry; not set if a retry
  /// would not help.
  std::optional<Duration> retry_after;
  /// The catalog by which the call was decided; 0 if by none.
  CatalogVersion version;
};

/// Passes an API call on to another node, whose response goes to the caller.
struct ForwardCall {
  CallReceived call;
  /// Address at which the other node serves callers.
  std::string address;
  Duration timeout;
};

/// Responds to `StateRequested` with the state as JSON.
struct RespondWithState {
  CallId call;
  std::string text;
};

/// Sets what the readiness probe reports.
struct SetReady {
  bool ready = false;
};

struct WriteLog {
  LogLine line;
};

/// Ends the process: the lease is released and no call is pending, or the time
/// for the shutdown is over.
struct Exit {};

using Effect =
    std::variant<CommitRows, ReadRows, AwaitChanges, ReadCatalog, AwaitCatalog,
                 ListRunners, PollRunner, StartRun, StopRun, RequestAdvice,
                 QueryPeer, RespondToPeer, RespondToCall, ForwardCall,
                 RespondWithState, SetReady, WriteLog, Exit>;
using Effects = std::vector<Effect>;

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_EFFECT_H_
