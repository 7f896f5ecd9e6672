/// @file
/// Clears ended jobs and claims once they are old.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_JANITOR_H_
#define LIMELEDGE_SRC_CORE_JANITOR_H_

#include "core/context.h"
#include "core/event.h"
#include "core/store_client.h"

namespace limeledge {

/// Erases the rows of jobs and claims whose retention is over. The member that
/// rendezvous hashing names for the work does it; should two do it, the second
/// finds the rows gone.
///
/// Thread safety: none; belongs to the reducer.
class Janitor {
 public:
  void OnTick(Context& ctx);
  /// Erases the old ones among claims that were read.
  void OnClaimsRead(Context& ctx, const ClaimsRead& read);

 private:
  TimePoint swept_at_;
  /// Claims up to here are cleared.
  Revision claims_cleared_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_JANITOR_H_
