"""Submit, query and cancel jobs for callers through the zones' schedulers."""

import time
from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass

from catkinknot.admission import RetryBudget
from catkinknot.journal import ServiceWindow, part_logger
from catkinknot.membership import MembershipView
from catkinknot.model import JobId, JobRequest, Kind, Outcome, ResultCode
from catkinknot.model.exceptions import RefusedError, UnreachableError
from catkinknot.peers import PeerNode
from catkinknot.platformlog import CancelRequested, JobAccepted, LogState
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError
from catkinknot.scheduler import ZoneCapacity

from ._context import InstanceContext
from ._messages import AskJob, CancelJob, JobAnswer, SubmitJob
from ._routing import zone_order
from ._zone_manager import ZoneManager

__all__ = ["JobService"]

_APPEND_WAIT_S = 3.0
_ANSWER_MARGIN_S = 2.0
_HOLDER_WAIT_S = 6.0
"""How long to wait for a holder of a zone before trying the next zone."""

_POLL_PERIOD_S = 0.05
_RETRY_AFTER_S = 1.0
"""How long to wait before asking a scheduler again that did not answer."""

log = part_logger("entry")


@dataclass(frozen=True)
class _Holder:
    """Holder of a zone under one epoch.

    Attributes:
        instance: The instance.
        epoch: The epoch under which it holds the zone.
    """

    instance: str
    epoch: str


class JobService:
    """Service that submits, queries and cancels jobs for the callers of this instance."""

    def __init__(
        self,
        context: InstanceContext,
        view: MembershipView,
        zone_manager: ZoneManager,
        node: PeerNode,
        window: ServiceWindow,
    ) -> None:
        """Create the service.

        Args:
            context: The context of this instance.
            view: The other instances.
            zone_manager: The manager of this instance's zone.
            node: The links to other instances.
            window: Counts the recent outcomes of callers' requests.
        """
        self._context = context
        self._view = view
        self._zone_manager = zone_manager
        self._node = node
        self._window = window
        self._budget = RetryBudget()

    def submit(self, request: JobRequest, wait_s: float) -> Outcome:
        """Run a job, or wait for an earlier job with the same key.

        Args:
            request: The job.
            wait_s: Seconds to wait for its end.

        Returns:
            The outcome so far.

        Raises:
            CatkinknotError: If the request is invalid or refused.
        """
        began_s = time.monotonic()
        capacity = self._capacity()
        kind = self._validate(capacity, request)
        self._record_event(request.job_id, "request.taken", kind.name)
        if kind.durable:
            outcome = self._submit_durable(capacity, request, kind, wait_s)
        else:
            outcome = self._submit_transient(capacity, request, kind, wait_s)
        took_s = time.monotonic() - began_s
        self._window.record(kind.name, outcome, took_s=took_s, deadline_s=kind.deadline_s)
        labels = {
            "workspace": request.workspace,
            "kind": kind.name,
            "code": str(int(outcome.code)),
        }
        self._context.metrics.requests.inc(labels)
        self._context.metrics.request_seconds.observe({"kind": kind.name}, took_s)
        self._record_event(request.job_id, "request.answered", outcome.code.name)
        bound = log.bind(job=str(request.job_id), caller=request.caller, kind=kind.name)
        bound.info("Answered {} {} after {:.3f} s.", int(outcome.code), outcome.code.name, took_s)
        return outcome

    def result(self, job_id: JobId, wait_s: float) -> Outcome:
        """Return the outcome of a job.

        Args:
            job_id: The job.
            wait_s: Seconds to wait for its end.

        Returns:
            The outcome so far; UNKNOWN_JOB if no scheduler knows the job.
        """
        durable = self._durable_outcome(job_id, wait_s)
        if durable is not None:
            return durable
        answer = self._ask_zones(job_id, AskJob(job_id, wait_s), wait_s)
        if answer is not None:
            return answer
        return _outcome(job_id, ResultCode.UNKNOWN_JOB, "no reachable zone knows the job")

    def cancel(self, job_id: JobId) -> Outcome:
        """Cancel a job for its caller.

        Args:
            job_id: The job.

        Returns:
            The outcome, RUNNING while the job is being stopped.
        """
        self._record_event(job_id, "request.cancel")
        with self._context.reader.state() as state:
            known = state.job(job_id) is not None
        if known:
            return self._cancel_durable(job_id)
        answer = self._ask_zones(job_id, CancelJob(job_id), 0.0)
        if answer is not None:
            return answer
        return _outcome(job_id, ResultCode.UNKNOWN_JOB, "no reachable zone knows the job")

    def _capacity(self) -> ZoneCapacity:
        """Return the capacity of the zones in the current configuration."""
        capacity = self._context.book.capacity()
        if capacity is None:
            raise RefusedError("no configuration is in force", code=ResultCode.NO_CONFIG)
        return capacity

    def _validate(self, capacity: ZoneCapacity, request: JobRequest) -> Kind:
        """Validate a request against the configuration.

        Returns:
            The kind of the job.
        """
        cfg = capacity.cfg
        if cfg.workspace(request.workspace) is None:
            raise RefusedError(
                f"no workspace is named {request.workspace}", code=ResultCode.UNKNOWN_WORKSPACE
            )
        kind = cfg.kind(request.kind)
        if kind is None:
            raise RefusedError(f"no kind is named {request.kind}", code=ResultCode.UNKNOWN_KIND)
        if request.accelerators > kind.max_accelerators:
            raise RefusedError(
                f"{kind.name} may use {kind.max_accelerators} accelerators at most",
                code=ResultCode.GANG_TOO_LARGE,
            )
        if not zone_order(capacity, request, kind):
            raise RefusedError(
                f"no zone can provide {request.accelerators} adjacent accelerators "
                "and keep its guarantees",
                code=ResultCode.GANG_TOO_LARGE,
            )
        return kind

    def _submit_durable(
        self, capacity: ZoneCapacity, request: JobRequest, kind: Kind, wait_s: float
    ) -> Outcome:
        """Record a job on the log, then wait there for its outcome."""
        job_id = request.job_id
        with self._context.reader.state() as state:
            known = state.job(job_id)
        if known is not None and known.request.digest != request.digest:
            return _outcome(
                job_id, ResultCode.KEY_REUSED, "the key is in use for a different request"
            )
        if known is None:
            record = JobAccepted(
                request, self._durable_zone(capacity, request, kind), kind.idempotent
            )
            refusal = self._append_job(job_id, record)
            if refusal is not None:
                return refusal
        return self._durable_outcome(job_id, wait_s)

    def _durable_zone(self, capacity: ZoneCapacity, request: JobRequest, kind: Kind) -> str:
        """Return the first zone in the job's order that has a holder, else the first zone."""
        order = zone_order(capacity, request, kind)
        return next((zone for zone in order if self._holder(zone)), order[0])

    def _append_job(self, job_id: JobId, record: JobAccepted) -> Outcome | None:
        """Append a job to the log.

        Returns:
            The refusal or unknown outcome, None if the log accepted the job.
        """
        try:
            verdict = self._context.appender.append_and_wait(record, _APPEND_WAIT_S)
        except NotAppendedError:
            message = "the platform's log is unavailable; the job was not accepted"
            return _outcome(job_id, ResultCode.LOG_UNAVAILABLE, message)
        except AppendUnknownError:
            message = "the platform's log has not confirmed the job yet"
            return _outcome(job_id, ResultCode.OUTCOME_UNKNOWN, message)
        if not verdict.ok:
            return _outcome(job_id, verdict.code, verdict.message)
        self._record_event(job_id, "job.kept", offset=verdict.offset)
        return None

    def _durable_outcome(self, job_id: JobId, wait_s: float) -> Outcome | None:
        """Wait for the end of a job on the log and return its outcome, None if not there."""

        def settled(state: LogState) -> bool:
            """Return whether the job has an outcome or is not on the log."""
            job = state.job(job_id)
            return job is None or job.outcome is not None

        self._context.reader.wait_for(settled, wait_s)
        with self._context.reader.state() as state:
            job = state.job(job_id)
        if job is None:
            return None
        if job.outcome is not None:
            return job.outcome
        silent_s = self._context.reader.last_response_age_s()
        message = "accepted; the job has not ended yet"
        if silent_s is not None and silent_s > _HOLDER_WAIT_S * 2:
            message = f"accepted; the platform's log has not answered for {silent_s:.0f} s"
        return _outcome(job_id, ResultCode.ACCEPTED, message)

    def _cancel_durable(self, job_id: JobId) -> Outcome:
        """Cancel a job on the log."""
        try:
            self._context.appender.append_and_wait(CancelRequested(job_id), _APPEND_WAIT_S)
        except NotAppendedError:
            message = "the platform's log is unavailable; the job was not cancelled"
            return _outcome(job_id, ResultCode.LOG_UNAVAILABLE, message)
        except AppendUnknownError:
            message = "the platform's log has not confirmed the cancellation yet"
            return _outcome(job_id, ResultCode.OUTCOME_UNKNOWN, message)
        return self._durable_outcome(job_id, 1.0)

    def _submit_transient(
        self, capacity: ZoneCapacity, request: JobRequest, kind: Kind, wait_s: float
    ) -> Outcome:
        """Run a non-durable job in the first zone that accepts it."""
        until_s = time.monotonic() + wait_s
        self._budget.record_first_attempt()
        answer = None
        for zone in zone_order(capacity, request, kind):
            answer = self._submit_to(zone, request, until_s) or answer
            if answer is not None and answer.code is not ResultCode.NO_CAPACITY:
                return answer
        if answer is not None:
            return answer
        message = "no zone that could run the job has a reachable scheduler"
        return _outcome(request.job_id, ResultCode.ZONE_UNREACHABLE, message)

    def _submit_to(self, zone: str, request: JobRequest, until_s: float) -> Outcome | None:
        """Run a job in one zone, and try again if the zone's holder changes.

        Returns:
            The outcome, None if the zone has no holder.
        """
        failed: dict[_Holder, float] = {}
        vacant_since_s = time.monotonic()
        while True:
            holder = self._holder(zone)
            if holder is None or not self._may_ask(holder, failed):
                if time.monotonic() - vacant_since_s > self._vacancy_timeout_s(zone, failed):
                    return self._not_reached(request.job_id) if failed else None
                if failed and time.monotonic() >= until_s:
                    return self._running(request.job_id)
                self._context.clock.sleep(_POLL_PERIOD_S)
                continue
            left_s = max(until_s - time.monotonic(), 0.0)
            fut = self._ask_holder(holder, SubmitJob(request, left_s, bool(failed)), left_s)
            outcome = self._await(fut, left_s, lambda asked=holder: self._holder(zone) == asked)
            if outcome is not None:
                return outcome
            failed[holder] = vacant_since_s = time.monotonic()

    def _may_ask(self, holder: _Holder, failed: dict[_Holder, float]) -> bool:
        """Return whether to send a request to a holder.

        The first request to a holder is always allowed. A retry needs a pause
        since the last failure and a token of the retry budget.
        """
        if holder not in failed:
            return True
        paused = time.monotonic() - failed[holder] >= _RETRY_AFTER_S
        return paused and self._budget.try_acquire()

    def _vacancy_timeout_s(self, zone: str, failed: dict[_Holder, float]) -> float:
        """Return how many seconds to wait for a holder of a zone.

        The wait is 0 if no usable peer is in the zone, none of its holders was
        asked before, and it is not the zone of this instance.
        """
        known = any(peer.listed.zone == zone and peer.usable for peer in self._view.entries())
        return _HOLDER_WAIT_S if known or failed or zone == self._context.zone else 0.0

    def _await(
        self, fut: Future, wait_s: float, still_holder: Callable[[], bool]
    ) -> Outcome | None:
        """Wait for the answer of a zone's holder for as long as it holds the zone.

        Returns:
            The outcome, None if another holder should be asked.
        """
        until_s = time.monotonic() + wait_s + _ANSWER_MARGIN_S
        while time.monotonic() < until_s:
            try:
                answer = fut.result(_POLL_PERIOD_S)
            except FutureTimeoutError:
                if not still_holder():
                    return None
                continue
            except UnreachableError:
                return None
            return answer.outcome if isinstance(answer, JobAnswer) else None
        return None

    def _holder(self, zone: str) -> _Holder | None:
        """Return the holder of a zone, or None."""
        zone_lease = self._zone_manager.zone_lease()
        if zone == self._context.zone and zone_lease:
            return _Holder(self._context.instance, str(zone_lease))
        peer = self._view.holder_of(zone)
        return _Holder(peer.listed.name, peer.heartbeat.holds) if peer else None

    def _ask_holder(
        self, holder: _Holder, message: SubmitJob | AskJob | CancelJob, wait_s: float
    ) -> Future:
        """Send a request to the holder of a zone, this instance or a peer."""
        if holder.instance != self._context.instance:
            return self._node.ask(holder.instance, message, wait_s + _ANSWER_MARGIN_S)
        fut: Future = Future()
        self._zone_manager.handle(message, fut.set_result)
        return fut

    def _ask_zones(
        self, job_id: JobId, message: AskJob | CancelJob, wait_s: float
    ) -> Outcome | None:
        """Send a request for a non-durable job to the holders of all zones at once.

        Returns:
            The first outcome, None if every zone answered that it does not
            know the job.
        """
        holders = [self._holder(zone.name) for zone in self._capacity().cfg.zones]
        unreachable = None in holders
        futs = [self._ask_holder(holder, message, wait_s) for holder in holders if holder]
        for fut in futs:
            outcome = self._await(fut, wait_s, lambda: True)
            if outcome is not None and outcome.code is not ResultCode.UNKNOWN_JOB:
                return outcome
            unreachable = unreachable or outcome is None
        if unreachable:
            message = "the schedulers of some zones could not be reached"
            return _outcome(job_id, ResultCode.NOT_REACHABLE, message)
        return None

    def _not_reached(self, job_id: JobId) -> Outcome:
        """Return the outcome of a job whose scheduler was asked and did not answer."""
        return _outcome(job_id, ResultCode.NOT_REACHABLE, "the zone's scheduler did not answer")

    def _running(self, job_id: JobId) -> Outcome:
        """Return the outcome of a job that has not ended yet."""
        return _outcome(job_id, ResultCode.RUNNING, "the job has not ended yet")

    def _record_event(self, job_id: JobId, name: str, text: str = "", **cause) -> None:
        """Add an event of a job to the timeline."""
        self._context.ring.add("entry", name, text, job=str(job_id), **cause)


def _outcome(job_id: JobId, code: ResultCode, message: str) -> Outcome:
    """Return an outcome without a result."""
    return Outcome(job_id.workspace, job_id.key, code, message)
