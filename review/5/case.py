"""OWNER: a check-in from another writer names a service that isn't named in any desired
state. The router takes it for a new process of its worker, and the leader gives the
worker's keys to others while the worker still holds them."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import mesh as lib

MACHINES = 8
VICTIM = 3
# The rule: two workers that are up hold the same keys for over half a second.
MAX_OVERLAP_S = 0.5


async def send_always(mesh, machine):
    count = 0
    while True:
        count += 1
        key = (count * 9973 + machine.index * 7919) % 65536
        kind = ("/read/x", "GET") if count % 2 else ("/lock/x", "POST")
        await machine.request(kind[0], f"c{machine.index}-{count}", key=key, method=kind[1])
        await asyncio.sleep(0.1)


async def case(has_trouble):
    mesh = lib.Mesh(FOLDER, ["ledger"] * MACHINES, sharded=["ledger"])
    clients = []
    try:
        routes = {"read": ("/read/", "safe", "ledger"), "lock": ("/lock/", "unsafe", "ledger")}
        await mesh.start(mesh.config(10, routes))
        clients = [asyncio.ensure_future(send_always(mesh, machine)) for machine in mesh.machines]
        await asyncio.sleep(6)
        machine = mesh.machines[VICTIM]
        if has_trouble:
            foreign = dict(machine.worker.check_in(), Service="not-named", Sequence=1, born=int(time.time() * 1000))
            await machine.send_check_in("i-of-another-writer", foreign, "foreign-check-in")
        await asyncio.sleep(8)
        seconds, key, one, other, begin = lib.longest_overlap(mesh.workers, lib.now())
        mesh.record.note("longest-overlap", seconds=f"{seconds:.3f}", key=key, workers=f"{one},{other}", begin=begin)
        print(f"two workers held the same keys for {seconds:.2f} s ({one}, {other}, key {key})")
        last_run = max((at for at, _, _ in machine.worker.arrivals), default=0)
        print(f"the sound worker got its last request {lib.now() - last_run:.1f} s before the end")
        return seconds > MAX_OVERLAP_S
    finally:
        for client in clients:
            client.cancel()
        await mesh.stop()


lib.main(case)
