/// @file
/// Rendezvous hashing: all members compute the same owner of a key without
/// communication.
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

/// Returns a hash of `key` and `member`. The value does not depend on the
/// machine or the software version. Safe from any thread.
std::uint64_t RendezvousWeight(std::string_view key, const InstanceId& member);

/// Returns the member with the greatest weight for `key`, or an empty id if
/// there are no members. If a member leaves, only the keys it owned get new
/// owners.
///
///     InstanceId owner = RendezvousOwner("hall/riga-1", members);
///
/// Safe from any thread.
InstanceId RendezvousOwner(std::string_view key,
                           const std::vector<InstanceId>& members);

/// Returns the owner of each key, in the order of `keys`. No member owns more
/// than the number of keys divided by the number of members, rounded up: if the
/// member with the greatest weight for a key has reached this limit, the key
/// goes to the member with the next greatest weight. The result depends only on
/// the keys, their order and the members. All ids are empty if there are no
/// members. Safe from any thread.
std::vector<InstanceId> BalancedOwners(const std::vector<std::string>& keys,
                                       const std::vector<InstanceId>& members);

}  // namespace limeledge

#endif  // LIMELEDGE_RENDEZVOUS_H_
