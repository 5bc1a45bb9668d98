"""A mesh of nodes with their targets on one log stream, for process tests."""

import json

from support.log_client import LogClient
from support.node_control import NodeControl
from support.processes import call, free_addresses, wait_until

WORKSPACE = "recife"
KEYED = "sorteio"
KEYED_PATH = "/" + WORKSPACE + "/" + KEYED
STREAM = "mesh"
KEYED_SETTINGS = {
    "key_source": "header", "key_name": "X-Key", "slot_count": 256,
    "idempotent_methods": ["GET", "HEAD", "OPTIONS"],
    "default_deadline": "5s", "max_deadline": "60s", "max_body": "80MiB",
}


class Node(NodeControl):
    """One node and its target."""

    def __init__(self, name, caller, control):
        self.name = name
        self.caller = caller
        self.control = control
        self.process = None
        self.target = None
        self.target_address = None

    def metrics(self):
        return call(self.control, "GET", "/v1/metrics").body.decode()


class Mesh:
    """Started by `start`, ended with its ProgramGroup."""

    def __init__(self, programs):
        self.programs = programs
        self.nodes = []
        log = programs.start("citrongrade-log-standin",
                             "--listen-address", "127.0.0.1:0")
        self.log_address = log.listening_address()
        self.log = LogClient(self.log_address, STREAM)
        self._records = 0

    def publish(self, kind, name, body):
        """A first version of a configuration entry."""
        self._records += 1
        answer = self.log.append(json.dumps({
            "id": "test-%d" % self._records, "type": "config", "kind": kind,
            "name": name, "based_on": 0, "body": json.dumps(body),
            "operator": "test"}))
        assert answer.status == 201, answer.body

    def publish_service(self, settings, service=KEYED, workspace=WORKSPACE):
        template = "template-of-" + service
        self.publish("template", template,
                     {"kind": "template", "name": template,
                      "settings": settings})
        self.publish("service", workspace + "/" + service,
                     {"kind": "service", "workspace": workspace,
                      "name": service, "template": template})

    def start_node(self, zone="derby", service=KEYED, target_flags=(),
                   node_flags=(), with_target=True, service_time_us=200):
        name = "node-%d" % (len(self.nodes) + 1)
        caller, control, data, peer, target = free_addresses(5)
        node = Node(name, caller, control)
        node.process = self.programs.start(
            "citrongrade-node", "--node-id", name, "--zone", zone,
            "--caller-address", caller, "--control-address", control,
            "--data-address", data, "--peer-address", peer,
            "--log-address", self.log_address, "--log-stream", STREAM,
            *node_flags)
        self.nodes.append(node)
        if not with_target:
            return node
        node.target_address = target
        node.target = self.programs.start(
            "citrongrade-target-standin", "--listen-address", target,
            "--node-address", control, "--workspace", WORKSPACE,
            "--service", service, "--slots", "12", "--connections", "110",
            "--service-time-us", service_time_us, "--announce-interval-ms", "200",
            *target_flags)
        return node

    def wait_until_served(self):
        wait_until(self._all_ready, "all nodes are ready")
        wait_until(self._all_slots_owned, "all slots have owners")

    def _all_ready(self):
        for node in self.nodes:
            if not node.process.is_running():
                raise RuntimeError(node.name + " ended at its start: " +
                                   node.process.log_text())
        return all(node.is_ready() for node in self.nodes)

    def _all_slots_owned(self):
        services = self.nodes[0].services()
        return services and all(each["unowned_slots"] == 0
                                for each in services)


def keyed_call(node, key, method="GET", target="", body=None, **headers):
    """A call of the keyed service by way of `node`."""
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(node.caller, method, KEYED_PATH + "/work" + target, body,
                {"X-Key": key, **names})
