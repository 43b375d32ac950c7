"""Tail of a topic in the store."""

import threading
from collections.abc import Callable

from loguru import logger

from catkinknot.model import Clock

from ._store import Record, Store
from .exceptions import HistoryGoneError, StoreError

__all__ = ["Tail"]

RETRY_S = 0.1
"""Pause after a failed read."""


class Tail:
    """Reads a keyed topic record by record, and from a snapshot after a gap.

    Attributes:
        next_offset: Offset at which the next read starts, None before the first.
        last_response_s: When the store last answered a read.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        *,
        clock: Clock,
        on_snapshot: Callable[[dict[str, bytes]], None],
        on_records: Callable[[tuple[Record, ...]], None],
        pause_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Create a tail that has read nothing.

        Args:
            store: The store.
            topic: Topic to read.
            clock: Source of time.
            on_snapshot: Called with the newest record of each key.
            on_records: Called with the records of each read, in order.
            pause_s: Returns the pause between two reads. Reads never wait at
                the store for records, since a waiting read gets no answer
                while the store changes its history and is then cut off.
        """
        self._store = store
        self._topic = topic
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_records = on_records
        self._pause_s = pause_s
        self._lock = threading.Lock()
        self._log = logger.bind(part="tail", topic=topic)
        self._reachable = True
        self.next_offset: int | None = None
        self.last_response_s = clock.now()

    def catch_up(self) -> None:
        """Read to the end that the topic has at the time of the call; raises a `StoreError`.

        Records that are appended meanwhile are left to the next read, since a
        busy topic would otherwise keep the caller for as long as it grows.
        """
        end = self.step()
        while self.next_offset < end:
            self.step()

    def step(self) -> int:
        """Read once, and return the end of the topic; raises a `StoreError`."""
        with self._lock:
            start = self.next_offset
        if start is None:
            return self._restart()
        try:
            batch = self._store.read(self._topic, start)
        except HistoryGoneError:
            self._log.bind(offset=start).warning(
                "The topic's history was deleted; reading a snapshot."
            )
            return self._restart()
        self.last_response_s = self._clock.now()
        with self._lock:
            if self.next_offset == start:
                self._on_records(batch.records)
                self.next_offset = batch.next_offset
        return batch.end

    def follow(self, stopped: threading.Event) -> None:
        """Read in a loop until stopped."""
        while not stopped.is_set():
            try:
                self.step()
                self._log_change(True, "")
                stopped.wait(self._pause_s())
            except StoreError as exc:
                self._log_change(False, exc.message)
                stopped.wait(RETRY_S)

    def _restart(self) -> int:
        """Read a snapshot of the topic, and return the offset that it reaches."""
        snapshot = self._store.newest(self._topic)
        self.last_response_s = self._clock.now()
        with self._lock:
            self._on_snapshot(snapshot.records)
            self.next_offset = snapshot.next_offset
        return snapshot.next_offset

    def _log_change(self, reachable: bool, reason: str) -> None:
        """Log when the store becomes unavailable or available again."""
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            self._log.info("The store is available again.")
        else:
            self._log.bind(reason=reason).warning("The store is unavailable.")
