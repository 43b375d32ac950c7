"""Health of the service, assessed by the answers that callers received.

A lane is the jobs of one kind in one workspace.
"""

import threading
from collections import deque
from collections.abc import Iterable
from typing import Literal

from pydantic.dataclasses import dataclass

from catkinknot.model import Clock, Outcome, ResultCode, SystemClock

__all__ = ["LaneCounts", "LaneHealth", "ServiceWindow", "evaluate_lane"]

_WINDOW_S = 120.0
"""Age after which an answer no longer counts."""

_DOWN_SHARE = 0.1
"""Share of good answers up to which a lane is down."""

_UP_SHARE = 0.95
"""Share of good answers from which a lane is up."""

_UNRELATED_CODES = frozenset(
    {
        ResultCode.BAD_JSON,
        ResultCode.BAD_FIELD,
        ResultCode.UNKNOWN_WORKSPACE,
        ResultCode.UNKNOWN_KIND,
        ResultCode.GANG_TOO_LARGE,
        ResultCode.KEY_REUSED,
        ResultCode.JOB_FAILED,
        ResultCode.JOB_CANNOT_RUN,
        ResultCode.CALLER_LIMIT,
        ResultCode.CANCELLED,
        ResultCode.STOPPED,
        ResultCode.ACCEPTED,
        ResultCode.RUNNING,
    }
)
"""Codes that say nothing about the health of the service."""

_REASONS = {
    ResultCode.QUEUE_FULL: ("more work arrives than can be queued", "Ask callers to wait."),
    ResultCode.DEADLINE_UNREACHABLE: (
        "more work arrives than the servers can finish in time",
        "Add servers or raise the workspace's guarantee.",
    ),
    ResultCode.DEADLINE_PASSED: (
        "jobs wait beyond their deadline",
        "Add servers or raise the workspace's guarantee.",
    ),
    ResultCode.NO_CONFIG: ("no configuration is in force", "Publish a configuration."),
    ResultCode.ZONE_UNREACHABLE: (
        "nobody schedules a zone that the work needs",
        "Check the zones below and start an instance there.",
    ),
    ResultCode.LOG_UNAVAILABLE: (
        "the platform's log does not answer, so durable jobs are refused",
        "Call the platform's operators.",
    ),
    ResultCode.OUTCOME_UNKNOWN: (
        "the outcome of some jobs is not known yet",
        "Check the servers below; the outcome is resolved once they answer.",
    ),
    ResultCode.NOT_REACHABLE: (
        "instances or servers do not answer",
        "Check the zones and servers below.",
    ),
    ResultCode.NO_CAPACITY: ("no server can run the jobs", "Check the servers below."),
    ResultCode.LOST: ("servers were lost while jobs ran on them", "Check the servers below."),
    ResultCode.LEAVING: ("an instance is leaving", "Nothing; callers retry elsewhere."),
}


@dataclass
class LaneCounts:
    """Counts of the answers that the callers of one lane received.

    Attributes:
        workspace: Workspace of the lane.
        kind: Job kind of the lane.
        good: Results within the deadline.
        late: Results after the deadline.
        bad: Answers that report a failure of the service, by code.
        oldest_wait_s: Known wait of the job that has waited longest.
        since_s: Start of the degradation in seconds since 1970, 0 for none.
    """

    workspace: str
    kind: str
    good: int = 0
    late: int = 0
    bad: dict[int, int] | None = None
    oldest_wait_s: float = 0.0
    since_s: float = 0.0


@dataclass(frozen=True)
class LaneHealth:
    """Health of one lane.

    Attributes:
        workspace: Workspace of the lane.
        kind: Job kind of the lane.
        state: Whether the lane is up, partly up, down, or idle.
        since_s: Start of the degradation in seconds since 1970, 0 for none.
        why: Reason for the state, as a short sentence.
        what_to_do: Recommended action, as a short sentence.
    """

    workspace: str
    kind: str
    state: Literal["up", "partly", "down", "idle"]
    since_s: float
    why: str
    what_to_do: str


class ServiceWindow:
    """Sliding window of the answers that this instance gave to callers."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Create an empty window.

        Args:
            clock: Source of time.
        """
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._answers: dict[tuple[str, str], deque[tuple[float, str, int]]] = {}
        self._degraded: dict[tuple[str, str], tuple[bool, float]] = {}

    def record(self, kind: str, outcome: Outcome, *, took_s: float, deadline_s: float) -> None:
        """Add an answer.

        Args:
            kind: Job kind.
            outcome: Outcome that the caller received.
            took_s: Seconds from the request to the answer.
            deadline_s: Seconds after which the answer is useless.
        """
        if outcome.code in _UNRELATED_CODES:
            return
        grade = "bad"
        if outcome.code is ResultCode.DONE:
            grade = "good" if took_s <= deadline_s else "late"
        row = (self._clock.now(), grade, int(outcome.code))
        with self._lock:
            lane = self._answers.setdefault((outcome.workspace, kind), deque(maxlen=5000))
            lane.append(row)

    def counts(self) -> list[LaneCounts]:
        """Return the counts of each lane within the window."""
        oldest = self._clock.now() - _WINDOW_S
        with self._lock:
            found = []
            for name, lane in self._answers.items():
                while lane and lane[0][0] < oldest:
                    lane.popleft()
                counts = _count(*name, lane)
                counts.since_s = self._degraded_since_s(name, counts)
                found.append(counts)
            return found

    def _degraded_since_s(self, name: tuple[str, str], counts: LaneCounts) -> float:
        """Return when a lane degraded on this instance in seconds since 1970, 0 if it is up."""
        degraded = _good_share(counts) < _UP_SHARE
        was_degraded, at_s = self._degraded.get(name, (False, 0.0))
        if degraded != was_degraded:
            at_s = self._clock.wall() if degraded else 0.0
            self._degraded[name] = (degraded, at_s)
        return at_s


def evaluate_lane(
    workspace: str,
    kind: str,
    counts: Iterable[LaneCounts],
    *,
    deadline_s: float,
    blocked_by_log: bool = False,
) -> LaneHealth:
    """Assess the health of one lane.

    Args:
        workspace: Workspace of the lane.
        kind: Job kind of the lane.
        counts: Counts of the lane from each instance.
        deadline_s: Seconds after which an answer is useless. If the oldest job
            has waited longer, it counts as one more late answer.
        blocked_by_log: Whether the lane's jobs need the platform's log and no
            instance gets an answer from the log.

    Returns:
        The state with its reason.
    """
    good = late = 0
    bad: dict[int, int] = {}
    waited_s = 0.0
    since: list[float] = []
    for item in counts:
        since += [item.since_s] if item.since_s else []
        good += item.good
        late += item.late
        waited_s = max(waited_s, item.oldest_wait_s)
        for code, number in (item.bad or {}).items():
            bad[code] = bad.get(code, 0) + number
    if waited_s > deadline_s:
        late += 1
    total = good + late + sum(bad.values())
    if total == 0:
        return LaneHealth(workspace, kind, "idle", 0.0, "nobody sent such jobs lately", "Nothing.")
    good_share = good / total
    if blocked_by_log:
        bad = {int(ResultCode.LOG_UNAVAILABLE): total}
    why, what_to_do = _reason(bad, late, good_share)
    if good_share >= _UP_SHARE:
        return LaneHealth(workspace, kind, "up", 0.0, "callers get their results", "Nothing.")
    state = "down" if good_share <= _DOWN_SHARE else "partly"
    return LaneHealth(workspace, kind, state, min(since, default=0.0), why, what_to_do)


def _reason(bad: dict[int, int], late: int, good_share: float) -> tuple[str, str]:
    """Return the most frequent reason for answers that are not good, and what to do about it."""
    if bad and max(bad.values()) >= late:
        code = ResultCode(max(bad, key=lambda code: bad[code]))
        default = (f"callers get code {int(code)} {code.name}", "See the table of codes.")
        why, what_to_do = _REASONS.get(code, default)
    else:
        why, what_to_do = "results come after their deadline", "Add servers or raise the guarantee."
    return f"{why} ({good_share:.0%} served)", what_to_do


def _good_share(counts: LaneCounts) -> float:
    """Return the share of good answers, 1 when there were no answers."""
    total = counts.good + counts.late + sum((counts.bad or {}).values())
    return counts.good / total if total else 1.0


def _count(workspace: str, kind: str, lane: Iterable[tuple[float, str, int]]) -> LaneCounts:
    """Count the answers of one lane."""
    counts = LaneCounts(workspace, kind, bad={})
    for _, grade, code in lane:
        if grade == "good":
            counts.good += 1
        elif grade == "late":
            counts.late += 1
        else:
            counts.bad[code] = counts.bad.get(code, 0) + 1
    return counts
