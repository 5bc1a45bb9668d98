"""Several hosts at once are lost under load, or all of them restart in turn."""

import sys
import time
import unittest

from support.failure_case import FailureCase, print_figures

FailureCase.build_dir = sys.argv.pop(1)

LOAD_SECONDS = 10
ROLLING_LOAD_SECONDS = 40
# Of the example's template.
SLOT_COUNT = 1024
SECONDS_BEFORE_KILL = 1
CALLS_PER_SECOND = 150


class ManyHostsTest(FailureCase):

    def test_an_availability_zone_is_killed(self):
        # Three of seven hosts go at once. At most two of an owner's five
        # witnesses stood in that zone, so every lost owner still has a majority
        # that can close its lease, and all keys are served again.
        zone = self.mesh.plan.zones[0]
        lost = [host for host in self.mesh.hosts if host.zone == zone]
        load = self.start_load(LOAD_SECONDS, CALLS_PER_SECOND)
        time.sleep(SECONDS_BEFORE_KILL)
        for host in lost:
            host.kill()
        report = self.check_promises(load, LOAD_SECONDS)
        left = [host for host in self.mesh.hosts if host not in lost]
        self.wait_until_members_own(left)
        self.check_healed()
        print_figures("unavailable time after the loss of a zone, ms",
                      **report["unavailable_ms"])

    def test_every_host_is_restarted_in_turn(self):
        # A rolling restart: each host hands its slots over, finishes what is in
        # flight and ends with status 0; its target stops after it. Callers that
        # use other entry nodes see no failure that outlasts their resends.
        load = self.start_load(ROLLING_LOAD_SECONDS, CALLS_PER_SECOND)
        for host in list(self.mesh.hosts):
            self.assertEqual(host.stop(), (0, 0))
            self.mesh.restart_host(host)
            self.mesh.wait_until_served()
            self.wait_until_members_own(self.mesh.hosts)
        report = self.check_promises(load, ROLLING_LOAD_SECONDS)
        print_figures("rolling restart", slots_moved=self.slots_moved(),
                      slots=SLOT_COUNT, failures=report["failures"],
                      done=report["done"], **report["unavailable_ms"])


if __name__ == "__main__":
    unittest.main()
