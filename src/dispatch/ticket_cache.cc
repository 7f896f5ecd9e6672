/// @file
/// Requests and stores tickets.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/ticket_cache.h"

#include <utility>

namespace limeledge::dispatch {

std::string TicketCache::TicketFor(const StepName& step,
                                   const IncarnationId& runner,
                                   TimePoint now) const {
  const auto found = entries_.find(step);
  if (found == entries_.end()) return "";
  const auto entry = found->second.find(runner);
  if (entry == found->second.end() || !entry->second.permitted) return "";
  const bool valid = now < entry->second.valid_until;
  return valid ? entry->second.ticket : "";
}

std::set<IncarnationId> TicketCache::AllowedRunners(const StepName& step,
                                                    TimePoint now) const {
  std::set<IncarnationId> allowed;
  const auto found = entries_.find(step);
  if (found == entries_.end()) return allowed;
  for (const auto& [runner, entry] : found->second) {
    const bool valid =
        entry.permitted && now + options_.ticket_margin < entry.valid_until;
    if (valid) allowed.insert(runner);
  }
  return allowed;
}

void TicketCache::RequestTickets(Context& ctx, const StepName& step,
                                 const std::vector<IncarnationId>& runners) {
  if (request_in_flight_ || ctx.now() < next_request_at_) return;
  std::map<IncarnationId, Entry>& entries = entries_[step];
  RequestAdvice request;
  request.step = step;
  for (const IncarnationId& runner : runners) {
    if (request.runners.size() == options_.runners_per_call) break;
    const auto entry = entries.find(runner);
    const bool unknown = entry == entries.end();
    const bool expires_soon =
        !unknown && entry->second.permitted &&
        ctx.now() + options_.ticket_margin * 2 >= entry->second.valid_until;
    if (unknown || expires_soon) request.runners.push_back(runner);
  }
  if (request.runners.empty()) return;
  request_in_flight_ = true;
  ctx.Emit(std::move(request));
}

void TicketCache::Handle(Context& ctx, const AdviceReceived& answer) {
  request_in_flight_ = false;
  const Duration paused = std::exchange(paused_, Duration());
  if (!answer.ok) {
    next_request_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kAdviceFailed, {{"step", ToString(answer.step)}});
    return;
  }
  std::map<IncarnationId, Entry>& entries = entries_[answer.step];
  for (const IncarnationId& runner : answer.asked) entries[runner] = Entry();
  for (const auto& [runner, ticket] : answer.tickets) {
    entries[runner] = {true, ticket, ctx.now() + answer.valid - paused};
  }
  ctx.Log(LogId::kAdviceTaken,
          {{"step", ToString(answer.step)},
           {"asked", std::to_string(answer.asked.size())},
           {"good", std::to_string(answer.tickets.size())}});
}

void TicketCache::Forget(const JobId& job) {
  auto it = entries_.lower_bound({job, 0, 0});
  while (it != entries_.end() && it->first.job == job) it = entries_.erase(it);
}

}  // namespace limeledge::dispatch
