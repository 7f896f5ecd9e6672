/// @file
/// Names of request outcomes and reasons.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/request.h"

#include <openssl/evp.h>

#include <array>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace limeledge {

std::string ContentDigest(const RequestSpec& request) {
  const std::string text =
      absl::StrCat(request.workspace.value(), "\n", request.id.value(), "\n",
                   request.request_class.value(), "\n", request.payload);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), size));
}

const char* ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(RequestReason reason) {
  switch (reason) {
    case RequestReason::kNone:
      return "";
    case RequestReason::kOverloaded:
      return "too many requests are waiting for runners";
    case RequestReason::kDeadlineBeforeSend:
      return "the deadline passed before a runner was free";
    case RequestReason::kDeadlineAfterSend:
      return "the deadline passed after the request was sent to a runner";
    case RequestReason::kNoRunner:
      return "no runner is live";
    case RequestReason::kRefused:
      return "every runner that was tried refused the request";
    case RequestReason::kConnectionLost:
      return "the connection to the runner broke after the request was sent";
    case RequestReason::kStoreUnavailable:
      return "the table service is unavailable, so the request could not be "
             "claimed";
    case RequestReason::kClaimInDoubt:
      return "the table service did not answer the claim; send the same id "
             "again to learn the outcome";
    case RequestReason::kClaimedEarlier:
      return "an earlier call with this id may have run and left no answer";
    case RequestReason::kIdReused:
      return "the id belongs to an earlier request with other content";
    case RequestReason::kForeignAnswer:
      return "the runner's answer does not belong to this request";
    case RequestReason::kLeaving:
      return "this instance is leaving; ask another one";
  }
  return "";
}

}  // namespace limeledge
