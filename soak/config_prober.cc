/// @file
/// Probes the routes of the configuration.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/config_prober.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace limeledge::soak {

namespace {

// A new configuration must be in effect on all nodes within this time.
constexpr Duration kConfigBound{10000};
// A node that has shown a version must not use an older one for calls that are
// sent later than this.
constexpr Duration kRegressSlack{250};
// Each version drops the route that this many versions before it added.
constexpr std::int64_t kRouteLifetime = 2;

}  // namespace

ConfigProber::ConfigProber(const Experiment& experiment, SoakPlatform* platform,
                           const Nodes* nodes, const FaultLog* faults,
                           NodeClient* client)
    : checks_times_(experiment.checks_times),
      platform_(platform),
      nodes_(nodes),
      faults_(faults),
      client_(client),
      seen_(nodes->size()) {}

void ConfigProber::ProbeAll() {
  for (std::size_t i = 0; i < nodes_->size(); ++i) {
    Probe((*nodes_)[i].get(), &seen_[i]);
  }
}

void ConfigProber::Probe(NodeProcess* node, Seen* seen) {
  const ConfigWrite newest = platform_->newest_config();
  const std::size_t incarnation = node->lives().size();
  if (seen->incarnation != incarnation) *seen = {incarnation, 0, TimePoint()};
  const NodeReply reply =
      client_->Call(node, "GET", ProbePrefix(newest.version), "", kKey);
  if (reply.Is(kStatusOk) && seen->version < newest.version) {
    *seen = {incarnation, newest.version, clock_.Now()};
  }
  ProbeDroppedRoute(node, *seen);
  if (!reply.Is(kStatusNoRoute) || node->lives().size() != incarnation) return;
  // Versions written during the call may have dropped the route again.
  if (platform_->newest_config().version >= newest.version + kRouteLifetime) {
    return;
  }
  if (seen->version >= newest.version) {
    CheckReverted(node, *seen, reply.sent_at);
  }
  if (checks_times_) CheckOverdue(node, newest, reply.sent_at);
}

void ConfigProber::ProbeDroppedRoute(NodeProcess* node, const Seen& seen) {
  const std::int64_t dropped = seen.version - kRouteLifetime;
  if (dropped <= 0) return;
  const NodeReply reply =
      client_->Call(node, "GET", ProbePrefix(dropped), "", kKey);
  if (!reply.Is(kStatusOk) || node->lives().size() != seen.incarnation) return;
  CheckReverted(node, seen, reply.sent_at);
}

void ConfigProber::CheckReverted(NodeProcess* node, const Seen& seen,
                                 TimePoint sent_at) {
  if (sent_at <= seen.at + kRegressSlack) return;
  platform_->Violate(absl::StrCat(node->name(), " went back behind version ",
                                  seen.version, " of the configuration"));
}

void ConfigProber::CheckOverdue(NodeProcess* node, const ConfigWrite& newest,
                                TimePoint sent_at) {
  const TimePoint since = std::max(newest.at, node->lives().back().started_at);
  if (sent_at <= since + kConfigBound) return;
  const TimePoint now = clock_.Now();
  const bool calm = faults_->IsCalm(node->name(), since, now) &&
                    faults_->IsCalm(StoreLinkOf(node->name()), since, now) &&
                    faults_->IsCalm(kStoreSubject, since, now);
  if (!calm) return;
  platform_->Violate(absl::StrCat(node->name(), " does not know version ",
                                  newest.version, " of the configuration"));
}

}  // namespace limeledge::soak
