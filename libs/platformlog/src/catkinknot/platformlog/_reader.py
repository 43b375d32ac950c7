"""Reader that follows the log and applies its records to a state."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from catkinknot.model import Clock, ResultCode, SystemClock
from catkinknot.model.exceptions import BadInputError

from ._client import LogClient, Page
from ._records import Entry, Record, SnapshotTaken, decode_record
from ._state import LogState, Verdict, pack_state, unpack_state
from .exceptions import LogUnavailableError, OffsetExpiredError

__all__ = ["AppliedEntry", "LogReader"]

_PAGE_ENTRY_COUNT = 500
_READ_WAIT_S = 5.0
"""Time for which the service may hold a read open while there are no entries."""

_RETRY_PAUSE_S = 0.25
_MAX_SNAPSHOT_AGE_S = 300.0
"""Age of the newest snapshot after which another one is due."""

_MAX_RECORDS_SINCE_SNAPSHOT = 2000
"""Number of records since the newest snapshot after which another one is due."""


@dataclass(frozen=True)
class AppliedEntry:
    """Entry that was read and applied, as passed to listeners.

    Attributes:
        entry: The entry.
        record: The record in the entry, None if it is corrupt.
        verdict: Whether the record took effect.
    """

    entry: Entry
    record: Record | None
    verdict: Verdict


class LogReader:
    """Applies the records of the log from its newest snapshot on."""

    def __init__(self, client: LogClient, *, clock: Clock | None = None) -> None:
        """Start with an empty state.

        Args:
            client: Client of the log service.
            clock: The clock, by default the system's.
        """
        self._client = client
        self._clock = clock or SystemClock()
        self._lock = threading.Condition()
        self._state = LogState()
        self._listeners: list[Callable[[AppliedEntry], None]] = []
        self._caught_up = False
        self._closed = False
        self._last_response_s: float | None = None
        self._snapshot_covers = -1
        self._snapshot_at_s = 0.0
        self._history_lost = False
        self._corrupt_count = 0

    def add_listener(self, listener: Callable[[AppliedEntry], None]) -> None:
        """Call a function for each new entry, in log order.

        Args:
            listener: Called on the reader's thread; it must return quickly.
        """
        self._listeners.append(listener)

    def start(self) -> None:
        """Start the thread that follows the log."""
        threading.Thread(target=self._run, name="log-reader", daemon=True).start()

    def close(self) -> None:
        """Stop after the current read."""
        with self._lock:
            self._closed = True
            self._lock.notify_all()

    @contextmanager
    def state(self) -> Iterator[LogState]:
        """Give access to the state under the lock.

        Yields:
            The state, which must neither be changed nor used after the block.
        """
        with self._lock:
            yield self._state

    def wait_for(self, condition: Callable[[LogState], bool], timeout_s: float) -> bool:
        """Wait until the state fulfils a condition or the reader is closed.

        Args:
            condition: Called with the state under the lock, after each page of
                entries.
            timeout_s: Seconds to wait.

        Returns:
            False if the wait timed out.
        """
        with self._lock:
            return self._lock.wait_for(lambda: condition(self._state) or self._closed, timeout_s)

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self._closed

    @property
    def caught_up(self) -> bool:
        """Whether the state has caught up with the log once."""
        with self._lock:
            return self._caught_up

    @property
    def history_lost(self) -> bool:
        """Whether records are lost, as the log began after the next offset to read.

        That offset is 0 for a new reader. Records covered by a usable snapshot
        or a peer's state are not lost.
        """
        with self._lock:
            return self._history_lost

    @property
    def corrupt_records(self) -> int:
        """The number of corrupt records that were skipped."""
        with self._lock:
            return self._corrupt_count

    def last_response_age_s(self) -> float | None:
        """Return the seconds since the log last responded, None if it never did."""
        with self._lock:
            if self._last_response_s is None:
                return None
            return self._clock.now() - self._last_response_s

    def seed(self, packed: str) -> bool:
        """Replace the state by that of a peer if the peer's is newer.

        Args:
            packed: The peer's state as returned by `pack_state`.

        Returns:
            Whether the state was replaced.

        Raises:
            BadInputError: If the packed state is damaged.
        """
        state = unpack_state(packed)
        with self._lock:
            if state.next_offset <= self._state.next_offset:
                return False
            self._state = state
            self._lock.notify_all()
            return True

    def packed(self) -> tuple[int, str]:
        """Pack the state for a snapshot or for a peer.

        Returns:
            The first offset that the state does not include, and the packed
            state.
        """
        with self._lock:
            return self._state.next_offset, pack_state(self._state)

    def snapshot_due(self) -> bool:
        """Return whether an instance should append a snapshot now."""
        with self._lock:
            if not self._caught_up or self._state.next_offset == 0:
                return False
            records_since = self._state.next_offset - max(self._snapshot_covers, 0)
            expired = self._clock.wall() - self._snapshot_at_s > _MAX_SNAPSHOT_AGE_S
            return records_since >= _MAX_RECORDS_SINCE_SNAPSHOT or expired

    def catch_up(self) -> None:
        """Load the newest snapshot and apply all entries after it.

        Raises:
            LogUnavailableError: If the service gives no valid response.
        """
        oldest = self._oldest_page()
        snapshot = self._find_snapshot(oldest.first_offset, oldest.next_offset)
        with self._lock:
            if snapshot is not None and snapshot.next_offset > self._state.next_offset:
                self._state = snapshot
            history_lost = snapshot is None and self._state.next_offset < oldest.first_offset
            if history_lost:
                self._history_lost = True
                self._state.next_offset = oldest.first_offset
        while self.step(wait_s=0.0):
            pass
        with self._lock:
            self._caught_up = True
            self._lock.notify_all()

    def step(self, *, wait_s: float) -> int:
        """Read one page and apply its entries.

        Args:
            wait_s: Seconds that the service may hold the read open.

        Returns:
            The number of entries in the page.

        Raises:
            OffsetExpiredError: If the log no longer retains the next offset.
            LogUnavailableError: If the service gives no valid response.
        """
        with self._lock:
            start = self._state.next_offset
        page = self._client.read(start, limit=_PAGE_ENTRY_COUNT, wait_s=wait_s)
        for entry in page.entries:
            self._apply_and_notify(entry)
        with self._lock:
            self._last_response_s = self._clock.now()
            self._lock.notify_all()
        return len(page.entries)

    def _run(self) -> None:
        """Catch up with the log, then follow it until closed."""
        while not self._closed:
            try:
                if not self._caught_up:
                    self.catch_up()
                self.step(wait_s=_READ_WAIT_S)
            except OffsetExpiredError:
                with self._lock:
                    self._caught_up = False
            except LogUnavailableError:
                self._clock.sleep(_RETRY_PAUSE_S)

    def _oldest_page(self) -> Page:
        """Read the oldest entry, to get the first and the next offset of the log."""
        try:
            return self._client.read(0, limit=1, wait_s=0.0)
        except OffsetExpiredError as exc:
            return self._client.read(exc.first_offset, limit=1, wait_s=0.0)

    def _find_snapshot(self, first: int, end: int) -> LogState | None:
        """Search for the newest usable snapshot from the end backwards.

        Args:
            first: The oldest offset of the log.
            end: The offset after the newest entry.

        Returns:
            The state in the snapshot, None if there is no usable one.
        """
        while end > first:
            start = max(first, end - _PAGE_ENTRY_COUNT)
            page = self._client.read(start, limit=end - start, wait_s=0.0)
            for entry in reversed(page.entries):
                state = self._unpack_snapshot(entry, first)
                if state is not None:
                    return state
            end = start
        return None

    def _unpack_snapshot(self, entry: Entry, first: int) -> LogState | None:
        """Unpack an entry if it is a snapshot without a gap to the log's first offset.

        Args:
            entry: The entry.
            first: The oldest offset of the log.

        Returns:
            The state in the snapshot, or None.
        """
        if '"snapshot_taken"' not in entry.data:
            return None
        try:
            record = decode_record(entry.data)
            if not isinstance(record, SnapshotTaken) or record.covers < first:
                return None
            state = unpack_state(record.state)
        except BadInputError:
            return None
        with self._lock:
            self._record_snapshot(record, entry)
        return state

    def _record_snapshot(self, record: SnapshotTaken, entry: Entry) -> None:
        """Store the offset and time of the newest snapshot."""
        if record.covers > self._snapshot_covers:
            self._snapshot_covers = record.covers
            self._snapshot_at_s = entry.at_s

    def _apply_and_notify(self, entry: Entry) -> None:
        """Apply one entry and notify the listeners.

        Args:
            entry: The next entry.
        """
        with self._lock:
            applied = self._apply(entry)
        if applied is not None:
            for listener in self._listeners:
                listener(applied)

    def _apply(self, entry: Entry) -> AppliedEntry | None:
        """Apply one entry; the caller holds the lock.

        Args:
            entry: The next entry.

        Returns:
            The applied entry, None for a duplicate.
        """
        state = self._state
        if entry.offset < state.next_offset:
            return None
        state.next_offset = entry.offset + 1
        if state.is_duplicate(entry):
            return None
        state.record_writer(entry)
        try:
            record = decode_record(entry.data)
        except BadInputError as exc:
            self._corrupt_count += 1
            verdict = Verdict(entry.offset, False, ResultCode.CORRUPT_RECORD, exc.message)
            return AppliedEntry(entry, None, verdict)
        if isinstance(record, SnapshotTaken):
            self._record_snapshot(record, entry)
            state.expire(entry.at_s)
        return AppliedEntry(entry, record, state.apply(record, entry))
