"""A request that crashes each target that runs it is sent again and again, at all
nodes. Its caller sees failures until three targets have crashed; after that, at
most three more runs may reach targets later than CONTACT_S, whatever happens to
nodes, leader and store meanwhile. What a run of that request crashed must not be
held against requests that ran beside it."""

import http.client
import os
import signal
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import Mesh  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# ContactMs.
CONTACT_S = 3.0
# Crashes after which runs are limited, and runs that may follow.
CRASHES = 3
MAX_LATE_RUNS = 3
SEND_INTERVAL_S = 0.25
TARGET_RESTART_S = 0.4
KEY = 7000


class Sender(threading.Thread):
    """Sends one request on and on, at all nodes in turn, and notes the statuses."""

    def __init__(self, mesh, path, key, interval_s=SEND_INTERVAL_S):
        super().__init__(daemon=True)
        self.mesh = mesh
        self.path = path
        self.key = key
        self.interval_s = interval_s
        self.is_ended = False
        self.statuses = []
        self.start()

    def run(self):
        count = 0
        while not self.is_ended:
            node = self.mesh.nodes[count % len(self.mesh.nodes)]
            count += 1
            threading.Thread(target=self.send, args=(node, count), daemon=True).start()
            time.sleep(self.interval_s)

    def send(self, node, count):
        try:
            self.statuses.append(node.request(self.path, self.key, f"{self.path}-{count}", method="POST", body=b"b")[0])
        except (OSError, http.client.HTTPException):
            self.statuses.append(0)


class TargetSupervisor(threading.Thread):
    """Starts each target that has crashed anew."""

    def __init__(self, mesh, delay_s=TARGET_RESTART_S, keeps_id=False):
        super().__init__(daemon=True)
        self.mesh = mesh
        self.delay_s = delay_s
        self.keeps_id = keeps_id
        self.start()

    def run(self):
        while not self.mesh.is_closed:
            for node in self.mesh.nodes:
                if node.target.poll() is not None:
                    threading.Thread(target=self.restart, args=(node,), daemon=True).start()
                    # Counts as running until the new process has started.
                    node.target = _Starting()
            time.sleep(0.02)

    def restart(self, node):
        time.sleep(self.delay_s)
        try:
            node.start_target(keeps_id=self.keeps_id)
        except OSError:
            # The mesh has been closed.
            pass


class _Starting:
    def poll(self):
        return None


class CrashingRequestTest(unittest.TestCase):
    def begin(self, path="/read/crash", key=KEY, **supervision):
        self.mesh = Mesh(ROUTER, divided=5, undivided=3)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        TargetSupervisor(self.mesh, **supervision)
        self.path = path
        self.sender = Sender(self.mesh, path, key)

    def run_times(self):
        events = [e for n in self.mesh.nodes for e in n.events()]
        return sorted(e["at"] for e in events if e["event"] == "run" and e["path"] == self.path)

    def await_crashes(self, count, seconds=20):
        self.mesh.wait_for(lambda: len(self.run_times()) >= count, seconds, f"{count} crashes")

    def crashes_until_stopped(self, seconds):
        """Yields after each of some crashes, until none follows for so long."""
        for _ in range(8):
            seen = len(self.run_times())
            try:
                self.await_crashes(seen + 1, seconds)
            except AssertionError:
                return
            yield

    def kill_and_start(self, nodes):
        for node in nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in nodes:
            node.process.wait(timeout=10)
            node.start()

    def replace(self, nodes):
        self.kill_and_start(nodes)
        self.await_ready(nodes)

    def await_ready(self, nodes):
        self.mesh.wait_for(lambda: all(n.is_ready() for n in nodes), 15, "ready nodes")

    def check(self):
        """The targets have crashed often enough, and are spared from then on."""
        self.sender.is_ended = True
        times = self.run_times()
        self.assertGreaterEqual(len(times), CRASHES)
        late = [t for t in times if t > times[CRASHES - 1] + CONTACT_S]
        self.assertLessEqual(len(late), MAX_LATE_RUNS, f"runs at {[round(t - times[0], 2) for t in times]}")

    def test_without_other_failures(self):
        self.begin()
        self.await_crashes(CRASHES)
        time.sleep(CONTACT_S + 4)
        self.check()

    def test_without_key(self):
        self.begin(path="/plain/crash", key=None)
        self.await_crashes(CRASHES)
        time.sleep(CONTACT_S + 4)
        self.check()

    # Guards against a crash that goes unseen, as the target's next process
    # reports before its node has tried to connect.
    def test_targets_back_at_once_under_the_same_id(self):
        self.begin(delay_s=0, keeps_id=True)
        self.await_crashes(CRASHES)
        time.sleep(CONTACT_S + 4)
        self.check()

    # Guards against crashes that are forgotten when each node is replaced in turn.
    def test_all_nodes_restart_in_turn_twice(self):
        self.begin()
        self.await_crashes(CRASHES)
        time.sleep(CONTACT_S)
        for _ in range(2):
            for node in self.mesh.nodes:
                self.replace([node])
        time.sleep(CONTACT_S + 2)
        self.check()

    # Guards against crashes that are forgotten when no process of before is left.
    def test_all_nodes_are_killed_at_once_and_again(self):
        self.begin()
        self.await_crashes(CRASHES)
        for _ in range(3):
            time.sleep(CONTACT_S)
            self.replace(self.mesh.nodes)
        time.sleep(CONTACT_S + 3)
        self.check()

    # Guards against counts below the limit that start from zero after a restart.
    def test_all_nodes_are_killed_after_each_crash(self):
        self.begin()
        for _ in self.crashes_until_stopped(4):
            time.sleep(0.6)
            self.replace(self.mesh.nodes)
        time.sleep(CONTACT_S + 2)
        self.check()

    # Guards against reports of a crash that are lost with the leader.
    def test_the_leader_is_killed_at_each_crash(self):
        self.begin()
        for _ in self.crashes_until_stopped(8):
            leader = self.mesh.leader()
            if leader:
                self.replace([leader])
        time.sleep(CONTACT_S + 2)
        self.check()

    # Guards against reports of a crash that are lost while the store is away.
    def test_leaders_are_killed_while_the_store_is_down(self):
        # Without keys, as no key gets another owner while the store is down.
        self.begin(path="/plain/crash", key=None)
        self.mesh.store_fault("down", 1)
        self.await_crashes(2)
        time.sleep(1)
        leader = self.mesh.leader()
        if leader:
            self.kill_and_start([leader])
        self.mesh.store_fault("down", 0)
        self.await_ready(self.mesh.nodes)
        time.sleep(CONTACT_S)
        for _ in range(2):
            self.replace(self.mesh.nodes)
            time.sleep(CONTACT_S)
        time.sleep(CONTACT_S + 3)
        self.check()

    # Guards against a popular request that is quarantined because targets crash
    # beside it.
    def test_requests_that_run_beside_crashes_are_served(self):
        self.begin()
        for node in self.mesh.nodes:
            node.target_fault("work", 30)
        popular = Sender(self.mesh, "/read/popular", KEY, interval_s=0.02)
        self.await_crashes(CRASHES)
        time.sleep(CONTACT_S + 3)
        popular.is_ended = True
        self.check()
        time.sleep(1)
        self.assertGreater(popular.statuses.count(200), 50)
        self.assertEqual([n.request("/read/popular", KEY, f"last-{n.index}", method="POST", body=b"b")[0] for n in self.mesh.nodes], [200] * len(self.mesh.nodes))


if __name__ == "__main__":
    unittest.main(verbosity=2)
