/// @file
/// Random simulations that break a promise, for a cause that is not known.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "dispatch-simulation.h"

namespace limeledge::emulator {

TEST_GROUP(RebornOpen){};

// A task is started again although its earlier run was done, and that end is
// acknowledged later.
TEST(RebornOpen, EndsThatAreReadAtTheStartOfAnOutageAreKept) {
  for (const int seed : {8228, 8583}) {
    Simulation simulation(seed, dispatch::DefaultPlanningPolicy(),
                          RestartMode::kSameIds);
    for (const std::string& error : simulation.Run()) FAIL(error.c_str());
  }
}

}  // namespace limeledge::emulator
