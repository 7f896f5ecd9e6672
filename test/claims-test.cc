/// @file
/// Tests of encoding and evaluating claim rows.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/claims.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Claims) {
  Claim claim{ClaimState::kClaimed, InstanceId("e1"), 3, "digest", "", 42};
};

TEST(Claims, RoundTripKeepsEveryField) {
  claim.state = ClaimState::kAnswered;
  claim.answer = "whole\n\"answer\"";
  const auto decoded = DecodeClaim(EncodeClaim(claim));
  CHECK_TRUE(decoded.ok());
  CHECK_TRUE(decoded->state == ClaimState::kAnswered);
  CHECK_TRUE(decoded->holder == claim.holder);
  LONGS_EQUAL(3, decoded->incarnation);
  STRCMP_EQUAL("digest", decoded->digest.c_str());
  STRCMP_EQUAL(claim.answer.c_str(), decoded->answer.c_str());
  LONGS_EQUAL(42, decoded->written_ms);
}

TEST(Claims, InvalidRowIsDataLoss) {
  for (const char* text : {"", "{", "[]", "{\"state\":1}"}) {
    CHECK_TRUE(DecodeClaim(text).status().code() ==
               absl::StatusCode::kDataLoss);
  }
}

TEST(Claims, AnsweredIsReplayedEvenIfTheHolderIsGone) {
  claim.state = ClaimState::kAnswered;
  CHECK_TRUE(JudgeClaim(claim, "digest", false) == ClaimVerdict::kReplay);
}

TEST(Claims, ClaimedWaitsForALiveHolder) {
  CHECK_TRUE(JudgeClaim(claim, "digest", true) == ClaimVerdict::kWait);
}

TEST(Claims, ClaimedByADeadHolderIsUnknown) {
  CHECK_TRUE(JudgeClaim(claim, "digest", false) == ClaimVerdict::kUnknown);
}

TEST(Claims, DifferentContentIsAMismatch) {
  CHECK_TRUE(JudgeClaim(claim, "other", true) == ClaimVerdict::kMismatch);
}

TEST(Claims, KeysOfDifferentWorkspacesDiffer) {
  CHECK_TRUE(ClaimKey(WorkspaceId("a"), RequestId("r")) !=
             ClaimKey(WorkspaceId("b"), RequestId("r")));
}

}  // namespace limeledge
