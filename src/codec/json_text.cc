/// @file
/// Writes JSON text.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/json_text.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace limeledge {

namespace {

/// True if the character stands for itself in a JSON string.
bool IsPlain(char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; }

}  // namespace

void JsonText::Separate() {
  if (needs_comma_) text_ += ',';
  needs_comma_ = true;
}

void JsonText::Begin(char bracket) {
  Separate();
  text_ += bracket;
  needs_comma_ = false;
}

void JsonText::End(char bracket) {
  text_ += bracket;
  needs_comma_ = true;
}

JsonText& JsonText::Key(std::string_view key) {
  Separate();
  AppendQuoted(key);
  text_ += ':';
  needs_comma_ = false;
  return *this;
}

void JsonText::Number(std::int64_t number) {
  Separate();
  absl::StrAppend(&text_, number);
}

void JsonText::Bool(bool value) {
  Separate();
  text_ += value ? "true" : "false";
}

void JsonText::Text(std::string_view text) {
  Separate();
  AppendQuoted(text);
}

void JsonText::Raw(std::string_view json) {
  Separate();
  text_ += json;
}

void JsonText::AppendQuoted(std::string_view text) {
  if (std::all_of(text.begin(), text.end(), IsPlain)) {
    text_ += '"';
    text_ += text;
    text_ += '"';
  } else {
    text_ += WriteJson(Json::Value(std::string(text)));
  }
}

}  // namespace limeledge
