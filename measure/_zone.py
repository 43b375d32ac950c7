"""Simulate one zone: the real planner, seeded arrivals and a simulated clock."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from catkinknot.model import Configuration, JobId, JobRequest, Kind
from catkinknot.model.exceptions import RefusedError
from catkinknot.placement import FirstFitFleet
from catkinknot.scheduler import (
    Decision,
    DropJob,
    Job,
    JobState,
    Planner,
    StartJob,
    StopJob,
    zone_servers,
)

__all__ = ["Arrival", "FirstComePlanner", "JobRecord", "ZoneRun", "run_zone"]

START_DURATION_S = 0.03
STOP_DURATION_S = 0.05
CHECKPOINT_DURATION_S = 2.0
_TICK_PERIOD_S = 0.25


@dataclass(frozen=True)
class Arrival:
    """Arrival of a job.

    Attributes:
        at_s: When the job arrives, in simulated seconds.
        request: The request for the job.
        run_s: The actual run time in seconds.
    """

    at_s: float
    request: JobRequest
    run_s: float


@dataclass
class JobRecord:
    """Record of one simulated job.

    Attributes:
        arrival: The arrival of the job.
        started_s: When the job first started, None for never.
        ended_s: When the job ended, None if it was refused or is unfinished.
        refused: The name of the result code of its refusal, empty for none.
        stop_count: How often the job was preempted.
    """

    arrival: Arrival
    started_s: float | None = None
    ended_s: float | None = None
    refused: str = ""
    stop_count: int = 0

    @property
    def wait_s(self) -> float | None:
        """Seconds from the arrival to the first start, None for never started."""
        return None if self.started_s is None else self.started_s - self.arrival.at_s

    @property
    def took_s(self) -> float | None:
        """Seconds from the arrival to the end, None for not ended."""
        return None if self.ended_s is None else self.ended_s - self.arrival.at_s


@dataclass
class ZoneRun:
    """Result of one simulation.

    Attributes:
        jobs: The record of every job.
        fragmented_accelerator_s: Accelerator-seconds that were free while a job waited
            that needed no more accelerators than these.
        total_accelerator_s: All accelerator-seconds.
        lost_accelerator_s: Accelerator-seconds of work that was lost by stops without a
            checkpoint.
    """

    jobs: dict[JobId, JobRecord] = field(default_factory=dict)
    fragmented_accelerator_s: float = 0.0
    total_accelerator_s: float = 0.0
    lost_accelerator_s: float = 0.0

    def select(self, condition: Callable[[JobRecord], bool]) -> list[JobRecord]:
        """Return the records that meet a condition."""
        return [job for job in self.jobs.values() if condition(job)]


class FirstComePlanner(Planner):
    """Baseline planner: start jobs that fit in order of arrival, first fit, no preemption."""

    def __init__(self, cfg: Configuration, zone: str) -> None:
        """Create a planner without jobs.

        Args:
            cfg: The configuration.
            zone: The availability zone.
        """
        super().__init__(cfg, zone, fleet=FirstFitFleet(zone_servers(cfg, zone)), preemptive=False)
        self._arrival_queue: dict[JobId, Job] = {}

    def submit(self, job: Job, now: float, *, already_accepted: bool = False) -> None:
        """Append a job to the queue, without limits on queues and callers."""
        self._jobs[job.job_id] = job
        self._jobs_by_name[str(job.job_id)] = job
        self._limiter.admit(job.workspace, job.caller, 0, max_jobs=10**9, max_accelerators=10**9)
        self._arrival_queue[job.job_id] = job

    def plan(self, now: float) -> list[Decision]:
        """Start all jobs that fit, in order of arrival."""
        decisions: list[Decision] = []
        unplaceable: set[int] = set()
        for job in list(self._arrival_queue.values()):
            if job.accelerators in unplaceable:
                continue
            plan = self.fleet.find_free(
                job.accelerators, preemptible=True, across_racks=job.kind.across_racks
            )
            if plan is None:
                unplaceable.add(job.accelerators)
                continue
            del self._arrival_queue[job.job_id]
            decisions.append(self._start(job, plan, now))
        return decisions

    @property
    def waiting(self) -> int:
        """The number of jobs that wait."""
        return len(self._arrival_queue)


class _Simulator:
    """Discrete event simulation of one zone that executes the decisions of a planner."""

    def __init__(self, planner: Planner, cfg: Configuration) -> None:
        """Create a simulator at time 0.

        Args:
            planner: The planner that decides.
            cfg: The configuration.
        """
        self._planner = planner
        self._cfg = cfg
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_numbers = itertools.count()
        self._remaining_s: dict[JobId, float] = {}
        self._started_s: dict[JobId, float] = {}
        self._pending_accelerators: dict[JobId, int] = {}
        self.run = ZoneRun()

    def simulate(self, arrivals: list[Arrival], until_s: float) -> ZoneRun:
        """Simulate until a time and return the result."""
        for arrival in arrivals:
            self._schedule(arrival.at_s, lambda now, a=arrival: self._arrive(a, now))
        now = 0.0
        while self._events and now < until_s:
            event_s, _, action = heapq.heappop(self._events)
            self._account(now, min(event_s, until_s))
            now = event_s
            action(now)
            for decision in self._planner.plan(now):
                self._execute(decision, now)
            if self._planner.waiting:
                self._tick(now)
        return self.run

    def _tick(self, now: float) -> None:
        """Schedule another call of the planner while jobs wait."""
        if not self._events or self._events[0][0] > now + _TICK_PERIOD_S:
            self._schedule(now + _TICK_PERIOD_S, lambda _: None)

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _arrive(self, arrival: Arrival, now: float) -> None:
        """Submit a job that arrives."""
        request = arrival.request
        kind: Kind = self._cfg.kind(request.kind)
        self.run.jobs[request.job_id] = JobRecord(arrival)
        self._remaining_s[request.job_id] = arrival.run_s
        try:
            self._planner.submit(Job(request, kind, now), now)
            self._pending_accelerators[request.job_id] = request.accelerators
        except RefusedError as exc:
            self.run.jobs[request.job_id].refused = exc.code.name

    def _execute(self, decision: Decision, now: float) -> None:
        """Execute a decision of the planner."""
        match decision:
            case StartJob(job=job, attempt=attempt):
                record = self.run.jobs[job.job_id]
                begins_s = now + START_DURATION_S
                record.started_s = begins_s if record.started_s is None else record.started_s
                self._started_s[job.job_id] = begins_s
                self._pending_accelerators.pop(job.job_id, None)
                self._schedule(
                    begins_s + self._remaining_s[job.job_id],
                    lambda t, j=job.job_id, a=attempt: self._end_attempt(j, a, t),
                )
            case StopJob(job_id=job_id, attempt=attempt, checkpoint=checkpoint):
                stop_duration_s = CHECKPOINT_DURATION_S if checkpoint else STOP_DURATION_S
                self._schedule(
                    now + stop_duration_s,
                    lambda t, j=job_id, a=attempt, c=checkpoint: self._end_stop(j, a, c, t),
                )
            case DropJob(job=job, code=code):
                self.run.jobs[job.job_id].refused = code.name
                self._pending_accelerators.pop(job.job_id, None)

    def _end_attempt(self, job_id: JobId, attempt: int, now: float) -> None:
        """End an attempt, unless it has been stopped."""
        if self._planner.ended(job_id, attempt, now) is not None:
            self.run.jobs[job_id].ended_s = now

    def _end_stop(self, job_id: JobId, attempt: int, checkpoint: bool, now: float) -> None:
        """Complete the stop of an attempt, unless it has ended."""
        job = self._planner.job(job_id)
        if job is None or job.attempt != attempt or job.state is not JobState.STOPPING:
            return
        ran_s = max(now - self._started_s[job_id], 0.0)
        if checkpoint:
            self._remaining_s[job_id] = max(self._remaining_s[job_id] - ran_s, 0.01)
        else:
            self.run.lost_accelerator_s += ran_s * job.accelerators
        self.run.jobs[job_id].stop_count += 1
        self._pending_accelerators[job_id] = job.accelerators
        self._planner.stopped(job_id, attempt, now, progress_s=job.progress_s + ran_s)

    def _account(self, since_s: float, until_s: float) -> None:
        """Add the total and the fragmented accelerator-seconds of an interval."""
        duration_s = until_s - since_s
        if duration_s <= 0:
            return
        fleet = self._planner.fleet
        self.run.total_accelerator_s += duration_s * fleet.accelerators
        free = fleet.free_accelerators
        if self._pending_accelerators and free >= min(self._pending_accelerators.values()):
            fits = max((n for n in self._pending_accelerators.values() if n <= free), default=0)
            self.run.fragmented_accelerator_s += duration_s * (free if fits else 0)


def run_zone(
    cfg: Configuration,
    zone: str,
    arrivals: list[Arrival],
    until_s: float,
    *,
    planner: Planner | None = None,
) -> ZoneRun:
    """Simulate one zone.

    Args:
        cfg: The configuration.
        zone: The availability zone.
        arrivals: The jobs, in any order.
        until_s: When to stop, in simulated seconds.
        planner: The planner that decides; the real one by default.

    Returns:
        The result of the simulation.
    """
    return _Simulator(planner or Planner(cfg, zone), cfg).simulate(arrivals, until_s)
