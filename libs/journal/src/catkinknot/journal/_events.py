"""Keep what happened in a bounded ring, and merge rings of many processes."""

import threading
from collections import deque
from collections.abc import Iterable

from pydantic.dataclasses import dataclass

from ._logical import LogicalClock, stamp_wall_s

__all__ = ["Cause", "Event", "EventFilter", "EventRing", "merge_events"]

_DEFAULT_SIZE = 20_000


@dataclass(frozen=True)
class Cause:
    """Say what an event belongs to; empty fields do not apply.

    Attributes:
        job: The job, as ``workspace/key``.
        attempt: Its attempt.
        zone: The availability zone.
        server: The backend server.
        epoch: The epoch of the zone's holder.
        offset: The offset on the platform's log, -1 for none.
    """

    job: str = ""
    attempt: int = 0
    zone: str = ""
    server: str = ""
    epoch: str = ""
    offset: int = -1


@dataclass(frozen=True)
class Event:
    """Hold one event.

    Attributes:
        stamp: Its logical time.
        instance: Where it happened.
        part: The part of the program.
        name: What happened, one of a fixed set of words.
        cause: What it belongs to.
        text: A short sentence.
    """

    stamp: str
    instance: str
    part: str
    name: str
    cause: Cause
    text: str = ""


@dataclass(frozen=True)
class EventFilter:
    """Choose events.

    Attributes:
        job: Only this job, empty for all.
        zone: Only this availability zone, empty for all.
        since_s: Only events at or after these seconds since 1970.
        until_s: Only events before these seconds since 1970, 0 for no bound.
        limit: The newest so many.
    """

    job: str = ""
    zone: str = ""
    since_s: float = 0.0
    until_s: float = 0.0
    limit: int = 500

    def takes(self, event: Event) -> bool:
        """Tell whether an event is wanted."""
        if self.job and event.cause.job != self.job:
            return False
        if self.zone and event.cause.zone != self.zone:
            return False
        at_s = stamp_wall_s(event.stamp)
        return at_s >= self.since_s and (not self.until_s or at_s < self.until_s)


class EventRing:
    """Keep the newest events of this process."""

    def __init__(self, instance: str, clock: LogicalClock, *, size: int = _DEFAULT_SIZE) -> None:
        """Start empty.

        Args:
            instance: This instance.
            clock: Hands out stamps.
            size: The most events kept.
        """
        self._instance = instance
        self.clock = clock
        self._ring: deque[tuple] = deque(maxlen=size)
        self._lock = threading.Lock()

    def add(self, part: str, name: str, text: str = "", **cause) -> None:
        """Add an event.

        Args:
            part: The part of the program.
            name: What happened.
            text: A short sentence.
            **cause: Fields of `Cause`.
        """
        # A plain tuple is kept here and turned into a data class on reading,
        # since this stands on the path of every request.
        self._ring.append((self.clock.tick(), part, name, text, cause))

    def find(self, wanted: EventFilter) -> list[Event]:
        """Return the events that a filter takes, oldest first."""
        rows = list(self._ring)
        found: deque[Event] = deque(maxlen=wanted.limit)
        for stamp, part, name, text, cause in rows:
            if wanted.job and cause.get("job") != wanted.job:
                continue
            event = Event(stamp, self._instance, part, name, Cause(**cause), text)
            if wanted.takes(event):
                found.append(event)
        return list(found)


def merge_events(rings: Iterable[list[Event]], *, limit: int = 500) -> list[Event]:
    """Merge events of several processes in causal order.

    Args:
        rings: The events of each process.
        limit: The newest so many.

    Returns:
        The events, oldest first; ties are broken by instance.
    """
    merged = sorted(
        (event for ring in rings for event in ring), key=lambda e: (e.stamp, e.instance)
    )
    return merged[-limit:]
