/// @file
/// Performs the polls, orders and advice requests of nodes, with injected
/// faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_catalog.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::OrderOutcome;

namespace {

constexpr Duration kOrderTimeout{1000};
/// Interval at which a waiting poll checks again for new ends.
constexpr Duration kPollRetryInterval{20};
constexpr Duration kTicketTime{3000};

/// Sets in the result of a start whether an earlier attempt may still arrive.
void SetEarlierAttemptPending(bool repeated,
                              dispatch::StartRunCompleted* answer) {
  answer->earlier_attempt_pending = repeated;
}

/// Results of stops carry no such flag: a stop is harmless however late it
/// arrives.
void SetEarlierAttemptPending(bool, dispatch::StopRunCompleted*) {}

/// Names the incarnation that receives a call and, if that differs, the one
/// that the call was meant for.
std::string DescribeRecipient(const dispatch::OrderTarget& target,
                              const EmulatedRunner& runner) {
  const dispatch::IncarnationId present = runner.info().incarnation();
  std::string text = absl::StrCat(present.runner.value(), " born ",
                                  ToString(present.start_time));
  if (target.incarnation == present) return text;
  return absl::StrCat(text, ", meant for born ",
                      ToString(target.incarnation.start_time));
}

}  // namespace

void EmulatedSystem::Perform(int node, const dispatch::PollRunner& poll) {
  CheckLeadershipConfirmed(node, "polls a runner");
  const int incarnation = processes_[node].incarnation;
  ++polls_;
  if (Happens(faults_.polls_lost)) {
    LosePoll(node, incarnation, poll, now_ + poll.wait + kOrderTimeout);
    return;
  }
  if (Happens(faults_.polls_late)) {
    LosePoll(node, incarnation, poll, now_ + poll.wait + kOrderTimeout);
    RunAt(now_ + LateOrderDelay(), [this, poll] { DeliverLatePoll(poll); });
    return;
  }
  RunAt(now_ + options_.network, [this, node, incarnation, poll] {
    AnswerPoll(node, incarnation, poll, now_ + poll.wait,
               dispatch::IncarnationId());
  });
}

void EmulatedSystem::LosePoll(int node, int incarnation,
                              const dispatch::PollRunner& poll, TimePoint at) {
  dispatch::RunnerPolled lost;
  lost.asked = poll.target.incarnation;
  lost.number = poll.number;
  lost.fence = poll.target.fence;
  RunAt(at,
        [this, node, incarnation, lost] { Deliver(node, incarnation, lost); });
}

Duration EmulatedSystem::LateOrderDelay() {
  const Duration span = faults_.late_order - faults_.min_late_order;
  return faults_.min_late_order +
         Duration(static_cast<std::int64_t>(RandomFraction() *
                                            static_cast<double>(span.ms())));
}

void EmulatedSystem::DeliverLatePoll(const dispatch::PollRunner& poll) {
  DropIfCrashed(poll.target.address);
  const auto at = runner_at_.find(poll.target.address);
  if (at == runner_at_.end() || !Responds(at->second)) return;
  EmulatedRunner* runner = FindRunner(at->second);
  const dispatch::RunnerPolled answer = runner->Poll(poll);
  Trace(absl::StrCat("late poll of ", DescribeRecipient(poll.target, *runner),
                     " acknowledges ", poll.acknowledged_end, ": ",
                     ToString(answer.outcome)));
  const std::vector<dispatch::ReportedEnd> unreported =
      runner->TakeUnreportedEnds();
  if (IsUnpreventable(poll.target, *runner)) return;
  oracle_.RecordUnreportedEnds(unreported);
  RecordPoll(poll, answer, *runner);
}

void EmulatedSystem::RecordPoll(const dispatch::PollRunner& poll,
                                const dispatch::RunnerPolled& answer,
                                const EmulatedRunner& runner) {
  oracle_.RecordPoll(poll, answer, [&](std::int64_t end) {
    const bool same_runner = runner.info().id == poll.target.incarnation.runner;
    return same_runner && !runner.LeaseExpiredSince(end);
  });
}

bool EmulatedSystem::IsResent(int node, const dispatch::OrderTarget& target) {
  if (faults_.resend_interval == Duration(0)) return false;
  DropIfCrashed(target.address);
  const RunnerId& id = target.incarnation.runner;
  return runner_at_.count(target.address) == 0 && Responds(id) &&
         !IsSeparated(node, id);
}

void EmulatedSystem::ResendPoll(int node, int incarnation,
                                const dispatch::PollRunner& poll,
                                TimePoint until,
                                const dispatch::IncarnationId& waiting_at) {
  const TimePoint next = now_ + faults_.resend_interval;
  if (next < until + kOrderTimeout) {
    RunAt(next, [this, node, incarnation, poll, until, waiting_at] {
      AnswerPoll(node, incarnation, poll, until, waiting_at);
    });
    return;
  }
  LosePoll(node, incarnation, poll, until + kOrderTimeout);
}

void EmulatedSystem::AnswerPoll(int node, int incarnation,
                                const dispatch::PollRunner& poll,
                                TimePoint until,
                                const dispatch::IncarnationId& waiting_at) {
  if (IsResent(node, poll.target)) {
    ResendPoll(node, incarnation, poll, until, waiting_at);
    return;
  }
  DropIfCrashed(poll.target.address);
  const RunnerId& id = poll.target.incarnation.runner;
  dispatch::RunnerPolled answer;
  answer.asked = poll.target.incarnation;
  answer.number = poll.number;
  answer.fence = poll.target.fence;
  answer.address = poll.target.address;
  const auto at = runner_at_.find(poll.target.address);
  if (at == runner_at_.end() || !Responds(id) || !Responds(at->second) ||
      IsSeparated(node, id)) {
    const bool dead =
        at == runner_at_.end() && IsReachable(id) && !IsSeparated(node, id);
    const bool refused = dead || RefusesConnections(id);
    answer.outcome =
        refused ? OrderOutcome::kConnectionRefused : OrderOutcome::kLost;
    RunAt(now_ + (refused ? options_.network : kOrderTimeout),
          [this, node, incarnation, answer] {
            Deliver(node, incarnation, answer);
          });
    return;
  }
  EmulatedRunner* runner = FindRunner(at->second);
  const dispatch::IncarnationId current = runner->info().incarnation();
  const bool reset =
      waiting_at.runner == current.runner && waiting_at != current;
  if (reset) {
    // The incarnation at which the poll waited has ended, which closed the
    // connection.
    answer.outcome = OrderOutcome::kLost;
    RunAt(now_ + options_.network, [this, node, incarnation, answer] {
      Deliver(node, incarnation, answer);
    });
    return;
  }
  if (faults_.busy_runners.count(current.runner) != 0) {
    answer.outcome = OrderOutcome::kUnhealthy;
    RunAt(now_ + options_.network, [this, node, incarnation, answer] {
      Deliver(node, incarnation, answer);
    });
    return;
  }
  // The poll renews the lease and acknowledges ends when it arrives, not when
  // it is answered.
  dispatch::PollRunner effective = poll;
  if (waiting_at == current) {
    effective.until_ms = 0;
    effective.acknowledged_end = 0;
  }
  answer = runner->Poll(effective);
  oracle_.RecordUnreportedEnds(runner->TakeUnreportedEnds());
  const bool waits = answer.outcome == OrderOutcome::kDone && now_ < until &&
                     !runner->HasNewEnds(poll.acknowledged_end);
  if (waits) {
    RunAt(now_ + kPollRetryInterval,
          [this, node, incarnation, poll, until, current] {
            AnswerPoll(node, incarnation, poll, until, current);
          });
    return;
  }
  if (answer.outcome == OrderOutcome::kDone) {
    runner->RecordContact();
    oracle_.RecordListedRuns(answer.running, poll.target.fence.epoch, now_);
  }
  RecordPoll(poll, answer, *runner);
  RunAt(now_ + options_.network + faults_.poll_answer_time,
        [this, node, incarnation, answer] {
          Deliver(node, incarnation, answer);
        });
}

void EmulatedSystem::Perform(int node, const dispatch::RequestAdvice& request) {
  dispatch::AdviceReceived answer;
  answer.step = request.step;
  answer.ok = true;
  answer.asked = request.runners;
  answer.valid = kTicketTime;
  const Duration time = options_.advice_time +
                        options_.advice_time_per_runner *
                            static_cast<std::int64_t>(request.runners.size());
  const TimePoint until = now_ + time + kTicketTime;
  for (const dispatch::IncarnationId& incarnation : request.runners) {
    // Every second runner gets tickets, in all of its incarnations.
    int index = 0;
    std::sscanf(incarnation.runner.value().c_str(), "i-%d-", &index);
    if (index % 2 == 0) {
      // The ticket is issued for the runner's current incarnation, which may
      // differ from the one that the request names.
      const EmulatedRunner* present = FindRunner(incarnation.runner);
      const dispatch::IncarnationId holder =
          present == nullptr ? incarnation : present->info().incarnation();
      answer.tickets[incarnation] = MakeTicket(request.step, holder, until);
    }
  }
  const int incarnation = processes_[node].incarnation;
  RunAt(now_ + time, [this, node, incarnation, answer] {
    Deliver(node, incarnation, answer);
  });
}

std::string EmulatedSystem::OrderGroupOf(const dispatch::StartRun& start) {
  const JobWatch* watch = oracle_.Find(start.task.job);
  const bool gang = watch != nullptr && watch->spec.steps[start.task.step].gang;
  if (!gang) return absl::StrCat(++last_order_);
  const dispatch::StepName step{start.task.job, start.task.occurrence,
                                start.task.step};
  return absl::StrCat(ToString(step), " run ", start.run);
}

std::string EmulatedSystem::OrderGroupOf(const dispatch::StopRun&) {
  return absl::StrCat(++last_order_);
}

template <typename Answer, typename Order>
void EmulatedSystem::SendOrder(int node, const Order& order, Answer answer,
                               const OrderHandler<Answer>& handler) {
  std::multiset<std::string>& in_flight =
      processes_[node].orders_in_flight[order.target.incarnation];
  const std::string group = OrderGroupOf(order);
  in_flight.insert(group);
  const std::set<std::string> groups(in_flight.begin(), in_flight.end());
  most_orders_in_flight_ = std::max(most_orders_in_flight_, groups.size());
  SendOrderNow(node, order, group, answer, handler);
}

void EmulatedSystem::FinishOrder(int node, int incarnation,
                                 const dispatch::IncarnationId& runner,
                                 const std::string& group) {
  if (processes_[node].incarnation != incarnation) return;
  std::multiset<std::string>& in_flight =
      processes_[node].orders_in_flight[runner];
  const auto found = in_flight.find(group);
  if (found != in_flight.end()) in_flight.erase(found);
}

void EmulatedSystem::ArriveOrResend(int node,
                                    const dispatch::OrderTarget& target,
                                    TimePoint until,
                                    const std::function<void()>& arrive,
                                    const std::function<void()>& lose) {
  if (!IsResent(node, target)) {
    arrive();
    return;
  }
  const TimePoint next = now_ + faults_.resend_interval;
  if (next >= until) {
    RunAt(until, lose);
    return;
  }
  RunAt(next, [this, node, target, until, arrive, lose] {
    ArriveOrResend(node, target, until, arrive, lose);
  });
}

template <typename Answer, typename Order>
void EmulatedSystem::SendOrderNow(int node, const Order& order,
                                  const std::string& group, Answer answer,
                                  const OrderHandler<Answer>& handler) {
  const int incarnation = processes_[node].incarnation;
  const dispatch::IncarnationId recipient = order.target.incarnation;
  const std::string address = order.target.address;
  const auto reply = [this, node, incarnation, recipient, group](Duration after,
                                                                 Answer body) {
    RunAt(now_ + after, [this, node, incarnation, recipient, group, body] {
      FinishOrder(node, incarnation, recipient, group);
      Deliver(node, incarnation, body);
    });
  };
  const auto arrive = [this, node, recipient, address, handler, answer,
                       sent_at = now_](bool* responded) {
    Answer body = answer;
    DropIfCrashed(address);
    const auto at = runner_at_.find(address);
    *responded = at != runner_at_.end() && Responds(recipient.runner) &&
                 Responds(at->second) && !IsSeparated(node, recipient.runner);
    const bool rejects_starts =
        std::is_same_v<Order, dispatch::StartRun> &&
        faults_.rejecting_runners.count(recipient.runner) != 0;
    if (*responded &&
        (rejects_starts || faults_.busy_runners.count(at->second) != 0)) {
      body.outcome = OrderOutcome::kUnhealthy;
      body.clock_ms = FindRunner(at->second)->clock_ms();
    } else if (*responded) {
      body = handler(FindRunner(at->second), sent_at);
    }
    body.asked = recipient;
    body.address = address;
    return body;
  };
  if (Happens(faults_.orders_lost)) {
    RunAt(now_ + LateOrderDelay(), [arrive] {
      bool responded = false;
      arrive(&responded);
    });
    reply(kOrderTimeout, answer);
    return;
  }
  constexpr bool kIsStart = std::is_same_v<Order, dispatch::StartRun>;
  const bool repeated = Happens(kIsStart ? faults_.starts_repeated : 0);
  if (repeated) {
    RunAt(now_ + LateOrderDelay(), [arrive] {
      bool responded = false;
      arrive(&responded);
    });
  }
  const auto deliver = [this, recipient, arrive, reply, answer, repeated] {
    bool responded = false;
    Answer body = arrive(&responded);
    SetEarlierAttemptPending(repeated, &body);
    if (responded) {
      reply(faults_.order_time + options_.network, body);
    } else if (RefusesConnections(recipient.runner)) {
      body.outcome = OrderOutcome::kNotSent;
      reply(options_.network, body);
    } else {
      reply(kOrderTimeout, answer);
    }
  };
  const auto lose = [reply, answer] { reply(Duration(0), answer); };
  RunAt(now_ + options_.network, [this, node, target = order.target,
                                  until = now_ + kOrderTimeout, deliver, lose] {
    ArriveOrResend(node, target, until, deliver, lose);
  });
}

void EmulatedSystem::Perform(int node, const dispatch::StartRun& start) {
  CheckLeadershipConfirmed(node, "starts a run");
  dispatch::StartRunCompleted answer{start.target.incarnation,
                                     start.target.fence,
                                     start.task,
                                     start.run,
                                     OrderOutcome::kLost,
                                     0,
                                     false,
                                     start.target.address};
  SendOrder<dispatch::StartRunCompleted>(
      node, start, answer,
      [this, start, answer](EmulatedRunner* runner, TimePoint sent_at) {
        const dispatch::StepName step{start.task.job, start.task.occurrence,
                                      start.task.step};
        const bool wrong_incarnation =
            !start.ticket.empty() &&
            !IsTicketFor(start.ticket, step, runner->info().incarnation());
        if (wrong_incarnation) {
          dispatch::StartRunCompleted refused = answer;
          refused.outcome = OrderOutcome::kInvalidTicket;
          return refused;
        }
        dispatch::StartRunCompleted done = runner->Start(start);
        Trace(absl::StrCat("order to start ", ToString(start.task), " run ",
                           start.run, " sent at ", sent_at.ms(), " to ",
                           DescribeRecipient(start.target, *runner), ": ",
                           ToString(done.outcome)));
        if (done.outcome == OrderOutcome::kDone) {
          CheckStart(*runner, start, sent_at);
        }
        return done;
      });
}

void EmulatedSystem::Perform(int node, const dispatch::StopRun& stop) {
  CheckLeadershipConfirmed(node, "stops a run");
  dispatch::StopRunCompleted answer{stop.target.incarnation,
                                    stop.target.fence,
                                    stop.task,
                                    stop.run,
                                    OrderOutcome::kLost,
                                    0,
                                    stop.target.address};
  SendOrder<dispatch::StopRunCompleted>(
      node, stop, answer, [this, stop](EmulatedRunner* runner, TimePoint) {
        Trace(absl::StrCat("stop ", ToString(stop.task), " run ", stop.run,
                           " at ", DescribeRecipient(stop.target, *runner),
                           " by epoch ", stop.target.fence.epoch.value()));
        return runner->Stop(stop);
      });
}

}  // namespace limeledge::emulator
