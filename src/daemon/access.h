/// @file
/// Who a caller is, by bearer token.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DAEMON_ACCESS_H_
#define LIMELEDGE_SRC_DAEMON_ACCESS_H_

#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "core/event.h"
#include "settings/settings.h"

namespace limeledge {

enum class Role { kWorkspace, kViewer, kAdmin };

/// A caller whose token was found.
struct Principal {
  Role role = Role::kWorkspace;
  /// Name of the operator, or of the workspace.
  std::string name;
  /// Empty for operators.
  WorkspaceId workspace;

  AccessScope scope() const { return {workspace}; }
  bool is_operator() const { return role != Role::kWorkspace; }
};

/// Checks tokens against the digests of the settings in force.
///
/// Thread safety: all methods from any thread.
class Access {
 public:
  void SetSettings(std::shared_ptr<const Settings> settings);
  /// The settings in force, or null.
  std::shared_ptr<const Settings> settings() const;

  /// Takes the value of an `Authorization` header. Fails with `kUnavailable`
  /// while no settings are in force, and with `kUnauthenticated` for a missing
  /// or unknown token. Every digest is compared, each in constant time.
  absl::StatusOr<Principal> Check(const std::string& authorization) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const Settings> settings_;
};

/// Lower-case hex SHA-256 of a token. Safe from any thread.
std::string TokenDigest(const std::string& token);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_DAEMON_ACCESS_H_
