"""Nodes that are paused under load for longer than their lease, and go on."""

import sys
import time
import unittest

from support.failure_case import FailureCase, print_figures

FailureCase.build_dir = sys.argv.pop(1)

LOAD_SECONDS = 8
PAUSE_SECONDS = 3
PAUSES = 4
CALLS_PER_SECOND = 200


class PauseTest(FailureCase):

    workers = 5

    def test_a_paused_owner_wakes_up_beside_its_successors(self):
        # The node is stopped in the middle of dispatches and its lease of 1.2 s
        # lapses, so its slots go to others. When it goes on it still believes
        # that it owns them. Callers get each answer once: what it had not yet
        # given to its target is refused, and no lock runs twice.
        for pause in range(PAUSES):
            host = self.mesh.hosts[pause]
            load = self.start_load(LOAD_SECONDS, CALLS_PER_SECOND,
                                   "--protected-share", 0.6,
                                   "--deadline-ms", 2000)
            time.sleep(1)
            host.node.pause()
            time.sleep(PAUSE_SECONDS)
            host.node.resume()
            report = self.check_promises(load, LOAD_SECONDS)
            print_figures("pause of %s" % host.name,
                          failures=report["failures"],
                          **report["unavailable_ms"])
            self.wait_until_members_own(self.mesh.hosts)
        self.check_healed()

    def test_a_frozen_target_wakes_up(self):
        # The target is stopped while its node lives on. Its requests end as
        # unknown, or wait until it goes on; none is run again elsewhere, since
        # its node still owns the keys.
        host = self.mesh.hosts[0]
        load = self.start_load(LOAD_SECONDS, CALLS_PER_SECOND,
                               "--protected-share", 0.6, "--deadline-ms", 2000)
        time.sleep(1)
        host.target.pause()
        time.sleep(PAUSE_SECONDS)
        host.target.resume()
        report = self.check_promises(load, LOAD_SECONDS)
        self.check_healed()
        print_figures("frozen target", failures=report["failures"],
                      **report["unavailable_ms"])


if __name__ == "__main__":
    unittest.main()
