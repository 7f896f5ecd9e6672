/// @file
/// Rows of the store that hold the speeds of runners.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_SPEED_ROWS_H_
#define LIMELEDGE_SRC_DISPATCH_SPEED_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "dispatch/incarnation.h"
#include "limeledge/clock.h"

namespace limeledge::dispatch {

/// The store's limits on the key and on the value of a row, in bytes.
inline constexpr std::size_t kMaxSpeedKeyBytes = 200;
inline constexpr std::size_t kMaxSpeedRowBytes = 65536;

/// The stored speed of one incarnation of a runner.
struct StoredSpeed {
  IncarnationId runner;
  /// Mean and standard deviation of the log pace.
  double log_pace = 0;
  double deviation = 0;
  /// Number of runs that were measured.
  int runs = 0;
  /// Time from the last measurement to the write of the row.
  Duration age;
};

/// The speeds of the runners of one rack.
struct SpeedRow {
  /// Wall-clock time of the write in Unix milliseconds.
  std::int64_t written_wall_ms = 0;
  std::vector<StoredSpeed> runners;
};

/// Returns the key of a rack's row. Characters other than printable ASCII,
/// which the store might refuse, are replaced, and the name is truncated to the
/// limit. Racks with the same key share a row. Never empty. Thread-safe.
std::string SpeedRowKey(const std::string& rack);

/// Encodes a row of at most `max_bytes`. The runners with the smallest
/// deviation come first; those that don't fit are left out. Thread-safe.
std::string EncodeSpeedRow(const SpeedRow& row,
                           std::size_t max_bytes = kMaxSpeedRowBytes);
/// Fails with `kInvalidArgument` if the text is malformed, has an unknown
/// version or contains a value out of range. Thread-safe.
absl::StatusOr<SpeedRow> DecodeSpeedRow(const std::string& text);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_SPEED_ROWS_H_
