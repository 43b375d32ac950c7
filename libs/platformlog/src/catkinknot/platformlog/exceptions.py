"""Hold the errors of the log client."""

from catkinknot.model.exceptions import CatkinknotError, PlatformError

__all__ = [
    "AppendUnknownError",
    "LogError",
    "LogUnavailableError",
    "NotAppendedError",
    "OffsetExpiredError",
]


class LogError(PlatformError):
    """Base of the errors that talk with the log service can end in."""


class LogUnavailableError(LogError):
    """Report that a request to the log service got no good answer.

    Attributes:
        sent: Whether the request may have reached the service.
    """

    def __init__(self, message: str, *, sent: bool) -> None:
        """Keep the message.

        Args:
            message: What happened.
            sent: Whether the request may have reached the service.
        """
        super().__init__(message)
        self.sent = sent


class OffsetExpiredError(LogError):
    """Report that the records asked for are past their retention.

    Attributes:
        first_offset: The oldest offset that the log still has.
    """

    def __init__(self, first_offset: int) -> None:
        """Keep the oldest offset.

        Args:
            first_offset: The oldest offset that the log still has.
        """
        super().__init__(f"the log starts at offset {first_offset}")
        self.first_offset = first_offset


class NotAppendedError(LogError):
    """Report that a record never left this process and never will."""


class AppendUnknownError(CatkinknotError):
    """Report that a record may or may not be on the log yet.

    The appender goes on until it knows.
    """
