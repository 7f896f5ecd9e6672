/// @file
/// Tests of decoders on valid messages of which one value is odd: nested
/// deeply, a number out of range, or of another type.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "codec/json.h"
#include "dispatch/row_codec.h"
#include "platform/peer_client.h"
#include "platform/wire.h"

namespace limeledge::platform {

namespace {

/// Takes the place of a value in a message.
constexpr char kPlaceholder[] = "@";

std::string Nested(int levels, char open, char close) {
  return std::string(levels, open) + std::string(levels, close);
}

std::vector<std::string> OddValues() {
  std::vector<std::string> values = {
      "null",        "true",        "{}",   "[]",      "\"\"",
      "-1",          "0.5",         "1e19", "-1e19",   "1e300",
      "1e999999",    "-1e999999",   "NaN",  "\"NaN\"", "18446744073709551616",
      R"("\ud800")", "\"\xff\xfe\""};
  values.push_back(std::string(400, '9'));
  values.push_back("\"" + std::string(100000, 'x') + "\"");
  for (const int levels : {31, 33, 999, 1001, 20000}) {
    values.push_back(Nested(levels, '[', ']'));
    values.push_back(absl::StrCat(
        absl::StrReplaceAll(std::string(levels, '{'), {{"{", "{\"a\":"}}), "1",
        std::string(levels, '}')));
  }
  for (const char* port :
       {"0", "65536", "70000", "-1", "", "x", "99999999999999999999"}) {
    values.push_back(absl::StrCat("\"10.0.0.1:", port, "\""));
  }
  values.emplace_back("\"some.host.example:80\"");
  values.emplace_back("\"300.0.0.1:80\"");
  return values;
}

/// Calls `visit` with each version of `text` in which one value is odd.
void ForEachOddVersion(const std::string& text,
                       const std::function<void(const std::string&)>& visit) {
  const std::vector<std::string> values = OddValues();
  Json::Value root = *ParseJson(text);
  const std::function<void(Json::Value*)> replace = [&](Json::Value* value) {
    if (value->isObject()) {
      for (const std::string& name : value->getMemberNames()) {
        replace(&(*value)[name]);
      }
    } else if (value->isArray()) {
      for (Json::Value& element : *value) replace(&element);
    }
    const Json::Value before = std::exchange(*value, kPlaceholder);
    const std::string marked = WriteJson(root);
    for (const std::string& odd : values) {
      visit(absl::StrReplaceAll(marked, {{"\"@\"", odd}}));
    }
    *value = before;
  };
  replace(&root);
}

constexpr char kEntry[] =
    R"({"service":"s","addr":"10.0.0.1:80","zone":"h","version":"v1",)"
    R"("slots":8,"state":"ready","cold-left-ms":0,"seq":4,"remaining-ms":9,)"
    R"("born":1791244478514,)"
    R"("room":{"cpu":500,"mem-mb":64,"gpu":8},"labels":["a","r1-3"]})";

}  // namespace

TEST_GROUP(OddEntries){
    /// A page of the list of runners: `count` valid entries, and one more.
    static std::string PageWith(int count,
                                const std::string& odd){std::string rows;
for (int i = 0; i <= count; ++i) {
  const std::string entry = i == count / 2 ? odd : std::string(kEntry);
  absl::StrAppend(&rows, i == 0 ? "" : ",", R"({"table":"servers","key":"i-)",
                  i, R"(","ver":)", i + 1, R"(,"value":")",
                  absl::Base64Escape(entry), "\"}");
}
return absl::StrCat(R"({"rows":[)", rows, R"(],"ver":9,"more":true})");
}  // namespace limeledge::platform
}
;

// Guards against an entry of another writer that ends the processes which read
// it.
TEST(OddEntries, EntryOfARunnerIsAcceptedOrRejected) {
  int accepted = 0;
  ForEachOddVersion(kEntry, [&](const std::string& text) {
    const auto runner = DecodeRunner(RunnerId("i-1"), text);
    if (!runner.ok()) return;
    ++accepted;
    STRCMP_EQUAL("10.0.0.1:80", runner->address.c_str());
    CHECK_TRUE(runner->room.accelerators >= 0);
  });
  // Odd values of fields that may have any value of their type.
  CHECK_TRUE(accepted > 0);
}

// Guards against a list that is no longer followed because of one entry.
TEST(OddEntries, OtherEntriesOfThePageAreRead) {
  constexpr int kOthers = 499;
  // A page takes as long as 500 entries.
  constexpr int kVersionsPerPage = 10;
  int version = 0;
  ForEachOddVersion(kEntry, [&](const std::string& text) {
    if (++version % kVersionsPerPage != 0) return;
    if (DecodeRunner(RunnerId("i-1"), text).ok()) return;
    const auto rows = DecodeRows(PageWith(kOthers, text));
    CHECK_TRUE(rows.ok());
    int read = 0;
    for (const dispatch::Row& row : rows->rows) {
      if (DecodeRunner(RunnerId(row.key.key), row.value).ok()) ++read;
    }
    LONGS_EQUAL(kOthers, read);
  });
}

TEST(OddEntries, AnswersOfRunnersAreAcceptedOrRejected) {
  ForEachOddVersion(
      R"({"clock-ms":4821,"born":17,"running":[["a.0.1.17",2,"00bb",41,3]],)"
      R"("ended":[[58,"a.0.1.9",1,"done",""]],"reason":"fence"})",
      [](const std::string& text) {
        dispatch::RunnerPolled polled;
        (void)DecodePoll(text, &polled);
        (void)DecodeOrder(text);
      });
}

TEST(OddEntries, RowsOfTheSchedulerAndOfPeersAreAcceptedOrRejected) {
  const dispatch::JobSpec spec = [] {
    dispatch::JobSpec job;
    job.id = JobId("0123456789abcdef");
    job.steps.resize(1);
    job.steps[0].count = 2;
    return job;
  }();
  ForEachOddVersion(
      R"({"address":"10.0.0.1:80","renewed_ms":17,"hall":"h","capacity":4})",
      [](const std::string& text) {
        (void)dispatch::DecodePeer(text);
        dispatch::PeerReplied reply;
        (void)DecodeStoreStatus(text, &reply);
      });
  ForEachOddVersion(
      R"({"epoch":3,"holder":"n1","sequence":4,"capacity":5,"nodes":6,)"
      R"("largest_capacity":7,"catalog":8,"catalog_revision":9})",
      [](const std::string& text) { (void)dispatch::DecodeLeader(text); });
  ForEachOddVersion(dispatch::EncodeJobSpec(spec), [](const std::string& text) {
    (void)dispatch::DecodeJobSpec(text);
  });
  ForEachOddVersion(
      R"({"state":1,"begun":true,"addresses":{"i-1":"10.0.0.1:80"},)"
      R"("steps":[{"k":0,"step":0,"tasks":[[0,1,2,0,"i-1","",[],1700],)"
      R"([1,1,2,0,"i-1","",[[1,"i-2","10.0.0.2:80",5,true,false]]]]}]})",
      [&spec](const std::string& text) {
        dispatch::Job job(spec);
        (void)dispatch::DecodeProgress(text, &job);
        (void)dispatch::DecodeProgressState(text);
      });
  ForEachOddVersion(R"({"q":4,"r":5})", [](const std::string& text) {
    (void)dispatch::DecodeWaiting(text);
  });
}

TEST(OddEntries, JobsOfCallersAreAcceptedOrRejected) {
  ForEachOddVersion(
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"estimate-ms":900},)"
      R"({"count":2,"gpu":1,"gang":true,"after":[0],"requires":"a"}],)"
      R"("times":2,"start-at-ms":1700000000000,"interval-ms":500})",
      [](const std::string& text) { (void)DecodeJob(text); });
}

TEST(OddEntries, ConfigurationsAreAcceptedOrRejected) {
  ForEachOddVersion(
      R"({"version":4,"routes":[{"name":"q","host":"h","path-prefix":"/q/",)"
      R"("service":"s","priority":0,"attempts":3,"stretch":2.5,"slo-ms":250}],)"
      R"("services":[{"name":"s","enforces-capacity":true}],)"
      R"("tenants":[{"name":"t","guaranteed":{"gpu":8},"api-keys":["k"]}]})",
      [](const std::string& text) { (void)DecodeCatalog(text); });
}

}  // namespace limeledge::platform
