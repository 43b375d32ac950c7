"""Checks of a run's guarantees against the history of its servers and callers."""

import itertools
from collections import defaultdict
from collections.abc import Iterable

from catkinknot.jobs import RunOutcome

from ._callers import SubmittedJob
from ._environment import CAPACITY, DriftingServer

__all__ = ["check_completed", "check_history"]


def check_completed(job: SubmittedJob, lifetimes: Iterable[DriftingServer]) -> list[str]:
    """Return the violations of a job that is reported as completed.

    Args:
        job: The job.
        lifetimes: All lifetimes of all servers so far.
    """
    done = {
        task
        for lifetime in lifetimes
        for _, task, _, how in list(lifetime.finished)
        if how is RunOutcome.DONE
    }
    faults = []
    for i, step in enumerate(job.steps):
        names = [f"{job.id}.0.{i}.{n}" for n in range(step["count"])]
        ended = [name in done for name in names]
        if not (any(ended) if step.get("gang") else all(ended)):
            faults.append(f"MIXED: {job.id} is reported as completed, its step {i} is not done")
    return faults


def check_history(jobs: list[SubmittedJob], lifetimes: list[DriftingServer]) -> list[str]:
    """Return the violations in the history of a run.

    Args:
        jobs: The submitted jobs.
        lifetimes: All lifetimes of all servers.
    """
    by_id = {job.id: job for job in jobs}
    faults = []
    for task, runs in _intervals(lifetimes).items():
        faults += _check_task(task, runs, by_id.get(task.partition(".")[0]))
    needs = {task: step for job in jobs for task, step in job.tasks()}
    for lifetime in lifetimes:
        faults += _check_capacity(lifetime, needs)
    return faults


def _intervals(lifetimes: list[DriftingServer]) -> dict[str, list[tuple[float, float, str, bool]]]:
    """Return start, end, lifetime and acknowledged completion of each run by task."""
    found: dict[str, list[tuple[float, float, str, bool]]] = defaultdict(list)
    for lifetime in lifetimes:
        ends = {(task, run): (at_s, how) for at_s, task, run, how in lifetime.finished}
        for start_s, task, run in lifetime.starts:
            end_s, how = ends.get((task, run), (float("inf"), None))
            done = how is RunOutcome.DONE and task in lifetime.acknowledged_at_s
            found[task].append((start_s, end_s, lifetime.listing.lifetime, done))
    return found


def _check_task(
    task: str, runs: list[tuple[float, float, str, bool]], job: SubmittedJob | None
) -> list[str]:
    """Check the runs of one task against each other and against its job."""
    faults = []
    if job is None:
        faults.append(f"UNASKED: {task} was started, no caller submitted it")
    elif job.refused:
        faults.append(f"REFUSED: {task} was started, every attempt to submit it was refused")
    runs = sorted(runs)
    for (_, end_s, before, done), (start_s, _, after, _) in itertools.pairwise(runs):
        if start_s < end_s:
            faults.append(
                f"TWICE: {task} on {before} until {end_s:.3f}, on {after} at {start_s:.3f}"
            )
        if done:
            faults.append(f"TWICE: {task} was done on {before} and started on {after}")
    return faults


def _check_capacity(lifetime: DriftingServer, needs: dict[str, dict]) -> list[str]:
    """Check that a server never ran more than its capacity."""
    ends = {(task, run): at_s for at_s, task, run, _ in lifetime.finished}
    changes = []
    for start_s, task, run in lifetime.starts:
        step = needs.get(task, {})
        need = (step.get("cpu", 0), step.get("mem-mb", 0), step.get("gpu", 0))
        changes.append((start_s, 1, need))
        changes.append((ends.get((task, run), float("inf")), 0, need))
    used = [0, 0, 0]
    for at_s, begins, need in sorted(changes):
        used = [u + (n if begins else -n) for u, n in zip(used, need, strict=True)]
        if any(u > limit for u, limit in zip(used, CAPACITY, strict=True)):
            return [f"LIMIT: {lifetime.listing.lifetime} runs {used} at {at_s:.3f}"]
    return []
