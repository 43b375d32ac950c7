"""A leader wakes after its successor took over, and starts a work unit that runs already."""

import signal
import sys
import threading
import time
from itertools import pairwise
from pathlib import Path

from system import TROUBLE, NotRunError, System, run_case
from worker import Worker

FREEZE_S = 4.0
WORK_S = 8.5
SHORT_WORK_S = 2.5
CRASH_AFTER_S = 0.5
PATIENCE_S = 3.3
WATCH_S = 12.0
SHORT, JOB, SMALL = "5c0e7a21d94b3670", "5c0e7a21d94b3671", "5c0e7a21d94b3672"
STEP = {"count": 1, "cpu": 26000, "mem-mb": 68000, "gpu": 4, "estimated-ms": 8500}
SMALL_STEP = {"count": 1, "cpu": 5600, "mem-mb": 11000, "estimated-ms": 9500}


def case(system: System) -> str:
    """Play the case; return what was broken, empty if the rule held."""
    for n, label in enumerate("abcccc"):
        system.worker(f"i-7f3a91c{n}", labels=[label, f"r1-{n}"]).join()
    first = system.workers[0]
    system.up()
    frozen = threading.Event()
    leader = system.leading()
    steps = [SMALL_STEP | {"requirements": "a"}]
    if not system.submit(f"/colour/{SHORT}", {"work_s": SHORT_WORK_S}, steps):
        raise NotRunError("the short job was not accepted")
    time.sleep(0.1)

    def freeze(key: str, _: bytes) -> None:
        if key.startswith(JOB) and not frozen.is_set():
            frozen.set()
            leader.send(signal.SIGSTOP)
            threading.Timer(FREEZE_S, leader.send, (signal.SIGCONT,)).start()

    follower = system.following()[0]
    if TROUBLE:
        system.on_run_record = freeze
    if not system.submit(f"/plate/{JOB}", {"work_s": WORK_S}, [STEP]):
        raise NotRunError("the job was not accepted")
    if TROUBLE and not frozen.wait(5.0):
        raise NotRunError("no run was stored")
    began_s = time.monotonic()
    system.say(f"the small job is handed in at {follower.name}")
    body = {"spec": '{"work_s": 20}', "steps": [SMALL_STEP | {"requirements": "b"}]}
    system.call("POST", f"/colour/{SMALL}", at=follower, body=body)
    if TROUBLE:
        _restart_after_takeover(system, first, began_s)
    time.sleep(WATCH_S)
    return _check(system)


def _restart_after_takeover(system: System, worker: Worker, began_s: float) -> None:
    """Let a worker crash once the new leader has started the job's work unit elsewhere."""
    while not system.starts_of(JOB):
        if time.monotonic() > began_s + PATIENCE_S:
            raise NotRunError("the successor did not start the work unit during the freeze")
        time.sleep(0.01)
    if any(task.startswith(JOB) for _, task, _ in worker.starts):
        raise NotRunError("the successor used the same worker")
    time.sleep(CRASH_AFTER_S)
    worker.restart()


def _check(system: System) -> str:
    """Return whether two runs of the work unit overlapped."""
    spans = []
    for worker in system.workers:
        over = {(task, run): at for at, _, task, run, _ in worker.ends}
        over |= {(task, run): at for at, task, run in worker.lost}
        for at, task, run in worker.starts:
            if task.startswith(JOB):
                end = over.get((task, run), time.monotonic())
                span = system.since_begin_s(at), system.since_begin_s(end)
                spans.append((*span, run, worker.ident))
                system.say(f"run {run} on {worker.ident} from {span[0]:.3f} to {span[1]:.3f}")
    spans.sort()
    for one, two in pairwise(spans):
        if two[0] < one[1]:
            both_s = min(one[1], two[1]) - two[0]
            return (
                f"TWICE: {JOB}.0.0.0 ran as run {one[2]} on {one[3]} and as run {two[2]} on "
                f"{two[3]} at the same time for {both_s:.2f} s"
            )
    return ""


if __name__ == "__main__":
    run_case(case, Path(sys.argv[1]))
