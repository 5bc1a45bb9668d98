"""The load program by itself: it notices each promise that a target breaks.

It calls target stand-ins with no system in between, so that what is broken is
known; a checker that can't fail would prove nothing about the system.
"""

import json
import sys
import unittest

from support.processes import ProgramGroup, call, free_addresses, wait_until

BUILD_DIR = sys.argv.pop(1)
PROMISE_BROKEN = 1
START_FAILED = 2
LOAD_TIMEOUT_SECONDS = 60


class LoadTest(unittest.TestCase):

    def setUp(self):
        self.programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(self.programs.__exit__)
        self.collector = free_addresses(1)[0]

    def start_target(self, *flags):
        return self.programs.start(
            "citrongrade-target-standin", "--listen-address", "127.0.0.1:0",
            "--no-checks-grants", "--service-time-us", 500,
            "--report-runs-to", self.collector, *flags)

    def start_load(self, addresses, *flags):
        return self.programs.start(
            "citrongrade-load", "--nodes", ",".join(addresses), "--key-in",
            "header:Citrongrade-Key", "--trusts-status", "--json",
            "--calls-per-second", 200, "--duration-ms", 1000, "--senders", 16,
            "--collect-address", self.collector, *flags)

    def play(self, addresses, *flags):
        """Exit status and report of one run."""
        load = self.start_load(addresses, *flags)
        output = load.output(LOAD_TIMEOUT_SECONDS)
        return load.process.returncode, json.loads(output)

    def play_misbehaving(self, controls, *flags):
        address = self.start_target().listening_address()
        answer = call(address, "POST", "/v1/control", controls)
        self.assertEqual(answer.status, 200, answer.body)
        status, report = self.play([address], *flags)
        return status, report, {each["promise"] for each in report["broken"]}

    def test_an_honest_target_breaks_nothing(self):
        addresses = [self.start_target().listening_address() for _ in range(2)]
        status, report = self.play(
            addresses, "--upload-share", 0.05, "--download-share", 0.05,
            "--key-skew", 1, "--burst-every-ms", 500, "--burst-ms", 100)
        self.assertEqual((status, report["broken"]), (0, []), report)
        self.assertEqual(report["done"], report["calls"], report)
        self.assertGreater(report["calls"], 100)
        self.assertEqual(sum(report["runs_by_target"].values()),
                         report["attempts"])

    def test_a_double_run_is_noticed(self):
        status, _, broken = self.play_misbehaving({"run_twice": 200})
        self.assertEqual((status, broken), (PROMISE_BROKEN, {"double-run"}))

    # As above, with the runs read from the target instead of collected.
    def test_a_double_run_is_noticed_without_a_collector(self):
        target = self.programs.start(
            "citrongrade-target-standin", "--listen-address", "127.0.0.1:0",
            "--no-checks-grants")
        address = target.listening_address()
        call(address, "POST", "/v1/control", {"run_twice": 200})
        status, report = self.play([address], "--collect-address",
                                   "127.0.0.1:0", "--targets", address)
        self.assertEqual(status, PROMISE_BROKEN)
        self.assertTrue(report["runs_are_whole"])

    # The answer's length agrees with its head, and half of the content lacks.
    def test_a_short_answer_that_looks_whole_is_noticed(self):
        status, report, broken = self.play_misbehaving({"shorten_answers": 3})
        self.assertEqual((status, broken), (PROMISE_BROKEN, {"wrong-answer"}))
        self.assertEqual({each["detail"] for each in report["broken"]},
                         {"wrong-answer/truncated answer"})

    def test_another_callers_answer_is_noticed(self):
        status, report, broken = self.play_misbehaving({"swap_answers": 3})
        self.assertEqual((status, broken), (PROMISE_BROKEN, {"wrong-answer"}))
        self.assertEqual(len(report["broken"]), 3)

    # The connection closes half-way through an answer. The caller can see that,
    # so no promise is broken; it sends again and gets the whole.
    def test_a_cut_answer_is_lost_and_sent_again(self):
        status, report, _ = self.play_misbehaving({"cut_answers": 3})
        self.assertEqual(status, 0, report)
        self.assertEqual(report["failures"], {"lost/answer-cut": 3})
        self.assertEqual(report["attempts"], report["calls"] + 3)
        self.assertEqual(report["done"], report["calls"])

    def test_not_run_that_ran_is_noticed(self):
        status, report, broken = self.play_misbehaving({"deny_runs": 3},
                                                       "--no-resends")
        self.assertEqual((status, broken), (PROMISE_BROKEN, {"not-run-ran"}))
        self.assertEqual(report["not_run"], 3)

    # A target is killed in the middle of protected work, and the callers send
    # the same ids to another. With no system in between these run twice; the
    # dead target can't be asked, but it reported each run before it began.
    def test_runs_of_a_killed_target_are_not_forgotten(self):
        slow = ("--service-time-shape", "fixed", "--service-time-us", 300000)
        targets = [self.start_target(*slow) for _ in range(2)]
        addresses = [target.listening_address() for target in targets]
        load = self.start_load(addresses, "--calls-per-second", 50,
                               "--protected-share", 1)
        wait_until(lambda: call(addresses[0], "GET", "/v1/load").json()
                   ["running"] >= 2, "work is under way")
        targets[0].kill()
        report = json.loads(load.output(LOAD_TIMEOUT_SECONDS))
        self.assertEqual(load.process.returncode, PROMISE_BROKEN)
        self.assertEqual({each["promise"] for each in report["broken"]},
                         {"double-run"})
        self.assertGreater(report["unavailable_ms"]["count"], 0)

    # The collector is replaced between two runs; the target's kept connections
    # to the old one are dead. Its reports go out again on new ones, so that no
    # call of the second run fails.
    def test_a_replaced_collector_fails_no_call(self):
        address = self.start_target().listening_address()
        for seed in (1, 2):
            status, report = self.play([address], "--seed", seed)
            self.assertEqual((status, report["failures"]), (0, {}))
            self.assertEqual(report["done"], report["calls"])

    def test_direct_reads_are_compared_in_the_same_run(self):
        address = self.start_target().listening_address()
        status, report = self.play([address], "--direct", address,
                                   "--direct-share", 0.3)
        self.assertEqual(status, 0)
        comparison = report["comparison"]
        self.assertGreater(comparison["direct_ms"]["count"], 20)
        self.assertGreater(comparison["p50_ratio"], 0)

    def test_mistakes_in_settings_come_in_one_message(self):
        wrong = self.programs.start("citrongrade-load", "--senders", 0,
                                    "--key-in", "somewhere", "--upload-share",
                                    0.9)
        self.assertEqual(wrong.wait(), START_FAILED)
        for part in ("--nodes", "--senders", "--key-in", "shares"):
            self.assertIn(part, wrong.log_text())


if __name__ == "__main__":
    unittest.main()
