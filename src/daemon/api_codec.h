/// @file
/// Bodies of the caller and operator interface.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_API_CODEC_H_
#define LIMELEDGE_SRC_DAEMON_API_CODEC_H_

#include <string>

#include "core/effect.h"
#include "core/job.h"
#include "core/request.h"
#include "limeledge/finding.h"
#include "settings/settings.h"

namespace limeledge {

/// An HTTP answer ready to be sent.
struct ApiResponse {
  int status = 200;
  std::string body;
  /// Sent as "Retry-After", in seconds rounded up; zero for none.
  Duration retry_after;
};

/// Reads the body of POST /v1/requests; every fault becomes a finding, also a
/// class that `settings` does not have. Safe from any thread.
RequestSpec ReadRequestBody(const std::string& body, const Settings& settings,
                            Findings* findings);

/// Reads the body of POST /v1/jobs. Safe from any thread.
JobSpec ReadJobBody(const std::string& body, Findings* findings);

/// Turns any answer of the reducer into an HTTP answer. Safe from any thread.
ApiResponse EncodeAnswer(const AnswerBody& answer);
ApiResponse EncodeFailure(const Failure& failure);
/// HTTP status of a status code. Safe from any thread.
int HttpStatusOf(absl::StatusCode code);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_API_CODEC_H_
