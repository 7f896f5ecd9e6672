/// @file
/// Encodes, decodes and evaluates claim rows.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/claims.h"

#include <json/json.h>

#include <memory>

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr char kStateClaimed[] = "claimed";
constexpr char kStateAnswered[] = "answered";

}  // namespace

std::string ClaimKey(const WorkspaceId& workspace, const RequestId& request) {
  return absl::StrCat(kClaimPrefix, workspace.value(), "/", request.value());
}

std::string EncodeClaim(const Claim& claim) {
  Json::Value json(Json::objectValue);
  json["state"] =
      claim.state == ClaimState::kAnswered ? kStateAnswered : kStateClaimed;
  json["holder"] = claim.holder.value();
  json["incarnation"] = Json::Int64(claim.incarnation);
  json["digest"] = claim.digest;
  json["answer"] = claim.answer;
  json["written_ms"] = Json::Int64(claim.written_ms);
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, json);
}

absl::StatusOr<Claim> DecodeClaim(const std::string& value) {
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  const char* begin = value.data();
  if (!reader->parse(begin, begin + value.size(), &json, nullptr) ||
      !json.isObject() || !json["state"].isString()) {
    return absl::DataLossError("the row value is not a valid claim");
  }
  Claim claim;
  claim.state = json["state"].asString() == kStateAnswered
                    ? ClaimState::kAnswered
                    : ClaimState::kClaimed;
  claim.holder = InstanceId(json["holder"].asString());
  claim.incarnation = json["incarnation"].asInt64();
  claim.digest = json["digest"].asString();
  claim.answer = json["answer"].asString();
  claim.written_ms = json["written_ms"].asInt64();
  return claim;
}

ClaimVerdict JudgeClaim(const Claim& claim, const std::string& digest,
                        bool holder_alive) {
  if (claim.digest != digest) return ClaimVerdict::kMismatch;
  if (claim.state == ClaimState::kAnswered) return ClaimVerdict::kReplay;
  return holder_alive ? ClaimVerdict::kWait : ClaimVerdict::kUnknown;
}

}  // namespace limeledge
