/// @file
/// Tests of which step and which runners the advice service is asked about.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "CppUTest/TestHarness.h"
#include "absl/strings/str_cat.h"
#include "dispatch/ticket_cache.h"

namespace limeledge::dispatch {

/// The load: more steps need tickets than the service has time for.
TEST_GROUP(TicketCache) {
  static constexpr Duration kValid{3000};

  TicketCache cache;
  Ticket tickets;
  TimePoint now{100000};

  static AdviceRequest Request(const char* job, int runners) {
    AdviceRequest request;
    request.step = {JobId(job), 0, 0};
    request.can_start = true;
    for (int i = 0; i < runners; ++i) {
      request.runners.push_back({RunnerName(i), 8});
    }
    return request;
  }

  static IncarnationId RunnerName(int number) {
    return {RunnerId(absl::StrCat("i-", number)), StartTime()};
  }

  /// The request that the cache sends; one of no step if it sends none.
  RequestAdvice Ask(const std::vector<AdviceRequest>& requests) {
    Effects effects;
    Context ctx(now, 0, &tickets, &effects);
    cache.RequestTickets(ctx, requests);
    for (const Effect& effect : effects) {
      const auto* request = std::get_if<RequestAdvice>(&effect);
      if (request != nullptr) return *request;
    }
    return {};
  }

  /// Answers after `took` that the first `permitted` runners may run the step.
  void Answer(const RequestAdvice& request, std::size_t permitted,
              Duration took = Duration(300)) {
    now = now + took;
    AdviceReceived answer;
    answer.step = request.step;
    answer.ok = true;
    answer.asked = request.runners;
    answer.valid = kValid;
    for (std::size_t i = 0; i < permitted && i < request.runners.size(); ++i) {
      answer.tickets[request.runners[i]] = "ticket";
    }
    Effects effects;
    Context ctx(now, 0, &tickets, &effects);
    cache.Handle(ctx, answer);
  }

  /// Asks about steps that do not start although they get tickets, which expire
  /// before the next request. Returns the steps in the order of the requests.
  std::vector<std::string> AskRepeatedly(
      const std::vector<AdviceRequest>& requests, int times) {
    std::vector<std::string> asked;
    for (int i = 0; i < times; ++i) {
      const RequestAdvice request = Ask(requests);
      asked.push_back(request.step.job.value());
      Answer(request, request.runners.size(), kValid);
      now = now + kValid;
    }
    return asked;
  }
};

// Guards against steps that never get a ticket because those ahead of them need
// new tickets by the time that the service has answered.
TEST(TicketCache, StepsAheadThatKeepAskingLeaveEverySecondRequestToOthers) {
  const std::vector<AdviceRequest> requests = {
      Request("a", 4), Request("b", 4), Request("c", 4), Request("d", 4)};
  const std::vector<std::string> asked = AskRepeatedly(requests, 8);
  for (const AdviceRequest& request : requests) {
    CHECK_TRUE(
        std::count(asked.begin(), asked.end(), request.step.job.value()) > 0);
  }
  // The planner's order counts too.
  CHECK_TRUE(std::count(asked.begin(), asked.end(), "a") >= 4);
}

// Requests for steps that do not fit anyway must not delay those that do.
TEST(TicketCache, StepThatFitsIsAskedAboutBeforeThoseThatDoNot) {
  AdviceRequest full = Request("a", 4);
  full.can_start = false;
  STRCMP_EQUAL("b", Ask({full, Request("b", 4)}).step.job.value().c_str());
}

TEST(TicketCache, StepsThatDoNotFitAreAskedAboutInAdvance) {
  AdviceRequest full = Request("a", 40);
  full.can_start = false;
  LONGS_EQUAL(30, Ask({full}).runners.size());
}

// A request takes longer with each runner, and all other steps wait for it.
TEST(TicketCache, RequestForOneTaskNamesFewRunners) {
  CHECK_TRUE(Ask({Request("a", 40)}).runners.size() <= 4);
}

TEST(TicketCache, RequestsNameMoreRunnersIfMostAreDenied) {
  RequestAdvice request = Ask({Request("a", 40)});
  Answer(request, 0);
  request = Ask({Request("b", 40)});
  CHECK_TRUE(request.runners.size() > 4);
  Answer(request, 0);
  // The step that was denied before goes on with all runners that it did not
  // ask about.
  request = Ask({Request("a", 40)});
  LONGS_EQUAL(30, request.runners.size());
  for (const IncarnationId& runner : request.runners) {
    CHECK_TRUE(cache.DeniedRunners(request.step).count(runner) == 0);
  }
}

TEST(TicketCache, RequestForATaskOnSlowServiceTakesASecondAtMost) {
  AdviceRequest slow = Request("a", 40);
  slow.tasks = 200;
  slow.service_time = Duration(100);
  slow.service_time_per_runner = Duration(150);
  const RequestAdvice request = Ask({slow});
  LONGS_EQUAL(6, request.runners.size());
  LONGS_EQUAL(1000, request.service_time.ms());
}

// All members of a gang must have valid tickets at the same time.
TEST(TicketCache, RequestForAGangNamesRunnersForAllMembers) {
  AdviceRequest gang = Request("a", 80);
  gang.gang = true;
  gang.tasks = 60;
  for (AdviceCandidate& candidate : gang.runners) candidate.tasks = 1;
  LONGS_EQUAL(80, Ask({gang}).runners.size());
}

TEST(TicketCache, StepWithTicketsForAllItsTasksIsNotAskedAboutAgain) {
  const RequestAdvice request = Ask({Request("a", 40)});
  Answer(request, request.runners.size());
  CHECK_TRUE(Ask({Request("a", 40)}).runners.empty());
  now = now + kValid;
  CHECK_FALSE(Ask({Request("a", 40)}).runners.empty());
}

}  // namespace limeledge::dispatch
