/// @file
/// Messages between an entry instance and a runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_RUNNER_PROTOCOL_H_
#define LIMELEDGE_SRC_CORE_RUNNER_PROTOCOL_H_

#include <string>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// One attempt to run a request.
struct RunnerCall {
  RunnerId runner;
  RequestId request;
  AttemptId attempt;
  WorkspaceId workspace;
  ClassId request_class;
  /// How long the caller still waits.
  Duration timeout;
  std::string payload;
};

enum class RunnerOutcome {
  /// A whole answer came; its ids are the runner's own words.
  kAnswered,
  /// The runner says that it did not start the request.
  kRefused,
  /// Not a byte of the request left: no connection.
  kNotSent,
  /// It was sent, and no whole answer came.
  kLost,
};

struct RunnerReply {
  RunnerId runner;
  /// The attempt this reply was awaited for.
  AttemptId awaited;
  RunnerOutcome outcome = RunnerOutcome::kLost;
  /// What the answer itself names.
  RequestId request;
  AttemptId attempt;
  WorkspaceId workspace;
  std::string answer;
  /// The runner says that it is leaving.
  bool leaving = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_RUNNER_PROTOCOL_H_
