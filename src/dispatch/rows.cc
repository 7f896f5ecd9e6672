/// @file
/// How job rows are distributed over the store's partitions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/rows.h"

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

std::string JobPartitionName(unsigned number) {
  return absl::StrCat("j", number);
}

}  // namespace

std::string JobPartition(const std::string& job) {
  // Job ids are random, so that their last characters are evenly distributed.
  const unsigned last_char =
      job.empty() ? 0 : static_cast<unsigned char>(job.back());
  return JobPartitionName(last_char % kJobPartitions);
}

std::vector<std::string> AllJobPartitions() {
  std::vector<std::string> partitions;
  for (unsigned i = 0; i < kJobPartitions; ++i)
    partitions.push_back(JobPartitionName(i));
  return partitions;
}

}  // namespace limeledge::dispatch
