"""Conclude attempts of jobs and deliver their outcomes."""

from catkinknot.backends import Ack, Stop
from catkinknot.backends.exceptions import BackendError
from catkinknot.journal import part_logger
from catkinknot.model import JobId, Outcome, ResultCode, code_info
from catkinknot.platformlog import JobEnded
from catkinknot.scheduler import DropJob, Job

from ._gangs import Gang
from ._messages import ServerStatus
from ._zone_state import ZoneState

__all__ = ["AttemptFinalizer"]

_ACK_DELAY_S = 2.0
"""How long after the end of an attempt its tasks are acknowledged to their servers."""

log = part_logger("scheduler")


class AttemptFinalizer:
    """Finalizer of attempts: it concludes them, answers waiters and acknowledges tasks."""

    def __init__(self, zone: ZoneState) -> None:
        """Create a finalizer.

        Args:
            zone: The state of the zone.
        """
        self._zone = zone

    def stop_members(self, servers: list[str], lease: str, checkpoint: bool) -> None:
        """Send a stop to the members of a gang; a lost server is handled elsewhere."""
        for server in servers:
            try:
                req = Stop(self._zone.context.holder, self._zone.epoch, lease, checkpoint)
                self._zone.context.clients.find(server).stop(req)
            except BackendError as exc:
                log.debug("Failed to stop a task on server {}: {}.", server, exc.message)

    def evaluate(self, job: Job, gang: Gang, now: float) -> None:
        """Conclude the attempt of a job once no member can be running."""
        if not gang.all_ended:
            if gang.failure is not None and gang.active:
                self._zone.context.spawn(self.stop_members, gang.active, gang.lease, False)
            return
        self._zone.board.remove(gang)
        self._zone.unresolved.pop(job.job_id, None)
        if gang.result_report is not None:
            self._conclude_done(job, gang, now)
        elif gang.failure is not None:
            self._conclude_failed(job, gang, now)
        elif job.kind.idempotent and (gang.reports_in_phase("lapsed") or gang.lost):
            self._conclude_lost(job, gang, now)
        elif not gang.began:
            self._conclude_not_begun(job, gang, now)
        elif job.kind.idempotent or gang.checkpointed:
            drop = self._zone.planner.stopped(
                job.job_id, gang.attempt, now, progress_s=gang.progress_s
            )
            self._conclude_stopped(job, gang, drop)
        else:
            self._conclude_lost(job, gang, now)

    def _conclude_not_begun(self, job: Job, gang: Gang, now: float) -> None:
        """Requeue or end a job whose members never began their work."""
        self.schedule_acks(gang)
        if job.cancelled:
            self._zone.planner.drop(job.job_id, now)
        else:
            self._zone.planner.not_started(job.job_id, gang.attempt, now)
        if not job.kind.idempotent:
            self._zone.clear_attempt(job.job_id, gang.attempt, "no member began its work")
        elif job.cancelled:
            # An earlier attempt, here or under another holder, may have run.
            self.finish(job, ResultCode.STOPPED, "cancelled while it was starting")

    def _conclude_done(self, job: Job, gang: Gang, now: float) -> None:
        """End a job with its result, or retry it if the result is damaged and it may run twice."""
        report = gang.result_report
        self._record_health(gang, True, now)
        if not report.result.intact:
            self._zone.record_event(job.job_id, "result.damaged", attempt=gang.attempt)
            if job.kind.idempotent:
                self._zone.planner.not_started(job.job_id, gang.attempt, now)
                self.schedule_acks(gang)
                return
        self._zone.planner.ended(job.job_id, gang.attempt, now)
        code = ResultCode.DONE if report.result.intact else ResultCode.LOST
        self.finish(job, code, "", gang=gang)

    def _conclude_failed(self, job: Job, gang: Gang, now: float) -> None:
        """End a failed job, or leave it queued for another attempt."""
        server, report = gang.failure
        self._record_health(gang, False, now)
        drop = self._zone.planner.failed(job.job_id, gang.attempt, server, now)
        text = f"{server}: {report.message}"
        self._zone.record_event(job.job_id, "job.failed", text, attempt=gang.attempt, server=server)
        if drop is not None:
            message = f"{drop.message}: {report.message}"
            self.finish(job, drop.code, message, gang=gang)
        else:
            self.schedule_acks(gang)

    def _conclude_lost(self, job: Job, gang: Gang, now: float) -> None:
        """Retry a lost job if it may run twice, else end it."""
        if job.kind.idempotent and not job.cancelled:
            self._zone.planner.not_started(job.job_id, gang.attempt, now)
            self.schedule_acks(gang)
            return
        self._zone.planner.drop(job.job_id, now)
        code = ResultCode.STOPPED if job.cancelled else ResultCode.LOST
        self.finish(job, code, "the servers of the job were lost while it ran", gang=gang)

    def _conclude_stopped(self, job: Job, gang: Gang, drop: DropJob | None) -> None:
        """End a cancelled job; a preempted job stays queued."""
        self._zone.record_event(job.job_id, "job.stopped", attempt=gang.attempt)
        if drop is not None:
            self.finish(job, drop.code, drop.message, gang=gang)
            return
        self.schedule_acks(gang)
        if not job.kind.idempotent:
            # Every member has confirmed its stop, so the log may allow the next attempt.
            self._zone.clear_attempt(
                job.job_id, gang.attempt, "stopped at a checkpoint", began=True
            )

    def _record_health(self, gang: Gang, ok: bool, now: float) -> None:
        """Record the end of a gang in its servers' health and quarantine servers that fail."""
        blamed = [gang.failure[0]] if not ok else list(gang.servers)
        for server in blamed:
            if self._zone.health.record(server, ok, gang.job, now):
                self._zone.issues.add(
                    ServerStatus(
                        server, "set aside", self._zone.context.clock.wall(), "it fails many jobs"
                    )
                )
                self._zone.update_cordon(server)
                log.warning("Server {} is quarantined because many jobs fail on it.", server)
                self._zone.context.ring.add(
                    "backends", "server.set_aside", zone=self._zone.context.zone, server=server
                )

    def handle_missing_task(self, job: Job, server: str) -> None:
        """Mark a member as lost whose server no longer has its task.

        The attempt is concluded as lost if no other member can be running, or
        at once if the job is idempotent; its other members are then stopped.
        """
        lease = self._zone.leases[job.job_id]
        servers = tuple(part.server for part in self._zone.planner.placement(job.job_id).slices)
        now = self._zone.context.clock.now()
        gang = self._zone.board.find_or_add(lease, str(job.job_id), job.attempt, servers, now)
        gang.lost.add(server)
        if gang.all_ended or job.kind.idempotent:
            others = [name for name in gang.servers if name not in gang.lost]
            self._zone.context.spawn(self.stop_members, others, lease, False)
            self._zone.board.remove(gang)
            self._conclude_lost(job, gang, now)

    def finish(self, job: Job, code: ResultCode, message: str, *, gang: Gang | None = None):
        """Deliver the final outcome of a job; a durable job's outcome goes to the log first."""
        outcome = self.outcome(job.job_id, code, message, gang, attempt=job.attempt)
        self._zone.record_event(
            job.job_id, "job.ended", f"{int(code)} {code.name}", attempt=outcome.attempt
        )
        if job.kind.durable:
            if gang is not None:
                self._zone.unconfirmed[job.job_id] = gang
            self._zone.context.appender.append(JobEnded(outcome))
            return
        self._zone.leases.pop(job.job_id, None)
        digest = "" if job.job_id in self._zone.stubs else job.request.digest
        self._zone.stubs.discard(job.job_id)
        if not code_info(code).retry:
            self._zone.recent_outcomes.keep(digest, outcome, self._zone.context.clock.now())
        self._zone.waiters.finish(outcome)
        if gang is not None:
            self.schedule_acks(gang)

    def outcome(
        self, job_id: JobId, code: ResultCode, message: str, gang: Gang | None, *, attempt: int
    ) -> Outcome:
        """Return the final outcome of a job, with the result if it is done."""
        done = gang is not None and gang.result_report is not None and code is ResultCode.DONE
        return Outcome(
            workspace=job_id.workspace,
            key=job_id.key,
            code=code,
            message=message,
            attempt=attempt,
            zone=self._zone.context.zone if gang else "",
            result=gang.result_report.result if done else None,
        )

    def schedule_acks(self, gang: Gang) -> None:
        """Schedule the acknowledgement of a gang's tasks, after which its servers remove them."""
        due_s = self._zone.context.clock.now() + _ACK_DELAY_S
        self._zone.acks += [(due_s, server, gang.lease) for server in gang.reports]

    def pop_due_acks(self, now: float) -> dict[str, list[str]]:
        """Remove the acknowledgements that are due and return their leases by server."""
        due: dict[str, list[str]] = {}
        left = []
        for row in self._zone.acks:
            due_s, server, lease = row
            if due_s > now:
                left.append(row)
            else:
                due.setdefault(server, []).append(lease)
        self._zone.acks = left
        return due

    def send_acks(self, acks: dict[str, list[str]]) -> None:
        """Acknowledge ended tasks; if this fails, the next claim reports the tasks again."""
        for server, leases in acks.items():
            try:
                req = Ack(self._zone.context.holder, self._zone.epoch, tuple(leases))
                self._zone.context.clients.find(server).ack(req)
            except BackendError as exc:
                log.debug("Failed to acknowledge tasks on server {}: {}.", server, exc.message)
