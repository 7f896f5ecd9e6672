/// @file
/// Settings of random simulations, from environment variables.
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

/// Returns the number of simulations to run: LIMELEDGE_COURSES if set, else
/// `default_count`.
inline int RunCountOr(int default_count) {
  const char* value = std::getenv("LIMELEDGE_COURSES");
  return value == nullptr ? default_count : std::atoi(value);
}

/// Returns the seed of the first simulation: LIMELEDGE_SEED if set, else 1.
inline int FirstSeed() {
  const char* value = std::getenv("LIMELEDGE_SEED");
  return value == nullptr ? 1 : std::atoi(value);
}

/// Prints the trace of the system if LIMELEDGE_TRACE is set.
inline void TraceIfRequested(EmulatedSystem* system) {
  if (std::getenv("LIMELEDGE_TRACE") == nullptr) return;
  system->SetTrace(
      [](const std::string& line) { std::printf("%s\n", line.c_str()); });
}

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_TEST_SIMULATION_SETTINGS_H_
