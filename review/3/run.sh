#!/usr/bin/env bash
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
timeout --signal=INT 115 python3 "$(dirname "$0")/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
