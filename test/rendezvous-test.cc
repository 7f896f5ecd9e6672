/// @file
/// Tests of rendezvous hashing.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/rendezvous.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

namespace limeledge {

TEST_GROUP(Rendezvous) {
  std::vector<InstanceId> members;

  void setup() override {
    for (int i = 1; i <= 9; ++i) {
      members.emplace_back("e" + std::to_string(i));
    }
  }
};

TEST(Rendezvous, WeightIsTheSameEverywhere) {
  // During an upgrade, members with different weights would disagree about the
  // owner of a key.
  CHECK_TRUE(RendezvousWeight("hall/riga-1", InstanceId("e1")) ==
             11891241873748137172ULL);
}

TEST(Rendezvous, NoMembersGiveNoOwner) {
  CHECK_TRUE(RendezvousOwner("k", {}).empty());
}

TEST(Rendezvous, OrderOfMembersDoesNotMatter) {
  const std::vector<InstanceId> reversed(members.rbegin(), members.rend());
  CHECK_TRUE(RendezvousOwner("k", members) == RendezvousOwner("k", reversed));
}

TEST(Rendezvous, LeavingMemberMovesOnlyItsOwnKeys) {
  std::vector<InstanceId> fewer(members.begin(), members.end() - 1);
  for (int key = 0; key < 500; ++key) {
    const std::string name = "key" + std::to_string(key);
    const InstanceId before = RendezvousOwner(name, members);
    if (before == members.back()) continue;
    CHECK_TRUE(before == RendezvousOwner(name, fewer));
  }
}

TEST(Rendezvous, BalancedOwnersDoNotExceedTheLimit) {
  std::vector<std::string> keys;
  for (int key = 0; key < 5; ++key) {
    keys.push_back("hall/" + std::to_string(key));
  }
  std::map<InstanceId, int> counts;
  for (const InstanceId& owner : BalancedOwners(keys, members)) ++counts[owner];
  for (const auto& [owner, count] : counts) LONGS_EQUAL(1, count);
  LONGS_EQUAL(5, counts.size());
  const std::vector<InstanceId> two(members.begin(), members.begin() + 2);
  counts.clear();
  for (const InstanceId& owner : BalancedOwners(keys, two)) {
    ++counts[owner];
  }
  for (const auto& [owner, count] : counts) CHECK_TRUE(count <= 3);
  CHECK_TRUE(BalancedOwners(keys, {}).front().empty());
}

TEST(Rendezvous, KeysSpreadOverMembers) {
  std::map<InstanceId, int> counts;
  for (int key = 0; key < 900; ++key) {
    ++counts[RendezvousOwner("key" + std::to_string(key), members)];
  }
  for (const InstanceId& member : members) CHECK_TRUE(counts[member] > 50);
}

}  // namespace limeledge
