"""Publications: in force everywhere, never reverting, with definite answers."""

import json
import sys
import threading
import time
import unittest

from support.node_mesh import Mesh
from support.processes import ProgramGroup, wait_until
from support.publications import (Publisher, allows, percentiles,
                                  print_percentiles, probe)

BUILD_DIR = sys.argv.pop(1)
OK, CONFLICT, UNKNOWN, LAGGING, UNREACHABLE = 0, 4, 5, 6, 7
PUBLICATIONS = 100
SECONDS_WITH_LOG_WELL = 2
SECONDS_WITH_LOG_SLOW = 11


class Watch:
    """Asks nodes all the time for `version`, the newest that is in force.

    With `everywhere`, `version` is set once all nodes have it, so a refusal by
    any of them is a step back. Else a node may still be on its way to it, and a
    refusal is a step back after that node has allowed the same version.
    """

    def __init__(self, nodes, everywhere):
        self.version = 0
        self.reverted = []
        self.asked = 0
        self._everywhere = everywhere
        self._had = {node.name: -1 for node in nodes}
        self._nodes = nodes
        self._stopping = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self):
        self._stopping = True
        self._thread.join()

    def _run(self):
        while not self._stopping:
            for node in self._nodes:
                self._ask(node, self.version)
            time.sleep(0.02)

    def _ask(self, node, version):
        answer = probe(node, version)
        had_it = self._everywhere or version <= self._had[node.name]
        if answer is False and had_it:
            self.reverted.append((node.name, version))
        if answer:
            self._had[node.name] = max(self._had[node.name], version)
        # Also what it had before: a node on its way to a newer one.
        if not self._everywhere and self._had[node.name] >= 0:
            if probe(node, self._had[node.name]) is False:
                self.reverted.append((node.name, self._had[node.name]))
        self.asked += 1


class PublishTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        self.mesh = Mesh(programs)
        self.publisher = Publisher(BUILD_DIR, self.mesh)
        self.addCleanup(self.publisher.close)
        self.assertEqual(self.publisher.publish_template()[0], OK)
        self.assertEqual(self.publisher.publish_version(0)[0][0], OK)

    def start_nodes(self, count):
        zones = ("boa-viagem", "derby", "suape")
        for i in range(count):
            self.mesh.start_node(zones[i % len(zones)])
        self.mesh.wait_until_served()

    # An operator publishes a hundred times in a row. Each version is in force
    # on all nodes within the time, and a caller who met a version never meets
    # an earlier one again, on any node.
    def test_a_hundred_publications_are_in_force_and_never_revert(self):
        self.start_nodes(4)
        watch = Watch(self.mesh.nodes, everywhere=True)
        self.addCleanup(watch.stop)
        taken = []
        for version in range(1, PUBLICATIONS + 1):
            (code, output, errors), seconds = self.publisher.publish_version(
                version, "--wait")
            self.assertEqual(code, OK, output + errors)
            self.assertTrue(all(allows(node, version)
                                for node in self.mesh.nodes))
            self.assertFalse(allows(self.mesh.nodes[0], version + 1))
            watch.version = version
            taken.append(seconds)
        watch.stop()
        print_percentiles("publication-to-in-force-log-well", taken)
        self.assertEqual(watch.reverted, [])
        self.assertGreater(watch.asked, PUBLICATIONS)
        self.assertLess(percentiles(taken)["p99_ms"],
                        1000 * SECONDS_WITH_LOG_WELL)

    # Meanwhile a node freezes and returns, another joins, the log loses answers
    # and is down for a while. Each publication ends in a yes, no node goes back
    # to an earlier version, and in the end the last one is in force on all.
    def test_no_node_goes_back_while_nodes_and_the_log_fail(self):
        self.start_nodes(4)
        watch = Watch(self.mesh.nodes[:], everywhere=False)
        self.addCleanup(watch.stop)
        frozen = self.mesh.nodes[2].process
        for version in range(1, 41):
            if version % 3 == 0:
                self.mesh.log.set_faults(lose_answers=1)
            if version == 8:
                frozen.pause()
            if version == 16:
                frozen.resume()
            if version == 20:
                self.mesh.start_node("derby")
            if version == 26:
                self.mesh.log.set_faults(outage=True)
                end = threading.Timer(
                    1.5, lambda: self.mesh.log.set_faults(outage=False))
                end.start()
                self.addCleanup(end.join)
            (code, output, errors), _ = self.publisher.publish_version(version)
            self.assertEqual(code, OK, output + errors)
            wait_until(lambda v=version: allows(self.mesh.nodes[0], v),
                       "version %d is in force on the first node" % version)
            watch.version = version
            time.sleep(0.1)
        code, output, _ = self.publisher.run("wait")
        self.assertEqual(code, OK, output)
        watch.stop()
        self.assertEqual(watch.reverted, [])
        for node in self.mesh.nodes:
            wait_until(lambda n=node: allows(n, 40), node.name + " has it")
            self.assertFalse(allows(node, 41))

    # The log answers each call late. Publishing needs several calls and nodes
    # long-poll, so it takes longer, and still no longer than agreed.
    def test_a_slow_log_delays_a_publication_within_bounds(self):
        self.start_nodes(3)
        self.mesh.log.set_faults(delay_ms=200)
        taken = []
        for version in range(1, 6):
            (code, output, errors), seconds = self.publisher.publish_version(
                version, "--wait")
            self.assertEqual(code, OK, output + errors)
            taken.append(seconds)
        print_percentiles("publication-to-in-force-log-slow", taken)
        self.assertLess(max(taken), SECONDS_WITH_LOG_SLOW)

    # The log loses the answers of the next appends after taking the records.
    # The operator still gets a yes, and the record is in force once.
    def test_a_lost_answer_ends_in_a_definite_yes(self):
        for version in range(1, 11):
            self.mesh.log.set_faults(lose_answers=1)
            code, output, _ = self.publisher.publish_version(version)[0]
            self.assertEqual(code, OK, output)
            self.assertIn("accepted", output)
        history = json.loads(self.publisher.run("history", "--json")[1])
        accepted = [change for change in history if change["accepted"]]
        self.assertEqual(len(accepted), 12)

    # The log is down from the start, then goes down after it took the record
    # and lost the answer: the first is a definite no, the second is said to be
    # not known, with the command that finds out later.
    def test_what_is_not_known_is_said_and_can_be_found_out(self):
        self.mesh.log.set_faults(outage=True)
        code, _, _ = self.publisher.publish_version(1, "--timeout-ms", 500)[0]
        self.assertEqual(code, UNREACHABLE)
        self.mesh.log.set_faults(outage=False, lose_answers=1, delay_ms=150)
        path = self.publisher.service_file(2)
        process = self.publisher.start("publish", path, "--timeout-ms", 900,
                                       "--json")
        self.wait_for_append()
        self.mesh.log.set_faults(outage=True, delay_ms=0)
        output, errors = process.communicate(timeout=60)
        self.assertEqual(process.returncode, UNKNOWN, output + errors)
        record = json.loads(output)["records"][0]
        self.assertIn("history --record " + record["record"],
                      record["message"])
        self.mesh.log.set_faults(outage=False)
        code, output, _ = self.publisher.run(
            "history", "--record", record["record"], "--json")
        self.assertEqual(code, OK)
        self.assertTrue(json.loads(output)[0]["accepted"])

    def wait_for_append(self):
        first = 3
        end = time.monotonic() + 20
        while self.mesh.log.bounds().json()["next"] <= first:
            self.assertLess(time.monotonic(), end)

    # Two operators publish at the same moment. One wins; the other learns which
    # version beat it and by whom, and nothing of its own is in force.
    def test_of_two_publishers_one_wins_and_one_is_told(self):
        other = Publisher(BUILD_DIR, self.mesh, "rui")
        self.addCleanup(other.close)
        self.mesh.log.set_faults(delay_ms=40)
        conflicts = 0
        for version in range(1, 31, 2):
            mine = self.publisher.start(
                "publish", self.publisher.service_file(version))
            theirs = other.start("publish", other.service_file(version + 1))
            outputs = [process.communicate(timeout=60)[0]
                       for process in (mine, theirs)]
            codes = (mine.returncode, theirs.returncode)
            self.assertIn(OK, codes)
            self.assertTrue(set(codes) <= {OK, CONFLICT}, outputs)
            if CONFLICT in codes:
                conflicts += 1
                loser = codes.index(CONFLICT)
                self.assertIn("by %s was first" % ("rui", "ana")[loser],
                              outputs[loser])
        self.assertGreater(conflicts, 5)

    def test_mistakes_in_settings_come_in_one_message(self):
        code, _, errors = self.publisher.run(
            "publish", self.publisher.service_file(1), "--log-address", "here",
            "--operator", "", "--log-stream", "")
        self.assertEqual(code, 2)
        for part in ("--log-address", "--operator", "--log-stream"):
            self.assertIn(part, errors)

    # A node is frozen. The others are in force; the operator is told which one
    # lags instead of waiting without an end.
    def test_wait_names_the_node_that_lags(self):
        self.start_nodes(3)
        frozen = self.mesh.nodes[1]
        frozen.process.pause()
        code, output, _ = self.publisher.publish_version(
            1, "--wait", "--timeout-ms", 3000)[0]
        self.assertEqual(code, LAGGING, output)
        self.assertIn(frozen.name, output)
        self.assertNotIn(self.mesh.nodes[0].name, output)


if __name__ == "__main__":
    unittest.main()
