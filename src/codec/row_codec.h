/// @file
/// Encodes and decodes the rows of the table service.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_ROW_CODEC_H_
#define LIMELEDGE_SRC_CODEC_ROW_CODEC_H_

#include <string>

#include "absl/status/statusor.h"
#include "core/job.h"
#include "core/peer_protocol.h"
#include "limeledge/ownership.h"
#include "limeledge/table.h"

namespace limeledge {

/// Row values. Decoders fail with `kDataLoss` naming every fault. All are safe
/// from any thread.
std::string EncodeJobRow(const JobRow& job);
absl::StatusOr<JobRow> DecodeJobRow(const Row& row);

/// The row `hall/HALL`; its `renewal` stands in a row of its own.
std::string EncodeOwnership(const OwnershipRecord& record);
absl::StatusOr<OwnershipRecord> DecodeOwnership(const Row& row);

/// The rows `settings/current` and `settings/VERSION`.
struct SettingsRow {
  SettingsCopy copy;
  /// Name of the operator who applied it.
  std::string author;
  std::int64_t written_ms = 0;
};
std::string EncodeSettingsRow(const SettingsRow& row);
absl::StatusOr<SettingsRow> DecodeSettingsRow(const Row& row);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_ROW_CODEC_H_
