/// @file
/// Tests of the exit after an unhandled exception.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <CppUTest/TestHarness.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

#include "net/http_loop.h"
#include "platform/broken_end.h"

namespace limeledge::platform {

// Runs functions that throw in a child process.
TEST_GROUP(BrokenEnd) {
  std::string output;

  /// Returns the child's exit status, or 0 if a signal ended it. Appends what
  /// the child wrote to `output`.
  int RunInChild(const std::function<void()>& function) {
    int pipe_fds[2];
    LONGS_EQUAL(0, pipe(pipe_fds));
    const pid_t child = fork();
    if (child == 0) {
      dup2(pipe_fds[1], STDOUT_FILENO);
      dup2(pipe_fds[1], STDERR_FILENO);
      InstallTerminateHandler("front-1");
      function();
      _exit(0);
    }
    close(pipe_fds[1]);
    char bytes[512];
    for (;;) {
      const ssize_t size = read(pipe_fds[0], bytes, sizeof(bytes));
      if (size <= 0) break;
      output.append(bytes, static_cast<std::size_t>(size));
    }
    close(pipe_fds[0]);
    int status = 0;
    waitpid(child, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 0;
  }
};

TEST(BrokenEnd, ExceptionInAThreadEndsTheProcess) {
  LONGS_EQUAL(
      kExitFatalError, RunInChild([] {
        std::thread([] { throw std::runtime_error("out of capacity"); }).join();
      }));
}

TEST(BrokenEnd, ExceptionInAReplyCallbackEndsTheProcess) {
  LONGS_EQUAL(kExitFatalError, RunInChild([] {
                HttpLoop loop;
                HttpCall call;
                call.address = "nowhere";
                loop.Call(call, [](const HttpReply&) {
                  throw std::runtime_error("out of capacity");
                });
                std::promise<void>().get_future().wait();
              }));
}

// When memory runs out, several threads may throw at the same time.
TEST(BrokenEnd, ConcurrentExceptionsEndTheProcess) {
  const auto exit_after_exception = [] {
    ExitAfterException(
        std::make_exception_ptr(std::runtime_error("out of capacity")));
  };
  LONGS_EQUAL(kExitFatalError, RunInChild([&exit_after_exception] {
                std::thread first(exit_after_exception);
                std::thread second(exit_after_exception);
                first.join();
                second.join();
              }));
  STRCMP_CONTAINS("\"id\":\"LL951\"", output.c_str());
}

TEST(BrokenEnd, CauseIsWrittenToTheLogAndToStandardError) {
  RunInChild([] {
    ExitAfterException(
        std::make_exception_ptr(std::runtime_error("out of capacity")));
  });
  STRCMP_CONTAINS("\"id\":\"LL951\"", output.c_str());
  STRCMP_CONTAINS("\"instance\":\"front-1\"", output.c_str());
  STRCMP_CONTAINS("unhandled exception: out of capacity", output.c_str());
}

}  // namespace limeledge::platform
