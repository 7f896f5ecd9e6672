/// @file
/// Tests of virtual cells.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "core/guarantee_book.h"

namespace limeledge {

TEST_GROUP(GuaranteeBook) {
  Settings settings;
  const WorkspaceId a{"a"};

  GuaranteeBook Book() const { return GuaranteeBook(settings, HallId("h")); }
};

TEST(GuaranteeBook, ShapeFitsOnlyIntoItsOwnCells) {
  settings.workspaces[a].guarantees.push_back({"g", HallId("h"), 2, 4});
  GuaranteeBook book = Book();
  CHECK_TRUE(book.Fits(a, {2, {4, 1, 1}}));
  CHECK_FALSE(book.Fits(a, {1, {8, 1, 1}}));
  CHECK_FALSE(book.Fits(WorkspaceId("b"), {1, {1, 1, 1}}));
  CHECK_TRUE(book.Use(a, {1, {4, 1, 1}}));
  CHECK_FALSE(book.Fits(a, {2, {4, 1, 1}}));
  LONGS_EQUAL(4, book.Unused(a));
}

TEST(GuaranteeBook, OtherHallsDoNotCount) {
  settings.workspaces[a].guarantees.push_back({"g", HallId("far"), 2, 4});
  CHECK_TRUE(Book().empty());
}

TEST(GuaranteeBook, CellsArePackedLargestFirst) {
  std::vector<int> free = {8, 4};
  CHECK_TRUE(PackCells({8, 4}, &free));
  free = {8, 4};
  CHECK_FALSE(PackCells({8, 8}, &free));
}

}  // namespace limeledge
