/// @file
/// Tests of orders to runners.
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

// A runner that leaves its first call without an answer.
TEST_GROUP(RunnerClient) {
  std::unique_ptr<HttpServer> server;
  std::promise<void> over;
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
    const std::shared_future<void> gate = over.get_future().share();
    server->routes().Post(".*", [this, gate](const httplib::Request&,
                                             httplib::Response& response) {
      if (++calls == 1) gate.wait();
      response.status = second_status;
      response.set_content(second_body, "application/json");
    });
    CHECK(server->Start().ok());
  }

  void teardown() override {
    over.set_value();
    server->Stop();
  }

  OrderOutcome Start() {
    dispatch::StartRun start;
    start.target.incarnation.runner = RunnerId("i-1");
    start.target.address = server->address();
    start.task.job = JobId("00000000000000aa");
    start.run = 1;
    std::promise<OrderOutcome> told;
    client.Start(start, [&told](const dispatch::StartRunCompleted& answer) {
      told.set_value(answer.outcome);
    });
    return told.get_future().get();
  }
};

// One start in twenty got no answer on some days, and cost its gang a second.
TEST(RunnerClient, StartWithoutAnswerIsSentAgain) {
  CHECK(Start() == OrderOutcome::kDone);
  LONGS_EQUAL(2, calls);
}

// The first sending may come through late: the run must not go elsewhere.
TEST(RunnerClient, RejectionAfterALostSendingSettlesNothing) {
  second_status = 409;
  second_body = "{\"clock-ms\":7,\"reason\":\"room\"}";
  CHECK(Start() == OrderOutcome::kLost);
}

// The scheduler checks a start right before it hands it over; a process that
// stood still, or was behind, would begin work of a job cancelled since.
TEST(RunnerClient, StartThatCouldNotLeaveSoonIsNotSent) {
  HttpCall nowhere;
  nowhere.address = "nowhere";
  http.Call(nowhere, [](const HttpReply&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(900));
  });
  CHECK(Start() == OrderOutcome::kNotSent);
  LONGS_EQUAL(0, calls);
}

}  // namespace limeledge::platform
