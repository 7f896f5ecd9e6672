/// @file
/// The catalogue of log events.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "core/log_event.h"

namespace limeledge {

const char* ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

const std::vector<LogCatalogueEntry>& LogCatalogue() {
  constexpr LogLevel kInfo = LogLevel::kInfo;
  constexpr LogLevel kWarning = LogLevel::kWarning;
  constexpr LogLevel kError = LogLevel::kError;
  static const std::vector<LogCatalogueEntry> catalogue = {
      {LogId::kStarted, kInfo, "started", "The process listens."},
      {LogId::kReady, kInfo, "ready",
       "Settings are in force and the table has been read: the instance takes "
       "work."},
      {LogId::kStopAsked, kInfo, "stop_asked",
       "The platform asked for a stop; the instance leaves."},
      {LogId::kStopped, kInfo, "stopped",
       "The process ends; nothing is in flight, or its time is over."},
      {LogId::kNotReady, kWarning, "not_ready",
       "The instance cannot take work; the field says why."},
      {LogId::kListenFailed, kError, "listen_failed",
       "An address could not be listened on."},
      {LogId::kConfigRejected, kError, "config_rejected",
       "The process file is faulty."},
      {LogId::kSettingsInForce, kInfo, "settings_in_force",
       "A settings version is in force here."},
      {LogId::kSettingsRejected, kError, "settings_rejected",
       "An accepted settings version could not be read; the former one stays."},
      {LogId::kSettingsConflict, kWarning, "settings_conflict",
       "Two operators raced; the later one was told."},
      {LogId::kSettingsFromPeer, kInfo, "settings_from_peer",
       "A settings version came from a peer before the table showed it."},
      {LogId::kStoreLost, kWarning, "store_lost",
       "The table service does not answer."},
      {LogId::kStoreBack, kInfo, "store_back",
       "The table service answers again."},
      {LogId::kWriteInDoubt, kWarning, "write_in_doubt",
       "The answer to a transaction was lost; it will be settled."},
      {LogId::kWriteSettled, kInfo, "write_settled",
       "It is known whether the transaction in doubt took effect."},
      {LogId::kRowUnreadable, kError, "row_unreadable",
       "A row could not be decoded and is ignored."},
      {LogId::kHallClaimed, kInfo, "hall_claimed",
       "This instance plans the hall under a new epoch."},
      {LogId::kHallLost, kWarning, "hall_lost",
       "Another instance plans the hall."},
      {LogId::kHallReleased, kInfo, "hall_released",
       "This instance handed the hall over."},
      {LogId::kJobStarting, kInfo, "job_starting",
       "A placement is committed; the members are being prepared."},
      {LogId::kJobRunning, kInfo, "job_running",
       "All members are prepared and the start is committed."},
      {LogId::kJobEnded, kInfo, "job_ended", "A job reached a final state."},
      {LogId::kJobStopping, kWarning, "job_stopping",
       "An attempt is being stopped; the field says why."},
      {LogId::kJobMoved, kInfo, "job_moved",
       "A waiting job was handed to another hall."},
      {LogId::kJobPreempted, kInfo, "job_preempted",
       "A borrowed placement makes way."},
      {LogId::kShadowDiffered, kInfo, "shadow_differed",
       "In one pass the shadow policy chose otherwise for a job."},
      {LogId::kWorkerUnreachable, kWarning, "worker_unreachable",
       "A worker does not answer exchanges."},
      {LogId::kWorkerBack, kInfo, "worker_back", "A worker answers again."},
      {LogId::kWorkerQuarantined, kWarning, "worker_quarantined",
       "Different jobs failed on a worker; it gets no new work for a while."},
      {LogId::kWorkerProbed, kInfo, "worker_probed",
       "A quarantined worker gets one job as a probe."},
      {LogId::kWorkerRejectedEpoch, kWarning, "worker_rejected_epoch",
       "A worker has seen a newer planner of its hall."},
      {LogId::kRunnerAvoided, kWarning, "runner_avoided",
       "A runner failed repeatedly and is avoided for a while."},
      {LogId::kRunnerLeaving, kInfo, "runner_leaving",
       "A runner is leaving and gets no new work."},
      {LogId::kForeignAnswer, kError, "foreign_answer",
       "An answer named another request, attempt or workspace and was "
       "dropped."},
      {LogId::kPeerSuspect, kWarning, "peer_suspect",
       "A peer has not been heard for too long."},
      {LogId::kPeerBack, kInfo, "peer_back", "A suspect peer is heard again."},
      {LogId::kListUnavailable, kWarning, "list_unavailable",
       "The instance list could not be read; the last one is kept."},
      {LogId::kCallAnswered, kInfo, "call_answered",
       "A caller's call was answered; the fields say how and why, and by which "
       "`version` of the configuration."},
      {LogId::kJobSettled, kInfo, "job_settled",
       "A job reached a final state, which is being stored."},
      {LogId::kJobsNotCleared, kWarning, "jobs_not_cleared",
       "Rows of jobs that are final for long could not be removed; they are "
       "tried again."},
      {LogId::kJobAccepted, kInfo, "job_accepted",
       "A job is stored, or was found stored; the fields say whose it is."},
      {LogId::kIdleRoom, kInfo, "idle_room",
       "Steps wait; the fields say how many accelerators are idle meanwhile, "
       "and for whom."},
      {LogId::kRunAssigned, kInfo, "run_assigned",
       "A run of a task was decided on; it starts once that is stored. The "
       "`before_` fields tell the task's run before and how it ended, if that "
       "was under this scheduler."},
      {LogId::kRunEnded, kInfo, "run_ended",
       "A run is over; the field says how."},
      {LogId::kRunDisplaced, kInfo, "run_displaced",
       "A run makes way for an urgent job within its guarantee."},
      {LogId::kRunStalled, kWarning, "run_stalled",
       "A run made no progress for too long and is moved."},
      {LogId::kStartFailed, kWarning, "start_failed",
       "A runner did not begin a run, or did not say whether it did."},
      {LogId::kRunMoved, kInfo, "run_moved",
       "A run on a runner that turned slow is stopped, to start elsewhere."},
      {LogId::kAdviceTaken, kInfo, "advice_taken",
       "It was told on which runners a step may run."},
      {LogId::kAdviceFailed, kWarning, "advice_failed",
       "The advice service did not answer; it is asked again."},
      {LogId::kStepWaits, kInfo, "step_waits",
       "Tasks of a step can not start yet; the field says why."},
      {LogId::kRunEvacuated, kInfo, "run_evacuated",
       "A run is stopped on a runner that leaves before its end, to go on "
       "elsewhere."},
      {LogId::kRunnerListed, kInfo, "runner_listed",
       "A runner appeared in the list."},
      {LogId::kRunnerUnlisted, kWarning, "runner_unlisted",
       "A runner is no longer in the list."},
      {LogId::kRunnerDrains, kInfo, "runner_drains",
       "A runner is about to leave and gets no new work."},
      {LogId::kRunnerSilent, kWarning, "runner_silent",
       "A runner does not answer."},
      {LogId::kRunnerHeard, kInfo, "runner_heard",
       "A runner answers for the first time, or again; the fields give its "
       "clock, and whether it rejects calls of earlier schedulers and calls "
       "to earlier incarnations."},
      {LogId::kRunnerLost, kWarning, "runner_lost",
       "All that ran on a runner is over; the fields say why, how long ago "
       "the runner was heard, which address was called, which one its entry "
       "names, how long its lease may still last or when it expired, and what "
       "that is derived from: the `lease_basis`, since when the runner "
       "rejects foreign calls, and its clock in its first answer."},
      {LogId::kRunnerGone, kInfo, "runner_gone",
       "A runner that holds nothing is forgotten."},
      {LogId::kRunnerAvoidedFor, kWarning, "runner_avoided_for",
       "A runner gets no new work for a while; the fields say why and how "
       "long."},
      {LogId::kRunnerUnreadable, kWarning, "runner_unreadable",
       "A runner's entry in the store can not be read; it gets no work."},
      {LogId::kStartGivenUp, kInfo, "start_given_up",
       "A start was given up before it was sent; the field says why."},
      {LogId::kLeaderClaimed, kInfo, "leader_claimed",
       "This process schedules from now on."},
      {LogId::kLeaderLost, kWarning, "leader_lost",
       "This process does not schedule any more; the field says why."},
      {LogId::kListTaken, kInfo, "list_taken",
       "The list of runners was read and differs; the fields say how many are "
       "listed, new, and known but missing."},
      {LogId::kRunLost, kWarning, "run_lost",
       "A run went with its runner; the fields say by which `evidence` the "
       "run counts as over (none while its late start is being cancelled), "
       "which address was called, how long ago the runner was heard, how long "
       "its lease may still last and by which `lease_basis`, how long the run "
       "had been under way when the runner fell silent, and how the runner "
       "ended."},
      {LogId::kLossSettled, kInfo, "loss_settled",
       "It is known what became of a silent runner that runs were lost with."},
      {LogId::kTaskGivenUp, kWarning, "task_given_up",
       "A task is not started any more since runners crash under it; the "
       "fields name them, with the runs."},
      {LogId::kStoodStill, kWarning, "stood_still",
       "This process came late to its work; it acts on nothing before the "
       "store has confirmed that it still schedules."},
      {LogId::kRunnerBegan, kWarning, "runner_began",
       "A runner started again under its id; the fields say both births, how "
       "many lives were seen, what became of the runs of the life before, and "
       "how many calls that grant a lease were sent to that life and may have "
       "been carried out by the next."},
      {LogId::kRunNotListed, kWarning, "run_not_listed",
       "A run is neither running nor ended where it was started; it counts as "
       "lapsed. The fields say how long ago the runner was polled, and how "
       "long "
       "its lease may still last."},
      {LogId::kRunnerHinted, kInfo, "runner_hinted",
       "A runner's entry tells of another life than the one that is known; a "
       "look finds out which is the later one."},
      {LogId::kCatalogInForce, kInfo, "catalog_in_force",
       "A newer configuration is in force."},
      {LogId::kCatalogStale, kWarning, "catalog_stale",
       "The configuration can not be followed, or its newest version not be "
       "read (`error`); the last version stays in force."},
      {LogId::kCatalogFollowed, kInfo, "catalog_followed",
       "The configuration is followed, or followed again."},
      {LogId::kSettingsReloaded, kInfo, "settings_reloaded",
       "The process's settings were read again after a signal."},
      {LogId::kHallsEmptied, kInfo, "halls_emptied",
       "Other halls than before are to be emptied; the field names all of "
       "them, and their runners get nothing new."},
      {LogId::kRunDoneLate, kInfo, "run_done_late",
       "A run that counted as over was done all the same, and its task is."},
      {LogId::kStoreLossJudged, kInfo, "store_loss_judged",
       "Peers told whether the store is lost here only or everywhere; callers "
       "are told by that when to come back."},
      {LogId::kTraffic, kInfo, "traffic",
       "Calls, bytes and rows that the process exchanged since its start, by "
       "kind of call; every 30 s and at the end."},
      {LogId::kLeaseOffered, kWarning, "lease_offered",
       "The store refuses the scheduler's writes; it offers its lease to the "
       "standby at `to`."},
      {LogId::kCallForwarded, kInfo, "call_forwarded",
       "The store does not answer this node alone; the call was passed on to "
       "the node at `to`, which logs its answer; `version` is this node's "
       "configuration."},
      {LogId::kLinesDropped, kWarning, "lines_dropped",
       "Log lines were dropped to keep within the budget; the field says how "
       "many."},
      {LogId::kProcessBroken, kError, "process_broken",
       "Something in the process broke; it ends at once, and the field says "
       "why."},
      {LogId::kSpeedsInUse, kInfo, "speeds_in_use",
       "The lasting speeds of runners influence decisions from now on, or no "
       "longer; the fields say how much they differ and how many runners were "
       "measured."},
      {LogId::kSpeedsRestored, kInfo, "speeds_restored",
       "Speeds of runners that an earlier scheduler stored are used; the "
       "fields say of how many runners, the largest age, and how many stored "
       "entries match no known runner so far."},
      {LogId::kSpeedRowUnreadable, kWarning, "speed_row_unreadable",
       "A stored row with speeds of runners could not be read and is skipped; "
       "the fields give its key and the error."},
      {LogId::kForecastChanged, kInfo, "forecast_changed",
       "The forecast that the scheduler tells all nodes describes other "
       "services, or waits of other queues, than before; `services` is empty "
       "while too little is known to refuse anything."},
      {LogId::kSubmitRefused, kInfo, "submit_refused",
       "A submit was refused and its job not stored, since it can never run or "
       "would end too late to be of use; `earliest_ms` is the shortest wait "
       "that the forecast allows, `bearable_ms` the longest one after which "
       "the job would be of use."},
      {LogId::kStepDeferred, kInfo, "step_deferred",
       "Not all waiting urgent steps can be in time; this one is placed after "
       "the others, and the field says why it."},
      {LogId::kMoveDeclined, kInfo, "move_declined",
       "A run takes long or is on a slow runner, but is not moved; the field "
       "says why. At most once a run."},
      {LogId::kPreemptionDelayed, kInfo, "preemption_delayed",
       "A step waits for capacity that becomes free by itself, instead of "
       "preempting runs; the fields say how soon and how long a stop would "
       "take."},
      {LogId::kForwardCompleted, kInfo, "forward_completed",
       "A call that was passed on was answered by the node at `from`, by that "
       "`version` of its configuration, or got no response; the caller was "
       "`told` something else if an earlier write `may_be_applied`."},
      {LogId::kWriteRejected, kWarning, "write_rejected",
       "The store does not accept a write of the scheduler; each of its `rows` "
       "is sent alone, so that the others are stored. `row` is the first of "
       "them, `bytes` their size."},
      {LogId::kProgressDivided, kInfo, "progress_divided",
       "The progress of a job no longer fits into one row of the store; it is "
       "stored in blocks of `block_tasks` tasks."},
      {LogId::kRowTooLarge, kWarning, "row_too_large",
       "A row exceeds what the store accepts and is not sent."},
      {LogId::kCallInDoubt, kInfo, "call_in_doubt",
       "A write of a caller's call got no answer, so that it may be applied, "
       "or may be later; no refusal of the call is certain from then on."},
      {LogId::kRunsHeld, kWarning, "runs_held",
       "A runner with runs of an earlier scheduler does not answer; the "
       "fields say how its first poll ended, how long their lease may last, "
       "and by which `lease_basis`."},
      {LogId::kTombstonesNotRemoved, kWarning, "tombstones_not_removed",
       "Tombstones of jobs that were cancelled before they were stored could "
       "not be removed; they are tried again."},
      {LogId::kJobsOutdated, kWarning, "jobs_outdated",
       "The scheduler has not handled an answer of the store about jobs for "
       "`age_ms`, and starts nothing until it does."},
      {LogId::kRunnersOutdated, kWarning, "runners_outdated",
       "The scheduler has not handled an answer of the store about the list of "
       "runners for `age_ms`, and starts nothing until it does."},
      {LogId::kReducerLate, kWarning, "reducer_late",
       "Events waited for up to `waited_ms` before the scheduler handled them, "
       "and handling took up to `batch_ms` at a time; the other fields count "
       "what was done since the previous second: `looks` at runners and runs "
       "in all planning passes. At most once a second."},
      {LogId::kOtherRunnerAnswered, kWarning, "other_runner_answered",
       "Another runner answered at an address where this one never did, which "
       "its entry in the store names; its runs go on until it answers or its "
       "lease expires."},
  };
  return catalogue;
}

const LogCatalogueEntry& CatalogueEntry(LogId id) {
  for (const LogCatalogueEntry& entry : LogCatalogue()) {
    if (entry.id == id) return entry;
  }
  return LogCatalogue().front();
}

}  // namespace limeledge
