/// @file
/// A fixture for tests of the HTTP clients.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_PROXIED_SERVER_FIXTURE_H_
#define LIMELEDGE_TEST_PROXIED_SERVER_FIXTURE_H_

#include <memory>
#include <string>

#include "CppUTest/TestHarness.h"
#include "net/http_call.h"
#include "net/http_server.h"
#include "soak/tcp_proxy.h"

namespace limeledge {

/// A server behind a proxy that can stop forwarding data without closing the
/// connections.
class ProxiedServerFixture : public Utest {
 public:
  static constexpr char kLocal[] = "127.0.0.1";
  /// Longer than any response takes.
  static constexpr Duration kLongTimeout{10000};

  std::unique_ptr<HttpServer> server;
  soak::TcpProxy proxy;

  void setup() override {
    HttpServerOptions options;
    options.endpoint = {kLocal, 0};
    options.connections = 4;
    server = std::make_unique<HttpServer>(options);
    server->routes().Get(
        "/", [](const httplib::Request&, httplib::Response& response) {
          response.set_header("X-Told", "yes");
          response.set_content("whole answer", "text/plain");
        });
    CHECK(server->Start().ok());
    CHECK(proxy.Start({kLocal, server->port()}).ok());
  }

  void teardown() override {
    proxy.Stop();
    server->Stop();
  }

  /// A call that the server answers with "whole answer".
  static HttpCall MakeCall(const std::string& address, Duration timeout) {
    HttpCall call;
    call.address = address;
    call.method = "GET";
    call.path = "/";
    call.timeout = timeout;
    return call;
  }
};

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_PROXIED_SERVER_FIXTURE_H_
