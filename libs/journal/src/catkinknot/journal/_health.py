"""Answer "is it down?" from what callers got."""

import threading
from collections import deque
from collections.abc import Iterable
from typing import Literal

from pydantic.dataclasses import dataclass

from catkinknot.model import Clock, Outcome, ResultCode, SystemClock

__all__ = ["LaneCounts", "LaneHealth", "ServiceWindow", "evaluate_lane"]

_WINDOW_S = 120.0
"""Judge by what callers got in this time."""

_DOWN_PART = 0.1
"""Below this part of good answers a kind of work is down."""

_UP_PART = 0.95
"""From this part of good answers on it is up."""

_CALLERS_FAULT = frozenset(
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
"""Answers that say nothing about the service."""

_REASONS = {
    ResultCode.QUEUE_FULL: ("more work arrives than can be queued", "Ask callers to wait."),
    ResultCode.DEADLINE_UNREACHABLE: (
        "more work arrives than the servers can finish in time",
        "Add servers or raise the workspace's guarantee.",
    ),
    ResultCode.DEADLINE_PASSED: (
        "work waits longer than its deadline",
        "Add servers or raise the workspace's guarantee.",
    ),
    ResultCode.NO_CONFIG: ("no configuration is in force", "Publish a configuration."),
    ResultCode.ZONE_UNREACHABLE: (
        "nobody schedules a zone that the work needs",
        "Look at the zones below and start an instance there.",
    ),
    ResultCode.LOG_UNAVAILABLE: (
        "the platform's log does not answer, so lasting work is refused",
        "Call the platform's operators.",
    ),
    ResultCode.OUTCOME_UNKNOWN: (
        "the outcome of some work is not known yet",
        "Look at the servers below; it resolves when they answer.",
    ),
    ResultCode.NOT_REACHABLE: (
        "instances or servers do not answer",
        "Look at the zones and servers below.",
    ),
    ResultCode.NO_CAPACITY: ("no server can take the work", "Look at the servers below."),
    ResultCode.LOST: ("servers were lost with work on them", "Look at the servers below."),
    ResultCode.LEAVING: ("an instance is leaving", "Nothing; callers retry elsewhere."),
}


@dataclass
class LaneCounts:
    """Count what the callers of one workspace and kind got.

    Attributes:
        workspace: The workspace.
        kind: The kind of work.
        good: Results within the deadline.
        late: Results after the deadline.
        bad: Answers that say the service failed, by code.
        oldest_wait_s: How long the oldest job has waited, as far as known.
        since_s: Seconds since 1970 when the trouble began, 0 for none.
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
    """Say whether one kind of work of one workspace is down.

    Attributes:
        workspace: The workspace.
        kind: The kind of work.
        state: The answer.
        since_s: Seconds since 1970 from when on, 0 when it always was so.
        why: One short sentence.
        what_to_do: One short sentence.
    """

    workspace: str
    kind: str
    state: Literal["up", "partly", "down", "idle"]
    since_s: float
    why: str
    what_to_do: str


class ServiceWindow:
    """Remember what callers of this instance got lately."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Start with nothing known.

        Args:
            clock: Where time comes from.
        """
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._answers: dict[tuple[str, str], deque[tuple[float, str, int]]] = {}
        self._turned: dict[tuple[str, str], tuple[bool, float]] = {}

    def record(self, kind: str, outcome: Outcome, *, took_s: float, deadline_s: float) -> None:
        """Add one answer to a caller.

        Args:
            kind: The kind of work.
            outcome: The answer.
            took_s: Seconds from the request to the answer.
            deadline_s: Seconds after which it is of no use.
        """
        if outcome.code in _CALLERS_FAULT:
            return
        grade = "bad"
        if outcome.code is ResultCode.DONE:
            grade = "good" if took_s <= deadline_s else "late"
        row = (self._clock.now(), grade, int(outcome.code))
        with self._lock:
            lane = self._answers.setdefault((outcome.workspace, kind), deque(maxlen=5000))
            lane.append(row)

    def counts(self) -> list[LaneCounts]:
        """Return what callers got within the window, by workspace and kind."""
        oldest = self._clock.now() - _WINDOW_S
        with self._lock:
            found = []
            for name, lane in self._answers.items():
                while lane and lane[0][0] < oldest:
                    lane.popleft()
                counts = _count(*name, lane)
                counts.since_s = self._turned_at(name, counts)
                found.append(counts)
            return found

    def _turned_at(self, name: tuple[str, str], counts: LaneCounts) -> float:
        """Return since when a lane is in trouble here, 0 when it is not."""
        troubled = _part(counts) < _UP_PART
        was, at_s = self._turned.get(name, (False, 0.0))
        if troubled != was:
            at_s = self._clock.wall() if troubled else 0.0
            self._turned[name] = (troubled, at_s)
        return at_s


def evaluate_lane(
    workspace: str,
    kind: str,
    counts: Iterable[LaneCounts],
    *,
    deadline_s: float,
    blocked_by_log: bool = False,
) -> LaneHealth:
    """Judge one kind of work of one workspace.

    Args:
        workspace: The workspace.
        kind: The kind of work.
        counts: What each instance knows of it.
        deadline_s: Seconds after which an answer is of no use.
        blocked_by_log: Whether the work needs the platform's log and no
            instance gets an answer from it.

    Returns:
        The answer with its reason.
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
        return LaneHealth(workspace, kind, "idle", 0.0, "nobody asked for it lately", "Nothing.")
    part = good / total
    if blocked_by_log:
        bad = {int(ResultCode.LOG_UNAVAILABLE): total}
    why, what_to_do = _reason(bad, late, part)
    if part >= _UP_PART:
        return LaneHealth(workspace, kind, "up", 0.0, "callers get their results", "Nothing.")
    state = "down" if part <= _DOWN_PART else "partly"
    return LaneHealth(workspace, kind, state, min(since, default=0.0), why, what_to_do)


def _reason(bad: dict[int, int], late: int, part: float) -> tuple[str, str]:
    """Name what most callers suffer from."""
    if bad and max(bad.values()) >= late:
        code = ResultCode(max(bad, key=lambda code: bad[code]))
        default = (f"callers get code {int(code)} {code.name}", "See the table of codes.")
        why, what = _REASONS.get(code, default)
    else:
        why, what = "results come after their deadline", "Add servers or raise the guarantee."
    return f"{why} ({part:.0%} served)", what


def _part(counts: LaneCounts) -> float:
    """Return the part of good answers, 1 when there were none at all."""
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
