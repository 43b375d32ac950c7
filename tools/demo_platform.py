"""Show instances on the platform's stand-ins: ``make run-platform``."""

import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from catkinknot_standins.soak import Callers, SubmittedJob, TestEnvironment, open_instance

INSTANCES = 3
SERVERS = 6
UP_S = 30.0
WAIT_S = 60.0
LOOK_S = 0.2
SMALL = {"cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 800}
WHOLE = {"cpu": 1000, "mem-mb": 68_000, "gpu": 8, "estimated-ms": 800}
DEMO_JOBS = {
    "0000000000000001": ("q0", "an urgent gang in one rack", [
        WHOLE | {"count": 3, "gang": True, "rack-sensitive": True}]),
    "0000000000000002": ("q1", "a step that waits for another", [
        SMALL | {"count": 4}, SMALL | {"count": 2, "after": [0]}]),
    "0000000000000003": ("q2", "sixty small tasks that can wait", [SMALL | {"count": 60}]),
    "0000000000000004": ("q1", "a gang of every server", [WHOLE | {"count": 6, "gang": True}]),
    "0000000000000005": ("q0", "an urgent task while all is busy", [SMALL | {"count": 1}]),
}  # fmt: skip


def main() -> int:
    """Start everything, hand the jobs in, and print a table of them.

    Returns:
        The exit status: 0 when every job was completed.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        outside = TestEnvironment(stack, SERVERS)
        instances = []
        for n in range(INSTANCES):
            seed = instances[0].relay if instances else ""
            opened = open_instance(f"instance-{n}", folder, outside.open_store_route(), seed)
            instances.append(stack.enter_context(opened))
            instances[-1].start()
        callers = Callers(instances, 1)
        _wait(lambda: all(_is_up(callers, one) for one in instances), UP_S)
        _wait(lambda: bool(outside.leader()), UP_S)
        print(f"{INSTANCES} instances and {SERVERS} servers are up; {outside.leader()} leads.")
        works = {job: _hand_in(callers, job) for job in DEMO_JOBS}
        began_s = time.monotonic()
        ended: dict[str, float] = {}
        done = _wait(lambda: _note_ends(callers, works, ended, began_s), WAIT_S)
        _print_table(works, outside, ended)
        if "--keep" in sys.argv:
            _keep(callers, instances)
        return 0 if done else 1


def _is_up(callers: Callers, instance) -> bool:
    """Tell whether an instance counts the jobs of a queue."""
    return callers.call("GET", "/q0/", instance=instance)[0] == 200


def _wait(done, limit_s: float) -> bool:
    """Wait for something; return whether it came."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if done():
            return True
        time.sleep(LOOK_S)
    return False


def _hand_in(callers: Callers, job: str) -> SubmittedJob:
    """Hand one job in."""
    queue, _, steps = DEMO_JOBS[job]
    work = SubmittedJob(job, f"/{queue}/{job}", steps)
    status, _ = callers.call("POST", work.path, body={"spec": "demo", "steps": steps})
    work.answers.append(status)
    return work


def _note_ends(
    callers: Callers, works: dict[str, SubmittedJob], ended: dict[str, float], began_s: float
) -> bool:
    """Look at each job, and return whether all have ended."""
    for job, work in works.items():
        if job in ended:
            continue
        _, body = callers.call("GET", work.path)
        work.shown = str(body.get("state", "unknown"))
        if work.shown in ("completed", "failed", "cancelled"):
            ended[job] = time.monotonic() - began_s
    return len(ended) == len(works)


def _print_table(
    works: dict[str, SubmittedJob], outside: TestEnvironment, ended: dict[str, float]
) -> None:
    """Print a line for each job."""
    lifetimes = [lifetime for server in outside.servers for lifetime in server.lifetimes]
    starts = [task for lifetime in lifetimes for _, task, _ in lifetime.starts]
    head = f"{'job':18}{'queue':7}{'what':36}{'state':12}"
    print(f"{head}{'tasks':>6}{'starts':>8}{'ended after':>13}")
    for job, work in works.items():
        queue, what, steps = DEMO_JOBS[job]
        tasks = sum(step["count"] for step in steps)
        started = sum(task.startswith(job) for task in starts)
        took = f"{ended[job]:.1f} s" if job in ended else "-"
        print(f"{job:18}{queue:7}{what:36}{work.shown:12}{tasks:6}{started:8}{took:>13}")


def _keep(callers: Callers, instances: list) -> None:
    """Leave everything up until the user has seen enough."""
    for one in instances:
        print(f"{one.name}: callers at {one.callers.address}, log {one.log}")
    input("Press return to end. ")


if __name__ == "__main__":
    sys.exit(main())
