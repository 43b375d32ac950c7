"""Appender that sends records in batches and tracks their confirmation."""

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

_MAX_BATCH_RECORD_COUNT = 200
"""Maximum number of records in one append."""

_MIN_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 2.0
_CONFIRM_TIMEOUT_S = 1.0
"""Time after which a batch that the reader has not confirmed is sent again."""


class AppendFuture:
    """Future for the verdict on one appended record."""

    def __init__(self) -> None:
        """Start without a verdict."""
        self._done = threading.Event()
        self._verdict: Verdict | None = None
        self._withdrawn = False

    def set_verdict(self, verdict: Verdict) -> None:
        """Store the verdict and wake the waiting threads.

        Args:
            verdict: Whether the record took effect.
        """
        self._verdict = verdict
        self._done.set()

    def withdraw(self) -> None:
        """Mark the record as withdrawn and wake the waiting threads."""
        self._withdrawn = True
        self._done.set()

    def result(self, timeout_s: float) -> Verdict:
        """Wait for the verdict.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            Whether the record took effect.

        Raises:
            NotAppendedError: If the record was withdrawn before it was sent.
            AppendUnknownError: If the outcome is not known in time.
        """
        if not self._done.wait(timeout_s):
            raise AppendUnknownError("the log has not confirmed the record yet")
        if self._verdict is None:
            raise NotAppendedError("the log service is unavailable; nothing was recorded")
        return self._verdict

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self._done.is_set()


@dataclass
class _PendingRecord:
    """Record that is not yet confirmed.

    Attributes:
        entry: The record with its writer and sequence number.
        fut: The future for the record's verdict.
        may_be_sent: Whether the service may have received the record.
    """

    entry: NewEntry
    fut: AppendFuture = field(default_factory=AppendFuture)
    may_be_sent: bool = False


class Appender:
    """Appends the records of one writer in order.

    A record counts as appended once the reader has read it, which covers the
    case that the response to the append was lost. Until then the whole batch
    is sent again with the same sequence numbers, and readers drop the
    duplicates.
    """

    def __init__(self, client: LogClient, writer: str, *, clock: Clock | None = None) -> None:
        """Start with an empty queue.

        Args:
            client: Client of the log service.
            writer: A name that is unique among all processes and all
                lifetimes of this one.
            clock: The clock, by default the system's.
        """
        self._client = client
        self._writer = writer
        self._clock = clock or SystemClock()
        self._lock = threading.Condition()
        self._queue: deque[_PendingRecord] = deque()
        self._batch: list[_PendingRecord] = []
        self._seq = 0
        self._closed = False
        self._unavailable_since_s: float | None = None
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Start the thread that sends the records."""
        self._thread = threading.Thread(target=self._run, name="log-appender", daemon=True)
        self._thread.start()

    def append(self, record: Record) -> AppendFuture:
        """Queue a record.

        Args:
            record: The record.

        Returns:
            A future for the record's verdict.
        """
        with self._lock:
            self._seq += 1
            pending = _PendingRecord(NewEntry(self._writer, self._seq, encode_record(record)))
            self._queue.append(pending)
            self._lock.notify_all()
            return pending.fut

    def append_and_wait(self, record: Record, timeout_s: float) -> Verdict:
        """Queue a record and wait for its verdict.

        A record that was not sent by the end of the wait is withdrawn, so that
        the caller can report reliably that nothing happened.

        Args:
            record: The record.
            timeout_s: Seconds to wait.

        Returns:
            Whether the record took effect.

        Raises:
            NotAppendedError: If the record was withdrawn.
            AppendUnknownError: If the service may have received the record.
        """
        fut = self.append(record)
        try:
            return fut.result(timeout_s)
        except AppendUnknownError:
            self.withdraw_unsent(fut)
            return fut.result(0.0)

    def withdraw_unsent(self, fut: AppendFuture) -> None:
        """Withdraw a record unless it may have been sent.

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
        """Confirm a record that the reader has read from the log.

        Args:
            seq: The record's sequence number.
            verdict: Whether it took effect.
        """
        with self._lock:
            for pending in self._batch:
                if pending.entry.seq == seq:
                    pending.fut.set_verdict(verdict)
            self._batch = [item for item in self._batch if not item.fut.done]
            self._lock.notify_all()

    def unavailable_for_s(self) -> float:
        """Return the seconds for which appends have failed, 0 if the last one succeeded."""
        with self._lock:
            return (
                0.0
                if self._unavailable_since_s is None
                else self._clock.now() - self._unavailable_since_s
            )

    def close(self, timeout_s: float) -> bool:
        """Wait until every record is confirmed, then let the thread end.

        After a time-out the thread goes on until the rest is confirmed.

        Args:
            timeout_s: Seconds to wait.

        Returns:
            Whether all records were confirmed in time.
        """
        with self._lock:
            empty = self._lock.wait_for(lambda: not self._queue and not self._batch, timeout_s)
            self._closed = True
            self._lock.notify_all()
        return empty

    def step(self) -> bool:
        """Send the current batch once, without waiting for its confirmation.

        Returns:
            False if the append failed.
        """
        self._fill_batch()
        return self._send()

    def _run(self) -> None:
        """Send the batches one after another until closed."""
        delay_s = _MIN_RETRY_DELAY_S
        while self._next_batch():
            if self._send():
                delay_s = _MIN_RETRY_DELAY_S
                self._wait_for_confirmation()
            else:
                self._clock.sleep(delay_s)
                delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)

    def _next_batch(self) -> bool:
        """Wait until there is something to send.

        Returns:
            False if the appender is closed and nothing is left to send.
        """
        with self._lock:
            self._lock.wait_for(lambda: self._queue or self._batch or self._closed)
        self._fill_batch()
        return bool(self._batch) or not self._closed

    def _fill_batch(self) -> None:
        """Move queued records to the batch once the last batch is confirmed."""
        with self._lock:
            if not self._batch:
                size = min(_MAX_BATCH_RECORD_COUNT, len(self._queue))
                self._batch = [self._queue.popleft() for _ in range(size)]

    def _send(self) -> bool:
        """Send the current batch once.

        Returns:
            Whether the append succeeded.
        """
        with self._lock:
            entries = [pending.entry for pending in self._batch]
            first_tries = [pending for pending in self._batch if not pending.may_be_sent]
            for pending in first_tries:
                pending.may_be_sent = True
        if not entries:
            return True
        try:
            self._client.append(entries)
        except LogUnavailableError as exc:
            self._record_failure(first_tries, exc.sent)
            return False
        with self._lock:
            self._unavailable_since_s = None
        return True

    def _record_failure(self, first_tries: list[_PendingRecord], sent: bool) -> None:
        """Record a failed append.

        Args:
            first_tries: The records that were sent for the first time.
            sent: Whether the service may have received them.
        """
        with self._lock:
            if self._unavailable_since_s is None:
                self._unavailable_since_s = self._clock.now()
            for pending in first_tries:
                pending.may_be_sent = sent

    def _wait_for_confirmation(self) -> None:
        """Wait until the batch is confirmed or due to be sent again."""
        until_s = time.monotonic() + _CONFIRM_TIMEOUT_S
        with self._lock:
            while self._batch and not self._closed:
                left_s = until_s - time.monotonic()
                if left_s <= 0:
                    return
                self._lock.wait(left_s)
