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
// A node that has applied a version must not use an older one later than this;
// calls may be in progress while it applies the version.
constexpr Duration kRegressSlack{2000};

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
  if (!reply.Is(kStatusNoRoute) || node->lives().size() != incarnation) return;
  if (!checks_times_) return;
  // Versions written during the call may have dropped the route again.
  if (platform_->newest_config().version > newest.version + 1) return;
  const bool reverted = seen->version >= newest.version &&
                        reply.sent_at > seen->at + kRegressSlack;
  if (reverted) {
    platform_->Violate(absl::StrCat(node->name(), " went back behind version ",
                                    newest.version, " of the configuration"));
  }
  CheckOverdue(node, newest, reply.sent_at);
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
