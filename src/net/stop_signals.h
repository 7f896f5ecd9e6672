/// @file
/// Signal setup for programs that wait for a stop signal.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_NET_STOP_SIGNALS_H_
#define LIMELEDGE_SRC_NET_STOP_SIGNALS_H_

#include <csignal>

namespace limeledge {

/// Blocks SIGTERM and SIGINT in the calling thread and in all threads that it
/// starts later, and ignores SIGPIPE. Returns the set of blocked signals, which
/// the caller can wait for with `sigwait` or `sigtimedwait`. Precondition: no
/// other thread has been started.
sigset_t BlockStopSignals();

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_NET_STOP_SIGNALS_H_
