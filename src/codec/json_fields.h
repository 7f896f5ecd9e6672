/// @file
/// Reads typed fields of a JSON object and collects findings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_JSON_FIELDS_H_
#define LIMELEDGE_SRC_CODEC_JSON_FIELDS_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "limeledge/base.h"
#include "limeledge/clock.h"
#include "limeledge/finding.h"

namespace limeledge {

/// Whether a field may be left out.
enum class Presence { kRequired, kOptional };

/// Reads one object. A missing, mistyped or unlisted field is a finding; the
/// target keeps its value then.
///
///     JsonFields fields(json, "", &findings);
///     fields.Identifier("id", Presence::kRequired, &spec.id);
///     fields.RejectOthers();
///
/// Thread safety: none; use it from one thread.
class JsonFields {
 public:
  /// `json` and `findings` must outlive this object.
  JsonFields(const Json::Value& json, std::string path, Findings* findings);

  void Integer(const char* name, Presence presence, std::int64_t min,
               std::int64_t max, std::int64_t* value);
  void Integer(const char* name, Presence presence, int min, int max,
               int* value);
  void Bool(const char* name, Presence presence, bool* value);
  void Text(const char* name, Presence presence, std::string* value);
  /// Text, or any other JSON value in compact form.
  void Payload(const char* name, Presence presence, std::string* value);
  void Milliseconds(const char* name, Presence presence, std::int64_t min,
                    std::int64_t max, Duration* value);

  /// A name as `IsIdentifier` allows it.
  template <typename Tag>
  void Identifier(const char* name, Presence presence, Id<Tag>* value) {
    std::string text;
    if (IdentifierText(name, presence, &text)) *value = Id<Tag>(text);
  }
  /// Text without further rules, as a strong type.
  template <typename Tag>
  void Text(const char* name, Presence presence, Id<Tag>* value) {
    std::string text = value->value();
    Text(name, presence, &text);
    *value = Id<Tag>(text);
  }
  template <typename Tag>
  void Integer(const char* name, Presence presence, Number<Tag>* value) {
    std::int64_t number = value->value();
    Integer(name, presence, 0, INT64_MAX, &number);
    *value = Number<Tag>(number);
  }

  /// Calls `visit(element, path)` for each element of a list field.
  void List(
      const char* name, Presence presence,
      const std::function<void(const Json::Value&, const std::string&)>& visit);

  /// Makes every field that was not asked for a finding.
  void RejectOthers();

  void AddFinding(const char* name, const std::string& message);

 private:
  bool IdentifierText(const char* name, Presence presence, std::string* value);
  /// Returns the field, or null; a missing required one is a finding.
  const Json::Value* Find(const char* name, Presence presence);
  std::string PathOf(const std::string& name) const;

  const Json::Value& json_;
  std::string path_;
  Findings* findings_;
  std::set<std::string> known_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_JSON_FIELDS_H_
