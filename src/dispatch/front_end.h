/// @file
/// Answers callers from the store: every node does, whoever schedules.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_FRONT_END_H_
#define LIMELEDGE_SRC_DISPATCH_FRONT_END_H_

#include <map>
#include <string>

#include "dispatch/catalog.h"
#include "dispatch/context.h"
#include "dispatch/peer_check.h"
#include "dispatch/store_timeout.h"

namespace limeledge::dispatch {

/// Bounds on a caller's call.
struct FrontEndOptions {
  /// A call without an answer is sent again while this much is left of the
  /// caller's time: the store's usual answer, many times over.
  Duration least_try{100};
  /// And not more often than this in all: where connections are reset, sendings
  /// end at once.
  int most_tries = 4;
  /// Callers that were not served are told to come back after this, unless
  /// another node would serve them at once.
  Duration retry_after{1000};
  /// A configuration that was not confirmed for so long can not be the ground
  /// for a refusal. Longer than the wait of a call that follows it.
  Duration catalog_fresh{3500};
};

/// The calls that wait for the store.
///
/// Thread safety: none; use it from one thread.
class FrontEnd {
 public:
  /// `patience` outlives this object.
  FrontEnd(FrontEndOptions options, const StoreTimeout* patience)
      : options_(options), patience_(patience) {}

  /// Begins a call, or answers it at once. `store_answers`: false when the
  /// newest call of this node to the store failed.
  void Handle(Context& ctx, const CallReceived& call, const Catalog* catalog,
              TimePoint catalog_confirmed, bool store_answers);

  bool Owns(Ticket ticket) const { return calls_.count(ticket) != 0; }
  /// `store_answers` as above: a call that was sent twice without an answer
  /// goes on only while others are answered. Callers that were held to the end
  /// of their time by a store that is away could not come back any more.
  void Handle(Context& ctx, const CommitCompleted& answer, bool store_answers);
  void Handle(Context& ctx, const ReadCompleted& answer, bool store_answers);

  /// Takes in why the store does not answer, as far as that is known.
  void SetStoreOutage(StoreOutage loss) { loss_ = loss; }

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
    CallReceived call;
    Stage stage = Stage::kSubmit;
    JobId job;
    QueueId queue;
    WorkspaceId workspace;
    std::string stored_spec;
    RowTransaction transaction;
    /// What is read; sent again when its answer is lost.
    ReadRows read;
    /// When the caller has to be answered.
    TimePoint due;
    /// Sendings of the present write or reading that were not answered.
    int misses = 0;
    /// A try of the write may have been done.
    bool unsettled = false;
  };

  /// When callers that were not served are to come back.
  Duration TimeToComeBack() const;
  const Queue* FindQueue(Context& ctx, const CallReceived& call,
                         const Catalog& catalog, bool fresh,
                         WorkspaceId* workspace);
  /// Begins a query, a count or a cancel.
  void BeginRead(Context& ctx, const CallReceived& call, const Queue& queue,
                 const JobId& id);
  void Submit(Context& ctx, const CallReceived& call, const Queue& queue,
              const WorkspaceId& workspace, const JobId& id);
  void Send(Context& ctx, Pending pending);
  void Read(Context& ctx, Pending pending, Stage stage);
  void SendRead(Context& ctx, Pending pending);
  /// True if there is time for a further sending.
  bool MayResend(TimePoint now, const Pending& pending,
                 bool store_answers) const;
  /// How long the next sending may take.
  Duration BoundOf(TimePoint now, const Pending& pending) const;
  void TakeSubmit(Context& ctx, const Pending& pending,
                  const CommitCompleted& answer);
  /// Notes whose a stored job is, and answers its submit.
  void Accept(Context& ctx, const Pending& pending, const std::string& message);
  void TakeProgress(Context& ctx, Pending pending, const ReadCompleted& answer);
  void TakeJob(Context& ctx, Pending pending, const ReadCompleted& answer);
  void TakeCount(Context& ctx, const Pending& pending,
                 const ReadCompleted& answer);
  void Answer(Context& ctx, const CallReceived& call, CallResult result,
              const std::string& message = "", const std::string& state = "",
              std::int64_t waiting = -1);

  FrontEndOptions options_;
  const StoreTimeout* patience_;
  StoreOutage loss_ = StoreOutage::kUnknown;
  std::map<Ticket, Pending> calls_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_FRONT_END_H_
