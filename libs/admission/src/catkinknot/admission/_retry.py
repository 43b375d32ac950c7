"""Limit retries, so that failures do not multiply the load."""

import random
import threading

from catkinknot.model import Clock, SystemClock

__all__ = ["Backoff", "RetryBudget"]


class RetryBudget:
    """Token bucket that allows retries as a fraction of first attempts."""

    def __init__(self, *, ratio: float = 0.2, reserve: float = 10.0) -> None:
        """Create a budget with a full reserve.

        Args:
            ratio: Retries earned by each first attempt.
            reserve: Most retries that can be saved up.
        """
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Earn a fraction of a retry for a first attempt."""
        with self._lock:
            self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_acquire(self) -> bool:
        """Spend one retry if the budget has one.

        Returns:
            Whether the retry is allowed.
        """
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(
        self,
        *,
        first_s: float = 0.1,
        longest_s: float = 5.0,
        rng: random.Random | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Set the bounds of the pauses.

        Args:
            first_s: Upper bound of the first pause.
            longest_s: Upper bound of all pauses.
            rng: Source of the jitter.
            clock: Clock to sleep on.
        """
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng or random.Random()
        self._clock = clock or SystemClock()

    def pause_s(self, failures: int) -> float:
        """Return a random pause after a number of failed attempts.

        Args:
            failures: Failed attempts so far, one or more.

        Returns:
            Seconds between a quarter of the bound and the bound, which doubles
            with each failure.
        """
        bound_s = min(self._first_s * 2 ** min(failures - 1, 32), self._longest_s)
        return self._rng.uniform(bound_s / 4, bound_s)

    def wait(self, failures: int) -> None:
        """Sleep for the pause after a number of failed attempts."""
        self._clock.sleep(self.pause_s(failures))
