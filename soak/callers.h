/// @file
/// Simulated callers of a soak test, and the checks of the responses they get.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SOAK_CALLERS_H_
#define LIMELEDGE_SOAK_CALLERS_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "soak/balancer.h"
#include "soak/config_prober.h"
#include "soak/job_maker.h"
#include "soak/node_client.h"
#include "soak/node_process.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

/// Call counters of one run, for its report.
struct CallerCounts {
  std::atomic<int> submitted = 0;
  std::atomic<int> accepted = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> unknown = 0;
  std::atomic<int> queries = 0;
  std::atomic<int> held_calls = 0;
  std::atomic<int> given_up = 0;
  /// Cancels of given-up jobs that were not stored.
  std::atomic<int> cancelled_early = 0;
};

/// Send time and latency of an accepted submit.
struct SubmitTiming {
  TimePoint at;
  Duration took;
};

/// Runs threads that submit, query and cancel jobs at the nodes that the
/// balancer considers ready, and reports violations of invariants.
///
/// Thread safety: `Start` and `Stop` from one thread; the rest from any.
class Callers {
 public:
  /// All arguments must outlive this object.
  Callers(const Experiment& experiment, std::uint64_t seed,
          SoakPlatform* platform, Nodes* nodes, const FaultLog* faults);
  ~Callers();

  void Start();
  /// Joins all threads; no more jobs are submitted.
  void Stop();

  /// Submits a job, with retries, until it is accepted or the attempts are used
  /// up; a job that gives up is not retried after a refusal. Returns true if
  /// the job was accepted.
  bool Submit(const DraftJob& job);
  /// Returns the state of the job; "gone" if it is unknown, empty without a
  /// response.
  std::string StateOf(const std::string& path);

  /// Returns the paths of all submitted jobs.
  std::map<JobId, std::string> paths();
  const CallerCounts& counts() const { return counts_; }
  std::vector<SubmitTiming> timings();

 private:
  // Thread bodies; each runs until `Stop`.
  void Balance();
  void ProbeConfig();
  void MakeLoad(std::uint64_t seed);
  /// Opens connections and sends a request on each after a random delay.
  void HoldConnections(std::uint64_t seed);

  /// Submits jobs one after the other, resubmits and cancels some at random,
  /// and checks that all accepted jobs are known.
  void RunJobs(const std::vector<DraftJob>& jobs, JobMaker* maker);
  /// Submits a job, leaves after `patience`, and cancels the job at another
  /// node.
  void SubmitAndGiveUp(const DraftJob& job, Duration patience);
  /// Cancels a job, with retries until the cancel is acknowledged or the
  /// attempts are used up.
  void Cancel(const DraftJob& job);
  /// Submits a job with a key that was never valid.
  void CheckKey(JobMaker* maker);
  /// Submits an accepted job again.
  void CheckSentAgain(const DraftJob& job);

  /// Records a job before it is sent.
  void NoteSent(const DraftJob& job);
  /// Records the latency of an accepted submit.
  void NoteAccepted(TimePoint sent_at);
  /// Calls the node that the balancer picks.
  NodeReply Call(const std::string& method, const std::string& path,
                 const std::string& body, const std::string& key);
  void Sleep(Duration time);

  Experiment experiment_;
  std::uint64_t seed_;
  SoakPlatform* platform_;
  NodeClient client_;
  Balancer balancer_;
  ConfigProber prober_;
  SteadyClock clock_;
  std::atomic<bool> stopping_ = false;
  CallerCounts counts_;
  /// Guards `paths_` and `timings_`.
  std::mutex mutex_;
  std::map<JobId, std::string> paths_;
  std::vector<SubmitTiming> timings_;
  std::vector<std::thread> threads_;
};

}  // namespace limeledge::soak

#endif  // LIMELEDGE_SOAK_CALLERS_H_
