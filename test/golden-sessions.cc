/// @file
/// The courses of the kept sessions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "golden-sessions.h"

#include "absl/strings/str_cat.h"
#include "codec/effect_text.h"
#include "codec/event_codec.h"
#include "trial/cluster.h"

namespace limeledge {

namespace {

constexpr char kSettings[] = R"(system:
  hall_lease_ms: 2000
  hall_lease_margin_ms: 400
  task_lease_ms: 4000
  exchange_ms: 1000
  heartbeat_ms: 500
  suspect_ms: 1500
  store_poll_ms: 500
  slot_handover_ms: 200
  stop_grace_ms: 300
halls:
  a: {racks: 1, workers_per_rack: 2, accelerators_per_worker: 4, cores_per_worker: 8, memory_mb_per_worker: 100}
classes:
  check: {kind: request}
  batch: {kind: job}
workspaces:
  w1: {guarantees: {g: {hall: a, members: 2, accelerators: 4}}}
  w2: {}
)";

/// A cluster whose every event with effects is written down.
class Recorder {
 public:
  explicit Recorder(int instances) : cluster_(Options(instances)) {
    cluster_.OnReduce(
        [this](int instance, const Event& event, const Effects& effects) {
          Note(instance, event, effects);
        });
    AddDeclaredWorkers(kSettings, &cluster_);
    cluster_.RunFor(Duration(1500));
  }

  Cluster& cluster() { return cluster_; }
  const std::string& text() const { return text_; }

  JobSpec Job(const char* workspace, const char* name, int members) {
    JobSpec spec;
    spec.workspace = WorkspaceId(workspace);
    spec.id = FullJobId(spec.workspace, name);
    spec.job_class = ClassId("batch");
    spec.members = members;
    spec.accelerators = 4;
    spec.cores = 1;
    spec.declared = Duration(700);
    spec.repeatable = true;
    return spec;
  }

  RequestSpec Request(const char* id, bool repeatable) {
    RequestSpec request;
    request.id = RequestId(id);
    request.workspace = WorkspaceId("w1");
    request.request_class = ClassId("check");
    request.repeatable = repeatable;
    request.deadline = Duration(1000);
    request.payload = "x";
    return request;
  }

 private:
  static ClusterOptions Options(int instances) {
    ClusterOptions options;
    options.instances = instances;
    options.settings = kSettings;
    options.runners = 1;
    options.tick = Duration(50);
    return options;
  }

  void Note(int instance, const Event& event, const Effects& effects) {
    if (effects.empty()) return;
    absl::StrAppend(&text_, "e", instance + 1, " > ", EncodeEvent(event), "\n");
    for (const Effect& effect : effects) {
      absl::StrAppend(&text_, "e", instance + 1, " <   ",
                      DescribeEffect(effect), "\n");
    }
  }

  Cluster cluster_;
  std::string text_;
};

std::string RunGang() {
  Recorder recorder(1);
  recorder.cluster().Submit(0, recorder.Job("w1", "gang", 2));
  recorder.cluster().RunFor(Duration(1500));
  return recorder.text();
}

std::string RunClaimedRequest() {
  Recorder recorder(2);
  recorder.cluster().Request(0, recorder.Request("r1", false));
  recorder.cluster().RunFor(Duration(300));
  recorder.cluster().Request(1, recorder.Request("r1", false));
  recorder.cluster().RunFor(Duration(300));
  return recorder.text();
}

std::string RunOutage() {
  Recorder recorder(1);
  recorder.cluster().faults().lose_commit_answer = 100;
  recorder.cluster().Submit(0, recorder.Job("w1", "lost", 1));
  recorder.cluster().RunFor(Duration(2100));
  recorder.cluster().faults().lose_commit_answer = 0;
  recorder.cluster().RunFor(Duration(2500));
  recorder.cluster().faults().store_down = true;
  recorder.cluster().RunFor(Duration(3000));
  recorder.cluster().Request(0, recorder.Request("r2", false));
  recorder.cluster().RunFor(Duration(200));
  return recorder.text();
}

std::string RunReclaim() {
  Recorder recorder(1);
  JobSpec borrower = recorder.Job("w2", "borrower", 2);
  borrower.declared = Duration(60000);
  recorder.cluster().Submit(0, borrower);
  recorder.cluster().RunFor(Duration(800));
  recorder.cluster().Submit(0, recorder.Job("w1", "entitled", 2));
  recorder.cluster().RunFor(Duration(1500));
  return recorder.text();
}

std::string RunPlannedStop() {
  Recorder recorder(2);
  recorder.cluster().Request(0, recorder.Request("r1", true));
  recorder.cluster().Stop(0);
  recorder.cluster().RunFor(Duration(1500));
  return recorder.text();
}

}  // namespace

std::vector<GoldenSession> GoldenSessions() {
  return {{"gang", RunGang},
          {"claimed-request", RunClaimedRequest},
          {"outage", RunOutage},
          {"reclaim", RunReclaim},
          {"planned-stop", RunPlannedStop}};
}

}  // namespace limeledge
