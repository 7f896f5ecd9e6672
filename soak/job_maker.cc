/// @file
/// Random generation of jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/job_maker.h"

#include <json/json.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "codec/json.h"
#include "soak/soak_platform.h"

namespace limeledge::soak {

namespace {

constexpr std::int64_t kCpuMillis = 2000;
constexpr std::int64_t kMemoryMb = 1024;
constexpr double kSeveralStepsShare = 0.3;
constexpr double kSavingShare = 0.4;
constexpr double kGivingUpShare = 0.3;

Json::Value EncodeStep(const dispatch::StepSpec& step) {
  Json::Value json;
  json["count"] = step.count;
  json["cpu"] = Json::Int64(step.need.cpu_millis);
  json["mem-mb"] = Json::Int64(step.need.memory_mb);
  json["gpu"] = Json::Int64(step.need.accelerators);
  json["estimate-ms"] = Json::Int64(step.estimate.ms());
  for (const int before : step.after) json["after"].append(before);
  if (step.saves_progress) json["checkpoint"] = true;
  if (step.gang) json["gang"] = true;
  return json;
}

/// Task payload that the stand-in runners read.
std::string EncodeTruth(const emulator::TaskTruth& truth) {
  Json::Value json;
  json["work_ms"] = Json::Int64(truth.work.ms());
  json["gang"] = truth.gang_size;
  json["fails"] = truth.always_fails;
  json["saves"] = truth.saves_progress;
  if (truth.crashes_after.has_value()) {
    json["crashes_ms"] = Json::Int64(truth.crashes_after->ms());
  }
  json["cpu"] = Json::Int64(truth.need.cpu_millis);
  json["mem_mb"] = Json::Int64(truth.need.memory_mb);
  json["gpu"] = Json::Int64(truth.need.accelerators);
  return WriteJson(json);
}

std::string EncodeBody(const dispatch::JobSpec& spec) {
  Json::Value json;
  json["spec"] = spec.payload;
  for (const dispatch::StepSpec& step : spec.steps) {
    json["steps"].append(EncodeStep(step));
  }
  return WriteJson(json);
}

}  // namespace

JobMaker::JobMaker(const Experiment& experiment, std::uint64_t seed)
    : experiment_(experiment), random_(seed) {}

bool JobMaker::Chance(double share) {
  return std::uniform_real_distribution<>()(random_) < share;
}

std::int64_t JobMaker::Pick(std::int64_t least, std::int64_t most) {
  return std::uniform_int_distribution<std::int64_t>(least, most)(random_);
}

DraftJob JobMaker::Make() {
  dispatch::StepSpec step;
  emulator::TaskTruth truth;
  truth.work = Duration(
      Pick(experiment_.shortest_work.ms(), experiment_.longest_work.ms()));
  truth.always_fails = Chance(experiment_.failing_share);
  // Draws no random number if the share is 0, so that existing seeds still give
  // the same jobs.
  const bool crashes =
      experiment_.crashing_share > 0 && Chance(experiment_.crashing_share);
  if (crashes) truth.crashes_after = Duration(Pick(5, truth.work.ms()));
  const bool urgent = Chance(experiment_.urgent_share);
  step.gang = Chance(experiment_.gang_share);
  step.count = static_cast<int>(Pick(step.gang ? 2 : 1, 4));
  const std::int64_t most = experiment_.most_accelerators;
  const std::int64_t guaranteed = kGuaranteedAccelerators / step.count;
  step.need.accelerators = Pick(1, urgent ? std::min(guaranteed, most) : most);
  step.saves_progress = Chance(kSavingShare);
  const bool several = !step.gang && Chance(kSeveralStepsShare);
  DraftJob job = Finish(std::move(step), truth, several ? 2 : 1, urgent);
  job.gives_up = Chance(kGivingUpShare);
  return job;
}

DraftJob JobMaker::MakeUrgentGang(int members, int accelerators) {
  dispatch::StepSpec step;
  step.count = members;
  step.gang = true;
  step.need.accelerators = accelerators;
  emulator::TaskTruth truth;
  return Finish(std::move(step), truth, 1, true);
}

DraftJob JobMaker::MakeFiller(int tasks, int accelerators, Duration work) {
  dispatch::StepSpec step;
  step.count = tasks;
  step.need.accelerators = accelerators;
  step.saves_progress = true;
  emulator::TaskTruth truth;
  truth.work = work;
  return Finish(std::move(step), truth, 1, false);
}

DraftJob JobMaker::Finish(dispatch::StepSpec step, emulator::TaskTruth truth,
                          int steps, bool urgent) {
  step.need.cpu_millis = kCpuMillis;
  step.need.memory_mb = kMemoryMb;
  step.estimate = truth.work * Pick(5, 20) / 10;
  truth.need = step.need;
  truth.gang_size = step.gang ? step.count : 0;
  truth.saves_progress = step.saves_progress;
  DraftJob job;
  job.urgent = urgent;
  job.spec.id = JobId(absl::StrFormat("%016x", random_()));
  job.spec.payload = EncodeTruth(truth);
  for (int i = 0; i < steps; ++i) {
    step.after = i == 0 ? std::vector<int>{} : std::vector<int>{i - 1};
    job.spec.steps.push_back(step);
    job.truths.push_back(truth);
  }
  job.body = EncodeBody(job.spec);
  job.path = absl::StrCat(urgent ? kUrgentPrefix : kOrdinaryPrefix,
                          job.spec.id.value());
  return job;
}

}  // namespace limeledge::soak
