/// @file
/// Tests of callers' calls while the store answers, and while it does not.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/front_end.h"
#include "emulator/emulated_catalog.h"

namespace limeledge::dispatch {

// A call that was taken up while the store seemed well.
TEST_GROUP(FrontEnd) {
  StoreTimeout patience;
  FrontEnd front_end{FrontEndOptions(), &patience};
  Catalog catalog = emulator::MakeCatalog();
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  Context NewContext() {
    effects.clear();
    return Context(now, 0, &tickets, &effects);
  }

  void Begin(CallKind kind, bool store_answers = true) {
    CallReceived call;
    call.kind = kind;
    call.host = emulator::kHost;
    call.key = emulator::kKey;
    call.path = std::string(emulator::PrefixOf(1)) + "00000000000000aa";
    call.spec.steps.emplace_back();
    Context ctx = NewContext();
    front_end.Handle(ctx, call, &catalog, now, store_answers);
  }

  /// The newest effect of a kind; null if there is none.
  template <typename Kind>
  const Kind* Newest() const {
    const Kind* newest = nullptr;
    for (const Effect& effect : effects) {
      const auto* found = std::get_if<Kind>(&effect);
      if (found != nullptr) newest = found;
    }
    return newest;
  }

  /// The commit under way gets no answer.
  void LoseCommit(bool store_answers) {
    CommitCompleted lost;
    lost.ticket = Newest<CommitRows>()->ticket;
    now = now + Duration(300);
    Context ctx = NewContext();
    front_end.Handle(ctx, lost, store_answers);
  }

  /// The same for a reading.
  void LoseRead(bool store_answers) {
    ReadCompleted lost;
    lost.ticket = Newest<ReadRows>()->ticket;
    now = now + Duration(300);
    Context ctx = NewContext();
    front_end.Handle(ctx, lost, store_answers);
  }
};

TEST(FrontEnd, SubmitThatIsLostOnceIsSentAgainWhateverTheStore) {
  Begin(CallKind::kSubmit);
  LoseCommit(false);
  CHECK_TRUE(Newest<CommitRows>() != nullptr);
  CHECK_TRUE(Newest<RespondToCall>() == nullptr);
}

TEST(FrontEnd, SubmitThatIsLostTwiceGoesOnWhileOthersAreAnswered) {
  Begin(CallKind::kSubmit);
  LoseCommit(true);
  LoseCommit(true);
  CHECK_TRUE(Newest<CommitRows>() != nullptr);
}

// Callers were held for the three seconds that they had, and gave up for good.
TEST(FrontEnd, SubmitThatIsLostTwiceWhileTheStoreIsAwayIsAnsweredAtOnce) {
  Begin(CallKind::kSubmit);
  LoseCommit(false);
  LoseCommit(false);
  POINTERS_EQUAL(nullptr, Newest<CommitRows>());
  // It may have been taken: no refusal would be true.
  CHECK_TRUE(Newest<RespondToCall>()->result == CallResult::kUnknown);
  CHECK_TRUE(Newest<RespondToCall>()->retry_after.value().ms() > 0);
  CHECK_TRUE(front_end.idle());
}

TEST(FrontEnd, CallerThatAnotherNodeWouldServeIsToldToComeBackAtOnce) {
  front_end.SetStoreOutage(StoreOutage::kLocal);
  Begin(CallKind::kSubmit, false);
  CHECK_TRUE(Newest<RespondToCall>()->result == CallResult::kNotAccepted);
  LONGS_EQUAL(0, Newest<RespondToCall>()->retry_after.value().ms());
  front_end.SetStoreOutage(StoreOutage::kGlobal);
  Begin(CallKind::kSubmit, false);
  LONGS_EQUAL(FrontEndOptions().retry_after.ms(),
              Newest<RespondToCall>()->retry_after.value().ms());
}

TEST(FrontEnd, QuestionThatIsLostTwiceWhileTheStoreIsAwayIsAnsweredAtOnce) {
  Begin(CallKind::kQuery);
  LoseRead(false);
  LoseRead(false);
  CHECK_TRUE(Newest<RespondToCall>()->result == CallResult::kNotAccepted);
  CHECK_TRUE(front_end.idle());
}

}  // namespace limeledge::dispatch
