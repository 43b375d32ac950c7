"""Job requests, results and outcomes."""

import hashlib
import json
from typing import Annotated, Any

from pydantic import Field
from pydantic.dataclasses import dataclass

from ._check import STRICT
from ._codes import ResultCode
from ._config import MAX_GANG_ACCELERATORS, Name

__all__ = ["KEY_PATTERN", "JobId", "JobRequest", "JobResult", "Outcome", "seal_result"]

KEY_PATTERN = r"^[A-Za-z0-9._-]{1,64}$"
"""Regular expression that a request key must match."""

_DIGEST_BYTES = 16
"""Size of the digest of a request or a result, in bytes."""


@dataclass(frozen=True, order=True, config=STRICT)
class JobId:
    """Identity of a job: its workspace and the caller's request key.

    Attributes:
        workspace: The workspace.
        key: The caller's request key, which is unique in the workspace.
    """

    workspace: Name
    key: Annotated[str, Field(pattern=KEY_PATTERN)]

    def __str__(self) -> str:
        """Return the identity as ``workspace/key``, the form in logs and paths."""
        return f"{self.workspace}/{self.key}"


@dataclass(frozen=True, config=STRICT)
class JobRequest:
    """Request to run one job.

    Attributes:
        workspace: Workspace that the job is charged to.
        kind: Job kind.
        key: The caller's request key.
        caller: Name of the caller, for fair sharing and limits.
        accelerators: Accelerators that the job needs at once.
        body: Parameters for the backend server, as a JSON object.
    """

    workspace: Name
    kind: Name
    key: Annotated[str, Field(pattern=KEY_PATTERN)]
    caller: Name = "anonymous"
    accelerators: Annotated[int, Field(ge=1, le=MAX_GANG_ACCELERATORS)] = 1
    body: dict[str, Any] = Field(default_factory=dict)

    @property
    def job_id(self) -> JobId:
        """Identity of the requested job."""
        return JobId(self.workspace, self.key)

    @property
    def digest(self) -> str:
        """Digest of all fields but the caller, which tells a reused key from a retry."""
        parts = [self.workspace, self.kind, self.key, self.accelerators, self.body]
        return _digest(json.dumps(parts, sort_keys=True))


@dataclass(frozen=True, config=STRICT)
class JobResult:
    """Complete output of a job, with the means to detect damage.

    Attributes:
        text: Output that the backend server returned.
        length: Size of the text in UTF-8, in bytes.
        digest: Digest of the text.
    """

    text: str
    length: int
    digest: str

    @property
    def intact(self) -> bool:
        """Whether the text matches its length and digest."""
        raw = self.text.encode()
        return len(raw) == self.length and _digest(self.text) == self.digest


def seal_result(text: str) -> JobResult:
    """Build a result with the length and digest of a text.

    Args:
        text: Output of the job.

    Returns:
        The result.
    """
    return JobResult(text, len(text.encode()), _digest(text))


@dataclass(frozen=True, config=STRICT)
class Outcome:
    """State of an open job or outcome of an ended one.

    Attributes:
        workspace: Workspace of the job.
        key: Request key of the job.
        code: The numbered result code.
        message: Human-readable sentence.
        attempt: Attempt that the outcome belongs to, 0 for none.
        zone: Availability zone that ran the job, empty for none.
        result: Output of the job, None where there is none.
    """

    workspace: str
    key: str
    code: ResultCode
    message: str = ""
    attempt: int = 0
    zone: str = ""
    result: JobResult | None = None

    @property
    def job_id(self) -> JobId:
        """Identity of the job."""
        return JobId(self.workspace, self.key)

    @property
    def final(self) -> bool:
        """Whether this outcome cannot change any more."""
        return self.code not in _OPEN_CODES


_OPEN_CODES = frozenset(
    {
        ResultCode.ACCEPTED,
        ResultCode.RUNNING,
        ResultCode.OUTCOME_UNKNOWN,
        ResultCode.NOT_REACHABLE,
        ResultCode.RESULT_DAMAGED,
        ResultCode.INTERNAL,
    }
)


def _digest(text: str) -> str:
    """Return the BLAKE2b digest of a text.

    Args:
        text: The text.

    Returns:
        The digest in hexadecimal.
    """
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
