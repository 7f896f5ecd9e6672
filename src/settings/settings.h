/// @file
/// The validated settings tree and the inheritance of its values.
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

/// Values that are set at one node of the tree, by key. Keys that are not set
/// are inherited.
struct SettingsNode {
  /// Values of integers, and of booleans as 0 or 1.
  std::map<std::string, std::int64_t, std::less<>> numbers;
  std::map<std::string, std::string, std::less<>> names;
};

/// Capacity that a workspace is entitled to in one hall. Other workspaces may
/// borrow it, but must return it on demand.
struct Guarantee {
  std::string name;
  HallId hall;
  int members = 1;
  /// Accelerators of each member, all on one worker.
  int accelerators = 1;

  /// Accelerators of all members together.
  int total() const { return members * accelerators; }
};

/// Declared capacity of a hall. Guarantees must fit into it.
struct HallSettings {
  std::string region;
  int racks = 1;
  int workers_per_rack = 1;
  int accelerators_per_worker = 0;
  int cores_per_worker = 1;
  std::int64_t memory_mb_per_worker = 0;

  /// Accelerators of all workers together.
  int accelerators() const {
    return racks * workers_per_rack * accelerators_per_worker;
  }
};

/// Settings of one workspace.
struct WorkspaceSettings {
  SettingsNode node;
  /// SHA-256 of each accepted token, in lower-case hexadecimal.
  std::vector<std::string> token_digests;
  std::vector<Guarantee> guarantees;
  /// Values that apply only to one class in this workspace.
  std::map<ClassId, SettingsNode> classes;
};

/// Access rights of an operator.
enum class OperatorRole { kViewer, kAdmin };

/// An operator account.
struct OperatorSettings {
  std::string name;
  OperatorRole role = OperatorRole::kViewer;
  /// SHA-256 of the operator's token, in lower-case hexadecimal.
  std::string token_digest;
};

/// The kind of work that a class is for.
enum class ClassKind { kRequest, kJob };

/// Settings of one class.
struct ClassSettings {
  ClassKind kind = ClassKind::kJob;
  SettingsNode node;
};

/// The effective value of one key and the node where it is set.
struct EffectiveValue {
  std::string key;
  std::string value;
  /// Path of the node, such as "workspaces/bridges", or "built-in".
  std::string origin;
};

/// The effective values for one workspace and class. The keys are described in
/// `AllKeys`.
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

/// Values of `system`, which apply to all workspaces. The keys are described in
/// `AllKeys`.
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

/// A complete, validated settings tree. It does not change after it was read
/// and may therefore be shared between threads.
///
/// The value of a key for a workspace and a class comes from the first of these
/// nodes that sets it: the class within the workspace, the workspace, the
/// class, `defaults`. If none sets it, the built-in default applies.
class Settings {
 public:
  std::vector<OperatorSettings> operators;
  std::map<HallId, HallSettings> halls;
  SettingsNode system_node;
  SettingsNode defaults;
  std::map<ClassId, ClassSettings> classes;
  std::map<WorkspaceId, WorkspaceSettings> workspaces;

  /// Returns the `system` values, with built-in defaults for keys that are not
  /// set.
  SystemSettings System() const;

  /// Returns the effective values for a workspace and class. An unknown
  /// workspace or class is treated as one that sets no values.
  EffectiveSettings Effective(const WorkspaceId& workspace,
                              const ClassId& job_class) const;

  /// Returns the effective value of every inheritable key at the node `path`,
  /// which is "defaults", "classes/C", "workspaces/W" or
  /// "workspaces/W/classes/C". Returns nothing if there is no such node.
  std::vector<EffectiveValue> Explain(const std::string& path) const;

 private:
  struct Layer;
  /// Returns the nodes in which values are looked up, the most specific first.
  std::vector<Layer> Layers(const WorkspaceId& workspace,
                            const ClassId& job_class) const;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_SETTINGS_SETTINGS_H_
