/// @file
/// How a trial's fakes carry out effects.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <utility>

#include "trial/cluster.h"

namespace limeledge {

namespace {

/// After this long a caller gives an unanswered call up.
constexpr Duration kTimeout{2000};
/// A late delivery comes this long after the caller gave up.
constexpr Duration kLate{1500};
constexpr std::size_t kRowsPerPage = 1000;

const std::vector<std::string>& MirroredPrefixes() {
  static const std::vector<std::string> prefixes = {
      kJobPrefix, kHallPrefix, kRenewalPrefix, kCurrentSettingsKey};
  return prefixes;
}

}  // namespace

void Cluster::Perform(int instance, const SendTransaction& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const Transaction transaction = effect.transaction;
  const auto lost = [this, instance, incarnation] {
    Deliver(instance, incarnation, TransactionReplied{TransactionLost{}});
  };
  if (!StoreAnswers(instance)) {
    After(kTimeout, lost);
    return;
  }
  if (Chance(faults_.late_commit)) {
    After(kTimeout, lost);
    After(kTimeout + kLate, [this, transaction] {
      const TransactionReply reply = table_.Commit(transaction);
      const bool done = std::holds_alternative<TransactionCommitted>(reply);
      if (done && on_commit_) on_commit_(transaction);
    });
    return;
  }
  After(Delay(), [this, instance, incarnation, transaction] {
    Commit(instance, incarnation, transaction);
  });
}

void Cluster::Commit(int instance, std::int64_t incarnation,
                     const Transaction& transaction) {
  const bool answers = StoreAnswers(instance);
  TransactionReply reply = TransactionLost{};
  if (answers) {
    reply = table_.Commit(transaction);
    const bool done = std::holds_alternative<TransactionCommitted>(reply);
    if (done && on_commit_) on_commit_(transaction);
  }
  if (!answers || Chance(faults_.lose_commit_answer)) {
    After(kTimeout, [this, instance, incarnation] {
      Deliver(instance, incarnation, TransactionReplied{TransactionLost{}});
    });
    return;
  }
  After(Delay(), [this, instance, incarnation, reply] {
    Deliver(instance, incarnation, TransactionReplied{reply});
  });
}

void Cluster::Perform(int instance, const ReadRows& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  if (!StoreAnswers(instance)) {
    After(kTimeout, [this, instance, incarnation] {
      Deliver(instance, incarnation, RowsRead{std::nullopt});
    });
    return;
  }
  const Revision since = effect.since;
  After(Delay(), [this, instance, incarnation, since] {
    const ChangedRows changes =
        table_.Changes(MirroredPrefixes(), since, kRowsPerPage);
    After(Delay(), [this, instance, incarnation, changes] {
      Deliver(instance, incarnation, RowsRead{changes});
    });
  });
}

void Cluster::Perform(int instance, const ReadClaims& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  ClaimsRead read;
  if (StoreAnswers(instance)) {
    read.claims = table_.Changes({kClaimPrefix}, effect.since, kClaimsAtOnce);
  }
  After(Delay(), [this, instance, incarnation, read] {
    Deliver(instance, incarnation, read);
  });
}

void Cluster::Perform(int instance, const FetchRows& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  RowsFetched fetched{effect.call, std::nullopt};
  if (StoreAnswers(instance)) {
    fetched.rows.emplace();
    for (const std::string& key : effect.keys) {
      fetched.rows->push_back(table_.Read(key));
    }
  }
  After(Delay(), [this, instance, incarnation, fetched] {
    Deliver(instance, incarnation, fetched);
  });
}

void Cluster::Perform(int instance, const ReadInstanceList&) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  After(Delay(), [this, instance, incarnation] {
    InstanceListRead read;
    if (!faults_.list_down) read.list = LaggingList();
    Deliver(instance, incarnation, read);
  });
}

void Cluster::Perform(int instance, const SendHeartbeat& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const InstanceId peer = effect.peer;
  const int to = FindNode(peer);
  const auto none = [this, instance, incarnation, peer] {
    Deliver(instance, incarnation, HeartbeatAnswered{peer, std::nullopt});
  };
  const bool reaches = to >= 0 && NodeOf(to).alive && !NodeOf(to).paused &&
                       !NodeOf(instance).peers_cut && !NodeOf(to).peers_cut &&
                       !Chance(faults_.lose_heartbeat);
  if (!reaches) {
    After(Duration(1000), none);
    return;
  }
  const Heartbeat heartbeat = effect.heartbeat;
  After(Delay(), [this, instance, incarnation, peer, to, heartbeat, none] {
    Node& target = NodeOf(to);
    if (!target.alive || target.paused) {
      none();
      return;
    }
    const CallId call = target.next_call;
    target.next_call = target.next_call.Next();
    target.waiting[call] = [this, instance, incarnation,
                            peer](const AnswerBody& body) {
      const Heartbeat answer = std::get<Heartbeat>(body);
      After(Delay(), [this, instance, incarnation, peer, answer] {
        Deliver(instance, incarnation, HeartbeatAnswered{peer, answer});
      });
    };
    Deliver(to, target.incarnation, HeartbeatArrived{call, heartbeat});
  });
}

void Cluster::Perform(int instance, const FetchSettings& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const InstanceId peer = effect.peer;
  const int to = FindNode(peer);
  const bool reaches = to >= 0 && NodeOf(to).alive && !NodeOf(to).paused &&
                       !NodeOf(instance).peers_cut && !NodeOf(to).peers_cut;
  if (!reaches) {
    After(Duration(1000), [this, instance, incarnation, peer] {
      Deliver(instance, incarnation, SettingsCopyArrived{peer, std::nullopt});
    });
    return;
  }
  Node& target = NodeOf(to);
  const CallId call = target.next_call;
  target.next_call = target.next_call.Next();
  target.waiting[call] = [this, instance, incarnation,
                          peer](const AnswerBody& body) {
    const SettingsCopy copy = std::get<SettingsCopy>(body);
    const bool late = Chance(faults_.late_settings);
    After(late ? kTimeout + kLate : Delay(),
          [this, instance, incarnation, peer, copy] {
            Deliver(instance, incarnation, SettingsCopyArrived{peer, copy});
          });
  };
  const std::int64_t peer_incarnation = target.incarnation;
  After(Delay(), [this, to, peer_incarnation, call] {
    Deliver(to, peer_incarnation, SettingsCopyAsked{call});
  });
}

void Cluster::Perform(int instance, const SendExchange& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const WorkerExchange& exchange = effect.exchange;
  const auto none = [this, instance, incarnation, exchange] {
    Deliver(instance, incarnation,
            WorkerReplied{exchange.worker, exchange.hall, exchange.epoch,
                          exchange.sequence, std::nullopt});
  };
  const bool cut = cut_workers_.count(exchange.worker) != 0 ||
                   NodeOf(instance).targets_cut ||
                   workers_.count(exchange.worker) == 0;
  if (cut) {
    After(kTimeout, none);
  } else if (Chance(faults_.late_exchange)) {
    After(kTimeout, none);
    After(kTimeout + kLate, [this, instance, effect] {
      HandleExchange(instance, effect, false);
    });
  } else if (Chance(faults_.lose_exchange_reply)) {
    After(kTimeout, none);
    After(Delay(), [this, instance, effect] {
      HandleExchange(instance, effect, false);
    });
  } else {
    After(Delay(),
          [this, instance, effect] { HandleExchange(instance, effect, true); });
  }
}

void Cluster::HandleExchange(int instance, const SendExchange& effect,
                             bool reply) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const WorkerExchange& exchange = effect.exchange;
  const auto it = workers_.find(exchange.worker);
  if (it == workers_.end()) return;
  const WorkerReport report = it->second.Handle(now_, exchange);
  WatchWorker(exchange.worker);
  if (!reply) return;
  WorkerReplied replied{exchange.worker, exchange.hall, exchange.epoch,
                        exchange.sequence, report};
  After(Delay(), [this, instance, incarnation, replied] {
    if (replied.report->leaving) {
      left_at_.emplace(replied.worker.value(), now_);
    }
    Deliver(instance, incarnation, replied);
  });
}

void Cluster::Perform(int instance, const SendRunnerCall& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  RunnerReply reply;
  reply.runner = effect.call.runner;
  reply.awaited = effect.call.attempt;
  const bool not_sent = NodeOf(instance).targets_cut ||
                        runners_.count(effect.call.runner) == 0 ||
                        Chance(faults_.runner_not_sent);
  if (not_sent) {
    reply.outcome = RunnerOutcome::kNotSent;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
    return;
  }
  After(Delay(), [this, instance, effect] { HandleRun(instance, effect); });
}

void Cluster::HandleRun(int instance, const SendRunnerCall& effect) {
  const std::int64_t incarnation = NodeOf(instance).incarnation;
  const RunnerCall call = effect.call;
  RunnerModel& runner = runners_.at(call.runner);
  RunnerReply reply;
  reply.runner = call.runner;
  reply.awaited = call.attempt;
  reply.leaving = runner.leaving();
  if (!runner.Begin(call)) {
    reply.outcome = RunnerOutcome::kRefused;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
    return;
  }
  last_run_[call.runner] = now_;
  const bool lost = Chance(faults_.runner_lost) || runner.faults().cut;
  After(options_.service_time, [this, instance, incarnation, call, reply,
                                lost]() mutable {
    const RunnerAnswer answer = runners_.at(call.runner).End(call);
    reply.outcome = lost ? RunnerOutcome::kLost : RunnerOutcome::kAnswered;
    reply.request = answer.request;
    reply.attempt = answer.attempt;
    reply.workspace = answer.workspace;
    reply.answer = answer.answer;
    After(Delay(), [this, instance, incarnation, reply] {
      Deliver(instance, incarnation, RunnerReplied{reply});
    });
  });
}

void Cluster::Perform(int instance, const Answer& effect) {
  Node& node = NodeOf(instance);
  const auto it = node.waiting.find(effect.call);
  if (it == node.waiting.end()) return;
  const std::function<void(const AnswerBody&)> handle = std::move(it->second);
  node.waiting.erase(it);
  handle(effect.body);
}

void Cluster::Perform(int instance, const Exit&) {
  NodeOf(instance).exited = true;
  Kill(instance);
}

}  // namespace limeledge
