/// @file
/// How rows are spread over the store's parts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/rows.h"

#include "absl/strings/str_cat.h"

namespace limeledge::dispatch {

namespace {

std::string NameOfPart(unsigned number) { return absl::StrCat("j", number); }

}  // namespace

std::string JobPartition(const std::string& job) {
  // The last digits of an id are as random as any.
  const unsigned last =
      job.empty() ? 0 : static_cast<unsigned char>(job.back());
  return NameOfPart(last % kJobPartitions);
}

std::vector<std::string> AllJobPartitions() {
  std::vector<std::string> parts;
  for (unsigned i = 0; i < kJobPartitions; ++i) parts.push_back(NameOfPart(i));
  return parts;
}

}  // namespace limeledge::dispatch
