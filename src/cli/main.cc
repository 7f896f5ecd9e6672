/// @file
/// Entry point of the command-line tool limeledge.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "cli/command.h"

namespace limeledge {
namespace {

constexpr char kDefaultServer[] = "127.0.0.1:7100";

std::string EnvironmentOr(const char* name, const char* fallback) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : fallback;
}

std::string FullName(const Command& command) {
  return command.verb.empty() ? command.group
                              : absl::StrCat(command.group, " ", command.verb);
}

void PrintOverview() {
  fmt::print(
      "limeledge: command-line tool of the limeledge scheduler\n\n"
      "Usage: limeledge COMMAND [ARGUMENT...] [OPTION...]\n\n");
  for (const Command& command : AllCommands()) {
    fmt::print("  {:<28} {}\n",
               absl::StrCat(FullName(command), " ", command.arguments),
               command.help);
  }
  fmt::print(
      "\nEvery command takes --server HOST:PORT (or LIMELEDGE_SERVER; default\n"
      "{}), --token TOKEN or --token-file FILE (or LIMELEDGE_TOKEN),\n"
      "and --json for machine-readable output. 'limeledge COMMAND --help'\n"
      "lists its own options.\n\n"
      "Exit status: 0 success, 1 refused or failed, 2 usage error.\n",
      kDefaultServer);
}

void AddCommonOptions(cxxopts::OptionAdder& add) {
  add("server", "HOST:PORT of any instance",
      cxxopts::value<std::string>()->default_value(
          EnvironmentOr("LIMELEDGE_SERVER", kDefaultServer)));
  add("token", "bearer token", cxxopts::value<std::string>());
  add("token-file", "file that holds the token", cxxopts::value<std::string>());
  add("json", "print JSON");
  add("h,help", "print this help");
}

/// Finds the command that the first arguments name, and sets `words` to the
/// number of these arguments. Returns null if there is none.
const Command* FindCommand(const std::vector<Command>& commands, int argc,
                           char** argv, int* words) {
  for (const Command& command : commands) {
    const int name_words = command.verb.empty() ? 1 : 2;
    if (argc <= name_words || command.group != argv[1]) continue;
    if (!command.verb.empty() && command.verb != argv[2]) continue;
    *words = name_words;
    return &command;
  }
  return nullptr;
}

absl::StatusOr<Target> MakeTarget(const cxxopts::ParseResult& args) {
  Target target;
  target.server = args["server"].as<std::string>();
  target.json = args.count("json") != 0;
  target.token = EnvironmentOr("LIMELEDGE_TOKEN", "");
  if (args.count("token") != 0) target.token = args["token"].as<std::string>();
  if (args.count("token-file") != 0) {
    absl::StatusOr<std::string> text =
        ReadFile(args["token-file"].as<std::string>());
    if (!text.ok()) return text.status();
    target.token = std::string(absl::StripAsciiWhitespace(*text));
  }
  return target;
}

int RunCommand(const Command& command, int argc, char** argv) {
  cxxopts::Options options(absl::StrCat("limeledge ", FullName(command)),
                           command.help);
  options.custom_help("[OPTION...]");
  options.positional_help(command.arguments);
  cxxopts::OptionAdder add = options.add_options();
  command.add_options(add);
  AddCommonOptions(add);
  add("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"arguments"});
  const cxxopts::ParseResult args = options.parse(argc, argv);
  if (args.count("help") != 0) {
    fmt::print("{}", options.help());
    return kExitDone;
  }
  const absl::StatusOr<Target> target = MakeTarget(args);
  if (!target.ok()) return ReportUsage(std::string(target.status().message()));
  std::vector<std::string> arguments;
  if (args.count("arguments") != 0) {
    arguments = args["arguments"].as<std::vector<std::string>>();
  }
  return command.run(*target, args, arguments);
}

int Main(int argc, char** argv) {
  const std::string first = argc > 1 ? argv[1] : "--help";
  if (first == "--help" || first == "-h" || first == "help") {
    PrintOverview();
    return kExitDone;
  }
  if (first == "--version") {
    fmt::print("limeledge {}\n", LIMELEDGE_VERSION);
    return kExitDone;
  }
  const std::vector<Command> commands = AllCommands();
  int words = 0;
  const Command* command = FindCommand(commands, argc, argv, &words);
  if (command == nullptr) return ReportUsage("unknown command");
  try {
    return RunCommand(*command, argc - words, argv + words);
  } catch (const cxxopts::exceptions::exception& error) {
    return ReportUsage(error.what());
  }
}

}  // namespace
}  // namespace limeledge

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return limeledge::Main(argc, argv);
}
