"""GONE: clients send further safe requests before the first has been answered, and
leave. The router misses the close where more requests have come than it handles at
once on a connection, and the workers go on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

import mesh as lib

MACHINES = 10
CLIENTS = 6
# One request each 30 ms on a connection.
REQUESTS = 14
GAP_S = 0.03
WORK_S = 1.6
DEADLINE_MS = 12000
OBJECTIVE_MS = 2000
# So they leave within half the objective of their first request.
STAY_S = 0.1
# The rule: workers are still at work half a second after the client has left.
LATE_S = 0.5
MAX_SHARE = 0.25


async def send_and_leave(mesh, machine, has_trouble, left):
    reader, writer = await asyncio.open_connection(machine.ip, mesh.port["out"])
    attempts = []
    for number in range(REQUESTS):
        attempt = f"p{machine.index}-{number}"
        attempts.append(attempt)
        head = [f"GET /read/{number} HTTP/1.1", "Host: h.example", f"Citrongrade-Attempt-Id: {attempt}", f"Citrongrade-Deadline-Ms: {DEADLINE_MS}"]
        mesh.record.note("send", machine=machine.index, id=attempt)
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        await asyncio.sleep(GAP_S)
    if has_trouble:
        await asyncio.sleep(STAY_S)
    else:
        for attempt in attempts:
            line, headers = await lib.read_head(reader)
            await lib.read_body(reader, headers)
            mesh.record.note("answer", id=headers.get("citrongrade-attempt-id"), status=line.split(" ")[1])
    writer.close()
    mesh.record.note("leaves", machine=machine.index)
    for attempt in attempts:
        left[attempt] = lib.now()


class Spans:
    """When workers were at work on which request."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.began = {}
        self.ended = {}

    async def watch(self):
        while True:
            for worker in self.mesh.workers:
                for attempt in worker.at_work:
                    self.began.setdefault(attempt, lib.now())
                    self.ended[attempt] = lib.now()
            await asyncio.sleep(0.01)


async def case(has_trouble):
    mesh = lib.Mesh(FOLDER, ["files"] * MACHINES, work_s=WORK_S)
    watch = None
    try:
        await mesh.start(mesh.config(10, {"read": ("/read/", "safe", "files")}, timeout_ms=DEADLINE_MS, latency_ms=OBJECTIVE_MS))
        await asyncio.sleep(5)
        spans = Spans(mesh)
        watch = asyncio.ensure_future(spans.watch())
        left = {}
        await asyncio.gather(*[send_and_leave(mesh, mesh.machines[i], has_trouble, left) for i in range(CLIENTS)])
        await asyncio.sleep(WORK_S * 1.3 + 2)
        # Those at work when the client left, with more than LATE_S of their work to do.
        would_last = [a for a, began in spans.began.items() if began < left[a] and began + WORK_S * 0.7 > left[a] + LATE_S]
        late = [a for a in would_last if spans.ended[a] > left[a] + LATE_S]
        reached = [a for w in mesh.workers for at, a, _ in w.arrivals if at > left[a] + LATE_S]
        for attempt in late:
            mesh.record.note("still-at-work", id=attempt, for_s=f"{spans.ended[attempt] - left[attempt]:.3f}")
        print(f"{len(late)} of {len(would_last)} were still at work half a second after their client had left; {len(reached)} began later")
        return len(late) > MAX_SHARE * max(1, len(would_last)) or len(reached) > 3
    finally:
        if watch:
            watch.cancel()
        await mesh.stop()


lib.main(case)
