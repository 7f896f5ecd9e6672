/// @file
/// The platform's services as one stand-in: table, objects, instance list.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_PLATFORM_PLATFORM_SERVICES_H_
#define LIMELEDGE_SRC_PLATFORM_PLATFORM_SERVICES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "absl/status/status.h"
#include "core/target.h"
#include "limeledge/clock.h"
#include "net/http_server.h"
#include "platform/memory_table.h"

namespace limeledge {

/// What a service does wrong, switched on by request.
enum class ServiceFault {
  kNone,
  /// Answers nothing and has no effect.
  kDown,
  /// Answers after `delay_ms`.
  kSlow,
  /// Has its effect and answers nothing.
  kLoseAnswer,
};

/// Serves the platform's interfaces over HTTP.
///
///   POST /v1/table/transactions      a transaction
///   GET  /v1/table/changes?since=&prefix=
///   POST /v1/table/rows              single rows by key
///   PUT  /v1/objects/KEY, GET        the object store
///   GET  /v1/instances               the instance list, lagging
///   PUT  /v1/instances/KIND/ID, DELETE
///   POST /v1/faults                  {"service", "fault", "delay_ms", "count"}
///
/// Thread safety: all methods from one thread.
class PlatformServices {
 public:
  explicit PlatformServices(HttpServerOptions options);
  ~PlatformServices();

  absl::Status Start();
  void Stop() { server_.Stop(); }
  std::string address() const { return server_.address(); }

  /// Adds an instance that the platform runs itself.
  void AddEntry(const EntryInfo& entry);

 private:
  struct Fault {
    ServiceFault kind = ServiceFault::kNone;
    Duration delay;
    /// Calls that the fault still applies to; negative for all.
    int count = -1;
  };
  struct Snapshot {
    TimePoint at;
    InstanceList list;
  };

  void AddTableRoutes();
  void AddObjectRoutes();
  void AddInstanceRoutes();
  void AddFaultRoutes();
  /// Takes the fault that applies to one call of `service`.
  Fault TakeFault(const std::string& service);
  /// Returns true when the call must end without effect.
  bool BeginCall(const std::string& service, httplib::Response& response,
                 Fault* fault);
  static void EndCall(const Fault& fault, const std::string& body,
                      httplib::Response& response);
  absl::Status PutInstance(const std::string& kind, const std::string& body);
  void EraseInstance(const std::string& kind, const std::string& id);
  void KeepSnapshot();
  InstanceList LaggingList();

  HttpServer server_;
  SteadyClock clock_;
  std::mutex mutex_;
  MemoryTable table_;
  std::map<std::string, std::string> objects_;
  InstanceList list_;
  std::deque<Snapshot> snapshots_;
  Duration list_lag_;
  std::map<std::string, Fault> faults_;
  std::map<std::string, std::int64_t> calls_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_PLATFORM_PLATFORM_SERVICES_H_
