"""Drive the real planner of one zone over seeded arrivals with a stepped clock."""

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

__all__ = ["Arrival", "Ended", "FirstComePlanner", "ZoneRun", "run_zone"]

START_S = 0.03
STOP_S = 0.05
CHECKPOINT_S = 2.0
_TICK_S = 0.25


@dataclass(frozen=True)
class Arrival:
    """Describe a job that arrives.

    Attributes:
        at_s: When.
        request: What is asked for.
        run_s: How long it really runs.
    """

    at_s: float
    request: JobRequest
    run_s: float


@dataclass
class Ended:
    """Hold what became of a job.

    Attributes:
        arrival: The job.
        started_s: When it first started, None for never.
        ended_s: When it ended, None for refused or unfinished.
        refused: The name of its refusal, empty for none.
        stops: How often it was stopped for others.
    """

    arrival: Arrival
    started_s: float | None = None
    ended_s: float | None = None
    refused: str = ""
    stops: int = 0

    @property
    def wait_s(self) -> float | None:
        """Seconds from arrival to first start."""
        return None if self.started_s is None else self.started_s - self.arrival.at_s

    @property
    def took_s(self) -> float | None:
        """Seconds from arrival to end."""
        return None if self.ended_s is None else self.ended_s - self.arrival.at_s


@dataclass
class ZoneRun:
    """Hold what happened in one run.

    Attributes:
        jobs: What became of every job.
        fragmented_s: Accelerator-seconds that stood free while a job waited
            that they were enough for.
        total_s: All accelerator-seconds.
        lost_s: Accelerator-seconds of work that stops threw away.
    """

    jobs: dict[JobId, Ended] = field(default_factory=dict)
    fragmented_s: float = 0.0
    total_s: float = 0.0
    lost_s: float = 0.0

    def of(self, test: Callable[[Ended], bool]) -> list[Ended]:
        """Return the jobs that pass a test."""
        return [job for job in self.jobs.values() if test(job)]


class FirstComePlanner(Planner):
    """Start whatever fits first, in the order of arrival, and stop nothing."""

    def __init__(self, cfg: Configuration, zone: str) -> None:
        """Start with nothing running."""
        super().__init__(cfg, zone, fleet=FirstFitFleet(zone_servers(cfg, zone)), preemptive=False)
        self._line: dict[JobId, Job] = {}

    def submit(self, job: Job, now: float, *, already_accepted: bool = False) -> None:
        """Let a job wait at the end of the line."""
        self._jobs[job.job_id] = job
        self._named[str(job.job_id)] = job
        self._limiter.admit(job.workspace, job.caller, 0, jobs=10**9, limit=10**9)
        self._line[job.job_id] = job

    def plan(self, now: float) -> list[Decision]:
        """Start all jobs that fit, first come first served."""
        out: list[Decision] = []
        tight: set[int] = set()
        for job in list(self._line.values()):
            if job.accelerators in tight:
                continue
            plan = self.fleet.find_free(
                job.accelerators, preemptible=True, across_racks=job.kind.across_racks
            )
            if plan is None:
                tight.add(job.accelerators)
                continue
            del self._line[job.job_id]
            out.append(self._start(job, plan, now))
        return out

    @property
    def waiting(self) -> int:
        """How many jobs wait."""
        return len(self._line)


class _Driver:
    """Carry out decisions in stepped time."""

    def __init__(self, planner: Planner, cfg: Configuration) -> None:
        """Start at time 0."""
        self._planner = planner
        self._cfg = cfg
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._left_s: dict[JobId, float] = {}
        self._began_s: dict[JobId, float] = {}
        self._wanted: dict[JobId, int] = {}
        self.run = ZoneRun()

    def go(self, arrivals: list[Arrival], until_s: float) -> ZoneRun:
        """Run until a time."""
        for arrival in arrivals:
            self._at(arrival.at_s, lambda now, a=arrival: self._arrive(a, now))
        now = 0.0
        while self._events and now < until_s:
            then, _, action = heapq.heappop(self._events)
            self._account(now, min(then, until_s))
            now = then
            action(now)
            for decision in self._planner.plan(now):
                self._carry_out(decision, now)
            if self._planner.waiting:
                self._tick(now)
        return self.run

    def _tick(self, now: float) -> None:
        """Make sure that the planner is asked again while jobs wait."""
        if not self._events or self._events[0][0] > now + _TICK_S:
            self._at(now + _TICK_S, lambda _: None)

    def _at(self, when: float, action: Callable[[float], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def _arrive(self, arrival: Arrival, now: float) -> None:
        """Submit a job."""
        request = arrival.request
        kind: Kind = self._cfg.kind(request.kind)
        self.run.jobs[request.job_id] = Ended(arrival)
        self._left_s[request.job_id] = arrival.run_s
        try:
            self._planner.submit(Job(request, kind, now), now)
            self._wanted[request.job_id] = request.accelerators
        except RefusedError as exc:
            self.run.jobs[request.job_id].refused = exc.code.name

    def _carry_out(self, decision: Decision, now: float) -> None:
        """Do what the planner decided."""
        match decision:
            case StartJob(job=job, attempt=attempt):
                ended = self.run.jobs[job.job_id]
                begins_s = now + START_S
                ended.started_s = begins_s if ended.started_s is None else ended.started_s
                self._began_s[job.job_id] = begins_s
                self._wanted.pop(job.job_id, None)
                self._at(
                    begins_s + self._left_s[job.job_id],
                    lambda t, j=job.job_id, a=attempt: self._end(j, a, t),
                )
            case StopJob(job_id=job_id, attempt=attempt, checkpoint=checkpoint):
                pause_s = CHECKPOINT_S if checkpoint else STOP_S
                self._at(
                    now + pause_s,
                    lambda t, j=job_id, a=attempt, c=checkpoint: self._stopped(j, a, c, t),
                )
            case DropJob(job=job, code=code):
                self.run.jobs[job.job_id].refused = code.name
                self._wanted.pop(job.job_id, None)

    def _end(self, job_id: JobId, attempt: int, now: float) -> None:
        """End an attempt, unless it was stopped before."""
        if self._planner.ended(job_id, attempt, now) is not None:
            self.run.jobs[job_id].ended_s = now

    def _stopped(self, job_id: JobId, attempt: int, checkpoint: bool, now: float) -> None:
        """Stop an attempt, unless it ended before."""
        job = self._planner.job(job_id)
        if job is None or job.attempt != attempt or job.state is not JobState.STOPPING:
            return
        ran_s = max(now - self._began_s[job_id], 0.0)
        if checkpoint:
            self._left_s[job_id] = max(self._left_s[job_id] - ran_s, 0.01)
        else:
            self.run.lost_s += ran_s * job.accelerators
        self.run.jobs[job_id].stops += 1
        self._wanted[job_id] = job.accelerators
        self._planner.stopped(job_id, attempt, now, progress_s=job.progress_s + ran_s)

    def _account(self, since: float, until: float) -> None:
        """Add up what stood free while a job waited that it was enough for."""
        span = until - since
        if span <= 0:
            return
        fleet = self._planner.fleet
        self.run.total_s += span * fleet.accelerators
        free = fleet.free_accelerators
        if self._wanted and free >= min(self._wanted.values()):
            fits = max((n for n in self._wanted.values() if n <= free), default=0)
            self.run.fragmented_s += span * (free if fits else 0)


def run_zone(
    cfg: Configuration,
    zone: str,
    arrivals: list[Arrival],
    until_s: float,
    *,
    planner: Planner | None = None,
) -> ZoneRun:
    """Run one zone.

    Args:
        cfg: The configuration.
        zone: The availability zone.
        arrivals: The jobs, in any order.
        until_s: When to stop.
        planner: Decides; the real planner by default.

    Returns:
        What happened.
    """
    return _Driver(planner or Planner(cfg, zone), cfg).go(arrivals, until_s)
