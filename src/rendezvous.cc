/// @file
/// Rendezvous hashing by XXH64.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "limeledge/rendezvous.h"

#include <xxhash.h>

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

}  // namespace limeledge
