/// @file
/// One line of text for each effect, for people and golden files.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CODEC_EFFECT_TEXT_H_
#define LIMELEDGE_SRC_CODEC_EFFECT_TEXT_H_

#include <string>

#include "core/effect.h"

namespace limeledge {

/// Returns everything that matters of an effect, on one line. Equal effects
/// give equal lines. Safe from any thread.
std::string DescribeEffect(const Effect& effect);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CODEC_EFFECT_TEXT_H_
