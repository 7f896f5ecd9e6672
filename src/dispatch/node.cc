/// @file
/// Dispatches events to the components of a node.
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

// A node that cannot reach the store for this long reports itself not ready, so
// that the load balancer sends callers to other nodes.
constexpr Duration kReadinessGrace{1500};
// An answer of the store that is at most this old answers a peer's question;
// otherwise the store is probed.
constexpr Duration kPeerEvidenceAge{50};
// A peer's question is answered within this time, whatever the probe shows.
// Shorter than the time for which peers wait.
constexpr Duration kMaxPeerWait{150};

NodeOptions WithStoreLimits(NodeOptions options) {
  options.front_end.store_limits = options.store_limits;
  options.scheduler.writer.limits = options.store_limits;
  options.scheduler.speed_keeper.store_limits = options.store_limits;
  return options;
}

}  // namespace

Node::Node(NodeOptions options)
    : options_(WithStoreLimits(std::move(options))),
      leadership_(options_.leadership, options_.name, &store_timeout_),
      front_end_(options_.front_end, &store_timeout_, &catalog_,
                 options_.admission),
      peers_(options_.peers, options_.instance,
             {options_.peer_address, 0, options_.hall,
              options_.leadership.capacity},
             &store_timeout_),
      evidence_gate_(options_.evidence),
      calls_awaiting_catalog_(options_.max_catalog_wait),
      catalog_(options_.catalog) {
  options_.scheduler.forecasts_capacity =
      options_.admission.use != AdmissionUse::kOff;
}

Effects Node::Reduce(const Event& event) {
  return ReduceAll(event.now, event.wall_ms, {event.body});
}

Effects Node::ReduceAll(TimePoint now, std::int64_t wall_ms,
                        const std::vector<EventBody>& events) {
  Effects effects;
  last_event_at_ = now;
  Context ctx(now, wall_ms, &tickets_, &effects);
  CheckForProcessPause(ctx);
  for (const EventBody& event : events) {
    std::visit([this, &ctx](const auto& body) { Handle(ctx, body); }, event);
  }
  catalog_.Work(ctx, StoreAnswers());
  if (scheduler_ != nullptr) {
    scheduler_->Work(ctx, catalog_);
    load_.Report(ctx, scheduler_->planning_use());
  } else if (catalog_.catalog() != nullptr) {
    leadership_.Follow(ctx);
  }
  UpdateReady(ctx);
  WorkOnPeers(ctx);
  ReleaseHeldCalls(ctx);
  const bool lingers = ctx.now() - shutdown_requested_at_ < options_.linger;
  const bool handed_over = scheduler_ == nullptr && front_end_.idle() &&
                           evidence_gate_.empty() &&
                           calls_awaiting_catalog_.empty();
  const bool timed_out =
      ctx.now() - shutdown_requested_at_ >= options_.max_shutdown_time;
  const bool done = shutting_down_ && !lingers && (handed_over || timed_out);
  if (done && !exited_) {
    exited_ = true;
    ctx.Emit(Exit{});
  }
  RecordStoreRequests(effects);
  next_event_due_at_ = std::max(now, next_at());
  return effects;
}

void Node::WorkOnPeers(Context& ctx) {
  // While callers wait, a single call without an answer is reason enough to ask
  // peers.
  const bool callers_wait = !evidence_gate_.empty() || !front_end_.idle() ||
                            !calls_awaiting_catalog_.empty();
  const bool doubtful =
      callers_wait && store_timeout_.failing_since().has_value();
  peers_.Work(ctx, StoreAnswers() && !doubtful);
  front_end_.SetStoreOutage(peers_.outage(), peers_.serving_peer());
  RespondToPeers(ctx);
  if (!standbys_.has_value()) return;
  standbys_->Work(ctx, StoreAnswers());
  if (scheduler_->store_refuses()) {
    standbys_->OfferLease(ctx, scheduler_->epoch());
  }
  scheduler_->SetNodeCount(standbys_->nodes());
}

void Node::RespondToPeers(Context& ctx) {
  const TimePoint answered_at = store_timeout_.answered_at();
  std::vector<WaitingPeer> waiting;
  for (const WaitingPeer& peer : waiting_peers_) {
    const bool known = !StoreAnswers() ||
                       answered_at >= peer.since - kPeerEvidenceAge ||
                       ctx.now() - peer.since >= kMaxPeerWait;
    if (known) {
      ctx.Emit(
          RespondToPeer{peer.call, StoreAnswers(), ctx.now() - answered_at});
    } else {
      waiting.push_back(peer);
    }
  }
  waiting_peers_ = std::move(waiting);
}

void Node::ReleaseHeldCalls(Context& ctx) {
  const bool known_lost =
      !StoreAnswers() || peers_.outage() == StoreOutage::kLocal;
  for (const EvidenceGate::ReleasedCall& released : evidence_gate_.Release(
           ctx.now(), store_timeout_.answered_at(), known_lost)) {
    HandleCall(ctx, released.call, released.store_answers);
  }
  const auto is_decided = [this](const HeldCalls::HeldCall& held) {
    return !AwaitsCatalog(held.call);
  };
  for (const HeldCalls::HeldCall& released :
       calls_awaiting_catalog_.Release(ctx.now(), is_decided)) {
    DecideCall(ctx, released.call, StoreAnswers());
  }
}

bool Node::AwaitsCatalog(const CallReceived& call) const {
  if (!front_end_.IsOutdatedFor(call) || front_end_.CanForward(call)) {
    return false;
  }
  return StoreAnswers() || peers_.outage() == StoreOutage::kUnknown;
}

void Node::HandleCall(Context& ctx, const CallReceived& call,
                      bool store_answers) {
  if (AwaitsCatalog(call)) {
    calls_awaiting_catalog_.Hold(ctx.now(), call);
  } else {
    DecideCall(ctx, call, store_answers);
  }
}

void Node::DecideCall(Context& ctx, const CallReceived& call,
                      bool store_answers) {
  KnownSummary known;
  if (scheduler_ != nullptr) {
    known = {scheduler_->forecast(), scheduler_->confirmed_at()};
  } else if (leadership_.record().forecast.has_value()) {
    known = {&*leadership_.record().forecast,
             leadership_.record_written_after()};
  }
  front_end_.SetForecast(known);
  front_end_.SetNodeCount(NodeCount());
  front_end_.Handle(ctx, call, store_answers);
  // The forecast may change before the next call.
  front_end_.SetForecast({});
}

void Node::CheckForProcessPause(Context& ctx) {
  if (!next_event_due_at_.has_value()) return;
  const Duration late = ctx.now() - *next_event_due_at_;
  if (late < options_.max_pause) return;
  front_end_.HandleProcessPause(ctx.now(), late);
  if (scheduler_ != nullptr) scheduler_->HandleProcessPause(ctx, late);
}

void Node::RecordStoreRequests(const Effects& effects) {
  for (const Effect& effect : effects) {
    if (const auto* commit = std::get_if<CommitRows>(&effect)) {
      store_timeout_.Sent(commit->ticket, last_event_at_);
    } else if (const auto* read = std::get_if<ReadRows>(&effect)) {
      store_timeout_.Sent(read->ticket, last_event_at_);
    }
  }
}

void Node::RecordStoreResponse(Ticket ticket, StoreOutcome outcome) {
  const bool answered = IsAnswered(outcome);
  store_timeout_.Ended(ticket, last_event_at_, answered);
  if (!answered) leadership_.EndPause(last_event_at_);
}

TimePoint Node::next_at() const {
  TimePoint next = kNever;
  if (scheduler_ != nullptr) {
    next = scheduler_->next_at();
  } else if (catalog_.catalog() != nullptr) {
    next = leadership_.next_at();
  }
  next =
      std::min({next, catalog_.next_at(), peers_.next_at(),
                evidence_gate_.next_at(), calls_awaiting_catalog_.next_at()});
  if (standbys_.has_value()) next = std::min(next, standbys_->next_at());
  if (!waiting_peers_.empty()) {
    next = std::min(next, waiting_peers_.front().since + kMaxPeerWait);
  }
  if (shutting_down_ && !exited_) {
    const bool lingers =
        shutdown_requested_at_ + options_.linger > last_event_at_;
    next = std::min(
        next, shutdown_requested_at_ +
                  (lingers ? options_.linger : options_.max_shutdown_time));
  }
  return next;
}

std::int64_t Node::NodeCount() const {
  return standbys_.has_value() ? standbys_->nodes()
                               : leadership_.record().nodes;
}

bool Node::StoreAnswers() const {
  const bool reachable = scheduler_ != nullptr ? scheduler_->store_answers()
                                               : leadership_.store_answers();
  return reachable;
}

void Node::UpdateReady(Context& ctx) {
  const bool catalog_current =
      catalog_.answers() ||
      ctx.now() - catalog_.confirmed_at() < kReadinessGrace;
  const bool ready =
      catalog_.catalog() != nullptr && !shutting_down_ && catalog_current;
  if (ready == ready_) return;
  ready_ = ready;
  ctx.Emit(SetReady{ready});
  ctx.Log(ready ? LogId::kReady : LogId::kNotReady, {});
}

void Node::Handle(Context&, const TimerFired&) {}

void Node::Handle(Context& ctx, const CommitCompleted& event) {
  RecordStoreResponse(event.ticket, event.outcome);
  if (front_end_.Owns(event.ticket)) {
    front_end_.Handle(ctx, event, StoreAnswers());
  } else if (scheduler_ != nullptr && scheduler_->Owns(event.ticket)) {
    CheckLease(ctx, scheduler_->Handle(ctx, event));
  } else if (scheduler_ == nullptr && leadership_.Owns(event.ticket)) {
    const auto claimed = leadership_.Handle(ctx, event);
    if (claimed.has_value()) BecomeLeader(ctx, *claimed);
  } else if (peers_.Owns(event.ticket)) {
    peers_.Handle(ctx, event);
  }
}

void Node::Handle(Context& ctx, const ReadCompleted& event) {
  RecordStoreResponse(event.ticket, event.outcome);
  if (front_end_.Owns(event.ticket)) {
    front_end_.Handle(ctx, event, StoreAnswers());
  } else if (scheduler_ != nullptr && scheduler_->Owns(event.ticket)) {
    scheduler_->Handle(ctx, event);
  } else if (scheduler_ == nullptr && leadership_.Owns(event.ticket)) {
    const bool answered = leadership_.store_answers();
    leadership_.Handle(ctx, event);
    catalog_.SetKnownVersion(ctx.now(), leadership_.record().catalog);
    catalog_.SetKnownChange(ctx.now(), leadership_.record().catalog_revision);
    if (answered != leadership_.store_answers()) {
      ctx.Log(answered ? LogId::kStoreLost : LogId::kStoreBack, {});
    }
  } else if (standbys_.has_value() && standbys_->Owns(event.ticket)) {
    standbys_->Handle(ctx, event);
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
  if (!catalog_.answers()) leadership_.EndPause(ctx.now());
}

void Node::Handle(Context& ctx, const RunnersListed& event) {
  if (scheduler_ != nullptr) scheduler_->Handle(ctx, event);
}

void Node::Handle(Context& ctx, const RunnerPolled& event) {
  if (scheduler_ != nullptr) CheckLease(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const StartRunCompleted& event) {
  if (scheduler_ != nullptr) CheckLease(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const StopRunCompleted& event) {
  if (scheduler_ != nullptr) CheckLease(ctx, scheduler_->Handle(ctx, event));
}

void Node::Handle(Context& ctx, const AdviceReceived& event) {
  if (scheduler_ != nullptr) scheduler_->Handle(ctx, event);
}

void Node::Handle(Context& ctx, const PeerReplied& event) {
  if (standbys_.has_value()) standbys_->Handle(event);
  peers_.Handle(ctx, event);
}

void Node::Handle(Context& ctx, const PeerQueried& event) {
  switch (event.request) {
    case PeerRequest::kAppointStandby:
      leadership_.Appoint(ctx.now());
      break;
    case PeerRequest::kOfferLease:
      leadership_.AcceptOffer(ctx.now(), event.epoch);
      break;
    case PeerRequest::kNone:
      break;
  }
  waiting_peers_.push_back({event.call, ctx.now()});
  leadership_.Probe(ctx.now());
}

void Node::Handle(Context& ctx, const CallReceived& event) {
  // A submit whose answer is lost may have been stored. A read that gets no
  // answer has done nothing, and shows as much as a probe would.
  const bool uncertain =
      event.kind == CallKind::kSubmit && scheduler_ == nullptr &&
      leadership_.is_backup() && StoreAnswers() &&
      !evidence_gate_.IsFresh(ctx.now(), store_timeout_.answered_at());
  if (uncertain) {
    evidence_gate_.Hold(ctx.now(), event);
    leadership_.Probe(ctx.now());
    return;
  }
  if (!StoreAnswers()) leadership_.Probe(ctx.now());
  HandleCall(ctx, event, StoreAnswers());
}

void Node::Handle(Context& ctx, const ForwardCompleted& event) {
  front_end_.Handle(ctx, event);
  // The caller has seen the effects of that version here.
  catalog_.SetKnownVersion(ctx.now(), event.version);
}

void Node::Handle(Context& ctx, const ShutdownRequested&) {
  if (shutting_down_) return;
  shutting_down_ = true;
  shutdown_requested_at_ = ctx.now();
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
  json["stopping"] = shutting_down_;
  json["store_answers"] = StoreAnswers();
  json["store_lost"] = ToString(peers_.outage());
  json["nodes"] = Json::Int64(leadership_.record().nodes);
  json["backup"] = !leads() && leadership_.is_backup();
  json["standbys"] = Json::Value(Json::arrayValue);
  for (const std::string& address : standbys()) {
    json["standbys"].append(address);
  }
  const Catalog* catalog = catalog_.catalog();
  if (catalog != nullptr) {
    json["catalog"] = Json::Int64(catalog->version.value());
    json["known_catalog"] = Json::Int64(catalog_.known_version().value());
    json["catalog_age_ms"] =
        Json::Int64((ctx.now() - catalog_.confirmed_at()).ms());
  }
  if (scheduler_ != nullptr) json["scheduler"] = scheduler_->Dump(ctx.now());
  ctx.Emit(RespondWithState{event.call, WriteJson(json)});
}

void Node::BecomeLeader(Context& ctx, const Leadership::Claimed& claimed) {
  // What was recorded before says nothing about the scheduler.
  load_ = ReducerLoad();
  scheduler_ = std::make_unique<Scheduler>(options_.scheduler, claimed,
                                           &store_timeout_, claimed.sent_at);
  // The process may have been paused while the response to the claim waited.
  const Duration late = ctx.now() - claimed.sent_at;
  if (late >= options_.max_pause) scheduler_->HandleProcessPause(ctx, late);
  standbys_.emplace(options_.standbys, options_.peer_address, &store_timeout_,
                    ctx.now());
  ctx.Log(LogId::kLeaderClaimed,
          {{"epoch", std::to_string(claimed.record.epoch.value())},
           {"previous_holder", claimed.previous_holder}});
  if (shutting_down_) scheduler_->Release();
}

void Node::StepDown(Context& ctx, const char* reason) {
  ctx.Log(LogId::kLeaderLost,
          {{"epoch", std::to_string(scheduler_->epoch().value())},
           {"reason", reason}});
  leadership_.Reset(ctx.now(), scheduler_->store_answers());
  scheduler_ = nullptr;
  standbys_.reset();
}

void Node::CheckLease(Context& ctx, Scheduler::LeaseStatus status) {
  switch (status) {
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
