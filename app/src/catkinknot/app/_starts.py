"""Carry out the start of a gang, on the log first where it must not run twice."""

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
    """Say what became of a start."""

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"
    FORBIDDEN = "forbidden"
    NOT_RECORDED = "not recorded"


@dataclass(frozen=True)
class StartResult:
    """Say what became of a start, and why.

    Attributes:
        started: What became of it.
        server: The server that did not do its part, if one.
        reason: Why not.
    """

    started: Started
    server: str = ""
    reason: str = ""


class StartRunner:
    """Start gangs under one epoch."""

    def __init__(
        self, context: InstanceContext, starter: GangStarter, epoch: Epoch, leases_valid
    ) -> None:
        """Prepare to start gangs.

        Args:
            context: The shared parts.
            starter: Reserves and starts on the servers.
            epoch: The epoch under which this instance holds the servers.
            leases_valid: Tells for some servers whether their leases are surely held.
        """
        self._context = context
        self._starter = starter
        self._epoch = epoch
        self._leases_valid = leases_valid

    def run(self, decision: StartJob, boots: tuple[str, ...]) -> StartResult:
        """Carry out one start.

        Args:
            decision: What to start.
            boots: The present run of each server of the placement.

        Returns:
            What became of it.
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
        """Record the start on the log and read it back.

        Returns:
            Why it must not happen, None when it may.
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
            return StartResult(Started.NOT_RECORDED, reason="the log is out")
        if verdict is None:
            return StartResult(Started.UNKNOWN, reason="the holder's lease has lapsed")
        if not verdict.ok:
            return StartResult(Started.FORBIDDEN, reason=verdict.message)
        return None

    def _append(self, record: StartIntended, servers: tuple[str, ...]) -> Verdict | None:
        """Append a record and wait until its fate is known.

        Returns:
            The verdict, None when the leases lapsed meanwhile.

        Raises:
            NotAppendedError: When it was never sent.
        """
        fut = self._context.appender.append(record)
        while True:
            try:
                return fut.result(_LOG_WAIT_S)
            except AppendUnknownError:
                self._context.appender.take_back(fut)
            if not self._leases_valid(servers) and not fut.done:
                return None
