/// @file
/// Calls of a runner.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/runner_model.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace limeledge {

bool RunnerModel::Begin(const RunnerCall& call) {
  if (faults_.refuse || leaving_ || in_use_ >= info_.slots) {
    ++refused_;
    return false;
  }
  ++in_use_;
  most_in_use_ = std::max(most_in_use_, in_use_);
  ++runs_[absl::StrCat(call.workspace.value(), "/", call.request.value())];
  return true;
}

RunnerAnswer RunnerModel::End(const RunnerCall& call) {
  --in_use_;
  RunnerAnswer answer{call.request, call.attempt, call.workspace,
                      RunnerResult(call)};
  if (faults_.foreign) {
    answer.attempt = AttemptId("another-attempt");
    answer.answer = "the answer to another request";
  }
  return answer;
}

std::string RunnerResult(const RunnerCall& call) {
  return absl::StrCat(call.workspace.value(), "/", call.request.value(), ": ",
                      call.payload.size(), " bytes checked");
}

}  // namespace limeledge
