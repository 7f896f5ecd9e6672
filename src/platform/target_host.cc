/// @file
/// HTTP routes of emulated targets.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/target_host.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/json_fields.h"
#include "codec/message_codec.h"

namespace limeledge {

namespace {

constexpr char kJson[] = "application/json";
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kRefused = 503;
constexpr std::size_t kCutLength = 1024;
constexpr Duration kLongestNap{100};

void Cut(httplib::Response& response) {
  response.set_content_provider(
      kCutLength, kJson,
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

std::int64_t NewIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::int64_t> pick(1, INT64_MAX);
  return pick(device);
}

/// A worker to be told, after the lock is released, that something changed.
struct Notice {
  std::string address;
  WorkerId worker;
};

}  // namespace

TargetHost::TargetHost(TargetHostOptions options)
    : options_(std::move(options)), server_(options_.http) {
  AddRoutes();
}

TargetHost::~TargetHost() { Stop(); }

absl::Status TargetHost::Start() {
  absl::Status status = server_.Start();
  if (!status.ok()) return status;
  ticker_ = std::thread([this] { LetTimePass(); });
  return absl::OkStatus();
}

void TargetHost::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (ticker_.joinable()) ticker_.join();
  server_.Stop();
}

absl::Status TargetHost::AddWorker(WorkerInfo info) {
  info.address = Address(address());
  InstanceList list;
  list.workers.push_back(info);
  const Duration default_run_time = options_.default_run_time;
  WorkerModel model(
      info, NewIncarnation(), [default_run_time](const TaskOrder& order) {
        return order.declared > Duration(0) ? order.declared : default_run_time;
      });
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    workers_.insert_or_assign(info.id, std::move(model));
  }
  const auto json = ParseJson(EncodeInstanceList(list));
  return List("workers", info.id.value(), WriteJson((*json)["workers"][0]));
}

absl::Status TargetHost::AddRunner(RunnerInfo info) {
  info.address = Address(address());
  InstanceList list;
  list.runners.push_back(info);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    runners_.insert_or_assign(info.id, RunnerModel(info));
  }
  const auto json = ParseJson(EncodeInstanceList(list));
  return List("runners", info.id.value(), WriteJson((*json)["runners"][0]));
}

void TargetHost::AddRoutes() {
  httplib::Server& routes = server_.routes();
  routes.Post("/v1/exchange", [this](const httplib::Request& request,
                                     httplib::Response& response) {
    HandleExchange(request, response);
  });
  routes.Post("/v1/run", [this](const httplib::Request& request,
                                httplib::Response& response) {
    HandleRun(request, response);
  });
  routes.Post(
      R"(/v1/targets/([^/]+)/faults)",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleFaults(request, response);
      });
  routes.Post(
      R"(/v1/targets/([^/]+)/leave)",
      [this](const httplib::Request& request, httplib::Response& response) {
        HandleLeave(request, response);
      });
  routes.Get("/v1/targets",
             [this](const httplib::Request&, httplib::Response& response) {
               HandleShow(response);
             });
}

void TargetHost::HandleExchange(const httplib::Request& request,
                                httplib::Response& response) {
  const auto exchange = DecodeExchange(request.body);
  if (!exchange.ok()) {
    response.status = kBadRequest;
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = workers_.find(exchange->worker);
  if (it == workers_.end()) {
    response.status = kNotFound;
    return;
  }
  const WorkerReport report = it->second.Handle(clock_.Now(), *exchange);
  response.set_content(EncodeWorkerReport(report), kJson);
  wake_.notify_all();
}

void TargetHost::HandleRun(const httplib::Request& request,
                           httplib::Response& response) {
  const auto call = DecodeRunnerCall(request.body);
  if (!call.ok()) {
    response.status = kBadRequest;
    return;
  }
  RunnerModel* runner = nullptr;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = runners_.find(call->runner);
    const bool begun = it != runners_.end() && it->second.Begin(*call);
    if (it != runners_.end() && it->second.leaving()) {
      response.set_header("X-Leaving", "true");
    }
    if (!begun) {
      response.status = kRefused;
      response.set_content("{\"started\":false}", kJson);
      return;
    }
    runner = &it->second;
  }
  if (options_.service_time > Duration(0)) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(options_.service_time.ms()));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const RunnerAnswer answer = runner->End(*call);
  if (runner->faults().cut) {
    Cut(response);
    return;
  }
  response.set_content(EncodeRunnerAnswer(answer), kJson);
}

void TargetHost::HandleFaults(const httplib::Request& request,
                              httplib::Response& response) {
  const std::string id = request.matches[1].str();
  const auto json = ParseJson(request.body);
  Findings findings("faults");
  WorkerFaults worker_faults;
  RunnerFaults runner_faults;
  if (json.ok()) {
    JsonFields fields(*json, "", &findings);
    constexpr Presence kMaybe = Presence::kOptional;
    fields.Bool("fail_everything", kMaybe, &worker_faults.fail_everything);
    fields.Bool("ignore_checkpoint", kMaybe, &worker_faults.ignore_checkpoint);
    fields.Bool("refuse_prepare", kMaybe, &worker_faults.refuse_prepare);
    fields.Bool("refuse", kMaybe, &runner_faults.refuse);
    fields.Bool("cut", kMaybe, &runner_faults.cut);
    fields.Bool("foreign", kMaybe, &runner_faults.foreign);
    fields.RejectOthers();
  }
  if (!json.ok() || !findings.empty()) {
    response.status = kBadRequest;
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto worker = workers_.find(WorkerId(id));
  const auto runner = runners_.find(RunnerId(id));
  if (worker != workers_.end()) worker->second.SetFaults(worker_faults);
  if (runner != runners_.end()) runner->second.SetFaults(runner_faults);
  response.set_content("{}", kJson);
}

void TargetHost::HandleLeave(const httplib::Request& request,
                             httplib::Response& response) {
  const std::string id = request.matches[1].str();
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto worker = workers_.find(WorkerId(id));
  const auto runner = runners_.find(RunnerId(id));
  if (worker != workers_.end()) worker->second.SetLeaving();
  if (runner != runners_.end()) runner->second.SetLeaving();
  response.set_content("{}", kJson);
}

void TargetHost::HandleShow(httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Json::Value json(Json::objectValue);
  Json::Value workers(Json::arrayValue);
  for (const auto& [id, model] : workers_) {
    Json::Value worker(Json::objectValue);
    worker["id"] = id.value();
    worker["running"] = Json::UInt64(model.Running().size());
    workers.append(worker);
  }
  Json::Value runners(Json::arrayValue);
  for (const auto& [id, model] : runners_) {
    Json::Value runner(Json::objectValue);
    runner["id"] = id.value();
    runner["in_use"] = model.in_use();
    runner["most_in_use"] = model.most_in_use();
    runner["refused"] = model.refused();
    int runs = 0;
    int repeats = 0;
    for (const auto& [key, count] : model.runs()) {
      runs += count;
      if (count > 1) ++repeats;
    }
    runner["runs"] = runs;
    runner["run_more_than_once"] = repeats;
    runners.append(runner);
  }
  json["workers"] = workers;
  json["runners"] = runners;
  response.set_content(WriteJson(json), kJson);
}

void TargetHost::LetTimePass() {
  while (true) {
    std::vector<Notice> notices;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (stopping_) return;
      const TimePoint now = clock_.Now();
      TimePoint next = now + kLongestNap;
      for (auto& [id, worker] : workers_) {
        if (worker.Advance(now)) {
          notices.push_back({worker.notify_address(), id});
        }
        next = std::min(next, worker.NextChange());
      }
      if (notices.empty()) {
        const std::int64_t nap = std::max<std::int64_t>(1, (next - now).ms());
        wake_.wait_for(lock, std::chrono::milliseconds(nap));
      }
    }
    for (const Notice& notice : notices) {
      if (notice.address.empty()) continue;
      HttpCall call;
      call.address = notice.address;
      call.path =
          absl::StrCat("/v1/workers/", notice.worker.value(), "/changed");
      call.body = "{}";
      call.timeout = Duration(500);
      // A hint only: the planner's next exchange finds the change anyway.
      client_.Call(call);
    }
  }
}

absl::Status TargetHost::List(const std::string& kind, const std::string& id,
                              const std::string& body) {
  HttpCall call;
  call.address = options_.platform;
  call.method = "PUT";
  call.path = absl::StrCat("/v1/instances/", kind, "/", id);
  call.body = body;
  const HttpReply reply = client_.Call(call);
  if (reply.ok()) return absl::OkStatus();
  return absl::UnavailableError(
      absl::StrCat("the platform at ", options_.platform, " did not list ", id,
                   ": ", reply.body));
}

}  // namespace limeledge
