/// @file
/// Requests and stores tickets.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/ticket_cache.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace limeledge::dispatch {

namespace {

/// Weight of earlier answers in the estimate of the permitted share.
constexpr double kEarlierAnswers = 0.9;

/// A request that can be sent, and the step's place in the order of turns.
struct PossibleRequest {
  RequestAdvice effect;
  bool can_start = false;
  std::int64_t turn = 0;
};

}  // namespace

std::string TicketCache::TicketFor(const StepName& step,
                                   const IncarnationId& runner,
                                   TimePoint now) const {
  const auto found = entries_.find(step);
  if (found == entries_.end()) return "";
  const auto grant = found->second.grants.find(runner);
  if (grant == found->second.grants.end()) return "";
  const bool valid = now < grant->second.valid_until;
  return valid ? grant->second.ticket : "";
}

std::set<IncarnationId> TicketCache::AllowedRunners(const StepName& step,
                                                    TimePoint now) const {
  std::set<IncarnationId> allowed;
  const auto found = entries_.find(step);
  if (found == entries_.end()) return allowed;
  for (const auto& [runner, grant] : found->second.grants) {
    if (now + options_.ticket_margin < grant.valid_until) {
      allowed.insert(runner);
    }
  }
  return allowed;
}

const std::set<IncarnationId>& TicketCache::DeniedRunners(
    const StepName& step) const {
  static const std::set<IncarnationId> none;
  const auto found = entries_.find(step);
  return found == entries_.end() ? none : found->second.denied;
}

bool TicketCache::HasLastingGrant(const StepEntry& step,
                                  const IncarnationId& runner,
                                  TimePoint now) const {
  const auto grant = step.grants.find(runner);
  return grant != step.grants.end() &&
         now + options_.ticket_margin * 2 < grant->second.valid_until;
}

std::size_t TicketCache::LimitOf(const AdviceRequest& request) const {
  if (request.gang) return options_.runners_per_gang_call;
  const Duration each = request.service_time_per_runner;
  if (each <= Duration(0)) return options_.runners_per_call;
  const std::int64_t in_time =
      (options_.max_service_time - request.service_time).ms() / each.ms();
  return std::clamp<std::int64_t>(
      in_time, 1, static_cast<std::int64_t>(options_.runners_per_call));
}

std::vector<IncarnationId> TicketCache::SelectRunners(
    const AdviceRequest& request, const std::vector<AdviceCandidate>& unknown,
    int tasks, bool asked) const {
  // Any of the runners may have free capacity first, or be in the gang's rack;
  // and a step that was denied before is short of runners that allow it.
  const bool asks_all = !request.can_start || request.same_rack || asked;
  const std::size_t limit = LimitOf(request);
  const double share = PermittedShare();
  std::vector<IncarnationId> selected;
  double expected = 0;
  double all_denied = 1;
  for (const AdviceCandidate& candidate : unknown) {
    const bool enough =
        expected >= tasks && all_denied <= options_.max_denial_chance;
    if (selected.size() == limit || (enough && !asks_all)) break;
    selected.push_back(candidate.runner);
    expected += share * std::min(candidate.tasks, tasks);
    all_denied *= 1 - share;
  }
  return selected;
}

std::optional<RequestAdvice> TicketCache::RequestFor(
    TimePoint now, const AdviceRequest& request) {
  StepEntry& entry = entries_[request.step];
  std::vector<AdviceCandidate> unknown;
  int tasks = request.tasks;
  for (const AdviceCandidate& candidate : request.runners) {
    if (entry.denied.count(candidate.runner) != 0) continue;
    if (!HasLastingGrant(entry, candidate.runner, now)) {
      unknown.push_back(candidate);
    } else if (request.can_start) {
      tasks -= candidate.tasks;
    }
  }
  if (unknown.empty() || tasks <= 0) return std::nullopt;
  if (entry.turn == 0) entry.turn = ++turns_;
  RequestAdvice effect;
  effect.step = request.step;
  effect.runners = SelectRunners(request, unknown, tasks, entry.asked);
  effect.service_time =
      request.service_time +
      request.service_time_per_runner * static_cast<int>(effect.runners.size());
  return effect;
}

void TicketCache::RequestTickets(Context& ctx,
                                 const std::vector<AdviceRequest>& requests) {
  if (request_in_flight_ || ctx.now() < next_request_at_) return;
  std::vector<PossibleRequest> possible;
  for (const AdviceRequest& request : requests) {
    std::optional<RequestAdvice> effect = RequestFor(ctx.now(), request);
    if (!effect.has_value()) continue;
    possible.push_back(
        {std::move(*effect), request.can_start, entries_[request.step].turn});
  }
  if (possible.empty()) return;
  others_waiting_ = possible.size() - 1;
  // Keeps the planner's order within both parts.
  const auto in_advance = std::stable_partition(
      possible.begin(), possible.end(),
      [](const PossibleRequest& request) { return request.can_start; });
  if (in_advance != possible.begin()) {
    possible.erase(in_advance, possible.end());
  }
  auto next = possible.begin();
  if (longest_wait_is_next_) {
    next = std::min_element(
        possible.begin(), possible.end(),
        [](const auto& a, const auto& b) { return a.turn < b.turn; });
  }
  longest_wait_is_next_ = !longest_wait_is_next_;
  StepEntry& entry = entries_[next->effect.step];
  entry.turn = ++turns_;
  entry.asked = true;
  request_in_flight_ = true;
  ctx.Emit(std::move(next->effect));
}

void TicketCache::Handle(Context& ctx, const AdviceReceived& answer) {
  request_in_flight_ = false;
  const Duration paused = std::exchange(paused_, Duration());
  if (!answer.ok) {
    next_request_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kAdviceFailed, {{"step", ToString(answer.step)}});
    return;
  }
  StepEntry& entry = entries_[answer.step];
  for (const IncarnationId& runner : answer.asked) {
    if (answer.tickets.count(runner) == 0) entry.denied.insert(runner);
  }
  for (const auto& [runner, ticket] : answer.tickets) {
    entry.grants[runner] = {ticket, ctx.now() + answer.valid - paused};
  }
  recently_asked_ = recently_asked_ * kEarlierAnswers +
                    static_cast<double>(answer.asked.size());
  recently_permitted_ = recently_permitted_ * kEarlierAnswers +
                        static_cast<double>(answer.tickets.size());
  ctx.Log(LogId::kAdviceTaken, {{"step", ToString(answer.step)},
                                {"asked", std::to_string(answer.asked.size())},
                                {"good", std::to_string(answer.tickets.size())},
                                {"others", std::to_string(others_waiting_)}});
}

void TicketCache::Forget(const JobId& job) {
  auto it = entries_.lower_bound({job, 0, 0});
  while (it != entries_.end() && it->first.job == job) it = entries_.erase(it);
}

}  // namespace limeledge::dispatch
