/// @file
/// Tests of calls over kept connections.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>

#include "net/http_client.h"
#include "proxied-server-fixture.h"

namespace limeledge {

TEST_GROUP_BASE(HttpClient, ProxiedServerFixture) {
  HttpClient client{Duration(60000)};

  HttpReply Get(Duration timeout) {
    return client.Call(CallTo(proxy.address(), timeout));
  }

  /// Leaves two kept connections.
  void KeepTwo() {
    std::thread other([this] { CHECK(Get(kLong).ok()); });
    CHECK(Get(kLong).ok());
    other.join();
  }
};

TEST(HttpClient, AddressThatIsNoneIsNotCalled) {
  HttpCall call;
  call.address = "nowhere";
  CHECK(client.Call(call).outcome == HttpOutcome::kNotSent);
}

// Each further kept connection cost one more call its whole time.
TEST(HttpClient, CallAfterOneOnASilentConnectionOpensANewOne) {
  KeepTwo();
  proxy.SilenceAll();
  CHECK(Get(Duration(50)).outcome == HttpOutcome::kLost);
  CHECK(Get(kLong).ok());
}

}  // namespace limeledge
