/// @file
/// The schema of all settings keys.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "settings/schema.h"

#include "absl/strings/str_cat.h"

namespace limeledge {

namespace {

constexpr std::int64_t kHourMs = 3600000;
constexpr std::int64_t kDayMs = 24 * kHourMs;

constexpr KeySchema Integer(std::string_view name, KeyScope scope,
                            std::string_view unit, std::int64_t min,
                            std::int64_t max, std::int64_t value,
                            std::string_view help) {
  return {name, scope, ValueType::kInteger, unit, min, max, value, "", help};
}

constexpr KeySchema Name(std::string_view name, std::string_view value,
                         std::string_view help) {
  return {name, KeyScope::kInherited, ValueType::kName, "", 0, 0, 0, value,
          help};
}

constexpr KeySchema Flag(std::string_view name, bool value,
                         std::string_view help) {
  return {
      name, KeyScope::kInherited, ValueType::kBool, "", 0, 1, value ? 1 : 0, "",
      help};
}

}  // namespace

const std::vector<KeySchema>& AllKeys() {
  constexpr KeyScope kNode = KeyScope::kInherited;
  constexpr KeyScope kSystem = KeyScope::kSystem;
  static const std::vector<KeySchema> keys = {
      Name(
          "placement", "cells",
          "Policy that chooses accelerators for a job: cells, fifo, backfill."),
      Name("shadow_placement", "none",
           "Policy whose choices are recorded and not carried out; none for "
           "no shadow."),
      Integer("priority", kNode, "", 0, 9, 5,
              "Order between classes: 0 goes first."),
      Integer("weight", kNode, "", 1, 1000, 100,
              "Share of a workspace relative to the others."),
      Integer("deadline_ms", kNode, "ms", 1, kHourMs, 10000,
              "Time a request may take when the caller names none."),
      Integer("max_queue_ms", kNode, "ms", 1, kHourMs, 2000,
              "A request that waits longer for a runner is refused."),
      Integer("max_queue", kNode, "requests", 1, 100000, 1000,
              "Requests of one workspace that may wait in one instance."),
      Integer("max_attempts", kNode, "", 1, 100, 3,
              "Attempts of a repeatable job or request before it fails."),
      Integer("reclaim_ms", kNode, "ms", 100, kHourMs, 30000,
              "Time in which a borrowed placement makes way."),
      Integer("reserve_after_ms", kNode, "ms", 0, kDayMs, 600000,
              "A job that waits longer gets a reservation."),
      Integer("prepare_ms", kNode, "ms", 100, kHourMs, 30000,
              "Time in which all members of a gang must be prepared."),
      Integer("max_run_ms", kNode, "ms", 1000, 90 * kDayMs, 30 * kDayMs,
              "A job that runs longer is stopped and fails."),
      Flag("checkpoint", true,
           "Jobs can save their progress when they must make way."),
      Flag("borrow", true,
           "Jobs may use free cells outside the workspace's guarantee."),
      Integer("hall_lease_ms", kSystem, "ms", 500, 600000, 6000,
              "A planner that has not renewed for this long may be replaced."),
      Integer("hall_lease_margin_ms", kSystem, "ms", 0, 600000, 1000,
              "Part of the hall lease that its holder does not use."),
      Integer("task_lease_ms", kSystem, "ms", 500, 600000, 20000,
              "A worker stops a task whose lease was not renewed for this "
              "long."),
      Integer("exchange_ms", kSystem, "ms", 50, 600000, 8000,
              "Interval of the planner's exchange with an unchanged worker."),
      Integer("heartbeat_ms", kSystem, "ms", 50, 60000, 2000,
              "Interval of heartbeats between instances."),
      Integer("suspect_ms", kSystem, "ms", 100, 600000, 5000,
              "An instance unheard for this long is suspect."),
      Integer("list_poll_ms", kSystem, "ms", 50, 60000, 1000,
              "Interval of reading the instance list."),
      Integer("store_poll_ms", kSystem, "ms", 20, 60000, 500,
              "Interval of reading changed rows."),
      Integer("store_rows_per_second", kSystem, "rows/s", 10, 100000, 300,
              "Rows that all instances together may write."),
      Integer("store_wait_ms", kSystem, "ms", 100, 600000, 3000,
              "A write that could not be sent for this long is refused."),
      Integer("slot_handover_ms", kSystem, "ms", 0, 600000, 2000,
              "A runner slot that changes owner rests for this long."),
      Integer("retry_share_percent", kSystem, "%", 0, 1000, 20,
              "Retries allowed for each hundred first attempts."),
      Integer("quarantine_ms", kSystem, "ms", 100, kDayMs, 60000,
              "A worker on which different jobs fail gets nothing new for this "
              "long, then one job as a probe."),
      Integer("quarantine_failures", kSystem, "jobs", 1, 100, 3,
              "Different jobs that must fail on a worker in a row before it is "
              "quarantined."),
      Integer("job_retention_ms", kSystem, "ms", 1000, 90 * kDayMs, 7 * kDayMs,
              "Ended jobs are kept for this long."),
      Integer("claim_retention_ms", kSystem, "ms", 1000, 90 * kDayMs, kDayMs,
              "Claims and recorded answers are kept for this long."),
      Integer("stop_grace_ms", kSystem, "ms", 0, 600000, 3000,
              "A stopping instance goes on accepting for this long."),
  };
  return keys;
}

std::string DocumentKey(const KeySchema& key) {
  std::string type = "whole number";
  std::string range = absl::StrCat(key.min, " to ", key.max);
  std::string value = absl::StrCat(key.default_int);
  if (key.type == ValueType::kBool) {
    type = "true or false";
    range = "";
    value = key.default_int != 0 ? "true" : "false";
  } else if (key.type == ValueType::kName) {
    type = "name";
    range = "";
    value = std::string(key.default_text);
  }
  const char* inherited = key.scope == KeyScope::kInherited ? "yes" : "no";
  return absl::StrCat("| `", std::string(key.name), "` | ", type, " | ",
                      std::string(key.unit), " | ", range, " | ", value, " | ",
                      inherited, " | ", std::string(key.help), " |");
}

const KeySchema* FindKey(std::string_view name, KeyScope scope) {
  for (const KeySchema& key : AllKeys()) {
    if (key.name == name && key.scope == scope) return &key;
  }
  return nullptr;
}

}  // namespace limeledge
