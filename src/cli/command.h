/// @file
/// What every verb of the command-line tool gets and gives.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#ifndef LIMELEDGE_SRC_CLI_COMMAND_H_
#define LIMELEDGE_SRC_CLI_COMMAND_H_

#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "net/http_client.h"

namespace limeledge {

class MergedLog;

inline constexpr int kExitDone = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// Where and as whom the tool calls.
struct Target {
  std::string server;
  std::string token;
  bool json = false;
};

/// One verb, such as "job submit".
struct Command {
  std::string group;
  std::string verb;
  /// Placeholders of its arguments, such as "ID" or "[FILE]".
  std::string arguments;
  std::string help;
  /// Adds the verb's own options.
  void (*add_options)(cxxopts::OptionAdder& add);
  /// Carries it out; returns an exit code.
  int (*run)(const Target& target, const cxxopts::ParseResult& args,
             const std::vector<std::string>& arguments);
};

/// All verbs, in the order in which help lists them.
std::vector<Command> AllCommands();
std::vector<Command> JobCommands();
std::vector<Command> RequestCommands();
std::vector<Command> SettingsCommands();
std::vector<Command> StateCommands();
std::vector<Command> PolicyCommands();
std::vector<Command> ReplayCommands();
std::vector<Command> ExplainCommands();
std::vector<Command> ReportCommands();
std::vector<Command> NodeCommands();

/// No options of its own.
void AddNoOptions(cxxopts::OptionAdder& add);

/// Calls the server. The reply's body is JSON text, also for errors.
HttpReply CallServer(const Target& target, const std::string& method,
                     const std::string& path, const std::string& body,
                     Duration timeout, const std::string& if_match = "");

/// Prints why a call failed and what to do; returns `kExitFailed`.
int ReportFailure(const Target& target, const HttpReply& reply);

/// Prints a usage error; returns `kExitUsage`.
int ReportUsage(const std::string& message);

/// Reads a whole file, or standard input for "-".
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// Adds log files to the story, or standard input where there are none, and
/// prints how many lines were no log lines. Fails where one can not be read.
absl::Status AddLogFiles(const std::vector<std::string>& files,
                         MergedLog* story);

/// Prints a JSON body as it is with --json, and returns true then.
bool PrintIfJson(const Target& target, const std::string& body);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_COMMAND_H_
