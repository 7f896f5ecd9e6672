/// @file
/// Serves API calls from the store. Every node does, leader or not.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_FRONT_END_H_
#define LIMELEDGE_SRC_DISPATCH_FRONT_END_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/admission.h"
#include "dispatch/catalog.h"
#include "dispatch/catalog_watcher.h"
#include "dispatch/context.h"
#include "dispatch/peer_check.h"
#include "dispatch/row_codec.h"
#include "dispatch/store_timeout.h"
#include "dispatch/tombstones.h"
#include "dispatch/write_quota.h"

namespace limeledge::dispatch {

/// Limits on the handling of an API call.
struct FrontEndOptions {
  /// A store request without a response is retried only if at least this much
  /// time remains before the caller's deadline: many times the usual latency of
  /// the store.
  Duration min_attempt_time{100};
  /// Maximum number of attempts. The deadline alone is not enough: attempts
  /// fail immediately while connections are reset.
  int max_attempts = 4;
  /// The `Retry-After` of calls that were not served, unless another node can
  /// serve them immediately.
  Duration retry_after{1000};
  /// A node to which a call is passed on has this long to respond; afterwards
  /// the caller still has time for another attempt.
  Duration forward_timeout{1000};
  /// Numbers of waiting jobs are read from the store again after this time.
  /// Together with the scheduler's interval for writing them, it stays below
  /// the age that callers accept.
  Duration max_counts_age{1000};
  /// A catalog that was not confirmed for this long may be outdated: calls that
  /// it does not allow are told to retry instead of being rejected. Longer than
  /// the long poll that watches the catalog.
  Duration max_catalog_age{3500};
  /// Ids of submits whose job may be stored are remembered up to this number:
  /// at ten submits per second, the callers' retries of several minutes.
  std::size_t max_remembered_ids = 4096;
  /// A job whose row would exceed them is refused.
  StoreLimits store_limits;
  /// Submits that may have waited at this node for longer are refused: their
  /// job may have been cancelled meanwhile, and its tombstone may be removed by
  /// now.
  Duration max_submit_age{40000};
  /// After a pause of the process, calls that were received during the pause
  /// are read within this time.
  Duration pause_backlog_time{1000};
  /// The `Retry-After` of submits whose job was cancelled before it was stored.
  Duration cancelled_retry_after = kTombstoneRetention;
  /// Limits on the tombstones that callers cause.
  WriteQuotaOptions tombstone_quota;
};

/// Handles API calls, and keeps those that wait for the store.
///
/// Thread safety: none; use it from one thread.
class FrontEnd {
 public:
  /// `store_timeout` and `catalog` must outlive this object.
  FrontEnd(FrontEndOptions options, const StoreTimeout* store_timeout,
           const CatalogWatcher* catalog, AdmissionOptions admission = {})
      : options_(options),
        store_timeout_(store_timeout),
        catalog_(catalog),
        admission_(admission),
        tombstone_quota_(options.tombstone_quota) {}

  /// Starts a call or responds to it immediately. `store_answers` is false if
  /// this node considers the store unavailable.
  void Handle(Context& ctx, CallReceived call, bool store_answers);
  /// True if this node has no catalog that may decide the call: another node
  /// has used a newer one.
  bool IsOutdatedFor(const CallReceived& call) const {
    return catalog_->version() <
           std::max(call.required_version, catalog_->known_version());
  }
  /// Logs how another node answered a call.
  void Handle(Context& ctx, const ForwardCompleted& outcome);

  /// True if another node can serve the call.
  bool CanForward(const CallReceived& call) const {
    return serving_peer_.has_value() && !call.forwarded;
  }

  /// True if the store request belongs to a call of this front end.
  bool Owns(Ticket ticket) const { return calls_.count(ticket) != 0; }
  /// Continue the call that a store response belongs to. While the store is
  /// unavailable (`store_answers` is false), a call is given up after two
  /// attempts without a response: a caller that waits until its deadline has no
  /// time left to retry elsewhere.
  void Handle(Context& ctx, const CommitCompleted& answer, bool store_answers);
  void Handle(Context& ctx, const ReadCompleted& answer, bool store_answers);

  /// Sets whether a store outage affects only this node, and the address at
  /// which another node, which reaches the store, serves callers.
  void SetStoreOutage(
      StoreOutage outage,
      const std::optional<std::string>& serving_peer = std::nullopt) {
    outage_ = outage;
    serving_peer_ = serving_peer;
  }

  /// Sets the forecast by which submits are refused. It is used until the next
  /// call of this function, and must live until then.
  void SetForecast(const KnownSummary& forecast) { forecast_ = forecast; }

  /// Sets the number of nodes, which share the quota of tombstones.
  void SetNodeCount(std::int64_t nodes) {
    tombstone_quota_.SetNodeCount(nodes);
  }

  /// Records that the process was paused for `time`, until now.
  void HandleProcessPause(TimePoint now, Duration time) {
    pause_ended_at_ = now;
    pause_time_ = time;
  }

  /// True if no call is pending.
  bool idle() const { return calls_.empty(); }

 private:
  /// The store request that a call waits for.
  enum class Stage {
    kSubmit,
    /// Reads the job row before a submit is refused: an earlier attempt at
    /// another node may have stored it.
    kReadBeforeRefusal,
    /// Reads the job row of a submit that another node may have stored, before
    /// the catalog decides.
    kReadBeforeDecision,
    /// Reads the progress row, for a query.
    kReadProgress,
    /// Reads the job row, for a query or before a cancel.
    kReadJob,
    kCancel,
    /// Writes the tombstone of a job that is cancelled before it is stored.
    kTombstone,
    /// Reads the numbers of waiting jobs.
    kCount,
  };
  /// A call that waits for the store.
  struct Pending {
    CallReceived call;
    Stage stage = Stage::kSubmit;
    JobId job;
    QueueId queue;
    WorkspaceId workspace;
    /// The encoded job of a submit.
    std::string encoded_spec;
    /// Why the submit is refused if its job is not stored.
    std::optional<Refusal> refusal;
    RowTransaction transaction;
    /// The current read request, kept for retries.
    ReadRows read;
    /// When the latest read was sent.
    TimePoint sent_at;
    /// When the caller stops waiting.
    TimePoint deadline;
    /// Attempts of the current read or commit that got no response.
    int unanswered = 0;
  };

  /// The delay after which callers that were not served should retry.
  Duration RetryAfter() const;
  /// Decides a call by the catalog.
  void Decide(Context& ctx, const CallReceived& call, bool store_answers);
  /// Passes a call on to a node that reaches the store. That node also decides
  /// whether the call is allowed, by no older catalog than this node knows.
  /// Submits and cancels are idempotent, so that a call which `may_be_applied`
  /// can be passed on too.
  void Forward(Context& ctx, CallReceived call);
  /// Passes a call on whose request to the store got no answer.
  void ForwardPending(Context& ctx, const Pending& pending);
  /// Returns the queue of the call and sets the workspace of its key. Responds
  /// to the call and returns null if the catalog does not allow it.
  const Queue* FindQueue(Context& ctx, const CallReceived& call,
                         const Catalog& catalog, bool fresh,
                         WorkspaceId* workspace);
  /// Starts a query, a count or a cancel.
  void StartRead(Context& ctx, const CallReceived& call, const Queue& queue,
                 const WorkspaceId& workspace, const JobId& id);
  /// True if a call that is handled now may have waited for longer than
  /// `max_submit_age` while the process was paused.
  bool MayBeOlderThanTombstones(TimePoint now) const;
  void Submit(Context& ctx, const CallReceived& call, const Catalog& catalog,
              const Queue& queue, const WorkspaceId& workspace,
              const JobId& id);
  /// Starts the first write of a submit. From then on the job may be stored.
  void Store(Context& ctx, Pending pending);
  /// Reads the row of a submit that may be stored, and accepts the submit if it
  /// is.
  void LookUp(Context& ctx, const CallReceived& call);
  void HandleReadBeforeDecision(Context& ctx, const Pending& pending,
                                const ReadCompleted& answer,
                                bool store_answers);
  /// Refuses a submit unless its job is stored.
  void HandleReadBeforeRefusal(Context& ctx, Pending pending,
                               const ReadCompleted& answer);
  void Refuse(Context& ctx, const Pending& pending);
  void SendCommit(Context& ctx, Pending pending);
  /// Starts the read of a stage.
  void Read(Context& ctx, Pending pending, Stage stage);
  void SendRead(Context& ctx, Pending pending);
  /// True if another attempt is allowed and in time.
  bool CanRetry(TimePoint now, const Pending& pending,
                bool store_answers) const;
  /// Timeout of the next attempt.
  Duration AttemptTimeout(TimePoint now, const Pending& pending) const;
  /// Cancels a job, given the rows that exist of it. If it is not stored,
  /// writes its tombstone: its submit may be on the way.
  void CancelJob(Context& ctx, Pending pending, const std::vector<Row>& rows);
  /// `seen` is the revision of the existing tombstone; 0 if there is none. An
  /// existing one is written again, so that it is kept for the whole time.
  void WriteTombstone(Context& ctx, Pending pending, Revision seen);
  /// The rows changed after they were read.
  void HandleCancelConflict(Context& ctx, Pending pending,
                            const CommitCompleted& answer);
  void HandleSubmitConflict(Context& ctx, const Pending& pending,
                            const CommitCompleted& answer);
  /// Logs that the job was accepted, and responds to its submit.
  void Accept(Context& ctx, const Pending& pending, const std::string& message);
  void HandleProgress(Context& ctx, Pending pending,
                      const ReadCompleted& answer);
  void HandleJob(Context& ctx, Pending pending, const ReadCompleted& answer);
  void HandleCount(Context& ctx, const Pending& pending,
                   const ReadCompleted& answer);
  /// Responds with the number of waiting jobs in a queue.
  void RespondWithCount(Context& ctx, const CallReceived& call,
                        const QueueId& queue);
  /// Responds with the decision, or with what is certain if an earlier write of
  /// the call may be applied.
  void Respond(Context& ctx, const CallReceived& call, CallResult decision,
               const std::string& message = "", const std::string& state = "",
               std::int64_t waiting = -1,
               std::optional<Duration> retry_after = std::nullopt);

  FrontEndOptions options_;
  const StoreTimeout* store_timeout_;
  const CatalogWatcher* catalog_;
  StoreOutage outage_ = StoreOutage::kUnknown;
  std::optional<std::string> serving_peer_;
  std::map<Ticket, Pending> calls_;
  Admission admission_;
  WriteQuota tombstone_quota_;
  TimePoint pause_ended_at_;
  Duration pause_time_;
  KnownSummary forecast_;
  /// Ids of submits that this node sent to the store, the oldest first.
  std::deque<JobId> stored_ids_;
  std::set<JobId> stored_id_set_;
  /// Numbers of waiting jobs as last read, and when that read was sent.
  WaitingCounts waiting_counts_;
  std::optional<TimePoint> counts_read_at_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_FRONT_END_H_
