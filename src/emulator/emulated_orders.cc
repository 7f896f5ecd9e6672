/// @file
/// Carries out the nodes' looks, orders and questions for advice, with their
/// faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstdio>
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
/// How often a look that waits is tried again.
constexpr Duration kPollStep{20};
constexpr Duration kAdviceTime{100};
constexpr Duration kTicketTime{3000};

/// Tells with a start's answer that an earlier sending may still come.
void NoteRepeated(bool repeated, dispatch::StartRunCompleted* answer) {
  answer->earlier_attempt_pending = repeated;
}

/// Stops are harmless however late they come.
void NoteRepeated(bool, dispatch::StopRunCompleted*) {}

}  // namespace

void EmulatedSystem::Perform(int node, const dispatch::PollRunner& poll) {
  CheckMayAct(node, "looks at a runner");
  const int incarnation = processes_[node].incarnation;
  ++polls_;
  if (Happens(faults_.polls_lost)) {
    LosePoll(node, incarnation, poll);
    return;
  }
  if (Happens(faults_.polls_late)) {
    LosePoll(node, incarnation, poll);
    At(now_ + LateBy(), [this, poll] { CarryOutLate(poll); });
    return;
  }
  At(now_ + options_.network, [this, node, incarnation, poll] {
    AnswerPoll(node, incarnation, poll, now_ + poll.wait,
               dispatch::IncarnationId());
  });
}

void EmulatedSystem::LosePoll(int node, int incarnation,
                              const dispatch::PollRunner& poll) {
  dispatch::RunnerPolled lost;
  lost.asked = poll.target.incarnation;
  lost.number = poll.number;
  lost.epoch = poll.target.epoch;
  At(now_ + poll.wait + kOrderTimeout,
     [this, node, incarnation, lost] { Deliver(node, incarnation, lost); });
}

Duration EmulatedSystem::LateBy() {
  return Duration(static_cast<std::int64_t>(
      Chance() * static_cast<double>(faults_.late_order.ms())));
}

void EmulatedSystem::CarryOutLate(const dispatch::PollRunner& poll) {
  DropIfCrashed(poll.target.address);
  const auto at = runner_at_.find(poll.target.address);
  if (at == runner_at_.end() || !Hears(at->second)) return;
  EmulatedRunner* runner = FindRunner(at->second);
  const dispatch::RunnerPolled answer = runner->Poll(poll);
  const std::vector<dispatch::ReportedEnd> unread =
      runner->TakeUnreportedEnds();
  // A call that comes to a later life than it was meant for can't be taken
  // back: what that life forgets by it breaks no promise.
  if (poll.target.incarnation != runner->info().incarnation()) return;
  oracle_.RecordUnreportedEnds(unread);
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

void EmulatedSystem::AnswerPoll(int node, int incarnation,
                                const dispatch::PollRunner& poll,
                                TimePoint until,
                                const dispatch::IncarnationId& waits_at) {
  DropIfCrashed(poll.target.address);
  const RunnerId& id = poll.target.incarnation.runner;
  dispatch::RunnerPolled answer;
  answer.asked = poll.target.incarnation;
  answer.number = poll.number;
  answer.epoch = poll.target.epoch;
  const auto at = runner_at_.find(poll.target.address);
  if (at == runner_at_.end() || !Hears(id) || !Hears(at->second)) {
    const bool dead = at == runner_at_.end() && Reaches(id);
    answer.outcome = dead ? OrderOutcome::kNotSent : OrderOutcome::kLost;
    At(now_ + (dead ? options_.network : kOrderTimeout),
       [this, node, incarnation, answer] {
         Deliver(node, incarnation, answer);
       });
    return;
  }
  EmulatedRunner* runner = FindRunner(at->second);
  const dispatch::IncarnationId there = runner->info().incarnation();
  const bool reset = waits_at.runner == there.runner && waits_at != there;
  if (reset) {
    // The life at which the look waited is gone, and its connection with it.
    answer.outcome = OrderOutcome::kLost;
    At(now_ + options_.network, [this, node, incarnation, answer] {
      Deliver(node, incarnation, answer);
    });
    return;
  }
  // The lease is renewed when the look comes, not when it is answered.
  answer = runner->Poll(poll);
  oracle_.RecordUnreportedEnds(runner->TakeUnreportedEnds());
  const bool waits = answer.outcome == OrderOutcome::kDone && now_ < until &&
                     !runner->HasNewEnds(poll.acknowledged_end);
  if (waits) {
    dispatch::PollRunner rest = poll;
    rest.until_ms = 0;
    At(now_ + kPollStep, [this, node, incarnation, rest, until, there] {
      AnswerPoll(node, incarnation, rest, until, there);
    });
    return;
  }
  RecordPoll(poll, answer, *runner);
  At(now_ + options_.network,
     [this, node, incarnation, answer] { Deliver(node, incarnation, answer); });
}

void EmulatedSystem::Perform(int node, const dispatch::RequestAdvice& ask) {
  dispatch::AdviceReceived answer;
  answer.step = ask.step;
  answer.ok = true;
  answer.asked = ask.runners;
  answer.valid = kTicketTime;
  const TimePoint until = now_ + kAdviceTime + kTicketTime;
  for (const dispatch::IncarnationId& incarnation : ask.runners) {
    // Every other runner may run a step, in all of its lives.
    int index = 0;
    std::sscanf(incarnation.runner.value().c_str(), "i-%d-", &index);
    if (index % 2 == 0) {
      // It is made out for the life that is there now.
      const EmulatedRunner* present = FindRunner(incarnation.runner);
      const dispatch::IncarnationId holder =
          present == nullptr ? incarnation : present->info().incarnation();
      answer.tickets[incarnation] = MakeTicket(ask.step, holder, until);
    }
  }
  const int incarnation = processes_[node].incarnation;
  At(now_ + kAdviceTime,
     [this, node, incarnation, answer] { Deliver(node, incarnation, answer); });
}

template <typename Answer, typename Order>
void EmulatedSystem::SendOrder(int node, const Order& order, Answer answer,
                               const CarryOut<Answer>& carry_out) {
  auto& lane = processes_[node].order_lanes[order.target.incarnation];
  lane.push([this, node, order, answer, carry_out] {
    SendOrderNow(node, order, answer, carry_out);
  });
  longest_order_lane_ = std::max(longest_order_lane_, lane.size());
  if (lane.size() == 1) lane.front()();
}

void EmulatedSystem::FinishOrder(int node, int incarnation,
                                 const dispatch::IncarnationId& runner) {
  if (processes_[node].incarnation != incarnation) return;
  auto& lane = processes_[node].order_lanes[runner];
  lane.pop();
  if (!lane.empty()) lane.front()();
}

template <typename Answer, typename Order>
void EmulatedSystem::SendOrderNow(int node, const Order& order, Answer answer,
                                  const CarryOut<Answer>& carry_out) {
  const int incarnation = processes_[node].incarnation;
  const dispatch::IncarnationId meant = order.target.incarnation;
  const std::string address = order.target.address;
  const auto reply = [this, node, incarnation, meant](Duration after,
                                                      Answer body) {
    At(now_ + after, [this, node, incarnation, meant, body] {
      FinishOrder(node, incarnation, meant);
      Deliver(node, incarnation, body);
    });
  };
  const auto arrive = [this, meant, address, carry_out, answer,
                       sent_at = now_](bool* heard) {
    Answer body = answer;
    DropIfCrashed(address);
    const auto at = runner_at_.find(address);
    *heard = at != runner_at_.end() && Hears(meant.runner) && Hears(at->second);
    if (*heard) body = carry_out(FindRunner(at->second), sent_at);
    body.asked = meant;
    return body;
  };
  if (Happens(faults_.orders_lost)) {
    At(now_ + LateBy(), [arrive] {
      bool heard = false;
      arrive(&heard);
    });
    reply(kOrderTimeout, answer);
    return;
  }
  constexpr bool kIsStart = std::is_same_v<Order, dispatch::StartRun>;
  const bool repeated = Happens(kIsStart ? faults_.starts_repeated : 0);
  if (repeated) {
    At(now_ + LateBy(), [arrive] {
      bool heard = false;
      arrive(&heard);
    });
  }
  At(now_ + options_.network, [this, arrive, reply, answer, repeated] {
    bool heard = false;
    Answer body = arrive(&heard);
    NoteRepeated(repeated, &body);
    if (heard) {
      reply(faults_.order_time + options_.network, body);
    } else {
      reply(kOrderTimeout, answer);
    }
  });
}

void EmulatedSystem::Perform(int node, const dispatch::StartRun& start) {
  CheckMayAct(node, "starts a run");
  dispatch::StartRunCompleted answer{start.target.incarnation,
                                     start.target.epoch,
                                     start.task,
                                     start.run,
                                     OrderOutcome::kLost,
                                     0,
                                     false};
  SendOrder<dispatch::StartRunCompleted>(
      node, start, answer,
      [this, start, answer](EmulatedRunner* runner, TimePoint sent_at) {
        const dispatch::StepName step{start.task.job, start.task.occurrence,
                                      start.task.step};
        const bool foreign =
            !start.ticket.empty() &&
            !TicketIsFor(start.ticket, step, runner->info().incarnation());
        if (foreign) {
          dispatch::StartRunCompleted refused = answer;
          refused.outcome = OrderOutcome::kInvalidTicket;
          return refused;
        }
        dispatch::StartRunCompleted done = runner->Start(start);
        if (done.outcome == OrderOutcome::kDone) {
          CheckStart(*runner, start, sent_at);
        }
        return done;
      });
}

void EmulatedSystem::Perform(int node, const dispatch::StopRun& stop) {
  CheckMayAct(node, "stops a run");
  dispatch::StopRunCompleted answer{stop.target.incarnation,
                                    stop.target.epoch,
                                    stop.task,
                                    stop.run,
                                    OrderOutcome::kLost,
                                    0};
  SendOrder<dispatch::StopRunCompleted>(
      node, stop, answer, [this, stop](EmulatedRunner* runner, TimePoint) {
        Trace(absl::StrCat("stop ", ToString(stop.task), " run ", stop.run,
                           " at ", runner->info().id.value(), " by epoch ",
                           stop.target.epoch.value()));
        return runner->Stop(stop);
      });
}

}  // namespace limeledge::emulator
