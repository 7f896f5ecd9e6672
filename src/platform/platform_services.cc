/// @file
/// HTTP routes of the platform stand-in.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/platform_services.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "codec/json_fields.h"
#include "codec/message_codec.h"

namespace limeledge {

namespace {

constexpr char kJson[] = "application/json";
constexpr std::size_t kRowsPerPage = 2000;
constexpr std::size_t kCutLength = 1024;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kNotModified = 304;

/// Ends the connection without a whole answer.
void Cut(httplib::Response& response) {
  response.set_content_provider(
      kCutLength, kJson,
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

void SetJson(httplib::Response& response, const std::string& body) {
  response.set_content(body, kJson);
}

void SetError(httplib::Response& response, int status,
              const std::string& message) {
  response.status = status;
  Json::Value json(Json::objectValue);
  json["error"] = message;
  SetJson(response, WriteJson(json));
}

template <typename Info>
void Replace(std::vector<Info>* infos, const Info& info) {
  const auto it =
      std::find_if(infos->begin(), infos->end(),
                   [&info](const Info& other) { return other.id == info.id; });
  if (it != infos->end()) {
    *it = info;
  } else {
    infos->push_back(info);
  }
}

template <typename Info>
void Remove(std::vector<Info>* infos, const std::string& id) {
  infos->erase(
      std::remove_if(infos->begin(), infos->end(),
                     [&id](const Info& info) { return info.id.value() == id; }),
      infos->end());
}

bool ParseFault(const std::string& name, ServiceFault* fault) {
  if (name == "none") {
    *fault = ServiceFault::kNone;
  } else if (name == "down") {
    *fault = ServiceFault::kDown;
  } else if (name == "slow") {
    *fault = ServiceFault::kSlow;
  } else if (name == "lose_answer") {
    *fault = ServiceFault::kLoseAnswer;
  } else {
    return false;
  }
  return true;
}

}  // namespace

PlatformServices::PlatformServices(HttpServerOptions options)
    : server_(std::move(options)) {
  AddTableRoutes();
  AddObjectRoutes();
  AddInstanceRoutes();
  AddFaultRoutes();
}

PlatformServices::~PlatformServices() { server_.Stop(); }

absl::Status PlatformServices::Start() { return server_.Start(); }

void PlatformServices::AddEntry(const EntryInfo& entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Replace(&list_.entries, entry);
  KeepSnapshot();
}

void PlatformServices::AddTableRoutes() {
  server_.routes().Post(
      "/v1/table/transactions",
      [this](const httplib::Request& request, httplib::Response& response) {
        Fault fault;
        if (BeginCall("table", response, &fault)) return;
        const auto transaction = DecodeTransaction(request.body);
        if (!transaction.ok()) {
          SetError(response, kBadRequest,
                   std::string(transaction.status().message()));
          return;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        ++calls_["transactions"];
        EndCall(fault, EncodeTransactionReply(table_.Commit(*transaction)),
                response);
      });
  server_.routes().Get("/v1/table/changes", [this](
                                                const httplib::Request& request,
                                                httplib::Response& response) {
    Fault fault;
    if (BeginCall("table", response, &fault)) return;
    std::int64_t since = 0;
    if (!absl::SimpleAtoi(request.get_param_value("since"), &since)) {
      SetError(response, kBadRequest, "since must be a revision");
      return;
    }
    std::size_t limit = kRowsPerPage;
    if (request.has_param("limit") &&
        !absl::SimpleAtoi(request.get_param_value("limit"), &limit)) {
      SetError(response, kBadRequest, "limit must be a number");
      return;
    }
    std::vector<std::string> prefixes;
    for (std::size_t i = 0; i < request.get_param_value_count("prefix"); ++i) {
      prefixes.push_back(request.get_param_value("prefix", i));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    ++calls_["changes"];
    EndCall(fault,
            EncodeChangedRows(table_.Changes(prefixes, Revision(since),
                                             std::min(limit, kRowsPerPage))),
            response);
  });
  server_.routes().Post(
      "/v1/table/rows",
      [this](const httplib::Request& request, httplib::Response& response) {
        Fault fault;
        if (BeginCall("table", response, &fault)) return;
        const auto keys = ParseJson(request.body);
        if (!keys.ok() || !keys->isArray()) {
          SetError(response, kBadRequest, "the body must be a list of keys");
          return;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        ++calls_["rows"];
        TransactionConflict rows;
        for (const Json::Value& key : *keys) {
          rows.current.push_back(table_.Read(key.asString()));
        }
        EndCall(fault, EncodeTransactionReply(rows), response);
      });
}

void PlatformServices::AddObjectRoutes() {
  server_.routes().Put(
      R"(/v1/objects/(.+))",
      [this](const httplib::Request& request, httplib::Response& response) {
        Fault fault;
        if (BeginCall("objects", response, &fault)) return;
        const std::lock_guard<std::mutex> lock(mutex_);
        objects_[request.matches[1].str()] = request.body;
        EndCall(fault, "{}", response);
      });
  server_.routes().Get(
      R"(/v1/objects/(.+))",
      [this](const httplib::Request& request, httplib::Response& response) {
        Fault fault;
        if (BeginCall("objects", response, &fault)) return;
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = objects_.find(request.matches[1].str());
        if (it == objects_.end()) {
          SetError(response, kNotFound, "no such object");
          return;
        }
        EndCall(fault, it->second, response);
      });
}

void PlatformServices::AddInstanceRoutes() {
  server_.routes().Get("/v1/instances", [this](const httplib::Request& request,
                                               httplib::Response& response) {
    Fault fault;
    if (BeginCall("instances", response, &fault)) return;
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string body = EncodeInstanceList(LaggingList());
    const std::string tag =
        absl::StrCat("\"", XXH64(body.data(), body.size(), 0), "\"");
    response.set_header("ETag", tag);
    if (request.get_header_value("If-None-Match") == tag) {
      response.status = kNotModified;
      return;
    }
    EndCall(fault, body, response);
  });
  server_.routes().Put(
      R"(/v1/instances/(entries|workers|runners)/([^/]+))",
      [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status =
            PutInstance(request.matches[1].str(), request.body);
        if (!status.ok()) {
          SetError(response, kBadRequest, std::string(status.message()));
          return;
        }
        KeepSnapshot();
        SetJson(response, "{}");
      });
  server_.routes().Delete(
      R"(/v1/instances/(entries|workers|runners)/([^/]+))",
      [this](const httplib::Request& request, httplib::Response& response) {
        const std::lock_guard<std::mutex> lock(mutex_);
        EraseInstance(request.matches[1].str(), request.matches[2].str());
        KeepSnapshot();
        SetJson(response, "{}");
      });
}

void PlatformServices::AddFaultRoutes() {
  server_.routes().Post("/v1/faults", [this](const httplib::Request& request,
                                             httplib::Response& response) {
    const auto json = ParseJson(request.body);
    Findings findings("fault");
    std::string service;
    std::string kind;
    Fault fault;
    if (json.ok()) {
      JsonFields fields(*json, "", &findings);
      fields.Text("service", Presence::kRequired, &service);
      fields.Text("fault", Presence::kRequired, &kind);
      fields.Milliseconds("delay_ms", Presence::kOptional, 0, INT32_MAX,
                          &fault.delay);
      fields.Integer("count", Presence::kOptional, -1, INT32_MAX, &fault.count);
    }
    const bool lag = kind == "lag" && service == "instances";
    const bool valid =
        json.ok() && findings.empty() && (lag || ParseFault(kind, &fault.kind));
    if (!valid) {
      SetError(response, kBadRequest,
               "needs service (table, objects, instances) and fault "
               "(none, down, slow, lose_answer; lag for instances)");
      return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lag) {
      list_lag_ = fault.delay;
    } else {
      faults_[service] = fault;
    }
    SetJson(response, "{}");
  });
  server_.routes().Get("/v1/calls", [this](const httplib::Request&,
                                           httplib::Response& response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Json::Value json(Json::objectValue);
    for (const auto& [name, count] : calls_) {
      json[name] = Json::Int64(count);
    }
    json["revision"] = Json::Int64(table_.revision().value());
    json["rows"] = Json::UInt64(table_.size());
    SetJson(response, WriteJson(json));
  });
}

PlatformServices::Fault PlatformServices::TakeFault(
    const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = faults_.find(service);
  if (it == faults_.end() || it->second.count == 0) return {};
  if (it->second.count > 0) --it->second.count;
  return it->second;
}

bool PlatformServices::BeginCall(const std::string& service,
                                 httplib::Response& response, Fault* fault) {
  *fault = TakeFault(service);
  if (fault->kind == ServiceFault::kDown) {
    Cut(response);
    return true;
  }
  if (fault->kind == ServiceFault::kSlow) {
    std::this_thread::sleep_for(std::chrono::milliseconds(fault->delay.ms()));
  }
  return false;
}

void PlatformServices::EndCall(const Fault& fault, const std::string& body,
                               httplib::Response& response) {
  if (fault.kind == ServiceFault::kLoseAnswer) {
    Cut(response);
  } else {
    SetJson(response, body);
  }
}

absl::Status PlatformServices::PutInstance(const std::string& kind,
                                           const std::string& body) {
  const std::string list = absl::StrCat("{\"", kind, "\":[", body, "]}");
  const absl::StatusOr<InstanceList> added = DecodeInstanceList(list);
  if (!added.ok()) return added.status();
  for (const EntryInfo& entry : added->entries) Replace(&list_.entries, entry);
  for (const WorkerInfo& worker : added->workers) {
    Replace(&list_.workers, worker);
  }
  for (const RunnerInfo& runner : added->runners) {
    Replace(&list_.runners, runner);
  }
  return absl::OkStatus();
}

void PlatformServices::EraseInstance(const std::string& kind,
                                     const std::string& id) {
  if (kind == "entries") Remove(&list_.entries, id);
  if (kind == "workers") Remove(&list_.workers, id);
  if (kind == "runners") Remove(&list_.runners, id);
}

void PlatformServices::KeepSnapshot() {
  snapshots_.push_back({clock_.Now(), list_});
  const TimePoint oldest = clock_.Now() - list_lag_ - Duration(60000);
  while (snapshots_.size() > 1 && snapshots_[1].at < oldest) {
    snapshots_.pop_front();
  }
}

InstanceList PlatformServices::LaggingList() {
  const TimePoint as_of = clock_.Now() - list_lag_;
  InstanceList list;
  for (const Snapshot& snapshot : snapshots_) {
    if (snapshot.at > as_of) break;
    list = snapshot.list;
  }
  return list;
}

}  // namespace limeledge
