/// @file
/// The behaviour of one runner: slots, service time, refusals.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_RUNNER_MODEL_H_
#define LIMELEDGE_SRC_PLATFORM_RUNNER_MODEL_H_

#include <map>
#include <string>

#include "codec/message_codec.h"
#include "core/runner_protocol.h"
#include "core/target.h"

namespace limeledge {

/// How a runner misbehaves, for tests.
struct RunnerFaults {
  /// Refuses every call, saying that it did not start it.
  bool refuse = false;
  /// Runs the call and cuts the connection instead of answering.
  bool cut = false;
  /// Answers with another attempt's id and answer.
  bool foreign = false;
};

/// Stands in for a runner. A call begins, takes its time and ends.
///
/// Thread safety: none; callers lock.
class RunnerModel {
 public:
  explicit RunnerModel(RunnerInfo info) : info_(std::move(info)) {}

  /// Takes a slot and counts the run; false when it refuses.
  bool Begin(const RunnerCall& call);
  /// Frees the slot and returns the answer.
  RunnerAnswer End(const RunnerCall& call);

  void SetFaults(const RunnerFaults& faults) { faults_ = faults; }
  const RunnerFaults& faults() const { return faults_; }
  void SetLeaving() { leaving_ = true; }
  bool leaving() const { return leaving_; }

  const RunnerInfo& info() const { return info_; }
  int in_use() const { return in_use_; }
  int most_in_use() const { return most_in_use_; }
  int refused() const { return refused_; }
  /// How often each request ran, by "WORKSPACE/REQUEST".
  const std::map<std::string, int>& runs() const { return runs_; }

 private:
  RunnerInfo info_;
  RunnerFaults faults_;
  bool leaving_ = false;
  int in_use_ = 0;
  int most_in_use_ = 0;
  int refused_ = 0;
  std::map<std::string, int> runs_;
};

/// The answer that a runner computes for a call.
std::string RunnerResult(const RunnerCall& call);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_RUNNER_MODEL_H_
