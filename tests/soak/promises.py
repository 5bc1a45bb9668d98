"""Checks of the promises, from what callers got and what targets did."""

import random
from bisect import bisect_right
from collections import Counter, defaultdict

from platform_mesh import COLD_EXCESS, COLD_PER_S, COLD_SLACK
from said_checks import DRAIN, Passed, arrivals_of, check_limit, late_after_leaving

# Held keys are compared at so many of them.
PROBES = 96
# Two clocks read one after the other.
SAME_TIME = 0.002
# Orders that a node sends as it wakes up don't count: ThawSlackMs.
THAW_SLACK = 0.3
# Requests that a cold target may get in any second, counted from when its node
# has been told.
MAX_COLD = COLD_PER_S * COLD_EXCESS + COLD_SLACK
# A request that reaches a target so long after its caller left is one too many;
# a few may.
LEFT_SLACK = 0.6
# A request that has crashed so many targets may run so often later than that.
CRASHES = 3
LATE_RUNS = 3
CRASH_SLACK = 3.0
FEW = 3


class TargetLife:
    def __init__(self, node, started, identity):
        self.node = node
        self.started = started
        self.identity = identity
        self.ended = float("inf")
        self.events = []
        self.left = None


def read_lives(mesh):
    lives = []
    for node in mesh.nodes:
        for event in node.events():
            if event["event"] == "start":
                life = TargetLife(node.index, event["at"], event["target"])
                later = [t for t in mesh.deaths[node.index] if t > life.started]
                life.ended = min(later, default=life.ended)
                lives.append(life)
            elif event["event"] == "crash":
                life.ended = min(life.ended, event["at"])
            elif event["event"] == "left":
                life.left = life.left or event["at"]
            else:
                life.events.append(event)
    return lives


def life_of(node):
    """All that the node's targets did, as one life."""
    life = TargetLife(node.index, 0.0, f"node {node.index}")
    life.events = node.events()
    return life


def check(mesh, outcomes):
    """What was broken, one line each."""
    lives = read_lives(mesh)
    problems = list(mesh.problems)
    problems += check_answers(outcomes)
    problems += check_runs(lives, outcomes)
    problems += check_drains(lives)
    problems += check_cold(lives)
    problems += check_said(mesh, lives, outcomes)
    problems += check_crashing(mesh, lives)
    problems += check_holds(mesh, lives)
    problems += check_work(lives, mesh.thaws)
    return problems


def check_answers(outcomes):
    problems = [f"{o.attempt} got a success that is not its target's" for o in outcomes if not o.is_whole]
    problems += [f"{o.attempt} at node {o.node.index} got a {o.status}" for o in outcomes if o.status in (400, 404, 413, 421, 431)]
    return problems


def check_runs(lives, outcomes):
    runs = defaultdict(list)
    for life in lives:
        for event in life.events:
            if event["event"] == "run":
                runs[event["attempt"]].append(event["at"])
    problems = []
    late = 0
    for outcome in outcomes:
        begun = runs[outcome.attempt]
        is_unsafe = not outcome.path.startswith("/read")
        if is_unsafe and len(begun) > 1:
            problems.append(f"{outcome.attempt} ran {len(begun)} times")
        if outcome.status in (408, 421, 429, 503) and is_unsafe and begun:
            problems.append(f"{outcome.attempt} was answered {outcome.status} and has run")
        if outcome.left and any(at > outcome.left + LEFT_SLACK for at in begun):
            late += 1
    if late > FEW:
        problems.append(f"{late} requests reached a target {LEFT_SLACK} s after their callers had left")
    return problems


def check_drains(lives):
    problems = []
    for life in lives:
        late = [e for e in life.events if life.left and e["event"] == "run" and e["at"] > life.left + DRAIN]
        if late:
            problems.append(f"{len(late)} requests reached {life.identity} over {DRAIN} s after its leaving was confirmed")
    return problems


def check_cold(lives):
    problems = []
    for life in lives:
        spells = [(e["at"], e["until"]) for e in life.events if e["event"] == "cold-told"]
        runs = [e["at"] for e in life.events if e["event"] == "run" and any(a <= e["at"] < b for a, b in spells)]
        busiest = max((sum(0 <= other - one < 1 for other in runs) for one in runs), default=0)
        if busiest > MAX_COLD:
            problems.append(f"{life.identity} got {busiest} requests in a second while it was cold")
    return problems


def check_said(mesh, lives, outcomes):
    """Limits that targets named, and their leaving, as they said in answers."""
    by_attempt = {o.attempt: o for o in outcomes}
    sent = {o.attempt: o.sent for o in outcomes}

    def origin_of(attempt):
        return by_attempt[attempt].node.index if attempt in by_attempt else None

    problems = []
    for life in lives:
        if not any(e["event"] == "says" for e in life.events):
            continue
        its = [by_attempt[attempt] for _, attempt in arrivals_of(life.events) if attempt in by_attempt]
        passed = [Passed(o.ended, o.node.index, o.headers) for o in its]
        end = min(life.ended, mesh.ended_at)
        excess = check_limit(life.events, passed, end, origin_of, mesh.was_cut_or_restarted)
        if excess:
            problems.append(f"{life.identity} got {excess[0]} requests in 4 s, its limit allows {excess[1]}")
        late = late_after_leaving(life.events, passed, sent, origin_of, mesh.was_restarted)
        if late:
            problems.append(f"{len(late)} requests reached {life.identity} over {DRAIN} s after their nodes were told that it leaves")
    return problems


def check_crashing(mesh, lives):
    """Runs of requests that crash targets, long after their third crash."""
    runs = defaultdict(list)
    for life in lives:
        for event in life.events:
            if event["event"] == "run" and "/crash" in event["path"]:
                runs[event["path"]].append((event["at"], int(event["attempt"].split("-")[-2]), life.node))
    problems = []
    for path, its in runs.items():
        its.sort()
        if len(its) <= CRASHES:
            continue
        third = its[CRASHES - 1][0]
        late = [at for at, entry, node in its if at > third + CRASH_SLACK and mesh.was_calm(entry, at) and mesh.was_calm(node, at)]
        if len(late) > LATE_RUNS:
            problems.append(f"{path} reached targets {len(late)} times over {CRASH_SLACK} s after it had crashed {CRASHES}")
    return problems


class Hold:
    def __init__(self, life, event):
        self.life = life
        self.begin = event["at"]
        self.end = min(event["until"], life.ended)
        self.fence = event["fence"]


def holds_of(life, key):
    """The times in which this life of a target held the key, in order."""
    holds = []
    for event in life.events:
        if event["event"] not in ("grant", "release") or not event["first"] <= key <= event["last"]:
            continue
        if event["event"] == "grant" and event["until"] <= event["at"]:
            # Carried out so late that its time was over.
            continue
        last = holds[-1] if holds else None
        is_held = last is not None and event["at"] < last.end
        if event["event"] == "release":
            if is_held:
                last.end = event["at"]
        elif is_held and last.fence == event["fence"]:
            last.end = max(last.end, min(event["until"], life.ended))
        else:
            if is_held:
                last.end = event["at"]
            holds.append(Hold(life, event))
    return holds


def work_of(life):
    """[key, begin, end] of each run on a key."""
    runs = {}
    for event in life.events:
        if event["event"] == "run" and event["key"] is not None:
            runs[event["attempt"]] = [event["key"], event["at"], life.ended]
        elif event["event"] == "run-end" and event["attempt"] in runs:
            runs[event["attempt"]][2] = event["at"]
    return list(runs.values())


def first_grants(lives):
    """(time, life, first, last) of the grants that gave a life new keys."""
    grants = []
    for life in lives:
        fences = set()
        for event in life.events:
            if event["event"] == "grant" and event["until"] > event["at"] and event["fence"] not in fences:
                fences.add(event["fence"])
                grants.append((event["at"], life, event["first"], event["last"]))
    return sorted(grants, key=lambda grant: grant[0])


def check_work(lives, thaws=None):
    """Keys that were given on while their last holder still worked on them."""
    grants = first_grants(lives)
    times = [grant[0] for grant in grants]
    problems = []
    for life in lives:
        for key, begin, end in work_of(life):
            for at, other, first, last in grants[bisect_right(times, begin) :]:
                if at >= end - SAME_TIME:
                    break
                is_thawed = thaws and any(0 <= at - thaw < THAW_SLACK for thaw in thaws[other.node])
                if other is not life and first <= key <= last and not is_thawed:
                    problems.append(f"{other.identity} was given key {key} during a run at {life.identity}")
    return problems


def check_holds(mesh, lives):
    problems = []
    for key in random.Random(1).sample(range(65536), PROBES):
        holds = sorted((h for life in lives for h in holds_of(life, key)), key=lambda h: h.begin)
        for i, later in enumerate(holds):
            if any(0 <= later.begin - thaw < THAW_SLACK for thaw in mesh.thaws[later.life.node]):
                continue
            for earlier in holds[:i]:
                if earlier.life is later.life:
                    continue
                if earlier.end - later.begin > SAME_TIME:
                    problems.append(f"{earlier.life.identity} and {later.life.identity} held key {key} together for {earlier.end - later.begin:.3f} s")
                elif earlier.fence >= later.fence:
                    problems.append(f"{later.life.identity} took key {key} by token {later.fence}, {earlier.life.identity} had {earlier.fence}")
    counted = Counter(line.split(" key ")[0] for line in problems)
    return [next(line for line in problems if line.startswith(start)) + f" ({count} of {PROBES} keys)" for start, count in counted.items()]
