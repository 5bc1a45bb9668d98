"""The platform's log fails under load."""

import sys
import time
import unittest

from support.failure_case import FailureCase, print_figures
from support.processes import wait_until

FailureCase.build_dir = sys.argv.pop(1)

OUTAGE_SECONDS = 60
CALLS_PER_SECOND = 100
TAKEOVER_TIMEOUT_SECONDS = 60


class LogFailureTest(FailureCase):

    workers = 5

    def test_owners_that_live_serve_through_an_outage_of_a_minute(self):
        # Leases don't use the log: callers notice nothing.
        load = self.start_load(OUTAGE_SECONDS + 2, CALLS_PER_SECOND)
        time.sleep(1)
        self.set_log_faults(outage=True)
        time.sleep(OUTAGE_SECONDS)
        self.set_log_faults(outage=False)
        report = self.check_promises(load, OUTAGE_SECONDS)
        self.assertEqual(report["unavailable_ms"]["count"], 0,
                         report["failures"])
        print_figures("outage of the log", done=report["done"],
                      failures=report["failures"])

    def test_an_owner_lost_during_an_outage_is_taken_over_after_it(self):
        # Its keys are refused while nobody can agree on a new owner, and served
        # again once the log answers. Nothing that it ran is run again.
        load = self.start_load(14, CALLS_PER_SECOND)
        time.sleep(1)
        self.set_log_faults(outage=True)
        self.mesh.hosts[0].kill()
        time.sleep(4)
        self.set_log_faults(outage=False)
        report = self.check_promises(load, 14)
        self.wait_until_members_own(self.mesh.hosts[1:])
        self.check_healed()
        print_figures("owner lost during an outage of the log",
                      failures=report["failures"], **report["unavailable_ms"])

    def test_answers_lost_after_the_append_took_effect(self):
        # The takeover's record stands in the log, but its writer never hears
        # so. It finds the record by reading, and the slots move once.
        self.set_log_faults(lose_answers=20, delay_ms=200)
        load = self.start_load(10, CALLS_PER_SECOND)
        time.sleep(1)
        self.mesh.hosts[0].kill()
        report = self.check_promises(load, 10)
        self.wait_until_members_own(self.mesh.hosts[1:])
        self.check_healed()
        print_figures("lost answers and a slow log",
                      failures=report["failures"], **report["unavailable_ms"])

    def test_a_node_that_starts_during_an_outage_serves_nobody_until_it_has_read(
            self):
        # Callers of the new node are refused not-run; others notice nothing.
        self.set_log_faults(outage=True)
        host = self.mesh.start_host(self.service, self.workers)
        time.sleep(2)
        self.assertFalse(host.is_ready())
        self.set_log_faults(outage=False)
        wait_until(host.is_ready, "the new node is ready",
                   TAKEOVER_TIMEOUT_SECONDS)


if __name__ == "__main__":
    unittest.main()
