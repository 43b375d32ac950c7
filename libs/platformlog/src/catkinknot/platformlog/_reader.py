"""Follow the log and keep the state that follows from it."""

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

_PAGE_LIMIT = 500
_HOLD_S = 5.0
"""Ask the service to hold a read open for this long."""

_RETRY_PAUSE_S = 0.25
_SNAPSHOT_AGE_S = 300.0
"""Append a snapshot when the newest is older than this."""

_SNAPSHOT_RECORDS = 2000
"""Append a snapshot when this many records came after the newest."""


@dataclass(frozen=True)
class AppliedEntry:
    """Tell a listener what one entry did.

    Attributes:
        entry: The entry.
        record: The record in it, None when it is corrupt.
        verdict: Whether it took effect.
    """

    entry: Entry
    record: Record | None
    verdict: Verdict


class LogReader:
    """Read the log from the newest snapshot on and fold every record."""

    def __init__(self, client: LogClient, *, clock: Clock | None = None) -> None:
        """Prepare an empty state.

        Args:
            client: The log service.
            clock: Where time comes from.
        """
        self._client = client
        self._clock = clock or SystemClock()
        self._lock = threading.Condition()
        self._state = LogState()
        self._listeners: list[Callable[[AppliedEntry], None]] = []
        self._booted = False
        self._closed = False
        self._contact_s: float | None = None
        self._snapshot_covers = -1
        self._snapshot_at_s = 0.0
        self._history_lost = False
        self._corrupt = 0

    def add_listener(self, listener: Callable[[AppliedEntry], None]) -> None:
        """Call a function for each new entry, in log order.

        Args:
            listener: Called on the reader's thread; it must be quick.
        """
        self._listeners.append(listener)

    def start(self) -> None:
        """Start the thread that follows the log."""
        threading.Thread(target=self._run, name="log-reader", daemon=True).start()

    def close(self) -> None:
        """Stop after the read in hand."""
        with self._lock:
            self._closed = True
            self._lock.notify_all()

    @contextmanager
    def state(self) -> Iterator[LogState]:
        """Lend the state under the lock.

        Yields:
            The state, to be read only and not kept.
        """
        with self._lock:
            yield self._state

    def wait_for(self, test: Callable[[LogState], bool], timeout_s: float) -> bool:
        """Wait until the state passes a test.

        Args:
            test: Called under the lock after each page of entries.
            timeout_s: Seconds to wait.

        Returns:
            Whether it passed.
        """
        with self._lock:
            return self._lock.wait_for(lambda: test(self._state) or self._closed, timeout_s)

    @property
    def closed(self) -> bool:
        """Whether `close` was called."""
        return self._closed

    @property
    def caught_up(self) -> bool:
        """Whether the state has caught up with the log once."""
        with self._lock:
            return self._booted

    @property
    def history_lost(self) -> bool:
        """Whether the log began after offset 0 without any snapshot."""
        with self._lock:
            return self._history_lost

    @property
    def corrupt_records(self) -> int:
        """How many corrupt records were passed over."""
        with self._lock:
            return self._corrupt

    def last_response_age_s(self) -> float | None:
        """Return seconds since the log last answered, None if it never did."""
        with self._lock:
            if self._contact_s is None:
                return None
            return self._clock.now() - self._contact_s

    def seed(self, packed: str) -> bool:
        """Start from a state that a peer gave.

        Args:
            packed: The state as `pack_state` wrote it.

        Returns:
            True when it was newer than the state in hand.
        """
        state = unpack_state(packed)
        with self._lock:
            if state.next_offset <= self._state.next_offset:
                return False
            self._state = state
            self._lock.notify_all()
            return True

    def packed(self) -> tuple[int, str]:
        """Return the state for a snapshot or for a peer.

        Returns:
            The first offset it does not include, and the packed state.
        """
        with self._lock:
            return self._state.next_offset, pack_state(self._state)

    def snapshot_due(self) -> bool:
        """Tell whether some instance should append a snapshot now."""
        with self._lock:
            if not self._booted or self._state.next_offset == 0:
                return False
            behind = self._state.next_offset - max(self._snapshot_covers, 0)
            old = self._clock.wall() - self._snapshot_at_s > _SNAPSHOT_AGE_S
            return behind >= _SNAPSHOT_RECORDS or old

    def catch_up(self) -> None:
        """Load the newest snapshot and everything after it.

        Raises:
            LogUnavailableError: When the service does not answer.
        """
        tail = self._oldest_page()
        snapshot = self._find_snapshot(tail.first_offset, tail.next_offset)
        with self._lock:
            if snapshot is not None and snapshot.next_offset > self._state.next_offset:
                self._state = snapshot
            lost = snapshot is None and self._state.next_offset < tail.first_offset
            if lost:
                self._history_lost = True
                self._state.next_offset = tail.first_offset
        while self.step(wait_s=0.0):
            pass
        with self._lock:
            self._booted = True
            self._lock.notify_all()

    def step(self, *, wait_s: float) -> int:
        """Read and fold one page.

        Args:
            wait_s: Seconds that the service may hold the read open.

        Returns:
            How many entries came.

        Raises:
            OffsetExpiredError: When the log has dropped what comes next.
            LogUnavailableError: When the service does not answer.
        """
        with self._lock:
            start = self._state.next_offset
        page = self._client.read(start, limit=_PAGE_LIMIT, wait_s=wait_s)
        for entry in page.entries:
            self._fold(entry)
        with self._lock:
            self._contact_s = self._clock.now()
            self._lock.notify_all()
        return len(page.entries)

    def _run(self) -> None:
        """Boot, then follow the log until closed."""
        while not self._closed:
            try:
                if not self._booted:
                    self.catch_up()
                self.step(wait_s=_HOLD_S)
            except OffsetExpiredError:
                with self._lock:
                    self._booted = False
            except LogUnavailableError:
                self._clock.sleep(_RETRY_PAUSE_S)

    def _oldest_page(self) -> Page:
        """Read the oldest page, to learn where the log begins and ends."""
        try:
            return self._client.read(0, limit=1, wait_s=0.0)
        except OffsetExpiredError as exc:
            return self._client.read(exc.first_offset, limit=1, wait_s=0.0)

    def _find_snapshot(self, first: int, end: int) -> LogState | None:
        """Look for the newest snapshot from the end backwards.

        Args:
            first: The oldest offset of the log.
            end: The offset after the newest entry.

        Returns:
            The state in it, None when there is none that can be used.
        """
        while end > first:
            start = max(first, end - _PAGE_LIMIT)
            page = self._client.read(start, limit=end - start, wait_s=0.0)
            for entry in reversed(page.entries):
                state = self._open_snapshot(entry, first)
                if state is not None:
                    return state
            end = start
        return None

    def _open_snapshot(self, entry: Entry, first: int) -> LogState | None:
        """Open one entry if it is a snapshot that leaves no gap.

        Args:
            entry: The entry.
            first: The oldest offset of the log.

        Returns:
            The state in it, or None.
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
            self._note_snapshot(record, entry)
        return state

    def _note_snapshot(self, record: SnapshotTaken, entry: Entry) -> None:
        """Remember the newest snapshot."""
        if record.covers > self._snapshot_covers:
            self._snapshot_covers = record.covers
            self._snapshot_at_s = entry.at_s

    def _fold(self, entry: Entry) -> None:
        """Fold one entry and tell the listeners.

        Args:
            entry: The next entry.
        """
        with self._lock:
            applied = self._apply(entry)
        if applied is not None:
            for listener in self._listeners:
                listener(applied)

    def _apply(self, entry: Entry) -> AppliedEntry | None:
        """Fold one entry under the lock.

        Args:
            entry: The next entry.

        Returns:
            What it did, None for a repeat.
        """
        state = self._state
        if entry.offset < state.next_offset:
            return None
        state.next_offset = entry.offset + 1
        if state.is_repeat(entry):
            return None
        state.note_writer(entry)
        try:
            record = decode_record(entry.data)
        except BadInputError as exc:
            self._corrupt += 1
            verdict = Verdict(entry.offset, False, ResultCode.CORRUPT_RECORD, exc.message)
            return AppliedEntry(entry, None, verdict)
        if isinstance(record, SnapshotTaken):
            self._note_snapshot(record, entry)
            state.expire(entry.at_s)
        return AppliedEntry(entry, record, state.apply(record, entry))
