"""Meshes as their users run them: hosts in availability zones, each with a node
and a target, and callers. Shared by the demo and process tests."""

import json
import os

from support.node_control import NodeControl
from support.processes import free_addresses, wait_until

SERVED_TIMEOUT_SECONDS = 60
# Callers of a demo or a test, not the hundreds of a day.
CALLER_THREADS = 64


class ServicePlan:
    """One service of a workspace: its targets, and how callers use it."""

    def __init__(self, workspace, service, workers, slots, connections, key_in,
                 load_flags, target_flags=()):
        self.workspace = workspace
        self.service = service
        self.workers = workers
        self.slots = slots
        self.connections = connections
        self.key_in = key_in
        self.load_flags = load_flags
        self.target_flags = target_flags

    @property
    def name(self):
        return self.workspace + "/" + self.service

    def host_name(self, number):
        return "%s-%d" % (self.service, number + 1)

    def capped(self, most_workers):
        return ServicePlan(self.workspace, self.service,
                           min(self.workers, most_workers), self.slots,
                           self.connections, self.key_in, self.load_flags, self.target_flags)


class MeshPlan:
    """One region: its log stream, its availability zones and its services."""

    def __init__(self, region, zones, workspace, services):
        self.region = region
        self.zones = zones
        self.workspace = workspace
        self.services = services

    def capped(self, most_workers):
        return MeshPlan(self.region, self.zones, self.workspace,
                        [each.capped(most_workers) for each in self.services])


KEYED_LOAD = ("--protected-share", 0.4, "--key-skew", 0.9,
              "--caller-skew", 0.5, "--keys", 400)
UPLOAD_LOAD = ("--protected-share", 0, "--upload-share", 0.3,
               "--download-share", 0.1, "--upload-bytes", 262144,
               "--download-bytes", 262144)
# A service that isn't divided by key has no owners and so no grants.
NO_GRANTS = ("--no-checks-grants",)

RECIFE = MeshPlan("recife", ("boa-viagem", "derby", "suape"),
                  "instituto-amostra-justa", [
    ServicePlan("instituto-amostra-justa", "sorteio", 7, 12, 110,
                "header:Engagement", KEYED_LOAD),
    ServicePlan("instituto-amostra-justa", "evidencia", 3, 12, 110, "none",
                UPLOAD_LOAD, NO_GRANTS)])
RIO_GRANDE = MeshPlan("rio-grande",
                      ("cais-norte", "cais-central", "terminal-sul"),
                      "porto-amarracao", [
    ServicePlan("porto-amarracao", "berth-board", 8, 9, 70, "header:Berth",
                KEYED_LOAD),
    ServicePlan("porto-amarracao", "survey-archive", 3, 9, 70, "none",
                UPLOAD_LOAD, NO_GRANTS)])


class Host(NodeControl):
    """A node and its target, which are lost together."""

    def __init__(self, number, zone, plan, node, target, addresses):
        self.number = number
        self.zone = zone
        self.plan = plan
        self.node = node
        self.target = target
        self.addresses = addresses
        self.caller, self.control = addresses[:2]
        self.is_lost = False

    @property
    def name(self):
        return self.plan.host_name(self.number)

    def is_running(self):
        return self.node.is_running() and self.target.is_running()

    def ended_by_itself(self):
        """The programs that ended though nobody ended them."""
        return [] if self.is_lost else [
            each for each in (self.node, self.target) if not each.is_running()]

    def kill(self):
        self.is_lost = True
        self.node.kill()
        self.target.kill()

    def stop(self):
        """Exit statuses of the node, which hands over first, and the target."""
        self.is_lost = True
        return self.node.stop(), self.target.stop()


class RegionMesh:
    """The hosts of one MeshPlan, ended with their ProgramGroup."""

    def __init__(self, programs, plan, log_address):
        self.plan = plan
        self._programs = programs
        self._log_address = log_address
        # Where each service's load program collects the targets' runs.
        self.collectors = dict(zip((each.name for each in plan.services),
                                   free_addresses(len(plan.services))))
        self.hosts = []

    def start(self):
        for plan in self.plan.services:
            for number in range(plan.workers):
                self.start_host(plan, number)

    def start_host(self, plan, number, addresses=None):
        name = plan.host_name(number)
        zone = self.plan.zones[number % len(self.plan.zones)]
        addresses = addresses or free_addresses(5)
        caller, control, data, peer, target = addresses
        node = self._programs.start(
            "citrongrade-node", "--node-id", name, "--zone", zone,
            "--caller-address", caller, "--control-address", control,
            "--data-address", data, "--peer-address", peer,
            "--log-address", self._log_address,
            "--log-stream", self.plan.region,
            "--caller-threads", CALLER_THREADS)
        target_process = self._programs.start(
            "citrongrade-target-standin", "--listen-address", target,
            "--node-address", control, "--name", name,
            "--workspace", plan.workspace, "--service", plan.service,
            "--slots", plan.slots, "--connections", plan.connections,
            "--report-runs-to", self.collectors[plan.name],
            "--seed", number + 1, *plan.target_flags)
        host = Host(number, zone, plan, node, target_process, addresses)
        self.hosts.append(host)
        return host

    def restart_host(self, host):
        """A lost host comes back under its old addresses."""
        self.hosts.remove(host)
        return self.start_host(host.plan, host.number, host.addresses)

    def publish(self, examples_dir):
        """Puts the region's declarations in force on all nodes."""
        publisher = self._programs.start(
            "citrongradectl", "publish",
            os.path.join(examples_dir, "templates"),
            os.path.join(examples_dir, "services", self.plan.workspace),
            "--log-address", self._log_address,
            "--log-stream", self.plan.region, "--operator", "demo",
            "--timeout-ms", SERVED_TIMEOUT_SECONDS * 1000, "--wait")
        output = publisher.output(SERVED_TIMEOUT_SECONDS * 2)
        if publisher.process.returncode != 0:
            raise RuntimeError("publish: exit status %d: %s%s" % (
                publisher.process.returncode, output, publisher.log_text()))
        return output

    def _all_ready(self):
        for host in self.hosts:
            for program in host.ended_by_itself():
                raise RuntimeError("%s of %s ended: %s" % (
                    program.name, host.name, program.log_text()))
        return all(host.is_ready() for host in self.hosts)

    def wait_until_served(self):
        wait_until(self._all_ready,
                   "all nodes of %s are ready" % self.plan.region,
                   SERVED_TIMEOUT_SECONDS)
        wait_until(self._all_slots_owned,
                   "all slots of %s have owners" % self.plan.region,
                   SERVED_TIMEOUT_SECONDS)

    def _all_slots_owned(self):
        running = next(host for host in self.hosts if host.is_running())
        services = running.services()
        return (len(services) == len(self.plan.services) and
                all(each["unowned_slots"] == 0 for each in services))

    def hosts_of(self, plan):
        return [host for host in self.hosts if host.plan is plan]

    def start_load(self, plan, *flags):
        """Callers of one service, who reach it by any node of the region."""
        callers = ",".join(host.caller for host in self.hosts
                           if host.is_running())
        return self._programs.start(
            "citrongrade-load", "--nodes", callers, "--service", plan.name,
            "--key-in", plan.key_in, "--workers", plan.workers,
            "--collect-address", self.collectors[plan.name], "--json",
            *plan.load_flags, *flags)


def load_report(load, timeout_seconds):
    """The report of a load program, once it ends by itself."""
    output = load.output(timeout_seconds)
    if not output:
        raise RuntimeError("no report: exit status %s: %s" %
                           (load.process.returncode, load.log_text()))
    return json.loads(output)
