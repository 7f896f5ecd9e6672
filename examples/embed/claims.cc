/// @file
/// Decides how to handle a request whose claim already exists.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/claims.h"

#include <cstdio>

int main() {
  limeledge::Claim claim;
  claim.holder = limeledge::InstanceId("a");
  claim.digest = "content";
  const bool unknown = limeledge::JudgeClaim(claim, "content", false) ==
                       limeledge::ClaimVerdict::kUnknown;
  claim.state = limeledge::ClaimState::kAnswered;
  const bool replay = limeledge::JudgeClaim(claim, "content", false) ==
                      limeledge::ClaimVerdict::kReplay;
  std::printf("claimer gone: unknown %d; answered: replay %d\n",
              unknown ? 1 : 0, replay ? 1 : 0);
  return 0;
}
