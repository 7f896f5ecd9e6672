/// @file
/// JSON encoding of the rows in the dispatcher's tables.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_
#define LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_

#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dispatch/capacity_forecast.h"
#include "dispatch/catalog.h"
#include "dispatch/job.h"
#include "dispatch/job_spec.h"

namespace limeledge::dispatch {

/// The row that holds the scheduler's lease. Every write of the scheduler
/// updates it.
struct LeaderRecord {
  Epoch epoch;
  std::string holder;
  /// Number of the write within the epoch.
  std::int64_t sequence = 0;
  /// True if the holder released the lease.
  bool released = false;
  /// CPU capacity of the holder in thousandths of a core, and the largest
  /// capacity of any holder so far.
  std::int64_t capacity = 0;
  std::int64_t largest_capacity = 0;
  /// Number of nodes as the holder last counted them; 0 if it has not.
  std::int64_t nodes = 0;
  /// The newest catalog that the holder knows. A node that knows only an older
  /// one has missed a change.
  CatalogVersion catalog;
  /// The newest change of the catalog or of the drained halls that the holder
  /// knows; 0 in rows of versions that did not tell it.
  Revision catalog_revision;
  /// What the holder knows of capacity; not set if it knows too little, and in
  /// rows of versions that did not forecast it. Versions that do not know the
  /// field ignore it.
  std::optional<CapacitySummary> forecast;
  /// The progress of some job is stored in blocks. Versions that read only one
  /// row per job must not schedule then, since they would start tasks again.
  bool divides_progress = false;
};

/// The forecast as it is stored in the leader's row, and shown in dumps.
Json::Value ForecastToJson(const CapacitySummary& summary);

std::string EncodeLeader(const LeaderRecord& record);
/// All decoders fail with `kInvalidArgument` on malformed text.
absl::StatusOr<LeaderRecord> DecodeLeader(const std::string& text);

std::string EncodeJobSpec(const JobSpec& spec);
absl::StatusOr<JobSpec> DecodeJobSpec(const std::string& text);

/// Encodes the part of a job's progress that is stored, for a job that has no
/// blocks or is final.
std::string EncodeProgress(const Job& job);
/// Encodes one block of a job's progress. Checkpoints are left out if the value
/// would exceed `max_bytes` with them, and then lost runs too. Precondition:
/// `job.blocks()` is not null.
std::string EncodeProgressBlock(const Job& job, int block,
                                std::size_t max_bytes);
/// Restores stored progress into a newly constructed job. Fails with
/// `kInvalidArgument` if the text is malformed.
absl::Status DecodeProgress(const std::string& text, Job* job);
/// Restores a stored block, which takes precedence over the tasks that
/// `DecodeProgress` restored. The first block that is restored determines the
/// blocks of the job. Fails with `kInvalidArgument` if the text is malformed.
absl::Status DecodeProgressBlock(const std::string& text, Job* job);
/// Decodes only the job's state.
absl::StatusOr<JobState> DecodeProgressState(const std::string& text);

/// The address at which a node serves its peers.
struct PeerRecord {
  std::string address;
  /// Wall-clock time at which the node last wrote the row.
  std::int64_t renewed_wall_ms = 0;
  HallId hall;
  /// Processor time of the node in thousandths of a core.
  std::int64_t capacity = 0;
};

std::string EncodePeer(const PeerRecord& record);
absl::StatusOr<PeerRecord> DecodePeer(const std::string& text);

using WaitingCounts = std::map<QueueId, std::int64_t>;
std::string EncodeWaiting(const WaitingCounts& counts);
absl::StatusOr<WaitingCounts> DecodeWaiting(const std::string& text);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_
