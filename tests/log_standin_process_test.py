"""The log stand-in by itself: offsets, long poll, retention and faults."""

import http.client
import sys
import threading
import unittest

from support.log_client import LogClient
from support.processes import ProgramGroup, call

BUILD_DIR = sys.argv.pop(1)


class LogStandinTest(unittest.TestCase):

    def setUp(self):
        self.programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(self.programs.__exit__)

    def start(self, *flags, environment=None):
        self.program = self.programs.start(
            "citrongrade-log-standin", "--listen-address", "127.0.0.1:0",
            *flags, environment=environment)
        return LogClient(self.program.listening_address())

    def test_streams_have_offsets_of_their_own(self):
        log = self.start()
        other = LogClient(log.address, "other")
        self.assertEqual([log.append("r%d" % i).json()["offset"]
                          for i in range(3)], [1, 2, 3])
        self.assertEqual(other.append("x").json()["offset"], 1)
        page = log.read(2).json()
        self.assertEqual((page["first"], page["next"]), (1, 4))
        self.assertEqual(page["records"], [{"offset": 2, "data": "r1"},
                                           {"offset": 3, "data": "r2"}])
        self.assertEqual(log.bounds().json(), {"first": 1, "next": 4})

    def test_a_reader_waits_for_the_next_record(self):
        log = self.start()
        pages = []
        reader = threading.Thread(
            target=lambda: pages.append(log.read(1, wait_ms=20000).json()))
        reader.start()
        log.append("awaited")
        reader.join()
        self.assertEqual(pages[0]["records"][0]["data"], "awaited")
        self.assertEqual(log.read(2, wait_ms=10).json()["records"], [])

    # The platform is down for a while: nothing is appended, and a reader that
    # already waits learns of it. Afterwards all that was there still is.
    def test_an_outage_appends_nothing_and_loses_nothing(self):
        log = self.start()
        log.append("before")
        log.set_faults(outage=True)
        self.assertEqual(log.append("during").status, 503)
        self.assertEqual(log.read(1).status, 503)
        self.assertEqual(log.bounds().status, 503)
        log.set_faults(outage=False)
        self.assertEqual(log.append("after").json()["offset"], 2)
        self.assertEqual([record["data"] for record in
                          log.read(1).json()["records"]], ["before", "after"])

    # The writer's connection closes without an answer, yet its record stands in
    # the log: a writer that takes the close for a refusal would append twice.
    def test_a_lost_answer_comes_after_the_append_took_effect(self):
        log = self.start("--lose-answers", 1)
        with self.assertRaises((http.client.RemoteDisconnected,
                                ConnectionResetError)):
            log.append("lost")
        self.assertEqual(log.read(1).json()["records"],
                         [{"offset": 1, "data": "lost"}])
        self.assertEqual(log.append("next").json()["offset"], 2)

    # A reader slept past the retention: it must get the first offset kept, and
    # not a page that silently starts later.
    def test_records_past_the_retention_are_gone(self):
        log = self.start("--retention-records", 2)
        for i in range(5):
            log.append("r%d" % i)
        answer = log.read(1)
        self.assertEqual(answer.status, 410)
        self.assertEqual(answer.json(),
                         {"error": "retention-passed", "first": 4})
        log.set_faults(retention_records=1)
        self.assertEqual(log.bounds().json(), {"first": 5, "next": 6})

    def test_appends_above_the_rate_are_refused(self):
        log = self.start("--max-appends-per-second", 1)
        statuses = [log.append("r").status for _ in range(20)]
        self.assertIn(503, statuses)
        self.assertEqual(statuses.count(201), log.bounds().json()["next"] - 1)

    def test_bad_calls_are_refused(self):
        log = self.start()
        self.assertEqual(log.append(b"\xff\xfe").status, 400)
        self.assertEqual(log.append("x" * ((1 << 20) + 1)).status, 413)
        self.assertEqual(call(log.address, "POST", "/v1/faults",
                              {"outrage": True}).status, 400)
        self.assertEqual(call(log.address, "POST", "/v1/faults", "{").status,
                         400)
        self.assertEqual(call(log.address, "GET", "/v1/other").status, 404)
        self.assertEqual(log.bounds().json()["next"], 1)

    def test_settings_come_from_variables_and_mistakes_in_one_message(self):
        log = self.start(environment={"CITRONGRADE_RETENTION_RECORDS": "7"})
        faults = call(log.address, "GET", "/v1/faults").json()
        self.assertEqual(faults["retention_records"], 7)
        wrong = self.programs.start("citrongrade-log-standin", "--threads",
                                    "many", "--delay-ms", "-1", "--colour", "x")
        self.assertNotEqual(wrong.wait(), 0)
        for part in ("--threads", "--delay-ms", "--colour"):
            self.assertIn(part, wrong.log_text())


if __name__ == "__main__":
    unittest.main()
