#!/usr/bin/env python3
"""Measures what the system adds to a direct call, over a mesh on loopback.

Usage: benchmarks/forwarding_mesh.py BUILD_DIR [--nodes N] [--rate R]
       [--seconds S] [--protected SHARE] [--direct SHARE]

Prints the load program's report, each node's processor time and memory, and
the added latency as difference and ratio. Exits 1 when the load program finds
a broken promise.
"""

import argparse
import json
import os
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))
from support.node_mesh import KEYED, KEYED_SETTINGS, Mesh, WORKSPACE
from support.processes import ProgramGroup

ZONES = ("boa-viagem", "derby", "suape")


def read_usage(pid):
    """Processor seconds so far, and resident bytes."""
    with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    resident = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return ticks / os.sysconf("SC_CLK_TCK"), resident


def parse_arguments():
    parser = argparse.ArgumentParser()
    parser.add_argument("build_dir")
    parser.add_argument("--nodes", type=int, default=11)
    parser.add_argument("--rate", type=float, default=2000)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--protected", type=float, default=0)
    parser.add_argument("--direct", type=float, default=0.2)
    parser.add_argument("--senders", type=int, default=128)
    parser.add_argument("--entry-nodes", type=int, default=0,
                        help="nodes that callers use; 0: all")
    parser.add_argument("--target-nodes", type=int, default=0,
                        help="nodes that have a serving target; 0: all")
    return parser.parse_args()


def run_load(arguments, mesh):
    entries = mesh.nodes[:arguments.entry_nodes or len(mesh.nodes)]
    targets = ",".join(node.target_address for node in mesh.nodes)
    command = [
        os.path.join(arguments.build_dir, "citrongrade-load"),
        "--nodes", ",".join(node.caller for node in entries),
        "--service", WORKSPACE + "/" + KEYED, "--key-in", "header:X-Key",
        "--calls-per-second", str(arguments.rate),
        "--duration-ms", str(int(arguments.seconds * 1000)),
        "--protected-share", str(arguments.protected),
        "--direct-share", str(arguments.direct), "--direct", targets,
        "--targets", targets, "--senders", str(arguments.senders), "--json"]
    done = subprocess.run(command, stdout=subprocess.PIPE, check=False)
    return done.returncode, json.loads(done.stdout)


def main():
    arguments = parse_arguments()
    with ProgramGroup(arguments.build_dir) as programs:
        mesh = Mesh(programs)
        mesh.publish_service(KEYED_SETTINGS)
        for index in range(arguments.nodes):
            mesh.start_node(ZONES[index % len(ZONES)])
        mesh.wait_until_served()
        time.sleep(2)
        pids = [node.process.pid for node in mesh.nodes]
        idle_before = [read_usage(pid) for pid in pids]
        time.sleep(3)
        idle = [read_usage(pid) for pid in pids]
        started = time.monotonic()
        status, report = run_load(arguments, mesh)
        seconds = time.monotonic() - started
        loaded = [read_usage(pid) for pid in pids]
        print(json.dumps(report, indent=1))
        for node, before, at_rest, after in zip(mesh.nodes, idle_before, idle,
                                                loaded):
            print("%s idle %.2f%% of a core, %.1f MB; loaded %.1f%%, %.1f MB" %
                  (node.name, (at_rest[0] - before[0]) / 3 * 100,
                   at_rest[1] / 1e6, (after[0] - at_rest[0]) / seconds * 100,
                   after[1] / 1e6))
        busy = sum(after[0] - at_rest[0]
                   for at_rest, after in zip(idle, loaded))
        print("all nodes: %.2f s of processor time in %.2f s" % (busy, seconds))
    return status


if __name__ == "__main__":
    sys.exit(main())
