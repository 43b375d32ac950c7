"""Wake a thread that polls sockets."""

import os
from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

__all__ = ["Outbox"]

T = TypeVar("T")


class Outbox(Generic[T]):
    """Hand items from any thread to one thread that polls.

    The polling thread includes `fileno` in its poller and calls `drain` when
    it becomes readable.
    """

    def __init__(self) -> None:
        """Open the event that wakes the poller."""
        self._items: deque[T] = deque()
        self._event = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._event

    def put(self, item: T) -> None:
        """Add an item and wake the poller."""
        self._items.append(item)
        os.eventfd_write(self._event, 1)

    def drain(self) -> Iterator[T]:
        """Yield all items added so far."""
        try:
            os.eventfd_read(self._event)
        except BlockingIOError:
            pass
        while self._items:
            yield self._items.popleft()

    def close(self) -> None:
        """Close the event."""
        os.close(self._event)
