"""Modelled backend servers: runs start, progress, fail, stop and end on a stepped clock."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from catkinknot.coordination import ClusterState, Listing, RunView, ServerView
from catkinknot.jobs import Resources, RunOutcome
from catkinknot.model import Clock

from ._arrivals import SERVICE, Arrival
from ._experiment import Fleet

__all__ = ["ModelFleet"]

ACCELERATOR_CORES = 8
_FOREVER_S = 1e9


@dataclass(slots=True)
class _Execution:
    """Run on a server, or a gang's run on its servers."""

    arrival: Arrival
    members: list[tuple[ServerView, RunView]]
    began_s: float
    factor: float
    resumed_s: float
    stopping: bool = False
    over: bool = False

    def progress_s(self, now_s: float) -> float:
        """Return the work that has been done, in seconds of a task's run time."""
        return self.resumed_s + max(0.0, now_s - self.began_s) / self.factor


@dataclass
class ModelFleet:
    """Servers of a modelled day.

    Attributes:
        wasted_core_s: Work that was stopped or failed and not saved, in core-seconds.
        stopped: Runs that were stopped.
        started: Runs that were started.
        first_start_s: When the first run of each job started.
    """

    fleet: Fleet
    clock: Clock
    rng: random.Random
    arrivals: dict[str, Arrival]
    wasted_core_s: float = 0.0
    stopped: int = 0
    started: int = 0
    first_start_s: dict[str, float] = field(default_factory=dict)
    _events: list = field(default_factory=list)
    _order: itertools.count = field(default_factory=itertools.count)
    _executions: dict[tuple[str, int], _Execution] = field(default_factory=dict)

    def listings(self) -> list[Listing]:
        """Return the listing of every server."""
        fleet = self.fleet
        capacity = Resources(fleet.cores * 1000, fleet.memory_mb, fleet.accelerators)
        return [
            Listing(
                lifetime=f"s{n:04}@1",
                id=f"s{n:04}",
                started_at_ms=1,
                address=f"s{n:04}:1",
                service=SERVICE,
                zone="a",
                rack=f"r{n // fleet.per_rack:03}",
                labels=frozenset(),
                capacity=capacity,
                draining=False,
                clock_ms=1,
            )
            for n in range(fleet.servers)
        ]

    def start(self, cluster: ClusterState, runs: list[tuple[ServerView, RunView]]) -> None:
        """Start runs that were placed together, after the delay of a start."""
        self.started += len(runs)
        gang = cluster.jobs[runs[0][1].key.job].job.steps[0].gang
        for members in [runs] if gang else [[run] for run in runs]:
            self._begin(cluster, members)

    def stop(self, cluster: ClusterState, view: ServerView, run: RunView) -> None:
        """Stop a run, with its gang, after the time that a stop takes."""
        execution = self._executions.get((run.task, run.run))
        if execution is None or execution.stopping:
            return
        execution.stopping = True
        self._at(self.fleet.stop_s, lambda: self._end(cluster, execution, RunOutcome.STOPPED))

    def advance(self) -> None:
        """Carry out everything that is due."""
        now_s = self.clock.now()
        while self._events and self._events[0][0] <= now_s:
            _, _, action = heapq.heappop(self._events)
            action()

    def report_progress(self) -> None:
        """Let every run report its progress, as servers do with each renewal."""
        now_s = self.clock.now()
        for execution in self._executions.values():
            percent = int(100 * execution.progress_s(now_s) / execution.arrival.run_s)
            for _, run in execution.members:
                run.percent, run.last_progress_s = percent, now_s

    def _begin(self, cluster: ClusterState, members: list[tuple[ServerView, RunView]]) -> None:
        """Begin the execution of a run or of a gang's run."""
        _, first = members[0]
        arrival = self.arrivals[first.key.job]
        now_s = self.clock.now()
        self.first_start_s.setdefault(first.key.job, now_s + self.fleet.start_delay_s)
        step = arrival.job.steps[0]
        racks = {view.room.rack for view, _ in members}
        factor = self.fleet.remote_factor if step.one_rack and len(racks) > 1 else 1.0
        state = cluster.jobs[first.key.job].steps[first.key]
        saved = state.tasks[first.index].checkpoint
        resumed_s = float(saved) if saved else 0.0
        delay_s = self.fleet.start_delay_s + (self.fleet.restore_s if saved else 0.0)
        execution = _Execution(arrival, members, now_s + delay_s, factor, resumed_s)
        for _, run in members:
            run.confirmed, run.start_resolved_s = True, now_s
            self._executions[run.task, run.run] = execution
        left_s = (arrival.run_s - resumed_s) * factor
        fails = self.rng.random() < arrival.kind.fails
        outcome = RunOutcome.FAILED if fails else RunOutcome.DONE
        self._at(
            delay_s + (left_s / 2 if fails else left_s),
            lambda: self._end(cluster, execution, outcome),
        )
        if step.checkpoints:
            self._save_later(execution, delay_s)

    def _save_later(self, execution: _Execution, delay_s: float) -> None:
        """Show a new checkpoint of a run after each interval of work."""

        def save() -> None:
            if execution.over:
                return
            for _, run in execution.members:
                run.checkpoint = f"{execution.progress_s(self.clock.now()):.3f}"
            self._save_later(execution, 0.0)

        self._at(delay_s + self.fleet.checkpoint_s * execution.factor, save)

    def _end(self, cluster: ClusterState, execution: _Execution, how: RunOutcome) -> None:
        """End a run or a gang's run, unless it has ended before."""
        if execution.over:
            return
        execution.over = True
        step = execution.arrival.job.steps[0]
        checkpoint = ""
        if step.checkpoints and how is RunOutcome.STOPPED:
            checkpoint = f"{execution.progress_s(self.clock.now()):.3f}"
        if how is not RunOutcome.DONE and not checkpoint:
            self._count_waste(execution)
        if how is RunOutcome.STOPPED:
            self.stopped += len(execution.members)
        for view, run in execution.members:
            self._executions.pop((run.task, run.run), None)
            if view.runs.get(run.task) is run:
                cluster.end_run(view, run, how, checkpoint)
        cluster.changed.set()

    def _count_waste(self, execution: _Execution) -> None:
        """Count the work of an execution that was not saved."""
        step = execution.arrival.job.steps[0]
        cores = step.need.cpu_milli / 1000 + ACCELERATOR_CORES * step.need.accelerators
        ran_s = max(0.0, self.clock.now() - execution.began_s)
        self.wasted_core_s += cores * ran_s * len(execution.members)

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        due_s = self.clock.now() + min(delay_s, _FOREVER_S)
        heapq.heappush(self._events, (due_s, next(self._order), action))
