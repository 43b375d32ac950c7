"""Emulator of the platform's append-only log service."""

import threading
from collections import deque

from catkinknot.model import Clock, SystemClock
from catkinknot.platformlog import Entry, NewEntry, Page
from catkinknot.platformlog.exceptions import LogUnavailableError, OffsetExpiredError

from ._faults import Faults

__all__ = ["LogStore"]


class LogStore:
    """In-memory log, which tests use as a `LogClient`.

    Guarantees: entries get consecutive offsets, in one order for all readers.
    An append is atomic, but its answer may be lost after it took effect. Old
    entries are dropped.
    """

    def __init__(
        self,
        *,
        retention_records: int = 1_000_000,
        retention_s: float = 7 * 86_400.0,
        clock: Clock | None = None,
    ) -> None:
        """Create an empty log.

        Args:
            retention_records: Most entries kept.
            retention_s: Seconds for which an entry is kept.
            clock: Source of time.
        """
        self.faults = Faults()
        self._retention_records = retention_records
        self._retention_s = retention_s
        self._clock = clock or SystemClock()
        self._lock = threading.Condition()
        self._entries: deque[Entry] = deque()
        self._next = 0
        self.appends = 0

    def append(self, batch: list[NewEntry]) -> int:
        """Append entries.

        Args:
            batch: The entries.

        Returns:
            Offset of the first entry.

        Raises:
            LogUnavailableError: When a fault is set that fails the call.
        """
        self._apply_faults()
        with self._lock:
            first = self._next
            for item in batch:
                self._add(item)
            self.appends += 1
            self._expire()
            self._lock.notify_all()
        if self.faults.lose_answers:
            raise LogUnavailableError("the answer was lost", sent=True)
        return first

    def read(self, start: int, *, limit: int, wait_s: float) -> Page:
        """Read entries from an offset on.

        Args:
            start: First offset to read.
            limit: Most entries returned.
            wait_s: Seconds to wait for the first entry.

        Returns:
            The entries, possibly none.

        Raises:
            OffsetExpiredError: When the entry at `start` was dropped.
            LogUnavailableError: When a fault is set that fails the call.
        """
        self._apply_faults()
        with self._lock:
            if wait_s > 0:
                self._lock.wait_for(lambda: self._next > start or self.faults.out, wait_s)
            self._expire()
            first = self._entries[0].offset if self._entries else self._next
            if start < first:
                raise OffsetExpiredError(first)
            found = self._slice(start - first, limit)
        if self.faults.out:
            raise LogUnavailableError("the log is unavailable", sent=True)
        return Page(tuple(found), first, self._next)

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and wake waiting readers."""
        with self._lock:
            self.faults = faults
            self._lock.notify_all()

    def entries(self) -> list[Entry]:
        """Return all entries that are kept."""
        with self._lock:
            return list(self._entries)

    def _slice(self, at: int, limit: int) -> list[Entry]:
        """Copy a range of entries; by index, which is fast near the end of a long deque."""
        end = min(at + limit, len(self._entries))
        return [self._entries[index] for index in range(at, end)]

    def _apply_faults(self) -> None:
        """Delay or fail a call before it takes effect, as the faults require."""
        if self.faults.slow_s:
            self._clock.sleep(self.faults.slow_s)
        if self.faults.out:
            raise LogUnavailableError("the log is unavailable", sent=False)

    def _add(self, item: NewEntry) -> None:
        """Append one entry."""
        entry = Entry(self._next, self._clock.wall(), item.writer, item.seq, item.data)
        self._entries.append(entry)
        self._next += 1

    def _expire(self) -> None:
        """Drop the entries beyond the retention limits."""
        oldest_s = self._clock.wall() - self._retention_s
        while self._entries and (
            len(self._entries) > self._retention_records or self._entries[0].at_s < oldest_s
        ):
            self._entries.popleft()
