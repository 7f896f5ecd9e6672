/// @file
/// Everything that can happen to a dispatcher node.
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
#include "dispatch/job.h"
#include "dispatch/rows.h"
#include "dispatch/runner.h"
#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// Matches an answer of the store to its call.
using Ticket = Number<struct TicketTag>;

/// The moment that was asked for has come.
struct TimerFired {};

struct CommitCompleted {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// Revision of what was written.
  Revision revision;
  /// With a conflict: the rows of the conditions as they are.
  std::vector<Row> rows;
};

struct ReadCompleted {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  /// More rows follow after the last one.
  bool has_more = false;
  /// Newest revision of the store.
  Revision newest;
};

/// Changes of a table, or nothing new within the wait.
struct ChangesReceived {
  Ticket ticket;
  StoreOutcome outcome = StoreOutcome::kUnknown;
  std::vector<Row> rows;
  Revision newest;
};

/// The configuration was read, or found unchanged within a wait.
struct CatalogReceived {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /// The configuration, if the answer holds one.
  std::optional<Catalog> catalog;
  /// Why a configuration that is there could not be read; empty if it could.
  std::string error;
  /// Halls that are to be emptied (true), or are given back (false).
  std::map<HallId, bool> halls;
  /// Halls that are not named are not to be emptied; else they are as they
  /// were.
  bool lists_all_halls = false;
  Revision newest;
};

/// The list of runners, or what changed of it.
struct RunnersListed {
  bool ok = false;
  /// Runners that are not named are not listed; else they are as they were.
  bool snapshot = true;
  /// The list as of this revision, at least.
  Revision newest;
  std::vector<RunnerInfo> runners;
  /// With changes: runners whose entries are gone.
  std::vector<RunnerId> removed;
  /// Runners whose entries could not be read; they get no work.
  std::vector<RunnerId> unreadable;
};

struct ReportedRun {
  TaskName task;
  int run = 0;
  std::string checkpoint;
  int percent = 0;
};

struct ReportedEnd {
  std::int64_t number = 0;
  TaskName task;
  int run = 0;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// What became of an order or a look at a runner.
enum class OrderOutcome {
  kDone,
  /// The runner obeys a newer scheduler.
  kFenced,
  /// That run, or a newer one, was stopped or ended there.
  kStaleRun,
  /// Its lease was over when it came.
  kLeaseExpired,
  kNoCapacity,
  /// The ticket of the advice does not hold.
  kInvalidTicket,
  /// The order makes no sense to the runner.
  kInvalid,
  /// The runner is not well and did nothing.
  kUnhealthy,
  /// Another life of the runner answered.
  kOtherIncarnation,
  /// No connection came about: surely nothing was done.
  kNotSent,
  /// No answer: it may have been done, or may be done seconds later.
  kLost,
};

const char* ToString(OrderOutcome outcome);

struct RunnerPolled {
  /// The life that was to be looked at.
  IncarnationId asked;
  PollNumber number;
  /// Tells which life of the runner answered.
  StartTime start_time;
  Epoch epoch;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
  std::vector<ReportedRun> running;
  std::vector<ReportedEnd> ended;
};

/// Answers to orders do not tell which life of the runner gave them.
struct StartRunCompleted {
  /// The life that the order was meant for.
  IncarnationId asked;
  Epoch epoch;
  TaskName task;
  int run = 0;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
  /// It was sent before without an answer, and that may still be carried out.
  bool earlier_attempt_pending = false;
};

struct StopRunCompleted {
  IncarnationId asked;
  Epoch epoch;
  TaskName task;
  int run = 0;
  OrderOutcome outcome = OrderOutcome::kLost;
  std::int64_t clock_ms = 0;
};

/// On which of the runners that were asked about the step may run.
struct AdviceReceived {
  StepName step;
  bool ok = false;
  std::vector<IncarnationId> asked;
  /// Tickets of those that may.
  std::map<IncarnationId, std::string> tickets;
  /// How long the tickets hold.
  Duration valid;
};

/// What a peer tells of the store.
struct PeerReplied {
  std::string address;
  /// False if the peer itself does not answer.
  bool answered = false;
  /// The store answers that peer.
  bool store_answers = false;
  /// How long ago it last did.
  Duration store_answer_age;
};

/// What a caller asks for.
enum class CallKind { kSubmit, kQuery, kCancel, kOther };

/// A caller's call, with its place still to be found in the catalog.
struct CallReceived {
  CallId call;
  CallKind kind = CallKind::kOther;
  std::string host;
  std::string path;
  /// Key that the call carries; empty for none.
  std::string key;
  /// With `kSubmit`: the payload, steps and recurrence.
  JobSpec spec;
  /// What is wrong with the body; empty if nothing is.
  std::string spec_error;
  /// Time until the caller gives up.
  Duration deadline{3000};
};

/// The process was asked to end.
struct ShutdownRequested {};

/// Somebody wants to see this process's state.
struct StateRequested {
  CallId call;
};

/// The process's settings were read again after a signal; what is used of them
/// does not change while a process lives.
struct SettingsReloaded {};

using EventBody =
    std::variant<TimerFired, CommitCompleted, ReadCompleted, ChangesReceived,
                 CatalogReceived, RunnersListed, RunnerPolled,
                 StartRunCompleted, StopRunCompleted, AdviceReceived,
                 PeerReplied, CallReceived, ShutdownRequested, SettingsReloaded,
                 StateRequested>;

struct Event {
  TimePoint now;
  std::int64_t wall_ms = 0;
  EventBody body;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_EVENT_H_
