"""See claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 could not run."""

import collections
import os
import sys
import time
import traceback

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import lab as lib  # noqa: E402

# amostra-ne: srv_grey, how = "shed", share 0.14, x 0.45, for_s 6.5.
SHED_SHARE = 0.45
# amostra-ne: garble, how = "extra late", share 0.6, x 0.03, for_s 5.0.
EXTRA_SHARE = 0.03
TROUBLE_FOR_S = 5.0
REST_S = 0.5
ROUNDS = 14
WORK_MS = 160
PROMISES_NOT_RUN = (408, 421, 429, 503)


def play(lab):
    lab.start()
    lab.clients(lab.nodes, 3)
    time.sleep(4)
    worker = lab.nodes[0]  # one of the seven that hold keys
    for _ in range(ROUNDS):
        if lib.TROUBLE:
            worker.set_faults(shed=SHED_SHARE, extra=EXTRA_SHARE)
        time.sleep(TROUBLE_FOR_S)
        worker.set_faults()
        time.sleep(REST_S)


def main():
    lab = lib.Lab(CASE, sharded=7, plain=3, work_ms=WORK_MS)
    try:
        play(lab)
    except lib.CouldNotRun as error:
        lab.note("could-not-run", reason=str(error))
        print(f"could not run: {error}")
        return lib.COULD_NOT_RUN
    finally:
        lab.close()
    events = [e for n in lab.nodes for e in n.events()]
    runs = collections.Counter(e["attempt"] for e in events if e["event"] == "run" and not e["attempt"].startswith("warm"))
    extras = collections.Counter(e["status"] for e in events if e["event"] == "extra")
    answered = [e for e in lib.read_record(CASE) if e["event"] == "answered"]
    refused = [e["attempt"] for e in answered if e["status"] in PROMISES_NOT_RUN and runs[e["attempt"]]]
    twice = [attempt for attempt, count in runs.items() if count > 1]
    for attempt in refused + twice:
        lab.note("broken", attempt=attempt, runs=runs[attempt], refused=attempt in refused)
    print(f"{len(answered)} unsafe requests, {sum(runs.values())} runs, {sum(e['event'] == 'shed' for e in events)} shed, second answers by status: {dict(extras)}")
    print(f"REFUSED: {len(refused)} requests ran and were answered as never run {refused[:5]}")
    print(f"TWICE: {len(twice)} requests ran more than once {twice[:5]}")
    return 1 if refused or twice else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception:
        traceback.print_exc()
        sys.exit(lib.COULD_NOT_RUN)
