/// @file
/// Virtual time, calls and the oracle.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/emulated_system.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace limeledge::emulator {

using dispatch::CallResult;
using dispatch::OrderOutcome;
using dispatch::StoreOutcome;
using dispatch::TaskName;

namespace {

constexpr std::int64_t kWallStart = 1700000000000;
constexpr Duration kOrderTimeout{1000};
constexpr Duration kFeedStep{20};
constexpr Duration kCallerDeadline{3000};
constexpr Duration kCallerRetry{800};
constexpr Duration kReadTimeout{1000};
constexpr char kHost[] = "jobs.example";
constexpr char kPrefix[] = "/queue/";
constexpr char kUrgentPrefix[] = "/urgent/";
constexpr char kAdvisedPrefix[] = "/advised/";
constexpr int kAdvisedPriority = 2;
constexpr Duration kAdviceTime{100};
constexpr Duration kTicketTime{3000};
constexpr char kKey[] = "key-1";
constexpr int kMaxAttempts = 3;

dispatch::Queue MakeQueue(const char* name, const char* prefix, int priority) {
  dispatch::Queue queue;
  queue.id = dispatch::QueueId(name);
  queue.host = kHost;
  queue.path_prefix = prefix;
  queue.policy.service = dispatch::ServiceId("compute");
  queue.policy.priority = priority;
  queue.policy.max_attempts = kMaxAttempts;
  queue.policy.stretch = 3;
  queue.policy.slack = Duration(1000);
  return queue;
}

const char* PrefixOf(const JobWatch& watch) {
  const int priority = watch.spec.policy.priority;
  if (priority == 0) return kUrgentPrefix;
  return priority == kAdvisedPriority ? kAdvisedPrefix : kPrefix;
}

dispatch::Catalog MakeCatalog() {
  dispatch::Catalog catalog;
  catalog.version = dispatch::CatalogVersion(1);
  catalog.queues.push_back(MakeQueue("patient", kPrefix, 1));
  catalog.queues.push_back(MakeQueue("urgent", kUrgentPrefix, 0));
  catalog.queues.push_back(
      MakeQueue("advised", kAdvisedPrefix, kAdvisedPriority));
  catalog.queues.back().policy.needs_advice = true;
  catalog.services[dispatch::ServiceId("compute")] = {true};
  dispatch::Workspace workspace;
  workspace.id = WorkspaceId("roads");
  workspace.guaranteed_accelerators = 16;
  catalog.workspaces[workspace.id] = workspace;
  catalog.workspace_by_key[kKey] = workspace.id;
  return catalog;
}

}  // namespace

EmulatedSystem::EmulatedSystem(SystemOptions options)
    : options_(options), random_(options.seed), catalog_(MakeCatalog()) {
  for (int i = 0; i < options_.runners; ++i) AddRunner(i, 1);
  processes_.resize(options_.nodes);
  for (int i = 0; i < options_.nodes; ++i) StartNode(i);
}

EmulatedSystem::~EmulatedSystem() {
  // Runners leave their gangs while the board is still there.
  runners_.clear();
}

void EmulatedSystem::At(TimePoint at, std::function<void()> run) {
  actions_.push({std::max(at, now_), ++order_, std::move(run)});
}

double EmulatedSystem::Chance() {
  constexpr double kSteps = 1 << 30;
  return static_cast<double>(random_() >> 34) / kSteps;
}

void EmulatedSystem::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (!actions_.empty() && actions_.top().at <= end) {
    const Action action = actions_.top();
    actions_.pop();
    now_ = action.at;
    action.run();
  }
  now_ = end;
}

// Nodes.

void EmulatedSystem::StartNode(int node) {
  Process& process = processes_[node];
  ++process.life;
  process.held.clear();
  process.woken_for = TimePoint();
  process.frozen_until = TimePoint();
  dispatch::NodeOptions options;
  options.name = absl::StrCat("n", node, "/", process.life);
  process.node = std::make_unique<dispatch::Node>(options);
  Reduce(node, dispatch::Woken());
}

void EmulatedSystem::KillNode(int node, Duration down) {
  Process& process = processes_[node];
  ++process.life;
  process.node = nullptr;
  process.ready = false;
  At(now_ + down, [this, node, life = process.life] {
    if (processes_[node].life == life) StartNode(node);
  });
}

void EmulatedSystem::FreezeNode(int node, Duration time) {
  Process& process = processes_[node];
  if (process.node == nullptr) return;
  process.frozen_until = now_ + time;
  At(process.frozen_until, [this, node, life = process.life] {
    if (processes_[node].life != life) return;
    std::vector<dispatch::EventBody> held = std::move(processes_[node].held);
    processes_[node].held.clear();
    for (dispatch::EventBody& body : held) Reduce(node, std::move(body));
  });
}

void EmulatedSystem::StopNode(int node) {
  if (processes_[node].node != nullptr) Reduce(node, dispatch::StopAsked());
}

int EmulatedSystem::leader() const {
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const auto& node = processes_[i].node;
    if (node != nullptr && node->leads()) return static_cast<int>(i);
  }
  return -1;
}

void EmulatedSystem::Deliver(int node, int life, dispatch::EventBody body) {
  Process& process = processes_[node];
  if (process.life != life || process.node == nullptr) return;
  if (now_ < process.frozen_until) {
    process.held.push_back(std::move(body));
    return;
  }
  Reduce(node, std::move(body));
}

void EmulatedSystem::Reduce(int node, dispatch::EventBody body) {
  Process& process = processes_[node];
  if (process.node == nullptr) return;
  const int life = process.life;
  const dispatch::Effects effects =
      process.node->Reduce({now_, kWallStart + now_.ms(), std::move(body)});
  for (const dispatch::Effect& effect : effects) Perform(node, effect);
  if (processes_[node].life != life) return;
  const TimePoint next = std::max(process.node->next_at(), now_ + Duration(1));
  const bool comes_before =
      process.woken_for > now_ && process.woken_for <= next;
  if (next >= dispatch::kNever || comes_before) return;
  process.woken_for = next;
  At(next, [this, node, life, next] {
    Process& later = processes_[node];
    if (later.life == life && later.woken_for == next) {
      later.woken_for = TimePoint();
    }
    Deliver(node, life, dispatch::Woken());
  });
}

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

// Runners.

void EmulatedSystem::AddRunner(int index, int life) {
  dispatch::RunnerInfo info;
  info.id = RunnerId(absl::StrCat("i-", index, "-", life));
  info.service = dispatch::ServiceId("compute");
  info.address = absl::StrCat("10.0.0.", index, ":80");
  info.room = options_.room;
  info.labels = {"a", absl::StrCat("r1-", index / options_.runners_per_rack)};
  runner_at_[info.address] = info.id;
  runners_[info.id] = std::make_unique<EmulatedRunner>(
      info, options_.bounds,
      [this](const TaskName& name) { return TruthOf(name); }, &board_);
  runners_[info.id]->AdvanceTo(now_);
}

EmulatedRunner* EmulatedSystem::FindRunner(const RunnerId& runner) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return nullptr;
  found->second->AdvanceTo(now_);
  return found->second.get();
}

std::vector<RunnerId> EmulatedSystem::RunnerIds() const {
  std::vector<RunnerId> ids;
  for (const auto& [id, runner] : runners_) ids.push_back(id);
  return ids;
}

void EmulatedSystem::KillRunner(const RunnerId& runner, Duration down) {
  const auto found = runners_.find(runner);
  if (found == runners_.end()) return;
  int index = 0;
  int life = 0;
  std::sscanf(runner.value().c_str(), "i-%d-%d", &index, &life);
  std::unique_ptr<EmulatedRunner> gone = std::move(found->second);
  runners_.erase(found);
  runner_at_.erase(gone->info().address);
  gone = nullptr;
  At(now_ + down, [this, index, life] { AddRunner(index, life + 1); });
}

void EmulatedSystem::DrainRunner(const RunnerId& runner, Duration time) {
  EmulatedRunner* found = FindRunner(runner);
  if (found == nullptr) return;
  found->info().draining = true;
  found->info().leaves_in = time;
  At(now_ + time, [this, runner] { KillRunner(runner, Duration(1000)); });
}

bool EmulatedSystem::Reaches(const RunnerId& runner) const {
  return faults_.unreachable_runners.count(runner) == 0;
}

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

// Callers.

CallId EmulatedSystem::SendCall(
    dispatch::CallArrived call,
    std::function<void(const dispatch::AnswerCall*)> done) {
  last_call_ = last_call_.Next();
  const CallId id = last_call_;
  call.call = id;
  call.key = kKey;
  call.host = kHost;
  calls_[id] = std::move(done);
  const int first = static_cast<int>(random_() % processes_.size());
  int node = first;
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    const int other =
        (first + static_cast<int>(i)) % static_cast<int>(processes_.size());
    if (!processes_[other].ready) continue;
    node = other;
    break;
  }
  const int life = processes_[node].life;
  At(now_ + options_.network,
     [this, node, life, call] { Deliver(node, life, call); });
  At(now_ + kCallerDeadline, [this, id] {
    const auto open = calls_.find(id);
    if (open == calls_.end()) return;
    const auto unanswered = std::move(open->second);
    calls_.erase(open);
    unanswered(nullptr);
  });
  return id;
}

void EmulatedSystem::TakeAnswer(const dispatch::AnswerCall& answer) {
  const auto open = calls_.find(answer.call);
  if (open == calls_.end()) return;
  const auto done = std::move(open->second);
  calls_.erase(open);
  done(&answer);
}

JobId EmulatedSystem::Submit(dispatch::JobSpec spec,
                             std::vector<TaskTruth> truths) {
  spec.id = JobId(absl::StrFormat("%016x", ++last_job_));
  JobWatch watch;
  watch.spec = spec;
  watch.truths = std::move(truths);
  jobs_[spec.id] = std::move(watch);
  SendSubmit(spec.id);
  return spec.id;
}

void EmulatedSystem::SendSubmit(const JobId& job) {
  dispatch::CallArrived call;
  call.kind = dispatch::CallKind::kSubmit;
  const JobWatch& watch = jobs_[job];
  call.path = absl::StrCat(PrefixOf(jobs_[job]), job.value());
  call.spec = watch.spec;
  SendCall(call, [this, job](const dispatch::AnswerCall* answer) {
    JobWatch& submitted = jobs_[job];
    if (answer != nullptr && answer->result == CallResult::kDone) {
      submitted.accepted = true;
      submitted.may_be_taken = true;
      return;
    }
    const bool refused =
        answer != nullptr && answer->result == CallResult::kNotTaken;
    if (!refused) submitted.may_be_taken = true;
    At(now_ + kCallerRetry, [this, job] { SendSubmit(job); });
  });
}

void EmulatedSystem::Cancel(const JobId& job) {
  dispatch::CallArrived call;
  call.kind = dispatch::CallKind::kCancel;
  JobWatch& watch = jobs_[job];
  watch.cancel_sent = true;
  call.path = absl::StrCat(PrefixOf(jobs_[job]), job.value());
  SendCall(call, [](const dispatch::AnswerCall*) {});
}

std::string EmulatedSystem::StateOf(const JobId& job) {
  dispatch::CallArrived call;
  call.kind = dispatch::CallKind::kQuery;
  call.path = absl::StrCat(PrefixOf(jobs_[job]), job.value());
  std::string state;
  bool answered = false;
  SendCall(call, [&](const dispatch::AnswerCall* answer) {
    answered = true;
    if (answer == nullptr) return;
    state = answer->result == CallResult::kGone ? "gone" : answer->state;
  });
  while (!answered) Run(Duration(50));
  return state;
}

// The oracle.

TaskTruth EmulatedSystem::TruthOf(const TaskName& name) const {
  const auto found = jobs_.find(name.job);
  if (found == jobs_.end()) return TaskTruth();
  const JobWatch& watch = found->second;
  TaskTruth truth = watch.truths[name.step];
  const dispatch::StepSpec& step = watch.spec.steps[name.step];
  truth.need = step.need;
  truth.saves_progress = step.saves_progress;
  truth.gang_size = step.gang ? step.count : 0;
  return truth;
}

void EmulatedSystem::Trace(const std::string& what) {
  if (trace_) trace_(absl::StrCat(now_.ms(), " ", what));
}

void EmulatedSystem::Violate(const std::string& what) {
  violations_.push_back(absl::StrCat("at ", now_.ms(), " ms: ", what));
}

void EmulatedSystem::CheckStart(const EmulatedRunner& runner,
                                const dispatch::StartRun& order) {
  const std::string task = ToString(order.task);
  const auto found = jobs_.find(order.task.job);
  if (found == jobs_.end()) {
    Violate(absl::StrCat("start of ", task, ", which nobody handed in"));
    return;
  }
  JobWatch& watch = found->second;
  ++watch.starts[order.task];
  Trace(absl::StrCat("start ", task, " run ", order.run, " at ",
                     runner.info().id.value(), " by epoch ",
                     order.target.epoch.value()));
  if (!watch.may_be_taken) {
    // The answer may be on its way; a refusal must not follow.
    watch.may_be_taken = true;
  }
  if (watch.done.count(order.task) != 0) {
    Violate(
        absl::StrCat("start of ", task, " after its end was noted as done"));
  }
  const dispatch::StepName step_name{order.task.job, order.task.occurrence,
                                     order.task.step};
  if (watch.spec.policy.priority == kAdvisedPriority &&
      order.ticket != ToString(step_name)) {
    Violate(absl::StrCat("start of ", task, " without its ticket"));
  }
  if (watch.failures[order.task] >= kMaxAttempts) {
    Violate(absl::StrCat("start of ", task, " after all of its attempts"));
  }
  for (const int before : watch.spec.steps[order.task.step].after) {
    const dispatch::StepSpec& step = watch.spec.steps[before];
    for (int i = 0; i < step.count; ++i) {
      const TaskName earlier{order.task.job, order.task.occurrence, before, i};
      if (watch.listed_done.count(earlier) == 0) {
        Violate(absl::StrCat("start of ", task, " out of order"));
      }
    }
  }
  (void)runner;
  CheckTwice();
}

void EmulatedSystem::CheckTwice() {
  std::map<TaskName, int> seen;
  for (auto& [id, runner] : runners_) {
    runner->AdvanceTo(now_);
    runner->ForEachRun([this, &seen](const TaskName& name, int run) {
      if (!seen.emplace(name, run).second) {
        Violate(absl::StrCat("two runs of ", ToString(name), " at a time"));
      }
    });
  }
}

void EmulatedSystem::NoteEnds(const dispatch::LookAtRunner& look,
                              const dispatch::RunnerLooked& answer) {
  auto& listed = listed_[look.target.runner];
  // What the look tells as known is taken note of.
  while (!listed.empty() && listed.begin()->first <= look.acknowledged_end) {
    const dispatch::ListedEnd end = listed.begin()->second;
    listed.erase(listed.begin());
    // Its lease was over meanwhile, so that the task may run elsewhere.
    const auto runner = runners_.find(look.target.runner);
    const bool stands =
        runner != runners_.end() && !runner->second->LapsedSince(end.number);
    if (!stands) continue;
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end()) continue;
    Trace(absl::StrCat("noted ", ToString(end.task), " run ", end.run, " ",
                       dispatch::ToString(end.end), " at ",
                       look.target.runner.value()));
    if (end.end == dispatch::RunEnd::kDone) found->second.done.insert(end.task);
    if (end.end == dispatch::RunEnd::kFailed) {
      ++found->second.failures[end.task];
    }
  }
  for (const dispatch::ListedEnd& end : answer.ended) {
    listed.emplace(end.number, end);
    const auto found = jobs_.find(end.task.job);
    if (found == jobs_.end() || end.end != dispatch::RunEnd::kDone) continue;
    const dispatch::StepSpec& step = found->second.spec.steps[end.task.step];
    TaskName member = end.task;
    found->second.listed_done.insert(member);
    for (int i = 0; step.gang && i < step.count; ++i) {
      member.index = i;
      found->second.listed_done.insert(member);
    }
  }
}

}  // namespace limeledge::emulator
