/// @file
/// Routes of the caller, operator and worker interface.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/api_server.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "codec/identifier.h"
#include "daemon/metrics.h"

namespace limeledge {

namespace {

constexpr char kJson[] = "application/json";
constexpr char kText[] = "text/plain; version=0.0.4";
constexpr int kUnavailable = 503;
/// The reducer answers by itself in time; this only guards against a fault of
/// its own.
constexpr Duration kAnswerSlack{5000};
constexpr Duration kAnswerLimit{15000};
constexpr std::int64_t kMaxWaitMs = 600000;
constexpr std::int64_t kMaxHistory = 100;
constexpr std::int64_t kDefaultHistory = 10;
constexpr std::int64_t kMsPerSecond = 1000;

/// Reads a whole number from the query; `value` keeps its default when it is
/// left out. Returns false when it is no number from 0 to `max`.
bool ReadNumber(const httplib::Request& request, const char* name,
                std::int64_t max, std::int64_t* value) {
  if (!request.has_param(name)) return true;
  return absl::SimpleAtoi(request.get_param_value(name), value) &&
         *value >= 0 && *value <= max;
}

Failure Invalid(const std::string& message) {
  return {absl::InvalidArgumentError(message), {}, Duration()};
}

Failure InvalidBody(const Findings& findings) {
  return {absl::InvalidArgumentError("the body is faulty"), findings.all(),
          Duration()};
}

}  // namespace

ApiServer::ApiServer(HttpServerOptions options, const Access* access,
                     CallTable* calls, EventSink sink)
    : access_(access),
      calls_(calls),
      sink_(std::move(sink)),
      server_(std::move(options)) {
  AddRequestRoutes();
  AddJobRoutes();
  AddSettingsRoutes();
  AddProcessRoutes();
}

void ApiServer::AddRequestRoutes() {
  server_.routes().Post("/v1/requests", [this](const httplib::Request& request,
                                               httplib::Response& response) {
    PostRequest(request, response);
  });
}

void ApiServer::AddJobRoutes() {
  httplib::Server& routes = server_.routes();
  routes.Post("/v1/jobs", [this](const httplib::Request& request,
                                 httplib::Response& response) {
    PostJob(request, response);
  });
  routes.Get("/v1/jobs", [this](const httplib::Request& request,
                                httplib::Response& response) {
    ListJobs(request, response);
  });
  routes.Get(R"(/v1/jobs/([^/]+))", [this](const httplib::Request& request,
                                           httplib::Response& response) {
    GetJob(request, response);
  });
  routes.Delete(R"(/v1/jobs/([^/]+))", [this](const httplib::Request& request,
                                              httplib::Response& response) {
    DeleteJob(request, response);
  });
  routes.Post(
      R"(/v1/workers/([^/]+)/changed)",
      [this](const httplib::Request& request, httplib::Response& response) {
        sink_(WorkerChanged{WorkerId(request.matches[1].str())});
        response.set_content("{}", kJson);
      });
}

void ApiServer::AddSettingsRoutes() {
  httplib::Server& routes = server_.routes();
  routes.Get("/v1/settings", [this](const httplib::Request& request,
                                    httplib::Response& response) {
    Principal principal;
    if (!AuthorizeOperator(request, response, false, &principal)) return;
    Ask([](CallId call) { return SettingsAsked{call}; }, kAnswerLimit,
        response);
  });
  routes.Put("/v1/settings", [this](const httplib::Request& request,
                                    httplib::Response& response) {
    PutSettings(request, response);
  });
  routes.Get("/v1/settings/history", [this](const httplib::Request& request,
                                            httplib::Response& response) {
    GetHistory(request, response);
  });
}

void ApiServer::AddProcessRoutes() {
  httplib::Server& routes = server_.routes();
  routes.Get("/v1/state", [this](const httplib::Request& request,
                                 httplib::Response& response) {
    Principal principal;
    if (!AuthorizeOperator(request, response, false, &principal)) return;
    Ask([](CallId call) { return StateAsked{call}; }, kAnswerLimit, response);
  });
  routes.Get("/metrics",
             [this](const httplib::Request&, httplib::Response& response) {
               GetMetrics(response);
             });
  routes.Get("/healthz",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("{\"healthy\":true}", kJson);
             });
  routes.Get("/readyz",
             [this](const httplib::Request&, httplib::Response& response) {
               response.status = ready_ ? 200 : kUnavailable;
               response.set_content(
                   ready_ ? "{\"ready\":true}" : "{\"ready\":false}", kJson);
             });
  routes.set_error_handler([this](const httplib::Request& request,
                                  httplib::Response& response) {
    if (!response.body.empty()) return;
    Failure failure{
        absl::NotFoundError(absl::StrCat("no such resource: ", request.method,
                                         " ", request.path)),
        {},
        Duration()};
    if (response.status == 413) {
      failure.status = absl::InvalidArgumentError("the body is too large");
    } else if (response.status == 400) {
      failure.status = absl::InvalidArgumentError("the request is malformed");
    }
    const int status = response.status;
    SendFailure(failure, response);
    response.status = status;
  });
  routes.set_exception_handler([this](const httplib::Request&,
                                      httplib::Response& response,
                                      const std::exception_ptr&) {
    SendFailure({absl::InternalError("the request could not be handled"),
                 {},
                 Duration()},
                response);
  });
}

void ApiServer::PostRequest(const httplib::Request& request,
                            httplib::Response& response) {
  Principal principal;
  if (!Authorize(request, response, &principal)) return;
  const std::shared_ptr<const Settings> settings = access_->settings();
  Findings findings("body");
  RequestSpec spec = ReadRequestBody(request.body, *settings, &findings);
  if (!findings.empty()) {
    SendFailure(InvalidBody(findings), response);
    return;
  }
  if (!IsOwnWorkspace(principal, spec.workspace, response)) return;
  const Duration allowed =
      spec.deadline > Duration(0)
          ? spec.deadline
          : settings->Effective(spec.workspace, spec.request_class).deadline;
  Ask(
      [&spec](CallId call) {
        return RequestArrived{call, std::move(spec)};
      },
      allowed + kAnswerSlack, response);
}

void ApiServer::PostJob(const httplib::Request& request,
                        httplib::Response& response) {
  Principal principal;
  if (!Authorize(request, response, &principal)) return;
  Findings findings("body");
  JobSpec spec = ReadJobBody(request.body, &findings);
  if (!findings.empty()) {
    SendFailure(InvalidBody(findings), response);
    return;
  }
  if (!IsOwnWorkspace(principal, spec.workspace, response)) return;
  Ask(
      [&spec](CallId call) {
        return JobSubmitted{call, std::move(spec)};
      },
      kAnswerLimit, response);
  const bool stored = response.status == 200;
  if (stored) response.status = 202;
}

void ApiServer::GetJob(const httplib::Request& request,
                       httplib::Response& response) {
  Principal principal;
  JobId job;
  if (!Authorize(request, response, &principal)) return;
  if (!FindJobId(request, response, principal, &job)) return;
  std::int64_t wait_ms = 0;
  if (!ReadNumber(request, "wait_ms", kMaxWaitMs, &wait_ms)) {
    SendFailure(Invalid(absl::StrCat("wait_ms must be from 0 to ", kMaxWaitMs)),
                response);
    return;
  }
  Ask(
      [&](CallId call) {
        return JobAsked{call, principal.scope(), job, Duration(wait_ms)};
      },
      Duration(wait_ms) + kAnswerLimit, response);
  if (response.status == 202) response.status = 200;
}

void ApiServer::ListJobs(const httplib::Request& request,
                         httplib::Response& response) {
  Principal principal;
  if (!Authorize(request, response, &principal)) return;
  const WorkspaceId workspace(request.get_param_value("workspace"));
  const bool all = workspace.empty() || principal.is_operator();
  if (!all && !IsOwnWorkspace(principal, workspace, response)) return;
  Ask(
      [&](CallId call) {
        return JobsAsked{call, principal.scope(), workspace};
      },
      kAnswerLimit, response);
}

void ApiServer::DeleteJob(const httplib::Request& request,
                          httplib::Response& response) {
  Principal principal;
  JobId job;
  if (!Authorize(request, response, &principal)) return;
  if (!FindJobId(request, response, principal, &job)) return;
  if (principal.role == Role::kViewer) {
    SendFailure({absl::PermissionDeniedError("viewers may not cancel jobs"),
                 {},
                 Duration()},
                response);
    return;
  }
  Ask(
      [&](CallId call) {
        return JobCancelAsked{call, principal.scope(), job};
      },
      kAnswerLimit, response);
}

void ApiServer::PutSettings(const httplib::Request& request,
                            httplib::Response& response) {
  Principal principal;
  if (!AuthorizeOperator(request, response, true, &principal)) return;
  std::int64_t base = 0;
  if (!absl::SimpleAtoi(request.get_header_value("If-Match"), &base) ||
      base < 0) {
    SendFailure(Invalid("needs a header 'If-Match: VERSION' with the version "
                        "that was edited"),
                response);
    return;
  }
  Ask(
      [&](CallId call) {
        return SettingsProposed{call, SettingsVersion(base), request.body,
                                principal.name};
      },
      kAnswerLimit, response);
}

void ApiServer::GetHistory(const httplib::Request& request,
                           httplib::Response& response) {
  Principal principal;
  if (!AuthorizeOperator(request, response, false, &principal)) return;
  std::int64_t count = kDefaultHistory;
  if (!ReadNumber(request, "count", kMaxHistory, &count)) {
    SendFailure(Invalid(absl::StrCat("count must be from 0 to ", kMaxHistory)),
                response);
    return;
  }
  Ask(
      [&](CallId call) {
        return SettingsHistoryAsked{call, static_cast<int>(count)};
      },
      kAnswerLimit, response);
}

void ApiServer::GetMetrics(httplib::Response& response) {
  CallTable::Opened opened = calls_->Open();
  sink_(MetricsAsked{opened.call});
  const std::optional<AnswerBody> answer =
      calls_->Wait(std::move(opened), kAnswerLimit);
  const auto* snapshot =
      answer.has_value() ? std::get_if<MetricsSnapshot>(&*answer) : nullptr;
  if (snapshot == nullptr) {
    response.status = kUnavailable;
    return;
  }
  response.set_content(FormatMetrics(*snapshot), kText);
}

bool ApiServer::Authorize(const httplib::Request& request,
                          httplib::Response& response,
                          Principal* principal) const {
  absl::StatusOr<Principal> checked =
      access_->Check(request.get_header_value("Authorization"));
  if (!checked.ok()) {
    SendFailure({checked.status(), {}, Duration()}, response);
    return false;
  }
  *principal = *std::move(checked);
  return true;
}

bool ApiServer::AuthorizeOperator(const httplib::Request& request,
                                  httplib::Response& response, bool admin,
                                  Principal* principal) const {
  if (!Authorize(request, response, principal)) return false;
  const bool allowed =
      admin ? principal->role == Role::kAdmin : principal->is_operator();
  if (allowed) return true;
  SendFailure({absl::PermissionDeniedError(
                   admin ? "needs the token of an operator with role admin"
                         : "needs the token of an operator"),
               {},
               Duration()},
              response);
  return false;
}

bool ApiServer::IsOwnWorkspace(const Principal& principal,
                               const WorkspaceId& workspace,
                               httplib::Response& response) const {
  if (principal.workspace == workspace) return true;
  SendFailure(
      {absl::PermissionDeniedError("the token is not one of this workspace"),
       {},
       Duration()},
      response);
  return false;
}

bool ApiServer::FindJobId(const httplib::Request& request,
                          httplib::Response& response,
                          const Principal& principal, JobId* job) const {
  const std::string name = request.matches[1].str();
  WorkspaceId workspace = principal.workspace;
  if (principal.is_operator()) {
    workspace = WorkspaceId(request.get_param_value("workspace"));
  }
  if (workspace.empty() || !IsIdentifier(name)) {
    SendFailure(
        Invalid(workspace.empty() ? "operators name the job's workspace: "
                                    "?workspace=NAME"
                                  : "the job's id is no name"),
        response);
    return false;
  }
  *job = FullJobId(workspace, name);
  return true;
}

void ApiServer::Ask(const std::function<EventBody(CallId)>& make,
                    Duration limit, httplib::Response& response) {
  CallTable::Opened opened = calls_->Open();
  sink_(make(opened.call));
  std::optional<AnswerBody> answer = calls_->Wait(std::move(opened), limit);
  if (!answer.has_value()) {
    SendFailure({absl::DeadlineExceededError(
                     "unknown: this instance did not answer in time"),
                 {},
                 Duration()},
                response);
    return;
  }
  Send(EncodeAnswer(*answer), response);
}

void ApiServer::Send(const ApiResponse& answer,
                     httplib::Response& response) const {
  response.status = answer.status;
  response.set_content(answer.body, kJson);
  if (answer.retry_after > Duration(0)) {
    const std::int64_t seconds =
        (answer.retry_after.ms() + kMsPerSecond - 1) / kMsPerSecond;
    response.set_header("Retry-After", absl::StrCat(seconds));
  }
  // A leaving instance asks its clients to connect anew, elsewhere.
  if (!ready_) response.set_header("Connection", "close");
}

void ApiServer::SendFailure(const Failure& failure,
                            httplib::Response& response) const {
  Send(EncodeFailure(failure), response);
}

}  // namespace limeledge
