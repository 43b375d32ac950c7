"""A job's last attempt fails, and the leader is killed before the job's end is stored."""

import sys
import time
from pathlib import Path

from system import FINISH_S, TROUBLE, NotRunError, System, run_case

SLOW_BY = 60.0
SLOW_S = 4.5
ROUNDS = 2
MAX_ATTEMPTS = 3
PATIENCE_S = 20.0
WATCH_S = 6.0
LIMIT_S = 3.0


def case(system: System) -> str:
    """Play the case; return what was broken, empty if the rule held."""
    workers = [system.worker(f"i-7f3a91c{n}", labels=["ab"[n], f"r1-{n}"]) for n in range(2)]
    for worker in workers:
        worker.join()
    system.up()
    jobs = [f"5c0e7a21d94b36f{n}" for n in range(ROUNDS)]
    for job in jobs:
        _round(system, job)
        time.sleep(4.0)
    system.say(f"the traffic has ended; the jobs are asked for after {FINISH_S} s")
    time.sleep(FINISH_S)
    began = {job: len(system.starts_of(job)) for job in jobs}
    time.sleep(WATCH_S)
    stuck = []
    for job in jobs:
        state = system.state(f"/colour/{job}")
        starts = system.starts_of(job)
        idle = len(starts) == began[job] and not system.runs_of(job)
        tried = {task for _, task, _ in starts}
        system.say(f"{job} is shown as {state}; {len(starts)} starts, of {sorted(tried)}")
        if state in ("queued", "running") and idle and f"{job}.0.0.1" not in tried:
            stuck.append(job)
    if not stuck:
        return ""
    return (
        f"LOST: {stuck} shown as not ended, with nothing running for {WATCH_S} s (limit "
        f"{LIMIT_S} s) though work unit 1 never had a run and both workers are idle"
    )


def _round(system: System, job: str) -> None:
    """Submit a job whose work unit 0 fails always; kill the leader after the last failure."""
    step = {"count": 2, "cpu": 5600, "mem-mb": 11000, "gpu": 1, "estimated-ms": 9500}
    step |= {"requirements": "b", "anti-affinity": 1}
    if TROUBLE:
        system.say(f"the store is {SLOW_BY:.0f} times as slow for {SLOW_S} s")
        system.store.slow_by = SLOW_BY
    slow_until_s = time.monotonic() + SLOW_S
    if not system.submit(f"/colour/{job}", {"work_s": 0.15, "fails": [0]}, [step]):
        raise NotRunError("a job was not accepted")
    system.say(f"{job} is accepted")
    end_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < end_s and not _failure_confirmed(system, job):
        time.sleep(0.001)
        if time.monotonic() > slow_until_s:
            system.store.slow_by = 1.0
    if TROUBLE:
        system.say(f"the store has confirmed what follows the last failure of {job}")
        system.leading().restart_after_kill()
        system.say(f"the phase of {job} in the store is {system.phases.get(job)}")
    time.sleep(max(0.0, slow_until_s - time.monotonic()))
    system.store.slow_by = 1.0


def _failure_confirmed(system: System, job: str) -> bool:
    """Return whether the store has confirmed a record after the last allowed failure."""
    for worker in system.workers:
        failed = [at for at, _, task, _, _ in worker.ends if task == f"{job}.0.0.0"]
        if len(failed) >= MAX_ATTEMPTS:
            return system.run_records_s.get(job, 0.0) > failed[MAX_ATTEMPTS - 1]
    return False


if __name__ == "__main__":
    run_case(case, Path(sys.argv[1]))
