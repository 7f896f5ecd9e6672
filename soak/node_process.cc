/// @file
/// Start, supervision and settings of node processes.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "soak/node_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <utility>

namespace limeledge::soak {

namespace {

constexpr int kSignalledBase = 128;
constexpr int kExecFailed = 127;
constexpr int kLogMode = 0644;
// Below the ephemeral port range: an outgoing connection could otherwise take
// the port of a process that is being restarted.
constexpr int kFirstPort = 12000;
constexpr int kPortCount = 18000;
// Each process id shifts the first port by this much, more than one soak test
// uses, so that concurrent soak tests do not collide.
constexpr int kPortsPerProcess = 197;

std::string Loopback(int port) { return fmt::format("127.0.0.1:{}", port); }

}  // namespace

int FreePort() {
  static std::atomic<int> next{getpid() % kPortCount * kPortsPerProcess %
                               kPortCount};
  for (int tries = 0; tries < kPortCount; ++tries) {
    const int port = kFirstPort + next++ % kPortCount;
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto* const generic = reinterpret_cast<const sockaddr*>(&address);
    const bool free = bind(probe, generic, sizeof(address)) == 0;
    close(probe);
    if (free) return port;
  }
  return 0;
}

NodeProcess::NodeProcess(int number, std::string program, std::string directory)
    : name_(fmt::format("node-{}", number)),
      program_(std::move(program)),
      directory_(std::move(directory)) {}

NodeProcess::~NodeProcess() { Kill(); }

std::string NodeProcess::log_path() const {
  return fmt::format("{}/{}.log", directory_, name_);
}

absl::Status NodeProcess::Start(const Endpoint& store) {
  absl::Status status = store_link_.Start(store);
  if (!status.ok()) return status;
  status = front_link_.Start({"127.0.0.1", 0});
  if (!status.ok()) return status;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Settle();
  }
  Restart();
  return absl::OkStatus();
}

std::string NodeProcess::ready() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ready_;
}

std::string NodeProcess::metrics() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return metrics_;
}

void NodeProcess::ReplaceNext() {
  const std::lock_guard<std::mutex> lock(mutex_);
  replace_next_ = true;
}

void NodeProcess::Settle() {
  const int port = FreePort();
  front_link_.Redirect({"127.0.0.1", port});
  ready_ = Loopback(FreePort());
  metrics_ = Loopback(FreePort());
  WriteSettings(port);
}

void NodeProcess::WriteSettings(int port) const {
  const std::string node =
      replaced_ == 0 ? name_ : fmt::format("{}-{}", name_, replaced_);
  std::ofstream file(fmt::format("{}/{}.yaml", directory_, name_));
  file << fmt::format(
      "node: \"{}\"\nzone: \"soak\"\nlisten:\n  front: \"{}\"\n"
      "  ready: \"{}\"\n  control: \"{}\"\n"
      "limits:\n  cpu-share: 1\n  cores: 1\n"
      "bounds:\n  hold-max-ms: 10000\n  grace-s: 6\n"
      "platform:\n  addr: \"{}\"\n",
      node, Loopback(port), ready_, metrics_, store_link_.address());
}

void NodeProcess::Restart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Reap();
  if (pid_ < 0) Spawn();
}

void NodeProcess::Spawn() {
  if (replace_next_) {
    replace_next_ = false;
    ++replaced_;
    Settle();
  }
  const std::string settings = fmt::format("{}/{}.yaml", directory_, name_);
  const std::string log = log_path();
  // The node inherits the blocked signal, so that a stop that is requested
  // before it handles signals stays pending.
  sigset_t stop;
  sigset_t previous;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &stop, &previous);
  const pid_t pid = fork();
  if (pid == 0) {
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // Sockets of the soak test must not stay open in the child process.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(program_.c_str(), program_.c_str(), "--settings", settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(kExecFailed);
  }
  pthread_sigmask(SIG_SETMASK, &previous, nullptr);
  pid_ = pid;
  NodeLife incarnation;
  incarnation.started_at = clock_.Now();
  lives_.push_back(incarnation);
}

void NodeProcess::Reap() {
  if (pid_ < 0) return;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) NoteEnd(status, false);
}

void NodeProcess::NoteEnd(int status, bool killed) {
  pid_ = -1;
  lives_.back().ended_at = clock_.Now();
  lives_.back().killed = killed;
  if (killed) return;
  last_status_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalledBase + WTERMSIG(status);
}

void NodeProcess::Kill() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Reap();
  if (pid_ < 0) return;
  kill(pid_, SIGKILL);
  int status = 0;
  if (waitpid(pid_, &status, 0) == pid_) {
    // The process may have just ended by itself.
    const bool by_kill = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
    NoteEnd(status, by_kill);
  }
}

void NodeProcess::Signal(int signal) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Reap();
  if (pid_ < 0) return;
  if (signal == SIGTERM && !lives_.back().stop_asked_at.has_value()) {
    lives_.back().stop_asked_at = clock_.Now();
  }
  kill(pid_, signal);
}

bool NodeProcess::Lives() {
  const std::lock_guard<std::mutex> lock(mutex_);
  Reap();
  return pid_ >= 0;
}

int NodeProcess::last_status() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return last_status_;
}

std::vector<NodeLife> NodeProcess::lives() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lives_;
}

}  // namespace limeledge::soak
