/// @file
/// Requests as callers send them, and the three outcomes they may have.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_REQUEST_H_
#define LIMELEDGE_SRC_CORE_REQUEST_H_

#include <string>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// What a caller sends to a runner.
struct RequestSpec {
  RequestId id;
  WorkspaceId workspace;
  ClassId request_class;
  bool repeatable = false;
  /// Time the caller allows; zero takes the class's setting.
  Duration deadline;
  std::string payload;
};

/// Tells a reused id from a repeat: equal for equal content.
std::string ContentDigest(const RequestSpec& request);

enum class RequestOutcome {
  kAnswered,
  /// It certainly did not run.
  kNotRun,
  /// It may have run.
  kUnknown,
};

/// Lower-case name as the API shows it, such as "not_run".
const char* ToString(RequestOutcome outcome);

/// Why a request was not answered.
enum class RequestReason {
  kNone,
  /// Too much is waiting for runners.
  kOverloaded,
  /// The deadline passed before it was sent.
  kDeadlineBeforeSend,
  /// The deadline passed after it was sent.
  kDeadlineAfterSend,
  /// No runner is live.
  kNoRunner,
  /// Every runner that was tried refused it.
  kRefused,
  /// The connection broke after it was sent.
  kConnectionLost,
  /// The claim could not be written: the table service is away.
  kStoreUnavailable,
  /// The claim may or may not be written.
  kClaimInDoubt,
  /// An earlier call with this id may have run and left no answer.
  kClaimedEarlier,
  /// The id belongs to a request with other content.
  kIdReused,
  /// The runner's answer does not fit the request.
  kForeignAnswer,
  /// This instance is leaving.
  kLeaving,
};

/// A sentence for people. Safe from any thread.
const char* ToString(RequestReason reason);

/// The final answer to one call.
struct RequestResult {
  RequestId id;
  RequestOutcome outcome = RequestOutcome::kNotRun;
  std::string answer;
  RequestReason reason = RequestReason::kNone;
  /// When asking again makes sense; zero when it does not.
  Duration retry_after;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_REQUEST_H_
