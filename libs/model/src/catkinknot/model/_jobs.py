"""Describe requests, jobs and their results."""

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
"""What a request key may look like."""

_DIGEST_BYTES = 16
"""Bytes in the digest of a request or a result."""


@dataclass(frozen=True, order=True, config=STRICT)
class JobId:
    """Identify a job by its workspace and the caller's request key.

    Attributes:
        workspace: The workspace.
        key: The caller's request key, unique in the workspace.
    """

    workspace: Name
    key: Annotated[str, Field(pattern=KEY_PATTERN)]

    def __str__(self) -> str:
        """Write the identity as it stands in logs and paths."""
        return f"{self.workspace}/{self.key}"


@dataclass(frozen=True, config=STRICT)
class JobRequest:
    """Ask for one piece of work.

    Attributes:
        workspace: The workspace that pays.
        kind: The kind of work.
        key: The caller's request key.
        caller: Who asks, for fairness and limits.
        accelerators: Accelerators that the work needs at once.
        body: What the backend server needs to know, as a JSON object.
    """

    workspace: Name
    kind: Name
    key: Annotated[str, Field(pattern=KEY_PATTERN)]
    caller: Name = "anonymous"
    accelerators: Annotated[int, Field(ge=1, le=MAX_GANG_ACCELERATORS)] = 1
    body: dict[str, Any] = Field(default_factory=dict)

    @property
    def job_id(self) -> JobId:
        """The identity of the job that this request stands for."""
        return JobId(self.workspace, self.key)

    @property
    def digest(self) -> str:
        """Hash everything but the caller's name, to tell reuse from retry."""
        parts = [self.workspace, self.kind, self.key, self.accelerators, self.body]
        return _digest(json.dumps(parts, sort_keys=True))


@dataclass(frozen=True, config=STRICT)
class JobResult:
    """Carry what the work produced, whole.

    Attributes:
        text: What the backend server returned.
        length: Bytes of the text in UTF-8.
        digest: Hash of the text.
    """

    text: str
    length: int
    digest: str

    @property
    def intact(self) -> bool:
        """Whether the text has the length and the digest that it should."""
        raw = self.text.encode()
        return len(raw) == self.length and _digest(self.text) == self.digest


def seal_result(text: str) -> JobResult:
    """Add length and digest to a text.

    Args:
        text: What the work produced.

    Returns:
        The result.
    """
    return JobResult(text, len(text.encode()), _digest(text))


@dataclass(frozen=True, config=STRICT)
class Outcome:
    """Say how a job stands or ended.

    Attributes:
        workspace: The job's workspace.
        key: The job's request key.
        code: The numbered result code.
        message: One sentence for a person.
        attempt: The attempt that the answer belongs to, 0 for none.
        zone: The availability zone that ran it, empty for none.
        result: What the work produced, where it did.
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
        """The identity of the job."""
        return JobId(self.workspace, self.key)

    @property
    def final(self) -> bool:
        """Whether this answer will never change."""
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
    """Hash a text.

    Args:
        text: The text.

    Returns:
        Hexadecimal digits.
    """
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
