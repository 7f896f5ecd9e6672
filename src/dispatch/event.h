/// @file
/// The input events of a dispatcher node.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_EVENT_H_
#define LIMELEDGE_SRC_DISPATCH_EVENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/catalog.h"
#include "dispatch/fencing_token.h"
#include "dispatch/job.h"
#include "dispatch/rows.h"
#include "dispatch/runner.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Correlates a response of the store with its request. Unrelated to the
/// tickets that the advice service issues, which are strings.
using Ticket = Number<struct TicketTag>;

/// The timer set for `Node::next_at()` has expired.
struct TimerFired {};

/// The result of `CommitRows`.
struct CommitCompleted {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// Revision of the written rows.
  Revision revision;
  /// After a conflict: the current rows that the conditions refer to.
  std::vector<Row> rows;
};

/// The result of `ReadRows`.
struct ReadCompleted {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  /// True if the table has further matching rows after the last one in `rows`.
  bool has_more = false;
  /// The current revision of the store.
  Revision newest;
};

/// The result of `AwaitChanges`; `rows` is empty if nothing changed in time.
struct ChangesReceived {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  Revision newest;
  /// The answer is as large as answers get: there may be later changes already.
  bool may_have_more = false;
};

/// The result of `ReadCatalog` or `AwaitCatalog`.
struct CatalogReceived {
  /// True for `AwaitCatalog`.
  bool from_watch = false;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// The configuration; not set if it did not change or could not be read.
  std::optional<Catalog> catalog;
  /// Why the stored configuration could not be decoded; empty if it could.
  std::string error;
  /// Halls to drain (true) or to use again (false).
  std::map<HallId, bool> halls;
  /// True if `halls` is complete: halls missing from it are not drained. False
  /// if `halls` holds only changes.
  bool lists_all_halls = false;
  /// The newest change among those that the answer contains; 0 if there is
  /// none.
  Revision changed_at;
  Revision newest;
};

/// The result of `ListRunners`: the list of runners, or changes of it.
struct RunnersListed {
  bool ok = false;
  /// True if `runners` is the full list; false if it holds only changes.
  bool snapshot = true;
  /// The list includes all changes up to this revision.
  Revision newest;
  /// The answer is as large as answers get: there may be later changes already.
  bool may_have_more = false;
  /// If not a snapshot: the number of changes, including those that later ones
  /// of the same runner replace.
  std::size_t changes = 0;
  std::vector<RunnerInfo> runners;
  /// If not a snapshot: runners whose entries were removed.
  std::vector<RunnerId> removed;
  /// Runners whose entries could not be decoded; they get no tasks.
  std::vector<RunnerId> unreadable;
};

/// A run in progress, as reported by its runner.
struct ReportedRun {
  TaskName task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
};

/// The end of a run, as reported by its runner.
struct ReportedEnd {
  /// Sequence number, by which the scheduler acknowledges the end.
  std::int64_t number = 0;
  TaskName task;
  int run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// The outcome of an order to a runner or of a poll.
enum class OrderOutcome {
  kDone,
  /// Rejected: the runner has seen a higher fencing token.
  kFenced,
  /// Rejected: this run or a newer one was already stopped or ended there.
  kStaleRun,
  /// Rejected: the lease in the order had expired when the order arrived.
  kLeaseExpired,
  kNoCapacity,
  /// Rejected: the advice service's ticket is missing or not valid.
  kInvalidTicket,
  /// Rejected: the order is malformed, or the reason given is unknown.
  kInvalid,
  /// The runner responded that it is busy or unhealthy, and did nothing.
  kUnhealthy,
  /// Another incarnation of the runner responded.
  kOtherIncarnation,
  /// No connection could be opened, so the order was certainly not executed.
  kNotSent,
  /// The connection of a poll was refused, so the poll was not sent. A runner
  /// behind a partition may refuse connections and keep running.
  kConnectionRefused,
  /// No response: the order may have been executed, or may be seconds later.
  kLost,
};

const char* ToString(OrderOutcome outcome);

/// The result of `PollRunner`.
struct RunnerPolled {
  /// The incarnation that the poll was meant for.
  IncarnationId asked;
  PollNumber number;
  /// Identifies the incarnation that responded.
  StartTime start_time;
  /// The token that the call carried.
  FencingToken fence;
  /// Where the poll was sent.
  std::string address;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};

/// The result of `StartRun`. Responses to orders do not identify the
/// incarnation that sent them.
struct StartRunCompleted {
  /// The incarnation that the order was meant for.
  IncarnationId asked;
  /// The token that the call carried.
  FencingToken fence;
  TaskName task;
  int run = 0;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
  /// An earlier attempt got no response and may still be executed.
  bool earlier_attempt_pending = false;
  /// Where the order was sent.
  std::string address;
};

/// The result of `StopRun`.
struct StopRunCompleted {
  /// The incarnation that the order was meant for.
  IncarnationId asked;
  /// The token that the call carried.
  FencingToken fence;
  TaskName task;
  int run = 0;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
  /// Where the order was sent.
  std::string address;
};

/// The result of `RequestAdvice`.
struct AdviceReceived {
  StepName step;
  bool ok = false;
  std::vector<IncarnationId> asked;
  /// Tickets for the runners on which the step may run. Runners in `asked`
  /// without a ticket must not run it.
  std::map<IncarnationId, std::string> tickets;
  /// How long the tickets are valid.
  Duration valid;
};

/// The result of `QueryPeer`.
struct PeerReplied {
  std::string address;
  /// False if the peer did not respond.
  bool answered = false;
  /// True if the peer can reach the store.
  bool store_answers = false;
  /// Time since the store last responded to the peer.
  Duration store_answer_age;
  /// Address at which the peer serves callers.
  std::string callers_address;
};

/// What a node asks of a peer, in addition to whether the store answers it.
enum class PeerRequest {
  kNone,
  /// The scheduler appoints the peer as a standby.
  kAppointStandby,
  /// The scheduler, whose writes the store refuses, offers its lease.
  kOfferLease,
};

/// A peer asks whether this node can reach the store.
struct PeerQueried {
  CallId call;
  PeerRequest request = PeerRequest::kNone;
  /// Epoch of the lease that is offered.
  Epoch epoch;
};

/// The kind of an API call.
enum class CallKind { kSubmit, kQuery, kCancel, kOther };

/// The result of an API call.
enum class CallResult {
  kDone,
  /// The job does not exist.
  kUnknownJob,
  kUnknownKey,
  kUnknownQueue,
  /// The call is malformed and changed nothing.
  kInvalid,
  /// The id belongs to another job.
  kConflict,
  /// Not accepted: this call stored nothing and never will.
  kNotAccepted,
  /// Refused like `kNotAccepted`, because the job would end too late to be of
  /// use. The caller may come back.
  kPastUse,
  /// Refused like `kNotAccepted`, because no runner can ever run the job.
  kNeverServable,
  /// Refused like `kNotAccepted`, because the job was cancelled before it was
  /// stored. The id can be used again later.
  kCancelled,
  /// The outcome is unknown: the call may have been accepted.
  kUnknown,
};

/// Returns the result's name in logs.
const char* ToString(CallResult result);

/// The result that is certain although an earlier write of the call got no
/// answer: `result` if it holds in any case, else `kUnknown`. Thread-safe.
CallResult ResultAfterUncertainWrite(CallKind kind, CallResult result);

/// An API call, not yet matched to a queue of the catalog.
struct CallReceived {
  CallId call;
  CallKind kind = CallKind::kOther;
  std::string host;
  std::string path;
  /// API key; empty if the call has none.
  std::string key;
  /// For `kSubmit`: payload, steps and recurrence. The front end sets the rest.
  JobSpec spec;
  /// Why the request body is invalid; empty if it is valid.
  std::string spec_error;
  /// The request body is valid, but the job is larger than the product accepts;
  /// `spec_error` says by what bound.
  bool spec_too_large = false;
  /// Time until the caller stops waiting for the response.
  Duration deadline{3000};
  /// Another node passed the call on to this one.
  bool forwarded = false;
  /// A write of the call got no answer, at this node or at the one that passed
  /// the call on: it may have been applied, or may still be.
  bool may_be_applied = false;
  /// The newest catalog that the other node knows. An older one must not decide
  /// the call.
  CatalogVersion required_version;
  /// The catalog by which the front end decides the call. The front end sets
  /// it.
  CatalogVersion version;
};

/// The outcome of `ForwardCall`. The response itself goes to the caller.
struct ForwardCompleted {
  CallId call;
  std::string path;
  /// The node to which the call was passed on.
  std::string address;
  /// Not set if that node did not respond.
  std::optional<CallResult> result;
  /// What the caller was told.
  CallResult told = CallResult::kUnknown;
  /// An earlier write of the call got no answer.
  bool may_be_applied = false;
  /// The catalog by which that node decided the call; 0 if by none.
  CatalogVersion version;
};

/// The process was told to shut down.
struct ShutdownRequested {};

/// The state of this process was requested for diagnostics.
struct StateRequested {
  CallId call;
};

/// The settings file was read again after a signal. The settings in use change
/// only with a restart of the process.
struct SettingsReloaded {};

using EventBody =
    std::variant<TimerFired, CommitCompleted, ReadCompleted, ChangesReceived,
                 CatalogReceived, RunnersListed, RunnerPolled,
                 StartRunCompleted, StopRunCompleted, AdviceReceived,
                 PeerReplied, PeerQueried, CallReceived, ForwardCompleted,
                 ShutdownRequested, SettingsReloaded, StateRequested>;

/// One input of the reducer, with the time at which it is processed.
struct Event {
  /// Monotonic time.
  TimePoint now;
  /// Wall-clock time in Unix milliseconds.
  std::int64_t wall_ms = 0;
  EventBody body;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_EVENT_H_
