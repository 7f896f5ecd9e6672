/// @file
/// Whole sessions as text: events in, effects out.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_TEST_GOLDEN_SESSIONS_H_
#define LIMELEDGE_TEST_GOLDEN_SESSIONS_H_

#include <string>
#include <vector>

namespace limeledge {

/// A session with a name; `run` gives its text.
struct GoldenSession {
  const char* name;
  std::string (*run)();
};

/// All sessions that test/golden keeps.
std::vector<GoldenSession> GoldenSessions();

}  // namespace limeledge

#endif  // LIMELEDGE_TEST_GOLDEN_SESSIONS_H_
