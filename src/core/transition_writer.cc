/// @file
/// Conditional job writes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/transition_writer.h"

#include <utility>

#include "codec/row_codec.h"

namespace limeledge {

namespace {

/// Transitions wait for the store as long as the hall is held; a long wait is
/// ended now and then so that the job is looked at again.
constexpr Duration kGiveUp{600000};

}  // namespace

void TransitionWriter::Push(Context& ctx, const HallRight& right, JobRow next,
                            WritePriority priority) {
  WriteRequest request;
  request.priority = priority;
  request.conditions = {{HallKey(right.hall), right.record.version},
                        {JobKey(next.spec.id), next.version}};
  request.writes = {{JobKey(next.spec.id), EncodeJobRow(next), false}};
  request.give_up = ctx.now + kGiveUp;
  request.purpose = JobTransition{right.hall, next};
  pending_[next.spec.id] = std::move(next);
  ctx.store.Push(std::move(request));
}

}  // namespace limeledge
