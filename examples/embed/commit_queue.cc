/// @file
/// Resolves a transaction whose reply was lost by writing the fence row.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/commit_queue.h"

#include <cstdio>

using limeledge::TimePoint;

int main() {
  limeledge::CommitQueue queue({"instance/a/1", 64});
  limeledge::RateLimiter budget(1000, 1000);
  queue.Push({limeledge::IntentId(1),
              limeledge::WritePriority::kJobs,
              {},
              {{"job/1", "x", false}},
              TimePoint(10000)});
  queue.Next(TimePoint(0), budget);
  queue.OnReply(TimePoint(1), limeledge::TransactionLost{});
  // The fence write succeeds: the lost transaction can never take effect.
  queue.Next(TimePoint(2), budget);
  queue.OnReply(TimePoint(3),
                limeledge::TransactionCommitted{limeledge::Revision(5)});
  std::printf("sent again: %zu waiting, in doubt %d\n", queue.waiting(),
              queue.in_doubt() ? 1 : 0);
  return 0;
}
