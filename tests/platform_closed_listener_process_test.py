"""Targets of citrongrade-router that close their listener while they still hold
keys and work, as real processes against the stand-ins of the platform's store
and targets."""

import os
import signal
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(HERE, "soak"), os.path.join(HERE, "..", "platform", "testing")]

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import Mesh  # noqa: E402
from promises import check_work, holds_of, life_of  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# Two targets may hold a key together for so long, if neither works on it.
HELD_TOGETHER = 0.5
# Keys of a target that crashed are served again.
TAKEOVER = 2.0
PROBED_KEYS = range(0, 65536, 512)
WORK_MS = 900


class ClosedListenerCase(unittest.TestCase):
    """A mesh under load, and the checks of its keys."""

    grants = "request"

    def setUp(self):
        self.mesh = Mesh(ROUTER, divided=3, undivided=0, grants=self.grants)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        self.leader = self.mesh.leader()
        self.leaving, *others = [n for n in self.mesh.nodes if n is not self.leader]
        self.others = [self.leader, *others]
        for node in self.mesh.nodes:
            node.target_fault("work", WORK_MS)
        self.callers = MeshCallers([n for n in self.mesh.nodes for _ in range(6)], paths=("/lock/x",))
        time.sleep(2)

    def tearDown(self):
        self.callers.stop()

    def check_keys(self):
        """None is given on while its last holder works on it, or holds it for
        longer than the rules bear."""
        self.callers.stop()
        given = life_of(self.leaving)
        others = [life_of(other) for other in self.others]
        problems = check_work([given, *others])
        for taken in others:
            for key in PROBED_KEYS:
                later = holds_of(taken, key)
                for hold in holds_of(given, key):
                    together = max((min(hold.end, other_hold.end) - max(hold.begin, other_hold.begin) for other_hold in later), default=0)
                    if together > HELD_TOGETHER:
                        problems.append(f"key {key} was held by two for {together:.2f} s")
        self.assertEqual(problems[:5], [], f"{len(problems)} in all")

    def callers_with_new_connections(self):
        """More at a time than there are open connections to the target."""
        return MeshCallers([self.leaving] * 20, paths=("/read/x",))


class ClosedListenerTest(ClosedListenerCase):
    # Guards against keys of a target that leaves, stops listening and still
    # works, which are given on as if it had ended.
    def test_a_target_that_leaves_and_stops_listening(self):
        self.leader.process.send_signal(signal.SIGSTOP)
        self.leaving.tell_target("/drain")
        time.sleep(0.6)
        self.leaving.target_fault("refuse", 0)
        more = self.callers_with_new_connections()
        time.sleep(0.6)
        self.leader.process.send_signal(signal.SIGCONT)
        time.sleep(3)
        more.stop()
        self.check_keys()

    # Guards against the same where it has not said that it leaves, and against
    # keys that stay with a target that nobody can reach.
    def test_a_target_that_stops_listening(self):
        self.leaving.target_fault("refuse", 0)
        more = self.callers_with_new_connections()
        time.sleep(5)
        more.stop()
        self.check_keys()
        held = [any(node.holds_key(key) for node in self.others) for key in PROBED_KEYS]
        self.assertTrue(all(held), "keys stay with a target that refuses")

    # Guards against a target that refuses for a moment and loses its keys.
    def test_a_target_that_refuses_for_a_moment(self):
        self.leaving.target_fault("refuse", 250)
        time.sleep(3)
        self.check_keys()
        self.assertTrue(any(h[4] > time.monotonic() for h in self.leaving.holds()))

    # Guards against keys that are never granted again, as a grant was under way
    # when their target refused a connection.
    def test_a_target_that_refuses_a_grant(self):
        self.leaving.target_fault("unanswered", 100)
        time.sleep(0.2)
        self.leaving.target_fault("refuse", 1000)
        time.sleep(1.2)
        self.leaving.target_fault("unanswered", 0)
        listens = time.monotonic()
        time.sleep(TAKEOVER)
        lives = [life_of(node) for node in self.mesh.nodes]
        never_held = [key for key in PROBED_KEYS if not any(hold.end > listens for life in lives for hold in holds_of(life, key))]
        self.assertEqual(never_held, [], "keys that are held by nobody since")
        self.check_keys()


class ClosedListenerWithReportedGrantsTest(ClosedListenerTest):
    grants = "heartbeat"


if __name__ == "__main__":
    unittest.main(verbosity=2)
