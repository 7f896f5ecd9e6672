/// @file
/// Retention of ended jobs.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/janitor.h"

#include <algorithm>
#include <utility>

#include "limeledge/claims.h"
#include "limeledge/rendezvous.h"

namespace limeledge {

namespace {

constexpr Duration kSweepInterval{10000};
constexpr Duration kGiveUp{5000};
constexpr Duration kLongestDeadline{3600000};
constexpr int kRowsPerSweep = 50;
constexpr char kSweepKey[] = "janitor";

void PushErase(Context& ctx, const std::string& key, Revision version) {
  WriteRequest request;
  request.priority = WritePriority::kBookkeeping;
  request.conditions = {{key, version}};
  request.writes = {{key, "", true}};
  request.give_up = ctx.now + kGiveUp;
  request.purpose = Cleanup{};
  ctx.store.Push(std::move(request));
}

/// An open claim outlives every deadline, however short the retention is: its
/// request may still run, and the same id must not run beside it.
std::int64_t OldestFor(const Claim& claim, std::int64_t oldest) {
  const bool open = claim.state == ClaimState::kClaimed;
  return open ? oldest - kLongestDeadline.ms() : oldest;
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
  ctx.Emit(ReadClaims{claims_cleared_});
  int left = kRowsPerSweep;
  const std::int64_t oldest =
      ctx.wall_ms - ctx.shared.system.job_retention.ms();
  for (const auto& [id, job] : ctx.shared.mirror.jobs()) {
    if (!IsFinal(job.state) || job.ended_ms >= oldest) continue;
    PushErase(ctx, JobKey(id), job.version);
    if (--left == 0) return;
  }
}

void Janitor::OnClaimsRead(Context& ctx, const ClaimsRead& read) {
  if (!read.claims.has_value()) return;
  const std::int64_t oldest =
      ctx.wall_ms - ctx.shared.system.claim_retention.ms();
  for (const ChangedRow& change : read.claims->rows) {
    // Those erased before are only passed over.
    if (!change.erased) {
      const absl::StatusOr<Claim> claim = DecodeClaim(change.row.value);
      // Claims come in the order of their writing: the rest is younger.
      if (claim.ok() && claim->written_ms >= OldestFor(*claim, oldest)) return;
      PushErase(ctx, change.row.key, change.row.version);
    }
    claims_cleared_ = std::max(claims_cleared_, change.row.version);
  }
}

}  // namespace limeledge
