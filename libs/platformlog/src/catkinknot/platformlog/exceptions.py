"""Exceptions raised by the log library."""

from catkinknot.model.exceptions import CatkinknotError, PlatformError

__all__ = [
    "AppendUnknownError",
    "LogError",
    "LogUnavailableError",
    "NotAppendedError",
    "OffsetExpiredError",
]


class LogError(PlatformError):
    """Base class for errors of requests to the log service."""


class LogUnavailableError(LogError):
    """A request to the log service got no valid response.

    Attributes:
        sent: Whether the request may have reached the service.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Store the message and whether the request was sent.

        Args:
            message: The cause.
            sent: Whether the request may have reached the service.
        """
        super().__init__(message)
        self.sent = sent


class OffsetExpiredError(LogError):
    """The requested offset is past the retention of the log.

    Attributes:
        first_offset: The oldest offset that the log retains.
    """

    def __init__(self, first_offset: int) -> None:
        """Build the message from the oldest offset.

        Args:
            first_offset: The oldest offset that the log retains.
        """
        super().__init__(f"the log starts at offset {first_offset}")
        self.first_offset = first_offset


class NotAppendedError(LogError):
    """A record was withdrawn before it was sent to the log service."""


class AppendUnknownError(CatkinknotError):
    """It is not known yet whether a record is on the log.

    The appender continues to send the record until that is known.
    """
