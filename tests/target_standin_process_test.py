"""The target stand-in by itself: grants, drain, shed, freeze, poison, bodies."""

import http.server
import json
import sys
import threading
import time
import unittest

from support.processes import ProgramGroup, call, free_addresses, wait_until

BUILD_DIR = sys.argv.pop(1)
POISON_EXIT_STATUS = 86
LONG_WORK_US = 60000000


def grant(epoch, slot=5, lease_ms=60000, **more):
    headers = {"Citrongrade-Slot": str(slot), "Citrongrade-Epoch": str(epoch),
               "Citrongrade-Lease-Remaining-Ms": str(lease_ms),
               "Citrongrade-Key": "audit-1"}
    headers.update({name.replace("_", "-"): value
                    for name, value in more.items()})
    return headers


class Node(http.server.BaseHTTPRequestHandler):
    """A node's control address that notes the announcements."""

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.announcements.append(json.loads(body))
        self.send_response(200)
        self.send_header("Content-Length", "18")
        self.end_headers()
        self.wfile.write(b'{"accepted": true}')

    def log_message(self, *_):
        pass


class TargetStandinTest(unittest.TestCase):

    def setUp(self):
        self.programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(self.programs.__exit__)

    def start(self, *flags):
        self.target = self.programs.start("citrongrade-target-standin",
                                          "--listen-address", "127.0.0.1:0",
                                          *flags)
        self.address = self.target.listening_address()

    def work(self, headers, method="POST", target="/recife/sorteio/lock",
             body=b"x"):
        return call(self.address, method, target, body, headers)

    def control(self, **controls):
        answer = call(self.address, "POST", "/v1/control", controls)
        self.assertEqual(answer.status, 200, answer.body)

    def runs(self):
        return call(self.address, "GET", "/v1/runs").json()["runs"]

    def begin_work(self, headers):
        """Work in a thread; returns once its run has begun."""
        answers = []
        before = len(self.runs())
        thread = threading.Thread(
            target=lambda: answers.append(self.work(headers)))
        thread.start()
        wait_until(lambda: len(self.runs()) > before, "the run begins")
        return thread, answers

    def assert_not_run(self, answer, status, error):
        self.assertEqual((answer.status, answer.json()["error"]),
                         (status, error))
        self.assertEqual(answer.headers["citrongrade-outcome"], "not-run")

    # A successor (epoch 8) has already sent work for the slot when the paused
    # old owner (epoch 7) sends its own. It is told not-run, and nothing ran.
    def test_grants_are_checked(self):
        self.start()
        self.assertEqual(self.work(grant(7)).status, 200)
        self.assertEqual(self.work(grant(8)).status, 200)
        self.assert_not_run(self.work(grant(7)), 412, "epoch-old")
        self.assert_not_run(self.work(grant(9, lease_ms=0)), 412, "lease-over")
        self.assert_not_run(self.work({}), 412, "grant-missing")
        self.assertEqual(self.work(grant(7, slot=6)).status, 200)
        self.assertEqual([run["epoch"] for run in self.runs()], [7, 8, 7])

    def test_a_target_that_does_not_check_runs_all(self):
        self.start("--no-checks-grants")
        for headers in (grant(8), grant(7), {}):
            self.assertEqual(self.work(headers).status, 200)
        self.assertEqual(len(self.runs()), 3)

    # The slot is taken for longer than the waiting request's lease. Its epoch
    # is still the highest here, yet by then a successor may serve elsewhere.
    def test_a_lease_that_lapses_in_the_queue_is_refused(self):
        self.start("--slots", 1, "--service-time-shape", "fixed",
                   "--service-time-us", 700000)
        thread, answers = self.begin_work(grant(7))
        self.assert_not_run(self.work(grant(7, lease_ms=100)), 412,
                            "lease-over")
        thread.join()
        self.assertEqual(answers[0].status, 200)
        self.assertEqual(len(self.runs()), 1)

    def test_full_slots_shed(self):
        self.start("--slots", 1, "--queue-length", 0, "--service-time-shape",
                   "fixed", "--service-time-us", LONG_WORK_US)
        thread, answers = self.begin_work(
            grant(7, Citrongrade_Request_Id="long"))
        self.assert_not_run(self.work(grant(7)), 503, "shed")
        load = call(self.address, "GET", "/v1/load").json()
        self.assertEqual(load, {"running": 1, "queued": 0, "slots": 1})
        self.assertEqual(call(self.address, "DELETE",
                              "/v1/requests/long").status, 204)
        thread.join()
        self.assertEqual(answers[0].headers["citrongrade-outcome"], "unknown")
        self.assertFalse(self.runs()[0]["completed"])

    def test_work_ends_at_its_deadline(self):
        self.start("--service-time-shape", "fixed", "--service-time-us",
                   LONG_WORK_US)
        answer = self.work(grant(7, Citrongrade_Deadline_Ms="50"))
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.headers["citrongrade-outcome"], "unknown")

    # SIGTERM while a request runs: that one gets its answer, later ones are
    # told not-run, the node hears "draining", and the exit status is 0.
    def test_a_drain_finishes_what_is_inside(self):
        node = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Node)
        node.announcements = []
        threading.Thread(target=node.serve_forever, daemon=True).start()
        self.addCleanup(node.server_close)
        self.addCleanup(node.shutdown)
        self.start("--service-time-shape", "fixed", "--service-time-us",
                   1500000, "--node-address",
                   "127.0.0.1:%d" % node.server_address[1])
        thread, answers = self.begin_work(grant(7))
        self.target.signal(15)
        wait_until(lambda: call(self.address, "GET", "/v1/health").json()
                   == {"state": "draining"}, "draining")
        self.assert_not_run(self.work(grant(7)), 503, "draining")
        self.assertEqual(self.target.wait(), 0)
        thread.join()
        self.assertEqual(answers[0].status, 200)
        states = [each["state"] for each in node.announcements]
        self.assertEqual((states[0], states[-1]), ("serving", "draining"))
        self.assertEqual(node.announcements[0]["address"], self.address)
        self.assertEqual(node.announcements[0]["slots"], 12)

    # The target answers nothing for a while, health included, and then goes on
    # as if nothing had happened: the work that was inside completes.
    def test_a_frozen_target_goes_on_afterwards(self):
        self.start()
        begin = time.monotonic()
        self.control(freeze_ms=700)
        self.assertEqual(self.work(grant(7)).status, 200)
        self.assertGreaterEqual(time.monotonic() - begin, 0.6)
        self.assertTrue(self.runs()[0]["completed"])

    # The request crashes its target: the connection closes without an answer,
    # and the collector, told before the run, knows that the run began.
    def test_poison_crashes_after_the_run_was_reported(self):
        collector = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector)
        collector.reports = []
        threading.Thread(target=collector.serve_forever, daemon=True).start()
        self.addCleanup(collector.server_close)
        self.addCleanup(collector.shutdown)
        self.start("--report-runs-to",
                   "127.0.0.1:%d" % collector.server_address[1])
        with self.assertRaises(ConnectionError):
            self.work(grant(7, Standin_Poison="true", Idempotency_Key="id-1"))
        self.assertEqual(self.target.wait(), POISON_EXIT_STATUS)
        self.assertEqual([each["idempotency_key"]
                          for each in collector.reports], ["id-1"])

    # Without the collector a kill could hide a run: nothing runs unreported.
    def test_nothing_completes_unreported(self):
        self.start("--report-runs-to", free_addresses(1)[0])
        self.assertEqual(self.work(grant(7)).status, 500)

    def test_starting_and_misleading_reports(self):
        self.start("--start-delay-ms", 60000)
        self.assert_not_run(self.work(grant(7)), 503, "starting")
        self.control(reported_state="serving", load_factor=0)
        self.assertEqual(call(self.address, "GET", "/v1/health").json(),
                         {"state": "serving"})

    def test_a_health_report_lags_behind_a_drain(self):
        self.start()
        self.control(health_lag_ms=60000)
        self.control(drain=True)
        self.assertEqual(call(self.address, "GET", "/v1/health").json(),
                         {"state": "serving"})
        self.assert_not_run(self.work(grant(7)), 503, "draining")

    def test_large_bodies_pass_in_bounded_memory(self):
        self.start()
        size = 64 << 20
        answer = self.work(grant(7), method="PUT", body=b"v" * size)
        self.assertEqual(answer.json()["body_bytes"], size)
        answer = self.work(grant(7), "GET",
                           "/recife/sorteio/x?bytes=%d" % size, None)
        self.assertEqual(len(answer.body), size)
        with open("/proc/%d/status" % self.target.pid) as status:
            peak = [line for line in status if line.startswith("VmHWM")][0]
        self.assertLess(int(peak.split()[1]), 48 << 10)

    def test_mistakes_in_settings_come_in_one_message(self):
        wrong = self.programs.start(
            "citrongrade-target-standin", "--slots", 0, "--long-share", 2,
            "--service-time-shape", "round")
        self.assertNotEqual(wrong.wait(), 0)
        for part in ("--slots", "--long-share", "--service-time-shape"):
            self.assertIn(part, wrong.log_text())


class Collector(http.server.BaseHTTPRequestHandler):
    """Takes run reports as citrongrade-load does."""

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.reports.append(json.loads(body))
        self.send_response(204)
        self.end_headers()

    def log_message(self, *_):
        pass


if __name__ == "__main__":
    unittest.main()
