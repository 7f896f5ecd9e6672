#!/usr/bin/env bash
# Prepares the stand-ins of review/9 to review/13. They are in Python, so that
# nothing is compiled; the cases run the node that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin_3.py 9/case.py 10/case.py 12/case.py 13/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/limeledge-node || {
  echo "build-3.sh: run the build of deploy/system.toml first" >&2
  exit 1
}
