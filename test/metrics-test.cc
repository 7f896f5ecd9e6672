/// @file
/// Tests of the metrics of decisions and of runs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/metrics.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace limeledge::platform {

TEST_GROUP(Metrics) {
  Metrics metrics;

  void Count(LogId id, const std::string& reason) {
    metrics.CountEvent({id, {{"job", "a1"}, {"reason", reason}}});
  }

  void CheckLine(const std::string& line) {
    const std::string text = metrics.Text();
    const bool found =
        ("\n" + text).find("\n" + line + "\n") != std::string::npos;
    CHECK_TEXT(found, ("missing: " + line + " in\n" + text).c_str());
  }
};

// Guards against totals that hide which reason prevails.
TEST(Metrics, DecisionsAreCountedByReason) {
  Count(LogId::kSubmitRefused, "step too large");
  Count(LogId::kSubmitRefused, "too late to be of use");
  Count(LogId::kSubmitRefused, "too late to be of use");
  Count(LogId::kMoveDeclined, "r");
  Count(LogId::kRunMoved, "r");
  Count(LogId::kStepDeferred, "r");
  CheckLine(
      "limeledge_events_total{event=\"submit_refused\",reason=\"step too "
      "large\"} 1");
  CheckLine(
      "limeledge_events_total{event=\"submit_refused\",reason=\"too late to "
      "be of use\"} 2");
  CheckLine("limeledge_events_total{event=\"move_declined\",reason=\"r\"} 1");
  CheckLine("limeledge_events_total{event=\"run_moved\",reason=\"r\"} 1");
  CheckLine("limeledge_events_total{event=\"step_deferred\",reason=\"r\"} 1");
}

// Guards against one time series for each error text.
TEST(Metrics, EventWithAFreeTextIsCountedWithoutIt) {
  Count(LogId::kLeaderLost, "error 17 of call 4711");
  CheckLine("limeledge_events_total{event=\"leader_lost\",reason=\"\"} 1");
}

// Guards against runs that are taken as over by evidence that nobody counts,
// and against a run that counts twice: with its runner, although its late start
// still has to be cancelled, and when that is done.
TEST(Metrics, RunsThatCountAsOverWithoutAReportAreCountedByEvidence) {
  const auto count = [this](LogId id, const std::string& evidence) {
    metrics.CountEvent({id, {{"task", "a1.0.0.0"}, {"evidence", evidence}}});
  };
  count(LogId::kRunLost, "its lease expired");
  count(LogId::kRunLost, "its lease expired");
  count(LogId::kRunLost, "");
  count(LogId::kRunNotListed, "it does not list the run");
  count(LogId::kRunEnded, "e");
  CheckLine(
      "limeledge_unreported_run_ends_total{evidence=\"its lease expired\"} 2");
  CheckLine(
      "limeledge_unreported_run_ends_total{evidence=\"it does not list the "
      "run\"} 1");
  const std::string text = metrics.Text();
  CHECK_TRUE(text.find("evidence=\"\"") == std::string::npos);
  CHECK_TRUE(text.find("evidence=\"e\"") == std::string::npos);
}

// Guards against a longer wait for leases of foreign calls whose frequency
// nobody can tell.
TEST(Metrics, LostRunnersAreCountedByWhatTheirLeaseIsDerivedFrom) {
  const auto count = [this](LogId id, const std::string& basis) {
    metrics.CountEvent(
        {id, {{"reason", "its lease expired"}, {"lease_basis", basis}}});
  };
  count(LogId::kRunnerLost, "granted");
  count(LogId::kRunnerLost, "foreign");
  count(LogId::kRunnerLost, "foreign");
  count(LogId::kRunLost, "run");
  CheckLine(
      "limeledge_lost_runners_total{lease_basis=\"granted\",reason=\"its lease "
      "expired\"} 1");
  CheckLine(
      "limeledge_lost_runners_total{lease_basis=\"foreign\",reason=\"its lease "
      "expired\"} 2");
  CHECK_TRUE(metrics.Text().find("lease_basis=\"run\"") == std::string::npos);
}

// Guards against values of an earlier term that stay visible.
TEST(Metrics, SpeedsAreZeroAgainAfterTheTerm) {
  metrics.SetSpeeds({true, 0.25, 7});
  CheckLine("limeledge_speeds_in_use 1");
  CheckLine("limeledge_speed_spread 0.25");
  CheckLine("limeledge_measured_runners 7");
  metrics.SetSpeeds({});
  CheckLine("limeledge_speeds_in_use 0");
  CheckLine("limeledge_speed_spread 0");
  CheckLine("limeledge_measured_runners 0");
}

}  // namespace limeledge::platform
