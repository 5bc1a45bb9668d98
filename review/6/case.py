"""DRAIN: a check-in from another writer, with a Sequence of another type, makes the
router take all later check-ins of its worker for outdated ones. It confirms that the
worker is draining without noting it, and goes on to send it requests."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import mesh as lib

MACHINES = 8
VICTIM = 3


async def send_always(mesh, machine, sent):
    count = 0
    while True:
        count += 1
        attempt = f"c{machine.index}-{count}"
        sent[attempt] = lib.now()
        await machine.request("/doc/x", attempt, method="POST", body=b"a scan")
        await asyncio.sleep(0.1)


async def case(has_trouble):
    mesh = lib.Mesh(FOLDER, ["files"] * MACHINES)
    clients = []
    sent = {}
    try:
        await mesh.start(mesh.config(10, {"doc": ("/doc/", "unsafe", "files")}))
        await asyncio.sleep(4)
        clients = [asyncio.ensure_future(send_always(mesh, machine, sent)) for machine in mesh.machines]
        await asyncio.sleep(3)
        machine = mesh.machines[VICTIM]
        worker = machine.worker
        if has_trouble:
            # A fraction where the worker sends a whole number: seconds since 1970.
            foreign = dict(worker.check_in(), Sequence=time.time())
            await machine.send_check_in(worker.identity, foreign, "foreign-check-in")
        await asyncio.sleep(2)
        # The worker serves on for many seconds, as the pages allow.
        worker.state = "draining"
        await asyncio.sleep(9)
        if worker.confirmed_draining is None:
            raise lib.Cannot("the worker got no confirmation")
        bound = worker.confirmed_draining + lib.BOUNDS["DrainMs"] / 1000
        late = [(at, attempt) for at, attempt, _ in worker.arrivals if at > bound and sent[attempt] > bound]
        for at, attempt in late:
            mesh.record.note("late", id=attempt, after_confirmation=f"{at - worker.confirmed_draining:.3f}")
        print(f"{len(late)} requests reached the worker later than DrainMs after the confirmation")
        return len(late) > 0
    finally:
        for client in clients:
            client.cancel()
        await mesh.stop()


lib.main(case)
