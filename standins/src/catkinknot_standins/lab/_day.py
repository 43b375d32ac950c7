"""Play one modelled day."""

import random
import time

from loguru import logger

from catkinknot.coordination import ClusterState, Planner, ServerView
from catkinknot.jobs import Configuration, JobEntry, JobPhase, Workspace
from catkinknot.model import SteppedClock

from ._arrivals import START_S, Arrival, draw_arrivals
from ._experiment import Experiment
from ._fleet import ModelFleet
from ._result import DayResult

__all__ = ["play_day"]

STEP_S = 0.05
PLAN_INTERVAL_S = 0.2
REPORT_INTERVAL_S = 1.0


class _NoRecorder:
    """Recorder that keeps nothing; the model has no store."""

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Drop a record."""


def play_day(experiment: Experiment, seed: int) -> DayResult:
    """Play a day and return what became of its jobs.

    Args:
        experiment: The fleet, the kinds of jobs and the bursts.
        seed: Seed of all random choices.
    """
    logger.disable("catkinknot")
    arrivals = draw_arrivals(experiment, seed)
    clock = SteppedClock(START_S)
    fleet = ModelFleet(
        experiment.fleet, clock, random.Random(seed), {a.job.id: a for a in arrivals}
    )
    cluster = ClusterState(
        _NoRecorder(),
        clock=clock,
        stop_run=lambda view, run, reason: fleet.stop(cluster, view, run),
        fence_s=START_S,
        max_lease_s=0.0,
        inherited_until_s=START_S,
    )
    cluster.apply_listing(fleet.listings())
    planner = Planner(
        cluster,
        recorder=_NoRecorder(),
        clock=clock,
        config=_make_config(experiment),
        start=lambda runs: fleet.start(cluster, runs),
    )
    rounds_s = _run(experiment, clock, cluster, planner, fleet, list(arrivals))
    return DayResult.of(seed, arrivals, _ended(cluster, arrivals), fleet, rounds_s)


def _run(
    experiment: Experiment,
    clock: SteppedClock,
    cluster: ClusterState,
    planner: Planner,
    fleet: ModelFleet,
    waiting: list[Arrival],
) -> list[float]:
    """Advance the clock to the end of the day; return the duration of each planning round."""
    end_s = START_S + experiment.length_s + experiment.settle_s
    planned_s = reported_s = START_S
    rounds_s = []
    while clock.now() < end_s:
        clock.advance(STEP_S)
        fleet.advance()
        while waiting and waiting[0].at_s <= clock.now():
            cluster.apply_entry(JobEntry(waiting.pop(0).job), {})
        _keep_responsive(cluster.servers, clock.now())
        if clock.now() - reported_s >= REPORT_INTERVAL_S:
            reported_s = clock.now()
            fleet.report_progress()
        if not cluster.changed.is_set() and clock.now() - planned_s < PLAN_INTERVAL_S:
            continue
        cluster.changed.clear()
        planned_s = clock.now()
        began_s = time.perf_counter()
        planner.plan()
        rounds_s.append(time.perf_counter() - began_s)
    return rounds_s


def _keep_responsive(servers: dict[str, ServerView], now_s: float) -> None:
    """Renew the lease of every server; the model has no unresponsive ones."""
    for view in servers.values():
        view.lease_end_s = now_s + PLAN_INTERVAL_S + STEP_S


def _make_config(experiment: Experiment):
    """Return a source of the configuration with the guarantees of all workspaces."""
    accelerators = experiment.fleet.servers * experiment.fleet.accelerators
    each = int(experiment.guaranteed_share * accelerators / experiment.workspaces)
    names = [f"w{n}" for n in range(experiment.workspaces)]
    cfg = Configuration(
        1,
        queues=(),
        workspaces={
            name: Workspace(name, frozenset({name}), guaranteed_accelerators=each) for name in names
        },
    )
    return lambda: cfg


def _ended(cluster: ClusterState, arrivals: list[Arrival]) -> dict[str, float]:
    """Return when each completed job ended."""
    views = ((a.job.id, cluster.jobs[a.job.id]) for a in arrivals if a.job.id in cluster.jobs)
    return {job_id: view.ended_s for job_id, view in views if view.phase is JobPhase.COMPLETED}
