/// @file
/// Tests of the end of a process that cannot go on.
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

// Runs what breaks a process in a process of its own.
TEST_GROUP(BrokenEnd) {
  std::string output;

  /// The exit status; 0 if a signal ended the process.
  int StatusAfter(const std::function<void()>& breaks) {
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    const pid_t child = fork();
    if (child == 0) {
      dup2(ends[1], STDOUT_FILENO);
      dup2(ends[1], STDERR_FILENO);
      EndWhenBroken("front-1");
      breaks();
      _exit(0);
    }
    close(ends[1]);
    char bytes[512];
    for (;;) {
      const ssize_t size = read(ends[0], bytes, sizeof(bytes));
      if (size <= 0) break;
      output.append(bytes, static_cast<std::size_t>(size));
    }
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 0;
  }
};

TEST(BrokenEnd, ThreadThatThrowsEndsTheProcess) {
  LONGS_EQUAL(
      kExitBroken, StatusAfter([] {
        std::thread([] { throw std::runtime_error("no more of it"); }).join();
      }));
}

TEST(BrokenEnd, ThrowingTakerOfAReplyEndsTheProcess) {
  LONGS_EQUAL(kExitBroken, StatusAfter([] {
                HttpLoop loop;
                HttpCall call;
                call.address = "nowhere";
                loop.Call(call, [](const HttpReply&) {
                  throw std::runtime_error("no more of it");
                });
                std::promise<void>().get_future().wait();
              }));
}

// Several threads may break of the same want.
TEST(BrokenEnd, SecondCauseEndsTheProcessLikeTheFirst) {
  const auto end = [] {
    EndBroken(std::make_exception_ptr(std::runtime_error("no more of it")));
  };
  LONGS_EQUAL(kExitBroken, StatusAfter([&end] {
                std::thread first(end);
                std::thread second(end);
                first.join();
                second.join();
              }));
  STRCMP_CONTAINS("\"id\":\"LL951\"", output.c_str());
}

TEST(BrokenEnd, CauseIsLoggedAsALineAndForPeople) {
  StatusAfter([] {
    EndBroken(std::make_exception_ptr(std::runtime_error("no more of it")));
  });
  STRCMP_CONTAINS("\"id\":\"LL951\"", output.c_str());
  STRCMP_CONTAINS("\"instance\":\"front-1\"", output.c_str());
  STRCMP_CONTAINS("ends, since it broke: no more of it", output.c_str());
}

}  // namespace limeledge::platform
