/// @file
/// Rendezvous hashing: every member computes the same owner of a key.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_RENDEZVOUS_H_
#define LIMELEDGE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limeledge/base.h"

namespace limeledge {

/// Returns a hash of the pair that is the same on every machine and version.
/// Safe from any thread.
std::uint64_t RendezvousWeight(std::string_view key, const InstanceId& member);

/// Returns the member with the greatest weight for `key`, or an empty id when
/// there are no members. When one member leaves, only its keys move.
///
///     InstanceId owner = RendezvousOwner("hall/riga-1", members);
///
/// Safe from any thread.
InstanceId RendezvousOwner(std::string_view key,
                           const std::vector<InstanceId>& members);

/// Owners of all `keys`, in their order, with no member owning more than its
/// even share rounded up: a key whose first choice is full goes to its next
/// one. Every member computes the same from the same keys and members. Empty
/// ids when there are no members. Safe from any thread.
std::vector<InstanceId> BalancedOwners(const std::vector<std::string>& keys,
                                       const std::vector<InstanceId>& members);

}  // namespace limeledge

#endif  // LIMELEDGE_RENDEZVOUS_H_
