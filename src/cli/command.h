/// @file
/// Interface and shared functions of the commands of the command-line tool.
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

/// The server to call, the credentials, and the output format.
struct Target {
  std::string server;
  std::string token;
  bool json = false;
};

/// One command, such as "job submit".
struct Command {
  std::string group;
  std::string verb;
  /// Placeholders of the positional arguments, such as "ID" or "[FILE]".
  std::string arguments;
  std::string help;
  /// Adds the options that only this command takes.
  void (*add_options)(cxxopts::OptionAdder& add);
  /// Runs the command and returns an exit status.
  int (*run)(const Target& target, const cxxopts::ParseResult& args,
             const std::vector<std::string>& arguments);
};

/// Returns all commands, in the order in which the help lists them.
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

/// For commands without options of their own.
void AddNoOptions(cxxopts::OptionAdder& add);

/// Sends a request to the server. The body of the reply is JSON, also for
/// errors.
HttpReply CallServer(const Target& target, const std::string& method,
                     const std::string& path, const std::string& body,
                     Duration timeout, const std::string& if_match = "");

/// Prints why a call failed and what to do about it; returns `kExitFailed`.
int ReportFailure(const Target& target, const HttpReply& reply);

/// Prints a usage error; returns `kExitUsage`.
int ReportUsage(const std::string& message);

/// Reads a whole file, or standard input for "-".
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// Adds log files, or standard input if `files` is empty, to the log, and
/// prints how many lines were skipped because they are not log lines. Fails if
/// a file cannot be read.
absl::Status AddLogFiles(const std::vector<std::string>& files, MergedLog* log);

/// With --json, prints the body unchanged and returns true. Otherwise returns
/// false.
bool PrintIfJson(const Target& target, const std::string& body);

}  // namespace limeledge

#endif  // LIMELEDGE_SRC_CLI_COMMAND_H_
