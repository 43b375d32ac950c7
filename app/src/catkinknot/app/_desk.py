"""Take callers' requests and bring each its one answer."""

import time
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from catkinknot.admission import Backoff, RetryBudget
from catkinknot.journal import ServiceWindow, part_logger
from catkinknot.membership import MembershipView
from catkinknot.model import Configuration, JobId, JobRequest, Kind, Outcome, ResultCode
from catkinknot.model.exceptions import CatkinknotError, RefusedError, UnreachableError
from catkinknot.peers import PeerNode
from catkinknot.platformlog import CancelRequested, JobAccepted, LogState
from catkinknot.platformlog.exceptions import AppendUnknownError, NotAppendedError

from ._messages import AskJob, CancelJob, JobAnswer, SubmitJob
from ._routing import zone_order
from ._tools import Tools
from ._zone import ZoneOffice

__all__ = ["JobDesk"]

_APPEND_WAIT_S = 3.0
_ASK_MARGIN_S = 2.0
_NO_HOLDER_S = 6.0
"""Wait this long for somebody to schedule a zone before trying the next."""

log = part_logger("entry")


class JobDesk:
    """Submit, follow and cancel jobs for the callers of this instance."""

    def __init__(
        self,
        tools: Tools,
        view: MembershipView,
        office: ZoneOffice,
        node: PeerNode,
        window: ServiceWindow,
    ) -> None:
        """Prepare.

        Args:
            tools: The shared parts.
            view: The other instances.
            office: This instance's own zone.
            node: The links to other instances.
            window: What callers got lately.
        """
        self._tools = tools
        self._view = view
        self._office = office
        self._node = node
        self._window = window
        self._budget = RetryBudget()
        self._backoff = Backoff(first_s=0.05, longest_s=1.0, clock=tools.clock)

    def submit(self, request: JobRequest, wait_s: float) -> Outcome:
        """Run a job, or wait for the one with the same key.

        Args:
            request: The job.
            wait_s: Seconds to wait for its end.

        Returns:
            How it stands or ended.

        Raises:
            CatkinknotError: When the request itself is wrong or refused.
        """
        began = time.monotonic()
        cfg = self._config()
        kind = self._check(cfg, request)
        self._event(request.job_id, "request.taken", kind.name)
        if kind.durable:
            outcome = self._submit_durable(cfg, request, kind, wait_s)
        else:
            outcome = self._submit_brief(cfg, request, kind, wait_s)
        took_s = time.monotonic() - began
        self._window.record(kind.name, outcome, took_s=took_s, deadline_s=kind.deadline_s)
        labels = {
            "workspace": request.workspace,
            "kind": kind.name,
            "code": str(int(outcome.code)),
        }
        self._tools.metrics.requests.inc(labels)
        self._tools.metrics.request_seconds.observe({"kind": kind.name}, took_s)
        self._event(request.job_id, "request.answered", outcome.code.name)
        return outcome

    def result(self, job_id: JobId, wait_s: float) -> Outcome:
        """Say how a job stands or ended.

        Args:
            job_id: The job.
            wait_s: Seconds to wait for its end.

        Returns:
            How it stands or ended; UNKNOWN_JOB when nobody knows it.
        """
        durable = self._durable_outcome(job_id, wait_s)
        if durable is not None:
            return durable
        answer = self._ask_zones(job_id, AskJob(job_id, wait_s), wait_s)
        if answer is not None:
            return answer
        return _outcome(job_id, ResultCode.UNKNOWN_JOB, "no zone that answers knows the job")

    def cancel(self, job_id: JobId) -> Outcome:
        """End a job that its caller gave up.

        Args:
            job_id: The job.

        Returns:
            How it ended, or RUNNING while it is being stopped.
        """
        self._event(job_id, "request.cancel")
        with self._tools.reader.state() as state:
            known = state.job(job_id) is not None
        if known:
            return self._cancel_durable(job_id)
        answer = self._ask_zones(job_id, CancelJob(job_id), 0.0)
        if answer is not None:
            return answer
        return _outcome(job_id, ResultCode.UNKNOWN_JOB, "no zone that answers knows the job")

    def _config(self) -> Configuration:
        """Return the configuration in force."""
        present = self._tools.book.present()
        if present is None:
            raise RefusedError("no configuration is in force", code=ResultCode.NO_CONFIG)
        return present.config

    def _check(self, cfg: Configuration, request: JobRequest) -> Kind:
        """Check a request against the configuration.

        Returns:
            Its kind of work.
        """
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
        if not zone_order(cfg, request, kind):
            raise RefusedError("no rack is large enough", code=ResultCode.GANG_TOO_LARGE)
        return kind

    def _submit_durable(
        self, cfg: Configuration, request: JobRequest, kind: Kind, wait_s: float
    ) -> Outcome:
        """Keep a job on the log, then wait for its end there."""
        job_id = request.job_id
        with self._tools.reader.state() as state:
            known = state.job(job_id)
        if known is not None and known.request.digest != request.digest:
            return _outcome(job_id, ResultCode.KEY_REUSED, "the key stands for other work")
        if known is None:
            record = JobAccepted(request, self._durable_zone(cfg, request, kind), kind.idempotent)
            refusal = self._append_job(job_id, record)
            if refusal is not None:
                return refusal
        return self._durable_outcome(job_id, wait_s)

    def _durable_zone(self, cfg: Configuration, request: JobRequest, kind: Kind) -> str:
        """Choose the first zone that somebody schedules, else the first."""
        order = zone_order(cfg, request, kind)
        return next((zone for zone in order if self._scheduled(zone)), order[0])

    def _append_job(self, job_id: JobId, record: JobAccepted) -> Outcome | None:
        """Append a job to the log.

        Returns:
            The refusal or the doubt, None when the job is kept.
        """
        try:
            verdict = self._tools.appender.append_and_wait(record, _APPEND_WAIT_S)
        except NotAppendedError:
            message = "the platform's log is out; the work was not taken"
            return _outcome(job_id, ResultCode.LOG_UNAVAILABLE, message)
        except AppendUnknownError:
            message = "the platform's log has not confirmed the work yet"
            return _outcome(job_id, ResultCode.OUTCOME_UNKNOWN, message)
        if not verdict.ok:
            return _outcome(job_id, verdict.code, verdict.message)
        self._event(job_id, "job.kept", offset=verdict.offset)
        return None

    def _durable_outcome(self, job_id: JobId, wait_s: float) -> Outcome | None:
        """Wait for the end of a job of the log, None when it is not there."""

        def settled(state: LogState) -> bool:
            """Tell whether there is nothing more to wait for."""
            job = state.job(job_id)
            return job is None or job.outcome is not None

        self._tools.reader.wait_for(settled, wait_s)
        with self._tools.reader.state() as state:
            job = state.job(job_id)
        if job is None:
            return None
        if job.outcome is not None:
            return job.outcome
        silent_s = self._tools.reader.silent_for_s()
        message = "kept; not ended yet"
        if silent_s is not None and silent_s > _NO_HOLDER_S * 2:
            message = f"kept; the platform's log has been silent for {silent_s:.0f} s"
        return _outcome(job_id, ResultCode.ACCEPTED, message)

    def _cancel_durable(self, job_id: JobId) -> Outcome:
        """End a job of the log."""
        try:
            self._tools.appender.append_and_wait(CancelRequested(job_id), _APPEND_WAIT_S)
        except NotAppendedError:
            message = "the platform's log is out; nothing was cancelled"
            return _outcome(job_id, ResultCode.LOG_UNAVAILABLE, message)
        except AppendUnknownError:
            message = "the platform's log has not confirmed the cancellation yet"
            return _outcome(job_id, ResultCode.OUTCOME_UNKNOWN, message)
        return self._durable_outcome(job_id, 1.0)

    def _submit_brief(
        self, cfg: Configuration, request: JobRequest, kind: Kind, wait_s: float
    ) -> Outcome:
        """Run a job that lives with its caller, in the first zone that can."""
        until = time.monotonic() + wait_s
        self._budget.note_first_try()
        answer = None
        for zone in zone_order(cfg, request, kind):
            answer = self._submit_to(zone, request, until) or answer
            if answer is not None and answer.code is not ResultCode.NO_CAPACITY:
                return answer
        if answer is not None:
            return answer
        message = "nobody who can be reached schedules a zone for this work"
        return _outcome(request.job_id, ResultCode.ZONE_UNREACHABLE, message)

    def _submit_to(self, zone: str, request: JobRequest, until: float) -> Outcome | None:
        """Run a job in one zone, trying again while its scheduler changes.

        Returns:
            The answer, None when nobody schedules the zone.
        """
        tries = 0
        sent = False
        vacant_since = None
        while True:
            left_s = max(until - time.monotonic(), 0.0)
            fut = self._ask_zone(zone, SubmitJob(request, left_s), left_s)
            if fut is not None:
                vacant_since = None
                sent = True
                outcome = self._await(fut, left_s)
                if outcome is not None:
                    return outcome
            else:
                vacant_since = vacant_since or time.monotonic()
                if time.monotonic() - vacant_since > self._patience_s(zone):
                    return None
            if time.monotonic() >= until:
                return self._running(request.job_id) if sent else None
            tries += 1
            if fut is not None and not self._budget.take():
                return _outcome(
                    request.job_id, ResultCode.NOT_REACHABLE, "the zone's scheduler did not answer"
                )
            self._backoff.wait(tries)

    def _patience_s(self, zone: str) -> float:
        """Return how long to wait for somebody to schedule a zone."""
        known = any(peer.listed.zone == zone and peer.usable for peer in self._view.entries())
        return _NO_HOLDER_S if known or zone == self._tools.zone else 0.0

    def _await(self, fut: Future, wait_s: float) -> Outcome | None:
        """Wait for a zone's answer.

        Returns:
            The outcome, None when another scheduler should be asked.
        """
        try:
            answer = fut.result(wait_s + _ASK_MARGIN_S)
        except (UnreachableError, FutureTimeoutError):
            return None
        return answer.outcome if isinstance(answer, JobAnswer) else None

    def _ask_zone(
        self, zone: str, message: SubmitJob | AskJob | CancelJob, wait_s: float
    ) -> Future | None:
        """Ask who schedules a zone, here or elsewhere.

        Returns:
            A future for the answer, None when nobody schedules the zone.
        """
        if zone == self._tools.zone and self._office.holding():
            fut: Future = Future()
            self._office.handle(message, fut.set_result)
            return fut
        peer = self._view.holder_of(zone)
        if peer is None:
            return None
        return self._node.ask(peer.listed.name, message, wait_s + _ASK_MARGIN_S)

    def _ask_zones(
        self, job_id: JobId, message: AskJob | CancelJob, wait_s: float
    ) -> Outcome | None:
        """Ask all zones at once for a job that lives with its caller."""
        cfg = self._config()
        futs = [self._ask_zone(zone.name, message, wait_s) for zone in cfg.zones]
        unreachable = any(fut is None for fut in futs)
        for fut in [fut for fut in futs if fut is not None]:
            outcome = self._await(fut, wait_s)
            if outcome is not None and outcome.code is not ResultCode.UNKNOWN_JOB:
                return outcome
            unreachable = unreachable or outcome is None
        if unreachable:
            message = "not every zone can be asked"
            return _outcome(job_id, ResultCode.NOT_REACHABLE, message)
        return None

    def _scheduled(self, zone: str) -> bool:
        """Tell whether somebody who can be reached schedules a zone."""
        if zone == self._tools.zone and self._office.holding():
            return True
        return self._view.holder_of(zone) is not None

    def _running(self, job_id: JobId) -> Outcome:
        """Say that a job has not ended yet."""
        return _outcome(job_id, ResultCode.RUNNING, "not ended yet")

    def _event(self, job_id: JobId, name: str, text: str = "", **cause) -> None:
        """Add an event to the time line."""
        self._tools.ring.add("entry", name, text, job=str(job_id), **cause)


def _outcome(job_id: JobId, code: ResultCode, message: str) -> Outcome:
    """Write an answer without a result."""
    return Outcome(job_id.workspace, job_id.key, code, message)


def error_outcome(job_id: JobId, exc: CatkinknotError) -> Outcome:
    """Turn an error into an answer."""
    return _outcome(job_id, exc.code, exc.message)
