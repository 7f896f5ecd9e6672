/// @file
/// Rows of the dispatcher's tables as JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_
#define LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "dispatch/job.h"
#include "dispatch/job_spec.h"

namespace limeledge::dispatch {

/// The row that names the scheduler. Every write of the scheduler changes it.
struct LeaderRecord {
  Epoch epoch;
  std::string holder;
  /// Number of the write within the epoch.
  std::int64_t sequence = 0;
  /// The holder has given the lease up.
  bool released = false;
  /// Processor time that the holder has, in thousandths of a core, and the
  /// most that any holder had so far.
  std::int64_t capacity = 0;
  std::int64_t largest_capacity = 0;
};

std::string EncodeLeader(const LeaderRecord& record);
/// Fails with `kInvalidArgument`, as do the other decoders.
absl::StatusOr<LeaderRecord> DecodeLeader(const std::string& text);

std::string EncodeJobSpec(const JobSpec& spec);
absl::StatusOr<JobSpec> DecodeJobSpec(const std::string& text);

/// What of a job's progress is stored.
std::string EncodeProgress(const Job& job);
/// Sets the stored progress on a fresh job. Fails with `kInvalidArgument` when
/// the text does not fit the job.
absl::Status DecodeProgress(const std::string& text, Job* job);
/// Reads the job's state alone.
absl::StatusOr<JobState> DecodeProgressState(const std::string& text);

/// Where a node answers its peers.
struct PeerRecord {
  std::string address;
  /// When the node last wrote the row.
  std::int64_t renewed_wall_ms = 0;
};

std::string EncodePeer(const PeerRecord& record);
absl::StatusOr<PeerRecord> DecodePeer(const std::string& text);

using WaitingCounts = std::map<QueueId, std::int64_t>;
std::string EncodeWaiting(const WaitingCounts& counts);
absl::StatusOr<WaitingCounts> DecodeWaiting(const std::string& text);

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_ROW_CODEC_H_
