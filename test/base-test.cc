/// @file
/// Tests of the strong identifier and number types.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/base.h"

#include <type_traits>
#include <unordered_set>

#include "CppUTest/TestHarness.h"

namespace limeledge {

static_assert(!std::is_convertible_v<WorkerId, RunnerId>);
static_assert(!std::is_convertible_v<std::int64_t, Epoch>);

TEST_GROUP(Base){};

TEST(Base, IdsWithEqualTextAreEqual) {
  CHECK_TRUE(WorkerId("a") == WorkerId("a"));
  CHECK_TRUE(WorkerId("a") != WorkerId("b"));
  CHECK_TRUE(WorkerId("a") < WorkerId("b"));
  CHECK_TRUE(WorkerId().empty());
}

TEST(Base, NextNumberIsGreater) {
  CHECK_TRUE(Epoch(1).Next() > Epoch(1));
  CHECK_TRUE(Epoch(2) >= Epoch(2));
  LONGS_EQUAL(2, Epoch(1).Next().value());
}

TEST(Base, HashFindsEqualIds) {
  std::unordered_set<WorkerId, IdHash> ids = {WorkerId("a")};
  LONGS_EQUAL(1, ids.count(WorkerId("a")));
  LONGS_EQUAL(0, ids.count(WorkerId("b")));
}

}  // namespace limeledge
