"""Bounded buffer of the events of one process, and the merge of several processes' events."""

import threading
from collections import deque
from collections.abc import Iterable

from pydantic.dataclasses import dataclass

from ._logical import LogicalClock, stamp_wall_s

__all__ = ["Cause", "Event", "EventFilter", "EventRing", "merge_events"]

_DEFAULT_EVENT_COUNT = 20_000
"""Events kept in a ring by default."""


@dataclass(frozen=True)
class Cause:
    """Entities that an event relates to; empty fields do not apply.

    Attributes:
        job: The job, as ``workspace/key``.
        attempt: Attempt of the job.
        zone: The availability zone.
        server: The backend server.
        epoch: Epoch of the zone's holder.
        offset: Offset in the platform's log, -1 for none.
    """

    job: str = ""
    attempt: int = 0
    zone: str = ""
    server: str = ""
    epoch: str = ""
    offset: int = -1


@dataclass(frozen=True)
class Event:
    """Event in the history of one process.

    Attributes:
        stamp: Timestamp of the logical clock.
        instance: Instance on which the event occurred.
        part: Part of the program.
        name: Type of the event, one of a fixed set of names.
        cause: Entities that the event relates to.
        text: Short human-readable sentence.
    """

    stamp: str
    instance: str
    part: str
    name: str
    cause: Cause
    text: str = ""


@dataclass(frozen=True)
class EventFilter:
    """Selection of events.

    Attributes:
        job: Select only events of this job, empty for all.
        zone: Select only events of this availability zone, empty for all.
        since_s: Select only events at or after this time, in seconds since 1970.
        until_s: Select only events before this time, in seconds since 1970, 0 for no bound.
        limit: Most events selected; the newest are kept.
    """

    job: str = ""
    zone: str = ""
    since_s: float = 0.0
    until_s: float = 0.0
    limit: int = 500

    def matches(self, event: Event) -> bool:
        """Return whether the filter selects an event."""
        if self.job and event.cause.job != self.job:
            return False
        if self.zone and event.cause.zone != self.zone:
            return False
        at_s = stamp_wall_s(event.stamp)
        return at_s >= self.since_s and (not self.until_s or at_s < self.until_s)


class EventRing:
    """Ring buffer of the newest events of this process."""

    def __init__(
        self, instance: str, clock: LogicalClock, *, size: int = _DEFAULT_EVENT_COUNT
    ) -> None:
        """Create an empty ring.

        Args:
            instance: Name of this instance.
            clock: Source of timestamps.
            size: Most events kept.
        """
        self._instance = instance
        self.clock = clock
        self._ring: deque[tuple] = deque(maxlen=size)
        self._lock = threading.Lock()

    def add(self, part: str, name: str, text: str = "", **cause) -> None:
        """Add an event.

        Args:
            part: Part of the program.
            name: Type of the event.
            text: Short human-readable sentence.
            **cause: Fields of `Cause`.
        """
        # Store a plain tuple and build the data class on reading: every request adds events.
        self._ring.append((self.clock.tick(), part, name, text, cause))

    def find(self, wanted: EventFilter) -> list[Event]:
        """Return the events that a filter selects, oldest first."""
        rows = list(self._ring)
        found: deque[Event] = deque(maxlen=wanted.limit)
        for stamp, part, name, text, cause in rows:
            if wanted.job and cause.get("job") != wanted.job:
                continue
            event = Event(stamp, self._instance, part, name, Cause(**cause), text)
            if wanted.matches(event):
                found.append(event)
        return list(found)


def merge_events(rings: Iterable[list[Event]], *, limit: int = 500) -> list[Event]:
    """Merge events of several processes in causal order.

    Args:
        rings: The events of each process.
        limit: Most events returned; the newest are kept.

    Returns:
        The events, oldest first; ties are broken by instance.
    """
    merged = sorted(
        (event for ring in rings for event in ring), key=lambda e: (e.stamp, e.instance)
    )
    return merged[-limit:]
