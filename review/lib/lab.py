"""Runs a small deployment on loopback: the router with the command of the deploy
file, a worker beside each, the project's stand-in for the store, and clients.
Addresses are 127.N.x.y, so that several deployments may run at a time."""

import http.client
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

LIB = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(LIB))
SHARDED, PLAIN = "sharded-service", "plain-service"
STORE_PORT, LOCK_PORT = 18600, 18599
BEAT_MS = 870
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COULD_NOT_RUN = 2


class CouldNotRun(Exception):
    pass


def router_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        line = next(line for line in file if line.startswith("run"))
    return line.split("=", 1)[1].strip().strip('"').split()


def call(address, method, path, headers=None, body=None, timeout=5.0):
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


class Node:
    def __init__(self, lab, index, service):
        self.lab, self.index, self.service = lab, index, service
        self.ip = f"127.{lab.network}.2.{index + 1}"
        self.zone = f"zone-{index % 3}"
        self.process = self.worker = None
        self.lives = 0
        self.checkin_address = self.at(18604)
        self.settings = os.path.join(lab.folder, f"node-{index}.json")
        self.journal = os.path.join(lab.folder, f"worker-{index}.jsonl")
        self.log = os.path.join(lab.folder, f"node-{index}.log")
        self.faults = os.path.join(lab.folder, f"faults-{index}.json")
        zones = {f"zone-{i}": "region" for i in range(3)}
        with open(self.settings, "w") as file:
            json.dump(
                {
                    "NodeName": f"sidecar-{self.zone}-{index}", "Role": "router", "MachineClass": "sidecar", "Serves": ["sidecar"],
                    "Ip": self.ip, "Zone": self.zone, "Region": "region", "Zones": zones,
                    "Listen": {"Inbound": self.at(18602), "Outbound": self.at(18601), "ReadyAddr": self.at(18603), "Control": self.at(18604)},
                    "PortRange": [18610, 18625], "Seeds": [], "Bootstrap": True, "FaultCounted": False,
                    "Limits": {"CpuShare": 0.2, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
                    "DataDir": None, "Discovery": "static", "Entry": "static", "HeartbeatMs": BEAT_MS,
                    "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"],
                    "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
                    "Bounds": {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "StretchMaxMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetExtraRetries": 58, "RecoveryS": 15, "HoldMaxMs": 10000, "ThawSlackMs": 300},
                    "Grants": "request", "AppAddr": self.at(18606), "Service": service,
                    "Platform": {"Address": lab.store_address, "form": "log", "WritesPerS": 400, "ReadsPerS": 2000, "parts": 12, "AppendMs": 2.0, "PartMbS": 20.0, "ReadMbS": 80.0, "RecordBytes": 262144, "CallBytes": 2097152, "keep_s": 300, "PartMb": 200, "TtlMinMs": 1000},
                },
                file,
            )

    def at(self, port):
        return f"{self.ip}:{port}"

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["CITRONGRADE_NODE_FILE"] = self.settings
        self.process = self.lab.spawn(router_command(), self.log, env=environment, cwd=ROOT)

    def start_worker(self, work_ms=None):
        self.lives += 1
        self.identity = f"i-{self.index:02x}{self.lives:02x}{self.lab.network:02x}{random.randrange(1 << 16):04x}"
        work = self.lab.work_ms if work_ms is None else work_ms
        command = [sys.executable, os.path.join(LIB, "worker.py"), self.at(18606), self.checkin_address, self.service, self.identity, self.journal, str(work), str(BEAT_MS), self.faults]
        self.worker = self.lab.spawn(command, os.path.join(self.lab.folder, f"worker-{self.index}.err"))
        return self.identity

    def kill_worker(self):
        self.worker.kill()
        self.worker.wait()
        self.lab.note("worker-killed", id=self.identity)

    def set_faults(self, **faults):
        """Sets the faults of its worker; none: it is sound again."""
        with open(self.faults + ".new", "w") as file:
            json.dump(faults, file)
        os.rename(self.faults + ".new", self.faults)
        self.lab.note("worker-faults", node=self.index, **faults)

    def is_ready(self):
        try:
            return call(self.at(18603), "GET", "/readiness", timeout=1)[0] == 200
        except OSError:
            return False

    def state(self):
        return json.loads(call(self.at(18611), "GET", "/state")[2])

    def events(self):
        if not os.path.exists(self.journal):
            return []
        with open(self.journal) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def request(self, path, key, attempt, method="POST", body=b"x", deadline_ms=1200):
        headers = {"Host": "h.example", "Citrongrade-Attempt-Id": attempt, "Citrongrade-Deadline-Ms": str(deadline_ms)}
        if key is not None:
            headers["Citrongrade-Shard-Key"] = str(key)
        return call(self.at(18601), method, path, headers, body, deadline_ms / 1000 + 1)


class Lab:
    def __init__(self, case_folder, sharded, plain=0, work_ms=30):
        self.record = open(os.path.join(case_folder, "record.txt"), "w", buffering=1)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes, self.work_ms, self.threads = [], work_ms, []
        self.sends = True
        self.lock = threading.Lock()
        self.network, self.claim = self.claim_network()
        self.store_address = f"127.{self.network}.1.1:{STORE_PORT}"
        store = os.path.join(ROOT, "platform", "testing", "store_standin.py")
        self.spawn([sys.executable, store, self.store_address], os.path.join(self.folder, "store.err"))
        self.nodes = [Node(self, i, s) for i, s in enumerate([SHARDED] * sharded + [PLAIN] * plain)]
        self.note("deployment", network=f"127.{self.network}", nodes=len(self.nodes), trouble=TROUBLE)

    @staticmethod
    def claim_network():
        for network in random.sample(range(1, 250), 200):
            lock = socket.socket()
            try:
                lock.bind((f"127.{network}.1.1", LOCK_PORT))
                return network, lock
            except OSError:
                lock.close()
        raise CouldNotRun("no free loopback network")

    def note(self, event, **facts):
        with self.lock:
            self.record.write(json.dumps({"at": round(time.monotonic(), 4), "event": event, **facts}) + "\n")

    def spawn(self, command, log, **options):
        with open(log, "a") as output:
            process = subprocess.Popen(command, stdout=output, stderr=output, **options)
        self.processes.append(process)
        return process

    def start(self):
        self.wait_for(lambda: call(self.store_address, "GET", "/log-newest?Topic=x&part=0", timeout=1)[0] == 200, 5, "the store")
        self.publish(1)
        for node in self.nodes:
            node.start_worker()
            node.start()
        self.wait_for(lambda: all(n.is_ready() for n in self.nodes), 15, "ready nodes")
        self.wait_for(self.serves_all, 20, "all keys served")

    def serves_all(self):
        first = self.nodes[0]
        return all(first.request("/safe/w", k, f"warm-{k}", "GET", None)[0] == 200 for k in range(1, 65536, 4096))

    def publish(self, version, **changes):
        route = {"Host": "h.example", "TimeoutMs": 1200, "TargetLatencyMs": 400, "Priority": 1, "Service": SHARDED, "MaxAttempts": 2}
        document = {
            "Version": version,
            "Routes": {
                "r-safe": {**route, "PathPrefix": "/safe/", "Kind": "safe"},
                "r-unsafe": {**route, "PathPrefix": "/unsafe/", "Kind": "unsafe"},
                "r-plain": {**route, "PathPrefix": "/plain/", "Kind": "unsafe", "Service": PLAIN},
            },
            "Services": {
                SHARDED: {"HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False, "Sharded": True, "WarmupS": 3.0, "Grants": "request"},
                PLAIN: {"HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False},
            },
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        }
        document.update(changes)
        content = b"\x06config" + json.dumps(document).encode()
        call(self.store_address, "POST", "/log-append?Topic=keyed.op&part=0", body=struct.pack(">I", len(content)) + content)

    def clients(self, nodes, per_node, pause=0.02, path="/unsafe/x", keys=lambda rnd: rnd.randrange(65536)):
        def send(node, number):
            rnd = random.Random(node.index * 1000 + number)
            count = 0
            while self.sends:
                count += 1
                attempt = f"{node.index:02x}{number:02x}{count:08x}"
                sent, status, seal = time.monotonic(), 0, None
                key = keys(rnd)
                try:
                    status, headers, _ = node.request(path, key, attempt)
                    seal = headers.get("Citrongrade-Response-Seal")
                except (OSError, http.client.HTTPException):
                    pass
                self.note("answered", attempt=attempt, key=key, node=node.index, sent=round(sent, 4), status=status, seal=seal)
                time.sleep(pause)

        for node in nodes:
            for number in range(per_node):
                thread = threading.Thread(target=send, args=(node, number), daemon=True)
                thread.start()
                self.threads.append(thread)

    def wait_for(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            time.sleep(0.05)
        raise CouldNotRun(f"timed out after {seconds} s: {what}")

    def leader(self):
        for node in self.nodes:
            try:
                if node.process.poll() is None and node.state()["is_leader"]:
                    return node
            except OSError:
                pass
        return None

    def close(self):
        self.sends = False
        for thread in self.threads:
            thread.join(timeout=4)
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.claim.close()
        for node in self.nodes:
            for event in node.events():
                self.note("worker", node=node.index, seen=event)
            if os.path.exists(node.log):
                with open(node.log) as log:
                    for line in log:
                        if any(f"event={name}" in line for name in ("target-", "leads", "keys-returned", "keys-to-move", "stopped", "stopping", "resigns")):
                            self.note("router-log", node=node.index, line=line.rstrip()[:300])


def holds_of_lives(nodes, ends):
    """Returns, for each life of a worker, its holds as [id, first, last, fence, begin,
    end]. `ends` gives when a life's process was killed."""
    holds = []
    for node in nodes:
        live = {}
        for e in node.events():
            end_of_life = ends.get(e["id"], float("inf"))
            mine = live.setdefault(e["id"], [])
            if e["event"] == "grant":
                same = next((h for h in mine if h[1:4] == [e["first"], e["last"], e["fence"]] and e["at"] < h[5]), None)
                if same:
                    same[5] = min(max(same[5], e["until"]), end_of_life)
                    continue
                # A new range or token replaces what it overlaps.
                for h in list(mine):
                    if h[1] <= e["last"] and e["first"] <= h[2] and e["at"] < h[5]:
                        cut(mine, h, e["first"], e["last"], e["at"])
                mine.append([e["id"], e["first"], e["last"], e["fence"], e["at"], min(e["until"], end_of_life)])
            elif e["event"] == "release":
                for h in list(mine):
                    if h[1] <= e["last"] and e["first"] <= h[2] and h[3] <= e["fence"] and e["at"] < h[5]:
                        cut(mine, h, e["first"], e["last"], e["at"])
        for mine in live.values():
            holds += mine
    return holds


def cut(holds, hold, first, last, at):
    identity, low, high, fence, begin, end = hold
    holds.remove(hold)
    if low < first:
        holds.append([identity, low, first - 1, fence, begin, end])
    if last < high:
        holds.append([identity, last + 1, high, fence, begin, end])
    holds.append([identity, max(low, first), min(high, last), fence, begin, at])


def held_by_two(holds, seconds):
    """Pairs of holds by which two lives held a key together for longer than this."""
    found = []
    for i, a in enumerate(holds):
        for b in holds[i + 1 :]:
            if a[0] == b[0] or a[1] > b[2] or b[1] > a[2]:
                continue
            together = min(a[5], b[5]) - max(a[4], b[4])
            if together > seconds:
                found.append((together, a, b))
    return sorted(found, key=lambda pair: -pair[0])


def read_record(case_folder):
    with open(os.path.join(case_folder, "record.txt")) as file:
        return [json.loads(line) for line in file]
