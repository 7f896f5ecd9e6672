/// @file
/// Retention of ended jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/janitor.h"

#include <utility>

#include "limeledge/rendezvous.h"

namespace limeledge {

namespace {

constexpr Duration kSweepInterval{10000};
constexpr Duration kGiveUp{5000};
constexpr int kRowsPerSweep = 50;
constexpr char kSweepKey[] = "janitor";

void PushErase(Context& ctx, const JobRow& job) {
  WriteRequest request;
  request.priority = WritePriority::kBookkeeping;
  request.conditions = {{JobKey(job.spec.id), job.version}};
  request.writes = {{JobKey(job.spec.id), "", true}};
  request.give_up = ctx.now + kGiveUp;
  request.purpose = Cleanup{};
  ctx.store.Push(std::move(request));
}

}  // namespace

void Janitor::OnTick(Context& ctx) {
  if (ctx.now - swept_at_ < kSweepInterval || !ctx.shared.store_reachable) {
    return;
  }
  swept_at_ = ctx.now;
  const InstanceId owner =
      RendezvousOwner(kSweepKey, ctx.shared.members.Live(ctx.now));
  if (owner != ctx.shared.self.id) return;
  int left = kRowsPerSweep;
  const std::int64_t oldest =
      ctx.wall_ms - ctx.shared.system.job_retention.ms();
  for (const auto& [id, job] : ctx.shared.mirror.jobs()) {
    if (!IsFinal(job.state) || job.ended_ms >= oldest) continue;
    PushErase(ctx, job);
    if (--left == 0) return;
  }
}

}  // namespace limeledge
