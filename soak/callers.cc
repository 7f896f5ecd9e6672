/// @file
/// Load, and the checks of answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/callers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "soak/held_call.h"

namespace limeledge::soak {

namespace {

constexpr Duration kCallTimeout{5000};
constexpr Duration kBalance{400};
constexpr Duration kProbePause{150};
constexpr int kSubmitTries = 8;
constexpr Duration kRetryPause{400};
constexpr char kForeignKey[] = "a-key-of-nobody";
constexpr double kForeignKeyShare = 0.04;
constexpr double kSentAgainShare = 0.1;
// A process that was just started does not listen yet.
constexpr Duration kStartTime{4000};
// What reaches a process this late before its end may not have been read.
constexpr Duration kLastMoments{200};
constexpr Duration kTroubleEcho{4000};
// A configuration is in force everywhere within this.
constexpr Duration kConfigBound{10000};
// A node that was seen to know a version does not act by an older one after
// this: some calls are under way while it learns.
constexpr Duration kRegressSlack{2000};

constexpr int kAccepted = 200;
constexpr int kGone = 410;
constexpr int kUnknownKey = 401;
constexpr int kNoRoute = 404;
constexpr int kTooMany = 429;
constexpr int kNotTaken = 503;

}  // namespace

Callers::Callers(const Experiment& experiment, std::uint64_t seed,
                 SoakPlatform* platform, Nodes* nodes, const FaultLog* faults)
    : experiment_(experiment),
      seed_(seed),
      platform_(platform),
      nodes_(nodes),
      faults_(faults),
      seen_(nodes->size()) {}

Callers::~Callers() { Stop(); }

void Callers::Start() {
  threads_.emplace_back([this] { Balance(); });
  threads_.emplace_back([this] { ProbeConfig(); });
  threads_.emplace_back([this] { HoldConnections(seed_ + 1); });
  for (int i = 0; i < experiment_.callers; ++i) {
    threads_.emplace_back([this, i] { MakeLoad(seed_ * 1000 + i); });
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

void Callers::Violate(const std::string& what) {
  platform_->WithOracle(
      [&what](emulator::PromiseOracle& oracle) { oracle.Violate(what); });
}

void Callers::Balance() {
  while (!stopping_) {
    std::vector<NodeProcess*> ready;
    for (const auto& node : *nodes_) {
      HttpCall call;
      call.address = node->ready();
      call.method = "GET";
      call.path = "/v1/readyz";
      call.timeout = kBalance;
      if (http_.Call(call).ok()) ready.push_back(node.get());
    }
    mutex_.lock();
    ready_ = std::move(ready);
    mutex_.unlock();
    Sleep(kBalance);
  }
}

NodeProcess* Callers::PickNode() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++next_node_;
  if (!ready_.empty()) return ready_[next_node_ % ready_.size()];
  return (*nodes_)[next_node_ % nodes_->size()].get();
}

Callers::Reply Callers::Call(NodeProcess* node, const std::string& method,
                             const std::string& path, const std::string& body,
                             const std::string& key) {
  HttpCall call;
  call.address = node->front();
  call.method = method;
  call.path = path;
  call.body = body;
  call.token = key;
  call.headers = {{"Host", kHost}};
  call.timeout = kCallTimeout;
  Reply reply;
  reply.node = node;
  reply.sent_at = clock_.Now();
  reply.http = http_.Call(call);
  if (reply.http.outcome == HttpOutcome::kLost) {
    CheckCut(node, reply.sent_at, absl::StrCat(method, " ", path));
  }
  return reply;
}

void Callers::CheckCut(NodeProcess* node, TimePoint sent_at,
                       const std::string& what) {
  const TimePoint now = clock_.Now();
  if (!faults_->IsCalm(node->name(), sent_at - kTroubleEcho, now)) return;
  for (const NodeLife& life : node->lives()) {
    const bool served = life.started_at + kStartTime <= sent_at &&
                        (!life.ended_at.has_value() ||
                         sent_at + kLastMoments <= *life.ended_at);
    if (!served || life.killed) continue;
    // Its end may not have been noted yet.
    const bool ends =
        life.stop_asked_at.has_value() && now - sent_at <= kLastMoments;
    if (ends) continue;
    Violate(
        absl::StrCat(node->name(), " cut ", what, " off, sent ",
                     (now - sent_at).ms(), " ms before",
                     life.stop_asked_at.has_value() ? ", while stopping" : ""));
  }
}

bool Callers::Submit(const DraftJob& job) {
  platform_->Watch(job.spec, job.truths);
  mutex_.lock();
  paths_[job.spec.id] = job.path;
  mutex_.unlock();
  ++counts_.submitted;
  for (int i = 0; i < kSubmitTries; ++i) {
    const Reply reply = Call(PickNode(), "POST", job.path, job.body, kKey);
    const int status = reply.http.status;
    const bool answered = reply.http.outcome == HttpOutcome::kAnswered;
    if (answered && status == kAccepted) {
      ++counts_.accepted;
      const std::lock_guard<std::mutex> lock(mutex_);
      timings_.push_back({reply.sent_at, clock_.Now() - reply.sent_at});
    }
    const bool accepted = answered && status == kAccepted;
    const bool refused =
        answered && (status == kTooMany || status == kNotTaken);
    const bool sent = reply.http.outcome != HttpOutcome::kNotSent;
    platform_->WithOracle([&](emulator::PromiseOracle& oracle) {
      emulator::JobWatch& watch = *oracle.Find(job.spec.id);
      if (accepted) watch.accepted = true;
      if (sent && !refused) watch.may_be_taken = true;
    });
    if (accepted) return true;
    if (refused) ++counts_.refused;
    if (sent && !refused) ++counts_.unknown;
    Sleep(kRetryPause);
  }
  return false;
}

std::string Callers::StateOf(const std::string& path) {
  ++counts_.queries;
  const Reply reply = Call(PickNode(), "GET", path, "", kKey);
  if (reply.http.outcome != HttpOutcome::kAnswered) return "";
  if (reply.http.status == kGone) return "gone";
  if (reply.http.status != kAccepted) return "";
  const absl::StatusOr<Json::Value> json = ParseJson(reply.http.body);
  return json.ok() ? json->get("state", "").asString() : "";
}

void Callers::Cancel(const DraftJob& job) {
  platform_->WithOracle([&job](emulator::PromiseOracle& oracle) {
    oracle.Find(job.spec.id)->cancel_sent = true;
  });
  Call(PickNode(), "DELETE", job.path, "", kKey);
}

void Callers::CheckKey(JobMaker* maker) {
  const DraftJob job = maker->Make();
  const Reply reply = Call(PickNode(), "POST", job.path, job.body, kForeignKey);
  if (reply.http.status == kAccepted) {
    Violate(absl::StrCat("a key that never held was taken for ", job.path));
  }
  const bool answered = reply.http.outcome == HttpOutcome::kAnswered;
  if (answered && reply.http.status != kUnknownKey &&
      reply.http.status != kNotTaken) {
    Violate(absl::StrCat("a key that never held got ", reply.http.status));
  }
}

void Callers::Live(const DraftJob& job, JobMaker* maker) {
  if (!Submit(job)) return;
  if (maker->Chance(kSentAgainShare)) {
    const Reply again = Call(PickNode(), "POST", job.path, job.body, kKey);
    const bool answered = again.http.outcome == HttpOutcome::kAnswered;
    if (answered && again.http.status == 409) {
      Violate(absl::StrCat("the same job again was a conflict: ", job.path));
    }
  }
  if (maker->Chance(experiment_.cancelled_share)) {
    Sleep(Duration(maker->Pick(0, 1500)));
    Cancel(job);
  }
  if (StateOf(job.path) == "gone") {
    Violate(absl::StrCat(job.path, " was accepted and is not known"));
  }
}

void Callers::MakeLoad(std::uint64_t seed) {
  JobMaker maker(experiment_, seed);
  const auto pause =
      static_cast<std::int64_t>(1000 / experiment_.jobs_per_caller);
  while (!stopping_) {
    if (maker.Chance(kForeignKeyShare)) CheckKey(&maker);
    Live(maker.Make(), &maker);
    Sleep(Duration(maker.Pick(pause / 2, pause * 3 / 2)));
  }
}

void Callers::HoldConnections(std::uint64_t seed) {
  JobMaker maker(experiment_, seed);
  while (!stopping_) {
    NodeProcess* node = PickNode();
    ++counts_.held_calls;
    HeldCall call(node->front());
    // Below the time after which nodes close a connection that is not used.
    Sleep(Duration(maker.Pick(0, 1500)));
    const TimePoint sent_at = clock_.Now();
    if (!call.Send(kHost, kKey, kOrdinaryPrefix)) continue;
    if (!call.IsAnswered(kCallTimeout)) {
      CheckCut(node, sent_at, "a call on a connection opened before");
    }
  }
}

void Callers::ProbeConfig() {
  while (!stopping_) {
    for (std::size_t i = 0; i < nodes_->size(); ++i) {
      ProbeNode((*nodes_)[i].get(), i);
    }
    Sleep(kProbePause);
  }
}

void Callers::ProbeNode(NodeProcess* node, std::size_t index) {
  const ConfigWrite newest = platform_->newest_config();
  const std::size_t life = node->lives().size();
  Seen& seen = seen_[index];
  if (seen.life != life) seen = {life, 0, TimePoint()};
  const Reply reply = Call(node, "GET", ProbePrefix(newest.version), "", kKey);
  if (reply.http.outcome != HttpOutcome::kAnswered) return;
  const bool known = reply.http.status == kAccepted;
  if (known && seen.version < newest.version) {
    seen = {life, newest.version, clock_.Now()};
  }
  if (reply.http.status != kNoRoute || node->lives().size() != life) return;
  // Versions that came during the call may have dropped the route again.
  if (platform_->newest_config().version > newest.version + 1) return;
  const bool reverted =
      seen.version >= newest.version && reply.sent_at > seen.at + kRegressSlack;
  if (reverted) {
    Violate(absl::StrCat(node->name(), " went back behind version ",
                         newest.version, " of the configuration"));
  }
  const TimePoint since = std::max(newest.at, node->lives().back().started_at);
  const bool overdue = reply.sent_at > since + kConfigBound;
  const bool calm =
      faults_->IsCalm(node->name(), since, clock_.Now()) &&
      faults_->IsCalm(StoreLinkOf(node->name()), since, clock_.Now()) &&
      faults_->IsCalm(kStoreSubject, since, clock_.Now());
  if (overdue && calm) {
    Violate(absl::StrCat(node->name(), " does not know version ",
                         newest.version, " of the configuration"));
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
