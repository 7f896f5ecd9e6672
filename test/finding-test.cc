/// @file
/// Tests of collecting and formatting findings.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/finding.h"

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Finding) { Findings findings{"file.yaml"}; };

TEST(Finding, NoFindingsIsOk) { CHECK_TRUE(findings.ToStatus().ok()); }

TEST(Finding, AllFindingsAreReportedWithTheirPositions) {
  findings.Add("a/b", 3, 7, "is wrong");
  findings.Add("", "is empty");
  STRCMP_EQUAL("file.yaml:3:7: a/b: is wrong\nfile.yaml: is empty",
               std::string(findings.ToStatus().message()).c_str());
}

}  // namespace limeledge
