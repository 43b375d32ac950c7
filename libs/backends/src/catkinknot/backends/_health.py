"""Tell bad servers from bad jobs by what ends well and what fails."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["ConsecutiveRule", "DecayedRule", "HealthRule", "ServerHealth", "WindowRule"]


class HealthRule(Protocol):
    """Judge one server from the ends of its tasks."""

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Add one end; it may be late or out of order."""

    def bad(self, now: float) -> bool:
        """Tell whether the server should be set aside."""


@dataclass
class WindowRule:
    """Ask for a part of successes over a time window, from a minimum count on.

    This is the rule of Voldemort's ThresholdFailureDetector: a success ratio,
    a minimum number of requests, and an interval after which the past no
    longer counts.

    Attributes:
        threshold: The least part of successes.
        minimum: The least number of ends to judge by.
        window_s: How long an end counts.
    """

    threshold: float = 0.6
    minimum: int = 5
    window_s: float = 60.0
    _ends: deque = field(default_factory=deque, repr=False)

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Add one end."""
        self._ends.append((at_s, ok))

    def bad(self, now: float) -> bool:
        """Tell whether too few ends of the window were good."""
        counted = [ok for at_s, ok in self._ends if now - at_s <= self.window_s]
        while self._ends and now - self._ends[0][0] > self.window_s:
            self._ends.popleft()
        if len(counted) < self.minimum:
            return False
        return sum(counted) / len(counted) < self.threshold


@dataclass
class ConsecutiveRule:
    """Set a server aside after a number of failures in a row.

    Attributes:
        limit: How many failures.
    """

    limit: int = 3
    _row: int = 0

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Add one end."""
        self._row = 0 if ok else self._row + 1

    def bad(self, now: float) -> bool:
        """Tell whether enough failures came in a row."""
        return self._row >= self.limit


@dataclass
class DecayedRule:
    """Weigh failures of different jobs against successes, halving the past.

    A job counts once however often it fails, so that one job that can never
    run does not condemn a good server.

    Attributes:
        threshold: The part of failures from which a server is bad.
        minimum: The least weight of different jobs to judge by.
        half_life_s: Seconds after which an end counts half.
    """

    threshold: float = 0.6
    minimum: float = 2.5
    half_life_s: float = 30.0
    _failed: dict[str, float] = field(default_factory=dict, repr=False)
    _good: float = 0.0
    _good_at_s: float = 0.0

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Add one end."""
        if not ok:
            self._failed[job] = max(at_s, self._failed.get(job, at_s))
            return
        if at_s >= self._good_at_s:
            self._good = self._good * self._kept(at_s - self._good_at_s) + 1
            self._good_at_s = at_s
        else:
            self._good += self._kept(self._good_at_s - at_s)

    def bad(self, now: float) -> bool:
        """Tell whether failures of different jobs prevail."""
        weights = {job: self._kept(now - at_s) for job, at_s in self._failed.items()}
        self._failed = {job: self._failed[job] for job, kept in weights.items() if kept > 0.01}
        failures = sum(weights.values())
        good = self._good * self._kept(now - self._good_at_s)
        return failures + good >= self.minimum and failures / (failures + good) >= self.threshold

    def _kept(self, age_s: float) -> float:
        """Return how much an end of some age still counts."""
        return 0.5 ** (max(age_s, 0.0) / self.half_life_s)


class ServerHealth:
    """Set servers aside that fail many jobs, and try them again later."""

    def __init__(self, *, rule: type[HealthRule] = DecayedRule, probe_after_s: float = 30.0):
        """Start with every server good.

        Args:
            rule: How to judge a server.
            probe_after_s: Seconds until a server set aside gets one more try;
                doubled each time that it fails again.
        """
        self._rule = rule
        self._probe_after_s = probe_after_s
        self._rules: dict[str, HealthRule] = {}
        self._aside_until_s: dict[str, float] = {}
        self._times: dict[str, int] = {}

    def record(self, server: str, ok: bool, job: str, now: float) -> bool:
        """Add the end of one task.

        Args:
            server: Where it ran.
            ok: Whether it ended well.
            job: Whose task it was.
            now: When it ended, in seconds.

        Returns:
            Whether the server has just been set aside.
        """
        rule = self._rules.setdefault(server, self._rule())
        rule.record(ok, job, now)
        if server in self._aside_until_s:
            return False
        if ok:
            self._times.pop(server, None)
        if not rule.bad(now):
            return False
        times = self._times.get(server, 0)
        self._times[server] = times + 1
        self._aside_until_s[server] = now + self._probe_after_s * 2 ** min(times, 6)
        return True

    def release_expired(self, now: float) -> list[str]:
        """Return the servers that should get one more try, and forget their past."""
        due = [server for server, until in self._aside_until_s.items() if now >= until]
        for server in due:
            del self._aside_until_s[server]
            self._rules[server] = self._rule()
        return due

    def quarantined(self) -> dict[str, float]:
        """Return the servers set aside and until when."""
        return dict(self._aside_until_s)
