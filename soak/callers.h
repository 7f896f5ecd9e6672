/// @file
/// Callers of a soak: what they send, and what they hold answers against.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_CALLERS_H_
#define LIMELEDGE_SOAK_CALLERS_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net/http_client.h"
#include "soak/job_maker.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Numbers of one run, for its report.
struct CallerCounts {
  std::atomic<int> submitted = 0;
  std::atomic<int> accepted = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> unknown = 0;
  std::atomic<int> queries = 0;
  std::atomic<int> held_calls = 0;
};

/// One call that handed a job in and was answered.
struct SubmitTiming {
  TimePoint at;
  Duration took;
};

/// Threads that hand jobs in, ask for them and cancel them, at nodes that the
/// balancer takes for ready, and report what breaks a promise.
///
/// Thread safety: `Start` and `Stop` from one thread; the rest from any.
class Callers {
 public:
  using Nodes = std::vector<std::unique_ptr<NodeProcess>>;
  /// All that is given outlives this object.
  Callers(const Experiment& experiment, std::uint64_t seed,
          SoakPlatform* platform, Nodes* nodes, const FaultLog* faults);
  ~Callers();

  void Start();
  /// Ends the threads that make load; nothing new is handed in.
  void Stop();

  /// Hands a job in until it is taken or was refused too often. Returns true
  /// if it was accepted.
  bool Submit(const DraftJob& job);
  /// The job's state; "gone" if there is none, empty without an answer.
  std::string StateOf(const std::string& path);

  /// Paths of all jobs that were sent.
  std::map<JobId, std::string> paths();
  const CallerCounts& counts() const { return counts_; }
  std::vector<SubmitTiming> timings();

 private:
  /// Outcome of a call at one node.
  struct Reply {
    HttpReply http;
    NodeProcess* node = nullptr;
    TimePoint sent_at;
  };

  void Balance();
  void MakeLoad(std::uint64_t seed);
  /// Opens connections, and sends on them only after a while.
  void HoldConnections(std::uint64_t seed);
  /// Asks all nodes for routes that came and went with the configuration.
  void ProbeConfig();
  void ProbeNode(NodeProcess* node, std::size_t index);
  void Live(const DraftJob& job, JobMaker* maker);
  void Cancel(const DraftJob& job);
  void CheckKey(JobMaker* maker);

  NodeProcess* PickNode();
  Reply Call(NodeProcess* node, const std::string& method,
             const std::string& path, const std::string& body,
             const std::string& key);
  /// A call that the node should have answered, and did not.
  void CheckCut(NodeProcess* node, TimePoint sent_at, const std::string& what);
  void Violate(const std::string& what);
  void Sleep(Duration time);

  Experiment experiment_;
  std::uint64_t seed_;
  SoakPlatform* platform_;
  Nodes* nodes_;
  const FaultLog* faults_;
  HttpClient http_;
  SteadyClock clock_;
  std::atomic<bool> stopping_ = false;
  CallerCounts counts_;
  std::mutex mutex_;
  std::vector<NodeProcess*> ready_;
  std::size_t next_node_ = 0;
  std::map<JobId, std::string> paths_;
  std::vector<SubmitTiming> timings_;
  /// What the prober saw of each node.
  struct Seen {
    std::size_t life = 0;
    std::int64_t version = 0;
    TimePoint at;
  };
  std::vector<Seen> seen_;
  std::vector<std::thread> threads_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CALLERS_H_
