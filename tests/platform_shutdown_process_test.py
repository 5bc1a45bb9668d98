"""A node that is told to stop answers every request that it has read: those that
wait are withdrawn and rejected as not run, those that run go on until its time is
over, and no connection ends without an answer."""

import http.client
import os
import signal
import socket
import sys
import threading
import time
import unittest

BUILD_DIR = sys.argv.pop(1)
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "platform", "testing"))

from platform_mesh import DIVIDED, UNDIVIDED, Mesh, call, config  # noqa: E402

ROUTER = os.path.join(BUILD_DIR, "citrongrade-router")
# GraceS.
GRACE_S = 6
# Of a target.
SLOTS = 8
# Longer than a node may take to stop.
LONG_WORK_MS = 8000
# Ends between the withdrawals and the end of the grace.
TIMELY_WORK_MS = 5700
DEADLINE_MS = 12000
# A request is where it waits or runs by then.
ARRIVAL_S = 0.4


class Caller(threading.Thread):
    """Sends one request. `status` is 0 if its connection ends without an answer."""

    def __init__(self, node, path, key, attempt):
        super().__init__()
        self.node = node
        self.path = path
        self.attempt = attempt
        self.headers = {"Host": "h.example", "Citrongrade-Attempt-Id": attempt, "Citrongrade-Deadline-Ms": str(DEADLINE_MS)}
        if key is not None:
            self.headers["Citrongrade-Shard-Key"] = str(key)
        self.status = None
        self.answer = {}
        self.ended = None
        self.start()

    def run(self):
        try:
            self.status, self.answer, _ = call(self.node.callers, "POST", self.path, self.headers, b"x", timeout=20)
        except (OSError, http.client.HTTPException):
            self.status = 0
        self.ended = time.monotonic()


class OldNodeLink:
    """Passes connections on to a node, and answers withdrawals as a node does that
    doesn't know them."""

    def __init__(self, ip, port, node_address):
        self.node_address = node_address
        self.withdrawals = 0
        self.listener = socket.create_server((ip, port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            node = socket.create_connection(self.node_address)
            threading.Thread(target=self.pump, args=(caller, node, True), daemon=True).start()
            threading.Thread(target=self.pump, args=(node, caller, False), daemon=True).start()

    def pump(self, source, sink, is_caller):
        try:
            while data := source.recv(65536):
                if is_caller and data.startswith(b"POST /mesh/withdraw "):
                    self.withdrawals += 1
                    source.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                else:
                    sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        source.close()


class ShutdownTestCase(unittest.TestCase):
    def setUp(self):
        # With one target that isn't sharded, nothing can go elsewhere.
        self.mesh = Mesh(ROUTER, divided=2, undivided=1)
        self.addCleanup(self.mesh.close)
        self.prepare()
        self.mesh.start()
        self.mesh.publish(config(2, timeout_ms=DEADLINE_MS, extra_routes=["added"]))
        self.mesh.await_route("added", 3)
        self.entry = next(n for n in self.mesh.nodes if n.service == DIVIDED)
        self.plain = next(n for n in self.mesh.nodes if n.service == UNDIVIDED)

    def prepare(self):
        """Changes the mesh before its start."""

    def send(self, node, attempt, path="/plain/x", key=None):
        return Caller(node, path, key, attempt)

    def fill_target(self, through):
        """All slots of the target without keys run long work."""
        self.plain.target_fault("work", LONG_WORK_MS)
        running = [self.send(through, f"long-{i}") for i in range(SLOTS)]
        self.mesh.wait_for(lambda: len(self.run_attempts("long-")) == SLOTS, 3, "a full target")
        return running

    def run_attempts(self, prefix):
        return [run[0] for run in self.plain.runs() if run[0].startswith(prefix)]

    def stop(self, node, again_after=None):
        """Tells the node to stop and waits for its proper end within the grace."""
        began = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        if again_after:
            time.sleep(again_after)
            node.process.send_signal(signal.SIGTERM)
        self.assertEqual(node.process.wait(timeout=10), 0)
        self.assertLess(time.monotonic() - began, GRACE_S)

    def answers(self, callers):
        for caller in callers:
            caller.join()
        return [caller.status for caller in callers]

    def check_never_runs(self, prefix):
        """Not even when the slots are free again."""
        time.sleep(LONG_WORK_MS / 1000 - GRACE_S + 2)
        self.assertEqual(self.run_attempts(prefix), [])

    def stop_while_requests_wait_elsewhere(self, again_after=None):
        self.fill_target(self.plain)
        waiting = [self.send(self.entry, f"wait-{i}") for i in range(3)]
        self.mesh.wait_for(lambda: self.plain.state()["target"]["waiting"] == 3, 2, "requests that wait")
        self.stop(self.entry, again_after)
        self.assertEqual(self.answers(waiting), [503] * 3)
        self.assertTrue(all("Retry-After" in caller.answer for caller in waiting))
        self.check_never_runs("wait-")


class ShutdownTest(ShutdownTestCase):
    # Guards against closed connections of requests that wait at another node, and
    # against runs of requests that nobody waits for any more.
    def test_requests_that_wait_at_another_node_are_withdrawn(self):
        self.stop_while_requests_wait_elsewhere()

    # Guards against a second signal that ends the node at once.
    def test_a_second_signal_changes_nothing(self):
        self.stop_while_requests_wait_elsewhere(again_after=1)

    # Guards against a shutdown that withdraws only with the store's help.
    def test_requests_are_withdrawn_while_the_store_is_away(self):
        leader = self.mesh.leader()
        if leader is not self.plain:
            self.entry = leader
        self.mesh.store_fault("down", 1)
        self.mesh.wait_for(lambda: not self.entry.state()["store_answers"], 5, "the loss of the store")
        self.stop_while_requests_wait_elsewhere()

    # Guards against a shutdown that aborts what would have ended in time, or what a
    # withdrawal finds running, and against closed connections of the rest.
    def test_running_requests_go_on_until_the_end_of_the_grace(self):
        self.plain.target_fault("work", TIMELY_WORK_MS)
        timely = self.send(self.entry, "timely")
        time.sleep(ARRIVAL_S)
        self.plain.target_fault("work", LONG_WORK_MS)
        endless = self.send(self.entry, "endless")
        time.sleep(ARRIVAL_S)
        began = time.monotonic()
        self.stop(self.entry)
        self.assertEqual(self.answers([timely, endless]), [200, 504])
        # Both have been withdrawn by then, a second before the end.
        self.assertGreater(timely.ended - began, 4.5)
        self.assertGreater(endless.ended - began, 5)

    # Guards against closed connections of requests that wait or run at the node
    # that stops, whether callers or other nodes have sent them.
    def test_requests_at_the_own_target_are_answered(self):
        running = self.fill_target(self.plain)
        waiting = [self.send(self.plain, "wait-own"), self.send(self.entry, "wait-forwarded")]
        self.mesh.wait_for(lambda: self.plain.state()["target"]["waiting"] == 2, 2, "requests that wait")
        self.stop(self.plain)
        self.assertEqual(self.answers(waiting), [503, 503])
        self.assertEqual(set(self.answers(running)), {504})
        self.check_never_runs("wait-")

    # Guards against unanswered requests where both nodes stop, so that no withdrawal
    # reaches the other one.
    def test_two_nodes_that_stop_at_once_answer_everything(self):
        running = self.fill_target(self.entry)
        waiting = [self.send(self.entry, f"wait-{i}") for i in range(3)]
        self.mesh.wait_for(lambda: self.plain.state()["target"]["waiting"] == 3, 2, "requests that wait")
        stopper = threading.Thread(target=self.stop, args=(self.plain,))
        stopper.start()
        self.stop(self.entry)
        stopper.join()
        self.assertEqual(self.answers(waiting), [503] * 3)
        self.assertLessEqual(set(self.answers(running)), {502, 504})
        self.check_never_runs("wait-")

    # Guards against an unanswered request where the other node's process is
    # paused, so that a withdrawal is lost. It may run later: no 503.
    def test_a_lost_withdrawal_ends_with_504(self):
        self.fill_target(self.plain)
        waiting = self.send(self.entry, "wait")
        self.mesh.wait_for(lambda: self.plain.state()["target"]["waiting"] == 1, 2, "a request that waits")
        self.plain.process.send_signal(signal.SIGSTOP)
        self.stop(self.entry)
        self.plain.process.send_signal(signal.SIGCONT)
        self.assertEqual(self.answers([waiting]), [504])

    # Guards against a request that the stopping node takes on for longer than it
    # lives.
    def test_a_request_after_the_signal_is_answered_before_the_end(self):
        self.fill_target(self.plain)
        stopper = threading.Thread(target=self.stop, args=(self.entry,))
        stopper.start()
        time.sleep(1)
        late = [self.send(self.entry, "late-0"), self.send(self.entry, "late-1", "/read/x", 5)]
        stopper.join()
        self.assertEqual(self.answers(late), [503, 200])
        self.check_never_runs("late-")


class ShutdownBesideOldNodeTest(ShutdownTestCase):
    def prepare(self):
        plain = next(n for n in self.mesh.nodes if n.service == UNDIVIDED)
        ip = f"127.{self.mesh.network}.3.1"
        plain.flags = ["--published-ip", ip]
        self.links = [OldNodeLink(ip, port, (plain.ip, port)) for port in (18202, 18210)]
        for link in self.links:
            self.addCleanup(link.listener.close)

    # Guards against a shutdown that counts on withdrawals at a node of a build that
    # doesn't know them, or asks it again and again.
    def test_a_request_at_a_node_without_withdrawals_ends_with_504(self):
        self.fill_target(self.plain)
        waiting = self.send(self.entry, "wait")
        self.mesh.wait_for(lambda: self.plain.state()["target"]["waiting"] == 1, 2, "a request that waits")
        self.stop(self.entry)
        self.assertEqual(self.answers([waiting]), [504])
        self.assertEqual(sum(link.withdrawals for link in self.links), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
