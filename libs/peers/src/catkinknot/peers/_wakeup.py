"""Queue that wakes a thread which polls sockets."""

import os
from collections import deque
from collections.abc import Iterator
from typing import Generic, TypeVar

__all__ = ["Outbox"]

T = TypeVar("T")


class Outbox(Generic[T]):
    """Queue from any thread to one thread that polls sockets.

    The polling thread registers `fileno` with its poller and calls `drain`
    when it becomes readable.
    """

    def __init__(self) -> None:
        """Create the eventfd that wakes the poller."""
        self._items: deque[T] = deque()
        self._eventfd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def fileno(self) -> int:
        """Return the file descriptor to poll."""
        return self._eventfd

    def put(self, item: T) -> None:
        """Add an item and wake the poller."""
        self._items.append(item)
        os.eventfd_write(self._eventfd, 1)

    def drain(self) -> Iterator[T]:
        """Remove and yield all items added so far."""
        try:
            os.eventfd_read(self._eventfd)
        except BlockingIOError:
            pass
        while self._items:
            yield self._items.popleft()

    def close(self) -> None:
        """Close the eventfd."""
        os.close(self._eventfd)
