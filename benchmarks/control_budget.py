#!/usr/bin/env python3
"""What a node costs while no caller calls: control alone.

Usage: benchmarks/control_budget.py BUILD_DIR [NODES...]

For each number of nodes: starts them with a target each, waits until all slots
are owned and no slot moves, then prints by node: processor time in percent of a
core, resident memory, and bytes on the loopback interface, which holds both
ends of every connection, TCP's headers and the targets' announcements.
"""

import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests"))

# pylint: disable=wrong-import-position
from support.mesh import RECIFE, MeshPlan, RegionMesh, ServicePlan
from support.processes import ProgramGroup

SETTLE_SECONDS = 15
SAMPLE_SECONDS = 20
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def processor_seconds(pid):
    with open("/proc/%d/stat" % pid, encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as status:
        line = next(each for each in status if each.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def loopback_bytes():
    with open("/proc/net/dev", encoding="ascii") as devices:
        line = next(each for each in devices if each.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


def measure(build_dir, nodes):
    service = RECIFE.services[0]
    plan = MeshPlan(RECIFE.region, RECIFE.zones, RECIFE.workspace, [ServicePlan(
        service.workspace, service.service, nodes, service.slots,
        service.connections, service.key_in, ())])
    with ProgramGroup(build_dir) as programs:
        log = programs.start("citrongrade-log-standin",
                             "--listen-address", "127.0.0.1:0")
        mesh = RegionMesh(programs, plan, log.listening_address())
        mesh.start()
        mesh.publish(os.path.join(ROOT, "examples"))
        mesh.wait_until_served()
        time.sleep(SETTLE_SECONDS)
        pids = [host.node.pid for host in mesh.hosts]
        used = [processor_seconds(pid) for pid in pids]
        carried = loopback_bytes()
        time.sleep(SAMPLE_SECONDS)
        carried = loopback_bytes() - carried
        spent = [processor_seconds(pid) - before
                 for pid, before in zip(pids, used)]
        memory = [resident_megabytes(pid) for pid in pids]
    print("nodes=%d processor_percent_mean=%.2f processor_percent_max=%.2f "
          "memory_mb_mean=%.1f memory_mb_max=%.1f loopback_bytes_per_second=%d"
          % (nodes, 100 * sum(spent) / nodes / SAMPLE_SECONDS,
             100 * max(spent) / SAMPLE_SECONDS, sum(memory) / nodes,
             max(memory), carried / nodes / SAMPLE_SECONDS), flush=True)


def main():
    sizes = [int(each) for each in sys.argv[2:]] or [7, 30, 60]
    for nodes in sizes:
        measure(sys.argv[1], nodes)


if __name__ == "__main__":
    main()
