/// @file
/// Tests of reading and validating the settings tree.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "CppUTest/TestHarness.h"
#include "settings/reader.h"

namespace limeledge {

TEST_GROUP(SettingsReader) {
  Findings findings{"f.yaml"};

  std::shared_ptr<const Settings> Read(const std::string& text) {
    findings = Findings("f.yaml");
    return ReadSettings(text, &findings);
  }

  bool Finds(const std::string& path, int line, const std::string& message) {
    return std::any_of(findings.all().begin(), findings.all().end(),
                       [&](const Finding& finding) {
                         return finding.path == path && finding.line == line &&
                                finding.message.find(message) !=
                                    std::string::npos;
                       });
  }
};

TEST(SettingsReader, ValuesAreInheritedFromTheMostSpecificNode) {
  const auto settings = Read(R"(
defaults: {priority: 7, weight: 3}
classes:
  c: {kind: job, priority: 6}
workspaces:
  a: {weight: 9, classes: {c: {priority: 2}}}
  b: {}
)");
  CHECK_TRUE(settings != nullptr);
  const ClassId c("c");
  LONGS_EQUAL(2, settings->Effective(WorkspaceId("a"), c).priority);
  LONGS_EQUAL(9, settings->Effective(WorkspaceId("a"), c).weight);
  LONGS_EQUAL(6, settings->Effective(WorkspaceId("b"), c).priority);
  LONGS_EQUAL(3, settings->Effective(WorkspaceId("b"), c).weight);
  LONGS_EQUAL(7, settings->Effective(WorkspaceId("x"), ClassId("y")).priority);
}

TEST(SettingsReader, ExplainReportsTheNodeThatSetsEachValue) {
  const auto settings = Read(R"(
defaults: {weight: 3}
classes: {c: {kind: job, priority: 6}}
workspaces: {a: {classes: {c: {borrow: false}}}}
)");
  std::map<std::string, std::string> origins;
  for (const EffectiveValue& value :
       settings->Explain("workspaces/a/classes/c")) {
    origins[value.key] = value.origin + "=" + value.value;
  }
  STRCMP_EQUAL("defaults=3", origins["weight"].c_str());
  STRCMP_EQUAL("classes/c=6", origins["priority"].c_str());
  STRCMP_EQUAL("workspaces/a/classes/c=false", origins["borrow"].c_str());
  STRCMP_EQUAL("built-in=cells", origins["placement"].c_str());
  CHECK_TRUE(settings->Explain("workspaces/nobody").empty());
}

TEST(SettingsReader, EveryErrorIsReportedWithItsPosition) {
  CHECK_TRUE(Read(R"(defaults:
  weight: 0
  colour: red
  placement: magic
system:
  hall_lease_ms: soon
workspaces:
  "a b": {}
nonsense: 1
)") == nullptr);
  CHECK_TRUE(Finds("defaults/weight", 2, "from 1 to 1000"));
  CHECK_TRUE(Finds("defaults/colour", 3, "unknown key"));
  CHECK_TRUE(Finds("defaults/placement", 4, "no policy"));
  CHECK_TRUE(Finds("system/hall_lease_ms", 6, "whole number"));
  CHECK_TRUE(Finds("workspaces/a b", 8, "the name"));
  CHECK_TRUE(Finds("nonsense", 9, "unknown key"));
}

TEST(SettingsReader, DuplicateKeyIsReported) {
  CHECK_TRUE(Read("defaults:\n  weight: 1\n  weight: 2\n") == nullptr);
  CHECK_TRUE(Finds("defaults/weight", 3, "twice"));
}

TEST(SettingsReader, GuaranteesThatExceedAHallAreRejected) {
  CHECK_TRUE(Read(R"(halls:
  h: {racks: 1, workers_per_rack: 2, accelerators_per_worker: 8}
workspaces:
  a:
    guarantees:
      g: {hall: h, members: 1, accelerators: 8}
  b:
    guarantees:
      g: {hall: h, members: 2, accelerators: 8}
)") == nullptr);
  CHECK_TRUE(Finds("workspaces/b/guarantees/g", 9, "do not fit"));
}

TEST(SettingsReader, GuaranteeNeedsAHallWithLargeEnoughWorkers) {
  CHECK_TRUE(Read(R"(halls:
  h: {racks: 1, workers_per_rack: 2, accelerators_per_worker: 4}
workspaces:
  a:
    guarantees:
      g: {hall: h, members: 1, accelerators: 8}
      k: {members: 1, accelerators: 1}
)") == nullptr);
  CHECK_TRUE(Finds("workspaces/a/guarantees/g", 6, "a worker of hall h has 4"));
  CHECK_TRUE(Finds("workspaces/a/guarantees/k", 7, "name of a hall"));
}

TEST(SettingsReader, ClassOfAWorkspaceMustExist) {
  CHECK_TRUE(Read("workspaces: {a: {classes: {c: {}}}}") == nullptr);
  CHECK_TRUE(Finds("workspaces/a/classes/c", 1, "no such class"));
}

TEST(SettingsReader, LeasesMustAllowForALostMessage) {
  CHECK_TRUE(Read(R"(system:
  task_lease_ms: 1000
  exchange_ms: 600
  hall_lease_ms: 500
  hall_lease_margin_ms: 500
)") == nullptr);
  CHECK_TRUE(Finds("system/exchange_ms", 3, "half of task_lease_ms"));
  CHECK_TRUE(Finds("system/hall_lease_margin_ms", 5, "less than"));
}

TEST(SettingsReader, MalformedTextIsRejectedWithItsPosition) {
  CHECK_TRUE(Read("defaults: [1, 2\nx: }") == nullptr);
  CHECK_TRUE(findings.all().front().line > 0);
  CHECK_TRUE(Read("just text") == nullptr);
  CHECK_TRUE(Read(std::string("a: \0 b", 6)) == nullptr);
  CHECK_TRUE(Read(std::string(kMaxSettingsBytes + 1, 'x')) == nullptr);
  CHECK_TRUE(Read(std::string(20000, '[')) == nullptr);
}

}  // namespace limeledge
