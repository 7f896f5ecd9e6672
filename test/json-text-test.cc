/// @file
/// Tests of JSON text that is written piece by piece.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "codec/json.h"
#include "codec/json_text.h"

namespace limeledge {

TEST_GROUP(JsonText) {
  JsonText json;

  /// Compares what was written with what `WriteJson` makes of it.
  static void CheckSameAsWriteJson(const std::string& text) {
    const absl::StatusOr<Json::Value> value = ParseJson(text);
    CHECK_TRUE(value.ok());
    STRCMP_EQUAL(WriteJson(*value).c_str(), text.c_str());
  }
};

TEST(JsonText, ValuesAreSeparated) {
  json.BeginArray();
  json.Number(-3);
  json.BeginArray();
  json.EndArray();
  json.BeginObject();
  json.Key("a").Bool(true);
  json.Key("b").BeginArray();
  json.Number(1);
  json.Number(2);
  json.EndArray();
  json.EndObject();
  json.Raw("[4]");
  json.EndArray();
  const std::string text = std::move(json).Take();
  STRCMP_EQUAL(R"([-3,[],{"a":true,"b":[1,2]},[4]])", text.c_str());
  CheckSameAsWriteJson(text);
}

// Guards against rows that cannot be read because of an id or a checkpoint.
TEST(JsonText, AnyTextIsEscaped) {
  json.BeginObject();
  json.Key("a\"b\\").Text("q\"\\/\n\t\x01 \x7f \u00e9 \u20ac");
  json.EndObject();
  CheckSameAsWriteJson(std::move(json).Take());
}

}  // namespace limeledge
