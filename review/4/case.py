"""OWNER: a worker crashes and is back a second later. Its machine's router renews the
grant of the ended process at the new one, and the leader gives the same keys to
other workers as soon as it hears that the process is a new one."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import mesh as lib

MACHINES = 8
VICTIM = 3
DOWN_S = 1.0
# A worker checks in about every HeartbeatMs (870), the first time so long after its start.
FIRST_CHECK_IN_S = 0.3
# The rule: two workers that are up hold the same keys for over half a second.
MAX_OVERLAP_S = 0.5


async def send_lightly(mesh):
    """One request a second in all, over all keys and machines: a quiet time."""
    count = 0
    while True:
        count += 1
        machine = mesh.machines[count % MACHINES]
        asyncio.ensure_future(machine.request("/read/x", f"q-{count}", key=count * 9973 % 65536))
        await asyncio.sleep(1.0)


async def case(has_trouble):
    # The idle timeout of the workers; their answers say "Keep-Alive: timeout=1".
    lib.Worker.IDLE_S = 1.5
    mesh = lib.Mesh(FOLDER, ["ledger"] * MACHINES, sharded=["ledger"])
    clients = None
    try:
        await mesh.start(mesh.config(10, {"read": ("/read/", "safe", "ledger")}))
        clients = asyncio.ensure_future(send_lightly(mesh))
        await asyncio.sleep(6)
        machine = mesh.machines[VICTIM]
        if has_trouble:
            await machine.worker.crash()
            await asyncio.sleep(DOWN_S)
            worker = machine.new_worker()
            worker.first_check_in_s = FIRST_CHECK_IN_S
            mesh.workers.append(worker)
            await worker.start()
        await asyncio.sleep(8)
        seconds, key, one, other, begin = lib.longest_overlap(mesh.workers, lib.now())
        mesh.record.note("longest-overlap", seconds=f"{seconds:.3f}", key=key, workers=f"{one},{other}", begin=begin)
        print(f"two workers held the same keys for {seconds:.2f} s ({one}, {other}, key {key})")
        return seconds > MAX_OVERLAP_S
    finally:
        if clients:
            clients.cancel()
        await mesh.stop()


lib.main(case)
