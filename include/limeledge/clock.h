/// @file
/// The one clock type of limeledge: whole milliseconds.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_CLOCK_H_
#define LIMELEDGE_CLOCK_H_

#include <cstdint>

namespace limeledge {

/// A length of time in milliseconds. Thread safety: a plain value.
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

/// A moment on one process's steady clock, in milliseconds since an arbitrary
/// start. Moments of different processes are never compared.
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

/// Source of the present moment.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Returns the present moment; never goes back. Safe from any thread.
  virtual TimePoint Now() const = 0;
};

/// The machine's steady clock, which goes on while the process is paused, and
/// while the machine is suspended. Timers of the system do not: what they wake
/// is checked by this clock.
class SteadyClock : public Clock {
 public:
  TimePoint Now() const override;
};

/// A clock that moves only when told to. Not safe for concurrent use.
class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  /// Moves the clock on. Precondition: `step` is not negative.
  void Advance(Duration step) { now_ = now_ + step; }

 private:
  TimePoint now_;
};

}  // namespace limeledge

#endif  // LIMELEDGE_CLOCK_H_
