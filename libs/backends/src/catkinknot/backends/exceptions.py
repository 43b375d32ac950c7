"""Exceptions raised by the backend client."""

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import CatkinknotError, UnreachableError

__all__ = ["BackendError", "BackendRefusedError", "BackendUnreachableError"]


class BackendError(CatkinknotError):
    """Base class for errors of requests to a backend server."""


class BackendRefusedError(BackendError):
    """A backend server refused a request, which had no effect.

    Attributes:
        server: The server's name.
        reason: The refusal code that the server sent.
    """

    def __init__(self, server: str, reason: str) -> None:
        """Build the message from the server and the reason.

        Args:
            server: The server's name.
            reason: The refusal code that the server sent.
        """
        super().__init__(f"{server} refused: {reason}", code=ResultCode.NO_CAPACITY)
        self.server = server
        self.reason = reason


class BackendUnreachableError(UnreachableError, BackendError):
    """A backend server gave no valid response; the effect is unknown.

    Attributes:
        server: The server's name.
    """

    def __init__(self, server: str, message: str) -> None:
        """Prefix the message with the server's name.

        Args:
            server: The server's name.
            message: The cause, such as the type of the connection error.
        """
        super().__init__(f"{server}: {message}")
        self.server = server
