#!/usr/bin/env bash
# Checks the shell scripts. Usage: test/scripts-test.sh
#
# None pipes into a reader that may stop reading early: under pipefail the
# writer then fails, now and then, by the closed pipe, and with it a check that
# held.
#
# Nodes that are started a second time get the address of their own store. One
# in some hundred did not: it was read from a log that was being replaced. What
# does not start says so.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts="$(git ls-files '*.sh' .ci scripts soak/run)"
# grep stops at the first match with -q, and when it writes to /dev/null.
# Written so that this line is none of them.
early='[|][[:space:]]*(grep[^|]*(-q|>[[:space:]]*/dev/null)|head[[:space:]])'
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
found=0
for file in $scripts; do
  case "$file" in
    *.sh) ;;
    *) [[ "$(head -n 1 "$file")" == *bash* ]] || continue ;;
  esac
  # A backslash or a pipe at its end carries a line on.
  lines="$(sed -e '/^[[:space:]]*#/d' -e ':a' -e '/[\\|]$/N' \
    -e 's/[\\]\?\n[[:space:]]*/ /' -e 'ta' "$file" |
    grep -E "$early" || true)"
  [ -z "$lines" ] && continue
  echo "$file pipes into a reader that stops early:"
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
) >"$work/told" 2>&1 || true
if ! grep -q 'store on earlier' "$work/earlier"; then
  echo "the log of an earlier stand-in is used for the next one"
  found=1
fi
if ! grep -q 'it breaks' "$work/told"; then
  echo "a stand-in that does not start is not told of"
  found=1
fi
exit "$found"
