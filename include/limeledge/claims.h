/// @file
/// Claim rows that give non-repeatable requests at-most-once execution.
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
  /// The holder may have sent the request; no answer is recorded.
  kClaimed,
  /// The complete answer is recorded.
  kAnswered,
};

/// The row that an instance writes before it sends a non-repeatable request.
struct Claim {
  ClaimState state = ClaimState::kClaimed;
  InstanceId holder;
  /// Incarnation of the holder. A restarted instance has a new incarnation and
  /// counts as a different holder.
  std::int64_t incarnation = 0;
  /// Hash of the request's content. It distinguishes a repeated request from
  /// another request that reuses the id.
  std::string digest;
  /// The recorded answer; empty unless `state` is `kAnswered`.
  std::string answer;
  /// Write time in milliseconds since the Unix epoch. It is used only to find
  /// old rows for deletion.
  std::int64_t written_ms = 0;
};

/// Common prefix of the keys of all claim rows.
inline constexpr char kClaimPrefix[] = "claim/";

/// Returns the row key "claim/WORKSPACE/REQUEST". Safe from any thread.
std::string ClaimKey(const WorkspaceId& workspace, const RequestId& request);

/// Encodes a claim as a row value. Safe from any thread.
std::string EncodeClaim(const Claim& claim);
/// Decodes a row value. Returns `kDataLoss` if the value is not a valid claim.
/// Safe from any thread.
absl::StatusOr<Claim> DecodeClaim(const std::string& value);

/// How an instance handles a request whose claim row already exists.
enum class ClaimVerdict {
  /// Return the recorded answer.
  kReplay,
  /// The holder is alive and may still record an answer: read the row again
  /// later.
  kWait,
  /// The request may have run, but its holder is gone and will not record an
  /// answer.
  kUnknown,
  /// The request id was already used with different content.
  kMismatch,
};

/// Decides how to handle a request with the content hash `digest` whose claim
/// row `claim` already exists. `holder_alive` tells whether the holder's
/// incarnation is a live member. Safe from any thread.
ClaimVerdict JudgeClaim(const Claim& claim, const std::string& digest,
                        bool holder_alive);

}  // namespace limeledge

#endif  // LIMELEDGE_CLAIMS_H_
