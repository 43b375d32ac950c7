"""Exceptions raised by calls to the shared store."""

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import CatkinknotError

__all__ = [
    "FencedError",
    "HistoryGoneError",
    "MovedError",
    "OutOfSequenceError",
    "StoreError",
    "StoreRefusedError",
    "StoreSilentError",
]


class StoreError(CatkinknotError):
    """Base class of errors raised by calls to the store."""

    def __init__(self, message: str) -> None:
        """Set the message, with the result code `LOG_UNAVAILABLE`."""
        super().__init__(message, code=ResultCode.LOG_UNAVAILABLE)


class StoreRefusedError(StoreError):
    """The store refused the call and did nothing."""


class StoreSilentError(StoreError):
    """The store did not answer; the call may have been or may yet be executed."""


class FencedError(StoreError):
    """The store has seen a higher epoch of the same producer."""


class OutOfSequenceError(StoreError):
    """The append carried a sequence number other than the next one.

    Attributes:
        expected: Sequence number that the store expects next.
    """

    def __init__(self, expected: int) -> None:
        """Build the message from the expected sequence number."""
        super().__init__(f"out of sequence: the store expects number {expected}")
        self.expected = expected


class MovedError(StoreError):
    """The topic does not end at the offset that the append required."""


class HistoryGoneError(StoreError):
    """The requested records have been deleted from the topic's history."""
