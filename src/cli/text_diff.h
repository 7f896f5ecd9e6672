/// @file
/// Line-based differences between two texts.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_TEXT_DIFF_H_
#define LIMELEDGE_SRC_CLI_TEXT_DIFF_H_

#include <string>
#include <vector>

namespace limeledge {

enum class DiffKind { kSame, kRemoved, kAdded };

struct DiffLine {
  DiffKind kind = DiffKind::kSame;
  std::string text;
};

/// Returns the lines of both texts in order. The lines of their longest common
/// subsequence are `kSame`. Safe from any thread.
std::vector<DiffLine> DiffLines(const std::string& before,
                                const std::string& after);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_TEXT_DIFF_H_
