"""Bound retries, so that a bad hour does not multiply the load."""

import random
import threading

from catkinknot.model import Clock, SystemClock

__all__ = ["Backoff", "RetryBudget"]


class RetryBudget:
    """Allow retries as a part of first tries, with a small reserve."""

    def __init__(self, *, part: float = 0.2, reserve: float = 10.0) -> None:
        """Start with a full reserve.

        Args:
            part: Retries allowed for each first try.
            reserve: Retries that may be saved up.
        """
        self._part = part
        self._reserve = reserve
        self._left = reserve
        self._lock = threading.Lock()

    def record_first_attempt(self) -> None:
        """Earn a part of a retry."""
        with self._lock:
            self._left = min(self._left + self._part, self._reserve)

    def try_acquire(self) -> bool:
        """Spend one retry if there is one.

        Returns:
            Whether the retry is allowed.
        """
        with self._lock:
            if self._left < 1:
                return False
            self._left -= 1
            return True


class Backoff:
    """Compute growing pauses with full jitter."""

    def __init__(
        self,
        *,
        first_s: float = 0.1,
        longest_s: float = 5.0,
        rng: random.Random | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Start with the shortest pause.

        Args:
            first_s: The longest first pause.
            longest_s: The longest pause at all.
            rng: Where jitter comes from.
            clock: Where time comes from.
        """
        self._first_s = first_s
        self._longest_s = longest_s
        self._rng = rng or random.Random()
        self._clock = clock or SystemClock()

    def pause_s(self, tries: int) -> float:
        """Return the pause after a number of failed tries.

        Args:
            tries: Failed tries so far, one or more.

        Returns:
            Seconds, anywhere up to the bound for that many tries.
        """
        bound = min(self._first_s * 2 ** min(tries - 1, 32), self._longest_s)
        return self._rng.uniform(bound / 4, bound)

    def wait(self, tries: int) -> None:
        """Wait for the pause after a number of failed tries."""
        self._clock.sleep(self.pause_s(tries))
