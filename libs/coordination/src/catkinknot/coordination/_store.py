"""Say what the shared store does for the product."""

from dataclasses import dataclass
from typing import Protocol

__all__ = ["JOBS", "PEERS", "RUNS", "Batch", "Fence", "Record", "Snapshot", "Store"]

JOBS = "keyed.jobs"
"""Topic of jobs, cancels, phases and the leader's mark."""

RUNS = "keyed.runs"
"""Topic of the leader's own state."""

PEERS = "keyed.peers"
"""Topic of the instances' addresses."""


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Fence:
    """Mark an append of the leader.

    Attributes:
        producer: Who writes.
        epoch: Its epoch; the store refuses lower ones than it has seen.
        number: Position in this producer's sequence; a repeat of one of the
            last appends is answered as the first time.
    """

    producer: str
    epoch: int
    number: int


@dataclass(frozen=True, slots=True)
class Batch:
    """Hold records that were read.

    Attributes:
        records: The records, oldest first.
        next_offset: Where to read on.
    """

    records: tuple[Record, ...]
    next_offset: int


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold the newest record of each key.

    Attributes:
        records: Value by key.
        next_offset: Where to read on; records before it may be included.
    """

    records: dict[str, bytes]
    next_offset: int


class Store(Protocol):
    """Keep records in topics; every method raises a `StoreError` on failure."""

    def append(
        self,
        topic: str,
        records: list[Record],
        *,
        fence: Fence | None = None,
        only_at: int | None = None,
        timeout_s: float | None = None,
    ) -> int:
        """Append all records or none, and return the offset of the first."""

    def read(self, topic: str, start: int) -> Batch:
        """Return records from an offset on."""

    def newest(self, topic: str) -> Snapshot:
        """Return the newest record of every key."""
