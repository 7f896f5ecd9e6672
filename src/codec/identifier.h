/// @file
/// Which text may name a workspace, class, hall, job or request.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_IDENTIFIER_H_
#define LIMELEDGE_SRC_CODEC_IDENTIFIER_H_

#include <string>

namespace limeledge {

/// True for 1 to 64 letters, digits, '-', '_' and '.'. Safe from any thread.
bool IsIdentifier(const std::string& text);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_IDENTIFIER_H_
