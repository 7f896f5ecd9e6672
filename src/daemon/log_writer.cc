/// @file
/// Formats log lines with fmt.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/log_writer.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <ctime>

#include "absl/strings/escaping.h"

namespace limeledge {

namespace {

constexpr std::int64_t kMsPerSecond = 1000;

bool IsPlain(const std::string& value) {
  if (value.empty()) return false;
  return value.find_first_of(" \"=\n\t\\") == std::string::npos;
}

std::string Quoted(const std::string& value) {
  if (IsPlain(value)) return value;
  return fmt::format("\"{}\"", absl::CEscape(value));
}

}  // namespace

std::string FormatLogLine(const LogLine& line, const std::string& instance,
                          std::int64_t wall_ms) {
  const LogCatalogueEntry& entry = CatalogueEntry(line.id);
  const std::time_t seconds = wall_ms / kMsPerSecond;
  std::string text = fmt::format(
      "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} LL{} {} instance={}",
      fmt::gmtime(seconds), wall_ms % kMsPerSecond, ToString(entry.level),
      static_cast<int>(line.id),
      fmt::string_view(entry.name.data(), entry.name.size()), Quoted(instance));
  for (const LogField& field : line.fields) {
    text += fmt::format(" {}={}", field.name, Quoted(field.value));
  }
  return text;
}

void WriteLogLine(const LogLine& line, const std::string& instance) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::int64_t wall_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  fmt::print(stderr, "{}\n", FormatLogLine(line, instance, wall_ms));
}

}  // namespace limeledge
