#!/usr/bin/env bash
# Checks that a finding refers to every journal run that violated a rule, and
# that scripts/unnamed-findings reports a run without one.
# Usage: test/findings-test.sh
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/unnamed-findings

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/journal" "$work/docs/findings" "$work/docs/incidents"
cat >"$work/journal/planted.json" <<'END'
{"id": "0123abcd", "site": "a-site",
 "days": [{"name": "quiet-1", "seed": 5, "rules": {}},
          {"name": "scale-1 --seed 77", "seed": 77, "rules": {"TWICE": 1}}]}
END
echo "scale-1 was played" >"$work/docs/findings/README.md"
check() { scripts/unnamed-findings --journal "$work/journal" --docs "$work/docs"; }
if output="$(check)" || [[ "$output" != "planted a-site scale-1 --seed 77: TWICE" ]]; then
  echo "a run that no finding refers to is not reported"
  exit 1
fi
echo "scale-1, seed 77" >"$work/docs/findings/README.md"
check
cat >"$work/journal/two.json" <<'END'
{"id": "4567cdef", "site": "a-site",
 "days": [{"name": "scale-1 --seed 8", "seed": 8, "rules": {"LOST": 1}},
          {"name": "scale-2 --seed 9", "seed": 9, "rules": {"TWICE": 1}}]}
END
echo "scale-1, seed 8, of 4567cdef" >>"$work/docs/findings/README.md"
if output="$(check)" || [[ "$output" != "two a-site scale-2 --seed 9: TWICE" ]]; then
  echo "a finding for one run also covers another run of its entry"
  exit 1
fi
rm "$work/journal/two.json"
echo "0123*: a text that stands nowhere" >"$work/docs/findings/days.txt"
if check 2>/dev/null; then
  echo "a pattern whose text is on no page is accepted"
  exit 1
fi
