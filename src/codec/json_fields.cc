/// @file
/// Typed field reading.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/json_fields.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/identifier.h"
#include "codec/json.h"

namespace limeledge {

JsonFields::JsonFields(const Json::Value& json, std::string path,
                       Findings* findings)
    : json_(json), path_(std::move(path)), findings_(findings) {
  if (!json_.isObject()) findings_->Add(path_, "must be an object");
}

void JsonFields::Integer(const char* name, Presence presence, std::int64_t min,
                         std::int64_t max, std::int64_t* value) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return;
  if (!field->isInt64() || field->type() == Json::realValue) {
    AddFinding(name, "must be a whole number");
    return;
  }
  const std::int64_t number = field->asInt64();
  if (number < min || number > max) {
    AddFinding(
        name, absl::StrCat("must be from ", min, " to ", max, ", is ", number));
    return;
  }
  *value = number;
}

void JsonFields::Integer(const char* name, Presence presence, int min, int max,
                         int* value) {
  std::int64_t wide = *value;
  Integer(name, presence, std::int64_t{min}, std::int64_t{max}, &wide);
  *value = static_cast<int>(wide);
}

void JsonFields::Bool(const char* name, Presence presence, bool* value) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return;
  if (!field->isBool()) {
    AddFinding(name, "must be true or false");
    return;
  }
  *value = field->asBool();
}

void JsonFields::Text(const char* name, Presence presence, std::string* value) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return;
  if (!field->isString()) {
    AddFinding(name, "must be text");
    return;
  }
  *value = field->asString();
}

void JsonFields::Payload(const char* name, Presence presence,
                         std::string* value) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return;
  *value = field->isString() ? field->asString() : WriteJson(*field);
}

void JsonFields::Milliseconds(const char* name, Presence presence,
                              std::int64_t min, std::int64_t max,
                              Duration* value) {
  std::int64_t ms = value->ms();
  Integer(name, presence, min, max, &ms);
  *value = Duration(ms);
}

void JsonFields::List(
    const char* name, Presence presence,
    const std::function<void(const Json::Value&, const std::string&)>& visit) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return;
  if (!field->isArray()) {
    AddFinding(name, "must be a list");
    return;
  }
  for (Json::ArrayIndex i = 0; i < field->size(); ++i) {
    visit((*field)[i], absl::StrCat(PathOf(name), "/", i));
  }
}

void JsonFields::RejectOthers() {
  if (!json_.isObject()) return;
  for (const std::string& name : json_.getMemberNames()) {
    if (known_.count(name) == 0) {
      findings_->Add(PathOf(name), "unknown field");
    }
  }
}

void JsonFields::AddFinding(const char* name, const std::string& message) {
  findings_->Add(PathOf(name), message);
}

bool JsonFields::IdentifierText(const char* name, Presence presence,
                                std::string* value) {
  const Json::Value* field = Find(name, presence);
  if (field == nullptr) return false;
  if (!field->isString() || !IsIdentifier(field->asString())) {
    AddFinding(name,
               "must be a name of 1 to 64 letters, digits, '-', '_' or '.'");
    return false;
  }
  *value = field->asString();
  return true;
}

const Json::Value* JsonFields::Find(const char* name, Presence presence) {
  known_.insert(name);
  if (!json_.isObject()) return nullptr;
  const Json::Value* field =
      json_.find(name, name + std::char_traits<char>::length(name));
  if (field == nullptr && presence == Presence::kRequired) {
    AddFinding(name, "is missing");
  }
  return field;
}

std::string JsonFields::PathOf(const std::string& name) const {
  return path_.empty() ? name : absl::StrCat(path_, "/", name);
}

}  // namespace limeledge
