"""A small deployment on loopback for the cases of this review: router processes
started by the command of the deploy file, and stand-ins for the platform's store,
workers and clients, which run in this process and behave as the pages say.

Every machine has a loopback address of its own. Times are seconds on the
monotonic clock, counted from the start of the run."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROUTER = os.path.join(ROOT, "target", "citrongrade-router")
HEARTBEAT_MS = 870
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "StretchMaxMs": 5000, "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10, "BudgetExtraRetries": 58, "RecoveryS": 15,
    "HoldMaxMs": 10000, "ThawSlackMs": 300,
}
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def note(self, event, **facts):
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self.file.write(f"{now():9.3f} {event} {text}\n")


class Cannot(Exception):
    """The case could not be run."""


# --- HTTP ------------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.headers = headers
        self.body = body


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readuntil(b"\r\n")
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """handle(request, writer) returns the bytes of the response, or None to close."""

    def __init__(self, ip, port, handle, idle_s=None):
        self.ip, self.port, self.handle, self.idle_s = ip, port, handle, idle_s
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, backlog=512, limit=1 << 22)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(read_request(reader), self.idle_s)
                work = asyncio.ensure_future(self.handle(request, writer))
                gone = asyncio.ensure_future(self.wait_gone(reader))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not work.done():
                    work.cancel()
                    break
                answer = work.result()
                if answer is None:
                    break
                if self.idle_s:
                    line, rest = answer.split(b"\r\n", 1)
                    answer = line + b"\r\nKeep-Alive: timeout=%d\r\n" % int(self.idle_s) + rest
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @staticmethod
    async def wait_gone(reader):
        # The peers of these servers do not pipeline, so no bytes are expected.
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def stop(self):
        """Ends as a killed process does: the listener and all connections go."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers=(), body=b"", timeout=5.0):
    """One request on a new connection; (status, headers, body), status 0 if the
    connection ended without a complete answer."""
    ip, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port, limit=1 << 22)
            lines = [f"{method} {target} HTTP/1.1", *(f"{n}: {v}" for n, v in headers)]
            if body or method not in ("GET", "DELETE"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
            line, answered = await read_head(reader)
            return int(line.split(" ")[1]), answered, await read_body(reader, answered)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, {}, b""
    finally:
        if writer:
            writer.transport.abort()


# --- the platform's store ---------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.grown = asyncio.Event()

    def append(self, content):
        self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()


class Store:
    ANSWER_S = 0.004

    def __init__(self, ip, port, record):
        self.topics = {}
        self.record = record
        self.server = Server(ip, port, self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def write_operator(self, key, value):
        """The operator's write; its return is the confirmation."""
        body = json.dumps(value).encode() if value is not None else b""
        self.topic("keyed.op").append(bytes([len(key)]) + key.encode() + body)
        self.record.note("operator-writes", key=key, version=value.get("Version") if value else None)
        return now()

    async def handle(self, request, writer):
        await asyncio.sleep(self.ANSWER_S)
        topic = self.topic(request.query.get("Topic", ""))
        if request.path == "/log-append":
            end = len(topic.records)
            if "At" in request.query and int(request.query["At"]) != end:
                return response(412, json.dumps({"End": end}).encode())
            at = 0
            while at < len(request.body):
                (length,) = struct.unpack_from(">I", request.body, at)
                topic.append(request.body[at + 4 : at + 4 + length])
                at += 4 + length
            if "At" in request.query:
                self.record.note("store-append", topic=request.query["Topic"], end=len(topic.records))
            return response(200, json.dumps({"Offset": end, "End": len(topic.records)}).encode())
        if request.path == "/log-newest":
            newest = {}
            for offset, content in enumerate(topic.records):
                key = content[1 : 1 + content[0]].decode()
                newest[key] = (content[1 + content[0] :], offset)
            items = [
                {"Key": key, "Value": base64.b64encode(value).decode(), "Offset": offset}
                for key, (value, offset) in sorted(newest.items()) if value
            ]
            return response(200, json.dumps({"items": items, "More": False, "End": len(topic.records)}).encode())
        if request.path == "/log-read":
            start = int(request.query["From"])
            until = now() + int(request.query.get("WaitMs", 0)) / 1000
            while start >= len(topic.records) and now() < until:
                try:
                    await asyncio.wait_for(topic.grown.wait(), until - now())
                except asyncio.TimeoutError:
                    break
            body = struct.pack(">QQ", len(topic.records), 0)
            for content in topic.records[start:]:
                body += struct.pack(">I", len(content)) + content
            return response(200, body)
        return response(404)


# --- workers ----------------------------------------------------------------


class Worker:
    """A worker of PROTOCOL.md: `slots` requests at once, a few more queued, check-ins
    to the Control address of its machine, fenced grants and releases."""

    SLOTS = 12
    # How long a worker that has just started is slow; its check-ins say so.
    COLD_S = 3.0

    # Its connections are closed when they have been idle for so long; the header
    # Keep-Alive says so in whole seconds. None: never.
    IDLE_S = None

    def __init__(self, machine, service, is_sharded, identity, work_s=0.12):
        self.machine, self.service, self.is_sharded = machine, service, is_sharded
        self.identity, self.work_s = identity, work_s
        self.record = machine.mesh.record
        self.server = Server(machine.ip, machine.port["app"], self.handle, self.IDLE_S)
        self.first_check_in_s = random.random() * 0.2
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_up = False
        self.started = None
        self.ended = None
        # [from, to, fence, begin, end]; the end moves with renewals.
        self.holds = []
        self.fences = []
        self.running = []
        self.at_work = set()
        self.waiting = 0
        self.free = asyncio.Semaphore(self.SLOTS)
        # (time, id, key, is_run) of every request that reached it.
        self.arrivals = []
        self.confirmed_draining = None
        self.reporter = None

    async def start(self):
        await self.server.start()
        self.is_up = True
        self.started = now()
        self.record.note("worker-starts", worker=self.identity, service=self.service, born=self.born)
        self.reporter = asyncio.ensure_future(self.report_always())

    async def crash(self):
        self.is_up = False
        self.ended = now()
        self.reporter.cancel()
        for hold in self.holds:
            hold[4] = min(hold[4], self.ended)
        await self.server.stop()
        self.record.note("worker-crashes", worker=self.identity)

    def check_in(self):
        self.sequence += 1
        return {
            "Service": self.service, "Address": f"{self.machine.ip}:{self.machine.port['app']}",
            "Zone": self.machine.zone, "Version": "v1", "Slots": self.SLOTS, "State": self.state,
            "ColdRemainingMs": max(0, int(1000 * (self.COLD_S - (now() - self.started)))), "Sequence": self.sequence, "born": self.born,
        }

    async def report_always(self):
        await asyncio.sleep(self.first_check_in_s)
        while self.is_up:
            sent = now()
            state = self.state
            if await self.machine.send_check_in(self.identity, self.check_in()) and state == "draining":
                if self.confirmed_draining is None:
                    self.confirmed_draining = now()
                    self.record.note("draining-confirmed", worker=self.identity)
            await asyncio.sleep(max(0.05, HEARTBEAT_MS / 1000 - (now() - sent)))

    def holds_key(self, key):
        moment = now()
        return any(h[0] <= key <= h[1] and h[3] <= moment < h[4] for h in self.holds)

    def grant(self, order, arrived):
        first, last, fence = order["From"], order["Target"], order["fence"]
        if any(f[0] <= last and first <= f[1] and f[2] > fence for f in self.fences):
            return response(409)
        until = arrived + order["HoldMs"] / 1000
        for hold in self.holds:
            if hold[:3] == [first, last, fence] and now() < hold[4]:
                hold[4] = max(hold[4], until)
                return response(200)
        self.fences.append([first, last, fence])
        # What it held of these keys until now goes on under the new grant.
        self.end_holds(first, last)
        self.holds.append([first, last, fence, now(), until])
        self.record.note("granted", worker=self.identity, keys=f"{first}-{last}", fence=fence, hold_ms=order["HoldMs"])
        return response(200)

    def end_holds(self, first, last):
        moment = now()
        kept = []
        for hold in self.holds:
            if hold[4] <= moment or hold[1] < first or hold[0] > last:
                kept.append(hold)
                continue
            kept.append([max(hold[0], first), min(hold[1], last), hold[2], hold[3], moment])
            if hold[0] < first:
                kept.append([hold[0], first - 1, *hold[2:]])
            if hold[1] > last:
                kept.append([last + 1, hold[1], *hold[2:]])
        self.holds = kept

    async def release(self, order):
        first, last = order["From"], order["Target"]
        held = [h for h in self.holds if h[0] <= last and first <= h[1] and now() < h[4]]
        self.end_holds(first, last)
        self.record.note("released", worker=self.identity, keys=f"{first}-{last}")
        while any(key is not None and first <= key <= last for key in self.running):
            await asyncio.sleep(0.005)
        headers = [("Citrongrade-Handover", f"{random.getrandbits(64):016x}")] if held else []
        return response(200, headers=headers)

    async def handle(self, request, writer):
        if request.path == "/grant":
            return self.grant(json.loads(request.body), now())
        if request.path == "/release":
            return await self.release(json.loads(request.body))
        if request.path == "/health":
            status = 200 if self.state == "ready" else 503
            return response(status, headers=[("Citrongrade-Instance-Id", self.identity)])
        return await self.run(request)

    def load(self):
        return ("Citrongrade-Server-Load", f"{len(self.running)},{self.waiting},{self.SLOTS}")

    async def run(self, request):
        attempt = request.headers.get("citrongrade-attempt-id", "")
        echo = [("Citrongrade-Attempt-Id", attempt), self.load()]
        not_run = [*echo, ("Citrongrade-Not-Executed", "1")]
        key = int(request.headers["citrongrade-shard-key"]) if "citrongrade-shard-key" in request.headers else None
        expected = request.headers.get("citrongrade-expected-instance", self.identity)
        arrived = now()
        if expected != self.identity or (self.is_sharded and not self.holds_key(key)):
            return response(421, headers=not_run)
        until = arrived + int(request.headers.get("citrongrade-deadline-ms", 5000)) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(0.01, until - now()))
        except asyncio.TimeoutError:
            return response(503, headers=not_run)
        finally:
            self.waiting -= 1
        self.arrivals.append((arrived, attempt, key))
        self.running.append(key)
        self.at_work.add(attempt)
        self.record.note("run", worker=self.identity, id=attempt, key=key, path=request.path)
        try:
            work = self.work_s * random.uniform(0.7, 1.3)
            left = until - now()
            await asyncio.sleep(max(0, min(work, left)))
            if work > left:
                return response(504, headers=echo)
        finally:
            self.running.remove(key)
            self.at_work.discard(attempt)
            self.free.release()
        seal = ("Citrongrade-Response-Seal", f"seal.{attempt}")
        return response(200, b"done " + attempt.encode(), [*echo, seal])


# --- machines ---------------------------------------------------------------


class Machine:
    def __init__(self, mesh, index, service, is_sharded, work_s):
        self.mesh, self.index, self.service = mesh, index, service
        self.ip = f"127.{mesh.net}.{10 + index // 200}.{1 + index % 200}"
        self.zone = f"zone-{index % 3}"
        self.port = mesh.port
        self.process = None
        self.is_sharded, self.work_s = is_sharded, work_s
        self.starts = 0
        self.worker = None
        self.path = os.path.join(mesh.folder, f"local-{index}.json")
        self.new_worker()

    def new_worker(self, identity=None):
        self.starts += 1
        self.worker = Worker(self, self.service, self.is_sharded, identity or f"i-{self.index}-{self.starts}", self.work_s)
        return self.worker

    def settings(self):
        def at(name):
            return f"{self.ip}:{self.port[name]}"

        zones = {f"zone-{i}": "region-a" for i in range(3)}
        return {
            "NodeName": f"sidecar-{self.index}", "Role": "router", "MachineClass": "sidecar", "Serves": ["sidecar"],
            "Ip": self.ip, "Zone": self.zone, "Region": "region-a", "Zones": zones,
            "Listen": {"Inbound": at("in"), "Outbound": at("out"), "ReadyAddr": at("ready"), "Control": at("control")},
            "PortRange": [self.port["range"], self.port["range"] + 15], "Seeds": [], "Bootstrap": True, "FaultCounted": False,
            "Limits": {"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "DataDir": None, "Discovery": "static", "Entry": "static", "HeartbeatMs": HEARTBEAT_MS,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS, "Grants": "request",
            "AppAddr": at("app"), "Service": self.service,
            "Platform": {
                "Address": f"{self.mesh.store_ip}:{self.port['store']}", "form": "log", "WritesPerS": 400,
                "ReadsPerS": 2000, "parts": 12, "AppendMs": 2.0, "PartMbS": 20.0, "ReadMbS": 80.0,
                "RecordBytes": 262144, "CallBytes": 2097152, "keep_s": 300, "PartMb": 200, "TtlMinMs": 1000,
            },
        }

    async def start_router(self):
        with open(self.path, "w") as file:
            json.dump(self.settings(), file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CITRONGRADE_NODE_FILE"] = self.path
        log = open(os.path.join(self.mesh.folder, f"router-{self.index}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(ROUTER, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.mesh.record.note("router-starts", machine=self.index, ip=self.ip)

    def signal(self, number):
        self.mesh.record.note("signal", machine=self.index, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def send_check_in(self, identity, body, note=None):
        """Whether the check-in was acknowledged: a 2xx within a second, at most 4 KiB."""
        content = json.dumps(body).encode()
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        status, _, answer = await call((self.ip, self.port["control"]), "PUT", f"/instances/{identity}", headers, content, 1.0)
        if note:
            self.mesh.record.note(note, machine=self.index, id=identity, body=json.dumps(body), status=status)
        return 200 <= status < 300 and len(answer) <= 4096

    async def is_ready(self):
        return (await call((self.ip, self.port["ready"]), "GET", "/readiness", timeout=1.0))[0] == 200

    async def request(self, path, attempt, key=None, method="GET", body=b"", deadline_ms=1200, host="h.example"):
        """One client attempt; returns (sent, status, headers, body)."""
        headers = [("Host", host), ("Citrongrade-Attempt-Id", attempt), ("Citrongrade-Deadline-Ms", deadline_ms)]
        if key is not None:
            headers.append(("Citrongrade-Shard-Key", key))
        sent = now()
        self.mesh.record.note("send", machine=self.index, id=attempt, path=path, key=key)
        status, answered, content = await call((self.ip, self.port["out"]), method, path, headers, body, deadline_ms / 1000 + 1.5)
        self.mesh.record.note("answer", id=attempt, status=status, seal=answered.get("citrongrade-response-seal"))
        return sent, status, answered, content


class Mesh:
    """`services`: the service of each machine's worker; those of `sharded` are
    divided by key."""

    def __init__(self, folder, services, sharded=(), work_s=0.12):
        self.case_folder = folder
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.record = Record(folder)
        self.net, self.port = self.find_free_ports()
        self.store_ip = f"127.{self.net}.9.1"
        self.sharded = set(sharded)
        self.store = Store(self.store_ip, self.port["store"], self.record)
        self.machines = [Machine(self, i, service, service in self.sharded, work_s) for i, service in enumerate(services)]
        self.workers = [machine.worker for machine in self.machines]

    @staticmethod
    def find_free_ports():
        for _ in range(100):
            net = random.randrange(60, 250)
            base = random.randrange(21000, 31000, 40)
            names = ("store", "in", "out", "ready", "control", "app", "range")
            port = {name: base + offset for offset, name in enumerate(names)}
            try:
                for value in (*port.values(), port["range"] + 1):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.10.1", value))
                return net, port
            except OSError:
                continue
        raise Cannot("no free ports")

    def config(self, version, routes, timeout_ms=1500, latency_ms=400):
        """`routes`: name: (prefix, kind, service)."""
        return {
            "Version": version,
            "Routes": {
                name: {
                    "Host": "h.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
                    "TargetLatencyMs": latency_ms, "Priority": 1, "Service": service, "MaxAttempts": 2,
                }
                for name, (prefix, kind, service) in routes.items()
            },
            "Services": {
                service: {"HealthPath": "/health", "MaxConnections": 110, "Sharded": service in self.sharded, "WarmupS": 3.0}
                for service in {m.service for m in self.machines}
            },
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 8388608, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        }

    async def start(self, config, settle_s=20.0):
        if not os.path.exists(ROUTER):
            raise Cannot("target/citrongrade-router is missing; run the build of the deploy file")
        await self.store.server.start()
        self.store.write_operator("config", config)
        for machine in self.machines:
            await machine.start_router()
        for machine in self.machines:
            await machine.worker.start()
        end = now() + settle_s
        while now() < end:
            await asyncio.sleep(0.25)
            if await self.has_settled():
                return
        raise Cannot("the mesh did not get ready")

    async def has_settled(self):
        for service in self.sharded:
            workers = [m.worker for m in self.machines if m.service == service]
            if not all(any(w.holds_key(key) for w in workers) for key in range(0, 65536, 64)):
                return False
        return all([await machine.is_ready() for machine in self.machines])

    async def leader(self):
        """The machine that leads, by the metrics of its router."""
        for machine in self.machines:
            _, _, text = await call((machine.ip, self.port["range"] + 1), "GET", "/metrics", timeout=1.0)
            if b"citrongrade_is_leader 1" in text:
                return machine
        raise Cannot("no machine leads")

    async def stop(self):
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.send_signal(signal.SIGKILL)
                machine.process.send_signal(signal.SIGCONT)
                await machine.process.wait()
        for machine in self.machines:
            if machine.worker.is_up:
                await machine.worker.crash()
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.system(f"mkdir -p {keep} && cp {self.folder}/*.log {keep}/")
        self.temporary.cleanup()


def longest_overlap(workers, until):
    """The longest time for which two workers that were up held the same key, as
    (seconds, first key, one worker, the other, begin)."""
    worst = (0.0, None, None, None, None)
    for i, one in enumerate(workers):
        for other in workers[i + 1 :]:
            for a in one.holds:
                for b in other.holds:
                    if a[0] > b[1] or b[0] > a[1]:
                        continue
                    begin = max(a[3], b[3])
                    end = min(a[4], b[4], until)
                    if end - begin > worst[0]:
                        worst = (end - begin, max(a[0], b[0]), one.identity, other.identity, begin)
    return worst


def main(case):
    """`case(has_trouble)` returns whether the rule was broken."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(has_trouble), 115))
    except (Cannot, asyncio.TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
