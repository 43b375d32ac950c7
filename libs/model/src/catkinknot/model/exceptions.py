"""Hold the exception tree of the project."""

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
    """Base of every error that the project raises.

    Attributes:
        code: The numbered result code.
        message: One sentence for a person.
    """

    def __init__(self, message: str, *, code: ResultCode = ResultCode.INTERNAL) -> None:
        """Keep the message and the code.

        Args:
            message: One sentence for a person.
            code: The numbered result code.
        """
        super().__init__(message)
        self.message = message
        self.code = code


class BadInputError(CatkinknotError):
    """Report input that fails its checks, with every fault found."""

    def __init__(self, code: ResultCode, faults: list[str]) -> None:
        """Keep the faults.

        Args:
            code: The numbered result code.
            faults: One "path: reason" line for each fault.
        """
        super().__init__("; ".join(faults), code=code)
        self.faults = faults


class RefusedError(CatkinknotError):
    """Report work that was refused and did not run."""


class ConfigConflictError(CatkinknotError):
    """Report that another operator published first."""

    def __init__(self, message: str) -> None:
        """Keep the message.

        Args:
            message: Which version is in force.
        """
        super().__init__(message, code=ResultCode.CONFIG_CONFLICT)


class PlatformError(CatkinknotError):
    """Report that a platform service did not answer, or answered badly."""

    def __init__(self, message: str) -> None:
        """Keep the message.

        Args:
            message: Which service and what happened.
        """
        super().__init__(message, code=ResultCode.LOG_UNAVAILABLE)


class UnreachableError(CatkinknotError):
    """Report that a peer or a backend server gave no answer.

    The request may or may not have taken effect.
    """

    def __init__(self, message: str) -> None:
        """Keep the message.

        Args:
            message: Which peer or server and what happened.
        """
        super().__init__(message, code=ResultCode.NOT_REACHABLE)
