"""Detection of unhealthy servers from the results of their tasks."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["ConsecutiveRule", "DecayedRule", "HealthRule", "ServerHealth", "WindowRule"]


class HealthRule(Protocol):
    """Rule that classifies one server by the results of its tasks."""

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Record one task result, which may be late or out of order."""

    def is_unhealthy(self, now: float) -> bool:
        """Return whether the server should be quarantined."""


@dataclass
class WindowRule:
    """Rule that requires a success ratio over a sliding time window.

    It follows Voldemort's ThresholdFailureDetector: a success ratio, a
    minimum number of requests, and an interval after which old results no
    longer count.

    Attributes:
        threshold: Success ratio below which the server is unhealthy.
        minimum: Number of results in the window below which the server
            counts as healthy.
        window_s: Seconds that a result counts.
    """

    threshold: float = 0.6
    minimum: int = 5
    window_s: float = 60.0
    _results: deque = field(default_factory=deque, repr=False)

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Record one task result."""
        self._results.append((at_s, ok))

    def is_unhealthy(self, now: float) -> bool:
        """Return whether the success ratio in the window is too low."""
        counted = [ok for at_s, ok in self._results if now - at_s <= self.window_s]
        while self._results and now - self._results[0][0] > self.window_s:
            self._results.popleft()
        if len(counted) < self.minimum:
            return False
        return sum(counted) / len(counted) < self.threshold


@dataclass
class ConsecutiveRule:
    """Rule that quarantines a server after consecutive failures.

    Attributes:
        limit: Number of consecutive failures that make a server unhealthy.
    """

    limit: int = 3
    _consecutive_failures: int = 0

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Record one task result."""
        self._consecutive_failures = 0 if ok else self._consecutive_failures + 1

    def is_unhealthy(self, now: float) -> bool:
        """Return whether the last `limit` results were failures."""
        return self._consecutive_failures >= self.limit


@dataclass
class DecayedRule:
    """Rule that weighs failed jobs against successes with exponential decay.

    A job counts once however often it fails, so that a single job that can
    never run does not make a healthy server look unhealthy.

    Attributes:
        threshold: Share of failures from which a server is unhealthy.
        minimum: Total weight of results below which the server counts as
            healthy.
        half_life_s: Seconds after which the weight of a result has halved.
    """

    threshold: float = 0.6
    minimum: float = 2.5
    half_life_s: float = 30.0
    _failed_at_s: dict[str, float] = field(default_factory=dict, repr=False)
    _success_weight: float = 0.0
    _success_at_s: float = 0.0

    def record(self, ok: bool, job: str, at_s: float) -> None:
        """Record one task result."""
        if not ok:
            self._failed_at_s[job] = max(at_s, self._failed_at_s.get(job, at_s))
            return
        if at_s >= self._success_at_s:
            self._success_weight = (
                self._success_weight * self._weight(at_s - self._success_at_s) + 1
            )
            self._success_at_s = at_s
        else:
            self._success_weight += self._weight(self._success_at_s - at_s)

    def is_unhealthy(self, now: float) -> bool:
        """Return whether failures of different jobs reach the threshold."""
        weights = {job: self._weight(now - at_s) for job, at_s in self._failed_at_s.items()}
        self._failed_at_s = {
            job: self._failed_at_s[job] for job, weight in weights.items() if weight > 0.01
        }
        failures = sum(weights.values())
        successes = self._success_weight * self._weight(now - self._success_at_s)
        return (
            failures + successes >= self.minimum
            and failures / (failures + successes) >= self.threshold
        )

    def _weight(self, age_s: float) -> float:
        """Return the remaining weight of a result of the given age."""
        return 0.5 ** (max(age_s, 0.0) / self.half_life_s)


class ServerHealth:
    """Quarantine of servers that fail many jobs, with later retries."""

    def __init__(self, *, rule: type[HealthRule] = DecayedRule, probe_after_s: float = 30.0):
        """Treat every server as healthy at first.

        Args:
            rule: Rule that decides whether a server is unhealthy.
            probe_after_s: Seconds until a quarantined server is retried;
                doubled for each quarantine that follows without a success, to
                at most 64 times this value.
        """
        self._rule = rule
        self._probe_after_s = probe_after_s
        self._rules: dict[str, HealthRule] = {}
        self._quarantined_until_s: dict[str, float] = {}
        self._quarantine_counts: dict[str, int] = {}

    def record(self, server: str, ok: bool, job: str, now: float) -> bool:
        """Record the result of one task.

        Args:
            server: The server that ran the task.
            ok: Whether the task succeeded.
            job: The job that the task belongs to.
            now: Clock time when the task ended, in seconds.

        Returns:
            Whether this result has put the server into quarantine.
        """
        rule = self._rules.setdefault(server, self._rule())
        rule.record(ok, job, now)
        if server in self._quarantined_until_s:
            return False
        if ok:
            self._quarantine_counts.pop(server, None)
        if not rule.is_unhealthy(now):
            return False
        count = self._quarantine_counts.get(server, 0)
        self._quarantine_counts[server] = count + 1
        self._quarantined_until_s[server] = now + self._probe_after_s * 2 ** min(count, 6)
        return True

    def release_expired(self, now: float) -> list[str]:
        """End expired quarantines and return their servers with a clean record."""
        due = [server for server, until_s in self._quarantined_until_s.items() if now >= until_s]
        for server in due:
            del self._quarantined_until_s[server]
            self._rules[server] = self._rule()
        return due

    def quarantined(self) -> dict[str, float]:
        """Return the quarantined servers and when each quarantine ends, in seconds."""
        return dict(self._quarantined_until_s)
