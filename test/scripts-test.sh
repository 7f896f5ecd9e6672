#!/usr/bin/env bash
# Checks the shell scripts. Usage: test/scripts-test.sh
#
# No script may pipe into a reader that can stop reading early: the writer then
# sometimes fails with a broken pipe, and under pipefail so does a check that
# actually passed.
#
# A second nodes_start must use the address of its own store. About one start in
# a hundred read the previous address from a log that was being replaced. A
# stand-in that does not start must be reported.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts="$(git ls-files '*.sh' .ci scripts soak/run)"
# grep stops at the first match with -q, and when it writes to /dev/null.
# The pattern is written so that it does not match its own line.
early='[|][[:space:]]*(grep[^|]*(-q|>[[:space:]]*/dev/null)|head[[:space:]])'
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
found=0
for file in $scripts; do
  case "$file" in
    *.sh) ;;
    *) [[ "$(head -n 1 "$file")" == *bash* ]] || continue ;;
  esac
  # Joins lines that end in a backslash or a pipe with the next line.
  lines="$(sed -e '/^[[:space:]]*#/d' -e ':a' -e '/[\\|]$/N' \
    -e 's/[\\]\?\n[[:space:]]*/ /' -e 'ta' "$file" |
    grep -E "$early" || true)"
  [ -z "$lines" ] && continue
  echo "$file pipes into a reader that may stop early:"
  echo "$lines"
  found=1
done
cat >"$work/limeledge-standin" <<'END'
#!/bin/sh
echo "it breaks"
exit 1
END
chmod +x "$work/limeledge-standin"
(
  . scripts/nodes.sh
  NODES_TRIES=2
  echo "store on earlier" >"$NODES_DIR/standin.log"
  ln "$NODES_DIR/standin.log" "$work/earlier"
  nodes_start "$work" 0
) >"$work/output" 2>&1 || true
if ! grep -q 'store on earlier' "$work/earlier"; then
  echo "the log file of a previous stand-in is reused"
  found=1
fi
if ! grep -q 'it breaks' "$work/output"; then
  echo "a stand-in that does not start is not reported"
  found=1
fi
exit "$found"
