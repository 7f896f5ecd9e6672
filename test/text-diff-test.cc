/// @file
/// Tests of line differences.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "cli/text_diff.h"

namespace limeledge {

TEST_GROUP(TextDiff){
    static std::string Show(const std::string& before,
                            const std::string& after){std::string text;
for (const DiffLine& line : DiffLines(before, after)) {
  if (line.kind == DiffKind::kAdded) text += "+" + line.text + ";";
  if (line.kind == DiffKind::kRemoved) text += "-" + line.text + ";";
}
return text;
}  // namespace limeledge
}
;

TEST(TextDiff, EqualTextsHaveNoDifference) {
  STRCMP_EQUAL("", Show("a\nb", "a\nb").c_str());
}

TEST(TextDiff, ChangedLineIsRemovedAndAdded) {
  STRCMP_EQUAL("-b;+x;", Show("a\nb\nc", "a\nx\nc").c_str());
}

TEST(TextDiff, MovedTailIsKept) {
  STRCMP_EQUAL("+n;", Show("a\nb", "a\nn\nb").c_str());
}

}  // namespace limeledge
