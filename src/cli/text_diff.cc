/// @file
/// Longest common subsequence of lines.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "cli/text_diff.h"

#include <algorithm>
#include <cstddef>

#include "absl/strings/str_split.h"

namespace limeledge {

std::vector<DiffLine> DiffLines(const std::string& before,
                                const std::string& after) {
  const std::vector<std::string> a = absl::StrSplit(before, '\n');
  const std::vector<std::string> b = absl::StrSplit(after, '\n');
  // common[i][j] is the length of the longest common subsequence of the
  // suffixes that begin at i and j.
  std::vector<std::vector<std::size_t>> common(
      a.size() + 1, std::vector<std::size_t>(b.size() + 1, 0));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j]
                         ? common[i + 1][j + 1] + 1
                         : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::vector<DiffLine> lines;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      lines.push_back({DiffKind::kSame, a[i]});
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
      lines.push_back({DiffKind::kRemoved, a[i]});
      ++i;
    } else {
      lines.push_back({DiffKind::kAdded, b[j]});
      ++j;
    }
  }
  return lines;
}

}  // namespace limeledge
