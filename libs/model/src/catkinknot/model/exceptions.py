"""Exception hierarchy of the project."""

from ._codes import ResultCode

__all__ = [
    "BadInputError",
    "CatkinknotError",
    "ConfigConflictError",
    "PlatformError",
    "RefusedError",
    "UnreachableError",
]


class CatkinknotError(Exception):
    """Base class of all errors that the project raises.

    Attributes:
        code: The numbered result code.
        message: Human-readable sentence.
    """

    def __init__(self, message: str, *, code: ResultCode = ResultCode.INTERNAL) -> None:
        """Create an error with a message and a result code.

        Args:
            message: Human-readable sentence.
            code: The numbered result code.
        """
        super().__init__(message)
        self.message = message
        self.code = code


class BadInputError(CatkinknotError):
    """Raised when input is invalid, with all faults that were found."""

    def __init__(self, code: ResultCode, faults: list[str]) -> None:
        """Create an error whose message lists the faults.

        Args:
            code: The numbered result code.
            faults: One "path: reason" line for each fault.
        """
        super().__init__("; ".join(faults), code=code)
        self.faults = faults


class RefusedError(CatkinknotError):
    """Raised when a request is refused; the job did not run."""


class ConfigConflictError(CatkinknotError):
    """Raised when another operator has published since the caller read the configuration."""

    def __init__(self, message: str) -> None:
        """Create an error with the code CONFIG_CONFLICT.

        Args:
            message: Names the version in force.
        """
        super().__init__(message, code=ResultCode.CONFIG_CONFLICT)


class PlatformError(CatkinknotError):
    """Raised when a platform service gave no answer or an invalid one."""

    def __init__(self, message: str) -> None:
        """Create an error with the code LOG_UNAVAILABLE.

        Args:
            message: Names the service and the failure.
        """
        super().__init__(message, code=ResultCode.LOG_UNAVAILABLE)


class UnreachableError(CatkinknotError):
    """Raised when a peer or a backend server gave no answer.

    The request may or may not have taken effect.
    """

    def __init__(self, message: str) -> None:
        """Create an error with the code NOT_REACHABLE.

        Args:
            message: Names the peer or server and the failure.
        """
        super().__init__(message, code=ResultCode.NOT_REACHABLE)
