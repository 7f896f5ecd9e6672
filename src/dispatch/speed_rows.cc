/// @file
/// JSON encoding of the rows with speeds of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/speed_rows.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "codec/json.h"

namespace limeledge::dispatch {

namespace {

constexpr int kVersion = 1;
constexpr double kThousandths = 1000;
// Far outside the log paces that are told apart.
constexpr int kMaxThousandths = 10000;
constexpr Json::ArrayIndex kFieldsOfRunner = 6;

int ToThousandths(double value) {
  const double limit = kMaxThousandths;
  return static_cast<int>(
      std::lround(std::clamp(value * kThousandths, -limit, limit)));
}

Json::Value EncodeSpeed(const StoredSpeed& speed) {
  Json::Value json(Json::arrayValue);
  json.append(speed.runner.runner.value());
  json.append(Json::Int64(speed.runner.start_time.value()));
  json.append(ToThousandths(speed.log_pace));
  json.append(std::max(1, ToThousandths(speed.deviation)));
  json.append(speed.runs);
  json.append(Json::Int64(speed.age.ms()));
  return json;
}

/// Throws `Json::Exception` if a value has the wrong type.
absl::StatusOr<StoredSpeed> DecodeSpeed(const Json::Value& json) {
  if (!json.isArray() || json.size() < kFieldsOfRunner) {
    return absl::InvalidArgumentError("an entry has too few fields");
  }
  StoredSpeed speed;
  speed.runner = {RunnerId(json[0].asString()), StartTime(json[1].asInt64())};
  const int log_pace = json[2].asInt();
  const int deviation = json[3].asInt();
  speed.runs = json[4].asInt();
  speed.age = Duration(json[5].asInt64());
  const bool in_range =
      !speed.runner.runner.empty() && speed.runner.start_time.value() >= 0 &&
      std::abs(log_pace) <= kMaxThousandths && deviation > 0 &&
      deviation <= kMaxThousandths && speed.runs > 0 && speed.age.ms() >= 0;
  if (!in_range) {
    return absl::InvalidArgumentError("an entry has a value out of range");
  }
  speed.log_pace = log_pace / kThousandths;
  speed.deviation = deviation / kThousandths;
  return speed;
}

absl::StatusOr<SpeedRow> DecodeRow(const Json::Value& json) {
  const int version = json["v"].asInt();
  if (version != kVersion) {
    return absl::InvalidArgumentError(
        absl::StrCat("unknown version ", version));
  }
  if (!json["runners"].isArray() || !json["at"].isIntegral()) {
    return absl::InvalidArgumentError("a field is missing");
  }
  SpeedRow row;
  row.written_wall_ms = json["at"].asInt64();
  if (row.written_wall_ms < 0) {
    return absl::InvalidArgumentError("the time of the write is out of range");
  }
  for (const Json::Value& entry : json["runners"]) {
    absl::StatusOr<StoredSpeed> speed = DecodeSpeed(entry);
    if (!speed.ok()) return speed.status();
    row.runners.push_back(*std::move(speed));
  }
  return row;
}

}  // namespace

std::string SpeedRowKey(const std::string& rack) {
  std::string key = rack.substr(0, kMaxSpeedKeyBytes);
  for (char& c : key) {
    if (!absl::ascii_isgraph(static_cast<unsigned char>(c))) c = '_';
  }
  return key.empty() ? "_" : key;
}

std::string EncodeSpeedRow(const SpeedRow& row, std::size_t max_bytes) {
  std::vector<const StoredSpeed*> best_known_first;
  for (const StoredSpeed& speed : row.runners) {
    best_known_first.push_back(&speed);
  }
  std::stable_sort(best_known_first.begin(), best_known_first.end(),
                   [](const StoredSpeed* a, const StoredSpeed* b) {
                     return a->deviation < b->deviation;
                   });
  Json::Value json;
  json["v"] = kVersion;
  json["at"] = Json::Int64(row.written_wall_ms);
  json["runners"] = Json::Value(Json::arrayValue);
  std::size_t bytes = WriteJson(json).size();
  for (const StoredSpeed* speed : best_known_first) {
    Json::Value entry = EncodeSpeed(*speed);
    // The entry and the comma before it.
    bytes += WriteJson(entry).size() + 1;
    if (bytes > max_bytes) break;
    json["runners"].append(std::move(entry));
  }
  return WriteJson(json);
}

absl::StatusOr<SpeedRow> DecodeSpeedRow(const std::string& text) {
  const absl::StatusOr<Json::Value> json = ParseJson(text);
  if (!json.ok()) return json.status();
  if (!json->isObject()) return absl::InvalidArgumentError("not a JSON object");
  try {
    return DecodeRow(*json);
  } catch (const Json::Exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace limeledge::dispatch
