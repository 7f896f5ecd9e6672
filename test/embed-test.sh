#!/usr/bin/env bash
# Installs the library, builds examples/embed against it, and runs them.
# Usage: test/embed-test.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
cmake --install "$1" --prefix "$work/installed" >/dev/null
cmake -S examples/embed -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$work/installed" >/dev/null
cmake --build "$work/build" >/dev/null
for example in "$work"/build/embed_*; do
  "$example"
done
"$work/installed/bin/limeledge" --version
