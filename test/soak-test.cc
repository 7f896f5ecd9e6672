/// @file
/// Tests of the components of the soak test.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>
#include <json/json.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/wire.h"
#include "soak/experiment.h"
#include "soak/fault_log.h"
#include "soak/held_call.h"
#include "soak/job_maker.h"
#include "soak/node_process.h"
#include "soak/report.h"
#include "soak/soak_platform.h"
#include "soak/tcp_proxy.h"

namespace limeledge::soak {

namespace {

constexpr char kLocal[] = "127.0.0.1";

}  // namespace

// Fixture with an HTTP server behind a proxy.
TEST_GROUP(Soak) {
  std::unique_ptr<HttpServer> server;
  TcpProxy proxy;
  HttpClient client;

  std::atomic<int> served{0};

  static HttpServerOptions Options() {
    HttpServerOptions options;
    options.endpoint = {kLocal, 0};
    options.connections = 4;
    return options;
  }

  void Serve() {
    server->routes().Get(
        "/", [this](const httplib::Request&, httplib::Response& response) {
          ++served;
          response.set_content("whole answer", "text/plain");
        });
    CHECK(server->Start().ok());
  }

  void setup() override {
    server = std::make_unique<HttpServer>(Options());
    Serve();
    CHECK(proxy.Start({kLocal, server->port()}).ok());
  }

  void teardown() override {
    proxy.Stop();
    server->Stop();
  }

  /// Waits until the predicate has this value; returns false if it does not.
  template <typename Predicate>
  static bool Becomes(Predicate predicate, bool value) {
    for (int i = 0; i < 500 && predicate() != value; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return predicate() == value;
  }

  HttpCall CallOf(Duration timeout) const {
    HttpCall call;
    call.address = proxy.address();
    call.method = "GET";
    call.path = "/";
    call.timeout = timeout;
    return call;
  }

  HttpReply Get(Duration timeout) { return client.Call(CallOf(timeout)); }

  /// Returns the address in the entry with this id; empty if there is none.
  static std::string EntryAddress(const SoakPlatform& platform,
                                  const std::string& id) {
    HttpCall call;
    call.address = absl::StrCat(kLocal, ":", platform.store_endpoint().port);
    call.method = "GET";
    call.path = "/v1/rows-get?table=servers";
    call.timeout = Duration(5000);
    const absl::StatusOr<Json::Value> page =
        ParseJson(HttpClient().Call(call).body);
    CHECK(page.ok());
    for (const Json::Value& row : (*page)["rows"]) {
      if (row["key"].asString() != id) continue;
      std::string text;
      CHECK(absl::Base64Unescape(row["value"].asString(), &text));
      const absl::StatusOr<Json::Value> entry = ParseJson(text);
      CHECK(entry.ok());
      return (*entry)["addr"].asString();
    }
    return "";
  }
};

TEST(Soak, ProxyWithoutFaultPassesCallsOn) {
  const HttpReply reply = Get(Duration(5000));
  CHECK(reply.ok());
  STRCMP_EQUAL("whole answer", reply.body.c_str());
}

TEST(Soak, ProxyThatRefusesLosesCalls) {
  LinkFault fault;
  fault.refuses = true;
  proxy.SetFault(fault);
  CHECK(Get(Duration(5000)).outcome != HttpOutcome::kAnswered);
}

// Guards against a proxy that resets connections instead, which nodes take for
// another failure.
TEST(Soak, ProxyThatIsClosedRefusesConnectionsUntilHealed) {
  LinkFault fault;
  fault.closed = true;
  const auto is_refused = [this] {
    return HttpClient().Call(CallOf(Duration(5000))).outcome ==
           HttpOutcome::kNotSent;
  };
  for (int i = 0; i < 3; ++i) {
    HeldCall open(proxy.address());
    CHECK(open.Send("h", "k", "/"));
    CHECK(open.IsAnswered(Duration(5000)));
    proxy.SetFault(fault);
    CHECK(Becomes(is_refused, true));
    // Connections that are open do not keep it from listening again.
    CHECK(open.Send("h", "k", "/"));
    CHECK(open.IsAnswered(Duration(5000)));
    proxy.SetFault({});
    CHECK(Becomes(is_refused, false));
    CHECK(HttpClient().Call(CallOf(Duration(5000))).ok());
  }
}

TEST(Soak, ProxyThatHoldsAnswersLetsThemComeOnceHealed) {
  LinkFault fault;
  fault.holds_answers = true;
  proxy.SetFault(fault);
  HeldCall call(proxy.address());
  CHECK(call.Send("h", "k", "/"));
  CHECK_FALSE(call.IsAnswered(Duration(100)));
  proxy.SetFault({});
  CHECK(call.IsAnswered(Duration(5000)));
}

TEST(Soak, ProxyThatResetsBreaksOpenConnections) {
  LinkFault fault;
  fault.holds_answers = true;
  proxy.SetFault(fault);
  HeldCall call(proxy.address());
  CHECK(call.Send("h", "k", "/"));
  proxy.ResetAll();
  CHECK_FALSE(call.IsAnswered(Duration(5000)));
}

TEST(Soak, ProxyDeliversLateRequestsPastLaterOnesAndLosesAnswers) {
  LinkFault fault;
  fault.late_by = Duration(300);
  proxy.SetFault(fault);
  CHECK(Get(Duration(100)).outcome != HttpOutcome::kAnswered);
  proxy.SetFault({});
  CHECK(Get(Duration(5000)).ok());
  CHECK_EQUAL(1, served);
  // The caller of the late request has already given up.
  for (int i = 0; i < 500 && served < 2; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK_EQUAL(2, served);
}

// Guards against held requests that are lost with the connections that their
// callers closed, so that no order would ever come late after a partition.
TEST(Soak, ProxyDeliversHeldRequestsOnceTheHoldEnds) {
  LinkFault fault;
  fault.late_until = SteadyClock().Now() + Duration(600);
  proxy.SetFault(fault);
  CHECK(Get(Duration(100)).outcome != HttpOutcome::kAnswered);
  CHECK(Get(Duration(100)).outcome != HttpOutcome::kAnswered);
  CHECK_EQUAL(0, served);
  CHECK(Becomes([this] { return served == 2; }, true));
  CHECK(SteadyClock().Now() >= fault.late_until);
  proxy.SetFault({});
  CHECK(Get(Duration(5000)).ok());
}

// Guards against calls that are refused while their server is down, so that the
// next one would never get a call that was meant for its predecessor.
TEST(Soak, ProxyThatIsDarkGivesNewCallsToTheNextServer) {
  server->Stop();
  LinkFault fault;
  fault.dark = true;
  proxy.SetFault(fault);
  CHECK(Get(Duration(100)).outcome != HttpOutcome::kAnswered);
  HeldCall call(proxy.address());
  CHECK(call.Send("h", "k", "/"));
  CHECK_FALSE(call.IsAnswered(Duration(100)));
  server = std::make_unique<HttpServer>(Options());
  Serve();
  proxy.Redirect({kLocal, server->port()});
  proxy.SetFault({});
  CHECK(call.IsAnswered(Duration(5000)));
  // The caller of the other one has already given up.
  CHECK(Becomes([this] { return served == 2; }, true));
}

// Guards against callers that wait for ever because no server came back.
TEST(Soak, ProxyThatIsDarkResetsNewCallsIfThereIsNoServerInTheEnd) {
  server->Stop();
  LinkFault fault;
  fault.dark = true;
  proxy.SetFault(fault);
  HeldCall call(proxy.address());
  CHECK(call.Send("h", "k", "/"));
  proxy.SetFault({});
  CHECK_FALSE(call.IsAnswered(Duration(5000)));
  CHECK_EQUAL(0, served);
}

// Guards against open connections that tell of the crash, after which a
// scheduler would send nothing more to the runner.
TEST(Soak, ProxyThatIsDarkSilencesOpenConnectionsForGood) {
  HeldCall open(proxy.address());
  CHECK(open.Send("h", "k", "/"));
  CHECK(open.IsAnswered(Duration(5000)));
  LinkFault fault;
  fault.dark = true;
  proxy.SetFault(fault);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(open.Send("h", "k", "/"));
  proxy.SetFault({});
  CHECK_FALSE(open.IsAnswered(Duration(300)));
  CHECK_EQUAL(1, served);
}

TEST(Soak, ProxyThatIsRedirectedCallsTheOtherServer) {
  server->Stop();
  CHECK_FALSE(Get(Duration(5000)).ok());
  server = std::make_unique<HttpServer>(Options());
  Serve();
  proxy.Redirect({kLocal, server->port()});
  CHECK(Get(Duration(5000)).ok());
}

TEST(Soak, PlanOfOneSeedIsTheSameEachTime) {
  Experiment experiment;
  const std::vector<Fault> once = PlanFaults(experiment, 7);
  const std::vector<Fault> again = PlanFaults(experiment, 7);
  CHECK(!once.empty());
  CHECK_EQUAL(once.size(), again.size());
  for (std::size_t i = 0; i < once.size(); ++i) {
    CHECK(once[i].at == again[i].at);
    CHECK(once[i].kind == again[i].kind);
    CHECK_EQUAL(once[i].target, again[i].target);
  }
}

TEST(Soak, PlanWithoutFaultsIsEmpty) {
  Experiment experiment;
  experiment.fault_interval = Duration(0);
  CHECK(PlanFaults(experiment, 7).empty());
}

TEST(Soak, ExperimentFileSetsWhatItNames) {
  Findings findings("x.yaml");
  const Experiment experiment = ReadExperiment(
      "nodes: 7\nlength_ms: 500\nfaults: [kill-node, store-slow]\n", &findings);
  CHECK(findings.empty());
  CHECK_EQUAL(7, experiment.nodes);
  CHECK_EQUAL(500, experiment.length.ms());
  CHECK_EQUAL(2, experiment.faults.size());
  CHECK_EQUAL(Experiment().runners, experiment.runners);
}

TEST(Soak, PlanOfAFileIsMadeInOrderOfTimeAndNoOther) {
  Findings findings("x.yaml");
  const Experiment experiment = ReadExperiment(
      "plan:\n"
      "  - {at_ms: 900, fault: silence-all, starts_within_ms: 1000}\n"
      "  - {at_ms: 300, fault: stop-node, target: leader}\n"
      "  - {at_ms: 500, fault: kill-runner, target: 2, length_ms: 70}\n",
      &findings);
  CHECK(findings.empty());
  const std::vector<Fault> plan = PlanFaults(experiment, 7);
  CHECK_EQUAL(3, plan.size());
  CHECK_EQUAL(kLeaderTarget, plan[0].target);
  CHECK_EQUAL(2, plan[1].target);
  CHECK_EQUAL(70, plan[1].length.ms());
  CHECK(plan[2].kind == FaultKind::kSilenceAll);
  CHECK_EQUAL(1000, plan[2].starts_within.ms());
}

TEST(Soak, RandomPlansKeepTheirKinds) {
  for (const FaultKind kind : RandomFaultKinds()) {
    CHECK(kind != FaultKind::kSilenceAll);
    CHECK(kind < FaultKind::kReplaceNode);
  }
  CHECK_EQUAL(22, RandomFaultKinds().size());
}

TEST(Soak, PlanStrikesTheLeaderAndEndsEarlyIfItsFileSaysSo) {
  Findings findings("x.yaml");
  const Experiment experiment = ReadExperiment(
      "leader_share: 1\nfaults_until_ms: 9000\nfaults: [replace-node, "
      "lose-node]\n",
      &findings);
  CHECK(findings.empty());
  const std::vector<Fault> plan = PlanFaults(experiment, 7);
  CHECK(plan.size() > 3);
  for (const Fault& fault : plan) {
    CHECK_EQUAL(kLeaderTarget, fault.target);
    // The last fault may begin up to one interval after the limit.
    CHECK(fault.at < Duration(9000) + experiment.fault_interval * 2);
  }
}

TEST(Soak, PlanInSeriesKeepsToOneKind) {
  Findings findings("x.yaml");
  const Experiment experiment =
      ReadExperiment("series_share: 1\nfault_interval_ms: 200\n", &findings);
  CHECK(findings.empty());
  const std::vector<Fault> plan = PlanFaults(experiment, 7);
  CHECK(plan.size() > 3);
  for (const Fault& fault : plan) CHECK(fault.kind == plan[0].kind);
}

TEST(Soak, TasksHaveTheWorkThatTheirFileSays) {
  Findings findings("x.yaml");
  const Experiment experiment = ReadExperiment(
      "shortest_work_ms: 1500\nlongest_work_ms: 1600\n", &findings);
  CHECK(findings.empty());
  JobMaker maker(experiment, 11);
  for (int i = 0; i < 100; ++i) {
    const Duration work = maker.Make().truths[0].work;
    CHECK(work >= Duration(1500) && work <= Duration(1600));
  }
}

TEST(Soak, ExperimentFileWithShortestWorkAboveLongestIsReported) {
  Findings findings("x.yaml");
  ReadExperiment("shortest_work_ms: 1700\nlongest_work_ms: 1600\n", &findings);
  CHECK_EQUAL(1, findings.all().size());
}

// Guards against calls that are delivered while a scheduler still expects them.
TEST(Soak, CallsAreHeldBeyondTheTimeInWhichASchedulerExpectsThem) {
  Experiment experiment;
  experiment.faults = {FaultKind::kHoldCalls};
  const std::vector<Fault> plan = PlanFaults(experiment, 7);
  CHECK(!plan.empty());
  for (const Fault& fault : plan) CHECK(fault.length > Duration(12500));
}

// Guards against cuts that are too short, or too late after the restart, for a
// lease that a scheduler does not know of to matter.
TEST(Soak, RunnersThatRestartDarkAreCutOffWithinTheLongestLease) {
  Experiment experiment;
  experiment.faults = {FaultKind::kRestartRunnerDark};
  experiment.take_over_share = 0.5;
  std::size_t restarts = 0;
  std::size_t cuts = 0;
  std::size_t kills = 0;
  Duration last;
  for (const Fault& fault : PlanFaults(experiment, 7)) {
    CHECK(fault.at >= last);
    last = fault.at;
    if (fault.kind == FaultKind::kKillNode) {
      CHECK_EQUAL(kLeaderTarget, fault.target);
      ++kills;
    } else if (fault.kind == FaultKind::kRestartRunnerDark) {
      CHECK(fault.length >= Duration(100) && fault.length < Duration(900));
      ++restarts;
    } else {
      CHECK(fault.kind == FaultKind::kPartitionRunner ||
            fault.kind == FaultKind::kIsolateRunner);
      CHECK(fault.length >= Duration(6000) && fault.length <= Duration(9000));
      ++cuts;
    }
  }
  CHECK(restarts > 3);
  CHECK_EQUAL(restarts, cuts);
  CHECK(kills > 0 && kills < cuts);
}

TEST(Soak, EntriesAreOverwrittenForHalfASecondToTwoSeconds) {
  Experiment experiment;
  experiment.faults = {FaultKind::kOverwriteEntry};
  const std::vector<Fault> plan = PlanFaults(experiment, 7);
  CHECK(!plan.empty());
  for (const Fault& fault : plan) {
    CHECK(fault.length >= Duration(500));
    CHECK(fault.length <= Duration(2000));
  }
}

TEST(Soak, OrdersComeLateByTwoToTwelveSeconds) {
  Experiment experiment;
  experiment.faults = {FaultKind::kLateOrders};
  for (const Fault& fault : PlanFaults(experiment, 7)) {
    CHECK(fault.length >= Duration(2000));
    CHECK(fault.length <= Duration(12000));
  }
}

TEST(Soak, ExperimentFileWithMistakesIsReportedWhole) {
  Findings findings("x.yaml");
  ReadExperiment(
      "nodes: many\nrunners: 0\nfaults: [earthquake]\n"
      "plan: [{fault: flood}]\n",
      &findings);
  CHECK_EQUAL(4, findings.all().size());
}

TEST(Soak, JobsOfOneSeedAreTheSameAndReadable) {
  Experiment experiment;
  JobMaker one(experiment, 11);
  JobMaker other(experiment, 11);
  for (int i = 0; i < 100; ++i) {
    const DraftJob job = one.Make();
    STRCMP_EQUAL(job.body.c_str(), other.Make().body.c_str());
    const absl::StatusOr<dispatch::JobSpec> read =
        platform::DecodeJob(job.body);
    CHECK(read.ok());
    CHECK_EQUAL(job.spec.steps.size(), read->steps.size());
    CHECK_EQUAL(job.spec.steps[0].gang, read->steps[0].gang);
    CHECK_EQUAL(job.spec.steps[0].count, read->steps[0].count);
  }
}

TEST(Soak, FaultLogTellsCalmByOverlap) {
  FaultLog log;
  log.Note("node-1", TimePoint(100), TimePoint(200));
  CHECK_FALSE(log.IsCalm("node-1", TimePoint(150), TimePoint(160)));
  CHECK_FALSE(log.IsCalm("node-1", TimePoint(50), TimePoint(100)));
  CHECK(log.IsCalm("node-1", TimePoint(201), TimePoint(300)));
  CHECK(log.IsCalm("node-2", TimePoint(150), TimePoint(160)));
  CHECK_FALSE(log.AllCalm(TimePoint(150), TimePoint(160)));
}

TEST(Soak, ReportTellsEachViolation) {
  RunSummary run;
  run.seed = 42;
  run.violations = {"two runs of a task at a time"};
  CHECK(Page(run).find("two runs of a task at a time") != std::string::npos);
  CHECK(TableRow(run).find("| 42 |") != std::string::npos);
  CHECK(Plot(run).find("</svg>") != std::string::npos);
}

TEST(Soak, ReportTellsHowLongCancelledJobsRan) {
  RunSummary run;
  run.cancels = {7, Duration(4100), Duration(900), Duration(250), Duration(30)};
  const std::string page = Page(run);
  CHECK(page.find("7 cancels") != std::string::npos);
  CHECK(page.find("| 4100 | 900 |") != std::string::npos);
  CHECK(page.find("| 250 | 30 |") != std::string::npos);
}

// Guards against a node that is reported as ended by itself because it was
// asked to stop before it handled signals.
TEST(Soak, NodeThatIsStoppedRightAfterItsStartKeepsTheRequest) {
  char directory[] = "/tmp/limeledge-soak-XXXXXX";
  CHECK(mkdtemp(directory) != nullptr);
  const std::string program = absl::StrCat(directory, "/node");
  std::ofstream(program) << "#!/bin/sh\nexit 0\n";
  std::filesystem::permissions(program, std::filesystem::perms::owner_all);
  NodeProcess node(1, program, directory);
  CHECK(node.Start({kLocal, server->port()}).ok());
  node.Signal(SIGTERM);
  CHECK(Becomes([&node] { return node.Lives(); }, false));
  LONGS_EQUAL(0, node.last_status());
  std::filesystem::remove_all(directory);
}

// Guards against an entry that does not expire, with which a new scheduler
// would not take the runner for lost.
TEST(Soak, EntryOfARunnerThatIsCutOffExpiresAndComesBack) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 1;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  const auto has_entry = [&platform] {
    HttpCall call;
    call.address = absl::StrCat(kLocal, ":", platform.store_endpoint().port);
    call.method = "GET";
    call.path = "/v1/rows-get?table=servers";
    call.timeout = Duration(5000);
    const std::string rows = HttpClient().Call(call).body;
    return rows.find("\"i-0-1\"") != std::string::npos;
  };
  CHECK(Becomes(has_entry, true));
  platform.CutOffStore(0);
  CHECK(has_entry());
  CHECK(Becomes(has_entry, false));
  platform.RejoinStore(0);
  CHECK(Becomes(has_entry, true));
}

// Guards against faults of entries that leave the store as it is, with which no
// node would call a wrong runner.
TEST(Soak, EntryThatIsOverwrittenNamesTheNextRunnerUntilItIsRestored) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 2;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  const std::string own = platform.runner_link(0).address();
  const std::string other = platform.runner_link(1).address();
  platform.OverwriteEntry(0);
  STRCMP_EQUAL(other.c_str(), EntryAddress(platform, "i-0-1").c_str());
  platform.RestoreEntry(0);
  STRCMP_EQUAL(own.c_str(), EntryAddress(platform, "i-0-1").c_str());
}

// Guards against heartbeats that end the fault early.
TEST(Soak, EntryThatIsOverwrittenStaysSoOverHeartbeats) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 2;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  platform.OverwriteEntry(0);
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  STRCMP_EQUAL(platform.runner_link(1).address().c_str(),
               EntryAddress(platform, "i-0-1").c_str());
}

// Guards against a new incarnation whose entry names another runner for ever,
// because the overwritten entry was that of its predecessor.
TEST(Soak, EntryOfANewIncarnationNamesItsOwnAddress) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 2;
  experiment.keeps_ids = true;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  platform.OverwriteEntry(0);
  platform.KillRunner(0);
  platform.ReviveRunner(0);
  const std::string own = platform.runner_link(0).address();
  const auto names_own = [&] { return EntryAddress(platform, "i-0-1") == own; };
  CHECK(Becomes(names_own, true));
}

// Guards against calls to a runner that crashed with its machine that are lost
// instead of reaching the next incarnation, whose clock starts anew.
TEST(Soak, NextIncarnationGetsCallsThatWereSentWhileItWasDown) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 1;
  experiment.keeps_ids = true;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  constexpr std::int64_t kAgeMs = 400;
  std::this_thread::sleep_for(std::chrono::milliseconds(kAgeMs));
  platform.KillRunnerSilently(0);
  HttpReply reply;
  std::thread caller([&platform, &reply] {
    HttpCall call;
    call.address = platform.runner_link(0).address();
    call.path = "/v1/hold";
    call.body = R"({"fence":1,"last-seen":0,"until-ms":9000})";
    call.headers.emplace("X-Limeledge-Expect-Instance", "i-0-1");
    call.timeout = Duration(5000);
    reply = HttpClient().Call(call);
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(kAgeMs));
  platform.ReviveRunner(0);
  caller.join();
  CHECK(reply.ok());
  const absl::StatusOr<Json::Value> answer = ParseJson(reply.body);
  CHECK(answer.ok());
  CHECK((*answer)["clock-ms"].asInt64() < kAgeMs);
}

// Guards against an alias that outlasts its fault.
TEST(Soak, AliasNamesTheRunnersAddressUntilItIsRemoved) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 1;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  platform.AddAlias(0);
  STRCMP_EQUAL(platform.runner_link(0).address().c_str(),
               EntryAddress(platform, "i-0-alias").c_str());
  platform.RemoveAlias(0);
  STRCMP_EQUAL("", EntryAddress(platform, "i-0-alias").c_str());
}

// If the faults ended while a runner was leaving, the runner never came back.
TEST(Soak, RunnersThatAreLeavingAreReplaced) {
  FaultLog faults;
  Experiment experiment;
  experiment.runners = 1;
  SoakPlatform platform(experiment, &faults);
  CHECK(platform.Start().ok());
  platform.DrainRunner(0, Duration(60000));
  CHECK(platform.IsLeaving(0));
  platform.ReplaceLeaving();
  CHECK_FALSE(platform.IsLeaving(0));
}

}  // namespace limeledge::soak
