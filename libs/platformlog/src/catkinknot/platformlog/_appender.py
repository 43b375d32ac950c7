"""Append records in batches, and find out what became of each."""

import threading
import time
from collections import deque
from dataclasses import dataclass, field

from catkinknot.model import Clock, SystemClock

from ._client import LogClient, NewEntry
from ._records import Record, encode_record
from ._state import Verdict
from .exceptions import AppendUnknownError, LogUnavailableError, NotAppendedError

__all__ = ["AppendFuture", "Appender"]

_MAX_BATCH = 200
"""Send at most this many records in one append."""

_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 2.0
_CONFIRM_S = 1.0
"""Send a batch again when the reader has not seen it after this long."""


class AppendFuture:
    """Wait for what became of one record."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self._done = threading.Event()
        self._verdict: Verdict | None = None
        self._withdrawn = False

    def settle(self, verdict: Verdict) -> None:
        """Keep the verdict and wake the waiters.

        Args:
            verdict: Whether the record took effect.
        """
        self._verdict = verdict
        self._done.set()

    def withdraw(self) -> None:
        """Say that the record was never sent and wake the waiters."""
        self._withdrawn = True
        self._done.set()

    def result(self, timeout_s: float) -> Verdict:
        """Wait for the verdict.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            Whether the record took effect.

        Raises:
            NotAppendedError: When the record was never sent and won't be.
            AppendUnknownError: When nothing is known yet.
        """
        if not self._done.wait(timeout_s):
            raise AppendUnknownError("the log has not confirmed the record yet")
        if self._verdict is None:
            raise NotAppendedError("the log service is out; nothing was recorded")
        return self._verdict

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self._done.is_set()


@dataclass
class _Pending:
    """Hold one record on its way.

    Attributes:
        entry: The record.
        fut: Who waits for it.
        may_be_sent: Whether the service may have got it.
    """

    entry: NewEntry
    fut: AppendFuture = field(default_factory=AppendFuture)
    may_be_sent: bool = False


class Appender:
    """Append records of one writer in order.

    A record counts as appended when the reader has seen it: that holds when
    the answer to the append was lost as well. Until then the whole batch is
    sent again with the same numbers, and readers drop the repeats.
    """

    def __init__(self, client: LogClient, writer: str, *, clock: Clock | None = None) -> None:
        """Prepare an empty queue.

        Args:
            client: The log service.
            writer: A name that no other process ever uses, nor an earlier
                start of this one.
            clock: Where time comes from.
        """
        self._client = client
        self._writer = writer
        self._clock = clock or SystemClock()
        self._lock = threading.Condition()
        self._queue: deque[_Pending] = deque()
        self._batch: list[_Pending] = []
        self._seq = 0
        self._closed = False
        self._out_since: float | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that sends."""
        self._thread = threading.Thread(target=self._run, name="log-appender", daemon=True)
        self._thread.start()

    def append(self, record: Record) -> AppendFuture:
        """Queue a record.

        Args:
            record: The record.

        Returns:
            A future for its verdict.
        """
        with self._lock:
            self._seq += 1
            pending = _Pending(NewEntry(self._writer, self._seq, encode_record(record)))
            self._queue.append(pending)
            self._lock.notify_all()
            return pending.fut

    def append_and_wait(self, record: Record, timeout_s: float) -> Verdict:
        """Queue a record and wait for its verdict.

        A record that was never sent is taken back at the end of the wait, so
        that the caller may say truthfully that nothing happened.

        Args:
            record: The record.
            timeout_s: Seconds to wait.

        Returns:
            Whether the record took effect.

        Raises:
            NotAppendedError: When the record was taken back.
            AppendUnknownError: When the service may have it.
        """
        fut = self.append(record)
        try:
            return fut.result(timeout_s)
        except AppendUnknownError:
            self.withdraw_unsent(fut)
            return fut.result(0.0)

    def withdraw_unsent(self, fut: AppendFuture) -> None:
        """Withdraw a record if it was never sent.

        Args:
            fut: The record's future.
        """
        with self._lock:
            for items in (self._queue, self._batch):
                for pending in items:
                    if pending.fut is fut and not pending.may_be_sent:
                        items.remove(pending)
                        fut.withdraw()
                        return

    def confirm(self, seq: int, verdict: Verdict) -> None:
        """Take the reader's word that a record stands on the log.

        Args:
            seq: The record's number.
            verdict: Whether it took effect.
        """
        with self._lock:
            for pending in self._batch:
                if pending.entry.seq == seq:
                    pending.fut.settle(verdict)
            self._batch = [item for item in self._batch if not item.fut.done]
            self._lock.notify_all()

    def unavailable_for_s(self) -> float:
        """Return for how many seconds appends have failed, 0 when they work."""
        with self._lock:
            return 0.0 if self._out_since is None else self._clock.now() - self._out_since

    def close(self, timeout_s: float) -> bool:
        """Wait until every record is confirmed, then stop.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            True when nothing was left unconfirmed.
        """
        with self._lock:
            empty = self._lock.wait_for(lambda: not self._queue and not self._batch, timeout_s)
            self._closed = True
            self._lock.notify_all()
        return empty

    def step(self) -> bool:
        """Send what waits once, without waiting for anything.

        Returns:
            False when the service did not take it.
        """
        self._fill_batch()
        return self._send()

    def _run(self) -> None:
        """Send batch after batch until closed."""
        pause_s = _FIRST_PAUSE_S
        while self._next_batch():
            if self._send():
                pause_s = _FIRST_PAUSE_S
                self._wait_confirmed()
            else:
                self._clock.sleep(pause_s)
                pause_s = min(pause_s * 2, _LONGEST_PAUSE_S)

    def _next_batch(self) -> bool:
        """Wait until there is something to send.

        Returns:
            False when closed.
        """
        with self._lock:
            self._lock.wait_for(lambda: self._queue or self._batch or self._closed)
        self._fill_batch()
        return bool(self._batch) or not self._closed

    def _fill_batch(self) -> None:
        """Take waiting records in hand when the last batch is confirmed."""
        with self._lock:
            if not self._batch:
                size = min(_MAX_BATCH, len(self._queue))
                self._batch = [self._queue.popleft() for _ in range(size)]

    def _send(self) -> bool:
        """Send the batch in hand once.

        Returns:
            True when the service took it.
        """
        with self._lock:
            entries = [pending.entry for pending in self._batch]
            fresh = [pending for pending in self._batch if not pending.may_be_sent]
            for pending in fresh:
                pending.may_be_sent = True
        if not entries:
            return True
        try:
            self._client.append(entries)
        except LogUnavailableError as exc:
            self._note_failure(fresh, exc.sent)
            return False
        with self._lock:
            self._out_since = None
        return True

    def _note_failure(self, fresh: list[_Pending], sent: bool) -> None:
        """Remember that an append failed.

        Args:
            fresh: The records that were tried for the first time.
            sent: Whether the service may have got them.
        """
        with self._lock:
            if self._out_since is None:
                self._out_since = self._clock.now()
            for pending in fresh:
                pending.may_be_sent = sent

    def _wait_confirmed(self) -> None:
        """Wait until the reader has seen the whole batch, or send it again."""
        until = time.monotonic() + _CONFIRM_S
        with self._lock:
            while self._batch and not self._closed:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    return
                self._lock.wait(left_s)
