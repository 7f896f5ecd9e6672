/// @file
/// What is asked of random courses by hand, from the environment.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_SIMULATION_SETTINGS_H_
#define LIMELEDGE_TEST_SIMULATION_SETTINGS_H_

#include <cstdio>
#include <cstdlib>
#include <string>

#include "emulator/emulated_system.h"

namespace limeledge::emulator {

/// Courses of one run: LIMELEDGE_COURSES, or `usual`.
inline int RunCountOr(int usual) {
  const char* wanted = std::getenv("LIMELEDGE_COURSES");
  return wanted == nullptr ? usual : std::atoi(wanted);
}

/// Seed of the first course: LIMELEDGE_SEED, or 1.
inline int FirstSeed() {
  const char* wanted = std::getenv("LIMELEDGE_SEED");
  return wanted == nullptr ? 1 : std::atoi(wanted);
}

/// With LIMELEDGE_TRACE set, shows what happens in the system.
inline void TraceIfRequested(EmulatedSystem* system) {
  if (std::getenv("LIMELEDGE_TRACE") == nullptr) return;
  system->SetTrace(
      [](const std::string& line) { std::printf("%s\n", line.c_str()); });
}

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_SIMULATION_SETTINGS_H_
