"""A test case that plays seeds of the soak as they were found: with the kinds of
faults that the soak had then."""

import shutil
import unittest

from soak import play

SECONDS = 20
NODES = 6


class SeedCase(unittest.TestCase):
    # Set by the test file.
    router = None

    def play(self, seed, generation=1):
        problems, figures, folder = play(self.router, seed, SECONDS, NODES, generation=generation)
        self.assertEqual(problems, [], f"seed {seed}, {figures}; logs in {folder}")
        shutil.rmtree(folder, ignore_errors=True)
