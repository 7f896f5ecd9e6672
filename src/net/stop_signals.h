/// @file
/// Stop signals, taken by the main thread alone.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_STOP_SIGNALS_H_
#define LIMELEDGE_SRC_NET_STOP_SIGNALS_H_

#include <csignal>

namespace limeledge {

/// Blocks SIGTERM and SIGINT for this thread and all that it starts later, and
/// ignores SIGPIPE. Returns the blocked signals, to be waited for.
/// Precondition: no other thread was started yet.
sigset_t BlockStopSignals();

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_STOP_SIGNALS_H_
