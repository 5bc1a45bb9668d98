"""Hosts that are lost under load, node and target together."""

import sys
import time
import unittest

from support.failure_case import FailureCase, print_figures

FailureCase.build_dir = sys.argv.pop(1)

KILLS = 20
LOAD_SECONDS = 5
SECONDS_BEFORE_KILL = 1
CALLS_PER_SECOND = 150


def quantile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class KillTest(FailureCase):

    def test_owners_are_killed_one_after_the_other(self):
        # Callers see a few refusals and unknown outcomes, resend, and get every
        # answer; no lock runs twice. Each kill ends a node and its target in the
        # middle of their work; the witnesses close its lease, the others take
        # its slots over and collect the ids that it ran, before they run any
        # lock there. Then the host comes back and the next one goes.
        gaps = []
        for kill in range(KILLS):
            host = self.mesh.hosts_of(self.service)[kill % 2]
            load = self.start_load(LOAD_SECONDS, CALLS_PER_SECOND,
                                   "--protected-share", 0.5)
            time.sleep(SECONDS_BEFORE_KILL)
            host.kill()
            report = self.check_promises(load, LOAD_SECONDS)
            gaps.append(report["unavailable_ms"])
            self.mesh.restart_host(host)
            self.mesh.wait_until_served()
            self.wait_until_members_own(self.mesh.hosts)
        self.check_healed()
        print_figures(
            "unavailable time of keys that failed, ms, over %d kills" % KILLS,
            keys=sum(each["count"] for each in gaps),
            median_of_p50=quantile([each["p50"] for each in gaps], 0.5),
            median_of_p99=quantile([each["p99"] for each in gaps], 0.5),
            worst_p99=max(each["p99"] for each in gaps),
            worst=max(each["max"] for each in gaps))


if __name__ == "__main__":
    unittest.main()
