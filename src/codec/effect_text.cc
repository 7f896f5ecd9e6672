/// @file
/// Effects as text.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "codec/effect_text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "codec/message_codec.h"

namespace limeledge {

namespace {

std::string Describe(const RequestResult& result) {
  return absl::StrCat("request ", result.id.value(), " ",
                      ToString(result.outcome), " ", result.answer,
                      ToString(result.reason));
}

std::string Describe(const JobView& view) {
  return absl::StrCat("job ", view.job.spec.id.value(), " ",
                      ToString(view.job.state), " ", view.explanation);
}

std::string Describe(const JobList& list) {
  return absl::StrCat("jobs ", list.jobs.size());
}

std::string Describe(const Failure& failure) {
  return absl::StrCat("failure ", failure.status.ToString());
}

std::string Describe(const SettingsView& view) {
  return absl::StrCat("settings ", view.copy.version.value());
}

std::string Describe(const SettingsHistory& history) {
  return absl::StrCat("history ", history.rows.size());
}

std::string Describe(const StateDump& dump) {
  return absl::StrCat("state ", dump.json.size(), " bytes");
}

std::string Describe(const MetricsSnapshot&) { return "metrics"; }

std::string Describe(const Heartbeat& heartbeat) {
  return absl::StrCat("heartbeat ", EncodeHeartbeat(heartbeat));
}

std::string Describe(const SettingsCopy& copy) {
  return absl::StrCat("copy ", copy.version.value());
}

/// Describes one effect.
struct Describer {
  std::string operator()(const SendTransaction& effect) const {
    std::vector<std::string> parts;
    for (const Condition& condition : effect.transaction.conditions) {
      parts.push_back(
          absl::StrCat(condition.key, "@", condition.version.value()));
    }
    for (const Write& write : effect.transaction.writes) {
      parts.push_back(write.erase ? absl::StrCat("erase ", write.key)
                                  : absl::StrCat(write.key, "=", write.value));
    }
    return absl::StrCat("transaction ", absl::StrJoin(parts, " "));
  }
  std::string operator()(const ReadRows& effect) const {
    return absl::StrCat("read since ", effect.since.value());
  }
  std::string operator()(const ReadClaims& effect) const {
    return absl::StrCat("claims since ", effect.since.value());
  }
  std::string operator()(const FetchRows& effect) const {
    return absl::StrCat("fetch ", absl::StrJoin(effect.keys, " "));
  }
  std::string operator()(const ReadInstanceList&) const { return "read list"; }
  std::string operator()(const SendHeartbeat& effect) const {
    return absl::StrCat("heartbeat to ", effect.peer.value(), " ",
                        EncodeHeartbeat(effect.heartbeat));
  }
  std::string operator()(const FetchSettings& effect) const {
    return absl::StrCat("fetch settings from ", effect.peer.value());
  }
  std::string operator()(const SendExchange& effect) const {
    return absl::StrCat("exchange ", EncodeExchange(effect.exchange));
  }
  std::string operator()(const SendRunnerCall& effect) const {
    return absl::StrCat("run ", EncodeRunnerCall(effect.call));
  }
  std::string operator()(const Answer& effect) const {
    return absl::StrCat(
        "answer ", effect.call.value(), " ",
        std::visit([](const auto& body) { return Describe(body); },
                   effect.body));
  }
  std::string operator()(const SettingsInForce& effect) const {
    return absl::StrCat("settings in force ", effect.version.value());
  }
  std::string operator()(const SetReady& effect) const {
    return absl::StrCat(effect.ready ? "ready" : "not ready ", effect.reason);
  }
  std::string operator()(const WriteLog& effect) const {
    std::string text = absl::StrCat("log LL", static_cast<int>(effect.line.id));
    for (const LogField& field : effect.line.fields) {
      absl::StrAppend(&text, " ", field.name, "=", field.value);
    }
    return text;
  }
  std::string operator()(const Exit&) const { return "exit"; }
};

}  // namespace

std::string DescribeEffect(const Effect& effect) {
  return std::visit(Describer(), effect);
}

}  // namespace limeledge
