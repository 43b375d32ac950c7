"""Hold the errors of the shared store and of the servers' calls."""

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
    """Report that a call to the store did not succeed."""

    def __init__(self, message: str) -> None:
        """Keep the message."""
        super().__init__(message, code=ResultCode.LOG_UNAVAILABLE)


class StoreRefusedError(StoreError):
    """Report a call that the store refused; nothing was done."""


class StoreSilentError(StoreError):
    """Report a call without an answer; it may be done, now or later."""


class FencedError(StoreError):
    """Report that a producer with a higher epoch has written."""


class OutOfSequenceError(StoreError):
    """Report that the store expects another sequence number.

    Attributes:
        expected: The number that it expects.
    """

    def __init__(self, expected: int) -> None:
        """Keep the expected number."""
        super().__init__(f"the store expects number {expected}")
        self.expected = expected


class MovedError(StoreError):
    """Report that the topic does not end where the caller said."""


class HistoryGoneError(StoreError):
    """Report that the records asked for have been deleted."""
