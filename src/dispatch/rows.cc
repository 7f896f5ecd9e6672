/// @file
/// How rows are distributed over the store's partitions and keys.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/rows.h"

#include "absl/strings/str_cat.h"
#include "limeledge/rendezvous.h"

namespace limeledge::dispatch {

namespace {

/// Separates the id of a job from the rest of a key. Ids don't contain it.
constexpr char kKeySeparator = '.';

std::string PartitionName(unsigned number) { return absl::StrCat("j", number); }

}  // namespace

std::string PeerKey(const std::string& instance) {
  const std::uint64_t hash = RendezvousWeight("peer", InstanceId(instance));
  return absl::StrCat(absl::Hex(hash, absl::kZeroPad16), "-", instance);
}

RowKey ProgressBlockKey(const std::string& job, int block) {
  return {kProgressTable,
          absl::StrCat(job, std::string(1, kKeySeparator), block)};
}

std::string JobOfProgressKey(const std::string& key) {
  return key.substr(0, key.find(kKeySeparator));
}

RowKey TombstoneKey(const std::string& job) {
  return {kJobTable, absl::StrCat(job, kTombstoneSuffix)};
}

std::string JobPartition(const std::string& job) {
  // Job ids are random, so that their last characters are evenly distributed.
  const unsigned last_char =
      job.empty() ? 0 : static_cast<unsigned char>(job.back());
  return PartitionName(last_char % kJobPartitions);
}

std::vector<std::string> AllJobPartitions() {
  std::vector<std::string> all;
  for (unsigned i = 0; i < kJobPartitions; ++i) all.push_back(PartitionName(i));
  return all;
}

}  // namespace limeledge::dispatch
