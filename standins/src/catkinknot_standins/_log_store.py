"""Stand in for the platform's append-only log service."""

import threading
from collections import deque

from catkinknot.model import Clock, SystemClock
from catkinknot.platformlog import Entry, NewEntry, Page
from catkinknot.platformlog.exceptions import LogUnavailableError, OffsetExpiredError

from ._faults import Faults

__all__ = ["LogStore"]


class LogStore:
    """Keep entries in memory; it serves as a `LogClient` in tests.

    What it promises: entries get consecutive offsets in one order for all,
    an append takes effect as a whole or not at all, its answer may be lost
    after it took effect, and old entries are dropped.
    """

    def __init__(
        self,
        *,
        retention_records: int = 1_000_000,
        retention_s: float = 7 * 86_400.0,
        clock: Clock | None = None,
    ) -> None:
        """Start with an empty log.

        Args:
            retention_records: The most entries kept.
            retention_s: How long an entry is kept.
            clock: Where time comes from.
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
            The first one's offset.

        Raises:
            LogUnavailableError: As the faults say.
        """
        self._fail_before()
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
            start: The first offset wanted.
            limit: The most entries returned.
            wait_s: Seconds to wait for the first one.

        Returns:
            The entries, perhaps none.

        Raises:
            OffsetExpiredError: When that offset was dropped.
            LogUnavailableError: As the faults say.
        """
        self._fail_before()
        with self._lock:
            if wait_s > 0:
                self._lock.wait_for(lambda: self._next > start or self.faults.out, wait_s)
            self._expire()
            first = self._entries[0].offset if self._entries else self._next
            if start < first:
                raise OffsetExpiredError(first)
            found = self._slice(start - first, limit)
        if self.faults.out:
            raise LogUnavailableError("the log is out", sent=True)
        return Page(tuple(found), first, self._next)

    def set_faults(self, faults: Faults) -> None:
        """Switch faults on or off and wake waiting readers."""
        with self._lock:
            self.faults = faults
            self._lock.notify_all()

    def entries(self) -> list[Entry]:
        """Return all entries that are kept."""
        with self._lock:
            return list(self._entries)

    def _slice(self, at: int, limit: int) -> list[Entry]:
        """Copy some entries, quickly near the end of a long log."""
        end = min(at + limit, len(self._entries))
        return [self._entries[place] for place in range(at, end)]

    def _fail_before(self) -> None:
        """Fail or wait as the faults say."""
        if self.faults.slow_s:
            self._clock.sleep(self.faults.slow_s)
        if self.faults.out:
            raise LogUnavailableError("the log is out", sent=False)

    def _add(self, item: NewEntry) -> None:
        """Add one entry."""
        entry = Entry(self._next, self._clock.wall(), item.writer, item.seq, item.data)
        self._entries.append(entry)
        self._next += 1

    def _expire(self) -> None:
        """Drop old entries."""
        oldest_s = self._clock.wall() - self._retention_s
        while self._entries and (
            len(self._entries) > self._retention_records or self._entries[0].at_s < oldest_s
        ):
            self._entries.popleft()
