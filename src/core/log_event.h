/// @file
/// Numbered log events; docs/LOG-EVENTS.md is their catalogue.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CORE_LOG_EVENT_H_
#define LIMELEDGE_SRC_CORE_LOG_EVENT_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limeledge {

enum class LogLevel { kInfo, kWarning, kError };

const char* ToString(LogLevel level);

/// Numbers never change their meaning; new ones are added at the end of their
/// hundred.
enum class LogId {
  kStarted = 100,
  kReady = 101,
  kStopAsked = 102,
  kStopped = 103,
  kNotReady = 104,
  kListenFailed = 105,
  kConfigRejected = 106,
  kSettingsInForce = 200,
  kSettingsRejected = 201,
  kSettingsConflict = 202,
  kSettingsFromPeer = 203,
  kStoreLost = 300,
  kStoreBack = 301,
  kWriteInDoubt = 302,
  kWriteSettled = 303,
  kRowUnreadable = 304,
  kHallClaimed = 400,
  kHallLost = 401,
  kHallReleased = 402,
  kJobStarting = 500,
  kJobRunning = 501,
  kJobEnded = 502,
  kJobStopping = 503,
  kJobMoved = 504,
  kJobPreempted = 505,
  kShadowDiffered = 506,
  kWorkerUnreachable = 600,
  kWorkerBack = 601,
  kWorkerQuarantined = 602,
  kWorkerProbed = 603,
  kWorkerRejectedEpoch = 604,
  kRunnerAvoided = 700,
  kRunnerLeaving = 701,
  kForeignAnswer = 702,
  kPeerSuspect = 800,
  kPeerBack = 801,
  kListUnavailable = 802,
  kCallAnswered = 900,
  kJobSettled = 901,
  kJobsNotCleared = 902,
  kJobAccepted = 903,
  kIdleRoom = 904,
  kRunAssigned = 910,
  kRunEnded = 911,
  kRunDisplaced = 912,
  kRunStalled = 913,
  kStartFailed = 914,
  kRunMoved = 915,
  kAdviceTaken = 916,
  kAdviceFailed = 917,
  kStepWaits = 918,
  kRunEvacuated = 919,
  kRunnerListed = 920,
  kRunnerUnlisted = 921,
  kRunnerDrains = 922,
  kRunnerSilent = 923,
  kRunnerHeard = 924,
  kRunnerLost = 925,
  kRunnerGone = 926,
  kRunnerAvoidedFor = 927,
  kRunnerUnreadable = 928,
  kStartGivenUp = 929,
  kLeaderClaimed = 930,
  kLeaderLost = 931,
  kListTaken = 932,
  kRunLost = 933,
  kLossSettled = 934,
  kTaskGivenUp = 935,
  kStoodStill = 936,
  kRunnerBegan = 937,
  kRunNotListed = 938,
  kRunnerHinted = 939,
  kRunDoneLate = 945,
  kCatalogInForce = 940,
  kCatalogStale = 941,
  kCatalogFollowed = 942,
  kSettingsReloaded = 943,
  kHallsEmptied = 944,
  kStoreLossJudged = 946,
  kTraffic = 947,
  kLeaseOffered = 948,
  kCallForwarded = 949,
  kLinesDropped = 950,
  kProcessBroken = 951,
  kSpeedsInUse = 952,
  kSpeedsRestored = 954,
  kSpeedRowUnreadable = 955,
  kForecastChanged = 956,
  kSubmitRefused = 957,
  kStepDeferred = 959,
  kMoveDeclined = 960,
  kPreemptionDelayed = 961,
  kForwardCompleted = 962,
  kWriteRejected = 963,
  kProgressDivided = 964,
  kRowTooLarge = 965,
  kCallInDoubt = 966,
  kRunsHeld = 967,
  kTombstonesNotRemoved = 968,
  kJobsOutdated = 969,
  kRunnersOutdated = 970,
  kReducerLate = 971,
  kOtherRunnerAnswered = 972,
};

/// One line of the catalogue.
struct LogCatalogueEntry {
  LogId id;
  LogLevel level;
  std::string_view name;
  std::string_view meaning;
};

/// The whole catalogue in order of numbers.
const std::vector<LogCatalogueEntry>& LogCatalogue();
const LogCatalogueEntry& CatalogueEntry(LogId id);

/// A named value of a log line.
struct LogField {
  std::string name;
  std::string value;
};

struct LogLine {
  LogId id = LogId::kStarted;
  std::vector<LogField> fields;
};

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CORE_LOG_EVENT_H_
