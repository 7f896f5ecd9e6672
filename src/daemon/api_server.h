/// @file
/// The caller, operator and worker interface over HTTP.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_API_SERVER_H_
#define LIMELEDGE_SRC_DAEMON_API_SERVER_H_

#include <atomic>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "core/event.h"
#include "daemon/access.h"
#include "daemon/api_codec.h"
#include "daemon/call_table.h"
#include "net/http_server.h"

namespace limeledge {

/// Hands an event body to the reducer. Safe from any thread.
using EventSink = std::function<void(EventBody)>;

/// Serves the interface that docs/API.md describes: checks access and bodies,
/// hands events to the reducer, and sends its answers.
///
/// Thread safety: `SetReady` from any thread, the rest from one.
class ApiServer {
 public:
  ApiServer(HttpServerOptions options, const Access* access, CallTable* calls,
            EventSink sink);

  absl::Status Start() { return server_.Start(); }
  void Stop() { server_.Stop(); }
  void SetReady(bool ready) { ready_ = ready; }
  std::string address() const { return server_.address(); }

 private:
  void AddRequestRoutes();
  void AddJobRoutes();
  void AddSettingsRoutes();
  void AddProcessRoutes();

  void PostRequest(const httplib::Request& request,
                   httplib::Response& response);
  void PostJob(const httplib::Request& request, httplib::Response& response);
  void GetJob(const httplib::Request& request, httplib::Response& response);
  void ListJobs(const httplib::Request& request, httplib::Response& response);
  void DeleteJob(const httplib::Request& request, httplib::Response& response);
  void PutSettings(const httplib::Request& request,
                   httplib::Response& response);
  void GetHistory(const httplib::Request& request, httplib::Response& response);
  void GetMetrics(httplib::Response& response);

  /// Finds the caller, or answers and returns false.
  bool Authorize(const httplib::Request& request, httplib::Response& response,
                 Principal* principal) const;
  /// The same for operators; `admin` asks for that role.
  bool AuthorizeOperator(const httplib::Request& request,
                         httplib::Response& response, bool admin,
                         Principal* principal) const;
  /// True when the caller belongs to the workspace; else answers.
  bool IsOwnWorkspace(const Principal& principal, const WorkspaceId& workspace,
                      httplib::Response& response) const;
  /// The job that the path and the caller name, or answers and returns false.
  bool FindJobId(const httplib::Request& request, httplib::Response& response,
                 const Principal& principal, JobId* job) const;
  /// Posts the event that `make` builds for a new call and sends the answer.
  void Ask(const std::function<EventBody(CallId)>& make, Duration limit,
           httplib::Response& response);
  void Send(const ApiResponse& answer, httplib::Response& response) const;
  void SendFailure(const Failure& failure, httplib::Response& response) const;

  const Access* access_;
  CallTable* calls_;
  EventSink sink_;
  std::atomic<bool> ready_{false};
  HttpServer server_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_API_SERVER_H_
