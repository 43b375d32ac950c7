"""Measure recent usage, so that the user of least usage is served next."""

__all__ = ["FairShare"]


class FairShare:
    """Accelerator-seconds by name, with exponential decay."""

    def __init__(self, *, half_life_s: float = 600.0) -> None:
        """Create a record without usage.

        Args:
            half_life_s: Seconds after which usage counts half.
        """
        self._half_life_s = half_life_s
        self._used: dict[str, tuple[float, float]] = {}

    def charge(self, name: str, accelerator_s: float, now: float) -> None:
        """Add usage.

        Args:
            name: Name of the user, such as a workspace or caller.
            accelerator_s: Measured accelerator-seconds.
            now: The current time in seconds.
        """
        self._used[name] = (self.used(name, now) + accelerator_s, now)

    def used(self, name: str, now: float) -> float:
        """Return the decayed usage.

        Args:
            name: Name of the user.
            now: The current time in seconds.

        Returns:
            Accelerator-seconds.
        """
        amount, last_s = self._used.get(name, (0.0, now))
        return amount * 0.5 ** ((now - last_s) / self._half_life_s)

    def prune_idle(self, now: float, *, below: float = 0.01) -> None:
        """Remove names whose usage has decayed to almost nothing.

        Args:
            now: The current time in seconds.
            below: Accelerator-seconds below which a name is removed.
        """
        idle = [name for name in self._used if self.used(name, now) < below]
        for name in idle:
            del self._used[name]
