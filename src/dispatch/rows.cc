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

std::string PartitionName(unsigned number) { return absl::StrCat("j", number); }

}  // namespace

std::string PeerKey(const std::string& instance) {
  const std::uint64_t hash = RendezvousWeight("peer", InstanceId(instance));
  return absl::StrCat(absl::Hex(hash, absl::kZeroPad16), "-", instance);
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
