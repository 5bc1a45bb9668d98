"""The decisions under load keep their regression bounds.

The benchmark plays its patterns in virtual time with fixed seeds, so a broken
bound is a changed decision, never a busy machine. It exits non-zero then, and
prints the bound with what was measured.
"""

import pathlib
import subprocess
import sys

EXPECTED_BOUNDS = 30


def main() -> int:
    program = pathlib.Path(sys.argv[1]) / "load_policy_benchmark"
    run = subprocess.run([program, "--check"], stdout=subprocess.PIPE, text=True)
    print(run.stdout)
    if run.returncode != 0:
        return 1
    # A check that checked nothing would pass as well.
    kept = sum(line.startswith("ok") for line in run.stdout.splitlines())
    if kept < EXPECTED_BOUNDS:
        print(f"only {kept} bounds were checked, expected {EXPECTED_BOUNDS}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
