/// @file
/// Queue lookups in the catalog.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/catalog.h"

#include "absl/strings/match.h"

namespace limeledge::dispatch {

const Queue* Catalog::Match(const std::string& host,
                            const std::string& path) const {
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != host) continue;
    if (!absl::StartsWith(path, queue.path_prefix)) continue;
    const bool longer =
        best == nullptr || queue.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &queue;
  }
  return best;
}

const Queue* Catalog::Find(const QueueId& id) const {
  for (const Queue& queue : queues) {
    if (queue.id == id) return &queue;
  }
  return nullptr;
}

}  // namespace limeledge::dispatch
