/// @file
/// The context in which the components of a node handle an event.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_DISPATCH_CONTEXT_H_
#define LIMELEDGE_SRC_DISPATCH_CONTEXT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/effect.h"
#include "dispatch/event.h"

namespace limeledge::dispatch {

/// A time in the far future: nothing is scheduled.
inline constexpr TimePoint kNever{INT64_MAX / 4};

/// The time of an event and the list that collects its effects.
///
/// Thread safety: none. A context exists only during one call of the reducer.
class Context {
 public:
  Context(TimePoint now, std::int64_t wall_ms, Ticket* tickets,
          Effects* effects)
      : now_(now), wall_ms_(wall_ms), tickets_(tickets), effects_(effects) {}

  TimePoint now() const { return now_; }
  std::int64_t wall_ms() const { return wall_ms_; }
  Ticket NewTicket() { return *tickets_ = tickets_->Next(); }
  void Emit(Effect effect) { effects_->push_back(std::move(effect)); }
  void Log(LogId id, std::vector<LogField> fields) {
    Emit(WriteLog{{id, std::move(fields)}});
  }

 private:
  TimePoint now_;
  std::int64_t wall_ms_;
  Ticket* tickets_;
  Effects* effects_;
};

}  // namespace limeledge::dispatch

#endif  // LIMELEDGE_SRC_DISPATCH_CONTEXT_H_
