/// @file
/// Tests of passing callers' requests on to another node.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <memory>
#include <optional>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "platform/caller_server.h"

namespace limeledge::platform {

/// Two nodes: the first one passes each call on to the second one.
TEST_GROUP(CallerServer) {
  Metrics metrics;
  HttpLoop http;
  std::optional<dispatch::CallReceived> seen;
  /// What the first node learned of the call that it passed on.
  std::optional<dispatch::ForwardCompleted> completed;
  dispatch::RespondToCall answer;
  bool second_answers = true;
  int second_port = 0;
  bool may_be_applied = false;
  std::unique_ptr<CallerServer> first;
  std::unique_ptr<CallerServer> second;

  static Settings MakeSettings() {
    Settings settings;
    settings.callers = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    return settings;
  }

  void setup() override {
    second = std::make_unique<CallerServer>(
        MakeSettings(), &metrics, &http, [this](dispatch::EventBody event) {
          seen = std::get<dispatch::CallReceived>(std::move(event));
          answer.call = seen->call;
          if (second_answers) second->Respond(answer);
        });
    CHECK(second->Start().ok());
    second_port = second->port();
    first = std::make_unique<CallerServer>(
        MakeSettings(), &metrics, &http, [this](dispatch::EventBody event) {
          auto* outcome = std::get_if<dispatch::ForwardCompleted>(&event);
          if (outcome != nullptr) {
            completed = std::move(*outcome);
            return;
          }
          dispatch::ForwardCall forward;
          forward.call = std::get<dispatch::CallReceived>(std::move(event));
          forward.call.required_version = dispatch::CatalogVersion(44);
          forward.address = absl::StrCat("127.0.0.1:", second_port);
          forward.timeout = Duration(300);
          forward.call.may_be_applied = may_be_applied;
          first->Forward(std::move(forward));
        });
    CHECK(first->Start().ok());
  }

  void teardown() override {
    first->StopWithin(Duration(1000));
    second->StopWithin(Duration(1000));
  }

  httplib::Result Cancel() const {
    httplib::Client client("127.0.0.1", first->port());
    return client.Delete("/jobs/0123456789abcdef");
  }

  httplib::Result Submit() const {
    httplib::Client client("127.0.0.1", first->port());
    const httplib::Headers headers = {{"Host", "queue.example"},
                                      {"Authorization", "Bearer key-1"}};
    return client.Post("/jobs/0123456789abcdef", headers,
                       R"({"spec":"x","steps":[{"count":1}]})",
                       "application/json");
  }
};

TEST(CallerServer, AnswerOfTheOtherNodeIsPassedBack) {
  answer.result = dispatch::CallResult::kNotAccepted;
  answer.retry_after = Duration(2000);
  const httplib::Result result = Submit();
  LONGS_EQUAL(503, result->status);
  STRCMP_EQUAL("2", result->get_header_value("Retry-After").c_str());
}

// Guards against a retry of a submit that can never succeed, and against a
// return at the wrong time.
TEST(CallerServer, RefusalsTellWhetherToComeBack) {
  answer.result = dispatch::CallResult::kPastUse;
  answer.retry_after = Duration(7000);
  httplib::Result result = Submit();
  LONGS_EQUAL(429, result->status);
  STRCMP_EQUAL("7", result->get_header_value("Retry-After").c_str());
  answer.retry_after.reset();
  result = Submit();
  LONGS_EQUAL(429, result->status);
  CHECK_FALSE(result->has_header("Retry-After"));
  answer.result = dispatch::CallResult::kNeverServable;
  answer.message = "can never run";
  result = Submit();
  LONGS_EQUAL(503, result->status);
  CHECK_FALSE(result->has_header("Retry-After"));
  CHECK_TRUE(result->body.find("can never run") != std::string::npos);
}

TEST(CallerServer, NodeLearnsByWhichCatalogACallWasDecidedElsewhere) {
  answer.result = dispatch::CallResult::kUnknownQueue;
  answer.version = dispatch::CatalogVersion(48);
  LONGS_EQUAL(404, Submit()->status);
  CHECK_TRUE(completed->result == dispatch::CallResult::kUnknownQueue);
  LONGS_EQUAL(48, completed->version.value());
}

// Guards against callers that make a node wait for a version.
TEST(CallerServer, CallOfACallerRequiresNoCatalog) {
  httplib::Client client("127.0.0.1", second->port());
  const httplib::Headers headers = {{"Limeledge-Catalog-Version", "99"}};
  const httplib::Result result = client.Get("/jobs/", headers);
  CHECK_TRUE(seen->required_version == dispatch::CatalogVersion());
  CHECK_FALSE(result->has_header("Limeledge-Catalog-Version"));
}

TEST(CallerServer, CallIsPassedOnWhole) {
  LONGS_EQUAL(200, Submit()->status);
  CHECK_TRUE(seen->forwarded);
  CHECK_TRUE(seen->kind == dispatch::CallKind::kSubmit);
  STRCMP_EQUAL("queue.example", seen->host.c_str());
  STRCMP_EQUAL("/jobs/0123456789abcdef", seen->path.c_str());
  STRCMP_EQUAL("key-1", seen->key.c_str());
  STRCMP_EQUAL("x", seen->spec.payload.c_str());
  LONGS_EQUAL(300, seen->deadline.ms());
  LONGS_EQUAL(44, seen->required_version.value());
}

TEST(CallerServer, CallWithoutAnAnswerMayHaveBeenAccepted) {
  second_answers = false;
  LONGS_EQUAL(504, Submit()->status);
}

TEST(CallerServer, CallThatCouldNotBePassedOnIsRefused) {
  second_port = 1;
  LONGS_EQUAL(503, Submit()->status);
}

// Guards against "not run" for a job whose first write got no answer at this
// node and is applied later, while the other node's write is refused.
TEST(CallerServer, RefusalByTheOtherNodeIsUncertainAfterAWriteHere) {
  may_be_applied = true;
  answer.result = dispatch::CallResult::kNotAccepted;
  LONGS_EQUAL(504, Submit()->status);
  answer.result = dispatch::CallResult::kPastUse;
  LONGS_EQUAL(504, Submit()->status);
}

// Guards against a caller that is told for good that its submit was rejected,
// by a newer configuration of the other node, although the job is stored and
// runs.
TEST(CallerServer, RejectionByTheOtherNodeIsUncertainAfterAWriteHere) {
  may_be_applied = true;
  for (const dispatch::CallResult rejection :
       {dispatch::CallResult::kUnknownKey, dispatch::CallResult::kUnknownQueue,
        dispatch::CallResult::kInvalid, dispatch::CallResult::kUnknownJob,
        dispatch::CallResult::kNeverServable}) {
    answer.result = rejection;
    LONGS_EQUAL(504, Submit()->status);
    CHECK_TRUE(completed->told == dispatch::CallResult::kUnknown);
  }
  answer.result = dispatch::CallResult::kUnknownKey;
  LONGS_EQUAL(504, Cancel()->status);
}

// Guards against a 504 where the outcome is certain: the write has a condition
// on the row of the job.
TEST(CallerServer, CertainAnswerOfTheOtherNodeIsPassedBackAfterAWriteHere) {
  may_be_applied = true;
  answer.result = dispatch::CallResult::kConflict;
  LONGS_EQUAL(409, Submit()->status);
  answer.result = dispatch::CallResult::kDone;
  LONGS_EQUAL(200, Submit()->status);
  answer.result = dispatch::CallResult::kUnknownJob;
  LONGS_EQUAL(410, Cancel()->status);
}

TEST(CallerServer, RejectionByTheOtherNodeIsPassedBackIfNothingWasSentHere) {
  answer.result = dispatch::CallResult::kUnknownKey;
  LONGS_EQUAL(401, Submit()->status);
  CHECK_FALSE(seen->may_be_applied);
}

TEST(CallerServer, OtherNodeIsToldOfAnEarlierWrite) {
  may_be_applied = true;
  Submit();
  CHECK_TRUE(seen->may_be_applied);
}

TEST(CallerServer, CallThatMayHaveBeenAcceptedBeforeIsNotRefused) {
  second_port = 1;
  may_be_applied = true;
  LONGS_EQUAL(504, Submit()->status);
}

}  // namespace limeledge::platform
