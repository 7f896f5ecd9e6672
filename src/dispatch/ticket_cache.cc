/// @file
/// Asking for tickets and keeping them.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/ticket_cache.h"

#include <utility>

namespace limeledge::dispatch {

std::string TicketCache::TicketFor(const StepName& step,
                                   const IncarnationId& runner,
                                   TimePoint now) const {
  const auto found = steps_.find(step);
  if (found == steps_.end()) return "";
  const auto entry = found->second.find(runner);
  if (entry == found->second.end() || !entry->second.good) return "";
  const bool holds = now < entry->second.valid_until;
  return holds ? entry->second.ticket : "";
}

std::set<IncarnationId> TicketCache::Allowed(const StepName& step,
                                             TimePoint now) const {
  std::set<IncarnationId> allowed;
  const auto found = steps_.find(step);
  if (found == steps_.end()) return allowed;
  for (const auto& [runner, entry] : found->second) {
    const bool holds =
        entry.good && now + options_.ticket_margin < entry.valid_until;
    if (holds) allowed.insert(runner);
  }
  return allowed;
}

void TicketCache::RequestTickets(Context& ctx, const StepName& step,
                                 const std::vector<IncarnationId>& runners) {
  if (under_way_ || ctx.now() < next_at_) return;
  std::map<IncarnationId, Entry>& known = steps_[step];
  RequestAdvice ask;
  ask.step = step;
  for (const IncarnationId& runner : runners) {
    if (ask.runners.size() == options_.runners_per_call) break;
    const auto entry = known.find(runner);
    const bool unknown = entry == known.end();
    const bool runs_out =
        !unknown && entry->second.good &&
        ctx.now() + options_.ticket_margin * 2 >= entry->second.valid_until;
    if (unknown || runs_out) ask.runners.push_back(runner);
  }
  if (ask.runners.empty()) return;
  under_way_ = true;
  ctx.Emit(std::move(ask));
}

void TicketCache::Handle(Context& ctx, const AdviceReceived& answer) {
  under_way_ = false;
  const Duration stood_still = std::exchange(stood_still_, Duration());
  if (!answer.ok) {
    next_at_ = ctx.now() + options_.retry_pause;
    ctx.Log(LogId::kAdviceFailed, {{"step", ToString(answer.step)}});
    return;
  }
  std::map<IncarnationId, Entry>& known = steps_[answer.step];
  for (const IncarnationId& runner : answer.asked) known[runner] = Entry();
  for (const auto& [runner, ticket] : answer.tickets) {
    known[runner] = {true, ticket, ctx.now() + answer.valid - stood_still};
  }
  ctx.Log(LogId::kAdviceTaken,
          {{"step", ToString(answer.step)},
           {"asked", std::to_string(answer.asked.size())},
           {"good", std::to_string(answer.tickets.size())}});
}

void TicketCache::Forget(const JobId& job) {
  auto it = steps_.lower_bound({job, 0, 0});
  while (it != steps_.end() && it->first.job == job) it = steps_.erase(it);
}

}  // namespace limeledge::dispatch
