"""Handle orphaned tasks, which are not the current attempt of a job of this session."""

from collections.abc import Callable

from catkinknot.backends import RESERVE_TTL_S, RUN_TTL_S, Extend, TaskReport
from catkinknot.backends.exceptions import BackendError
from catkinknot.journal import part_logger
from catkinknot.model import JobId, JobRequest, ResultCode
from catkinknot.placement import Placement, Plan, Slice
from catkinknot.scheduler import Job, JobState

from ._attempts import AttemptFinalizer
from ._gangs import Gang
from ._zone_state import ZoneState

__all__ = ["OrphanHandler"]

log = part_logger("scheduler")


class OrphanHandler:
    """Handler that adopts, concludes or stops orphaned gangs."""

    def __init__(
        self, zone: ZoneState, finalizer: AttemptFinalizer, cancel: Callable[[JobId], None]
    ) -> None:
        """Create a handler.

        Args:
            zone: The state of the zone.
            finalizer: Concludes attempts.
            cancel: Cancels a job.
        """
        self._zone = zone
        self._finalizer = finalizer
        self._cancel = cancel

    def evaluate(self, gang: Gang, server: str, report: TaskReport, now: float) -> None:
        """Handle a reported task that is not the current attempt of a job here."""
        workspace, _, key = gang.job.partition("/")
        job_id = JobId(workspace, key)
        if self._superseded(job_id, gang):
            self._discard(gang, server)
            return
        if server in gang.active:
            self._occupy_accelerators(server, report)
        else:
            self.release_accelerators(server, gang.lease)
        if gang.complete:
            self._adopt(job_id, gang, now)
        elif gang.all_ended:
            self._conclude(job_id, gang, now)

    def _superseded(self, job_id: JobId, gang: Gang) -> bool:
        """Return whether another attempt or outcome of the job replaces this start."""
        if self._zone.recent_outcomes.find(job_id) is not None:
            return True
        with self._zone.context.reader.state() as state:
            durable = state.job(job_id)
        if durable is not None and durable.outcome is not None:
            return True
        if durable is not None and not durable.idempotent:
            if gang.attempt > durable.attempts:
                # The record of this start has not been read from the log yet.
                return False
            return durable.intent is None or durable.intent.attempt != gang.attempt
        job = self._zone.planner.job(job_id)
        return job is not None and job.state is not JobState.WAITING

    def _discard(self, gang: Gang, server: str) -> None:
        """Stop or acknowledge a server's member of a superseded start."""
        if server in gang.active:
            self._occupy_accelerators(server, gang.reports[server])
            self._zone.context.spawn(self._finalizer.stop_members, [server], gang.lease, False)
            return
        self.release_accelerators(server, gang.lease)
        self._zone.acks.append((self._zone.context.clock.now(), server, gang.lease))
        if gang.all_ended:
            self._zone.board.remove(gang)

    def _occupy_accelerators(self, server: str, report: TaskReport) -> None:
        """Allocate the accelerators of an orphaned task, so that no job is placed on them."""
        name = _allocation_name(server, report.lease)
        fleet = self._zone.planner.fleet
        if name in fleet.allocations:
            return
        placement = Placement((Slice(server, report.mask),))
        try:
            fleet.allocate(name, "", Plan(placement), preemptible=False)
        except ValueError:
            # The accelerators are allocated already. The server itself refuses
            # starts that would overlap the task.
            return

    def release_accelerators(self, server: str, lease: str) -> None:
        """Release the accelerators of an orphaned task."""
        self._zone.planner.fleet.release(_allocation_name(server, lease))

    def _adopt(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Adopt a complete orphaned gang for its job, or stop it if the job cannot be known."""
        job = self._zone.planner.job(job_id) or self._unresolved_job(job_id, gang.attempt)
        if job is None:
            job = self._build_stub(job_id, gang, now)
        if job is None:
            for server in list(gang.active):
                self._discard(gang, server)
            return
        for server in gang.servers:
            self.release_accelerators(server, gang.lease)
        job.attempt = gang.attempt
        self._zone.leases[job_id] = gang.lease
        self._zone.unresolved.pop(job_id, None)
        try:
            self._zone.planner.adopt(job, gang.placement, now)
        except ValueError:
            log.error("Stopping job {}: its accelerators overlap another job's.", job_id)
            self._zone.context.spawn(
                self._finalizer.stop_members, list(gang.active), gang.lease, False
            )
            return
        self._zone.record_event(job_id, "job.adopted", attempt=gang.attempt)
        if any(not report.confirmed for report in gang.reports.values()):
            self._zone.context.spawn(self.confirm, gang)
        if job.cancelled:
            job.cancelled = False
            self._cancel(job_id)

    def _unresolved_job(self, job_id: JobId, attempt: int) -> Job | None:
        """Return the job of an unresolved start, or None."""
        start = self._zone.unresolved.get(job_id)
        return start.job if start is not None and start.attempt == attempt else None

    def _build_stub(self, job_id: JobId, gang: Gang, now: float) -> Job | None:
        """Build a job without its request, which is unknown until the caller repeats it.

        Returns:
            The job, None if its kind is unknown, durable or not idempotent.
        """
        report = next(iter(gang.reports.values()))
        kind = self._zone.cfg.kind(report.kind)
        if kind is None or not kind.idempotent or kind.durable:
            return None
        request = JobRequest(
            workspace=job_id.workspace,
            kind=kind.name,
            key=job_id.key,
            accelerators=gang.placement.accelerators,
        )
        self._zone.stubs.add(job_id)
        return Job(request, kind, now)

    def _conclude(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Apply the end of an orphaned gang to its job."""
        for server in gang.servers:
            self.release_accelerators(server, gang.lease)
        job = self._zone.planner.job(job_id) or self._unresolved_job(job_id, gang.attempt)
        if job is None:
            self._keep_result(job_id, gang, now)
            return
        if not job.kind.idempotent and job_id not in self._zone.unresolved:
            # The start that ended here has not been read from the log yet.
            return
        self._zone.board.remove(gang)
        self._zone.unresolved.pop(job_id, None)
        if gang.result_report is not None and gang.result_report.result.intact:
            self._zone.planner.drop(job_id, now)
            self._finalizer.finish(job, ResultCode.DONE, "", gang=gang)
        elif job.kind.idempotent:
            self._finalizer.schedule_acks(gang)
        elif not gang.began:
            self._zone.clear_attempt(job_id, gang.attempt, "no member began its work")
            self._zone.planner.submit(job, now, already_accepted=True)
            self._finalizer.schedule_acks(gang)
        elif gang.checkpointed and not job.cancelled:
            job.progress_s = max(job.progress_s, gang.progress_s)
            self._zone.clear_attempt(job_id, gang.attempt, "stopped at a checkpoint", began=True)
            self._zone.planner.submit(job, now, already_accepted=True)
            self._finalizer.schedule_acks(gang)
        else:
            code = ResultCode.JOB_FAILED if gang.failure else ResultCode.LOST
            message = gang.failure[1].message if gang.failure else "the job was interrupted"
            self._finalizer.finish(job, code, message, gang=gang)

    def _keep_result(self, job_id: JobId, gang: Gang, now: float) -> None:
        """Keep the result of an unknown job, whose caller may still ask for it."""
        report = next(iter(gang.reports.values()))
        kind = self._zone.cfg.kind(report.kind)
        if kind is not None and kind.durable:
            # The job is known once its records have been read from the log.
            return
        self._zone.board.remove(gang)
        if gang.result_report is not None and gang.result_report.result.intact and kind is not None:
            outcome = self._finalizer.outcome(
                job_id, ResultCode.DONE, "", gang, attempt=gang.attempt
            )
            self._zone.recent_outcomes.keep("", outcome, now)
            self._zone.waiters.finish(outcome)
        self._finalizer.schedule_acks(gang)

    def recheck(self, now: float) -> None:
        """Recheck orphaned gangs, and stop those that are still incomplete.

        Each gang is rechecked once per reservation lifetime, `RESERVE_TTL_S`.
        """
        for gang in self._zone.board.gangs():
            workspace, _, key = gang.job.partition("/")
            job_id = JobId(workspace, key)
            if (
                self._zone.leases.get(job_id) == gang.lease
                or now < gang.pending_since_s + RESERVE_TTL_S
            ):
                continue
            gang.pending_since_s = now
            if gang.active and not gang.complete:
                self._zone.context.spawn(
                    self._finalizer.stop_members, gang.active, gang.lease, False
                )
            # A claimed server reports all its tasks, so one without a report has no member.
            gang.lost |= {
                s for s in gang.servers if s in self._zone.claimed and s not in gang.reports
            }
            if self._superseded(job_id, gang):
                for server in list(gang.reports):
                    self._discard(gang, server)
            elif gang.complete:
                self._adopt(job_id, gang, now)
            elif gang.all_ended:
                self._conclude(job_id, gang, now)

    def confirm(self, gang: Gang) -> None:
        """Extend the leases of the members of an adopted gang."""
        for server in gang.servers:
            try:
                req = Extend(self._zone.context.holder, self._zone.epoch, (gang.lease,), RUN_TTL_S)
                self._zone.context.clients.find(server).extend(req)
            except BackendError as exc:
                log.warning("Failed to extend a task on server {}: {}.", server, exc.message)


def _allocation_name(server: str, lease: str) -> str:
    """Return the name of the allocation of an orphaned task."""
    return f"!{lease}@{server}"
