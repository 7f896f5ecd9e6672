/// @file
/// Emulated workers and runners behind one HTTP address.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_TARGET_HOST_H_
#define LIMELEDGE_SRC_PLATFORM_TARGET_HOST_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "core/target.h"
#include "limeledge/clock.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/runner_model.h"
#include "platform/worker_model.h"

namespace limeledge {

struct TargetHostOptions {
  HttpServerOptions http;
  /// Address of the platform's services, where the targets are listed.
  std::string platform;
  /// Time that a runner takes for a call.
  Duration service_time{5};
  /// Run time of a task that declares none.
  Duration default_run_time{1000};
};

/// Serves any number of emulated workers and runners at one address: the
/// messages name the one that they are for.
///
///   POST /v1/exchange                 a planner's exchange with a worker
///   POST /v1/run                      a call to a runner
///   POST /v1/targets/ID/faults        {"fail_everything", "refuse", ...}
///   POST /v1/targets/ID/leave
///   GET  /v1/targets                  what each one did
///
/// Thread safety: all methods from one thread.
class TargetHost {
 public:
  explicit TargetHost(TargetHostOptions options);
  ~TargetHost();

  /// Begins to serve and to let time pass.
  absl::Status Start();
  void Stop();
  std::string address() const { return server_.address(); }

  /// Adds a target at this host's address and puts it on the instance list.
  /// Precondition: `Start` succeeded.
  absl::Status AddWorker(WorkerInfo info);
  absl::Status AddRunner(RunnerInfo info);

 private:
  void AddRoutes();
  void HandleExchange(const httplib::Request& request,
                      httplib::Response& response);
  void HandleRun(const httplib::Request& request, httplib::Response& response);
  void HandleFaults(const httplib::Request& request,
                    httplib::Response& response);
  void HandleLeave(const httplib::Request& request,
                   httplib::Response& response);
  void HandleShow(httplib::Response& response);
  void LetTimePass();
  absl::Status List(const std::string& kind, const std::string& id,
                    const std::string& body);

  TargetHostOptions options_;
  HttpServer server_;
  HttpClient client_;
  SteadyClock clock_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::map<WorkerId, WorkerModel> workers_;
  std::map<RunnerId, RunnerModel> runners_;
  std::thread ticker_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_TARGET_HOST_H_
