"""Case: a work unit runs twice after a cut, since the reading of its worker's clock was old."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import CannotRunError, Worker, World, overlap, run_case

SLOW_CLOCK = 0.98
"""A worker's clock may be 2% slow."""

MAIN_AT_S = 99.0
CUT_AFTER_HOLD_S = 1.6
CUT_S = 6.5
WORK_S = 14.0
WATCH_S = 10.0
WHOLE = {"cpu": 26_000, "mem-mb": 68_000, "gpu": 8}


def case(world: World, trouble: bool) -> str:
    """Workers run one job, are idle for a while, and one of them is cut off in its next job."""
    for n in range(6):
        world.add_worker(clock_rate=SLOW_CLOCK, zone="yard" if n == 0 else "hall")
    world.publish_config([{"name": "plates", "path-prefix": "/plates/"}])
    world.start_instances(3)
    time.sleep(2.0)
    first = {"count": 6, "anti-affinity": 1, "estimated-ms": 1000, **WHOLE}
    world.submit("/plates/", [first], "work_s=1")
    time.sleep(max(0.0, MAIN_AT_S - world.record.now()))
    job = world.submit("/plates/", [{"count": 1, "estimated-ms": 14000, **WHOLE}], "work_s=14")
    worker = _worker_of(world, job)
    began_s = world.runs_of(job)[0].began_s
    if trouble:
        _cut_after_hold(world, worker, began_s)
    time.sleep(max(0.0, began_s + WATCH_S - world.record.now()))
    for worker in world.workers:
        worker.cut = False
    return overlap(world, job)


def _worker_of(world: World, job: str) -> Worker:
    """Return the worker on which a job has begun."""
    for _ in range(100):
        for worker in world.workers:
            if any(run.job == job for run in list(worker.runs.values())):
                return worker
        time.sleep(0.02)
    raise CannotRunError("the job did not begin")


def _cut_after_hold(world: World, worker: Worker, began_s: float) -> None:
    """Cut a worker off some time after it has answered a renewal."""
    end_s = began_s + 1.2
    time.sleep(max(0.0, end_s - world.record.now()))
    held_s = worker.holds_s[-1]
    time.sleep(max(0.0, held_s + CUT_AFTER_HOLD_S - world.record.now()))
    world.record.say(f"{worker.name} is cut off; its last renewal was at {held_s:.3f} s")
    worker.cut = True
    time.sleep(CUT_S)
    worker.cut = False
    world.record.say(f"{worker.name} is reached again")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
