/// @file
/// Tests that decoders cut nothing short: what is accepted is what is stored
/// and read back.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"
#include "platform/wire.h"

namespace limeledge::platform {

namespace {

/// The body of a job of `steps` steps, the last of which waits for the one
/// before it.
std::string BodyOfSteps(int steps) {
  std::string body = R"({"steps":[)";
  for (int i = 1; i < steps; ++i) absl::StrAppend(&body, R"({"cpu":1000},)");
  absl::StrAppend(&body, R"({"after":[)", steps - 2, "]}]}");
  return body;
}

}  // namespace

TEST_GROUP(Decoders){};

// Guards against a job that is accepted and reported as done without its last
// steps.
TEST(Decoders, JobOfManyStepsKeepsAllOfThem) {
  for (const int steps : {200, 201, 250, 900}) {
    const auto accepted = DecodeJob(BodyOfSteps(steps));
    CHECK_TRUE(accepted.ok());
    LONGS_EQUAL(steps, accepted->steps.size());
    LONGS_EQUAL(steps - 2, accepted->steps.back().after.front());
    const auto stored =
        dispatch::DecodeJobSpec(dispatch::EncodeJobSpec(*accepted));
    CHECK_TRUE(stored.ok());
    LONGS_EQUAL(steps, stored->steps.size());
  }
}

// Guards against a job that is refused like a malformed one only because it is
// larger than the product accepts.
TEST(Decoders, JobOfTooManyTasksIsRefusedWithTheBound) {
  for (const char* body :
       {R"({"steps":[{"count":20001}]})", R"({"steps":[{"count":2147483647}]})",
        R"({"steps":[{"count":2}],"times":10001})",
        R"({"steps":[{"count":2147483647}],"times":2147483647})",
        R"({"steps":[{"count":12000},{"count":8001}]})"}) {
    const absl::Status status = DecodeJob(body).status();
    CHECK_TRUE_TEXT(absl::IsOutOfRange(status), body);
    CHECK_TRUE(status.message().find("20000") != std::string::npos);
  }
  CHECK_TRUE(DecodeJob(R"({"steps":[{"count":1}],"times":20000})").ok());
  const char* malformed = R"({"steps":[{"count":20001,"gang":5}]})";
  CHECK_TRUE(absl::IsInvalidArgument(DecodeJob(malformed).status()));
}

}  // namespace limeledge::platform
