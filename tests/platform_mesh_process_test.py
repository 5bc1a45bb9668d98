"""citrongrade-router as real processes, against the stand-ins of the platform's
store and targets: what callers see while nodes are killed, restarted, paused,
and while the store is away."""

import os
import signal
import sys
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from mesh_callers import MeshCallers  # noqa: E402
from platform_mesh import DIVIDED, UNDIVIDED, Mesh, added_routes, config  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# Moves that were planned before end within that; none are planned without store.
MOVES_END_S = 1.0


class PlatformMeshTest(unittest.TestCase):
    def setUp(self):
        self.mesh = Mesh(ROUTER)
        self.addCleanup(self.mesh.close)
        self.mesh.start()
        self.nodes = self.mesh.nodes
        self.divided = [n for n in self.nodes if n.service == DIVIDED]
        self.plain = [n for n in self.nodes if n.service == UNDIVIDED]

    def check_runs(self, outcomes):
        """No attempt ran twice; none that was refused as not run has run."""
        runs = [run[0] for n in self.mesh.live_nodes() for run in n.runs()]
        attempts = [run for run in runs if "-" in run]
        self.assertEqual(len(attempts), len(set(attempts)))
        refused = {attempt for _, attempt, status in outcomes if status in (429, 503)}
        self.assertEqual(refused & set(runs), set())

    def check_holds(self):
        """No two targets held one key at the same time."""
        self.assertEqual(self.mesh.shared_holds(), [])

    def test_requests_reach_their_owner_and_come_back_whole(self):
        status, headers, body = self.nodes[0].request("/lock/x", 5, "one", "POST", b"abc")
        self.assertEqual((status, body), (200, b"done abc"))
        self.assertEqual(headers["Citrongrade-Response-Seal"], "seal.one")
        big = b"x" * 300_000
        status, _, body = self.nodes[0].request("/plain/x", None, "two", "POST", big)
        self.assertEqual((status, len(body)), (200, len(big) + 5))
        self.assertEqual(self.nodes[0].request("/nowhere/x", 5, "three")[0], 404)

    def test_new_configuration_is_in_force_everywhere_within_two_seconds(self):
        self.mesh.publish(config(2, extra_routes=["added"]))
        self.mesh.await_route("added", 2)

    # A configuration too long for the leader to send to everybody, while one node
    # can't reach the store: that one still gets it from the leader.
    def test_a_long_configuration_is_in_force_everywhere(self):
        # Each node but the leader reads it from the store; one with a false
        # address for it can't.
        cut_off = next(n for n in self.divided if n is not self.mesh.leader())
        cut_off.stop(signal.SIGTERM)
        cut_off.store_address = cut_off.at(18299)
        cut_off.write_settings()
        cut_off.start()
        self.mesh.wait_for(cut_off.is_ready, 6, "the node without the store")
        self.mesh.publish(config(2, extra_routes=added_routes(400)))
        self.mesh.await_route("added-399", 4)

    # A node is killed and started again at once: its target still holds its
    # keys, so they stay, and callers miss only what was under way.
    def test_a_killed_node_takes_its_keys_up_again(self):
        victim = self.divided[1]
        callers = MeshCallers([self.divided[0]])
        victim.stop(signal.SIGKILL)
        victim.start()
        self.mesh.wait_for(self.mesh.serves_all_keys, 5, "all keys after a restart")
        self.check_runs(callers.stop())
        self.check_holds()

    # A host is lost with its target: others get its keys once its lease is over.
    def test_keys_of_a_lost_host_are_served_by_others(self):
        victim = self.divided[1]
        callers = MeshCallers([self.divided[0]])
        victim.target.kill()
        victim.stop(signal.SIGKILL)
        self.mesh.wait_for(self.mesh.serves_all_keys, 5, "all keys after a loss")
        self.check_runs(callers.stop())
        self.check_holds()

    # Guards against work that is lost because it takes longer than what a lease
    # of ordinary length leaves of its target's hold.
    def test_long_work_ends_within_its_hold(self):
        self.mesh.publish(config(2, timeout_ms=4000))
        for node in self.divided:
            node.target_fault("work", 1000)
        callers = MeshCallers(self.nodes * 4, deadline_ms=4000)
        time.sleep(8)
        learned = time.monotonic()
        time.sleep(6)
        outcomes = callers.stop()
        self.check_runs(outcomes)
        self.check_holds()
        later = [status for at, _, status in outcomes if at > learned]
        self.assertGreater(later.count(200), 60)
        self.assertEqual(later.count(500), 0)
        # The lease covers the long runs that the nodes report. An estimate falls
        # by half a percent with each shorter run, and lies below them for a while.
        states = [node.state() for node in self.divided]
        for state in states:
            self.assertGreaterEqual(state["target"]["long_run_ms"], 1000 * (1 - 0.005))
            self.assertGreater(state["longest_lease_ms"], 2500)

    # The leader is killed: another one leads before any lease has run out.
    def test_the_loss_of_the_leader_interrupts_no_keys(self):
        leader = self.mesh.leader()
        others = [n for n in self.divided if n is not leader]
        callers = MeshCallers([others[0]])
        time.sleep(0.5)
        leader.stop(signal.SIGKILL)
        leader.start()
        self.mesh.wait_for(lambda: self.mesh.leader() is not None, 5, "a leader")
        self.mesh.wait_for(self.mesh.serves_all_keys, 5, "all keys")
        self.check_runs(callers.stop())
        self.check_holds()

    # A node is paused for longer than its lease and wakes up believing that it
    # still owns its keys; others own them by then.
    def test_a_paused_node_does_not_serve_what_it_lost(self):
        victim = self.divided[1]
        victim.process.send_signal(signal.SIGSTOP)
        time.sleep(3)
        self.mesh.wait_for(self.mesh.serves_all_keys, 4, "all keys while one is paused")
        victim.process.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        callers = MeshCallers([victim])
        time.sleep(1)
        self.check_runs(callers.stop())
        self.check_holds()

    # The leader is paused until another one leads, and wakes up. Its own callers
    # got no answer but "no owner" from then on: it took itself for the leader,
    # and nobody answered to it.
    def test_a_leader_that_was_paused_follows_its_successor(self):
        old = self.mesh.leader()
        old.process.send_signal(signal.SIGSTOP)
        others = [n for n in self.nodes if n is not old]
        self.mesh.wait_for(lambda: any(n.state()["is_leader"] for n in others), 6, "another leader")
        old.process.send_signal(signal.SIGCONT)
        self.mesh.wait_for(lambda: not old.state()["is_leader"], 4, "the old leader to give up")
        serves = lambda: all(old.request("/read/x", key, f"p{key}")[0] == 200 for key in range(0, 65536, 8192))
        self.mesh.wait_for(serves, 5, "all keys through the old leader")
        self.check_holds()

    # The store is away, and the leader is told to stop. It resigned at once,
    # nobody could take over, and all owners stopped 2 s later.
    def test_a_leader_that_leaves_leads_on_while_the_store_is_away(self):
        leader = self.mesh.leader()
        others = [n for n in self.divided if n is not leader]
        probe = others[0].request
        self.mesh.store_fault("down", 1)
        self.mesh.wait_for(lambda: not any(n.state()["store_answers"] for n in self.nodes), 5, "the loss of the store")
        # A key that was moving to the leader when the store went away stays there.
        time.sleep(MOVES_END_S)
        served = {n.index: [key for key in range(0, 65536, 4096) if n.holds_key(key)] for n in others}
        self.assertGreater(sum(len(keys) for keys in served.values()), 0)
        leader.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while time.monotonic() < began + 4.5:
            for keys in served.values():
                for key in keys:
                    self.assertEqual(probe("/read/x", key, f"l{key}")[0], 200)
        self.mesh.store_fault("down", 0)
        self.mesh.wait_for(lambda: leader.process.poll() is not None, 8, "the end of the old leader")
        self.mesh.wait_for(lambda: self.mesh.leader() is not None, 6, "a leader")

    # A node is told to stop under load: its keys go to others with their state,
    # and no request on an open connection is lost.
    def test_a_stopped_node_gives_its_keys_away_first(self):
        victim = self.divided[1]
        callers = MeshCallers([self.divided[0]])
        time.sleep(0.3)
        victim.stop(signal.SIGTERM)
        outcomes = callers.stop()
        self.assertEqual({status for _, _, status in outcomes}, {200})
        self.check_runs(outcomes)
        self.check_holds()

    def test_all_nodes_killed_at_once_serve_again_without_an_operator(self):
        for node in self.nodes:
            node.process.kill()
        for node in self.nodes:
            node.process.wait()
        for node in self.nodes:
            node.start()
        self.mesh.wait_for(lambda: all(n.is_ready() for n in self.nodes), 6, "ready nodes")
        self.mesh.wait_for(self.mesh.serves_all_keys, 6, "all keys")
        self.check_holds()

    # Targets leave one order in four unanswered and carry it out late.
    def test_orders_that_are_carried_out_late_share_no_key(self):
        for node in self.divided:
            node.target_fault("unanswered", 25)
        victim = self.divided[1]
        victim.stop(signal.SIGTERM)
        victim.start()
        time.sleep(4)
        for node in self.divided:
            node.target_fault("unanswered", 0)
        self.mesh.wait_for(self.mesh.serves_all_keys, 6, "all keys")
        self.check_holds()


class RouterSettingsTest(unittest.TestCase):
    def test_a_settings_file_that_lacks_a_field_ends_the_start(self):
        import subprocess
        import tempfile

        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write('{"NodeName":"n"}')
            file.flush()
            result = subprocess.run(
                [ROUTER, "--settings-file", file.name, "--check-settings"],
                capture_output=True,
                text=True,
            )
        self.assertEqual(result.returncode, 1)
        self.assertIn(file.name, result.stderr)
        self.assertIn("Zone: missing", result.stderr)


if __name__ == "__main__":
    unittest.main()
