#!/usr/bin/env bash
# Prepares what the scripts of this review start: the stand-ins are Python with its
# standard library only, so there is nothing to compile; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
python3 -m py_compile lib-2/mesh.py [4-8]/case.py
