/// @file
/// Tests that decoders cut nothing short: what is accepted is what is stored
/// and read back.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "CppUTest/TestHarness.h"
#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
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

/// A random valid job, as a caller submits it.
class RandomJob {
 public:
  explicit RandomJob(unsigned seed) : random_(seed) {}

  Json::Value Make() {
    Json::Value job;
    job["spec"] = Text(4000);
    const int steps = Number(1, 400);
    for (int i = 0; i < steps; ++i) job["steps"].append(MakeStep(i));
    if (Number(0, 1) == 0) return job;
    job["times"] = Number(1, 3);
    job["start-at-ms"] = Json::Int64(1700000000000) + Number(0, 1000000);
    job["interval-ms"] = Number(1, 1000000);
    return job;
  }

 private:
  int Number(int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(random_);
  }

  std::string Text(int max_bytes) {
    std::string text(Number(1, max_bytes), 'x');
    // All ASCII characters, also those that JSON has to escape.
    for (char& c : text) c = static_cast<char>(Number(0, 127));
    return text;
  }

  Json::Value MakeStep(int number) {
    Json::Value step;
    step["count"] = Number(1, 16);
    for (const char* name : {"cpu", "mem-mb", "gpu", "estimate-ms", "target_ms",
                             "may_miss", "anti-affinity"}) {
      if (Number(0, 1) == 1) step[name] = Number(1, 1000000000);
    }
    for (const char* name : {"checkpoint", "gang", "same-rack", "speculative",
                             "long-running", "fills"}) {
      if (Number(0, 1) == 1) step[name] = true;
    }
    for (const char* name : {"requires", "affinity", "image"}) {
      if (Number(0, 1) == 1) step[name] = Text(20);
    }
    const int predecessors = number == 0 ? 0 : Number(0, 4);
    for (int i = 0; i < predecessors; ++i) {
      step["after"].append(Number(0, number - 1));
    }
    return step;
  }

  std::mt19937 random_;
};

/// Encodes a job as a caller does. Fields that are 0, false or empty are left
/// out.
Json::Value ToBody(const dispatch::JobSpec& job) {
  Json::Value json;
  json["spec"] = job.payload;
  for (const dispatch::StepSpec& step : job.steps) {
    Json::Value body;
    const auto add_number = [&body](const char* name, std::int64_t value) {
      if (value > 0) body[name] = Json::Int64(value);
    };
    const auto add_flag = [&body](const char* name, bool value) {
      if (value) body[name] = true;
    };
    const auto add_text = [&body](const char* name, const std::string& value) {
      if (!value.empty()) body[name] = value;
    };
    add_number("count", step.count);
    add_number("cpu", step.need.cpu_millis);
    add_number("mem-mb", step.need.memory_mb);
    add_number("gpu", step.need.accelerators);
    add_number("estimate-ms", step.estimate.ms());
    add_number("target_ms", step.tail_latency_target.ms());
    add_number("may_miss", step.max_unavailable);
    add_number("anti-affinity", step.max_per_runner);
    add_flag("checkpoint", step.saves_progress);
    add_flag("gang", step.gang);
    add_flag("same-rack", step.same_rack);
    add_flag("speculative", step.speculative);
    add_flag("long-running", step.long_running);
    add_flag("fills", step.filler);
    add_text("requires", step.required_label);
    add_text("affinity", step.data_rack);
    add_text("image", step.image);
    for (const int before : step.after) body["after"].append(before);
    json["steps"].append(std::move(body));
  }
  if (job.recurrence.times == 0) return json;
  json["times"] = job.recurrence.times;
  json["start-at-ms"] = Json::Int64(job.recurrence.first_wall_ms);
  json["interval-ms"] = Json::Int64(job.recurrence.interval.ms());
  return json;
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

// Guards against any field of a job that is cut short or lost between the
// submit and the scheduler that reads the stored job.
TEST(Decoders, StoredJobIsTheOneThatWasSubmitted) {
  constexpr unsigned kSeed = 97500;
  constexpr int kJobs = 200;
  RandomJob random(kSeed);
  for (int i = 0; i < kJobs; ++i) {
    const std::string submitted = WriteJson(random.Make());
    const auto accepted = DecodeJob(submitted);
    CHECK_TRUE_TEXT(accepted.ok(), accepted.status().ToString().c_str());
    const auto stored =
        dispatch::DecodeJobSpec(dispatch::EncodeJobSpec(*accepted));
    CHECK_TRUE_TEXT(stored.ok(), stored.status().ToString().c_str());
    STRCMP_EQUAL(submitted.c_str(), WriteJson(ToBody(*stored)).c_str());
  }
}

}  // namespace limeledge::platform
