"""Case: a work unit runs twice, since its start reached the next lifetime of a worker."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import World, overlap, run_case

FIRST_ENTRY_S = 0.8
"""Time until a restarted worker's first ping; pings come every 1.5 s."""

SUBMIT_AFTER_S = 0.2
WATCH_S = 8.0
STEP = {"count": 1, "cpu": 7_500, "mem-mb": 11_000, "gpu": 8, "estimated-ms": 2500}


def case(world: World, trouble: bool) -> str:
    """One of eight workers restarts under its id, and gets the next job's work unit."""
    for n in range(8):
        world.add_worker(rack=f"r1-{n // 4 + 1}")
    world.publish_config([{"name": "proofs", "path-prefix": "/proofs/", "priority": 0}])
    world.start_instances(3)
    time.sleep(2.0)
    first = world.submit("/proofs/", [STEP], "work_s=0.5")
    time.sleep(2.0)
    name = world.runs_of(first)[0].worker
    if trouble:
        next(worker for worker in world.workers if worker.name == name).restart(FIRST_ENTRY_S)
        time.sleep(SUBMIT_AFTER_S)
    job = world.submit("/proofs/", [STEP], "work_s=2.5")
    time.sleep(WATCH_S)
    return overlap(world, job)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
