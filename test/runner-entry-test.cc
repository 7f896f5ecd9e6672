/// @file
/// Tests of decoding runners' entries in the store.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <string>

#include "CppUTest/TestHarness.h"
#include "codec/json.h"
#include "platform/wire.h"

namespace limeledge::platform {

// Other programs can write to the table of runners, so an entry may be invalid.
TEST_GROUP(RunnerEntry){
    /// Returns whether an entry is accepted whose `field` is replaced by the
    /// JSON text `value`, or removed if `value` is empty.
    static bool IsAccepted(const std::string& field, const std::string& value){
        Json::Value entry = *ParseJson(
            R"({"service":"s","addr":"10.0.0.1:80","zone":"h","version":"v1",)"
            R"("slots":8,"state":"ready","cold-left-ms":0,"seq":4,)"
            R"("room":{"cpu":500,"mem-mb":64,"gpu":8},"labels":["a","r1-3"]})");
if (value.empty()) {
  entry.removeMember(field);
} else if (!field.empty()) {
  entry[field] = (*ParseJson("[" + value + "]"))[0];
}
return DecodeRunner(RunnerId("i-1"), WriteJson(entry)).ok();
}  // namespace limeledge::platform
}
;

TEST(RunnerEntry, ValidEntryIsAccepted) {
  CHECK_TRUE(IsAccepted("more", "[1]"));
}

TEST(RunnerEntry, EntryWithAMissingFieldIsRejected) {
  for (const char* field : {"service", "addr", "zone", "state", "room"}) {
    CHECK_FALSE_TEXT(IsAccepted(field, ""), field);
  }
}

TEST(RunnerEntry, EntryWithAFieldOfTheWrongTypeIsRejected) {
  for (const char* field :
       {"service", "addr", "zone", "version", "slots", "state", "cold-left-ms",
        "seq", "room", "labels", "born"}) {
    for (const char* value : {"{\"x\":1}", "true", "null", "1.5"}) {
      CHECK_FALSE_TEXT(IsAccepted(field, value), field);
    }
  }
}

TEST(RunnerEntry, StartTimeIsOptionalButNotNegative) {
  CHECK_TRUE(IsAccepted("born", ""));
  CHECK_TRUE(IsAccepted("born", "1791244478514"));
  CHECK_FALSE(IsAccepted("born", "-4"));
}

TEST(RunnerEntry, EntryWithAnUnknownStateIsRejected) {
  CHECK_FALSE(IsAccepted("state", "\"resting\""));
}

TEST(RunnerEntry, EntryWithAnInvalidAddressIsRejected) {
  CHECK_FALSE(IsAccepted("addr", "\"somewhere\""));
  CHECK_FALSE(IsAccepted("addr", "\"\""));
}

TEST(RunnerEntry, EntryWithAnInvalidCapacityIsRejected) {
  CHECK_FALSE(IsAccepted("room", R"({"cpu":-1,"mem-mb":64,"gpu":8})"));
  CHECK_FALSE(IsAccepted("room", R"({"cpu":500,"gpu":8})"));
  CHECK_FALSE(IsAccepted("room", R"({"cpu":1e300,"mem-mb":64,"gpu":8})"));
}

TEST(RunnerEntry, InvalidJsonIsRejected) {
  for (const char* text : {"", "{", "[]", "\xff\xfe", "{\"service\":"}) {
    CHECK_FALSE(DecodeRunner(RunnerId("i-1"), text).ok());
  }
}

}  // namespace limeledge::platform
