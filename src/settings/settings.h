/// @file
/// The settings tree: checked values, inheritance, and where they come from.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_SETTINGS_SETTINGS_H_
#define LIMELEDGE_SRC_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limeledge/base.h"
#include "limeledge/clock.h"

namespace limeledge {

/// Raw values of one node, by key name. Booleans are 0 or 1.
struct SettingsNode {
  std::map<std::string, std::int64_t, std::less<>> numbers;
  std::map<std::string, std::string, std::less<>> names;
};

/// Accelerators that a workspace can always get back in one hall.
struct Guarantee {
  std::string name;
  HallId hall;
  int members = 1;
  /// Accelerators of each member, on one worker.
  int accelerators = 1;

  int total() const { return members * accelerators; }
};

/// Declared size of a hall; guarantees are checked against it.
struct HallSettings {
  std::string region;
  int racks = 1;
  int workers_per_rack = 1;
  int accelerators_per_worker = 0;
  int cores_per_worker = 1;
  std::int64_t memory_mb_per_worker = 0;

  int accelerators() const {
    return racks * workers_per_rack * accelerators_per_worker;
  }
};

struct WorkspaceSettings {
  SettingsNode node;
  /// Lower-case hex SHA-256 of each accepted token.
  std::vector<std::string> token_digests;
  std::vector<Guarantee> guarantees;
  std::map<ClassId, SettingsNode> classes;
};

enum class OperatorRole { kViewer, kAdmin };

struct OperatorSettings {
  std::string name;
  OperatorRole role = OperatorRole::kViewer;
  std::string token_digest;
};

/// Kinds of work that a class may be for.
enum class ClassKind { kRequest, kJob };

struct ClassSettings {
  ClassKind kind = ClassKind::kJob;
  SettingsNode node;
};

/// One inherited value and the node that it comes from.
struct EffectiveValue {
  std::string key;
  std::string value;
  /// Path such as "workspaces/bridges", or "built-in".
  std::string origin;
};

/// The inherited values of one workspace and class.
struct EffectiveSettings {
  std::string placement;
  std::string shadow_placement;
  int priority = 5;
  int weight = 100;
  Duration deadline;
  Duration max_queue_age;
  int max_queue = 0;
  int max_attempts = 0;
  Duration reclaim;
  Duration reserve_after;
  Duration prepare;
  Duration max_run;
  bool checkpoint = true;
  bool borrow = true;
};

/// Values of `system`, the same for all workspaces.
struct SystemSettings {
  Duration hall_lease;
  Duration hall_lease_margin;
  Duration task_lease;
  Duration exchange;
  Duration heartbeat;
  Duration suspect;
  Duration list_poll;
  Duration store_poll;
  int store_rows_per_second = 0;
  Duration store_wait;
  Duration slot_handover;
  int retry_share_percent = 0;
  Duration quarantine;
  int quarantine_failures = 0;
  Duration job_retention;
  Duration claim_retention;
  Duration stop_grace;
};

/// A whole, checked tree. Immutable after it was read, and so safe to share.
///
/// A value of a workspace's class is looked up in that class of the
/// workspace, then the workspace, then the class, then `defaults`, then the
/// built-in default.
class Settings {
 public:
  std::vector<OperatorSettings> operators;
  std::map<HallId, HallSettings> halls;
  SettingsNode system_node;
  SettingsNode defaults;
  std::map<ClassId, ClassSettings> classes;
  std::map<WorkspaceId, WorkspaceSettings> workspaces;

  /// Typed `system` values.
  SystemSettings System() const;

  /// Typed values for a workspace and class; unknown ones inherit.
  EffectiveSettings Effective(const WorkspaceId& workspace,
                              const ClassId& job_class) const;

  /// Every inherited key with its value and the node it comes from, for
  /// "defaults", "classes/C", "workspaces/W" or "workspaces/W/classes/C".
  /// Empty when the path names no node.
  std::vector<EffectiveValue> Explain(const std::string& path) const;

 private:
  struct Layer;
  std::vector<Layer> Layers(const WorkspaceId& workspace,
                            const ClassId& job_class) const;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_SETTINGS_H_
