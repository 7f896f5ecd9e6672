/// @file
/// Tests that the pages and the code say the same.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fstream>
#include <sstream>
#include <string>

#include "CppUTest/TestHarness.h"
#include "core/log_event.h"
#include "settings/schema.h"

namespace limeledge {

TEST_GROUP(Docs){static std::string Page(const std::string& name){
    std::ifstream file(std::string(LIMELEDGE_SOURCE_DIR) + "/docs/" + name);
std::stringstream text;
text << file.rdbuf();
return text.str();
}  // namespace limeledge

static bool Has(const std::string& page, const std::string& line) {
  if (page.find(line) != std::string::npos) return true;
  UT_PRINT(("missing: " + line).c_str());
  return false;
}
}
;

TEST(Docs, EveryLogEventStandsInTheCatalogue) {
  const std::string page = Page("LOG-EVENTS.md");
  for (const LogCatalogueEntry& entry : LogCatalogue()) {
    CHECK_TRUE(Has(page, "| LL" + std::to_string(static_cast<int>(entry.id)) +
                             " | " + std::string(entry.name) + " | " +
                             ToString(entry.level) + " | " +
                             std::string(entry.meaning) + " |"));
  }
}

TEST(Docs, EverySettingsKeyStandsOnItsPage) {
  const std::string page = Page("SETTINGS.md");
  for (const KeySchema& key : AllKeys()) {
    CHECK_TRUE(Has(page, DocumentKey(key)));
  }
}

}  // namespace limeledge
