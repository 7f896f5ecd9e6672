/// @file
/// Claims that let a request marked as not repeatable run at most once.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_CLAIMS_H_
#define LIMELEDGE_CLAIMS_H_

#include <string>

#include "absl/status/statusor.h"
#include "limeledge/base.h"

namespace limeledge {

enum class ClaimState {
  /// Somebody may have sent the request; its answer is not recorded yet.
  kClaimed,
  /// The whole answer is recorded.
  kAnswered,
};

/// The row that a not-repeatable request is claimed with before it is sent.
struct Claim {
  ClaimState state = ClaimState::kClaimed;
  InstanceId holder;
  /// Incarnation of the holder; a restarted instance is a different holder.
  std::int64_t incarnation = 0;
  /// Hash of the request's content, to tell a reused id from a repeat.
  std::string digest;
  /// The answer, for `kAnswered`.
  std::string answer;
  /// Wall-clock milliseconds since 1970, for clearing old rows only.
  std::int64_t written_ms = 0;
};

/// All claim rows are under it.
inline constexpr char kClaimPrefix[] = "claim/";

/// Returns the row key, "claim/WORKSPACE/REQUEST". Safe from any thread.
std::string ClaimKey(const WorkspaceId& workspace, const RequestId& request);

/// Row value of a claim. Safe from any thread.
std::string EncodeClaim(const Claim& claim);
/// Reads a row value. Fails with `kDataLoss` when it is not a claim.
absl::StatusOr<Claim> DecodeClaim(const std::string& value);

/// What an instance does with a request whose claim row already exists.
enum class ClaimVerdict {
  /// Give the recorded answer.
  kReplay,
  /// The claimer is alive and at work: read the row again later.
  kWait,
  /// It may have run and nobody will record an answer.
  kUnknown,
  /// The id was used for other content.
  kMismatch,
};

/// Judges an existing claim. `holder_alive` says whether the claiming
/// incarnation is a live member. Safe from any thread.
ClaimVerdict JudgeClaim(const Claim& claim, const std::string& digest,
                        bool holder_alive);

}  // namespace limeledge

#endif  // LIMELEDGE_CLAIMS_H_
