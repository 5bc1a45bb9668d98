#!/usr/bin/env bash
# Prepares what the scripts of this review start besides the program of the deploy file.
# The stand-ins are Python with its standard library, so they are only compiled here, so
# that an error in one shows before a case is played.
set -euo pipefail
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
PYTHONPYCACHEPREFIX="$out" python3 -m py_compile lib-2/mesh.py [4-8]/case.py
