/// @file
/// How job rows are distributed over the store's partitions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/rows.h"

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

std::string PartitionName(unsigned number) { return absl::StrCat("j", number); }

}  // namespace

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
