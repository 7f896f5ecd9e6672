/// @file
/// Tests of JSON parsing and field reading.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/json.h"

#include "CppUTest/TestHarness.h"
#include "codec/json_fields.h"

namespace limeledge {

TEST_GROUP(Json) {
  Findings findings{"body"};

  static bool Parses(const std::string& text) { return ParseJson(text).ok(); }
};

TEST(Json, OnlyWholeStandardTextIsParsed) {
  CHECK_TRUE(Parses("{\"a\":[1,2,{\"b\":null}]}"));
  for (const char* text :
       {"", "{", "{\"a\":1}x", "{'a':1}", "{\"a\":1,\"a\":2}", "{\"a\":NaN}",
        "// c\n{}", "[1,]", "nul"}) {
    CHECK_FALSE(Parses(text));
  }
}

TEST(Json, DeepNestingIsRefused) {
  CHECK_TRUE(Parses(std::string(20, '[') + std::string(20, ']')));
  CHECK_FALSE(Parses(std::string(100000, '[')));
  CHECK_FALSE(Parses(std::string(40, '[') + std::string(40, ']')));
}

TEST(Json, EveryFaultyFieldIsAFinding) {
  const Json::Value json = *ParseJson(
      R"({"id":"a b","n":-1,"m":1.5,"big":99999999999999999999,"t":3,"x":1})");
  WorkerId id;
  int n = 5;
  int m = 5;
  std::int64_t big = 5;
  std::string text = "kept";
  bool flag = false;
  JsonFields fields(json, "", &findings);
  fields.Identifier("id", Presence::kRequired, &id);
  fields.Integer("n", Presence::kRequired, 0, 10, &n);
  fields.Integer("m", Presence::kRequired, 0, 10, &m);
  fields.Integer("big", Presence::kRequired, 0, INT64_MAX, &big);
  fields.Text("t", Presence::kRequired, &text);
  fields.Bool("flag", Presence::kRequired, &flag);
  fields.RejectOthers();
  LONGS_EQUAL(7, findings.all().size());
  LONGS_EQUAL(5, n);
  STRCMP_EQUAL("kept", text.c_str());
}

TEST(Json, NulInANameIsRefused) {
  const Json::Value json = *ParseJson(R"({"id":"a\u0000b"})");
  WorkerId id;
  JsonFields(json, "", &findings).Identifier("id", Presence::kRequired, &id);
  LONGS_EQUAL(1, findings.all().size());
}

TEST(Json, MissingOptionalFieldKeepsItsDefault) {
  const Json::Value json(Json::objectValue);
  int n = 5;
  JsonFields(json, "", &findings).Integer("n", Presence::kOptional, 0, 9, &n);
  LONGS_EQUAL(5, n);
  CHECK_TRUE(findings.empty());
}

TEST(Json, OtherThanAnObjectIsOneFinding) {
  const Json::Value json(Json::arrayValue);
  int n = 5;
  JsonFields(json, "", &findings).Integer("n", Presence::kRequired, 0, 9, &n);
  LONGS_EQUAL(1, findings.all().size());
}

}  // namespace limeledge
