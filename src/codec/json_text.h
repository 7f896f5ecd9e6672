/// @file
/// JSON text that is written piece by piece.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_JSON_TEXT_H_
#define LIMELEDGE_SRC_CODEC_JSON_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace limeledge {

/// Writes compact JSON without a tree of values in between, for rows that are
/// written thousands of times a second.
///
///     JsonText json;
///     json.BeginObject();
///     json.Key("run").Number(2);
///     json.EndObject();
///
/// The caller pairs `Begin` and `End` and writes a key before each value of an
/// object. Keys and texts may be any UTF-8. With keys in ascending order, the
/// text is the one that `WriteJson` writes.
///
/// Thread safety: none; use it from one thread.
class JsonText {
 public:
  void BeginObject() { Begin('{'); }
  void EndObject() { End('}'); }
  void BeginArray() { Begin('['); }
  void EndArray() { End(']'); }
  JsonText& Key(std::string_view key);
  void Number(std::int64_t number);
  void Bool(bool value);
  void Text(std::string_view text);
  /// Adds a value that is JSON already.
  void Raw(std::string_view json);

  /// Returns what was written.
  std::string Take() && { return std::move(text_); }

 private:
  void Begin(char bracket);
  void End(char bracket);
  /// Separates a value from the previous one.
  void Separate();
  void AppendQuoted(std::string_view text);

  std::string text_;
  bool needs_comma_ = false;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_JSON_TEXT_H_
