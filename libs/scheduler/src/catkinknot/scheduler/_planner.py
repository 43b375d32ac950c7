"""Plan which jobs of one availability zone start, stop or are dropped."""

import heapq
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from catkinknot.admission import Backoff, CallerLimiter, JobQueue, RunTimeEstimator
from catkinknot.model import Configuration, JobId, ResultCode
from catkinknot.model.exceptions import RefusedError
from catkinknot.placement import Fleet, Placement, Plan

from ._accounting import UsageAccounting
from ._capacity import ZoneCapacity, guaranteed_shapes, zone_servers
from ._decisions import Decision, DropJob, StartJob, StopJob
from ._job import Job, JobState
from ._reserve import Reservation, choose_servers

__all__ = ["Planner"]

_ACCRUAL_INTERVAL_S = 5.0
"""Interval at which the usage of running jobs is charged."""

_RESERVE_AFTER_S = 5.0
"""Waiting time after which servers are reserved for a job that does not fit."""

_MAX_RESERVATIONS = 2
_SCAN_LIMIT_JOBS = 2000
"""Most waiting jobs that one pass tries to place as borrowers."""

_URGENT_LEVEL = 7
"""Urgency from which a job may preempt much less urgent jobs."""

_URGENCY_GAP = 3
"""Difference in urgency from which a victim counts as much less urgent."""

_FAIR_PREEMPTION_AFTER_S = 30.0
"""Waiting time after which a borrower may preempt workspaces above their fair share."""

_SKIP_CHECKPOINT_BELOW_S = 10.0
"""Run time below which a victim of an urgent job may be stopped without a checkpoint."""

_CHECKPOINT_LOSS_S = 1.0
"""Work lost by writing a checkpoint and restarting from it."""

_MAX_FAILED_SERVERS = 3
"""Servers on which a job may fail before it is dropped.

A job that failed on all usable servers is dropped even if they are fewer. A
job whose attempts are more than twice this number is dropped with the next
failure, on whichever server.
"""

_FIRST_RETRY_PAUSE_S = 0.5
_MAX_RETRY_PAUSE_S = 8.0


@dataclass(frozen=True)
class _Requirements:
    """Placement requirements; jobs with the same ones fit or fail alike in a pass.

    Attributes:
        accelerators: The number of accelerators in the gang.
        preemptible: Whether the job may be preempted.
        across_racks: Whether the gang may span adjacent racks.
    """

    accelerators: int
    preemptible: bool
    across_racks: bool


class Planner:
    """Scheduler of the unfinished jobs and the servers of one zone.

    The planner is not thread-safe; its owner must hold a lock. Every call is
    given the current time, so that tests can control the clock.
    """

    def __init__(
        self, cfg: Configuration, zone: str, *, fleet: Fleet | None = None, preemptive: bool = True
    ) -> None:
        """Create a planner without any jobs.

        Args:
            cfg: The configuration in force.
            zone: The availability zone to schedule.
            fleet: The zone's servers, by default those of the configuration.
            preemptive: Whether to reserve servers for large gangs and preempt
                other jobs; without it the planner serves as a baseline.
        """
        self._zone = zone
        self._preemptive = preemptive
        self.fleet = fleet or Fleet(zone_servers(cfg, zone))
        self.estimator = RunTimeEstimator()
        self.accounting = UsageAccounting()
        self._queue = JobQueue()
        self._limiter = CallerLimiter()
        self._backoff = Backoff(
            first_s=_FIRST_RETRY_PAUSE_S, longest_s=_MAX_RETRY_PAUSE_S, rng=random.Random(zone)
        )
        self._jobs: dict[JobId, Job] = {}
        self._jobs_by_name: dict[str, Job] = {}
        self._held: dict[JobId, Job] = {}
        self._stopping: dict[str, Job] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._reservations: list[Reservation] = []
        self._last_accrual_s = 0.0
        self.configure(cfg)

    def configure(self, cfg: Configuration) -> None:
        """Apply another configuration.

        Args:
            cfg: The configuration.
        """
        self._cfg = cfg
        self._capacity = ZoneCapacity(cfg)
        self.fleet.set_shapes(guaranteed_shapes(cfg, self._zone))
        self.accounting.configure(cfg, self._zone)
        self._recheck_waiting = True

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._cfg

    @property
    def waiting(self) -> int:
        """Number of waiting jobs."""
        return len(self._queue)

    @property
    def unfinished(self) -> int:
        """Number of unfinished jobs in any state."""
        return len(self._jobs)

    def job(self, job_id: JobId) -> Job | None:
        """Return an unfinished job, or None when it is not known."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterable[Job]:
        """Return all unfinished jobs."""
        return self._jobs.values()

    def lanes(self) -> list[tuple[str, str, int, float]]:
        """Return workspace, kind, waiting jobs and oldest arrival time of each lane."""
        return self._queue.lanes()

    def submit(self, job: Job, now: float, *, already_accepted: bool = False) -> None:
        """Queue a job.

        Args:
            job: The job, not known to this planner yet.
            now: The current time in seconds.
            already_accepted: Whether the job was acknowledged before, so that
                queue, deadline and caller limits no longer apply.

        Raises:
            RefusedError: The job was not queued and will not run.
        """
        self._check_fits(job)
        if not already_accepted:
            self._check_queue_limit(job)
            self._check_deadline(job)
        limits = self._caller_limits(job)
        if already_accepted:
            limits = (10**9, 10**9)
        jobs, accelerators = limits
        if not self._limiter.admit(
            job.workspace,
            job.caller,
            job.accelerators,
            max_jobs=jobs,
            max_accelerators=accelerators,
        ):
            raise RefusedError(
                f"caller {job.caller} has reached its limit of unfinished jobs or accelerators",
                code=ResultCode.CALLER_LIMIT,
            )
        self._jobs[job.job_id] = job
        self._jobs_by_name[str(job.job_id)] = job
        self._queue.add(job)
        if not job.kind.durable and not job.may_have_run:
            heapq.heappush(self._deadlines, (job.deadline_s, str(job.job_id)))

    def adopt(self, job: Job, placement: Placement, now: float) -> None:
        """Add a running job that another holder of the zone has started.

        Args:
            job: The job, with the number of the running attempt.
            placement: The accelerators that it runs on.
            now: The current time in seconds.
        """
        if job.job_id in self._jobs:
            self._remove(job.job_id)
        self._jobs[job.job_id] = job
        self._jobs_by_name[str(job.job_id)] = job
        limit = 10**9
        self._limiter.admit(
            job.workspace, job.caller, job.accelerators, max_jobs=limit, max_accelerators=limit
        )
        job.state = JobState.RUNNING
        job.may_have_run = True
        job.started_s = now
        self.fleet.allocate(
            str(job.job_id), job.workspace, Plan(placement), preemptible=_preemptible(job)
        )
        self.accounting.start(job, now)

    def cancel(self, job_id: JobId, now: float) -> list[Decision]:
        """Cancel a job at its caller's request.

        Args:
            job_id: The job.
            now: The current time in seconds.

        Returns:
            A decision to drop the job when it waits or to stop it when it
            runs; none when it is already stopping or not known.
        """
        job = self._jobs.get(job_id)
        if job is None:
            return []
        job.cancelled = True
        if job.state in (JobState.WAITING, JobState.HELD):
            self._remove(job_id)
            code = ResultCode.STOPPED if job.may_have_run else ResultCode.CANCELLED
            return [DropJob(job, code, "cancelled while it waited")]
        if job.state is JobState.STOPPING:
            return []
        return [self._stop(job, now, checkpoint=False, reason="cancelled")]

    def plan(self, now: float) -> list[Decision]:
        """Run one scheduling pass.

        Args:
            now: The current time in seconds.

        Returns:
            The decisions, in the order in which they must be carried out.
        """
        decisions: list[Decision] = []
        self._accrue(now)
        self._drop_expired(now, decisions)
        self._drop_unplaceable(now, decisions)
        self._resolve_holds(now, decisions)
        self._plan_guaranteed(now, decisions)
        self._plan_borrowers(now, decisions)
        return decisions

    def ended(self, job_id: JobId, attempt: int, now: float) -> Job | None:
        """Record that an attempt ended with a result.

        Args:
            job_id: The job.
            attempt: The number of the attempt.
            now: The current time in seconds.

        Returns:
            The finished job, or None when the attempt is not the current one.
        """
        job = self._current(job_id, attempt)
        if job is None:
            return None
        self._record_run(job, now)
        self._remove(job_id, now)
        return job

    def failed(self, job_id: JobId, attempt: int, server: str, now: float) -> DropJob | None:
        """Record that an attempt failed without being stopped.

        Args:
            job_id: The job.
            attempt: The number of the attempt.
            server: The server on which the attempt failed.
            now: The current time in seconds.

        Returns:
            A decision to drop the job, or None when the job will be retried or
            the attempt is not the current one.
        """
        job = self._current(job_id, attempt)
        if job is None:
            return None
        job.failed_on.add(server)
        if job.cancelled:
            return self._drop(job, ResultCode.STOPPED, "cancelled while it ran", now)
        if not job.kind.idempotent:
            return self._drop(job, ResultCode.JOB_FAILED, f"failed on {server}", now)
        max_failed_servers = min(_MAX_FAILED_SERVERS, self.fleet.usable_servers)
        if len(job.failed_on) >= max_failed_servers or job.attempt > 2 * _MAX_FAILED_SERVERS:
            reason = f"failed on {len(job.failed_on)} servers"
            return self._drop(job, ResultCode.JOB_CANNOT_RUN, reason, now)
        self._requeue(job, now, pause_s=self._backoff.pause_s(len(job.failed_on)))
        return None

    def not_started(self, job_id: JobId, attempt: int, now: float, *, pause_s: float = 0.0) -> None:
        """Record that an attempt was not started, and queue the job again.

        Args:
            job_id: The job.
            attempt: The number of the attempt.
            now: The current time in seconds.
            pause_s: Shortest time until the next attempt.
        """
        job = self._current(job_id, attempt)
        if job is not None:
            self._requeue(job, now, pause_s=pause_s)

    def stopped(
        self, job_id: JobId, attempt: int, now: float, *, progress_s: float = 0.0
    ) -> DropJob | None:
        """Record that an attempt was stopped before its end.

        Args:
            job_id: The job.
            attempt: The number of the attempt.
            now: The current time in seconds.
            progress_s: Seconds of work saved in its checkpoint.

        Returns:
            A decision to drop the job when it was cancelled, otherwise None.
        """
        job = self._current(job_id, attempt)
        if job is None:
            return None
        if job.cancelled:
            return self._drop(job, ResultCode.STOPPED, "cancelled while it ran", now)
        job.stop_count += 1
        job.progress_s = max(job.progress_s, progress_s)
        self._requeue(job, now, front=True)
        return None

    def drop(self, job_id: JobId, now: float) -> Job | None:
        """Remove a job in any state, because it ended elsewhere.

        Args:
            job_id: The job.
            now: The current time in seconds.

        Returns:
            The job, or None when it is not known.
        """
        job = self._jobs.get(job_id)
        if job is not None:
            self._remove(job_id, now)
        return job

    def running_on(self, server: str) -> list[Job]:
        """Return the running and stopping jobs on a server."""
        return [
            job
            for job in self._jobs.values()
            if job.state in (JobState.RUNNING, JobState.STOPPING)
            and any(p.server == server for p in self.placement(job.job_id).slices)
        ]

    def placement(self, job_id: JobId) -> Placement:
        """Return the placement of a job, empty when the job does not run."""
        allocation = self.fleet.allocations.get(str(job_id))
        return allocation.placement if allocation else Placement(())

    def predicted_wait_s(self, job: Job) -> float:
        """Predict the waiting time of a job from measured run times.

        Args:
            job: A job that is not queued yet.

        Returns:
            Seconds; 0 when no job of its workspace is ahead of it.
        """
        backlog_accelerator_s = 0.0
        for name in self._queue.kinds(job.workspace):
            kind = self._cfg.kind(name)
            if kind is None or kind.urgency < job.kind.urgency:
                continue
            run_s = self.estimator.median_s(job.workspace, name, kind.expected_s)
            backlog_accelerator_s += self._queue.requested_accelerators(job.workspace, name) * run_s
        guaranteed = self.accounting.guaranteed(job.workspace)
        usable_accelerators = max(guaranteed, self.accounting.running(job.workspace), 1)
        return backlog_accelerator_s / usable_accelerators

    def _check_fits(self, job: Job) -> None:
        """Refuse a gang that not even the idle zone could place, unless it was started before."""
        if job.attempt or self._fits(job):
            return
        raise RefusedError(
            f"zone {self._zone} can never place a gang of {job.accelerators} accelerators "
            "without breaking its guarantees",
            code=ResultCode.GANG_TOO_LARGE,
        )

    def _fits(self, job: Job) -> bool:
        """Return whether the idle zone could place the job's gang."""
        return self._capacity.could_place(self._zone, job.workspace, job.accelerators, job.kind)

    def _check_queue_limit(self, job: Job) -> None:
        """Refuse a job when the queue of its workspace and kind is full."""
        if self._queue.waiting(job.workspace, job.kind.name) >= self._cfg.queue_limit:
            raise RefusedError(
                "too many jobs of this workspace and kind are waiting", code=ResultCode.QUEUE_FULL
            )

    def _check_deadline(self, job: Job) -> None:
        """Refuse a job that, by measured run times, would miss its deadline."""
        if not self.estimator.has_enough_samples(job.workspace, job.kind.name):
            return
        run_s = self.estimator.median_s(job.workspace, job.kind.name, job.kind.expected_s)
        wait_s = self.predicted_wait_s(job)
        if wait_s > 0 and wait_s + run_s > job.kind.deadline_s:
            raise RefusedError(
                f"the job would wait {wait_s:.0f} s and miss its deadline",
                code=ResultCode.DEADLINE_UNREACHABLE,
            )

    def _caller_limits(self, job: Job) -> tuple[int, int]:
        """Return the caller's limits on jobs and accelerators in this zone.

        Requests are spread evenly over the zones that back a workspace, so
        each zone enforces its part of the limits.
        """
        workspace = self._cfg.workspace(job.workspace)
        if workspace is None:
            raise RefusedError("unknown workspace", code=ResultCode.UNKNOWN_WORKSPACE)
        zones = len({shape.zone for shape in workspace.guarantee}) or len(self._cfg.zones)
        jobs = -(-workspace.limits.jobs // zones)
        accelerators = max(-(-workspace.limits.accelerators // zones), job.accelerators)
        return jobs, accelerators

    def _accrue(self, now: float) -> None:
        """Charge the usage of running jobs once per accrual interval."""
        if now - self._last_accrual_s < _ACCRUAL_INTERVAL_S:
            return
        self._last_accrual_s = now
        for job in self._jobs.values():
            if job.state in (JobState.RUNNING, JobState.STOPPING):
                self.accounting.charge(job, now)
        self.accounting.prune_idle(now)

    def _drop_expired(self, now: float, decisions: list[Decision]) -> None:
        """Drop waiting jobs that passed their deadline and were never started."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, name = heapq.heappop(self._deadlines)
            job = self._jobs_by_name.get(name)
            if job is None or job.may_have_run or job.job_id not in self._queue:
                continue
            reason = f"waited {now - job.arrived_s:.1f} s"
            decisions.append(self._drop(job, ResultCode.DEADLINE_PASSED, reason, now))

    def _drop_unplaceable(self, now: float, decisions: list[Decision]) -> None:
        """Drop never started jobs that cannot be placed under a new configuration."""
        if not self._recheck_waiting:
            return
        self._recheck_waiting = False
        for job in self._queue.jobs():
            if not job.attempt and not self._fits(job):
                reason = "the configuration in force has no placement for this job"
                decisions.append(self._drop(job, ResultCode.GANG_TOO_LARGE, reason, now))

    def _resolve_holds(self, now: float, decisions: list[Decision]) -> None:
        """Start held jobs whose placement is free, and requeue those that lost theirs."""
        for job in list(self._held.values()):
            name = str(job.job_id)
            if self.fleet.hold_broken(name):
                self.fleet.drop_hold(name)
                del self._held[job.job_id]
                job.state = JobState.WAITING
                self._queue.add(job, front=True)
            elif self.fleet.hold_ready(name):
                plan = self.fleet.held_plan(name)
                self.fleet.drop_hold(name)
                del self._held[job.job_id]
                decisions.append(self._start(job, plan, now))

    def _plan_guaranteed(self, now: float, decisions: list[Decision]) -> None:
        """Start jobs on their workspace's guarantee, preempting borrowers if needed."""
        for workspace in self._queue.workspaces():
            if self.accounting.guaranteed(workspace) == 0:
                continue
            planned = []
            unfit_sizes: set[int] = set()
            for job in self._in_turn(workspace, now, lambda job: job.accelerators in unfit_sizes):  # noqa: B023
                plan = None
                own_victims = self._own_victims(job)
                if own_victims or self.fleet.fits_guarantee(workspace, job.accelerators):
                    plan = self._guaranteed_plan(job, now, own_victims)
                if plan is None:
                    unfit_sizes.add(job.accelerators)
                    continue
                planned.append(job)
                self._start_or_hold(job, plan, now, decisions)
            for job in planned:
                self._queue.remove(job.job_id)

    def _own_victims(self, job: Job) -> frozenset[str]:
        """Return the much less urgent jobs on the guarantee that an urgent job may preempt."""
        if not self._preemptive or job.kind.urgency < _URGENT_LEVEL:
            return frozenset()
        return frozenset(
            name
            for name in self.fleet.guaranteed_jobs(job.workspace)
            if name not in self._stopping
            and name in self._jobs_by_name
            and self._jobs_by_name[name].kind.urgency + _URGENCY_GAP <= job.kind.urgency
        )

    def _guaranteed_plan(self, job: Job, now: float, own_victims: frozenset[str]) -> Plan | None:
        """Place a job on its guarantee, or on free accelerators to avoid a preemption."""
        plan = self.fleet.find_guaranteed(
            job.workspace,
            job.accelerators,
            cost=lambda name: self._cost(name, now),
            across_racks=job.kind.across_racks,
            protected=frozenset(self._stopping),
            avoid=self._reserved_servers(job) | frozenset(job.failed_on),
            own_victims=own_victims,
        )
        if plan is None or not plan.victims:
            return plan
        if _preemptible(job):
            free = self._free_plan(job, now)
            if free is not None:
                return free
        return plan if self._preemptive else None

    def _plan_borrowers(self, now: float, decisions: list[Decision]) -> None:
        """Start borrowers, the workspace with the least normalized usage first."""
        planned: list[Job] = []
        unplaceable: set[_Requirements] = set()
        self._plan_reserved(now, planned, decisions)

        def skip(job: Job) -> bool:
            """Return whether a job with these requirements did not fit in this pass."""
            return _requirements(job) in unplaceable

        candidates = {ws: self._in_turn(ws, now, skip) for ws in self._queue.workspaces()}
        scanned = 0
        while candidates and scanned < _SCAN_LIMIT_JOBS:
            workspace = min(
                candidates, key=lambda ws: (self.accounting.normalized_usage(ws, now), ws)
            )
            job = next(candidates[workspace], None)
            if job is None:
                del candidates[workspace]
                continue
            scanned += 1
            plan = self._free_plan(job, now) or self._borrower_plan(job, now)
            if plan is None:
                unplaceable.add(_requirements(job))
                self._reserve_for(job, now)
                continue
            planned.append(job)
            self._start_or_hold(job, plan, now, decisions)
        for job in planned:
            self._queue.remove(job.job_id)

    def _plan_reserved(self, now: float, planned: list[Job], decisions: list[Decision]) -> None:
        """Start the jobs that have a reservation and now fit."""
        for reservation in list(self._reservations):
            job = self._jobs.get(reservation.job_id)
            if job is None or job.state is not JobState.WAITING or job.not_before_s > now:
                continue
            plan = self._free_plan(job, now) or self._backfill_plan(job, reservation, now)
            if plan is not None:
                planned.append(job)
                self._start_or_hold(job, plan, now, decisions)

    def _in_turn(self, workspace: str, now: float, skip: Callable[[Job], bool]) -> Iterator[Job]:
        """Yield a workspace's jobs that may start now, in the order of the queue."""
        jobs = self._queue.in_turn(
            workspace,
            is_below_floor=lambda kind: (
                kind.floor_share > 0
                and self.accounting.below_floor(workspace, kind.name, kind.floor_share)
            ),
            caller_usage=lambda caller: self.accounting.caller_use(workspace, caller, now),
            skip=skip,
        )
        return (job for job in jobs if job.state is JobState.WAITING and job.not_before_s <= now)

    def _free_plan(self, job: Job, now: float) -> Plan | None:
        """Find a free placement outside the servers that this job must not use.

        Servers on which the job failed come last; it has paused since then.
        """
        forbidden = self._forbidden_servers(job)
        for avoid in dict.fromkeys((forbidden | job.failed_on, forbidden)):
            plan = self.fleet.find_free(
                job.accelerators,
                preemptible=_preemptible(job),
                across_racks=job.kind.across_racks,
                avoid=avoid,
            )
            if plan is not None:
                return plan
        return None

    def _backfill_plan(self, job: Job, reservation: Reservation, now: float) -> Plan | None:
        """Find a placement by preempting only jobs backfilled on the reserved servers."""
        return self._preempting_plan(
            job, now, lambda victim: str(victim.job_id) in reservation.backfilled
        )

    def _borrower_plan(self, job: Job, now: float) -> Plan | None:
        """Find a placement by preempting borrowers.

        The job must be urgent or have waited long, and its workspace must stay
        within its fair share.
        """
        if not self._preemptive:
            return None
        urgent = job.kind.urgency >= _URGENT_LEVEL
        if not urgent and now - job.arrived_s < _FAIR_PREEMPTION_AFTER_S:
            return None
        active = set(self._queue.workspaces()) | self.accounting.active()
        total = self.fleet.accelerators
        fair_shares = {
            name: self.accounting.fair_accelerators(name, total, active) for name in active
        }
        wanted = self.accounting.running(job.workspace) + job.accelerators
        if wanted > fair_shares.get(job.workspace, 0.0):
            return None

        def may_preempt(victim: Job) -> bool:
            """Return whether this job may preempt a borrower."""
            much_less_urgent = victim.kind.urgency + _URGENCY_GAP <= job.kind.urgency
            if urgent and much_less_urgent:
                return True
            above_fair_share = self.accounting.running(victim.workspace) > fair_shares.get(
                victim.workspace, 0.0
            )
            return above_fair_share and victim.kind.checkpointable

        return self._preempting_plan(job, now, may_preempt)

    def _preempting_plan(
        self, job: Job, now: float, may_preempt: Callable[[Job], bool]
    ) -> Plan | None:
        """Find the cheapest placement that preempts only permitted borrowers."""

        def allowed(name: str) -> bool:
            """Return whether this job may preempt an allocation."""
            victim = self._jobs_by_name.get(name)
            return victim is not None and name not in self._stopping and may_preempt(victim)

        return self.fleet.find_preempting(
            job.accelerators,
            cost=lambda name: self._cost(name, now),
            across_racks=job.kind.across_racks,
            preemptible=_preemptible(job),
            may_preempt=allowed,
        )

    def _start_or_hold(self, job: Job, plan: Plan, now: float, decisions: list[Decision]) -> None:
        """Start a job, or hold its placement until the victims have stopped."""
        self._record_backfill(job, plan)
        if not plan.victims:
            decisions.append(self._start(job, plan, now))
            return
        for name in plan.victims:
            victim = self._jobs_by_name[name]
            reason = f"preempted by {job.job_id}"
            checkpoint = self._should_checkpoint(victim, job, now)
            decisions.append(self._stop(victim, now, checkpoint=checkpoint, reason=reason))
        self.fleet.hold(str(job.job_id), plan)
        self._held[job.job_id] = job
        job.state = JobState.HELD

    def _should_checkpoint(self, victim: Job, job: Job, now: float) -> bool:
        """Return whether a victim writes a checkpoint before it stops.

        An urgent job does not wait for the checkpoint of an idempotent victim
        that has run only briefly.
        """
        if not victim.kind.checkpointable:
            return False
        recently_started = now - victim.started_s < _SKIP_CHECKPOINT_BELOW_S
        return not (
            job.kind.urgency >= _URGENT_LEVEL and victim.kind.idempotent and recently_started
        )

    def _start(self, job: Job, plan: Plan, now: float) -> StartJob:
        """Allocate the accelerators of a plan and begin an attempt."""
        self.fleet.allocate(str(job.job_id), job.workspace, plan, preemptible=_preemptible(job))
        self._reservations = [r for r in self._reservations if r.job_id != job.job_id]
        job.state = JobState.RUNNING
        job.attempt += 1
        job.started_s = now
        job.on_guarantee = plan.shape is not None
        self.accounting.start(job, now)
        return StartJob(job, job.attempt, plan.placement)

    def _stop(self, job: Job, now: float, *, checkpoint: bool, reason: str) -> StopJob:
        """Mark a running job as stopping and return the decision to stop it."""
        job.state = JobState.STOPPING
        self._stopping[str(job.job_id)] = job
        return StopJob(job.job_id, job.attempt, self.placement(job.job_id), checkpoint, reason)

    def _drop(self, job: Job, code: ResultCode, message: str, now: float) -> DropJob:
        """Remove a job and return the decision to drop it."""
        self._remove(job.job_id, now)
        return DropJob(job, code, message)

    def _requeue(self, job: Job, now: float, *, pause_s: float = 0.0, front: bool = False) -> None:
        """Free a job's accelerators and queue it for another attempt."""
        self.fleet.release(str(job.job_id))
        self._stopping.pop(str(job.job_id), None)
        self.accounting.stop(job, now)
        job.state = JobState.WAITING
        job.not_before_s = now + pause_s
        self._queue.add(job, front=front)

    def _remove(self, job_id: JobId, now: float | None = None) -> None:
        """Remove a job from the queue, the fleet and all accounts."""
        job = self._jobs.pop(job_id)
        name = str(job_id)
        del self._jobs_by_name[name]
        if job.state in (JobState.RUNNING, JobState.STOPPING):
            self.accounting.stop(job, job.started_s if now is None else now)
        self._queue.remove(job_id)
        self._held.pop(job_id, None)
        self._stopping.pop(name, None)
        self.fleet.drop_hold(name)
        self.fleet.release(name)
        self._limiter.finish(job.workspace, job.caller, job.accelerators)
        self._reservations = [r for r in self._reservations if r.job_id != job_id]

    def _current(self, job_id: JobId, attempt: int) -> Job | None:
        """Return a running or stopping job if the attempt is its current one, else None."""
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return None
        return job if job.state in (JobState.RUNNING, JobState.STOPPING) else None

    def _record_run(self, job: Job, now: float) -> None:
        """Record the run time of a finished job for later estimates."""
        run_s = now - job.started_s + job.progress_s
        self.estimator.record(job.workspace, job.kind.name, run_s)

    def _cost(self, name: str, now: float) -> float:
        """Return the accelerator-seconds lost by preempting an allocation.

        The cost grows with earlier preemptions, so that the same job is not
        preempted again and again.
        """
        job = self._jobs_by_name.get(name)
        if job is None:
            return 0.0
        lost_s = _CHECKPOINT_LOSS_S if job.kind.checkpointable else now - job.started_s
        return (lost_s + _CHECKPOINT_LOSS_S) * job.accelerators * (1 + job.stop_count)

    def _remaining_s(self, name: str, now: float) -> float:
        """Estimate the remaining run time of an allocation from measured run times."""
        job = self._jobs_by_name.get(name)
        if job is None:
            return 0.0
        elapsed_s = now - job.started_s
        median_s = self.estimator.median_s(job.workspace, job.kind.name, job.kind.expected_s)
        left_s = median_s - job.progress_s - elapsed_s
        # A job past its estimate is assumed to run half as long again as it has so far.
        return left_s if left_s > 0 else elapsed_s / 2

    def _has_reservation(self, job: Job) -> bool:
        """Return whether servers are reserved for a job."""
        return any(r.job_id == job.job_id for r in self._reservations)

    def _forbidden_servers(self, job: Job) -> frozenset[str]:
        """Return the servers that a job must not borrow.

        A preemptible job may backfill servers reserved for other jobs: they
        would be idle otherwise, whatever the job loses when it is preempted.
        """
        return frozenset() if _preemptible(job) else self._reserved_servers(job)

    def _reserved_servers(self, job: Job) -> frozenset[str]:
        """Return the servers reserved for other jobs, which a guaranteed job avoids if it can."""
        return frozenset().union(*(r.servers for r in self._reservations if r.job_id != job.job_id))

    def _reserve_for(self, job: Job, now: float) -> None:
        """Reserve servers for a job that has waited long and does not fit."""
        if not self._preemptive or now - job.arrived_s < _RESERVE_AFTER_S:
            return
        if len(self._reservations) >= _MAX_RESERVATIONS or self._has_reservation(job):
            return
        reserved = frozenset().union(*(r.servers for r in self._reservations))
        for avoid in dict.fromkeys((reserved | job.failed_on, reserved)):
            chosen = choose_servers(
                self.fleet,
                job.accelerators,
                across_racks=job.kind.across_racks,
                remaining=lambda name: self._remaining_s(name, now),
                avoid=avoid,
            )
            if chosen is not None:
                servers, wait_s = chosen
                self._reservations.append(Reservation(job.job_id, servers, now + wait_s))
                return

    def _record_backfill(self, job: Job, plan: Plan) -> None:
        """Record a borrower that was placed on servers reserved for other jobs."""
        if plan.shape is not None:
            return
        used_servers = {part.server for part in plan.placement.slices}
        for reservation in self._reservations:
            if reservation.job_id != job.job_id and used_servers & reservation.servers:
                reservation.backfilled.add(str(job.job_id))


def _requirements(job: Job) -> _Requirements:
    """Return the placement requirements of a job."""
    return _Requirements(job.accelerators, _preemptible(job), job.kind.across_racks)


def _preemptible(job: Job) -> bool:
    """Return whether a job may be preempted."""
    return job.kind.preemptible
