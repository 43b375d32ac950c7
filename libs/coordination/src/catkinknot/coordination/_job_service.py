"""Service for callers: submit, query, cancel and count jobs."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from catkinknot.jobs import (
    CANCEL_SUFFIX,
    Configuration,
    Job,
    JobPhase,
    JobRegistry,
    Queue,
    Workspace,
    select_queue,
    write_job,
)
from catkinknot.model import Clock

from ._store import JOBS, Record, Store
from ._tail import Tail
from .exceptions import StoreError, StoreRefusedError

__all__ = ["Answer", "JobService", "Verdict"]

RETRY_S = 0.05
"""Pause before a failed append is retried."""

REFUSING_STORE_TIMEOUT_S = 0.3
"""Time for which a refusing store is retried before the caller is sent to another instance."""

UNRESPONSIVE_STORE_TIMEOUT_S = 0.75
"""The same for a store that answers neither appends nor reads."""

FIRST_APPEND_TIMEOUT_S = 0.6
"""Shortest timeout of the first append; it doubles after each append without an answer."""

MAX_APPEND_TIMEOUT_S = 2.0
"""Longest timeout of an append; the store refuses an append that it can't begin within it."""

APPEND_TIMEOUT_FACTOR = 3
"""Ratio of the timeout of an append to the duration of the previous one."""

ANSWER_MARGIN_S = 0.2
"""Time reserved for the answer to reach the caller before its deadline."""

STORE_UNAVAILABLE_S = 1.4
"""Time without an answer after which the store is unavailable; a read may take most of it."""

MAX_SILENCE_S = 1.0
"""Longest time for which an append is repeated while no read is answered either.

A slow store answers some read within it.
"""

FIRST_ATTEMPT_MS = 200
"""Longest time that a caller has already waited if the call is its first attempt."""

STORE_UNAVAILABLE = "the store is unavailable"
NO_TIME_LEFT = "the deadline has passed, or this instance stops"

MAX_STATE_AGE_S = 0.05
"""Longest time since the last read of the ledger for a job to be shown without another."""

RETRY_AFTER_S = 1
"""Delay after which a caller should retry a refused call."""


class Verdict(Enum):
    """Outcome of a call."""

    ACCEPTED = "accepted"
    SHOWN = "shown"
    COUNTED = "counted"
    CANCELLED = "cancelled"
    UNKNOWN_QUEUE = "unknown queue"
    UNKNOWN_JOB = "unknown job"
    UNKNOWN_KEY = "unknown key"
    NO_CONFIG = "no configuration"
    REFUSED = "refused, has not run"
    UNSURE = "outcome unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer to a call.

    Attributes:
        verdict: Outcome of the call.
        phase: Phase of the job, None unless a job is shown.
        waiting: Number of jobs that have not begun, 0 unless jobs are counted.
        retry_after_s: Delay after which to retry, 0 unless the call should be
            retried.
    """

    verdict: Verdict
    phase: JobPhase | None = None
    waiting: int = 0
    retry_after_s: int = 0


class JobService:
    """Answers callers from the ledger, on any instance."""

    def __init__(
        self,
        *,
        store: Store,
        tail: Tail,
        registry: JobRegistry,
        config: Callable[[], Configuration | None],
        clock: Clock,
    ) -> None:
        """Create the service.

        Args:
            store: The store.
            tail: Tail of the topic of jobs.
            registry: Registry of the jobs in the ledger.
            config: Returns the configuration in force.
            clock: Source of time.
        """
        self._store = store
        self._tail = tail
        self._registry = registry
        self._config = config
        self._clock = clock
        self._append_duration_s = 0.0
        self._log = logger.bind(part="desk")

    def admit(self, host: str, path: str, key: str) -> Answer | tuple[Queue, Workspace]:
        """Return the queue and workspace of a call, or the answer that rejects it."""
        cfg = self._config()
        if cfg is None:
            return Answer(Verdict.NO_CONFIG, retry_after_s=RETRY_AFTER_S)
        queue = select_queue(cfg, host, path)
        if queue is None:
            return self._reject(Verdict.UNKNOWN_QUEUE, cfg, path)
        workspace = cfg.workspace_of(key)
        if workspace is None and not queue.allows_anonymous:
            return self._reject(Verdict.UNKNOWN_KEY, cfg, path)
        return queue, workspace or Workspace("")

    def submit(self, job: Job, deadline_s: float, *, timeout_ms: int = 0) -> Answer:
        """Store a job durably, or return that it will never run or that this is unknown.

        Args:
            job: The job.
            deadline_s: When the caller stops waiting.
            timeout_ms: Total time for which the caller waits, 0 if unknown.
        """
        if self._registry.get(job.id) is not None:
            self._say(job.id, "A repeated submit names a known job.", Verdict.ACCEPTED)
            return Answer(Verdict.ACCEPTED)
        left_ms = int((deadline_s - self._clock.now()) * 1000)
        if left_ms <= 0:
            verdict, reason = Verdict.UNSURE, NO_TIME_LEFT
        elif self._store_unavailable() and timeout_ms and timeout_ms - left_ms <= FIRST_ATTEMPT_MS:
            # On a first attempt no append of this job can be in flight.
            verdict, reason = Verdict.REFUSED, STORE_UNAVAILABLE
        elif self._store_unavailable() and not self._await_store(deadline_s):
            verdict, reason = Verdict.UNSURE, STORE_UNAVAILABLE
        else:
            verdict, reason = self._append(Record(job.id, write_job(job)), deadline_s)
        self._say(
            job.id,
            "A submit was answered.",
            verdict,
            queue=job.policy.queue,
            workspace=job.workspace,
            left_ms=left_ms,
            reason=reason,
        )
        return Answer(verdict, retry_after_s=RETRY_AFTER_S)

    def _store_unavailable(self) -> bool:
        """Return whether the store is known to be unavailable."""
        return self._clock.now() - self._tail.last_response_s > STORE_UNAVAILABLE_S

    def _await_store(self, deadline_s: float) -> bool:
        """Wait briefly for the store; return whether it is available again.

        A caller that is answered at once retries at once, and only uses up
        its attempts.
        """
        end_s = min(deadline_s, self._clock.now() + UNRESPONSIVE_STORE_TIMEOUT_S)
        while self._store_unavailable() and self._clock.now() + RETRY_S < end_s:
            self._clock.sleep(RETRY_S)
        return not self._store_unavailable()

    def get_status(self, job_id: str, deadline_s: float) -> Answer:
        """Return the phase of a job.

        Args:
            job_id: Identity of the job.
            deadline_s: When the caller stops waiting.
        """
        entry = self._registry.get(job_id)
        if entry is None:
            known = self._refresh(job_id, deadline_s)
            if known is not Verdict.SHOWN:
                return Answer(known, retry_after_s=RETRY_AFTER_S)
            entry = self._registry.get(job_id)
        elif not entry.reported_phase.final and self._clock.now() < deadline_s:
            self._read_updates(job_id)
            entry = self._registry.get(job_id) or entry
        return Answer(Verdict.SHOWN, phase=entry.reported_phase)

    def cancel(self, job_id: str, deadline_s: float) -> Answer:
        """Cancel a job; one that is unknown never runs if its submit is still under way.

        Args:
            job_id: Identity of the job.
            deadline_s: When the caller stops waiting.
        """
        acknowledged = Verdict.CANCELLED
        if self._registry.get(job_id) is None:
            known = self._refresh(job_id, deadline_s)
            if known is Verdict.UNSURE:
                return Answer(known, retry_after_s=RETRY_AFTER_S)
            if known is Verdict.UNKNOWN_JOB:
                acknowledged = known
        if self._is_ended_or_cancelled(job_id):
            return Answer(acknowledged)
        if self._clock.now() >= deadline_s:
            self._say(job_id, "A cancel was answered.", Verdict.UNSURE, reason=NO_TIME_LEFT)
            return Answer(Verdict.UNSURE, retry_after_s=RETRY_AFTER_S)
        stored, reason = self._append(Record(job_id + CANCEL_SUFFIX, b"1"), deadline_s)
        verdict = acknowledged if stored is Verdict.ACCEPTED else Verdict.UNSURE
        self._say(job_id, "A cancel was answered.", verdict, stored=stored.value, reason=reason)
        return Answer(verdict, retry_after_s=0 if verdict is acknowledged else RETRY_AFTER_S)

    def _is_ended_or_cancelled(self, job_id: str) -> bool:
        """Return whether a job has ended, or the ledger holds a cancel of it."""
        entry = self._registry.get(job_id)
        if entry is None:
            return self._registry.is_cancelled_early(job_id)
        return entry.cancelled or entry.phase.final

    def count(self, queue: Queue) -> Answer:
        """Count the jobs of a queue that have not begun."""
        return Answer(Verdict.COUNTED, waiting=self._registry.count_waiting(queue.policy.queue))

    def _append(self, record: Record, deadline_s: float) -> tuple[Verdict, str]:
        """Append a caller's record, with retries for as long as they may help.

        Records are idempotent, so an append without an answer is repeated.
        A caller with time left does better at another instance than waiting
        for this one, unless the store can be read: then it is slow, and just
        as slow for every other instance.

        Returns:
            The outcome, and the reason if the append did not succeed.
        """
        uncertain = False
        began_s = self._clock.now()
        end_s = min(deadline_s, began_s + REFUSING_STORE_TIMEOUT_S)
        append_timeout_s = min(
            max(FIRST_APPEND_TIMEOUT_S, APPEND_TIMEOUT_FACTOR * self._append_duration_s),
            MAX_APPEND_TIMEOUT_S,
        )
        while True:
            sent_s = self._clock.now()
            left_s = max(deadline_s - ANSWER_MARGIN_S - sent_s, RETRY_S)
            try:
                self._store.append(JOBS, [record], timeout_s=min(left_s, append_timeout_s))
                self._append_duration_s = self._clock.now() - sent_s
                return Verdict.ACCEPTED, ""
            except StoreRefusedError as exc:
                reason = exc.message
            except StoreError as exc:
                reason = exc.message
                uncertain = True
                self._append_duration_s = max(self._append_duration_s, self._clock.now() - sent_s)
                end_s = self._retry_end_s(began_s, deadline_s)
                append_timeout_s = min(
                    2 * append_timeout_s,
                    MAX_APPEND_TIMEOUT_S,
                    max(end_s - self._clock.now() - RETRY_S, RETRY_S),
                )
            if self._clock.now() + RETRY_S >= end_s:
                return (Verdict.UNSURE if uncertain else Verdict.REFUSED), reason
            self._clock.sleep(RETRY_S)

    def _retry_end_s(self, began_s: float, deadline_s: float) -> float:
        """Return the time until which an append without an answer is repeated."""
        if self._store_unavailable():
            return min(deadline_s, began_s + UNRESPONSIVE_STORE_TIMEOUT_S)
        end_s = deadline_s - ANSWER_MARGIN_S
        if self._tail.last_response_s < began_s:
            end_s = min(end_s, began_s + MAX_SILENCE_S)
        return end_s

    def _read_updates(self, job_id: str) -> None:
        """Read the ledger's new records before a job is shown as not ended.

        While the store is unavailable, the caller is shown the state that was
        read last.
        """
        if (
            self._store_unavailable()
            or self._clock.now() - self._tail.last_response_s < MAX_STATE_AGE_S
        ):
            return
        try:
            self._tail.step()
        except StoreError as exc:
            self._say(
                job_id, "An older state of a job is shown.", Verdict.SHOWN, reason=exc.message
            )

    def _refresh(self, job_id: str, deadline_s: float) -> Verdict:
        """Read the ledger to its end before a job is reported as unknown."""
        if self._clock.now() >= deadline_s:
            self._say(job_id, "The ledger was not read.", Verdict.UNSURE, reason=NO_TIME_LEFT)
            return Verdict.UNSURE
        try:
            self._tail.catch_up()
        except StoreError as exc:
            self._say(job_id, "The ledger is unavailable.", Verdict.UNSURE, reason=exc.message)
            return Verdict.UNSURE
        if self._registry.get(job_id) is None:
            self._say(job_id, "A call names an unknown job.", Verdict.UNKNOWN_JOB)
            return Verdict.UNKNOWN_JOB
        return Verdict.SHOWN

    def _reject(self, verdict: Verdict, cfg: Configuration, path: str) -> Answer:
        """Reject a call according to the configuration."""
        self._log.bind(path=path, config=cfg.version, outcome=verdict.value).info(
            "A call was rejected."
        )
        return Answer(verdict)

    def _say(self, job_id: str, text: str, verdict: Verdict, **inputs: object) -> None:
        """Log the answer to a call on a job."""
        self._log.bind(
            job=job_id,
            outcome=verdict.value,
            ledger=self._tail.next_offset,
            ledger_age_ms=int((self._clock.now() - self._tail.last_response_s) * 1000),
            **inputs,
        ).info(text)
