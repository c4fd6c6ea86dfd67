#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Writes record.txt beside it.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
export PYTHONPATH=target/deps TROUBLE="${TROUBLE:-1}"
timeout --foreground -k 2 115 python3 review/3/case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
