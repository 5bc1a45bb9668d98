#!/usr/bin/env bash
# Builds what the scripts start besides the program of the deploy file. The stand-ins
# are Python programs, the store's is the project's own: they are only compiled here,
# so that an error in one shows before a case is played.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m py_compile review/lib/*.py review/[123]/case.py \
    platform/testing/store_standin.py platform/testing/http_server.py
