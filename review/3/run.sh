#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
exec timeout --signal=INT 118 python3 "$(dirname "$0")/play.py"
