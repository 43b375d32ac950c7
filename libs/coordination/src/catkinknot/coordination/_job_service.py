"""Take the calls of clients: submit, look, cancel, count."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from catkinknot.jobs import (
    CANCEL_SUFFIX,
    Configuration,
    Job,
    JobBook,
    JobPhase,
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
"""Pause before a refused append is tried again."""

REFUSING_STORE_TIMEOUT_S = 0.3
"""How long a store that refuses is tried before the caller is told to try elsewhere."""

UNRESPONSIVE_STORE_TIMEOUT_S = 0.75
"""The same for a store that does not answer and can't be read either."""

FIRST_APPEND_TIMEOUT_S = 0.6
"""How long the first append waits at least; each further one waits twice as long."""

MAX_APPEND_TIMEOUT_S = 2.0
"""How long it waits at most; the store refuses what it can't begin within this."""

APPEND_TIMEOUT_FACTOR = 3
"""How much longer than the last append took the next one may take."""

ANSWER_MARGIN_S = 0.2
"""Time kept for the answer to reach the caller before its deadline."""

STORE_UNAVAILABLE_S = 1.4
"""A store that has answered nothing for this long is away; a read may wait most of it."""

FIRST_ATTEMPT_MS = 200
"""A call that has used up less of its time than this is its caller's first."""

STORE_UNAVAILABLE = "the store is away"

MAX_STATE_AGE_S = 0.05
"""What was read from the ledger this lately is shown without another read."""

RETRY_AFTER_S = 1
"""When a caller should come back after a refusal, in seconds."""


class Verdict(Enum):
    """Name how a call ends."""

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
    """Answer a call.

    Attributes:
        verdict: How it ended.
        phase: The job's phase, where one is shown.
        waiting: Jobs that have not begun, where they are counted.
        retry_after_s: When to come back after a refusal.
    """

    verdict: Verdict
    phase: JobPhase | None = None
    waiting: int = 0
    retry_after_s: int = 0


class JobService:
    """Answer callers from the ledger, at any instance."""

    def __init__(
        self,
        *,
        store: Store,
        tail: Tail,
        registry: JobBook,
        config: Callable[[], Configuration | None],
        clock: Clock,
    ) -> None:
        """Keep the parts.

        Args:
            store: The store.
            tail: Follows the topic of jobs.
            registry: Knows the jobs.
            config: Returns the configuration in force.
            clock: Where time comes from.
        """
        self._store = store
        self._tail = tail
        self._book = registry
        self._config = config
        self._clock = clock
        self._append_duration_s = 0.0
        self._log = logger.bind(part="desk")

    def admit(self, host: str, path: str, key: str) -> Answer | tuple[Queue, Workspace]:
        """Find the queue and the workspace of a call, or say why there is none."""
        cfg = self._config()
        if cfg is None:
            return Answer(Verdict.NO_CONFIG, retry_after_s=RETRY_AFTER_S)
        queue = select_queue(cfg, host, path)
        if queue is None:
            return self._reject(Verdict.UNKNOWN_QUEUE, cfg, path)
        workspace = cfg.workspace_of(key)
        if workspace is None and not queue.open:
            return self._reject(Verdict.UNKNOWN_KEY, cfg, path)
        return queue, workspace or Workspace("")

    def submit(self, job: Job, deadline_s: float, *, timeout_ms: int = 0) -> Answer:
        """Accept a job for good, or say that it never runs.

        Args:
            job: The job.
            deadline_s: When its caller stops waiting.
            timeout_ms: How long the caller waits in all, 0 if that is unknown.
        """
        if self._book.get(job.id) is not None:
            self._say(job.id, "A repeated submit is the same job.", Verdict.ACCEPTED)
            return Answer(Verdict.ACCEPTED)
        left_ms = int((deadline_s - self._clock.now()) * 1000)
        if self._store_unavailable() and timeout_ms and timeout_ms - left_ms <= FIRST_ATTEMPT_MS:
            # Nothing of this job can be on its way into the store yet.
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
        """Tell whether the store is known not to answer."""
        return self._clock.now() - self._tail.last_response_s > STORE_UNAVAILABLE_S

    def _await_store(self, deadline_s: float) -> bool:
        """Wait a moment for the store; return whether it is back.

        A caller that tries again at once would only use up its tries.
        """
        end_s = min(deadline_s, self._clock.now() + UNRESPONSIVE_STORE_TIMEOUT_S)
        while self._store_unavailable() and self._clock.now() + RETRY_S < end_s:
            self._clock.sleep(RETRY_S)
        return not self._store_unavailable()

    def get_status(self, job_id: str) -> Answer:
        """Say in which phase a job is."""
        entry = self._book.get(job_id)
        if entry is None:
            known = self._refresh(job_id)
            if known is not Verdict.SHOWN:
                return Answer(known, retry_after_s=RETRY_AFTER_S)
            entry = self._book.get(job_id)
        elif not entry.shown.final:
            self._read_updates(job_id)
            entry = self._book.get(job_id) or entry
        return Answer(Verdict.SHOWN, phase=entry.shown)

    def cancel(self, job_id: str, deadline_s: float) -> Answer:
        """Cancel a job.

        Args:
            job_id: Which one.
            deadline_s: When its caller stops waiting.
        """
        if self._book.get(job_id) is None:
            known = self._refresh(job_id)
            if known is not Verdict.SHOWN:
                return Answer(known, retry_after_s=RETRY_AFTER_S)
        entry = self._book.get(job_id)
        if entry.cancelled or entry.phase.final:
            return Answer(Verdict.CANCELLED)
        verdict, reason = self._append(Record(job_id + CANCEL_SUFFIX, b"1"), deadline_s)
        self._say(job_id, "A cancel was answered.", verdict, reason=reason)
        if verdict is Verdict.ACCEPTED:
            return Answer(Verdict.CANCELLED)
        return Answer(Verdict.UNSURE, retry_after_s=RETRY_AFTER_S)

    def count(self, queue: Queue) -> Answer:
        """Count the jobs of a queue that have not begun."""
        return Answer(Verdict.COUNTED, waiting=self._book.count_waiting(queue.policy.queue))

    def _append(self, record: Record, deadline_s: float) -> tuple[Verdict, str]:
        """Append a caller's record, for as long as it is likely to help.

        A repeated record changes nothing, so an append without an answer is
        simply made again. A caller with time left does better at another
        instance than waiting here, unless the store can be read: then it is
        slow, and as slow for every other instance.

        Returns:
            How it ended, and why if it did not succeed.
        """
        unsure = False
        began_s = self._clock.now()
        end_s = min(deadline_s, began_s + REFUSING_STORE_TIMEOUT_S)
        patience_s = min(
            max(FIRST_APPEND_TIMEOUT_S, APPEND_TIMEOUT_FACTOR * self._append_duration_s),
            MAX_APPEND_TIMEOUT_S,
        )
        while True:
            sent_s = self._clock.now()
            left_s = max(deadline_s - ANSWER_MARGIN_S - sent_s, RETRY_S)
            try:
                self._store.append(JOBS, [record], timeout_s=min(left_s, patience_s))
                self._append_duration_s = self._clock.now() - sent_s
                return Verdict.ACCEPTED, ""
            except StoreRefusedError as exc:
                reason = exc.message
            except StoreError as exc:
                reason = exc.message
                unsure = True
                self._append_duration_s = max(self._append_duration_s, self._clock.now() - sent_s)
                patience_s = min(2 * patience_s, MAX_APPEND_TIMEOUT_S)
                end_s = self._retry_end_s(began_s, deadline_s)
            if self._clock.now() + RETRY_S >= end_s:
                return (Verdict.UNSURE if unsure else Verdict.REFUSED), reason
            self._clock.sleep(RETRY_S)

    def _retry_end_s(self, began_s: float, deadline_s: float) -> float:
        """Return until when a store that did not answer is tried again."""
        if self._store_unavailable():
            return min(deadline_s, began_s + UNRESPONSIVE_STORE_TIMEOUT_S)
        return deadline_s - ANSWER_MARGIN_S

    def _read_updates(self, job_id: str) -> None:
        """Read on in the ledger before a job is shown as not ended.

        While the store is away the caller is shown what was read last.
        """
        if (
            self._store_unavailable()
            or self._clock.now() - self._tail.last_response_s < MAX_STATE_AGE_S
        ):
            return
        try:
            self._tail.step()
        except StoreError as exc:
            self._say(job_id, "An older state is shown.", Verdict.SHOWN, reason=exc.message)

    def _refresh(self, job_id: str) -> Verdict:
        """Read all that the ledger holds before a job is called unknown."""
        try:
            self._tail.catch_up()
        except StoreError as exc:
            self._say(job_id, "The ledger is away.", Verdict.UNSURE, reason=exc.message)
            return Verdict.UNSURE
        if self._book.get(job_id) is None:
            self._say(job_id, "A call names no job.", Verdict.UNKNOWN_JOB)
            return Verdict.UNKNOWN_JOB
        return Verdict.SHOWN

    def _reject(self, verdict: Verdict, cfg: Configuration, path: str) -> Answer:
        """Refuse a call by the configuration."""
        self._log.bind(path=path, config=cfg.version, outcome=verdict.value).info(
            "A call was denied."
        )
        return Answer(verdict)

    def _say(self, job_id: str, text: str, verdict: Verdict, **inputs: object) -> None:
        """Log one decision on a caller's job."""
        self._log.bind(
            job=job_id,
            outcome=verdict.value,
            ledger=self._tail.next_offset,
            ledger_age_ms=int((self._clock.now() - self._tail.last_response_s) * 1000),
            **inputs,
        ).info(text)
