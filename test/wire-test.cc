/// @file
/// Tests of the JSON bodies of the platform's HTTP interfaces.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "platform/wire.h"

#include <string>

#include "CppUTest/TestHarness.h"

namespace limeledge::platform {

TEST_GROUP(Wire){
    static bool Rejects(const std::string& text){return !DecodeJob(text).ok();
}
}
;

// Runners compare tokens as integers.
TEST(Wire, CallsCarryTheFencingTokenAsOneInteger) {
  dispatch::PollRunner poll;
  poll.target.fence = {Epoch(7), dispatch::FenceGeneration(3)};
  CHECK_TRUE(EncodePoll(poll).find("\"fence\":7000003,") != std::string::npos);
  dispatch::StopRun stop;
  stop.target.fence = {Epoch(7), dispatch::FencingToken::kMaxGeneration};
  CHECK_TRUE(EncodeStop(stop).find("\"fence\":7999999,") != std::string::npos);
}

TEST(Wire, EveryFieldOfAJobIsDecoded) {
  const auto job = DecodeJob(
      R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem-mb":256,"gpu":4,)"
      R"("estimate-ms":900,"checkpoint":true,"gang":true,"same-rack":true,)"
      R"("requires":"a","affinity":"r1-3","anti-affinity":1,)"
      R"("speculative":true,"long-running":true,"image":"i","target_ms":40,)"
      R"("fills":true,"may_miss":2},{"after":[0]}],)"
      R"("times":3,"start-at-ms":1700000000000,"interval-ms":3000})");
  CHECK_TRUE(job.ok());
  const dispatch::StepSpec& step = job->steps[0];
  LONGS_EQUAL(2, step.count);
  CHECK_TRUE((step.need == dispatch::Resources{500, 256, 4}));
  LONGS_EQUAL(900, step.estimate.ms());
  CHECK_TRUE(step.saves_progress && step.gang && step.same_rack);
  CHECK_TRUE(step.speculative && step.long_running && step.filler);
  STRCMP_EQUAL("a", step.required_label.c_str());
  STRCMP_EQUAL("r1-3", step.data_rack.c_str());
  LONGS_EQUAL(1, step.max_per_runner);
  LONGS_EQUAL(40, step.tail_latency_target.ms());
  LONGS_EQUAL(2, step.max_unavailable);
  LONGS_EQUAL(0, job->steps[1].after.front());
  LONGS_EQUAL(3, job->recurrence.times);
  LONGS_EQUAL(1700000000000, job->recurrence.first_wall_ms);
  LONGS_EQUAL(3000, job->recurrence.interval.ms());
}

TEST(Wire, OmittedFieldsGetTheirDefaults) {
  const auto job = DecodeJob(R"({"steps":[{}]})");
  CHECK_TRUE(job.ok());
  LONGS_EQUAL(1, job->steps[0].count);
  LONGS_EQUAL(-1, job->steps[0].max_unavailable);
  LONGS_EQUAL(1, job->occurrences());
}

TEST(Wire, MalformedJobsAreRejected) {
  CHECK_TRUE(Rejects(""));
  CHECK_TRUE(Rejects("[]"));
  CHECK_TRUE(Rejects(R"({"steps":[]})"));
  CHECK_TRUE(Rejects(R"({"steps":[7]})"));
  CHECK_TRUE(Rejects(R"({"steps":[{"count":0}]})"));
  CHECK_TRUE(Rejects(R"({"steps":[{"count":1e99}]})"));
  CHECK_TRUE(Rejects(R"({"steps":[{"after":[0]}]})"));
  CHECK_TRUE(Rejects(R"({"steps":[{"gang":"yes"}]})"));
  CHECK_TRUE(Rejects(R"({"spec":5,"steps":[{}]})"));
  CHECK_TRUE(Rejects(R"({"steps":[{"count":20000}],"times":10000})"));
  CHECK_TRUE(
      Rejects("{\"spec\":\"" + std::string(4001, 'x') + "\",\"steps\":[{}]}"));
  CHECK_TRUE(Rejects(std::string(100000, '[')));
}

TEST(Wire, CatalogContainsQueuesAndKeys) {
  const auto catalog = DecodeCatalog(
      R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
      R"("priority":2,"service":"s","attempts":4,"stretch":3.0,"slo-ms":900}],)"
      R"("services":[{"name":"s","enforces-capacity":true}],)"
      R"("tenants":[{"name":"t","api-keys":["k"],"guaranteed":{"gpu":72}}]})");
  CHECK_TRUE(catalog.ok());
  const dispatch::Queue* queue = catalog->Match("h", "/p/0123");
  CHECK_TRUE(queue != nullptr);
  LONGS_EQUAL(4, queue->policy.max_attempts);
  LONGS_EQUAL(900, queue->policy.slack.ms());
  STRCMP_EQUAL("t", catalog->workspace_by_key.at("k").value().c_str());
  LONGS_EQUAL(72,
              catalog->workspaces.at(WorkspaceId("t")).guaranteed_accelerators);
  POINTERS_EQUAL(nullptr, catalog->Match("other", "/p/0123"));
}

TEST(Wire, QueueTellsWhatARequestForAdviceTakes) {
  const auto catalog = DecodeCatalog(
      R"({"version":7,"routes":[{"name":"r","host":"h","path-prefix":"/p/",)"
      R"("service":"s",)"
      R"("advice":{"decide_ms":300,"each_ms":20,"valid_ms":3000}}]})");
  CHECK_TRUE(catalog.ok());
  const dispatch::QueuePolicy& policy = catalog->Match("h", "/p/0")->policy;
  CHECK_TRUE(policy.needs_advice);
  LONGS_EQUAL(300, policy.advice_time.ms());
  LONGS_EQUAL(20, policy.advice_time_per_runner.ms());
}

TEST(Wire, WrongTypesReturnAStatusInsteadOfThrowing) {
  CHECK_FALSE(DecodeCatalog(R"({"version":"x"})").ok());
  CHECK_FALSE(DecodeRunner(RunnerId("i"), R"({"room":5})").ok());
  CHECK_FALSE(DecodeRows(R"({"rows":[5]})").ok());
  dispatch::RunnerPolled polled;
  CHECK_FALSE(DecodePoll(R"({"clock-ms":1,"running":[5]})", &polled).ok());
}

TEST(Wire, RunnerEntryContainsCapacityAndRack) {
  const auto info = DecodeRunner(
      RunnerId("i-1"),
      R"({"service":"s","addr":"10.0.0.1:80","zone":"h","state":"draining",)"
      R"("remaining-ms":900,"room":{"cpu":500,"mem-mb":64,"gpu":8},)"
      R"("labels":["a","r1-3"]})");
  CHECK_TRUE(info.ok());
  STRCMP_EQUAL("r1-3", info->rack.c_str());
  LONGS_EQUAL(2, info->labels.size());
  CHECK_TRUE(info->draining);
  LONGS_EQUAL(900, info->leaves_in.ms());
  CHECK_TRUE((info->room == dispatch::Resources{500, 64, 8}));
}

TEST(Wire, PollResponseListsRunningAndEndedRuns) {
  dispatch::RunnerPolled polled;
  const auto status = DecodePoll(
      R"({"clock-ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"ck",41]],)"
      R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"broken",""]]})",
      &polled);
  CHECK_TRUE(status.ok());
  LONGS_EQUAL(482113, polled.clock_ms);
  CHECK_FALSE(dispatch::IsReported(polled.start_time));
  LONGS_EQUAL(17, polled.running[0].task.index);
  LONGS_EQUAL(41, polled.running[0].percent);
  LONGS_EQUAL(58, polled.ended[0].number);
  CHECK_TRUE(polled.ended[0].end == dispatch::RunEnd::kGangBroken);
}

TEST(Wire, PollResponseContainsTheStartTime) {
  dispatch::RunnerPolled polled;
  CHECK_TRUE(
      DecodePoll(R"({"clock-ms":1,"born":1791244478514})", &polled).ok());
  CHECK_TRUE(polled.start_time == dispatch::StartTime(1791244478514));
  for (const char* start_time : {"\"x\"", "1.5", "{}", "true"}) {
    const std::string text = std::string(R"({"born":)") + start_time + "}";
    CHECK_FALSE_TEXT(DecodePoll(text, &polled).ok(), start_time);
  }
}

// The response names runners by ID, but a ticket is valid for one incarnation.
TEST(Wire, TicketsBelongToTheIncarnationsThatWereAskedAbout) {
  dispatch::AdviceReceived advice;
  const dispatch::IncarnationId incarnation(RunnerId("i-1"),
                                            dispatch::StartTime(70));
  advice.asked = {incarnation};
  CHECK_TRUE(DecodeAdvice(R"({"good":[["i-1","t"],["i-2","u"]],"valid_ms":9})",
                          &advice)
                 .ok());
  LONGS_EQUAL(1, advice.tickets.size());
  STRCMP_EQUAL("t", advice.tickets.at(incarnation).c_str());
}

TEST(Wire, TransactionListsConditionsPutsAndRemoves) {
  dispatch::RowTransaction transaction;
  transaction.conditions.push_back({{"leader", "scheduler"}, Revision(4)});
  transaction.puts.push_back({{"job", "a"}, "x"});
  transaction.removes.push_back({"job", "b"});
  STRCMP_EQUAL(
      R"({"expected-rev":[{"key":"scheduler","part":"","table":"leader",)"
      R"("ver":4}],"put":[{"key":"a","part":"","table":"job",)"
      R"("value":"eA=="}],"remove":[{"key":"b","part":"","table":"job"}]})",
      EncodeTransaction(transaction).c_str());
}

// A value that was not base64 once made the whole response unreadable, so that
// one bad entry hid all other runners.
TEST(Wire, InvalidBase64AffectsOnlyItsOwnRow) {
  const absl::StatusOr<RowsBody> body = DecodeRows(
      "{\"rows\":[{\"table\":\"servers\",\"part\":\"\",\"key\":\"bad\","
      "\"value\":\"***\",\"ver\":3},{\"table\":\"servers\",\"part\":\"\","
      "\"key\":\"good\",\"value\":\"e30=\",\"ver\":4}],\"ver\":4}");
  CHECK_TRUE(body.ok());
  LONGS_EQUAL(2, body->rows.size());
  STRCMP_EQUAL("", body->rows[0].value.c_str());
  STRCMP_EQUAL("{}", body->rows[1].value.c_str());
  CHECK_FALSE(DecodeRunner(RunnerId("bad"), body->rows[0].value).ok());
}

}  // namespace limeledge::platform
