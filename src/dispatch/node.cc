/// @file
/// One reducer over all events of a process.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/node.h"

#include <json/json.h>

#include <algorithm>
#include <utility>

#include "codec/json.h"

namespace limeledge::dispatch {

namespace {

// A process that can not reach the store for this long sends callers to others.
constexpr Duration kReadyGrace{1500};

}  // namespace

Node::Node(NodeOptions options)
    : options_(std::move(options)),
      leadership_(options_.leadership, options_.name, &patience_),
      front_end_(options_.front_end, &patience_),
      peers_(options_.peers, options_.instance, options_.peer_address,
             &patience_),
      catalog_(options_.catalog) {}

Effects Node::Reduce(const Event& event) {
  return ReduceAll(event.now, event.wall_ms, {event.body});
}

Effects Node::ReduceAll(TimePoint now, std::int64_t wall_ms,
                        const std::vector<EventBody>& events) {
  Effects effects;
  last_event_at_ = now;
  Context ctx(now, wall_ms, &tickets_, &effects);
  CheckStoodStill(ctx);
  for (const EventBody& event : events) {
    std::visit([this, &ctx](const auto& body) { Handle(ctx, body); }, event);
  }
  catalog_.Work(ctx);
  if (scheduler_ != nullptr) {
    scheduler_->Work(ctx, *catalog_.catalog());
  } else if (catalog_.catalog() != nullptr) {
    leadership_.Follow(ctx);
  }
  UpdateReady(ctx);
  peers_.Work(ctx, StoreAnswers());
  front_end_.NoteStoreLoss(peers_.outage());
  const bool lingers = ctx.now() - stop_asked_at_ < options_.linger;
  const bool handed_over = scheduler_ == nullptr && front_end_.idle();
  const bool must_go = ctx.now() - stop_asked_at_ >= options_.max_shutdown_time;
  const bool done = stopping_ && !lingers && (handed_over || must_go);
  if (done && !exited_) {
    exited_ = true;
    ctx.Emit(Exit{});
  }
  WatchStore(effects);
  due_at_ = std::max(now, next_at());
  return effects;
}

void Node::CheckStoodStill(Context& ctx) {
  if (scheduler_ == nullptr || !due_at_.has_value()) return;
  const Duration late = ctx.now() - *due_at_;
  if (late >= options_.stood_still) scheduler_->HandleProcessPause(ctx, late);
}

void Node::WatchStore(const Effects& effects) {
  for (const Effect& effect : effects) {
    if (const auto* commit = std::get_if<CommitRows>(&effect)) {
      patience_.Sent(commit->ticket, last_event_at_);
    } else if (const auto* read = std::get_if<ReadRows>(&effect)) {
      patience_.Sent(read->ticket, last_event_at_);
    }
  }
}

void Node::NoteStoreAnswer(Ticket ticket, StoreOutcome outcome) {
  const bool answered =
      outcome == StoreOutcome::kDone || outcome == StoreOutcome::kConflict;
  patience_.Ended(ticket, last_event_at_, answered);
}

TimePoint Node::next_at() const {
  TimePoint next = kNever;
  if (scheduler_ != nullptr) {
    next = scheduler_->next_at();
  } else if (catalog_.catalog() != nullptr) {
    next = leadership_.next_at();
  }
  next = std::min({next, catalog_.next_at(), peers_.next_at()});
  if (stopping_ && !exited_) {
    const bool lingers = stop_asked_at_ + options_.linger > last_event_at_;
    next =
        std::min(next, stop_asked_at_ + (lingers ? options_.linger
                                                 : options_.max_shutdown_time));
  }
  return next;
}

bool Node::StoreAnswers() const {
  const bool calls = scheduler_ != nullptr ? scheduler_->store_answers()
                                           : leadership_.store_answers();
  return calls;
}

void Node::UpdateReady(Context& ctx) {
  const bool in_touch =
      catalog_.answers() || ctx.now() - catalog_.confirmed_at() < kReadyGrace;
  const bool ready = catalog_.catalog() != nullptr && !stopping_ && in_touch;
  if (ready == ready_) return;
  ready_ = ready;
  ctx.Emit(SetReady{ready});
  ctx.Log(ready ? LogId::kReady : LogId::kNotReady, {});
}

void Node::Handle(Context&, const TimerFired&) {}

void Node::Handle(Context& ctx, const CommitCompleted& event) {
  NoteStoreAnswer(event.ticket, event.outcome);
  if (front_end_.Owns(event.ticket)) {
    front_end_.Handle(ctx, event, StoreAnswers());
  } else if (scheduler_ != nullptr && scheduler_->Owns(event.ticket)) {
    Obey(ctx, scheduler_->Handle(ctx, event));
  } else if (scheduler_ == nullptr && leadership_.Owns(event.ticket)) {
    const auto claimed = leadership_.Handle(ctx, event);
    if (claimed.has_value()) Lead(ctx, *claimed);
  } else if (peers_.Owns(event.ticket)) {
    peers_.Handle(ctx, event);
  }
}

void Node::Handle(Context& ctx, const ReadCompleted& event) {
  NoteStoreAnswer(event.ticket, event.outcome);
  if (front_end_.Owns(event.ticket)) {
    front_end_.Handle(ctx, event, StoreAnswers());
  } else if (scheduler_ != nullptr && scheduler_->Owns(event.ticket)) {
    scheduler_->Handle(ctx, event);
  } else if (scheduler_ == nullptr && leadership_.Owns(event.ticket)) {
    const bool answered = leadership_.store_answers();
    leadership_.Handle(ctx, event);
    if (answered != leadership_.store_answers()) {
      ctx.Log(answered ? LogId::kStoreLost : LogId::kStoreBack, {});
    }
  } else if (peers_.Owns(event.ticket)) {
    peers_.Handle(ctx, event);
  }
}

void Node::Handle(Context& ctx, const ChangesReceived& event) {
  if (scheduler_ != nullptr && scheduler_->Owns(event.ticket)) {
    scheduler_->Handle(ctx, event);
  }
}

void Node::Handle(Context& ctx, const CatalogReceived& event) {
  catalog_.Handle(ctx, event);
}

void Node::Handle(Context& ctx, const RunnersListed& event) {
  if (scheduler_ != nullptr) scheduler_->Handle(ctx, event);
}

void Node::Handle(Context& ctx, const RunnerPolled& event) {
  if (scheduler_ != nullptr) Obey(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const StartRunCompleted& event) {
  if (scheduler_ != nullptr) Obey(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const StopRunCompleted& event) {
  if (scheduler_ != nullptr) Obey(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const AdviceReceived& event) {
  if (scheduler_ != nullptr) scheduler_->Handle(ctx, event);
}

void Node::Handle(Context& ctx, const PeerReplied& event) {
  peers_.Handle(ctx, event);
}

void Node::Handle(Context& ctx, const CallReceived& event) {
  front_end_.Handle(ctx, event, catalog_.catalog(), catalog_.confirmed_at(),
                    StoreAnswers());
}

void Node::Handle(Context& ctx, const ShutdownRequested&) {
  if (stopping_) return;
  stopping_ = true;
  stop_asked_at_ = ctx.now();
  leadership_.Retire();
  ctx.Log(LogId::kStopAsked, {{"leads", leads() ? "yes" : "no"}});
  if (scheduler_ != nullptr) scheduler_->Release();
}

void Node::Handle(Context& ctx, const SettingsReloaded&) {
  ctx.Log(LogId::kSettingsReloaded, {});
}

void Node::Handle(Context& ctx, const StateRequested& event) {
  Json::Value json;
  json["name"] = options_.name;
  json["leads"] = leads();
  json["ready"] = ready_;
  json["stopping"] = stopping_;
  json["store_answers"] = StoreAnswers();
  json["store_lost"] = ToString(peers_.outage());
  const Catalog* catalog = catalog_.catalog();
  if (catalog != nullptr) {
    json["catalog"] = Json::Int64(catalog->version.value());
    json["catalog_age_ms"] =
        Json::Int64((ctx.now() - catalog_.confirmed_at()).ms());
  }
  if (scheduler_ != nullptr) json["scheduler"] = scheduler_->Dump(ctx.now());
  ctx.Emit(RespondWithState{event.call, WriteJson(json)});
}

void Node::Lead(Context& ctx, const Leadership::Claimed& claimed) {
  scheduler_ = std::make_unique<Scheduler>(options_.scheduler, claimed,
                                           &patience_, claimed.sent_at);
  // The claim's answer may have waited for a process that stood still.
  const Duration late = ctx.now() - claimed.sent_at;
  if (late >= options_.stood_still) scheduler_->HandleProcessPause(ctx, late);
  ctx.Log(LogId::kLeaderClaimed,
          {{"epoch", std::to_string(claimed.record.epoch.value())}});
  if (stopping_) scheduler_->Release();
}

void Node::StepDown(Context& ctx, const char* reason) {
  ctx.Log(LogId::kLeaderLost,
          {{"epoch", std::to_string(scheduler_->epoch().value())},
           {"reason", reason}});
  scheduler_ = nullptr;
  leadership_.Reset(ctx.now());
}

void Node::Obey(Context& ctx, Scheduler::LeaseStatus verdict) {
  switch (verdict) {
    case Scheduler::LeaseStatus::kHeld:
      return;
    case Scheduler::LeaseStatus::kDeposed:
      StepDown(ctx, "another node leads");
      return;
    case Scheduler::LeaseStatus::kReleased:
      StepDown(ctx, "released");
      return;
  }
}

}  // namespace limeledge::dispatch
