#!/usr/bin/env bash
# Checks that every header compiles on its own.
# Usage: test/headers-test.sh BUILD_DIR COMPILER
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files 'include/limeledge/*.h' 'src/*.h' 'platform/*.h' 2>/dev/null |
  xargs -P "$(nproc)" -I{} "$2" -std=c++17 -fsyntax-only -x c++ -w \
    -I. -Iinclude -Isrc -I/usr/include/jsoncpp -DCPPHTTPLIB_OPENSSL_SUPPORT {}
echo "every header compiles on its own"
