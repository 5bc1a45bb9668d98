"""See claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 could not run."""

import os
import sys
import time
import traceback

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import lab as lib  # noqa: E402

LATE_S = 0.9  # of one check-in; "a check-in may arrive seconds late"
DOWN_S = 0.3  # of the node
SERVES_ON_S = 8.0  # of the worker, "at times many seconds"
DRAIN_S, CONTACT_S = 2.0, 3.0
TIME_LIMIT_S = 1.2  # of requests


def count(node, event):
    return len([e for e in node.events() if e["event"] == event])


def play(lab):
    """Returns when the node had confirmed the leaving, and when its new process
    was started."""
    lab.start()
    lab.clients(lab.nodes, 6)
    time.sleep(5)
    node = next(n for n in lab.nodes if n is not lab.leader() and n.service == lib.SHARDED)
    lab.note("trouble", node=node.index)
    before = count(node, "check-in")
    if lib.TROUBLE:
        with open(node.delay, "w") as file:
            file.write(str(LATE_S))
    lab.wait_for(lambda: count(node, "check-in") > before, 3, "a check-in")
    time.sleep(0.05)
    with open(node.delay, "w") as file:
        file.write("0")
    lib.call(node.at(18606), "PUT", "/test/leave")
    lab.wait_for(lambda: count(node, "delete-ended") > 0, 3, "the confirmation")
    ended = next(e for e in node.events() if e["event"] == "delete-ended")
    if not ended["acked"]:
        raise lib.CouldNotRun("the DELETE was not confirmed")
    started = None
    if lib.TROUBLE:
        node.process.kill()
        node.process.wait()
        lab.note("node-killed", node=node.index)
        time.sleep(DOWN_S)
        node.start()
        started = time.monotonic()
        lab.note("node-started", node=node.index)
    time.sleep(max(0.0, ended["at"] + SERVES_ON_S - time.monotonic()))
    node.kill_worker()
    ended_at = time.monotonic()
    time.sleep(3)
    return node, ended["at"], started, ended_at


def main():
    lab = lib.Lab(CASE, sharded=7, plain=3, work_ms=160)
    try:
        for node in lab.nodes[:7]:
            node.checkin_address = node.at(18605)
            node.delay = os.path.join(lab.folder, f"delay-{node.index}")
            link = [sys.executable, os.path.join(lib.LIB, "late_link.py"), node.at(18605), node.at(18604), node.delay]
            lab.spawn(link, os.path.join(lab.folder, "link.err"))
        node, confirmed, started, gone = play(lab)
    except lib.CouldNotRun as error:
        lab.note("could-not-run", reason=str(error))
        print(f"could not run: {error}")
        return lib.COULD_NOT_RUN
    finally:
        lab.close()
    # Only what machines in touch took from the client and sent on counts: their
    # processes have to have run for ContactMs before.
    since = max(confirmed + DRAIN_S, (started or 0) + CONTACT_S) + TIME_LIMIT_S
    late = [e for e in node.events() if e["event"] == "run" and e["at"] > since]
    ids = {e["attempt"] for e in late}
    ran_to_end = {e["attempt"] for e in node.events() if e["event"] == "run-end"}
    lost = [e for e in lib.read_record(CASE) if e["event"] == "answered" and e["attempt"] in ids - ran_to_end and e["status"] in (0, 502, 504)]
    print(f"confirmed at {confirmed:.2f} s, process started at {started or 0:.2f} s, worker ended at {gone:.2f} s")
    print(f"DRAIN: {len(late)} requests reached the worker later than {since - confirmed:.2f} s after the confirmation, from a machine in touch")
    print(f"{len(lost)} of these were lost when the worker ended")
    return 1 if late else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception:
        traceback.print_exc()
        sys.exit(lib.COULD_NOT_RUN)
