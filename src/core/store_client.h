/// @file
/// Sends writes to the table service and follows its changes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_STORE_CLIENT_H_
#define LIMELEDGE_SRC_CORE_STORE_CLIENT_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/context.h"
#include "core/event.h"
#include "limeledge/commit_queue.h"
#include "limeledge/rate_limiter.h"

namespace limeledge {

/// Names a request inside one process.
using RequestHandle = Number<struct RequestHandleTag>;

/// A caller submitted a job.
struct JobCreation {
  CallId call;
  JobRow job;
};
/// A planner moved a job on.
struct JobTransition {
  HallId hall;
  JobRow job;
};
struct JobCancellation {
  CallId call;
  JobId job;
};
struct OwnershipWrite {
  HallId hall;
  OwnershipAction action = OwnershipAction::kNone;
  OwnershipRecord record;
  /// Before the write was sent: the lease counts from here.
  TimePoint proposed_at;
};
struct SettingsWrite {
  CallId call;
  SettingsCopy copy;
};
struct ClaimCreation {
  RequestHandle request;
};
struct ClaimAnswer {
  RequestHandle request;
};
struct ClaimRelease {
  RequestHandle request;
};
struct Cleanup {};

/// Why something is written; decides who handles the result.
using WritePurpose = std::variant<JobCreation, JobTransition, JobCancellation,
                                  OwnershipWrite, SettingsWrite, ClaimCreation,
                                  ClaimAnswer, ClaimRelease, Cleanup>;

/// A write to be queued.
struct WriteRequest {
  WritePriority priority = WritePriority::kJobs;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  TimePoint give_up;
  WritePurpose purpose;
};

/// A write whose fate is known.
struct FinishedWrite {
  WritePurpose purpose;
  IntentOutcome outcome = IntentOutcome::kNotWritten;
  Revision revision;
  std::vector<Write> writes;
  /// Present rows of failed conditions.
  std::vector<Row> current;
};

/// One transaction in flight at a time, one reading of changes at a time.
///
/// Thread safety: none; belongs to the reducer.
class StoreClient {
 public:
  explicit StoreClient(const Identity& self);

  /// Queues a write; it is sent by the next `Advance`.
  void Push(WriteRequest request);

  /// Handles replies. Rows that became known are to be applied by the caller.
  std::vector<FinishedWrite> OnTransactionReply(Context& ctx,
                                                const TransactionReply& reply);
  void OnRowsRead(Context& ctx, const RowsRead& read);

  /// Gives up old writes; call it on every tick.
  std::vector<FinishedWrite> Expire(Context& ctx);

  /// Emits what can be sent now; call it after every event.
  void Advance(Context& ctx);

  /// Reads changes at once rather than at the next poll. Returns the number
  /// of the reading that will show everything committed before this call.
  std::int64_t ReadSoon();
  /// Number of the last reading that ended well and whole.
  std::int64_t readings() const { return readings_done_; }

  std::size_t waiting() const { return queue_.waiting(); }
  bool in_doubt() const { return queue_.in_doubt(); }
  /// True when nothing waits and nothing is in flight.
  bool idle() const;
  /// Writes that wait or are in flight.
  std::size_t unfinished() const { return pending_.size(); }

 private:
  struct PendingWrite {
    WritePurpose purpose;
    std::vector<Write> writes;
  };

  std::vector<FinishedWrite> Finish(std::vector<IntentResult> results);
  void NoteReachable(Context& ctx, bool reachable);
  void AdvanceWrites(Context& ctx);
  void AdvanceReads(Context& ctx);

  CommitQueue queue_;
  RateLimiter budget_;
  std::map<IntentId, PendingWrite> pending_;
  IntentId next_id_{1};
  bool reading_ = false;
  bool read_now_ = true;
  std::int64_t readings_begun_ = 0;
  std::int64_t readings_done_ = 0;
  TimePoint last_read_;
  TimePoint sent_at_;
  TimePoint retry_at_;
  Duration backoff_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_STORE_CLIENT_H_
