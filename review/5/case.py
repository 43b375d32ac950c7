"""Case: after one failed run, a job never runs again on the only worker with room for it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from world import CannotRunError, World, run_case

FINISH_S = 14.0
"""`finish_s` of the bounds: from then on after the end of the traffic, jobs have to run."""

WATCH_S = 12.0
IDLE_LIMIT_S = 3.0
LASTING = {"count": 2, "cpu": 34_000, "mem-mb": 40_000, "gpu": 1, "anti-affinity": 1}
JOB = {"count": 1, "cpu": 32_000, "mem-mb": 40_000, "gpu": 1, "estimated-ms": 2500}


def case(world: World, trouble: bool) -> str:
    """Two of three workers run lasting work; a job's first run fails on the third."""
    workers = [world.add_worker(rack=f"r1-{n}") for n in (1, 2, 3)]
    world.publish_config([{"name": "plates", "path-prefix": "/plates/"}])
    world.start_instances(3)
    time.sleep(2.0)
    lasting = world.submit("/plates/", [LASTING | {"long-running": True}], "work_s=1e9 lasts=1")
    time.sleep(2.0)
    idle = [worker for worker in workers if not worker.runs]
    if len(idle) != 1:
        raise CannotRunError("the lasting work did not begin on two workers")
    if trouble:
        idle[0].fail_next = 1
    job = world.submit("/plates/", [JOB], "work_s=2.5")
    time.sleep(FINISH_S)
    since_s = world.record.now()
    time.sleep(WATCH_S)
    until_s = world.record.now()
    state = world.get(f"/plates/{job}")[1].get("state")
    runs = [f"run {run.number} on {run.worker}: {run.how}" for run in world.runs_of(job)]
    world.record.say(f"client: {job} is {state}; {', '.join(runs)}")
    world.record.say(f"{idle[0].name} runs {len(idle[0].runs)} work units")
    if len([run for run in world.runs_of(lasting) if run.ended_s is None]) != 2:
        raise CannotRunError("the lasting work did not last")
    began_s, ended_s = world.longest_idle(job, since_s, until_s)
    if state != "completed" and ended_s - began_s >= IDLE_LIMIT_S:
        return f"the job {job} had nothing running for {ended_s - began_s:.1f} s"
    return ""


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
