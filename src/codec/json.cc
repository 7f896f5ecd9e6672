/// @file
/// JSON by jsoncpp, with its exceptions turned into statuses.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/json.h"

#include <memory>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/strip.h"

namespace limeledge {

namespace {

Json::CharReaderBuilder StrictBuilder() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxJsonDepth;
  return builder;
}

/// jsoncpp reports "* Line 1, Column 3\n  text\n" for each fault.
std::string OneLine(const std::string& errors) {
  const std::string joined =
      absl::StrReplaceAll(errors, {{"\n", " "}, {"* ", ""}});
  return std::string(absl::StripAsciiWhitespace(joined));
}

Json::StreamWriterBuilder CompactBuilder() {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

}  // namespace

absl::StatusOr<Json::Value> ParseJson(const std::string& text) {
  static const Json::CharReaderBuilder builder = StrictBuilder();
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    const char* begin = text.data();
    if (reader->parse(begin, begin + text.size(), &value, &errors)) {
      return value;
    }
  } catch (const Json::Exception&) {
    return absl::InvalidArgumentError(
        absl::StrCat("is nested deeper than ", kMaxJsonDepth, " levels"));
  }
  return absl::InvalidArgumentError(
      absl::StrCat("is no valid JSON: ", OneLine(errors)));
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = CompactBuilder();
  return Json::writeString(builder, value);
}

std::string WritePrettyJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

}  // namespace limeledge
