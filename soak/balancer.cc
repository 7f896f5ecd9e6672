/// @file
/// Readiness polling and round-robin selection of nodes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/balancer.h"

#include <utility>

namespace limeledge::soak {

void Balancer::Refresh() {
  std::vector<NodeProcess*> ready;
  for (const auto& node : *nodes_) {
    HttpCall call;
    call.address = node->ready();
    call.method = "GET";
    call.path = "/v1/readyz";
    call.timeout = kInterval;
    if (http_.Call(call).ok()) ready.push_back(node.get());
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  ready_ = std::move(ready);
}

NodeProcess* Balancer::Pick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++next_;
  if (!ready_.empty()) return ready_[next_ % ready_.size()];
  return (*nodes_)[next_ % nodes_->size()].get();
}

NodeProcess* Balancer::PickAny() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++next_;
  return (*nodes_)[next_ % nodes_->size()].get();
}

}  // namespace limeledge::soak
