#!/usr/bin/env bash
# Prepares the stand-ins of the scripts review/4 to review/8. They are written in
# Python and need nothing to be compiled; this checks that they can start. The
# node itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin_2.py [4-8]/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
import tomllib  # noqa: F401  Reads the deploy file.

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
END
