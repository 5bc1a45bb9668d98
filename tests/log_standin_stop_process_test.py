"""The log stand-in is stopped while a reader waits for the next record."""

import sys
import threading
import time
import unittest

from support.log_client import LogClient
from support.processes import ProgramGroup

BUILD_DIR = sys.argv.pop(1)
TIME_TO_BEGIN_WAITING_SECONDS = 0.3


class LogStandinStopTest(unittest.TestCase):

    def setUp(self):
        self.programs = ProgramGroup(BUILD_DIR)
        self.addCleanup(self.programs.__exit__)

    def start(self):
        self.program = self.programs.start(
            "citrongrade-log-standin", "--listen-address", "127.0.0.1:0")
        return LogClient(self.program.listening_address())

    def test_it_stops_while_a_reader_waits(self):
        log = self.start()
        pages = []
        reader = threading.Thread(
            target=lambda: pages.append(log.read(1, wait_ms=25000)))
        reader.start()
        time.sleep(TIME_TO_BEGIN_WAITING_SECONDS)
        self.assertEqual(self.program.stop(), 0)
        reader.join()
        self.assertEqual(pages[0].json()["records"], [])


if __name__ == "__main__":
    unittest.main()
