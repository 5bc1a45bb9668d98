"""Owners that freeze, die, or lose their target in the middle of requests."""

import sys
import threading
import time
import unittest

from support.node_mesh import KEYED_SETTINGS, Mesh, keyed_call
from support.processes import ProgramGroup, call, wait_until

BUILD_DIR = sys.argv.pop(1)
LONG_DEADLINE = {"Citrongrade_Deadline_Ms": "30000"}


class LostOwnerTest(unittest.TestCase):

    def setUp(self):
        programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(programs.__exit__)
        self.mesh = Mesh(programs)
        self.mesh.publish_service(KEYED_SETTINGS)
        for zone in ("boa-viagem", "derby", "suape", "derby"):
            self.mesh.start_node(zone)
        self.mesh.wait_until_served()
        self.entry = self.mesh.nodes[0]
        self.owner, self.key = self.find_other_owner()

    def find_other_owner(self):
        by_target = {node.target_address: node for node in self.mesh.nodes}
        for index in range(100):
            key = "audit-%d" % index
            target = keyed_call(self.entry, key).json()["target"]
            if target != self.entry.target_address:
                return by_target[target], key
        raise AssertionError("the entry node owns every key")

    def post_in_background(self, request_id):
        answers = []
        thread = threading.Thread(target=lambda: answers.append(keyed_call(
            self.entry, self.key, "POST", body=b"x",
            Idempotency_Key=request_id, **LONG_DEADLINE)))
        thread.start()
        return thread, answers

    def slow_down(self, target_address, factor):
        answer = call(target_address, "POST", "/v1/control",
                      {"slowness": factor})
        self.assertEqual(answer.status, 200)

    def runs_of(self, request_id):
        runs = []
        for node in self.mesh.nodes:
            if node.target.is_running():
                runs += [run for run in call(node.target_address, "GET",
                                             "/v1/runs").json()["runs"]
                         if run["idempotency_key"] == request_id]
        return runs

    def wait_until_served_elsewhere(self):
        def served():
            answer = keyed_call(self.entry, self.key)
            return (answer.status == 200 and
                    answer.json()["target"] != self.owner.target_address)
        wait_until(served, "another node serves the key")

    # The owner's node freezes while its target runs a protected request. The
    # entry node's heartbeat ends the caller's wait long before the deadline,
    # as unknown. Another node takes the key over; the resend is not run again.
    def test_owner_freezes(self):
        self.slow_down(self.owner.target_address, 20000)
        thread, answers = self.post_in_background("once")
        wait_until(lambda: self.runs_of("once"), "the request runs")
        self.owner.process.pause()
        started = time.monotonic()
        thread.join()
        print("answered after %.1f s" % (time.monotonic() - started),
              file=sys.stderr)
        self.assertEqual(answers[0].json()["outcome"], "unknown")
        self.assertEqual(answers[0].json()["error"], "owner-unreachable")
        self.wait_until_served_elsewhere()
        resend = keyed_call(self.entry, self.key, "POST", body=b"x",
                            Idempotency_Key="once")
        self.assertEqual(resend.json()["outcome"], "unknown")
        self.assertEqual(len(self.runs_of("once")), 1)
        # It wakes as if nothing had happened, and must not serve the key.
        self.owner.process.resume()
        time.sleep(1)
        answer = keyed_call(self.owner, self.key)
        self.assertNotEqual(answer.json().get("target"),
                            self.owner.target_address)

    # The owner's host is lost: its node and its target are killed at once, in
    # the middle of a request. The caller is told unknown; reads are served by
    # another node within seconds.
    def test_owner_dies(self):
        self.slow_down(self.owner.target_address, 20000)
        thread, answers = self.post_in_background("once")
        wait_until(lambda: self.runs_of("once"), "the request runs")
        self.owner.process.kill()
        self.owner.target.kill()
        killed = time.monotonic()
        thread.join()
        self.assertEqual(answers[0].json()["outcome"], "unknown")
        self.wait_until_served_elsewhere()
        print("served elsewhere after %.1f s" % (time.monotonic() - killed),
              file=sys.stderr)
        resend = keyed_call(self.entry, self.key, "POST", body=b"x",
                            Idempotency_Key="once")
        self.assertEqual(resend.json()["outcome"], "unknown")

    # The target alone crashes. A read that goes out on a connection that the
    # dead process had open may have run, as far as anybody can tell; after it
    # the node knows better, and refuses as not run. Then the node leaves, and
    # another target has the key.
    def test_target_dies(self):
        self.owner.target.kill()
        read = keyed_call(self.entry, self.key)
        self.assertIn(read.json()["outcome"], ("unknown", "not-run"))
        refused = keyed_call(self.entry, self.key, "POST", body=b"x",
                             Idempotency_Key="new")
        self.assertEqual(refused.json()["outcome"], "not-run")
        self.assertIn("retry-after", refused.headers)
        self.wait_until_served_elsewhere()
        answer = keyed_call(self.entry, self.key, "POST", body=b"x",
                            Idempotency_Key="new")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()
