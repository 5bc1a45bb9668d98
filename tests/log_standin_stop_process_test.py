"""The log stand-in is stopped while a reader waits for the next record."""

import sys
import threading
import time
import unittest

from support.log_client import LogClient
from support.processes import ProgramGroup

BUILD_DIR = sys.argv.pop(1)
TIME_TO_BEGIN_WAITING_SECONDS = 0.3
READERS = 32
TIME_FOR_MANY_TO_BEGIN_SECONDS = 1.5


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

    # Guards against a server that stops between the end of a wait and its answer.
    def test_it_answers_each_reader_that_waits(self):
        address = self.start().address
        pages = []
        readers = [
            threading.Thread(target=lambda name=f"stream-{i}": pages.append(
                LogClient(address, name).read(1, wait_ms=25000)))
            for i in range(READERS)]
        for reader in readers:
            reader.start()
        time.sleep(TIME_FOR_MANY_TO_BEGIN_SECONDS)
        self.assertEqual(self.program.stop(), 0)
        for reader in readers:
            reader.join()
        self.assertEqual([page.json()["records"] for page in pages],
                         [[]] * READERS)


if __name__ == "__main__":
    unittest.main()
