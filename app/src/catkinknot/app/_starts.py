"""Start gangs; a job that must not run twice has its start recorded on the log first."""

from dataclasses import dataclass
from enum import Enum

from catkinknot.backends import Epoch, GangStart, GangStarter
from catkinknot.platformlog import StartIntended, Verdict
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError
from catkinknot.scheduler import StartJob

from ._context import InstanceContext

__all__ = ["StartResult", "StartRunner", "Started"]

_LOG_WAIT_S = 2.0


class Started(Enum):
    """Outcome of a start.

    Attributes:
        YES: The gang was started.
        NO: The start failed, and no member has begun or can begin its work.
        UNKNOWN: A member may have begun its work, or may still begin it.
        FORBIDDEN: The log refused the record of the start.
        NOT_RECORDED: The record of the start was never sent to the log.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    FORBIDDEN = "forbidden"
    NOT_RECORDED = "not recorded"


@dataclass(frozen=True)
class StartResult:
    """Outcome of a start and the reason for it.

    Attributes:
        started: The outcome.
        server: The server that failed, empty if none did.
        reason: The reason for a failure, empty if there was none.
    """

    started: Started
    server: str = ""
    reason: str = ""


class StartRunner:
    """Runner of gang starts under one epoch."""

    def __init__(
        self, context: InstanceContext, starter: GangStarter, epoch: Epoch, leases_valid
    ) -> None:
        """Create a runner.

        Args:
            context: The context of this instance.
            starter: Reserves accelerators and starts tasks on the servers.
            epoch: The epoch under which this instance holds the servers.
            leases_valid: Returns whether the leases on all given servers are certain to be valid.
        """
        self._context = context
        self._starter = starter
        self._epoch = epoch
        self._leases_valid = leases_valid

    def run(self, decision: StartJob, boots: tuple[str, ...]) -> StartResult:
        """Start one gang.

        Args:
            decision: The job to start and its placement.
            boots: The boot identifier of each server of the placement.

        Returns:
            The outcome of the start.
        """
        servers = tuple(part.server for part in decision.placement.slices)
        if not decision.job.kind.idempotent:
            refusal = self._record_intent(decision, servers, boots)
            if refusal is not None:
                return refusal
        decision.job.may_have_run = True
        gang = GangStart(
            job_id=decision.job.job_id,
            attempt=decision.attempt,
            kind=decision.job.kind.name,
            body=decision.job.request.body,
            placement=decision.placement,
            idempotent=decision.job.kind.idempotent,
            progress_s=decision.job.progress_s,
        )
        report = self._starter.start(gang, self._epoch, lambda: self._leases_valid(servers))
        if report.started:
            return StartResult(Started.YES)
        started = Started.UNKNOWN if report.may_run else Started.NO
        return StartResult(started, report.server, report.reason)

    def _record_intent(
        self, decision: StartJob, servers: tuple[str, ...], boots: tuple[str, ...]
    ) -> StartResult | None:
        """Record the start on the log and wait until the record is read back.

        Returns:
            The reason why the gang must not start, None if it may.
        """
        record = StartIntended(
            job=decision.job.job_id,
            attempt=decision.attempt,
            zone=self._context.zone,
            term=self._epoch.term,
            holder=self._context.holder,
            servers=servers,
            boots=boots,
        )
        try:
            verdict = self._append(record, servers)
        except NotAppendedError:
            return StartResult(Started.NOT_RECORDED, reason="the log is unavailable")
        if verdict is None:
            return StartResult(Started.UNKNOWN, reason="the holder's lease has expired")
        if not verdict.ok:
            return StartResult(Started.FORBIDDEN, reason=verdict.message)
        return None

    def _append(self, record: StartIntended, servers: tuple[str, ...]) -> Verdict | None:
        """Append a record and wait for its verdict.

        Returns:
            The verdict, None if the leases lapsed while waiting.

        Raises:
            NotAppendedError: If the record was never sent.
        """
        fut = self._context.appender.append(record)
        while True:
            try:
                return fut.result(_LOG_WAIT_S)
            except AppendUnknownError:
                self._context.appender.withdraw_unsent(fut)
            if not self._leases_valid(servers) and not fut.done:
                return None
