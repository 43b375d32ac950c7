"""Delete the records of cancels whose jobs never came."""

from collections.abc import Callable
from math import inf

from loguru import logger

from catkinknot.jobs import CANCEL_SUFFIX
from catkinknot.model import Clock

from ._recorder import Recorder
from ._store import JOBS

__all__ = ["EARLY_CANCEL_RETENTION_S", "EarlyCancelPurger"]

EARLY_CANCEL_RETENTION_S = 300.0
"""How long a job that is submitted after its cancel is still cancelled.

A submit is under way for seconds: its caller's deadline, a freeze, a late append.
"""


class EarlyCancelPurger:
    """Deletes each cancel of an unknown job some time after this leader first saw it."""

    def __init__(
        self, early_cancels: Callable[[], frozenset[str]], *, recorder: Recorder, clock: Clock
    ) -> None:
        """Create a purger.

        Args:
            early_cancels: Returns the ids of the cancelled jobs that the ledger does not hold.
            recorder: Writes changes to the store.
            clock: Source of time.
        """
        self._early_cancels = early_cancels
        self._recorder = recorder
        self._clock = clock
        self._seen_s: dict[str, float] = {}
        self._log = logger.bind(part="board")

    def purge(self) -> None:
        """Delete the records whose time is over."""
        now_s = self._clock.now()
        self._seen_s = {job: self._seen_s.get(job, now_s) for job in self._early_cancels()}
        for job, seen_s in self._seen_s.items():
            if now_s - seen_s >= EARLY_CANCEL_RETENTION_S:
                self._seen_s[job] = inf
                self._log.bind(job=job).info("The cancel of a job that never came is deleted.")
                self._recorder.put(JOBS, job + CANCEL_SUFFIX, b"")
