/// @file
/// Infers versions of the configuration from answers.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "emulator/catalog_oracle.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace limeledge::emulator {

using dispatch::CatalogVersion;

void CatalogOracle::Publish(TimePoint now, CatalogVersion version,
                            std::set<std::string> entries) {
  versions_.push_back({now, version, std::move(entries)});
}

CatalogVersion CatalogOracle::ShownBy(const Process& process,
                                      TimePoint time) const {
  const auto found = shown_.find(process);
  CatalogVersion newest;
  if (found == shown_.end()) return newest;
  for (const Shown& shown : found->second) {
    if (shown.at <= time) newest = std::max(newest, shown.version);
  }
  return newest;
}

std::optional<std::string> CatalogOracle::Check(TimePoint now,
                                                const Answer& answer,
                                                bool in_touch) {
  const CatalogVersion shown = ShownBy(answer.process, answer.sent_at);
  CatalogVersion required;
  CatalogVersion newest_allowing;
  std::optional<CatalogVersion> oldest_not_reverting;
  for (const Version& version : versions_) {
    if (version.published_at + kApplyBound <= answer.sent_at) {
      required = version.number;
    }
    const bool allows =
        (version.entries.count(answer.entry) != 0) == answer.served;
    if (!allows) continue;
    newest_allowing = version.number;
    if (version.number >= shown && !oldest_not_reverting.has_value()) {
      oldest_not_reverting = version.number;
    }
  }
  const std::string what = absl::StrCat(
      "node ", answer.process.first, answer.served ? " serves " : " refuses ",
      answer.entry, " as only version ", newest_allowing.value(),
      " or older allows");
  if (!oldest_not_reverting.has_value()) {
    return absl::StrCat(what, ", after it has shown ", shown.value());
  }
  if (in_touch && newest_allowing < required) {
    return absl::StrCat(what, ", although ", required.value(), " is in force");
  }
  shown_[answer.process].push_back({now, *oldest_not_reverting});
  return std::nullopt;
}

}  // namespace limeledge::emulator
