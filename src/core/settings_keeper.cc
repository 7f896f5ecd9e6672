/// @file
/// Settings versions.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/settings_keeper.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "codec/row_codec.h"
#include "settings/reader.h"

namespace limeledge {

namespace {

constexpr char kSourceName[] = "settings";
constexpr char kInitialAuthor[] = "initial";
constexpr CallId kNobody{0};
constexpr Duration kFetchInterval{500};
constexpr Duration kDoubt{1000};
constexpr Duration kRetryAfter{1000};

std::string VersionKey(SettingsVersion version) {
  return absl::StrCat("settings/", version.value());
}

absl::Status Raced(SettingsVersion base, SettingsVersion present) {
  return absl::AbortedError(absl::StrCat(
      "conflict: you edited version ", base.value(), ", but version ",
      present.value(),
      " is accepted by now; read it, redo your change and apply again"));
}

}  // namespace

SettingsKeeper::SettingsKeeper(std::string initial_text)
    : initial_text_(std::move(initial_text)) {}

bool SettingsKeeper::Offer(Context& ctx, const SettingsCopy& copy) {
  Shared& shared = ctx.shared;
  if (copy.version <= shared.follower.version()) return false;
  Findings findings(kSourceName);
  std::shared_ptr<const Settings> settings = ReadSettings(copy.text, &findings);
  if (settings == nullptr) {
    ctx.Log(LogId::kSettingsRejected,
            {{"version", absl::StrCat(copy.version.value())},
             {"findings", std::string(findings.ToStatus().message())}});
    return false;
  }
  shared.follower.Offer(copy.version, copy.text);
  shared.settings = settings;
  shared.system = settings->System();
  ctx.Log(LogId::kSettingsInForce,
          {{"version", absl::StrCat(copy.version.value())}});
  ctx.Emit(SettingsInForce{copy.version, std::move(settings)});
  return true;
}

void SettingsKeeper::OnProposed(Context& ctx,
                                const SettingsProposed& proposed) {
  Findings findings(kSourceName);
  if (ReadSettings(proposed.text, &findings) == nullptr) {
    ctx.Reply(proposed.call,
              Failure{absl::InvalidArgumentError("the settings are faulty"),
                      findings.all(), Duration()});
    return;
  }
  if (!ctx.shared.mirror.loaded()) {
    ctx.Reply(proposed.call,
              Failure{absl::UnavailableError(
                          "not run: this instance has not read the table yet"),
                      {},
                      kRetryAfter});
    return;
  }
  const SettingsVersion present = ctx.shared.follower.version();
  if (proposed.base != present) {
    ctx.Log(LogId::kSettingsConflict, {{"author", proposed.author}});
    ctx.Fail(proposed.call, Raced(proposed.base, present));
    return;
  }
  open_[proposed.call] = ctx.now + ctx.shared.system.store_wait + kDoubt;
  Push(ctx, proposed.call, {present.Next(), proposed.text}, proposed.author,
       ctx.shared.mirror.settings_row_version());
}

void SettingsKeeper::OnWritten(Context& ctx, const SettingsWrite& write,
                               const FinishedWrite& finished) {
  if (write.call == kNobody) {
    initial_in_flight_ = false;
    return;
  }
  if (open_.erase(write.call) == 0) return;
  switch (finished.outcome) {
    case IntentOutcome::kCommitted:
      ctx.Reply(write.call, SettingsView{write.copy, {}});
      return;
    case IntentOutcome::kConflict:
      ctx.Log(LogId::kSettingsConflict, {});
      ctx.Fail(write.call,
               Raced(SettingsVersion(write.copy.version.value() - 1),
                     ctx.shared.follower.version()));
      return;
    case IntentOutcome::kNotWritten:
      ctx.Reply(write.call,
                Failure{absl::UnavailableError(
                            "not run: the table service is unavailable, the "
                            "settings were not stored"),
                        {},
                        kRetryAfter});
      return;
    case IntentOutcome::kUnknown:
      ctx.Fail(write.call,
               absl::DeadlineExceededError(
                   "unknown: read the settings to learn the outcome"));
      return;
  }
}

void SettingsKeeper::OnAsked(Context& ctx, const SettingsAsked& asked) const {
  const Shared& shared = ctx.shared;
  if (!shared.follower.ready()) {
    ctx.Fail(asked.call,
             absl::UnavailableError("no settings are in force here yet"));
    return;
  }
  SettingsView view;
  view.copy = {shared.follower.version(), shared.follower.text()};
  view.in_force.push_back({shared.self.id, shared.follower.version(), true});
  for (const auto& [id, heartbeat] : shared.heard) {
    const MemberState state = shared.members.StateOf(ctx.now, id);
    if (state == MemberState::kGone) continue;
    view.in_force.push_back(
        {id, heartbeat.settings, state == MemberState::kLive});
  }
  ctx.Reply(asked.call, std::move(view));
}

void SettingsKeeper::OnHistoryAsked(Context& ctx,
                                    const SettingsHistoryAsked& asked) const {
  FetchRows fetch;
  fetch.call = asked.call;
  const std::int64_t newest = ctx.shared.follower.version().value();
  const std::int64_t oldest =
      std::max<std::int64_t>(1, newest - asked.count + 1);
  for (std::int64_t version = newest; version >= oldest; --version) {
    fetch.keys.push_back(VersionKey(SettingsVersion(version)));
  }
  ctx.Emit(std::move(fetch));
}

void SettingsKeeper::OnFetched(Context& ctx, const RowsFetched& fetched) {
  if (!fetched.rows.has_value()) {
    ctx.Reply(
        fetched.call,
        Failure{absl::UnavailableError("the table service is unavailable"),
                {},
                kRetryAfter});
    return;
  }
  ctx.Reply(fetched.call, SettingsHistory{*fetched.rows});
}

void SettingsKeeper::OnCopyAsked(Context& ctx,
                                 const SettingsCopyAsked& asked) const {
  ctx.Reply(asked.call, SettingsCopy{ctx.shared.follower.version(),
                                     ctx.shared.follower.text()});
}

bool SettingsKeeper::OnCopyArrived(Context& ctx,
                                   const SettingsCopyArrived& arrived) {
  if (!arrived.copy.has_value()) return false;
  if (!Offer(ctx, *arrived.copy)) return false;
  ctx.Log(LogId::kSettingsFromPeer, {{"peer", arrived.peer.value()}});
  return true;
}

void SettingsKeeper::OnTick(Context& ctx) {
  for (auto it = open_.begin(); it != open_.end();) {
    if (ctx.now < it->second) {
      ++it;
      continue;
    }
    ctx.Fail(it->first, absl::DeadlineExceededError(
                            "unknown: the table service did not answer; read "
                            "the settings to learn the outcome"));
    it = open_.erase(it);
  }
  Shared& shared = ctx.shared;
  const bool none = shared.mirror.loaded() && !shared.follower.ready() &&
                    shared.mirror.settings_row_version() == Revision(0);
  if (none && !initial_text_.empty() && !initial_in_flight_) {
    initial_in_flight_ = true;
    Push(ctx, kNobody, {SettingsVersion(1), initial_text_}, kInitialAuthor,
         Revision(0));
  }
  if (!shared.follower.behind()) return;
  if (ctx.now - fetched_at_ < kFetchInterval) return;
  fetched_at_ = ctx.now;
  ctx.store.ReadSoon();
  for (const auto& [id, heartbeat] : shared.heard) {
    if (heartbeat.settings <= shared.follower.version()) continue;
    const auto entry = shared.entries.find(id);
    if (entry == shared.entries.end()) continue;
    ctx.Emit(FetchSettings{id, entry->second.peer_address});
    return;
  }
}

void SettingsKeeper::Push(Context& ctx, CallId call, const SettingsCopy& copy,
                          const std::string& author, Revision base) {
  const std::string value = EncodeSettingsRow({copy, author, ctx.wall_ms});
  WriteRequest request;
  request.priority = WritePriority::kSettings;
  request.conditions = {{kCurrentSettingsKey, base}};
  request.writes = {{kCurrentSettingsKey, value, false},
                    {VersionKey(copy.version), value, false}};
  request.give_up = ctx.now + ctx.shared.system.store_wait;
  request.purpose = SettingsWrite{call, copy};
  ctx.store.Push(std::move(request));
}

}  // namespace limeledge
