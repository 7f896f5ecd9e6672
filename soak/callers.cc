/// @file
/// Load generation and response checks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/callers.h"

#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "soak/held_call.h"

namespace limeledge::soak {

namespace {

// Interval between two probes of the configuration.
constexpr Duration kProbePause{150};
constexpr int kSubmitTries = 8;
constexpr Duration kRetryPause{400};
constexpr char kForeignKey[] = "a-key-of-nobody";
constexpr double kForeignKeyShare = 0.04;
constexpr double kSentAgainShare = 0.1;
// Maximum time between opening a connection and using it: less than the idle
// timeout after which nodes close a connection.
constexpr int kLongestHoldMs = 1500;
// Callers that give up leave within this time.
constexpr int kMostPatienceMs = 600;
// Gives the callers of different runs distinct seeds.
constexpr std::uint64_t kSeedsPerRun = 1000;
constexpr double kMsPerSecond = 1000;

}  // namespace

Callers::Callers(const Experiment& experiment, std::uint64_t seed,
                 SoakPlatform* platform, Nodes* nodes, const FaultLog* faults)
    : experiment_(experiment),
      seed_(seed),
      platform_(platform),
      client_(platform, faults),
      balancer_(nodes),
      prober_(experiment, platform, nodes, faults, &client_) {}

Callers::~Callers() { Stop(); }

void Callers::Start() {
  threads_.emplace_back([this] { Balance(); });
  threads_.emplace_back([this] { ProbeConfig(); });
  threads_.emplace_back([this] { HoldConnections(seed_ + 1); });
  for (int i = 0; i < experiment_.callers; ++i) {
    threads_.emplace_back([this, i] { MakeLoad(seed_ * kSeedsPerRun + i); });
  }
}

void Callers::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Callers::Sleep(Duration time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.ms()));
}

void Callers::Balance() {
  while (!stopping_) {
    balancer_.Refresh();
    Sleep(Balancer::kInterval);
  }
}

void Callers::ProbeConfig() {
  while (!stopping_) {
    prober_.ProbeAll();
    Sleep(kProbePause);
  }
}

NodeReply Callers::Call(const std::string& method, const std::string& path,
                        const std::string& body, const std::string& key) {
  return client_.Call(balancer_.Pick(), method, path, body, key);
}

void Callers::NoteSent(const DraftJob& job) {
  platform_->Watch(job.spec, job.truths);
  const std::lock_guard<std::mutex> lock(mutex_);
  paths_[job.spec.id] = job.path;
}

void Callers::NoteAccepted(TimePoint sent_at) {
  ++counts_.accepted;
  const std::lock_guard<std::mutex> lock(mutex_);
  timings_.push_back({sent_at, clock_.Now() - sent_at});
}

bool Callers::Submit(const DraftJob& job) {
  NoteSent(job);
  ++counts_.submitted;
  for (int i = 0; i < kSubmitTries; ++i) {
    const NodeReply reply = Call("POST", job.path, job.body, kKey);
    const bool accepted = reply.Is(kStatusOk);
    const bool refused = reply.Is(kStatusTooMany) || reply.Is(kStatusNotTaken);
    const bool sent = reply.http.outcome != HttpOutcome::kNotSent;
    if (accepted) NoteAccepted(reply.sent_at);
    platform_->WithOracle([&](emulator::PromiseOracle& oracle) {
      emulator::JobWatch& watch = *oracle.Find(job.spec.id);
      if (accepted) watch.accepted = true;
      if (sent && !refused) watch.may_be_accepted = true;
    });
    if (accepted) return true;
    if (refused) ++counts_.refused;
    if (refused && job.gives_up) return false;
    if (sent && !refused) ++counts_.unknown;
    Sleep(kRetryPause);
  }
  return false;
}

std::string Callers::StateOf(const std::string& path) {
  ++counts_.queries;
  const NodeReply reply = Call("GET", path, "", kKey);
  if (reply.Is(kStatusGone)) return "gone";
  if (!reply.Is(kStatusOk)) return "";
  const absl::StatusOr<Json::Value> json = ParseJson(reply.http.body);
  return json.ok() ? json->get("state", "").asString() : "";
}

void Callers::Cancel(const DraftJob& job) {
  platform_->WithOracle([&job](emulator::PromiseOracle& oracle) {
    oracle.Find(job.spec.id)->cancel_sent = true;
  });
  for (int i = 0; i < kSubmitTries; ++i) {
    const NodeReply reply = Call("DELETE", job.path, "", kKey);
    const bool not_stored = reply.Is(kStatusGone);
    if (not_stored) {
      ++counts_.cancelled_early;
      platform_->WithOracle([&job](emulator::PromiseOracle& oracle) {
        oracle.RecordCancelledBeforeStored(job.spec.id);
      });
    }
    if (reply.Is(kStatusOk) || not_stored) {
      platform_->RecordCancellation(job.spec.id);
      return;
    }
    Sleep(kRetryPause);
  }
}

void Callers::SubmitAndGiveUp(const DraftJob& job, Duration patience) {
  NoteSent(job);
  ++counts_.given_up;
  platform_->WithOracle([&job](emulator::PromiseOracle& oracle) {
    oracle.Find(job.spec.id)->may_be_accepted = true;
  });
  client_.CallAndLeave(balancer_.PickAny(), "POST", job.path, job.body, kKey,
                       patience);
  Cancel(job);
}

void Callers::CheckKey(JobMaker* maker) {
  const DraftJob job = maker->Make();
  const NodeReply reply = Call("POST", job.path, job.body, kForeignKey);
  // Checked for every outcome of the call, answered or not.
  if (reply.http.status == kStatusOk) {
    platform_->Violate(
        absl::StrCat("a key that never held was taken for ", job.path));
  }
  const bool answered = reply.http.outcome == HttpOutcome::kAnswered;
  if (answered && reply.http.status != kStatusUnknownKey &&
      reply.http.status != kStatusNotTaken) {
    platform_->Violate(
        absl::StrCat("a key that never held got ", reply.http.status));
  }
}

void Callers::CheckSentAgain(const DraftJob& job) {
  if (!Call("POST", job.path, job.body, kKey).Is(kStatusConflict)) return;
  platform_->Violate(
      absl::StrCat("the same job again was a conflict: ", job.path));
}

void Callers::RunJobs(const std::vector<DraftJob>& jobs, JobMaker* maker) {
  std::vector<DraftJob> accepted;
  for (const DraftJob& job : jobs) {
    if (!Submit(job)) continue;
    accepted.push_back(job);
    if (maker->Chance(kSentAgainShare)) CheckSentAgain(job);
  }
  if (accepted.empty()) return;
  if (maker->Chance(experiment_.cancelled_share)) {
    Sleep(Duration(maker->Pick(0, experiment_.latest_cancel.ms())));
    for (const DraftJob& job : accepted) Cancel(job);
  }
  for (const DraftJob& job : accepted) {
    if (StateOf(job.path) != "gone") continue;
    platform_->Violate(
        absl::StrCat(job.path, " was accepted and is not known"));
  }
}

void Callers::MakeLoad(std::uint64_t seed) {
  JobMaker maker(experiment_, seed);
  const auto pause =
      static_cast<std::int64_t>(kMsPerSecond / experiment_.jobs_per_caller);
  while (!stopping_) {
    if (maker.Chance(kForeignKeyShare)) CheckKey(&maker);
    const bool gives_up = experiment_.given_up_share > 0 &&
                          maker.Chance(experiment_.given_up_share);
    if (gives_up) {
      SubmitAndGiveUp(maker.Make(), Duration(maker.Pick(1, kMostPatienceMs)));
    }
    std::vector<DraftJob> jobs;
    for (int i = 0; i < experiment_.jobs_at_once; ++i) {
      jobs.push_back(maker.Make());
    }
    RunJobs(jobs, &maker);
    Sleep(Duration(maker.Pick(pause / 2, pause * 3 / 2)));
  }
}

void Callers::HoldConnections(std::uint64_t seed) {
  JobMaker maker(experiment_, seed);
  while (!stopping_) {
    NodeProcess* node = balancer_.Pick();
    ++counts_.held_calls;
    HeldCall call(node->front());
    Sleep(Duration(maker.Pick(0, kLongestHoldMs)));
    const TimePoint sent_at = clock_.Now();
    if (!call.Send(kHost, kKey, kOrdinaryPrefix)) continue;
    if (!call.IsAnswered(kCallTimeout)) {
      client_.CheckCut(node, sent_at, "a call on a connection opened before");
    }
  }
}

std::map<JobId, std::string> Callers::paths() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return paths_;
}

std::vector<SubmitTiming> Callers::timings() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return timings_;
}

}  // namespace limeledge::soak
