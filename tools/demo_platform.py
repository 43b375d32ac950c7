"""Run a demonstration of instances on an emulated platform: ``make run-platform``."""

import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from catkinknot_standins.soak import Callers, SubmittedJob, TestEnvironment, open_instance

INSTANCE_COUNT = 3
SERVER_COUNT = 6
START_TIMEOUT_S = 30.0
JOBS_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
SMALL_TASK = {"cpu": 1000, "mem-mb": 1000, "gpu": 1, "estimated-ms": 800}
WHOLE_SERVER = {"cpu": 1000, "mem-mb": 68_000, "gpu": 8, "estimated-ms": 800}
DEMO_JOBS = {
    "0000000000000001": ("q0", "an urgent gang in one rack", [
        WHOLE_SERVER | {"count": 3, "gang": True, "rack-sensitive": True}]),
    "0000000000000002": ("q1", "a step that waits for another", [
        SMALL_TASK | {"count": 4}, SMALL_TASK | {"count": 2, "after": [0]}]),
    "0000000000000003": ("q2", "sixty small tasks that can wait", [SMALL_TASK | {"count": 60}]),
    "0000000000000004": ("q1", "a gang of every server", [
        WHOLE_SERVER | {"count": 6, "gang": True}]),
    "0000000000000005": ("q0", "an urgent task while all is busy", [SMALL_TASK | {"count": 1}]),
}  # fmt: skip


def main() -> int:
    """Start the platform and the instances, submit the jobs, and print a table of them.

    Returns:
        The exit status: 0 when every job was completed.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        environment = TestEnvironment(stack, SERVER_COUNT)
        instances = []
        for n in range(INSTANCE_COUNT):
            seed = instances[0].relay if instances else ""
            opened = open_instance(f"instance-{n}", folder, environment.open_store_route(), seed)
            instances.append(stack.enter_context(opened))
            instances[-1].start()
        callers = Callers(instances, 1)
        _wait_until(
            lambda: all(_is_up(callers, instance) for instance in instances), START_TIMEOUT_S
        )
        _wait_until(lambda: bool(environment.leader()), START_TIMEOUT_S)
        print(
            f"{INSTANCE_COUNT} instances and {SERVER_COUNT} servers are up; "
            f"{environment.leader()} leads."
        )
        submitted = {job: _submit(callers, job) for job in DEMO_JOBS}
        began_s = time.monotonic()
        ended_after_s: dict[str, float] = {}
        all_ended = _wait_until(
            lambda: _poll_jobs(callers, submitted, ended_after_s, began_s), JOBS_TIMEOUT_S
        )
        _print_table(submitted, environment, ended_after_s)
        if "--keep" in sys.argv:
            _wait_for_return(callers, instances)
        return 0 if all_ended else 1


def _is_up(callers: Callers, instance) -> bool:
    """Return whether an instance answers a request for the jobs of a queue."""
    return callers.call("GET", "/q0/", instance=instance)[0] == 200


def _wait_until(condition, timeout_s: float) -> bool:
    """Wait until a condition holds, and return whether it did before the time-out."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def _submit(callers: Callers, job: str) -> SubmittedJob:
    """Submit one job."""
    queue, _, steps = DEMO_JOBS[job]
    submitted_job = SubmittedJob(job, f"/{queue}/{job}", steps)
    status, _ = callers.call("POST", submitted_job.path, body={"spec": "demo", "steps": steps})
    submitted_job.answers.append(status)
    return submitted_job


def _poll_jobs(
    callers: Callers,
    submitted: dict[str, SubmittedJob],
    ended_after_s: dict[str, float],
    began_s: float,
) -> bool:
    """Poll the jobs that have not ended, and return whether all have ended."""
    for job, submitted_job in submitted.items():
        if job in ended_after_s:
            continue
        _, body = callers.call("GET", submitted_job.path)
        submitted_job.shown = str(body.get("state", "unknown"))
        if submitted_job.shown in ("completed", "failed", "cancelled"):
            ended_after_s[job] = time.monotonic() - began_s
    return len(ended_after_s) == len(submitted)


def _print_table(
    submitted: dict[str, SubmittedJob],
    environment: TestEnvironment,
    ended_after_s: dict[str, float],
) -> None:
    """Print a table with a row for each job."""
    lifetimes = [lifetime for server in environment.servers for lifetime in server.lifetimes]
    starts = [task for lifetime in lifetimes for _, task, _ in lifetime.starts]
    head = f"{'job':18}{'queue':7}{'description':36}{'state':12}"
    print(f"{head}{'tasks':>6}{'starts':>8}{'ended after':>13}")
    for job, submitted_job in submitted.items():
        queue, description, steps = DEMO_JOBS[job]
        tasks = sum(step["count"] for step in steps)
        started = sum(task.startswith(job) for task in starts)
        elapsed = f"{ended_after_s[job]:.1f} s" if job in ended_after_s else "-"
        print(
            f"{job:18}{queue:7}{description:36}{submitted_job.shown:12}"
            f"{tasks:6}{started:8}{elapsed:>13}"
        )


def _wait_for_return(callers: Callers, instances: list) -> None:
    """Print the addresses of the instances, and wait until the user presses return."""
    for instance in instances:
        print(f"{instance.name}: callers at {instance.callers.address}, log {instance.log}")
    input("Press return to stop. ")


if __name__ == "__main__":
    sys.exit(main())
