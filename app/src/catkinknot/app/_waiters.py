"""Keep who waits for a job, and the answers given lately."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from catkinknot.model import JobId, Outcome, ResultCode

__all__ = ["RecentOutcomes", "Waiters"]

_RETENTION_S = 300.0
_MAX_OUTCOME_COUNT = 20_000

OutcomeCallback = Callable[[Outcome | None], None]
"""Take the outcome; None says that this scheduler no longer knows the job."""


@dataclass(frozen=True)
class _Waiter:
    """Hold one who waits.

    Attributes:
        answer: Takes the outcome.
        until_s: When to answer that the job is still running.
    """

    answer: OutcomeCallback
    until_s: float


class Waiters:
    """Answer everyone who waits for a job, once."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._by_job: dict[JobId, list[_Waiter]] = {}

    def add(self, job_id: JobId, answer: OutcomeCallback, until_s: float) -> None:
        """Let somebody wait.

        Args:
            job_id: The job.
            answer: Takes the outcome.
            until_s: When to answer that the job is still running.
        """
        self._by_job.setdefault(job_id, []).append(_Waiter(answer, until_s))

    def finish(self, outcome: Outcome) -> None:
        """Answer all who wait for a job."""
        for waiter in self._by_job.pop(outcome.job_id, []):
            waiter.answer(outcome)

    def expire(self, now: float) -> None:
        """Answer those who have waited long enough."""
        for job_id in list(self._by_job):
            late = [w for w in self._by_job[job_id] if now >= w.until_s]
            if not late:
                continue
            left = [w for w in self._by_job[job_id] if now < w.until_s]
            self._by_job[job_id] = left
            if not left:
                del self._by_job[job_id]
            outcome = Outcome(job_id.workspace, job_id.key, ResultCode.RUNNING, "not ended yet")
            for waiter in late:
                waiter.answer(outcome)

    def abandon(self) -> None:
        """Tell all that this scheduler no longer knows their jobs."""
        waiting, self._by_job = self._by_job, {}
        for waiters in waiting.values():
            for waiter in waiters:
                waiter.answer(None)


class RecentOutcomes:
    """Remember the outcomes of jobs that are not on the log, for repeats."""

    def __init__(self) -> None:
        """Start empty."""
        self._outcomes: OrderedDict[JobId, tuple[float, str, Outcome]] = OrderedDict()

    def keep(self, digest: str, outcome: Outcome, now: float) -> None:
        """Remember an outcome.

        Args:
            digest: The digest of the request, empty when it is not known.
            outcome: The outcome.
            now: The present time in seconds.
        """
        self._outcomes[outcome.job_id] = (now, digest, outcome)
        self._outcomes.move_to_end(outcome.job_id)
        while self._outcomes and (
            len(self._outcomes) > _MAX_OUTCOME_COUNT or self._oldest_expiry_s() < now
        ):
            self._outcomes.popitem(last=False)

    def find(self, job_id: JobId) -> tuple[str, Outcome] | None:
        """Return the digest and the outcome of a job, or None."""
        found = self._outcomes.get(job_id)
        return None if found is None else found[1:]

    def _oldest_expiry_s(self) -> float:
        """Return when the oldest outcome is to be forgotten."""
        recorded_s, _, _ = next(iter(self._outcomes.values()))
        return recorded_s + _RETENTION_S
