"""Callers of a soak: they keep connections open, send requests of all kinds, and
note what they get. Some leave before they have their answer."""

import http.client
import random
import threading
import time

DEADLINE_MS = 1500
# A caller that hears nothing for so long has been forgotten.
FORGOTTEN = 5.0
KINDS = [("/read/x", "GET", True), ("/lock/x", "POST", True), ("/plain/x", "POST", False)]


class Outcome:
    def __init__(self, node, attempt, path):
        self.node = node
        self.attempt = attempt
        self.path = path
        self.sent = time.monotonic()
        self.ended = None
        # 0: the connection ended without an answer.
        self.status = 0
        self.is_whole = True
        self.left = None
        self.is_forgotten = False
        # Headers of its answer.
        self.headers = {}


class Caller(threading.Thread):
    def __init__(self, node, number, outcomes):
        super().__init__(daemon=True)
        self.node = node
        self.number = number
        self.outcomes = outcomes
        self.random = random.Random(number)
        self.connection = None
        self.is_running = True
        self.count = 0

    def run(self):
        while self.is_running:
            outcome = self.send_one()
            self.outcomes.append(outcome)
            time.sleep(0.15 if outcome.status in (0, 503) else 0.04)

    def send_one(self):
        self.count += 1
        path, method, has_key = self.random.choice(KINDS)
        outcome = Outcome(self.node, f"{self.node.index}-{self.number}-{self.count}", path)
        headers = {"Host": "h.example", "Citrongrade-Attempt-Id": outcome.attempt, "Citrongrade-Deadline-Ms": str(DEADLINE_MS)}
        if has_key:
            headers["Citrongrade-Shard-Key"] = str(self.random.randrange(65536))
        body = None if method == "GET" else outcome.attempt.encode() * self.random.choice([1, 1, 2000])
        try:
            self.exchange(outcome, method, headers, body)
        except TimeoutError:
            outcome.is_forgotten = outcome.left is None
            self.drop()
        except (OSError, http.client.HTTPException):
            self.drop()
        outcome.ended = time.monotonic()
        return outcome

    def exchange(self, outcome, method, headers, body):
        if self.connection is None:
            ip, port = self.node.callers.split(":")
            self.connection = http.client.HTTPConnection(ip, int(port), timeout=FORGOTTEN)
        self.connection.request(method, outcome.path, body=body, headers=headers)
        if self.random.random() < 0.03:
            time.sleep(0.02)
            outcome.left = time.monotonic()
            self.drop()
            return
        response = self.connection.getresponse()
        content = response.read()
        outcome.status = response.status
        outcome.headers = dict(response.getheaders())
        seal = response.getheader("Citrongrade-Response-Seal")
        if response.status == 200:
            outcome.is_whole = seal == f"seal.{outcome.attempt}" and content == b"done " + (body or b"")
        if response.getheader("Connection", "").lower() == "close":
            self.drop()

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Callers:
    def __init__(self, nodes, each=2):
        self.outcomes = []
        self.callers = [Caller(node, i, self.outcomes) for node in nodes for i in range(each)]
        for caller in self.callers:
            caller.start()

    def stop(self):
        for caller in self.callers:
            caller.is_running = False
        for caller in self.callers:
            caller.join(FORGOTTEN * 2)
        return self.outcomes
