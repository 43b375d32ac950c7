"""Measure who used how much, so that the next turn goes to who had least."""

__all__ = ["FairShare"]


class FairShare:
    """Keep accelerator-seconds by name, halving the past steadily."""

    def __init__(self, *, half_life_s: float = 600.0) -> None:
        """Start with no use.

        Args:
            half_life_s: Seconds after which past use counts half.
        """
        self._half_life_s = half_life_s
        self._used: dict[str, tuple[float, float]] = {}

    def charge(self, name: str, accelerator_s: float, now: float) -> None:
        """Add use.

        Args:
            name: Who used it.
            accelerator_s: Accelerator-seconds, measured.
            now: The present time in seconds.
        """
        self._used[name] = (self.used(name, now) + accelerator_s, now)

    def used(self, name: str, now: float) -> float:
        """Return the use that still counts.

        Args:
            name: Who used it.
            now: The present time in seconds.

        Returns:
            Accelerator-seconds.
        """
        amount, then = self._used.get(name, (0.0, now))
        return amount * 0.5 ** ((now - then) / self._half_life_s)

    def prune_idle(self, now: float, *, below: float = 0.01) -> None:
        """Drop names whose use no longer counts.

        Args:
            now: The present time in seconds.
            below: Accelerator-seconds that are too few to matter.
        """
        idle = [name for name in self._used if self.used(name, now) < below]
        for name in idle:
            del self._used[name]
