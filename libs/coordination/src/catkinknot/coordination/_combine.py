"""Combine appends that wait for each other into one call."""

import threading
from collections import defaultdict
from dataclasses import dataclass, field

from catkinknot.model import Clock

from ._store import Batch, Fence, Record, Snapshot, Store
from .exceptions import StoreError, StoreRefusedError, StoreSilentError

__all__ = ["AppendCombiner"]

MAX_BATCH_RECORD_COUNT = 200
"""Most records in one call."""

MAX_BATCH_BYTES = 1 << 20
"""Largest sum of the values in one call; the store's limit is higher."""

DEFAULT_TIMEOUT_S = 0.6
"""Longest wait for an append if its caller gives no timeout."""


@dataclass(slots=True, eq=False)
class _PendingAppend:
    """Append of one caller.

    Attributes:
        records: Records to append.
        timeout_s: Longest wait for the store's answer.
        sent: Whether the records are part of a call.
        offset: Offset of the first record, None before the store has accepted it.
        error: Why the append failed, None if it did not.
    """

    records: list[Record]
    timeout_s: float
    sent: bool = False
    offset: int | None = None
    error: StoreError | None = None

    @property
    def done(self) -> bool:
        """Whether the outcome is known."""
        return self.offset is not None or self.error is not None


@dataclass(slots=True)
class _TopicQueue:
    """Appends to one topic.

    Attributes:
        waiting: Appends that are not yet part of a call, the oldest first.
        busy: Whether a call is under way.
    """

    waiting: list[_PendingAppend] = field(default_factory=list)
    busy: bool = False


class AppendCombiner:
    """Store that has one call for each topic under way, and sends what waited as the next.

    A topic processes its appends one at a time. While the store is slow,
    appends of one record each would queue there for seconds; combined, each
    waits for two calls at most. Conditional appends are passed on as they are.
    """

    def __init__(self, store: Store, *, clock: Clock) -> None:
        """Create a combiner.

        Args:
            store: The store.
            clock: Source of time.
        """
        self._store = store
        self._clock = clock
        self._cond = threading.Condition()
        self._queues: dict[str, _TopicQueue] = defaultdict(_TopicQueue)

    def append(
        self,
        topic: str,
        records: list[Record],
        *,
        fence: Fence | None = None,
        only_at: int | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Append all records or none, and return the offset of the first."""
        if fence is not None or only_at is not None:
            return self._store.append(
                topic, records, fence=fence, only_at=only_at, timeout_s=timeout_s
            )
        pending = _PendingAppend(records, timeout_s or DEFAULT_TIMEOUT_S)
        deadline_s = self._clock.now() + pending.timeout_s
        with self._cond:
            queue = self._queues[topic]
            queue.waiting.append(pending)
        while not pending.done:
            batch = self._take_turn(queue, pending, deadline_s)
            if batch:
                self._send(topic, queue, batch)
        if pending.error is not None:
            raise pending.error
        return pending.offset

    def read(self, topic: str, start: int) -> Batch:
        """Return the records at and after an offset."""
        return self._store.read(topic, start)

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
        return self._store.newest(topic)

    def _take_turn(
        self, queue: _TopicQueue, pending: _PendingAppend, deadline_s: float
    ) -> list[_PendingAppend]:
        """Wait until this thread has appends to send, or its own has an outcome.

        The thread of the oldest append sends. It gets none if its own has an outcome.
        """
        with self._cond:
            while not pending.done:
                if not queue.busy and queue.waiting[:1] == [pending]:
                    queue.busy = True
                    return _take_batch(queue)
                left_s = deadline_s - self._clock.now()
                if left_s <= 0:
                    self._give_up(queue, pending)
                    break
                self._cond.wait(left_s)
        return []

    def _give_up(self, queue: _TopicQueue, pending: _PendingAppend) -> None:
        """Set the outcome of an append whose time is over."""
        if pending.sent:
            pending.error = StoreSilentError("the combined append got no answer in time")
            return
        queue.waiting.remove(pending)
        pending.error = StoreRefusedError("earlier appends took too long; nothing was sent")
        self._cond.notify_all()

    def _send(self, topic: str, queue: _TopicQueue, batch: list[_PendingAppend]) -> None:
        """Send a batch, and set the outcome of each of its appends."""
        records = [record for pending in batch for record in pending.records]
        timeout_s = max(pending.timeout_s for pending in batch)
        offset: int | None = None
        error: StoreError = StoreSilentError("the combined append failed")
        try:
            offset = self._store.append(topic, records, timeout_s=timeout_s)
        except StoreError as exc:
            error = exc
        finally:
            with self._cond:
                queue.busy = False
                _set_outcome(batch, offset, error)
                self._cond.notify_all()


def _take_batch(queue: _TopicQueue) -> list[_PendingAppend]:
    """Take the oldest appends that fit into one call."""
    batch: list[_PendingAppend] = []
    count = size = 0
    for pending in queue.waiting:
        count += len(pending.records)
        size += sum(len(record.value) for record in pending.records)
        if batch and (count > MAX_BATCH_RECORD_COUNT or size > MAX_BATCH_BYTES):
            break
        pending.sent = True
        batch.append(pending)
    del queue.waiting[: len(batch)]
    return batch


def _set_outcome(batch: list[_PendingAppend], offset: int | None, error: StoreError) -> None:
    """Set the outcome of each append of a call that has ended."""
    for pending in batch:
        if offset is None:
            pending.error = pending.error or error
        else:
            pending.offset = offset
            offset += len(pending.records)
