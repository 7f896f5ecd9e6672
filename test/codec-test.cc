/// @file
/// Tests of row and message codecs: what is written is read back.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <rapidcheck.h>

#include "CppUTest/TestHarness.h"
#include "codec/message_codec.h"
#include "codec/row_codec.h"

namespace limeledge {

TEST_GROUP(Codec){};

TEST(Codec, JobRowKeepsEveryField) {
  JobRow job;
  job.spec.workspace = WorkspaceId("a");
  job.spec.id = FullJobId(job.spec.workspace, "j");
  job.spec.job_class = ClassId("c");
  job.spec.members = 2;
  job.spec.accelerators = 8;
  job.spec.payload = "text \"with\" quotes\n";
  job.spec.repeatable = true;
  job.state = JobState::kCheckpointing;
  job.next = JobState::kUnknown;
  job.hall = HallId("h");
  job.attempt = 3;
  job.epoch = Epoch(9);
  job.placement = {{{WorkerId("w1"), ~std::uint64_t{0}}, {WorkerId("w2"), 1}},
                   true};
  job.avoid = {WorkerId("w3")};
  job.results = {"x", ""};
  job.checkpoint = "[\"c\"]";
  job.waiting_since_ms = 77;
  const std::string text = EncodeJobRow(job);
  const auto read = DecodeJobRow({"job/a/j", text, Revision(4)});
  CHECK_TRUE(read.ok());
  CHECK_TRUE(read->spec == job.spec);
  LONGS_EQUAL(4, read->version.value());
  STRCMP_EQUAL(text.c_str(), EncodeJobRow(*read).c_str());
}

TEST(Codec, BrokenRowsAreDataLoss) {
  for (const char* text : {"", "[]", "{}", "{\"spec\":{}}"}) {
    CHECK_TRUE(DecodeJobRow({"job/x", text, Revision(1)}).status().code() ==
               absl::StatusCode::kDataLoss);
    CHECK_TRUE(DecodeSettingsRow({"s", text, Revision(1)}).status().code() ==
               absl::StatusCode::kDataLoss);
  }
}

TEST(Codec, ExchangeIsReadBack) {
  WorkerExchange exchange;
  exchange.worker = WorkerId("w");
  exchange.hall = HallId("h");
  exchange.epoch = Epoch(3);
  exchange.sequence = 12;
  exchange.stamp = {5, 99};
  exchange.lease = Duration(1000);
  TaskOrder order;
  order.id = TaskId("a/j#1#0");
  order.accelerators = 0xF0;
  order.payload = "p";
  exchange.orders.push_back(order);
  order.goal = TaskGoal::kRun;
  exchange.orders.push_back(order);
  const std::string text = EncodeExchange(exchange);
  const auto read = DecodeExchange(text);
  CHECK_TRUE(read.ok());
  STRCMP_EQUAL(text.c_str(), EncodeExchange(*read).c_str());
  LONGS_EQUAL(0xF0, read->orders[0].accelerators);
}

TEST(Codec, ReportAnswerAndHeartbeatAreReadBack) {
  WorkerReport report;
  report.accepted = true;
  report.stamp = {1, 2};
  report.tasks = {{TaskId("t"), TaskState::kFailed, "why"}};
  const std::string report_text = EncodeWorkerReport(report);
  STRCMP_EQUAL(report_text.c_str(),
               EncodeWorkerReport(*DecodeWorkerReport(report_text)).c_str());
  const RunnerAnswer answer{RequestId("r"), AttemptId("x"), WorkspaceId("a"),
                            "text"};
  const std::string answer_text = EncodeRunnerAnswer(answer);
  STRCMP_EQUAL(answer_text.c_str(),
               EncodeRunnerAnswer(*DecodeRunnerAnswer(answer_text)).c_str());
  Heartbeat heartbeat;
  heartbeat.from = InstanceId("e1");
  heartbeat.halls = {{HallId("h"), Epoch(2), 5, 3, 1}};
  heartbeat.leaving_runners = {RunnerId("r1")};
  const std::string heartbeat_text = EncodeHeartbeat(heartbeat);
  STRCMP_EQUAL(heartbeat_text.c_str(),
               EncodeHeartbeat(*DecodeHeartbeat(heartbeat_text)).c_str());
}

TEST(Codec, TransactionAndRepliesAreReadBack) {
  const Transaction transaction{{{"k", Revision(3)}},
                                {{"k", "v", false}, {"x", "", true}}};
  const std::string text = EncodeTransaction(transaction);
  STRCMP_EQUAL(text.c_str(),
               EncodeTransaction(*DecodeTransaction(text)).c_str());
  const std::string committed =
      EncodeTransactionReply(TransactionCommitted{Revision(8)});
  STRCMP_EQUAL(
      committed.c_str(),
      EncodeTransactionReply(*DecodeTransactionReply(committed)).c_str());
  const std::string conflict =
      EncodeTransactionReply(TransactionConflict{{{"k", "v", Revision(2)}}});
  STRCMP_EQUAL(
      conflict.c_str(),
      EncodeTransactionReply(*DecodeTransactionReply(conflict)).c_str());
}

TEST(Codec, AnyTextIsReadOrRefusedButNeverFatal) {
  CHECK_TRUE(
      rc::check("decoders survive any text", [](const std::string& text) {
        static_cast<void>(DecodeExchange(text));
        static_cast<void>(DecodeWorkerReport(text));
        static_cast<void>(DecodeRunnerAnswer(text));
        static_cast<void>(DecodeHeartbeat(text));
        static_cast<void>(DecodeInstanceList(text));
        static_cast<void>(DecodeTransaction(text));
        static_cast<void>(DecodeTransactionReply(text));
        static_cast<void>(DecodeChangedRows(text));
        static_cast<void>(DecodeJobRow({"job/x", text, Revision(1)}));
      }));
}

TEST(Codec, AnyDamageToAMessageIsReadOrRefusedButNeverFatal) {
  Heartbeat heartbeat;
  heartbeat.from = InstanceId("e1");
  heartbeat.halls = {{HallId("h"), Epoch(2), 5, 3, 1}};
  const std::string whole = EncodeHeartbeat(heartbeat);
  CHECK_TRUE(rc::check("damaged heartbeats", [&whole] {
    std::string text = whole;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    static_cast<void>(DecodeHeartbeat(text));
    static_cast<void>(DecodeHeartbeat(text.substr(0, at)));
  }));
}

}  // namespace limeledge
