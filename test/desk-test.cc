/// @file
/// Tests of API calls while the store is available, and while it is not.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "CppUTest/TestHarness.h"
#include "dispatch/front_end.h"
#include "emulator/emulated_catalog.h"

namespace limeledge::dispatch {

// A front end with one call, which started while the store was available.
TEST_GROUP(Desk) {
  StoreTimeout store_timeout;
  CatalogWatcher catalog;
  FrontEnd front_end{FrontEndOptions(), &store_timeout, &catalog};
  Ticket tickets;
  Effects effects;
  TimePoint now{1000};

  Context NewContext() {
    effects.clear();
    return Context(now, 0, &tickets, &effects);
  }

  void setup() override {
    CatalogReceived answer;
    answer.outcome = StoreOutcome::kDone;
    answer.catalog = emulator::MakeCatalog();
    Context ctx = NewContext();
    catalog.Handle(ctx, answer);
  }

  static CallReceived CallOf(CallKind kind) {
    CallReceived call;
    call.kind = kind;
    call.host = emulator::kHost;
    call.key = emulator::kKey;
    call.path = std::string(emulator::PrefixOf(1)) + "00000000000000aa";
    call.spec.steps.emplace_back();
    return call;
  }

  /// Starts a call on a job.
  void Start(const CallReceived& call, bool store_answers = true) {
    Context ctx = NewContext();
    front_end.Handle(ctx, call, store_answers);
  }
  void Start(CallKind kind, bool store_answers = true) {
    Start(CallOf(kind), store_answers);
  }

  /// Returns the last effect of a type; null if there is none.
  template <typename Kind>
  const Kind* Last() const {
    const Kind* last = nullptr;
    for (const Effect& effect : effects) {
      const auto* found = std::get_if<Kind>(&effect);
      if (found != nullptr) last = found;
    }
    return last;
  }

  /// Lets the pending commit end without a response.
  void LoseCommit(bool store_answers) {
    CommitCompleted no_response;
    no_response.ticket = Last<CommitRows>()->ticket;
    now = now + Duration(300);
    Context ctx = NewContext();
    front_end.Handle(ctx, no_response, store_answers);
  }

  /// Lets the pending read end without a response.
  void LoseRead(bool store_answers) {
    ReadCompleted no_response;
    no_response.ticket = Last<ReadRows>()->ticket;
    now = now + Duration(300);
    Context ctx = NewContext();
    front_end.Handle(ctx, no_response, store_answers);
  }
};

TEST(Desk, SubmitIsRetriedOnceEvenIfTheStoreIsUnavailable) {
  Start(CallKind::kSubmit);
  LoseCommit(false);
  CHECK_TRUE(Last<CommitRows>() != nullptr);
  CHECK_TRUE(Last<RespondToCall>() == nullptr);
}

TEST(Desk, SubmitIsRetriedAgainWhileTheStoreIsAvailable) {
  Start(CallKind::kSubmit);
  LoseCommit(true);
  LoseCommit(true);
  CHECK_TRUE(Last<CommitRows>() != nullptr);
}

// Callers must not be held until their deadline during an outage: they would
// have no time left to retry, and lose the call.
TEST(Desk, SubmitThatIsLostTwiceWhileTheStoreIsAwayIsAnsweredAtOnce) {
  Start(CallKind::kSubmit);
  LoseCommit(false);
  LoseCommit(false);
  POINTERS_EQUAL(nullptr, Last<CommitRows>());
  // The submit may have been accepted, so the result must not be a refusal.
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kUnknown);
  CHECK_TRUE(Last<RespondToCall>()->retry_after.value().ms() > 0);
  CHECK_TRUE(front_end.idle());
}

TEST(Desk, RetryAfterIsZeroIfOnlyThisNodeLostTheStore) {
  front_end.SetStoreOutage(StoreOutage::kLocal);
  Start(CallKind::kSubmit, false);
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kNotAccepted);
  LONGS_EQUAL(0, Last<RespondToCall>()->retry_after.value().ms());
  front_end.SetStoreOutage(StoreOutage::kGlobal);
  Start(CallKind::kSubmit, false);
  LONGS_EQUAL(FrontEndOptions().retry_after.ms(),
              Last<RespondToCall>()->retry_after.value().ms());
}

TEST(Desk, QueryFailsAfterTwoAttemptsWhileTheStoreIsUnavailable) {
  Start(CallKind::kQuery);
  LoseRead(false);
  LoseRead(false);
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kNotAccepted);
  CHECK_TRUE(front_end.idle());
}

// The callers of a node that alone lost the store used to be refused, and some
// did not try again.
TEST(Desk, CallIsPassedOnToANodeThatReachesTheStore) {
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  for (const CallKind kind :
       {CallKind::kSubmit, CallKind::kQuery, CallKind::kCancel}) {
    Start(kind, false);
    STRCMP_EQUAL("n7:80", Last<ForwardCall>()->address.c_str());
    CHECK_FALSE(Last<ForwardCall>()->call.may_be_applied);
    CHECK_TRUE(Last<RespondToCall>() == nullptr);
    CHECK_TRUE(front_end.idle());
  }
}

TEST(Desk, CallThatWasPassedOnIsNotPassedOnAgain) {
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  CallReceived call;
  call.kind = CallKind::kQuery;
  call.host = emulator::kHost;
  call.key = emulator::kKey;
  call.path = std::string(emulator::PrefixOf(1)) + "00000000000000aa";
  call.forwarded = true;
  Context ctx = NewContext();
  front_end.Handle(ctx, call, false);
  CHECK_TRUE(Last<ForwardCall>() == nullptr);
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kNotAccepted);
}

TEST(Desk, SubmitWithoutAnAnswerIsPassedOnAsPossiblyApplied) {
  Start(CallKind::kSubmit);
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  LoseCommit(false);
  CHECK_TRUE(Last<ForwardCall>()->call.may_be_applied);
  CHECK_TRUE(front_end.idle());
}

// Guards against a rejection of a submit that the node which passed it on may
// have stored: its job would run.
TEST(Desk, SubmitThatMayBeStoredIsLookedUpBeforeItsKeyIsRejected) {
  for (const bool stored : {true, false}) {
    CallReceived call = CallOf(CallKind::kSubmit);
    Start(call);
    const std::string row = Last<CommitRows>()->transaction.puts.front().value;
    call.key = "no such key";
    call.forwarded = true;
    call.may_be_applied = true;
    Start(call);
    CHECK_TRUE(Last<RespondToCall>() == nullptr);
    ReadCompleted answer;
    answer.ticket = Last<ReadRows>()->ticket;
    answer.outcome = StoreOutcome::kDone;
    if (stored) answer.rows.push_back({{kJobTable, "aa"}, row, Revision(3)});
    Context ctx = NewContext();
    front_end.Handle(ctx, answer, true);
    CHECK_TRUE(Last<RespondToCall>()->result ==
               (stored ? CallResult::kDone : CallResult::kUnknown));
  }
}

TEST(Desk, SubmitThatWasNotSentToTheStoreIsRejectedAtOnce) {
  CallReceived call = CallOf(CallKind::kSubmit);
  call.key = "no such key";
  call.forwarded = true;
  Start(call);
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kUnknownKey);
}

TEST(Desk, QueryWithoutAnAnswerIsPassedOn) {
  Start(CallKind::kQuery);
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  LoseRead(false);
  CHECK_TRUE(Last<ForwardCall>() != nullptr);
}

// Guards against a decision by the older catalog of the other node.
TEST(Desk, CallIsPassedOnWithTheNewestKnownCatalog) {
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  catalog.SetKnownVersion(now, CatalogVersion(7));
  Start(CallKind::kQuery, false);
  LONGS_EQUAL(7, Last<ForwardCall>()->call.required_version.value());
}

TEST(Desk, CallIsPassedOnWhileTheCatalogIsOutdated) {
  front_end.SetStoreOutage(StoreOutage::kLocal, "n7:80");
  catalog.SetKnownVersion(now, CatalogVersion(7));
  Start(CallKind::kQuery);
  CHECK_TRUE(Last<ForwardCall>() != nullptr);
}

// Guards against answers by a catalog that is older than one that the node has
// shown, and against final ones: the next node may serve the call.
TEST(Desk, OutdatedCatalogDecidesNothing) {
  catalog.SetKnownVersion(now, CatalogVersion(7));
  for (const bool store_answers : {true, false}) {
    Start(CallKind::kQuery, store_answers);
    CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kNotAccepted);
    CHECK_TRUE(Last<RespondToCall>()->retry_after.has_value());
    CHECK_TRUE(front_end.idle());
  }
}

TEST(Desk, CallThatRequiresANewerCatalogIsNotDecided) {
  CallReceived call;
  call.kind = CallKind::kQuery;
  call.host = emulator::kHost;
  call.key = emulator::kKey;
  call.path = emulator::PrefixOf(1);
  call.forwarded = true;
  call.required_version = CatalogVersion(7);
  CHECK_TRUE(front_end.IsOutdatedFor(call));
  Context ctx = NewContext();
  front_end.Handle(ctx, call, true);
  CHECK_TRUE(Last<RespondToCall>()->result == CallResult::kNotAccepted);
  call.required_version = catalog.version();
  CHECK_FALSE(front_end.IsOutdatedFor(call));
}

}  // namespace limeledge::dispatch
