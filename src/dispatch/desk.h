/// @file
/// Answers callers from the store: every node does, whoever schedules.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_DESK_H_
#define LIMELEDGE_SRC_DISPATCH_DESK_H_

#include <map>
#include <string>

#include "dispatch/catalog.h"
#include "dispatch/context.h"

namespace limeledge::dispatch {

/// Bounds on a caller's call.
struct DeskOptions {
  /// Bound on one call to the store; a store eighty times slower than usual
  /// still answers.
  Duration call_timeout{1200};
  /// A write without an answer is tried so often in all.
  int most_tries = 2;
  /// Callers that were not served are told to come back after this.
  Duration retry_after{1000};
  /// A configuration that was not confirmed for so long can not be the ground
  /// for a refusal. Longer than the wait of a call that follows it.
  Duration catalog_fresh{3500};
};

/// The calls that wait for the store.
///
/// Thread safety: none; use it from one thread.
class Desk {
 public:
  explicit Desk(DeskOptions options) : options_(options) {}

  /// Begins a call, or answers it at once. `store_answers`: false when the
  /// newest call of this node to the store failed.
  void Take(Context& ctx, const CallArrived& call, const Catalog* catalog,
            TimePoint catalog_confirmed, bool store_answers);

  bool Owns(Ticket ticket) const { return calls_.count(ticket) != 0; }
  void Take(Context& ctx, const TransactionAnswered& answer);
  void Take(Context& ctx, const RowsAnswered& answer);

  bool idle() const { return calls_.empty(); }

 private:
  enum class Stage {
    kSubmit,
    /// Progress is read, for a query.
    kReadProgress,
    /// The job is read, for a query or before a cancel.
    kReadJob,
    kCancel,
    kCount,
  };
  struct Pending {
    CallArrived call;
    Stage stage = Stage::kSubmit;
    JobId job;
    QueueId queue;
    std::string stored_spec;
    RowTransaction transaction;
    int tries = 0;
    /// A try of the write may have been done.
    bool unsettled = false;
  };

  const Queue* FindQueue(Context& ctx, const CallArrived& call,
                         const Catalog& catalog, bool fresh,
                         WorkspaceId* workspace);
  /// Begins a query, a count or a cancel.
  void BeginRead(Context& ctx, const CallArrived& call, const Queue& queue,
                 const JobId& id);
  void Submit(Context& ctx, const CallArrived& call, const Queue& queue,
              const WorkspaceId& workspace, const JobId& id);
  void Send(Context& ctx, Pending pending);
  void Read(Context& ctx, Pending pending, Stage stage);
  void TakeSubmit(Context& ctx, const Pending& pending,
                  const TransactionAnswered& answer);
  void TakeProgress(Context& ctx, Pending pending, const RowsAnswered& answer);
  void TakeJob(Context& ctx, Pending pending, const RowsAnswered& answer);
  void TakeCount(Context& ctx, const Pending& pending,
                 const RowsAnswered& answer);
  void Answer(Context& ctx, const CallArrived& call, CallResult result,
              const std::string& message = "", const std::string& state = "",
              std::int64_t waiting = -1);

  DeskOptions options_;
  std::map<Ticket, Pending> calls_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_DESK_H_
