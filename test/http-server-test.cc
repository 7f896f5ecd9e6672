/// @file
/// Tests of `HttpServer`.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace limeledge {

namespace {

constexpr char kLocal[] = "127.0.0.1";

}  // namespace

TEST_GROUP(HttpServer) {
  std::unique_ptr<HttpServer> server;
  std::vector<int> sockets;

  void setup() override {
    HttpServerOptions options;
    options.endpoint = {kLocal, 0};
    options.connections = 4;
    options.read_timeout = Duration(30000);
    server = std::make_unique<HttpServer>(options);
    server->routes().Get(
        "/", [](const httplib::Request&, httplib::Response& response) {
          response.set_content("whole answer", "text/plain");
        });
    CHECK(server->Start().ok());
  }

  void teardown() override {
    CloseAll();
    server->Stop();
  }

  /// Closes all connections that `Connect` has opened.
  void CloseAll() {
    for (const int socket : sockets) close(socket);
    sockets.clear();
  }

  /// Opens a connection and sends nothing. Returns false if connecting fails.
  bool Connect() {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockets.push_back(connection);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(server->port()));
    inet_pton(AF_INET, kLocal, &address.sin_addr);
    return connect(connection, reinterpret_cast<sockaddr*>(&address),
                   sizeof(address)) == 0;
  }

  HttpReply Get() {
    HttpClient client;
    HttpCall call;
    call.address = server->address();
    call.method = "GET";
    call.path = "/";
    return client.Call(call);
  }
};

// The library's listen backlog is 5. The kernel dropped the sixth connection of
// a burst, and the client retried it only a second later.
TEST(HttpServer, ManyConnectionsMayWaitToBeAccepted) {
  CHECK_TRUE(server->backlog() >= 128);
}

// `Stop` waits for connections that send nothing. A process that was shutting
// down used to wait for one until it was killed.
TEST(HttpServer, ConnectionThatSaysNothingDoesNotHoldAStopUp) {
  CHECK(Connect());
  // The server accepts connections in order, so by the time it has answered
  // this call it has accepted the silent connection.
  CHECK(Get().ok());
  CHECK_FALSE(server->StopWithin(Duration(50)));
  CloseAll();
  CHECK(server->StopWithin(Duration(10000)));
}

}  // namespace limeledge
