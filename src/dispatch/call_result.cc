/// @file
/// Results of API calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "dispatch/event.h"

namespace limeledge::dispatch {

CallResult ResultAfterUncertainWrite(CallKind kind, CallResult result) {
  switch (result) {
    case CallResult::kDone:
    case CallResult::kUnknown:
    // The write of a submit has the conditions that no job has the id, and that
    // none with it was cancelled.
    case CallResult::kConflict:
    case CallResult::kCancelled:
      return result;
    // The write of a cancel has the condition that the job exists.
    case CallResult::kUnknownJob:
      return kind == CallKind::kCancel ? result : CallResult::kUnknown;
    default:
      return CallResult::kUnknown;
  }
}

const char* ToString(CallResult result) {
  switch (result) {
    case CallResult::kDone:
      return "done";
    case CallResult::kUnknownJob:
      return "gone";
    case CallResult::kUnknownKey:
      return "unknown key";
    case CallResult::kUnknownQueue:
      return "no queue";
    case CallResult::kInvalid:
      return "invalid";
    case CallResult::kConflict:
      return "conflict";
    case CallResult::kNotAccepted:
      return "not taken";
    case CallResult::kPastUse:
      return "past use";
    case CallResult::kNeverServable:
      return "never servable";
    case CallResult::kCancelled:
      return "cancelled";
    case CallResult::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace limeledge::dispatch
