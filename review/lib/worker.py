"""Stand-in for a worker of the platform. It follows PROTOCOL.md: it checks in at
its node, takes fenced grants, answers releases when the work on the keys has ended,
runs a request only while it holds the request's key, and answers 421 to a request
that names another instance. It appends all it sees to JOURNAL, one JSON line per
event, with the time of the monotonic clock that all processes share.

FAULTS is a file that may hold a JSON object: "shed" is the share of requests that it
refuses with 503, "extra" the share of its answers to requests that it sends once
more, unchanged and late: when the next request comes on the same connection.

Usage: worker.py IP:PORT CHECKIN_IP:PORT SERVICE ID JOURNAL WORK_MS BEAT_MS FAULTS"""

import asyncio
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "testing"))
from http_server import format_response, read_request  # noqa: E402

SLOTS = 12
ACK_TIMEOUT_S = 1.0
# A worker that has just started is slow for some seconds, and says for how long.
COLD_S = 3.0
COLD_FACTOR = 2.0
SHARDED_PREFIX = "sharded"


class Worker:
    def __init__(self, address, control, service, identity, journal, work_ms, beat_ms, faults):
        self.address, self.control, self.service, self.identity = address, control, service, identity
        self.work = int(work_ms) / 1000
        self.beat = int(beat_ms) / 1000
        self.sharded = service.startswith(SHARDED_PREFIX)
        self.journal = open(journal, "a", buffering=1)
        self.holds = []  # [first, last, fence, until]
        self.running = []  # keys
        self.queued = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.state = "ready"
        self.checks_in = True
        self.handovers = 0
        self.faults_file = faults
        self.cold_until = time.monotonic() + COLD_S

    def note(self, event, **facts):
        self.journal.write(json.dumps({"at": time.monotonic(), "event": event, "id": self.identity, **facts}) + "\n")

    def faults(self):
        try:
            with open(self.faults_file) as file:
                return json.load(file)
        except (OSError, ValueError):
            return {}

    async def serve_connection(self, reader, writer):
        extra = None
        try:
            while True:
                request = await read_request(reader)
                if extra:
                    # Late: where the next response is expected.
                    self.note("extra", **extra["note"])
                    writer.write(extra["response"])
                response = await self.handle(request)
                writer.write(response)
                await writer.drain()
                extra = self.choose_extra(request, response)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def choose_extra(self, request, response):
        if request.path in ("/grant", "/release") or random.random() >= self.faults().get("extra", 0):
            return None
        attempt = request.headers.get("citrongrade-attempt-id", "")
        return {"response": response, "note": {"attempt": attempt, "status": int(response.split(b" ", 2)[1])}}

    def held_until(self, key):
        return max((h[3] for h in self.holds if h[0] <= key <= h[1]), default=0.0)

    async def handle(self, request):
        if request.path == "/grant":
            return self.grant(json.loads(request.body))
        if request.path == "/release":
            return await self.release(json.loads(request.body))
        if request.path == "/health":
            return format_response(200 if self.state == "ready" else 503, b"", [("Citrongrade-Instance-Id", self.identity)])
        if request.path == "/test/drain":
            self.state = "draining"
            return format_response(200)
        if request.path == "/test/leave":
            asyncio.get_running_loop().create_task(self.leave())
            return format_response(200)
        return await self.run(request)

    def grant(self, body):
        first, last, fence = body["From"], body["Target"], body["fence"]
        if any(h[0] <= last and first <= h[1] and h[2] > fence for h in self.holds):
            self.note("grant-refused", first=first, last=last, fence=fence)
            return format_response(409)
        until = time.monotonic() + body["HoldMs"] / 1000
        kept = []
        for h in self.holds:
            if h[1] < first or last < h[0]:
                kept.append(h)
                continue
            if h[0] < first:
                kept.append([h[0], first - 1, h[2], h[3]])
            if last < h[1]:
                kept.append([last + 1, h[1], h[2], h[3]])
        # A renewal never shortens a hold.
        same = [h[3] for h in self.holds if h[0] <= first and last <= h[1] and h[2] == fence]
        until = max([until, *same])
        self.holds = [*kept, [first, last, fence, until]]
        self.note("grant", first=first, last=last, fence=fence, until=until)
        return format_response(200)

    async def release(self, body):
        first, last = body["From"], body["Target"]
        now = time.monotonic()
        kept = []
        for h in self.holds:
            if h[1] < first or last < h[0] or h[2] > body["fence"]:
                kept.append(h)
                continue
            if h[0] < first:
                kept.append([h[0], first - 1, h[2], h[3]])
            if last < h[1]:
                kept.append([last + 1, h[1], h[2], h[3]])
            # The token stays known.
            kept.append([max(h[0], first), min(h[1], last), h[2], min(h[3], now)])
        self.holds = kept
        self.note("release", first=first, last=last, fence=body["fence"])
        while any(first <= key <= last for key in self.running):
            await asyncio.sleep(0.002)
        self.handovers += 1
        return format_response(200, b"", [("Citrongrade-Handover", f"{self.identity}-{self.handovers}")])

    async def run(self, request):
        attempt = request.headers.get("citrongrade-attempt-id", "")
        echo = [("Citrongrade-Attempt-Id", attempt), ("Keep-Alive", "timeout=10")]
        not_run = [*echo, ("Citrongrade-Not-Executed", "1")]
        if request.headers.get("citrongrade-expected-instance") not in (None, self.identity):
            self.note("misdirected", attempt=attempt, expected=request.headers["citrongrade-expected-instance"])
            return format_response(421, b"", [*not_run, ("Citrongrade-Instance-Id", self.identity)])
        key = int(request.headers.get("citrongrade-shard-key", -1))
        arrived = time.monotonic()
        if self.sharded and self.held_until(key) <= arrived:
            self.note("not-held", attempt=attempt, key=key)
            return format_response(421, b"", not_run)
        deadline = arrived + int(request.headers.get("citrongrade-deadline-ms", 1000)) / 1000
        if random.random() < self.faults().get("shed", 0):
            self.note("shed", attempt=attempt)
            return format_response(503, b"", not_run)
        async with self.slots:
            began = time.monotonic()
            if began >= deadline:
                return format_response(503, b"", not_run)
            left = min(deadline, self.held_until(key) if self.sharded else deadline) - began
            if left <= 0:
                return format_response(421, b"", not_run)
            self.note("run", attempt=attempt, key=key, caller=request.headers.get("citrongrade-caller-service"))
            self.running.append(key)
            work = self.work * (COLD_FACTOR if began < self.cold_until else 1)
            await asyncio.sleep(min(work, left))
            self.running.remove(key)
        seal = [*echo, ("Citrongrade-Response-Seal", f"seal.{self.identity}.{attempt}"), ("Citrongrade-Server-Load", f"{len(self.running)},0,{SLOTS}")]
        if work > left:
            self.note("run-end", attempt=attempt, status=500)
            return format_response(500, b"", seal)
        self.note("run-end", attempt=attempt, status=200)
        return format_response(200, b"done " + attempt.encode(), seal)

    async def call_node(self, method, body):
        ip, port = self.control.split(":")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = f"{method} /instances/{self.identity} HTTP/1.1\r\nHost: n\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), ACK_TIMEOUT_S)
            return b" 200 " in answer.split(b"\r\n", 1)[0] + b" "
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer:
                writer.close()

    async def check_in(self, sequence):
        body = {"Service": self.service, "Address": self.address, "Zone": "z", "Version": "v1", "Slots": SLOTS, "State": self.state, "ColdRemainingMs": max(0, int(1000 * (self.cold_until - time.monotonic()))), "Sequence": sequence}
        self.note("check-in", sequence=sequence, state=self.state)
        is_acked = await self.call_node("PUT", json.dumps(body).encode())
        self.note("check-in-ended", sequence=sequence, state=body["State"], acked=is_acked)

    async def leave(self):
        self.checks_in = False
        self.note("delete")
        self.note("delete-ended", acked=await self.call_node("DELETE", b""))

    async def check_in_forever(self):
        sequence = 0
        while self.checks_in:
            sequence += 1
            asyncio.get_running_loop().create_task(self.check_in(sequence))
            await asyncio.sleep(self.beat)


async def main():
    worker = Worker(*sys.argv[1:])
    ip, port = worker.address.split(":")
    await asyncio.start_server(worker.serve_connection, ip, int(port))
    worker.note("start")
    await worker.check_in_forever()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
