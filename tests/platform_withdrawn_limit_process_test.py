"""A target of citrongrade-router that withdraws the limit which its answers named:
real processes against the stand-ins of the platform's store and targets."""

import os
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import platform_target_says_process_test as says  # noqa: E402


class WithdrawnLimitTest(says.Fixture):
    # Guards against a withdrawn limit that is kept, and keys that move for a
    # limit of a second.
    def test_a_limit_ends_when_it_is_withdrawn(self):
        for path, service in (("/plain/x", says.UNDIVIDED), ("/lock/x", says.DIVIDED)):
            limited = self.of(service)[0]
            self.begin_callers(path)
            time.sleep(1.5)
            named = time.monotonic()
            limited.target_says(limit=says.LIMIT)
            time.sleep(1.5)
            limited.target_says()
            withdrawn = time.monotonic()
            time.sleep(says.WITHDRAWN + 1)
            self.end_callers()
            self.stopping = False
            self.check_served_as_before(limited, named, withdrawn, says.WITHDRAWN)


if __name__ == "__main__":
    unittest.main(verbosity=2)
