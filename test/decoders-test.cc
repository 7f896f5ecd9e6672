/// @file
/// Tests that decoders cut nothing short: what is accepted is what is stored
/// and read back.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "dispatch/row_codec.h"
#include "platform/wire.h"

namespace limeledge::platform {

TEST_GROUP(Decoders){
    /// The body of a job of `steps` steps, the last of which waits for the one
    /// before it.
    static std::string BodyOfSteps(int steps){
        std::string body = R"({"steps":[)";
for (int i = 1; i < steps; ++i) absl::StrAppend(&body, R"({"cpu":1000},)");
absl::StrAppend(&body, R"({"after":[)", steps - 2, "]}]}");
return body;
}  // namespace limeledge::platform
}
;

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

}  // namespace limeledge::platform
