"""Publishes versions of a service one after the other by citrongradectl.

Each version allows a body of one byte more, so that a request shows which
version a node has in force.
"""

import http.client
import json
import os
import subprocess
import tempfile
import time

from support.node_mesh import (KEYED, KEYED_PATH, STREAM, WORKSPACE,
                               keyed_call)
from support.processes import call

SMALLEST_BODY = 1000

TEMPLATE = """kind: template
name: sized
parameters:
  max_body: {type: size, default: 1000B}
settings:
  key_source: header
  key_name: X-Key
  slot_count: 64
  idempotent_methods: [GET, HEAD, OPTIONS, PUT]
  max_body: {parameter: max_body}
"""

SERVICE = """kind: service
workspace: %s
name: %s
template: sized
parameters:
  max_body: %dB
"""


class Publisher:
    """Runs citrongradectl against one mesh; its files end with it."""

    def __init__(self, build_dir, mesh, operator="ana"):
        self._program = os.path.join(build_dir, "citrongradectl")
        self._directory = tempfile.TemporaryDirectory()
        self._environment = dict(
            os.environ, CITRONGRADE_LOG_ADDRESS=mesh.log_address,
            CITRONGRADE_LOG_STREAM=STREAM, CITRONGRADE_OPERATOR=operator)

    def close(self):
        self._directory.cleanup()

    def write(self, name, text):
        path = os.path.join(self._directory.name, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, *arguments):
        return subprocess.Popen(
            [self._program, *map(str, arguments)], env=self._environment,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)

    def run(self, *arguments):
        """Exit code, standard output and standard error."""
        process = self.start(*arguments)
        output, errors = process.communicate(timeout=120)
        return process.returncode, output, errors

    def publish_template(self):
        return self.run("publish", self.write("template.yaml", TEMPLATE))

    def service_file(self, version):
        return self.write("service.yaml", SERVICE % (
            WORKSPACE, KEYED, SMALLEST_BODY + version))

    def publish_version(self, version, *flags):
        """Also returns the seconds it took, program start included."""
        path = self.service_file(version)
        begin = time.monotonic()
        result = self.run("publish", path, *flags)
        return result, time.monotonic() - begin


def allows(node, version):
    """Whether the node has this version or a later one in force."""
    body = b"x" * (SMALLEST_BODY + version)
    return keyed_call(node, "key", "PUT", body=body).status == 200


def probe(node, version):
    """True or False as `allows`; None from a node that doesn't say, because it
    is frozen, starting, or can't reach the key's owner."""
    body = b"x" * (SMALLEST_BODY + version)
    try:
        answer = call(node.caller, "PUT", KEYED_PATH + "/work", body,
                      {"X-Key": "key"}, timeout_seconds=2)
    except (OSError, http.client.HTTPException):
        return None
    if answer.status == 200:
        return True
    refused = (answer.status == 400
               and answer.json()["error"] == "malformed-request")
    return False if refused else None


def percentiles(seconds):
    ordered = sorted(seconds)
    return {"p50_ms": round(1000 * ordered[len(ordered) // 2], 1),
            "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
            "max_ms": round(1000 * ordered[-1], 1), "count": len(ordered)}


def print_percentiles(name, seconds):
    print(json.dumps(dict({"measure": name}, **percentiles(seconds))))
