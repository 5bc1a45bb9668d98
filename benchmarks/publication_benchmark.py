"""Time from the start of `citrongradectl publish --wait` to in force everywhere.

Usage: publication_benchmark.py BUILD_DIR [COUNT] [NODES] [LOG_DELAY_MS]
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests"))

from support.node_mesh import Mesh
from support.processes import ProgramGroup
from support.publications import Publisher, print_percentiles


def main():
    build_dir = sys.argv[1]
    count, nodes, delay_ms = (list(map(int, sys.argv[2:])) + [100, 4, 0][
        len(sys.argv) - 2:])
    with ProgramGroup(build_dir) as programs:
        mesh = Mesh(programs)
        publisher = Publisher(build_dir, mesh)
        publisher.publish_template()
        publisher.publish_version(0)
        for _ in range(nodes):
            mesh.start_node()
        mesh.wait_until_served()
        mesh.log.set_faults(delay_ms=delay_ms)
        taken = []
        for version in range(1, count + 1):
            result, seconds = publisher.publish_version(version, "--wait")
            assert result[0] == 0, result
            taken.append(seconds)
        publisher.close()
    print_percentiles("publication-to-in-force nodes=%d log_delay_ms=%d" %
                      (nodes, delay_ms), taken)


if __name__ == "__main__":
    main()
