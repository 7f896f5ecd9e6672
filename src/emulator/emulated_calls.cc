/// @file
/// Carries out the nodes' calls to the store and to runners, with their faults.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <cstdio>
#include <utility>

#include "absl/strings/str_cat.h"
#include "emulator/emulated_system.h"

namespace limeledge::emulator {

using dispatch::OrderOutcome;
using dispatch::StoreOutcome;

namespace {

constexpr Duration kOrderTimeout{1000};
constexpr Duration kFeedStep{20};
constexpr Duration kReadTimeout{1000};
constexpr Duration kAdviceTime{100};
constexpr Duration kTicketTime{3000};

}  // namespace

void EmulatedSystem::Perform(int node, const dispatch::Effect& effect) {
  const int life = processes_[node].life;
  if (const auto* commit = std::get_if<dispatch::CommitRows>(&effect)) {
    dispatch::TransactionAnswered lost;
    lost.ticket = commit->ticket;
    CallStore<dispatch::TransactionAnswered>(
        node, commit->timeout,
        [this, call = *commit] {
          dispatch::TransactionAnswered answer =
              store_.Commit(call.transaction);
          answer.ticket = call.ticket;
          return answer;
        },
        lost);
  } else if (const auto* read = std::get_if<dispatch::ReadRows>(&effect)) {
    dispatch::RowsAnswered lost;
    lost.ticket = read->ticket;
    lost.outcome = StoreOutcome::kNotDone;
    CallStore<dispatch::RowsAnswered>(
        node, read->timeout,
        [this, call = *read] {
          dispatch::RowsAnswered answer =
              store_.Read(call.table, call.from, call.to, call.limit);
          answer.ticket = call.ticket;
          return answer;
        },
        lost);
  } else if (const auto* follow =
                 std::get_if<dispatch::AwaitChanges>(&effect)) {
    Follow(node, life, *follow, now_ + follow->wait);
  } else if (std::get_if<dispatch::ReadCatalog>(&effect) != nullptr) {
    ReadCatalog(node, nullptr);
  } else if (const auto* wait = std::get_if<dispatch::AwaitCatalog>(&effect)) {
    ReadCatalog(node, wait);
  } else if (std::get_if<dispatch::ListRunners>(&effect) != nullptr) {
    ListRunners(node);
  } else if (const auto* look = std::get_if<dispatch::LookAtRunner>(&effect)) {
    Look(node, *look);
  } else if (const auto* start = std::get_if<dispatch::StartRun>(&effect)) {
    dispatch::StartAnswered answer{start->target.runner, start->target.epoch,
                                   start->task,          start->run,
                                   OrderOutcome::kLost,  0};
    SendOrder<dispatch::StartAnswered>(
        node, *start, answer, [this, order = *start](EmulatedRunner* runner) {
          dispatch::StartAnswered done = runner->Start(order);
          if (done.outcome == OrderOutcome::kDone) CheckStart(*runner, order);
          return done;
        });
  } else if (const auto* stop = std::get_if<dispatch::StopRun>(&effect)) {
    dispatch::StopAnswered answer{stop->target.runner, stop->target.epoch,
                                  stop->task,          stop->run,
                                  OrderOutcome::kLost, 0};
    SendOrder<dispatch::StopAnswered>(node, *stop, answer,
                                      [order = *stop](EmulatedRunner* runner) {
                                        return runner->Stop(order);
                                      });
  } else if (const auto* ask = std::get_if<dispatch::AskAdvice>(&effect)) {
    Advise(node, *ask);
  } else if (const auto* call = std::get_if<dispatch::AnswerCall>(&effect)) {
    At(now_ + options_.network, [this, answer = *call] { TakeAnswer(answer); });
  } else if (const auto* log = std::get_if<dispatch::WriteLog>(&effect)) {
    std::string text =
        absl::StrCat("n", node, " ", CatalogueEntry(log->line.id).name.data());
    for (const LogField& field : log->line.fields) {
      absl::StrAppend(&text, " ", field.name, "=", field.value);
    }
    Trace(text);
  } else if (const auto* ready = std::get_if<dispatch::SetReady>(&effect)) {
    processes_[node].ready = ready->ready;
  } else if (std::get_if<dispatch::Exit>(&effect) != nullptr) {
    KillNode(node, Duration(200));
  }
}

// The store.

template <typename Answer>
void EmulatedSystem::CallStore(int node, Duration timeout,
                               std::function<Answer()> carry_out, Answer lost) {
  const int life = processes_[node].life;
  const TimePoint sent = now_;
  const auto give_up = [this, node, life, lost](TimePoint at) {
    At(at, [this, node, life, lost] { Deliver(node, life, lost); });
  };
  const Duration work = options_.store_time * faults_.store_slowness;
  At(now_ + options_.network + work, [=] {
    const bool away =
        faults_.store_down || faults_.nodes_without_store.count(node) != 0;
    if (away) {
      give_up(sent + timeout);
      return;
    }
    const Answer answer = carry_out();
    const bool late = now_ + options_.network >= sent + timeout;
    if (late || Happens(faults_.store_answers_lost)) {
      give_up(std::max(sent + timeout, now_));
      return;
    }
    At(now_ + options_.network,
       [this, node, life, answer] { Deliver(node, life, answer); });
  });
}

void EmulatedSystem::Follow(int node, int life,
                            const dispatch::AwaitChanges& effect,
                            TimePoint until) {
  const bool away =
      faults_.store_down || faults_.nodes_without_store.count(node) != 0;
  dispatch::ChangesAnswered answer;
  answer.outcome = StoreOutcome::kNotDone;
  if (!away) answer = store_.Changes(effect.table, effect.after);
  answer.ticket = effect.ticket;
  const bool waits =
      now_ < until &&
      (away || (answer.rows.empty() && answer.outcome == StoreOutcome::kDone));
  if (waits) {
    At(now_ + kFeedStep, [this, node, life, effect, until] {
      Follow(node, life, effect, until);
    });
    return;
  }
  At(now_ + options_.network,
     [this, node, life, answer] { Deliver(node, life, answer); });
}

void EmulatedSystem::ReadCatalog(int node, const dispatch::AwaitCatalog* wait) {
  const int life = processes_[node].life;
  const Duration time = wait == nullptr ? options_.network * 2 : wait->wait;
  const bool whole = wait == nullptr;
  At(now_ + time, [this, node, life, whole] {
    const bool away =
        faults_.store_down || faults_.nodes_without_store.count(node) != 0;
    dispatch::CatalogAnswered answer;
    answer.outcome = away ? StoreOutcome::kNotDone : StoreOutcome::kDone;
    if (!away && whole) answer.catalog = catalog_;
    Deliver(node, life, answer);
  });
}

// Calls to runners.

void EmulatedSystem::ListRunners(int node) {
  dispatch::RunnersListed lost;
  CallStore<dispatch::RunnersListed>(
      node, kReadTimeout,
      [this] {
        dispatch::RunnersListed listed;
        listed.ok = true;
        for (const auto& [id, runner] : runners_) {
          // A runner that is cut off can not renew its entry either.
          if (Reaches(id)) listed.runners.push_back(runner->info());
        }
        return listed;
      },
      lost);
}

void EmulatedSystem::Look(int node, const dispatch::LookAtRunner& look) {
  const int life = processes_[node].life;
  At(now_ + options_.network, [this, node, life, look] {
    AnswerLook(node, life, look, now_ + look.wait);
  });
}

void EmulatedSystem::AnswerLook(int node, int life,
                                const dispatch::LookAtRunner& look,
                                TimePoint until) {
  const RunnerId& id = look.target.runner;
  dispatch::RunnerLooked answer;
  answer.runner = id;
  answer.epoch = look.target.epoch;
  const auto at = runner_at_.find(look.target.address);
  if (at == runner_at_.end() || !Reaches(id) || !Reaches(at->second)) {
    const bool dead = at == runner_at_.end() && Reaches(id);
    answer.outcome = dead ? OrderOutcome::kNotSent : OrderOutcome::kLost;
    At(now_ + (dead ? options_.network : kOrderTimeout),
       [this, node, life, answer] { Deliver(node, life, answer); });
    return;
  }
  EmulatedRunner* runner = FindRunner(at->second);
  // The lease is renewed when the look comes, not when it is answered.
  answer = runner->Look(look);
  const bool waits = answer.outcome == OrderOutcome::kDone && now_ < until &&
                     !runner->HasNewEnds(look.acknowledged_end);
  if (waits) {
    dispatch::LookAtRunner rest = look;
    rest.until_ms = 0;
    At(now_ + kFeedStep, [this, node, life, rest, until] {
      AnswerLook(node, life, rest, until);
    });
    return;
  }
  NoteEnds(look, answer);
  answer.runner = id;
  At(now_ + options_.network,
     [this, node, life, answer] { Deliver(node, life, answer); });
}

void EmulatedSystem::Advise(int node, const dispatch::AskAdvice& ask) {
  dispatch::AdviceAnswered answer;
  answer.step = ask.step;
  answer.ok = true;
  answer.asked = ask.runners;
  answer.valid = kTicketTime;
  for (const RunnerId& runner : ask.runners) {
    // Every other runner may run a step, in all of its lives.
    int index = 0;
    std::sscanf(runner.value().c_str(), "i-%d-", &index);
    if (index % 2 == 0) answer.tickets[runner] = ToString(ask.step);
  }
  const int life = processes_[node].life;
  At(now_ + kAdviceTime,
     [this, node, life, answer] { Deliver(node, life, answer); });
}

template <typename Answer, typename Order>
void EmulatedSystem::SendOrder(
    int node, const Order& order, Answer answer,
    std::function<Answer(EmulatedRunner*)> carry_out) {
  const int life = processes_[node].life;
  const RunnerId id = order.target.runner;
  const std::string address = order.target.address;
  const auto reply = [this, node, life](Duration after, Answer body) {
    At(now_ + after, [this, node, life, body] { Deliver(node, life, body); });
  };
  const auto arrive = [this, id, address, carry_out, answer](bool* heard) {
    Answer body = answer;
    const auto at = runner_at_.find(address);
    *heard = at != runner_at_.end() && Reaches(id) && Reaches(at->second);
    if (*heard) body = carry_out(FindRunner(at->second));
    body.runner = id;
    return body;
  };
  if (Happens(faults_.orders_lost)) {
    const auto late = static_cast<std::int64_t>(
        Chance() * static_cast<double>(faults_.late_order.ms()));
    At(now_ + Duration(late), [arrive] {
      bool heard = false;
      arrive(&heard);
    });
    reply(kOrderTimeout, answer);
    return;
  }
  At(now_ + options_.network, [this, arrive, reply, answer] {
    bool heard = false;
    const Answer body = arrive(&heard);
    if (heard) {
      reply(options_.network, body);
    } else {
      reply(kOrderTimeout, answer);
    }
  });
}

}  // namespace limeledge::emulator
