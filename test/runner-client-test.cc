/// @file
/// Tests of the client that sends orders to runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

#include "net/http_server.h"
#include "platform/runner_client.h"

namespace limeledge::platform {

using dispatch::OrderOutcome;

// A client and a runner that does not respond to its first call.
TEST_GROUP(RunnerClient) {
  std::unique_ptr<HttpServer> server;
  std::promise<void> release_first_call;
  std::atomic<int> calls = 0;
  int second_status = 200;
  const char* second_body = "{\"clock-ms\":7}";
  HttpLoop http;
  RunnerClient client{&http};

  void setup() override {
    HttpServerOptions options;
    options.endpoint = {"127.0.0.1", 0};
    options.connections = 4;
    server = std::make_unique<HttpServer>(options);
    const std::shared_future<void> released =
        release_first_call.get_future().share();
    server->routes().Post(".*", [this, released](const httplib::Request&,
                                                 httplib::Response& response) {
      if (++calls == 1) released.wait();
      response.status = second_status;
      response.set_content(second_body, "application/json");
    });
    CHECK(server->Start().ok());
  }

  void teardown() override {
    release_first_call.set_value();
    server->Stop();
  }

  /// Sends a start and returns its outcome.
  OrderOutcome Start() {
    dispatch::StartRun start;
    start.target.incarnation.runner = RunnerId("i-1");
    start.target.address = server->address();
    start.task.job = JobId("00000000000000aa");
    start.run = 1;
    std::promise<OrderOutcome> outcome;
    client.Start(start, [&outcome](const dispatch::StartRunCompleted& result) {
      outcome.set_value(result.outcome);
    });
    return outcome.get_future().get();
  }
};

// Without a retry, a lost response delays the start of the whole gang by about
// a second.
TEST(RunnerClient, StartWithoutResponseIsSentAgain) {
  CHECK(Start() == OrderOutcome::kDone);
  LONGS_EQUAL(2, calls);
}

// The first attempt may still be carried out later, so the run must not be
// started on another runner when the second attempt is rejected.
TEST(RunnerClient, RejectedRetryCountsAsLost) {
  second_status = 409;
  second_body = "{\"clock-ms\":7,\"reason\":\"room\"}";
  CHECK(Start() == OrderOutcome::kLost);
}

// Guards against a task that runs twice: a runner that answers with a status of
// which nothing is promised may have carried the start out.
TEST(RunnerClient, StartWithAnUnknownStatusCountsAsLost) {
  calls = 1;
  for (const int status : {500, 502, 504}) {
    second_status = status;
    CHECK(Start() == OrderOutcome::kLost);
  }
}

TEST(RunnerClient, RunnerThatSaysThatItIsBusyCarriedNothingOut) {
  calls = 1;
  for (const int status : {429, 503}) {
    second_status = status;
    CHECK(Start() == OrderOutcome::kUnhealthy);
  }
}

// The scheduler checks a start just before it is sent. If the process is paused
// or the event loop is delayed after that, the job may have been cancelled in
// the meantime, and a late start would run it all the same.
TEST(RunnerClient, StartThatIsDelayedIsNotSent) {
  HttpCall blocking_call;
  blocking_call.address = "nowhere";
  http.Call(blocking_call, [](const HttpReply&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
  });
  CHECK(Start() == OrderOutcome::kNotSent);
  LONGS_EQUAL(0, calls);
}

}  // namespace limeledge::platform
