"""Starts, reaches and ends the programs that a test or the demo needs.

Every process is ended by the pid it was started with. Addresses are loopback.
"""

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time

START_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 30
CALL_TIMEOUT_SECONDS = 30
POLL_SECONDS = 0.02


# Below the range from which the system takes the ports of outgoing connections:
# one of those could otherwise take a picked port before its program listens.
FIRST_PORT = 10240
LAST_PORT = 32000
# Ports are taken in blocks that one test program has to itself until it ends: a
# port that looks free may be that of a process that is just being restarted.
BLOCK_PORTS = 100
# Where blocks are claimed; nothing else listens there.
CLAIM_IP = "127.0.0.2"
_claims = []
_free_ports = []


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _claim_block():
    """Ports that no other test program gets while this one runs."""
    bases = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.shuffle(bases)
    for base in bases:
        claim = socket.socket()
        try:
            claim.bind((CLAIM_IP, base))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return list(range(base, base + BLOCK_PORTS))
    raise RuntimeError("no block of ports is left")


def free_addresses(count):
    """Addresses that nobody listens on, each given out once."""
    addresses = []
    while len(addresses) < count:
        if not _free_ports:
            _free_ports.extend(_claim_block())
        port = _free_ports.pop()
        if _is_free(port):
            addresses.append("127.0.0.1:%d" % port)
    return addresses


def wait_until(condition, what, timeout_seconds=START_TIMEOUT_SECONDS):
    """Polls until `condition()` is true; raises TimeoutError with `what`."""
    end = time.monotonic() + timeout_seconds
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(POLL_SECONDS)
    raise TimeoutError("not in %d s: %s" % (timeout_seconds, what))


class Answer:
    """Status, headers (by lower-case name) and body of an HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address, method, target, body=None, headers=None,
         timeout_seconds=CALL_TIMEOUT_SECONDS):
    """One request on a connection of its own."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port),
                                            timeout=timeout_seconds)
    try:
        if isinstance(body, dict):
            body = json.dumps(body)
        connection.request(method, target, body, headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, names, response.read())
    finally:
        connection.close()


class Program:
    """One running program, its log kept in a file of its own."""

    def __init__(self, path, arguments, environment=None):
        self.name = os.path.basename(path)
        self._log = tempfile.NamedTemporaryFile(
            mode="w+", prefix=self.name + "-", suffix=".log")
        self.process = subprocess.Popen(
            [path] + [str(argument) for argument in arguments],
            stdout=subprocess.PIPE, stderr=self._log,
            env=dict(os.environ, **(environment or {})))

    @property
    def pid(self):
        return self.process.pid

    def log_text(self):
        with open(self._log.name, encoding="utf-8", errors="replace") as log:
            return log.read()

    def listening_address(self):
        """The address in its `event=listening` line, once it is there."""
        def find():
            if self.process.poll() is not None:
                raise RuntimeError("%s ended at its start: %s" %
                                   (self.name, self.log_text()))
            return re.search(r"event=listening address=(\S+)", self.log_text())
        return wait_until(find, self.name + " listens").group(1)

    def is_running(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        """Ends it at once, as a lost host would."""
        self.signal(signal.SIGKILL)
        self.process.wait(STOP_TIMEOUT_SECONDS)

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def stop(self):
        """Graceful stop; returns the exit status. Kills what doesn't stop."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self, timeout_seconds=STOP_TIMEOUT_SECONDS):
        try:
            return self.process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def output(self, timeout_seconds):
        """Standard output of a program that ends by itself."""
        try:
            return self.process.communicate(timeout=timeout_seconds)[0].decode()
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def close(self):
        self.kill()
        self.process.stdout.close()
        self._log.close()


class ProgramGroup:
    """Starts programs of one build and ends all of them on exit."""

    def __init__(self, build_dir):
        self._build_dir = build_dir
        self._programs = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for program in self._programs:
            program.signal(signal.SIGCONT)
            program.close()

    def start(self, name, *arguments, environment=None):
        program = Program(os.path.join(self._build_dir, name), arguments,
                          environment)
        self._programs.append(program)
        return program
