"""Hold the errors of the backend client."""

from catkinknot.model import ResultCode
from catkinknot.model.exceptions import CatkinknotError, UnreachableError

__all__ = ["BackendError", "BackendRefusedError", "BackendUnreachableError"]


class BackendError(CatkinknotError):
    """Base of the errors that a request to a backend server can end in."""


class BackendRefusedError(BackendError):
    """Report that a backend server refused, so that nothing happened.

    Attributes:
        server: The server.
        reason: Its word for why.
    """

    def __init__(self, server: str, reason: str) -> None:
        """Keep the server and the reason.

        Args:
            server: The server.
            reason: Its word for why.
        """
        super().__init__(f"{server} refused: {reason}", code=ResultCode.NO_CAPACITY)
        self.server = server
        self.reason = reason


class BackendUnreachableError(UnreachableError, BackendError):
    """Report that a backend server gave no answer.

    Attributes:
        server: The server.
    """

    def __init__(self, server: str, message: str) -> None:
        """Keep the server.

        Args:
            server: The server.
            message: What happened.
        """
        super().__init__(f"{server}: {message}")
        self.server = server
