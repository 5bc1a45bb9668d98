#!/usr/bin/env bash
# Plays the case once; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
exec timeout --signal=INT 118 python3 "$(dirname "$0")/case.py"
