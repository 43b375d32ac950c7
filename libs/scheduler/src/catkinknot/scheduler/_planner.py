"""Decide which job of one zone starts, stops or is dropped next."""

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
"""Charge running jobs at least this often."""

_RESERVE_AFTER_S = 5.0
"""Keep room for a job that has waited this long and does not fit."""

_MAX_RESERVATIONS = 2
_SCAN_LIMIT_JOBS = 2000
"""Look at no more than this many waiting jobs in one pass."""

_URGENT_LEVEL = 7
"""From this urgency on, a borrower may stop much less urgent borrowers."""

_URGENCY_GAP = 3
_FAIR_PREEMPTION_AFTER_S = 30.0
"""A borrower that waited this long may stop those of greedier workspaces."""

_SKIP_CHECKPOINT_BELOW_S = 10.0
_CHECKPOINT_LOSS_S = 1.0
"""Seconds of work that a checkpoint and a restart cost."""

_MAX_FAILED_SERVERS = 3
"""A job that failed on this many servers, or on all there are, can never run."""

_FIRST_RETRY_PAUSE_S = 0.5
_MAX_RETRY_PAUSE_S = 8.0


@dataclass(frozen=True)
class _Requirements:
    """Describe what jobs that fit alike need of a place.

    Attributes:
        accelerators: The gang's size.
        preemptible: Whether it may be stopped for others.
        across_racks: Whether it may span neighbouring racks.
    """

    accelerators: int
    preemptible: bool
    across_racks: bool


class Planner:
    """Hold the jobs and the servers of one zone, and decide.

    It is not safe for use by several threads at once; its owner locks. Every
    call gets the present time, so that tests can step it.
    """

    def __init__(
        self, cfg: Configuration, zone: str, *, fleet: Fleet | None = None, preemptive: bool = True
    ) -> None:
        """Start with nothing running.

        Args:
            cfg: The configuration in force.
            zone: The availability zone to decide for.
            fleet: The zone's servers, by default those of the configuration.
            preemptive: Whether to keep room for large gangs and stop borrowers;
                without it the planner serves as a baseline.
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
        """Put another configuration in force.

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
        """How many jobs wait."""
        return len(self._queue)

    @property
    def unfinished(self) -> int:
        """How many jobs there are in all."""
        return len(self._jobs)

    def job(self, job_id: JobId) -> Job | None:
        """Find an unfinished job, or None."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterable[Job]:
        """Return all unfinished jobs."""
        return self._jobs.values()

    def lanes(self) -> list[tuple[str, str, int, float]]:
        """Return workspace, kind, waiting jobs and oldest arrival of each queue."""
        return self._queue.lanes()

    def submit(self, job: Job, now: float, *, already_accepted: bool = False) -> None:
        """Let a job wait for its turn.

        Args:
            job: The job, not known here yet.
            now: The present time in seconds.
            already_accepted: Whether it was acknowledged already, so that limits no
                longer apply.

        Raises:
            RefusedError: When it was not taken and will not run.
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
            job.workspace, job.caller, job.accelerators, jobs=jobs, limit=accelerators
        ):
            raise RefusedError(
                f"caller {job.caller} has too much in hand", code=ResultCode.CALLER_LIMIT
            )
        self._jobs[job.job_id] = job
        self._jobs_by_name[str(job.job_id)] = job
        self._queue.add(job)
        if not job.kind.durable and not job.may_have_run:
            heapq.heappush(self._deadlines, (job.deadline_s, str(job.job_id)))

    def adopt(self, job: Job, placement: Placement, now: float) -> None:
        """Take over a job that another holder has started.

        Args:
            job: The job with its attempt.
            placement: Where it runs.
            now: The present time in seconds.
        """
        if job.job_id in self._jobs:
            self._remove(job.job_id)
        self._jobs[job.job_id] = job
        self._jobs_by_name[str(job.job_id)] = job
        limit = 10**9
        self._limiter.admit(job.workspace, job.caller, job.accelerators, jobs=limit, limit=limit)
        job.state = JobState.RUNNING
        job.may_have_run = True
        job.started_s = now
        self.fleet.allocate(
            str(job.job_id), job.workspace, Plan(placement), preemptible=_stoppable(job)
        )
        self.accounting.start(job, now)

    def cancel(self, job_id: JobId, now: float) -> list[Decision]:
        """End a job that its caller gave up.

        Args:
            job_id: The job.
            now: The present time in seconds.

        Returns:
            What to do: drop it when it waits, stop it when it runs, nothing
            when it is not known.
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
        """Decide everything that can be decided now.

        Args:
            now: The present time in seconds.

        Returns:
            The decisions, in the order in which to carry them out.
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
        """Take note that an attempt ended with a result.

        Args:
            job_id: The job.
            attempt: The attempt.
            now: The present time in seconds.

        Returns:
            The finished job, None when the attempt is not the current one.
        """
        job = self._current(job_id, attempt)
        if job is None:
            return None
        self._record_run(job, now)
        self._remove(job_id, now)
        return job

    def failed(self, job_id: JobId, attempt: int, server: str, now: float) -> DropJob | None:
        """Take note that an attempt failed by itself.

        Args:
            job_id: The job.
            attempt: The attempt.
            server: Where it failed.
            now: The present time in seconds.

        Returns:
            The end of the job, None when it will be tried again or the
            attempt is not the current one.
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
        """Take note that a start did not happen, so that the job waits again.

        Args:
            job_id: The job.
            attempt: The attempt.
            now: The present time in seconds.
            pause_s: How long it should wait at least.
        """
        job = self._current(job_id, attempt)
        if job is not None:
            self._requeue(job, now, pause_s=pause_s)

    def stopped(
        self, job_id: JobId, attempt: int, now: float, *, progress_s: float = 0.0
    ) -> DropJob | None:
        """Take note that an attempt has stopped before its end.

        Args:
            job_id: The job.
            attempt: The attempt.
            now: The present time in seconds.
            progress_s: Seconds of work that its checkpoint keeps.

        Returns:
            The end of the job when it was cancelled, else None.
        """
        job = self._current(job_id, attempt)
        if job is None:
            return None
        if job.cancelled:
            return self._drop(job, ResultCode.STOPPED, "cancelled while it ran", now)
        job.preemption_count += 1
        job.progress_s = max(job.progress_s, progress_s)
        self._requeue(job, now, front=True)
        return None

    def drop(self, job_id: JobId, now: float) -> Job | None:
        """Forget a job whatever its state, as it ended elsewhere.

        Args:
            job_id: The job.
            now: The present time in seconds.

        Returns:
            The job, None when it is not known.
        """
        job = self._jobs.get(job_id)
        if job is not None:
            self._remove(job_id, now)
        return job

    def running_on(self, server: str) -> list[Job]:
        """Return the jobs that use a server."""
        return [
            job
            for job in self._jobs.values()
            if job.state in (JobState.RUNNING, JobState.STOPPING)
            and any(p.server == server for p in self.placement(job.job_id).slices)
        ]

    def placement(self, job_id: JobId) -> Placement:
        """Return where a job runs, an empty placement when it does not."""
        allocation = self.fleet.allocations.get(str(job_id))
        return allocation.placement if allocation else Placement(())

    def predicted_wait_s(self, job: Job) -> float:
        """Predict how long a job would wait from what was measured.

        Args:
            job: A job that does not wait yet.

        Returns:
            Seconds; 0 when nothing of its workspace goes before it.
        """
        ahead = 0.0
        for name in self._queue.kinds(job.workspace):
            kind = self._cfg.kind(name)
            if kind is None or kind.urgency < job.kind.urgency:
                continue
            run_s = self.estimator.median_s(job.workspace, name, kind.expected_s)
            ahead += self._queue.requested_accelerators(job.workspace, name) * run_s
        guaranteed = self.accounting.guaranteed(job.workspace)
        usable_accelerators = max(guaranteed, self.accounting.running(job.workspace), 1)
        return ahead / usable_accelerators

    def _check_fits(self, job: Job) -> None:
        """Refuse a gang that the zone could not hold even with nothing running."""
        if job.attempt or self._fits(job):
            return
        raise RefusedError(
            f"zone {self._zone} can never give {job.accelerators} adjacent accelerators "
            "and keep what it guarantees",
            code=ResultCode.GANG_TOO_LARGE,
        )

    def _fits(self, job: Job) -> bool:
        """Tell whether the zone could hold a gang with nothing running."""
        return self._capacity.could_place(self._zone, job.workspace, job.accelerators, job.kind)

    def _check_queue_limit(self, job: Job) -> None:
        """Refuse a job when too many of its workspace and kind wait."""
        if self._queue.waiting(job.workspace, job.kind.name) >= self._cfg.queue_limit:
            raise RefusedError("too many such jobs wait", code=ResultCode.QUEUE_FULL)

    def _check_deadline(self, job: Job) -> None:
        """Refuse a job that cannot end by its deadline, as far as measured."""
        if not self.estimator.has_enough_samples(job.workspace, job.kind.name):
            return
        run_s = self.estimator.median_s(job.workspace, job.kind.name, job.kind.expected_s)
        wait_s = self.predicted_wait_s(job)
        if wait_s > 0 and wait_s + run_s > job.kind.deadline_s:
            raise RefusedError(
                f"it would wait {wait_s:.0f} s and miss its deadline",
                code=ResultCode.DEADLINE_UNREACHABLE,
            )

    def _caller_limits(self, job: Job) -> tuple[int, int]:
        """Return the caller's limits in this zone.

        Requests are spread evenly over the zones that back a workspace, so
        each zone enforces its part of the limit.
        """
        workspace = self._cfg.workspace(job.workspace)
        if workspace is None:
            raise RefusedError("no such workspace", code=ResultCode.UNKNOWN_WORKSPACE)
        zones = len({shape.zone for shape in workspace.guarantee}) or len(self._cfg.zones)
        jobs = -(-workspace.limits.jobs // zones)
        accelerators = max(-(-workspace.limits.accelerators // zones), job.accelerators)
        return jobs, accelerators

    def _accrue(self, now: float) -> None:
        """Charge running jobs now and then."""
        if now - self._last_accrual_s < _ACCRUAL_INTERVAL_S:
            return
        self._last_accrual_s = now
        for job in self._jobs.values():
            if job.state in (JobState.RUNNING, JobState.STOPPING):
                self.accounting.charge(job, now)
        self.accounting.prune_idle(now)

    def _drop_expired(self, now: float, decisions: list[Decision]) -> None:
        """Drop waiting jobs whose deadline has passed, if they never started."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, name = heapq.heappop(self._deadlines)
            job = self._jobs_by_name.get(name)
            if job is None or job.may_have_run or job.job_id not in self._queue:
                continue
            reason = f"waited {now - job.arrived_s:.1f} s"
            decisions.append(self._drop(job, ResultCode.DEADLINE_PASSED, reason, now))

    def _drop_unplaceable(self, now: float, decisions: list[Decision]) -> None:
        """Drop waiting jobs that a new configuration leaves no room for."""
        if not self._recheck_waiting:
            return
        self._recheck_waiting = False
        for job in self._queue.jobs():
            if not job.attempt and not self._fits(job):
                reason = "the configuration in force leaves no room for it"
                decisions.append(self._drop(job, ResultCode.GANG_TOO_LARGE, reason, now))

    def _resolve_holds(self, now: float, decisions: list[Decision]) -> None:
        """Start held jobs whose place is free now."""
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
        """Start jobs on their workspace's guarantee, stopping borrowers."""
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
        """Return much less urgent jobs on the same guarantee, for an urgent one."""
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
        """Choose between the guarantee, a free place and stopping others."""
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
        if _stoppable(job):
            free = self._free_plan(job, now)
            if free is not None:
                return free
        return plan if self._preemptive else None

    def _plan_borrowers(self, now: float, decisions: list[Decision]) -> None:
        """Share free room among the workspaces that want it."""
        planned: list[Job] = []
        unplaceable: set[_Requirements] = set()
        self._plan_reserved(now, planned, decisions)

        def skip(job: Job) -> bool:
            """Tell whether such a job was found not to fit in this pass."""
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
                self._reserve_servers(job, now)
                continue
            planned.append(job)
            self._start_or_hold(job, plan, now, decisions)
        for job in planned:
            self._queue.remove(job.job_id)

    def _plan_reserved(self, now: float, planned: list[Job], decisions: list[Decision]) -> None:
        """Start the jobs first that room is kept for."""
        for reservation in list(self._reservations):
            job = self._jobs.get(reservation.job_id)
            if job is None or job.state is not JobState.WAITING or job.not_before_s > now:
                continue
            plan = self._free_plan(job, now) or self._backfill_plan(job, reservation, now)
            if plan is not None:
                planned.append(job)
                self._start_or_hold(job, plan, now, decisions)

    def _in_turn(self, workspace: str, now: float, skip: Callable[[Job], bool]) -> Iterator[Job]:
        """Yield a workspace's jobs that may start now, in turn."""
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
        """Find a free place that nobody keeps, or that the job may fill briefly."""
        avoid = self._forbidden_servers(job)
        return self.fleet.find_free(
            job.accelerators,
            preemptible=_stoppable(job),
            across_racks=job.kind.across_racks,
            avoid=avoid | frozenset(job.failed_on),
        )

    def _backfill_plan(self, job: Job, reservation: Reservation, now: float) -> Plan | None:
        """Stop the jobs that were let in on kept servers, if that is enough."""
        return self._preempting_plan(
            job, now, lambda victim: str(victim.job_id) in reservation.backfilled
        )

    def _borrower_plan(self, job: Job, now: float) -> Plan | None:
        """Stop other borrowers for one whose workspace has less than its share."""
        if not self._preemptive:
            return None
        urgent = job.kind.urgency >= _URGENT_LEVEL
        if not urgent and now - job.arrived_s < _FAIR_PREEMPTION_AFTER_S:
            return None
        active = set(self._queue.workspaces()) | self.accounting.active()
        total = self.fleet.accelerators
        fair = {name: self.accounting.fair_accelerators(name, total, active) for name in active}
        wanted = self.accounting.running(job.workspace) + job.accelerators
        if wanted > fair.get(job.workspace, 0.0):
            return None

        def may_stop(victim: Job) -> bool:
            """Tell whether a borrower may be stopped for this job."""
            much_less_urgent = victim.kind.urgency + _URGENCY_GAP <= job.kind.urgency
            if urgent and much_less_urgent:
                return True
            above_fair_share = self.accounting.running(victim.workspace) > fair.get(
                victim.workspace, 0.0
            )
            return above_fair_share and victim.kind.checkpointable

        return self._preempting_plan(job, now, may_stop)

    def _preempting_plan(
        self, job: Job, now: float, may_stop: Callable[[Job], bool]
    ) -> Plan | None:
        """Find the cheapest place by stopping borrowers that may be stopped."""

        def allowed(name: str) -> bool:
            """Tell whether an allocation may be stopped for this job."""
            victim = self._jobs_by_name.get(name)
            return victim is not None and name not in self._stopping and may_stop(victim)

        return self.fleet.find_preempting(
            job.accelerators,
            cost=lambda name: self._cost(name, now),
            across_racks=job.kind.across_racks,
            preemptible=_stoppable(job),
            may_stop=allowed,
        )

    def _start_or_hold(self, job: Job, plan: Plan, now: float, decisions: list[Decision]) -> None:
        """Start a job, or hold its place until the victims have stopped."""
        self._record_backfill(job, plan)
        if not plan.victims:
            decisions.append(self._start(job, plan, now))
            return
        for name in plan.victims:
            victim = self._jobs_by_name[name]
            reason = f"its place is needed by {job.job_id}"
            checkpoint = self._should_checkpoint(victim, job, now)
            decisions.append(self._stop(victim, now, checkpoint=checkpoint, reason=reason))
        self.fleet.hold(str(job.job_id), plan)
        self._held[job.job_id] = job
        job.state = JobState.HELD

    def _should_checkpoint(self, victim: Job, job: Job, now: float) -> bool:
        """Tell whether a victim saves its progress before it makes room.

        Urgent work does not wait for the checkpoint of work that has done
        little so far and may run again.
        """
        if not victim.kind.checkpointable:
            return False
        recently_started = now - victim.started_s < _SKIP_CHECKPOINT_BELOW_S
        return not (
            job.kind.urgency >= _URGENT_LEVEL and victim.kind.idempotent and recently_started
        )

    def _start(self, job: Job, plan: Plan, now: float) -> StartJob:
        """Take the accelerators of a plan."""
        self.fleet.allocate(str(job.job_id), job.workspace, plan, preemptible=_stoppable(job))
        self._reservations = [r for r in self._reservations if r.job_id != job.job_id]
        job.state = JobState.RUNNING
        job.attempt += 1
        job.started_s = now
        job.on_guarantee = plan.shape is not None
        self.accounting.start(job, now)
        return StartJob(job, job.attempt, plan.placement)

    def _stop(self, job: Job, now: float, *, checkpoint: bool, reason: str) -> StopJob:
        """Begin to stop a running job."""
        job.state = JobState.STOPPING
        self._stopping[str(job.job_id)] = job
        return StopJob(job.job_id, job.attempt, self.placement(job.job_id), checkpoint, reason)

    def _drop(self, job: Job, code: ResultCode, message: str, now: float) -> DropJob:
        """End a job without another attempt."""
        self._remove(job.job_id, now)
        return DropJob(job, code, message)

    def _requeue(self, job: Job, now: float, *, pause_s: float = 0.0, front: bool = False) -> None:
        """Free a job's accelerators and let it wait for another attempt."""
        self.fleet.release(str(job.job_id))
        self._stopping.pop(str(job.job_id), None)
        self.accounting.stop(job, now)
        job.state = JobState.WAITING
        job.not_before_s = now + pause_s
        self._queue.add(job, front=front)

    def _remove(self, job_id: JobId, now: float | None = None) -> None:
        """Drop every trace of a job."""
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
        """Find a running job if the attempt is its current one."""
        job = self._jobs.get(job_id)
        if job is None or job.attempt != attempt:
            return None
        return job if job.state in (JobState.RUNNING, JobState.STOPPING) else None

    def _record_run(self, job: Job, now: float) -> None:
        """Learn from a finished attempt."""
        seconds = now - job.started_s + job.progress_s
        self.estimator.record(job.workspace, job.kind.name, seconds)

    def _cost(self, name: str, now: float) -> float:
        """Return the accelerator-seconds that stopping an allocation loses.

        A job that was stopped before costs more, so that the same one is not
        stopped again and again.
        """
        job = self._jobs_by_name.get(name)
        if job is None:
            return 0.0
        lost_s = _CHECKPOINT_LOSS_S if job.kind.checkpointable else now - job.started_s
        return (lost_s + _CHECKPOINT_LOSS_S) * job.accelerators * (1 + job.preemption_count)

    def _remaining_s(self, name: str, now: float) -> float:
        """Return how long an allocation will go on, as far as measured."""
        job = self._jobs_by_name.get(name)
        if job is None:
            return 0.0
        elapsed = now - job.started_s
        typical = self.estimator.median_s(job.workspace, job.kind.name, job.kind.expected_s)
        left = typical - job.progress_s - elapsed
        # A job past its estimate is as likely to take half as long again.
        return left if left > 0 else elapsed / 2

    def _has_reservation(self, job: Job) -> bool:
        """Tell whether room is kept for a job."""
        return any(r.job_id == job.job_id for r in self._reservations)

    def _forbidden_servers(self, job: Job) -> frozenset[str]:
        """Return the servers that are kept for others.

        Work that can stop may fill them meanwhile: whatever it loses when it
        is stopped, the place would have stood idle.
        """
        return frozenset() if _stoppable(job) else self._reserved_servers(job)

    def _reserved_servers(self, job: Job) -> frozenset[str]:
        """Return the servers that work on a guarantee should rather not use."""
        return frozenset().union(*(r.servers for r in self._reservations if r.job_id != job.job_id))

    def _reserve_servers(self, job: Job, now: float) -> None:
        """Keep servers for a job that has waited long and does not fit."""
        if not self._preemptive or now - job.arrived_s < _RESERVE_AFTER_S:
            return
        if len(self._reservations) >= _MAX_RESERVATIONS or self._has_reservation(job):
            return
        reserved = frozenset().union(*(r.servers for r in self._reservations))
        chosen = choose_servers(
            self.fleet,
            job.accelerators,
            across_racks=job.kind.across_racks,
            remaining=lambda name: self._remaining_s(name, now),
            avoid=reserved | frozenset(job.failed_on),
        )
        if chosen is not None:
            servers, wait_s = chosen
            self._reservations.append(Reservation(job.job_id, servers, now + wait_s))

    def _record_backfill(self, job: Job, plan: Plan) -> None:
        """Remember short jobs that were let in on kept servers."""
        if plan.shape is not None:
            return
        on = {part.server for part in plan.placement.slices}
        for reservation in self._reservations:
            if reservation.job_id != job.job_id and on & reservation.servers:
                reservation.backfilled.add(str(job.job_id))


def _requirements(job: Job) -> _Requirements:
    """Describe what a job needs of a place."""
    return _Requirements(job.accelerators, _stoppable(job), job.kind.across_racks)


def _stoppable(job: Job) -> bool:
    """Tell whether a job may be stopped for others."""
    return job.kind.preemptible
