/// @file
/// Rendezvous hashing with XXH64.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/rendezvous.h"

#include <xxhash.h>

#include <map>

namespace limeledge {

std::uint64_t RendezvousWeight(std::string_view key, const InstanceId& member) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(member.value().data(), member.value().size(), seed);
}

InstanceId RendezvousOwner(std::string_view key,
                           const std::vector<InstanceId>& members) {
  InstanceId owner;
  std::uint64_t best = 0;
  for (const InstanceId& member : members) {
    const std::uint64_t weight = RendezvousWeight(key, member);
    if (owner.empty() || weight > best) {
      owner = member;
      best = weight;
    }
  }
  return owner;
}

std::vector<InstanceId> BalancedOwners(const std::vector<std::string>& keys,
                                       const std::vector<InstanceId>& members) {
  if (members.empty()) return std::vector<InstanceId>(keys.size());
  const std::size_t limit = (keys.size() + members.size() - 1) / members.size();
  std::map<InstanceId, std::size_t> owned;
  std::vector<InstanceId> owners;
  owners.reserve(keys.size());
  for (const std::string& key : keys) {
    std::vector<InstanceId> eligible;
    for (const InstanceId& member : members) {
      if (owned[member] < limit) eligible.push_back(member);
    }
    owners.push_back(RendezvousOwner(key, eligible));
    ++owned[owners.back()];
  }
  return owners;
}

}  // namespace limeledge
