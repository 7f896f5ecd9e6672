/// @file
/// Checks by which versions of the configuration nodes answer calls.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_EMULATOR_CATALOG_ORACLE_H_
#define LIMELEDGE_SRC_EMULATOR_CATALOG_ORACLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/catalog.h"
#include "limeledge/clock.h"

namespace limeledge::emulator {

/// Infers from the outcomes of calls which versions of the configuration may
/// have decided them. An outcome that only versions older than one which the
/// node has shown allow is a violation.
///
/// Thread safety: none; use it from one thread.
class CatalogOracle {
 public:
  /// An incarnation of a node.
  using Process = std::pair<int, int>;
  /// A call for an entry of the configuration, such as a path prefix or a key.
  struct Answer {
    Process process;
    std::string entry;
    /// Whether the call was served, which takes a version with that entry.
    bool served = false;
    TimePoint sent_at;
  };

  /// Records a version, which must be newer than the previous one, and all its
  /// entries.
  void Publish(TimePoint now, dispatch::CatalogVersion version,
               std::set<std::string> entries);
  /// Checks an answer that the caller gets at `now`. `in_touch` is true if the
  /// node must know each version within `kApplyBound`. Returns what is wrong
  /// with the answer, if anything.
  std::optional<std::string> Check(TimePoint now, const Answer& answer,
                                   bool in_touch);

 private:
  struct Version {
    TimePoint published_at;
    dispatch::CatalogVersion number;
    std::set<std::string> entries;
  };
  struct Shown {
    TimePoint at;
    dispatch::CatalogVersion version;
  };

  /// The newest version that the process had shown by `time`.
  dispatch::CatalogVersion ShownBy(const Process& process,
                                   TimePoint time) const;

  std::vector<Version> versions_;
  /// In the order of time.
  std::map<Process, std::vector<Shown>> shown_;
};

/// Nodes have to know a version this long after it was published.
inline constexpr Duration kApplyBound{2000};

}  // namespace limeledge::emulator

#endif  // LIMELEDGE_SRC_EMULATOR_CATALOG_ORACLE_H_
