/// @file
/// Tests that whole sessions go as they went before.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "codec/effect_text.h"
#include "codec/event_codec.h"
#include "golden-sessions.h"
#include "trial/session.h"

namespace limeledge {

namespace {

constexpr char kUpdate[] = "LIMELEDGE_UPDATE_GOLDEN";

std::string PathOf(const GoldenSession& session) {
  return absl::StrCat(LIMELEDGE_SOURCE_DIR, "/test/golden/", session.name,
                      ".txt");
}

std::string ReadWhole(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// The first line that differs, for a failure that can be read.
std::string FirstDifference(const std::string& wanted, const std::string& got) {
  std::istringstream a(wanted);
  std::istringstream b(got);
  std::string x;
  std::string y;
  for (int line = 1; std::getline(a, x) || std::getline(b, y); ++line) {
    if (!std::getline(b, y)) y.clear();
    if (x != y) return absl::StrCat(line, ":\n- ", x, "\n+ ", y);
    x.clear();
  }
  return "";
}

}  // namespace

TEST_GROUP(Golden){};

TEST(Golden, SessionsGoAsTheyWentBefore) {
  // scripts/update-golden sets the variable after showing the difference.
  const char* update = std::getenv(kUpdate);
  for (const GoldenSession& session : GoldenSessions()) {
    const std::string text = session.run();
    if (update != nullptr) {
      std::ofstream(std::string(update) + "/" + session.name + ".txt") << text;
      continue;
    }
    const std::string wanted = ReadWhole(PathOf(session));
    if (wanted != text) {
      UT_PRINT(
          (std::string(session.name) + FirstDifference(wanted, text)).c_str());
    }
    CHECK_TRUE(wanted == text);
  }
}

TEST(Golden, SameSessionGivesTheSameTextTwice) {
  for (const GoldenSession& session : GoldenSessions()) {
    CHECK_TRUE(session.run() == session.run());
  }
}

TEST(Golden, EveryRecordedEventIsReadBack) {
  for (const GoldenSession& session : GoldenSessions()) {
    std::istringstream text(session.run());
    std::string line;
    while (std::getline(text, line)) {
      if (line.compare(2, 3, " > ") != 0) continue;
      const std::string wanted = line.substr(5);
      const auto event = DecodeEvent(wanted);
      CHECK_TRUE(event.ok());
      STRCMP_EQUAL(wanted.c_str(), EncodeEvent(*event).c_str());
    }
  }
}

TEST(Golden, BrokenSessionIsRefusedWithItsLine) {
  std::istringstream empty("");
  CHECK_FALSE(ReplaySession(empty, nullptr).ok());
  ReducerOptions options;
  options.self.id = InstanceId("e1");
  std::istringstream broken(EncodeSessionHeader(options) + "\n{\"at\":1}\n");
  const auto replay = ReplaySession(broken, nullptr);
  CHECK_TRUE(replay.status().code() == absl::StatusCode::kDataLoss);
  CHECK_TRUE(std::string(replay.status().message()).find("line 2") == 0);
}

}  // namespace limeledge
