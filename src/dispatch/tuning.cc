/// @file
/// The table of options that can be set by name.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/tuning.h"

#include <cstddef>
#include <cstdint>
#include <variant>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

using Field = std::variant<Duration*, double*, int*, std::int64_t*, bool*,
                           RunnerSpeedUse*, AdmissionUse*, MovesByGain*>;

/// An option that can be set by name.
struct Tunable {
  const char* name;
  Field field;
};

std::vector<Tunable> ListTunables(NodeOptions* options) {
  PlannerOptions& planner = options->scheduler.planner;
  SchedulerOptions& scheduler = options->scheduler;
  FleetOptions& fleet = options->scheduler.fleet;
  return {
      {"urgent-patience", &planner.urgent_locality_wait},
      {"patience", &planner.locality_wait},
      {"last-attempt-patience", &planner.last_attempt_wait},
      {"gang-patience", &planner.gang_reservation_delay},
      {"kept-gangs", &planner.max_reserved_gangs},
      {"press-margin", &planner.deadline_margin},
      {"claim-time", &planner.reservation_time},
      {"worthless-after", &planner.worthless_after},
      {"overdue-after", &planner.overdue_after},
      {"urgent-share", &planner.urgent_share},
      {"idle-share", &planner.idle_share},
      {"urgent-headroom", &planner.urgent_headroom},
      {"late-headroom", &planner.late_headroom},
      {"urgent-victim-weight", &planner.urgent_victim_weight},
      {"share-window", &planner.share_window},
      {"suspicion", &scheduler.failure_penalty},
      {"quick-failure-percent", &scheduler.early_failure_percent},
      {"unwell-pause", &scheduler.unhealthy_backoff},
      {"stall-patience", &scheduler.stall_timeout},
      {"stall-percents", &scheduler.stall_timeout_percent},
      {"stall-pause", &scheduler.stall_backoff},
      {"slow-run", &scheduler.slow_run_ratio},
      {"move-gain", &scheduler.min_move_gain},
      {"most-moves", &scheduler.max_moves},
      {"moves-unsaved", &scheduler.move_unsaved_runs},
      {"learn-percent", &scheduler.min_learn_percent},
      {"busy-wait", &fleet.busy_wait},
      {"idle-wait", &fleet.idle_wait},
      {"runner-speeds", &scheduler.runner_speeds},
      {"admission", &options->admission.use},
      {"moves-by-gain", &scheduler.moves_by_gain},
      {"run-lease", &fleet.run_lease},
      {"leader-lease", &options->leadership.lease},
      {"leader-poll", &options->leadership.poll_interval},
  };
}

bool Parse(const std::string& text, Duration* field) {
  std::int64_t ms = 0;
  if (!absl::SimpleAtoi(text, &ms)) return false;
  *field = Duration(ms);
  return true;
}

bool Parse(const std::string& text, double* field) {
  return absl::SimpleAtod(text, field);
}

bool Parse(const std::string& text, int* field) {
  return absl::SimpleAtoi(text, field);
}

bool Parse(const std::string& text, std::int64_t* field) {
  return absl::SimpleAtoi(text, field);
}

bool Parse(const std::string& text, bool* field) {
  return absl::SimpleAtob(text, field);
}

/// Names of the values of a switch.
template <typename Use>
constexpr std::pair<Use, const char*> kUses[] = {
    {Use::kAuto, "auto"}, {Use::kOn, "on"}, {Use::kOff, "off"}};

template <typename Use>
bool ParseUse(const std::string& text, Use* field) {
  for (const auto& [use, name] : kUses<Use>) {
    if (text != name) continue;
    *field = use;
    return true;
  }
  return false;
}

bool Parse(const std::string& text, RunnerSpeedUse* field) {
  return ParseUse(text, field);
}

bool Parse(const std::string& text, AdmissionUse* field) {
  return ParseUse(text, field);
}

bool Parse(const std::string& text, MovesByGain* field) {
  return ParseUse(text, field);
}

template <typename Use>
std::string FormatUse(Use value) {
  for (const auto& [use, name] : kUses<Use>) {
    if (use == value) return name;
  }
  return "";
}

std::string Format(const RunnerSpeedUse* field) { return FormatUse(*field); }
std::string Format(const AdmissionUse* field) { return FormatUse(*field); }
std::string Format(const MovesByGain* field) { return FormatUse(*field); }

std::string Format(const Duration* field) { return absl::StrCat(field->ms()); }
std::string Format(const bool* field) { return *field ? "true" : "false"; }
template <typename Number>
std::string Format(const Number* field) {
  return absl::StrCat(*field);
}

}  // namespace

void Tune(const std::string& setting, NodeOptions* options,
          Findings* findings) {
  const std::size_t equals = setting.find('=');
  const std::string name = setting.substr(0, equals);
  if (equals == std::string::npos) {
    findings->Add(name, "must have the form NAME=VALUE");
    return;
  }
  const std::string value = setting.substr(equals + 1);
  for (const Tunable& tunable : ListTunables(options)) {
    if (name != tunable.name) continue;
    const bool valid = std::visit(
        [&value](auto* field) {
          auto parsed = *field;
          if (!Parse(value, &parsed)) return false;
          *field = parsed;
          return true;
        },
        tunable.field);
    if (!valid) findings->Add(name, "has a value of the wrong type");
    return;
  }
  findings->Add(name, "is not the name of a tunable option");
}

std::vector<std::string> ListTuning(const NodeOptions& options) {
  NodeOptions mutable_options = options;
  std::vector<std::string> settings;
  for (const Tunable& tunable : ListTunables(&mutable_options)) {
    const std::string value =
        std::visit([](auto* field) { return Format(field); }, tunable.field);
    settings.push_back(absl::StrCat(tunable.name, "=", value));
  }
  return settings;
}

}  // namespace limeledge::dispatch
