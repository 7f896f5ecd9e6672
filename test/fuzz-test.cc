/// @file
/// Stateful fuzzing of the whole system against the oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <rapidcheck.h>

#include <cstdint>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "fuzz-course.h"

namespace rc {

template <>
struct Arbitrary<limeledge::Action> {
  static Gen<limeledge::Action> arbitrary() {
    using limeledge::Action;
    using limeledge::ActionKind;
    // Work comes more often than faults, so that faults meet work.
    const auto kind = gen::weightedOneOf<ActionKind>(
        {{3, gen::just(ActionKind::kSubmit)},
         {4, gen::just(ActionKind::kRequest)},
         {2, gen::just(ActionKind::kRepeatRequest)},
         {1, gen::just(ActionKind::kPropose)},
         {7, gen::cast<ActionKind>(gen::inRange(0, limeledge::kActionKinds))}});
    // Now and then a fault lasts longer than any lease.
    const auto run_ms = gen::weightedOneOf<int>(
        {{9, gen::inRange(0, 1500)}, {1, gen::inRange(1500, 12000)}});
    return gen::build<Action>(gen::set(&Action::kind, kind),
                              gen::set(&Action::a, gen::inRange(0, 1000)),
                              gen::set(&Action::b, gen::inRange(0, 1000)),
                              gen::set(&Action::run_ms, run_ms));
  }
};

}  // namespace rc

namespace limeledge {

TEST_GROUP(Fuzz){};

TEST(Fuzz, AnyCourseOfWorkAndFaultsKeepsEveryPromise) {
  std::int64_t events = 0;
  int courses = 0;
  const bool kept =
      rc::check("any course of work and faults keeps every promise",
                [&events, &courses](std::uint64_t seed) {
                  const auto actions = *rc::gen::scale(
                      2.0, rc::gen::arbitrary<std::vector<Action>>());
                  const CourseResult result = RunCourse(seed, actions);
                  events += result.events;
                  ++courses;
                  if (!result.violation.empty()) RC_FAIL(result.violation);
                });
  UT_PRINT(StringFromFormat("%d courses, %lld events", courses,
                            static_cast<long long>(events))
               .asCharString());
  CHECK_TRUE(kept);
}

}  // namespace limeledge
