/// @file
/// Durations, time points and clocks with millisecond resolution.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_CLOCK_H_
#define LIMELEDGE_CLOCK_H_

#include <cstdint>

namespace limeledge {

/// A signed duration in milliseconds.
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
class Duration {
 public:
  constexpr Duration() = default;
  constexpr explicit Duration(std::int64_t ms) : ms_(ms) {}

  constexpr std::int64_t ms() const { return ms_; }

  friend constexpr Duration operator+(Duration a, Duration b) {
    return Duration(a.ms_ + b.ms_);
  }
  friend constexpr Duration operator-(Duration a, Duration b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend constexpr Duration operator*(Duration a, std::int64_t n) {
    return Duration(a.ms_ * n);
  }
  friend constexpr Duration operator/(Duration a, std::int64_t n) {
    return Duration(a.ms_ / n);
  }
  friend constexpr bool operator==(Duration a, Duration b) {
    return a.ms_ == b.ms_;
  }
  friend constexpr bool operator!=(Duration a, Duration b) { return !(a == b); }
  friend constexpr bool operator<(Duration a, Duration b) {
    return a.ms_ < b.ms_;
  }
  friend constexpr bool operator>(Duration a, Duration b) { return b < a; }
  friend constexpr bool operator<=(Duration a, Duration b) { return !(b < a); }
  friend constexpr bool operator>=(Duration a, Duration b) { return !(a < b); }

 private:
  std::int64_t ms_ = 0;
};

/// A time point on one process's steady clock, in milliseconds since an
/// arbitrary origin. Time points of different processes must not be compared.
///
/// Thread safety: a plain value; distinct objects may be used concurrently.
class TimePoint {
 public:
  constexpr TimePoint() = default;
  constexpr explicit TimePoint(std::int64_t ms) : ms_(ms) {}

  constexpr std::int64_t ms() const { return ms_; }

  friend constexpr TimePoint operator+(TimePoint t, Duration d) {
    return TimePoint(t.ms_ + d.ms());
  }
  friend constexpr TimePoint operator-(TimePoint t, Duration d) {
    return TimePoint(t.ms_ - d.ms());
  }
  friend constexpr Duration operator-(TimePoint a, TimePoint b) {
    return Duration(a.ms_ - b.ms_);
  }
  friend constexpr bool operator==(TimePoint a, TimePoint b) {
    return a.ms_ == b.ms_;
  }
  friend constexpr bool operator!=(TimePoint a, TimePoint b) {
    return !(a == b);
  }
  friend constexpr bool operator<(TimePoint a, TimePoint b) {
    return a.ms_ < b.ms_;
  }
  friend constexpr bool operator>(TimePoint a, TimePoint b) { return b < a; }
  friend constexpr bool operator<=(TimePoint a, TimePoint b) {
    return !(b < a);
  }
  friend constexpr bool operator>=(TimePoint a, TimePoint b) {
    return !(a < b);
  }

 private:
  std::int64_t ms_ = 0;
};

/// A source of the current time.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the current time, which never decreases. Implementations are safe
  /// to call from any thread unless documented otherwise.
  virtual TimePoint Now() const = 0;
};

/// The machine's steady clock. It also advances while the process is paused or
/// the machine is suspended. System timers do not advance during a suspend, so
/// code that a timer wakes must check the time on this clock.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

/// A manually advanced clock for tests. Not safe for concurrent use.
class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  /// Advances the clock by `step`. Precondition: `step` is not negative.
  void Advance(Duration step) { now_ = now_ + step; }

 private:
  TimePoint now_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_CLOCK_H_
