/// @file
/// Strong types for identifiers and version numbers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_BASE_H_
#define LIMELEDGE_BASE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace limeledge {

/// A text identifier. Identifiers with different `Tag` types are distinct types
/// and cannot be compared or assigned to each other.
///
///     WorkerId id("w-17");
///     fmt::print("{}", id.value());
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) {
    return a.value_ < b.value_;
  }

 private:
  std::string value_;
};

/// An integer. Numbers with different `Tag` types are distinct types and cannot
/// be compared or assigned to each other.
///
///     Epoch next = current.Next();
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(std::int64_t value) : value_(value) {}

  constexpr std::int64_t value() const { return value_; }
  constexpr Number Next() const { return Number(value_ + 1); }

  friend constexpr bool operator==(Number a, Number b) {
    return a.value_ == b.value_;
  }
  friend constexpr bool operator!=(Number a, Number b) { return !(a == b); }
  friend constexpr bool operator<(Number a, Number b) {
    return a.value_ < b.value_;
  }
  friend constexpr bool operator>(Number a, Number b) { return b < a; }
  friend constexpr bool operator<=(Number a, Number b) { return !(b < a); }
  friend constexpr bool operator>=(Number a, Number b) { return !(a < b); }

 private:
  std::int64_t value_ = 0;
};

using InstanceId = Id<struct InstanceIdTag>;
using WorkspaceId = Id<struct WorkspaceIdTag>;
using HallId = Id<struct HallIdTag>;
using RackId = Id<struct RackIdTag>;
using WorkerId = Id<struct WorkerIdTag>;
using RunnerId = Id<struct RunnerIdTag>;
using ClassId = Id<struct ClassIdTag>;
using JobId = Id<struct JobIdTag>;
using TaskId = Id<struct TaskIdTag>;
using RequestId = Id<struct RequestIdTag>;
using AttemptId = Id<struct AttemptIdTag>;

/// Fencing token of a hall's planner. Each new planner gets a larger epoch, and
/// writes with a smaller epoch are rejected.
using Epoch = Number<struct EpochTag>;
/// Version of the settings tree; each accepted version is greater than the
/// previous one.
using SettingsVersion = Number<struct SettingsVersionTag>;
/// Position of a commit in the table service's commit order. A row's version is
/// the revision of the commit that last wrote it.
using Revision = Number<struct RevisionTag>;
/// Identifies a pending call within one process.
using CallId = Number<struct CallIdTag>;

/// Hash function for `Id` and `Number`, for use with unordered containers.
struct IdHash {
  template <typename Tag>
  std::size_t operator()(const Id<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
  template <typename Tag>
  std::size_t operator()(Number<Tag> number) const {
    return std::hash<std::int64_t>()(number.value());
  }
};

}  // namespace limeledge

#endif  // LIMELEDGE_BASE_H_
