/// @file
/// Tests of `HttpClient` and its connection pool.
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
    return client.Call(MakeCall(proxy.address(), timeout));
  }

  /// Makes two concurrent calls, which leave up to two idle
  /// connections.
  void OpenTwoConnections() {
    std::thread other([this] { CHECK(Get(kLongTimeout).ok()); });
    CHECK(Get(kLongTimeout).ok());
    other.join();
  }
};

TEST(HttpClient, CallToMalformedAddressIsNotSent) {
  HttpCall call;
  call.address = "nowhere";
  CHECK(client.Call(call).outcome == HttpOutcome::kNotSent);
}

// A call that timed out used to leave the other idle connections to the same
// server in the pool. If these were silent too, each cost another call its
// whole timeout.
TEST(HttpClient, CallAfterOneOnASilentConnectionOpensANewOne) {
  OpenTwoConnections();
  proxy.SilenceAll();
  CHECK(Get(Duration(50)).outcome == HttpOutcome::kLost);
  CHECK(Get(kLongTimeout).ok());
}

}  // namespace limeledge
